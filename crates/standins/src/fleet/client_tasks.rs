//! Clients: they come by the clock and not by the answers, wait as long as they said, and come again.

use super::runner::FleetState;
use super::scenario::{Arrival, Idempotency};
use super::trace::{name_of, TraceEvent};
use async_io::{Async, Timer};
use fernglade::Span;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde_json::Value;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long after its time a client still listens, so that an answer that comes late is seen.
const LISTENS_ON: Duration = Duration::from_secs(1);

/// How a try went.
enum TryOutcome {
    Served,
    /// Asking again is harmless, after a while.
    Rejected(Option<Span>),
    Failed,
    /// Nobody took it.
    Unreachable,
}

struct Answer {
    status: u16,
    keeps: bool,
    pause: Option<Span>,
    body: Vec<u8>,
}

/// One scan, from its first try to its last.
pub async fn scan(state: Rc<FleetState>, arrival: Arrival) {
    Timer::at(state.started_at() + arrival.at).await;
    let traffic_type = state.day.types[arrival.traffic_type].clone();
    let gives_up = state.started_at() + arrival.at + traffic_type.abandon;
    let (mut mixer, mut first) = (arrival.mixer, None);
    for number in 0..state.day.clients.tries.max(1) {
        let left = gives_up.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(20) {
            return;
        }
        let scan = state.next_try(arrival.traffic_type, first);
        let first = *first.get_or_insert(scan);
        let pause = match ask(&state, scan, first, &arrival, mixer, left, number > 0).await {
            TryOutcome::Served => return,
            // What may have run is asked again only where that is harmless.
            TryOutcome::Failed if traffic_type.repeat == Idempotency::NonIdempotent => return,
            TryOutcome::Rejected(pause) => pause.filter(|_| state.random_unit() < state.day.clients.honour),
            TryOutcome::Failed => None,
            TryOutcome::Unreachable => {
                mixer = state.other_available_mixer(mixer);
                None
            }
        };
        let pause = pause.map_or(state.day.clients.backoff, |pause| Duration::from_micros(pause.micros()));
        Timer::after(pause).await;
    }
}

async fn ask(
    state: &Rc<FleetState>,
    scan: u32,
    first: u32,
    arrival: &Arrival,
    mixer: usize,
    left: Duration,
    again: bool,
) -> TryOutcome {
    let traffic_type = &state.day.types[arrival.traffic_type];
    let shards: Vec<u32> =
        (0..traffic_type.parts as u32).map(|at| (arrival.first + at) % state.day.shard_count()).collect();
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<String> =
        shards.iter().map(|shard| format!(r#"{{"range":{shard},"portion":{portion}}}"#)).collect();
    let body = format!(r#"{{"ranges":[{}],"predicate":"c41e77d0"}}"#, ranges.join(","));
    let request = format!(
        "POST /{} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {}\r\nX-Priority-Class: {}\r\nX-Tenant-Id: acme\r\n\
         X-Timeout: {:.3}\r\nIdempotency-Key: l{first}\r\n{}Content-Length: {}\r\n\r\n{body}",
        traffic_type.name,
        name_of(scan),
        traffic_type.name,
        left.as_secs_f64(),
        if again { "X-Retried: 1\r\n" } else { "" },
        body.len(),
    );
    let time = Span::of_micros(left.as_micros() as u64);
    let asked = || TraceEvent::ScanSent {
        scan,
        first,
        mixer,
        traffic_type: arrival.traffic_type,
        shards: shards.clone(),
        left: time,
    };
    let spoken = future::or(talk(state, mixer, scan, &request, asked), async {
        Timer::after(left + LISTENS_ON).await;
        Err(io::ErrorKind::TimedOut.into())
    });
    match spoken.await {
        Ok(Some(answer)) => heard(state, scan, mixer, answer),
        Ok(None) => {
            state.record(TraceEvent::MixerUnreachable { scan, mixer });
            TryOutcome::Unreachable
        }
        // The judge sees that no answer came.
        Err(error) if error.kind() == io::ErrorKind::TimedOut => TryOutcome::Failed,
        Err(_) => {
            state.record(TraceEvent::ScanDropped { scan, mixer });
            TryOutcome::Failed
        }
    }
}

fn heard(state: &FleetState, scan: u32, mixer: usize, answer: Answer) -> TryOutcome {
    let json: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    let value = |row: &Value| Some((row["range"].as_u64()? as u32, row["blob"].as_str()?.to_string()));
    let rows = json["answers"].as_array();
    let values = rows.map_or_else(Vec::new, |rows| rows.iter().filter_map(value).collect());
    let (status, pause, whole) = (answer.status, answer.pause, json["total"] == Value::Bool(true));
    state.record(TraceEvent::ScanAnswered { scan, mixer, status, whole, values, pause });
    match status {
        200 => TryOutcome::Served,
        429 | 503 => TryOutcome::Rejected(pause),
        _ => TryOutcome::Failed,
    }
}

/// Over a connection that is kept, or a new one; nothing where nobody took it.
async fn talk(
    state: &Rc<FleetState>,
    mixer: usize,
    scan: u32,
    request: &str,
    asked: impl Fn() -> TraceEvent,
) -> io::Result<Option<Answer>> {
    if let Some(mut kept) = state.take_connection(mixer) {
        if kept.write_all(request.as_bytes()).await.is_ok() {
            state.record(asked());
            match answer(&mut kept).await {
                Ok(Some(answer)) => {
                    if answer.keeps {
                        state.return_connection(mixer, kept);
                    }
                    return Ok(Some(answer));
                }
                // It ended the connection while this was on its way, and never read it.
                Ok(None) => state.record(TraceEvent::ScanUnread { scan }),
                Err(error) => return Err(error),
            }
        }
    }
    let Ok(mut stream) = Async::<TcpStream>::connect(state.mixer_address(mixer)).await else {
        return Ok(None);
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return Ok(None);
    }
    state.record(asked());
    let Some(answer) = answer(&mut stream).await? else { return Err(io::ErrorKind::UnexpectedEof.into()) };
    if answer.keeps {
        state.return_connection(mixer, stream);
    }
    Ok(Some(answer))
}

/// Nothing where the connection ended before a byte of it.
async fn answer(stream: &mut Async<TcpStream>) -> io::Result<Option<Answer>> {
    let mut bytes = Vec::new();
    let ends = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        let mut more = [0; 2048];
        match stream.read(&mut more).await {
            Ok(0) if bytes.is_empty() => return Ok(None),
            Err(_) if bytes.is_empty() => return Ok(None),
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => bytes.extend_from_slice(&more[..count]),
            Err(error) => return Err(error),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..ends]).to_ascii_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let length: usize = header("content-length:").and_then(|text| text.parse().ok()).unwrap_or(0);
    let status = head.get(9..12).and_then(|text| text.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
    let seconds = header("retry-after:").and_then(|text| text.parse::<f64>().ok());
    let pause = seconds.map(|seconds| Span::of_micros((seconds * 1e6) as u64));
    let keeps = header("connection:") != Some("close");
    let mut body = bytes.split_off(ends);
    let have = body.len().min(length);
    body.resize(length, 0);
    stream.read_exact(&mut body[have..]).await?;
    Ok(Some(Answer { status, keeps, pause, body }))
}
