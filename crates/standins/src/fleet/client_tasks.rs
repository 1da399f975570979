//! Clients: an open-loop load, sent at fixed times whatever the answers. Each waits for its timeout and
//! retries.

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

/// How long a client still reads after its timeout, so that a late answer is recorded.
const LATE_READ_TIME: Duration = Duration::from_secs(1);

/// The outcome of a try.
enum TryOutcome {
    Served,
    /// Rejected without running; may be retried, after the given delay if there is one.
    Rejected(Option<Span>),
    Failed,
    /// The mixer could not be reached.
    Unreachable,
}

struct Response {
    status: u16,
    keep_alive: bool,
    retry_after: Option<Span>,
    body: Vec<u8>,
}

/// Sends one scan, from its first try to its last.
pub async fn scan(state: Rc<FleetState>, arrival: Arrival) {
    Timer::at(state.started_at() + arrival.at).await;
    let traffic_type = state.scenario.types[arrival.traffic_type].clone();
    let deadline = state.started_at() + arrival.at + traffic_type.abandon;
    let (mut mixer, mut first) = (arrival.mixer, None);
    for number in 0..state.scenario.clients.tries.max(1) {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(20) {
            return;
        }
        let scan = state.next_try(arrival.traffic_type, first);
        let first = *first.get_or_insert(scan);
        let retry_after = match send_try(&state, scan, first, &arrival, mixer, left, number > 0).await {
            TryOutcome::Served => return,
            // What may have run is only retried where that is harmless.
            TryOutcome::Failed if traffic_type.repeat == Idempotency::NonIdempotent => return,
            TryOutcome::Rejected(retry_after) => {
                retry_after.filter(|_| state.random_unit() < state.scenario.clients.honour)
            }
            TryOutcome::Failed => None,
            TryOutcome::Unreachable => {
                mixer = state.other_available_mixer(mixer);
                None
            }
        };
        let retry_after = retry_after.map_or(state.scenario.clients.backoff, |retry_after| {
            Duration::from_micros(retry_after.micros())
        });
        Timer::after(retry_after).await;
    }
}

async fn send_try(
    state: &Rc<FleetState>,
    scan: u32,
    first: u32,
    arrival: &Arrival,
    mixer: usize,
    left: Duration,
    is_retry: bool,
) -> TryOutcome {
    let traffic_type = &state.scenario.types[arrival.traffic_type];
    let shards: Vec<u32> = (0..traffic_type.parts as u32)
        .map(|at| (arrival.first_shard + at) % state.scenario.shard_count())
        .collect();
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
        if is_retry { "X-Retried: 1\r\n" } else { "" },
        body.len(),
    );
    let time = Span::from_micros(left.as_micros() as u64);
    let scan_sent = || TraceEvent::ScanSent {
        scan,
        first_try: first,
        mixer,
        traffic_type: arrival.traffic_type,
        shards: shards.clone(),
        timeout: time,
    };
    let exchanged = future::or(exchange(state, mixer, scan, &request, scan_sent), async {
        Timer::after(left + LATE_READ_TIME).await;
        Err(io::ErrorKind::TimedOut.into())
    });
    match exchanged.await {
        Ok(Some(answer)) => record_answer(state, scan, mixer, answer),
        Ok(None) => {
            state.record(TraceEvent::MixerUnreachable { scan, mixer });
            TryOutcome::Unreachable
        }
        // The rule checker notices the missing answer.
        Err(error) if error.kind() == io::ErrorKind::TimedOut => TryOutcome::Failed,
        Err(_) => {
            state.record(TraceEvent::ScanDropped { scan, mixer });
            TryOutcome::Failed
        }
    }
}

fn record_answer(state: &FleetState, scan: u32, mixer: usize, answer: Response) -> TryOutcome {
    let json: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    let value = |row: &Value| Some((row["range"].as_u64()? as u32, row["blob"].as_str()?.to_string()));
    let rows = json["answers"].as_array();
    let values = rows.map_or_else(Vec::new, |rows| rows.iter().filter_map(value).collect());
    let (status, retry_after, complete) =
        (answer.status, answer.retry_after, json["total"] == Value::Bool(true));
    state.record(TraceEvent::ScanAnswered { scan, mixer, status, complete, values, retry_after });
    match status {
        200 => TryOutcome::Served,
        429 | 503 => TryOutcome::Rejected(retry_after),
        _ => TryOutcome::Failed,
    }
}

/// Sends a request over an idle connection, or a new one, and reads the response. `None` if the mixer could
/// not be reached.
async fn exchange(
    state: &Rc<FleetState>,
    mixer: usize,
    scan: u32,
    request: &str,
    scan_sent: impl Fn() -> TraceEvent,
) -> io::Result<Option<Response>> {
    if let Some(mut idle) = state.take_connection(mixer) {
        if idle.write_all(request.as_bytes()).await.is_ok() {
            state.record(scan_sent());
            match read_response(&mut idle).await {
                Ok(Some(answer)) => {
                    if answer.keep_alive {
                        state.return_connection(mixer, idle);
                    }
                    return Ok(Some(answer));
                }
                // The mixer closed the connection while the request was on its way, and never read it.
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
    state.record(scan_sent());
    let Some(answer) = read_response(&mut stream).await? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    if answer.keep_alive {
        state.return_connection(mixer, stream);
    }
    Ok(Some(answer))
}

/// Reads a response; `None` if the connection was closed before its first byte.
async fn read_response(stream: &mut Async<TcpStream>) -> io::Result<Option<Response>> {
    let mut bytes = Vec::new();
    let head_length = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        let mut buffer = [0; 2048];
        match stream.read(&mut buffer).await {
            Ok(0) if bytes.is_empty() => return Ok(None),
            Err(_) if bytes.is_empty() => return Ok(None),
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => return Err(error),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_length]).to_ascii_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let length: usize = header("content-length:").and_then(|text| text.parse().ok()).unwrap_or(0);
    let status = head.get(9..12).and_then(|text| text.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
    let seconds = header("retry-after:").and_then(|text| text.parse::<f64>().ok());
    let retry_after = seconds.map(|seconds| Span::from_micros((seconds * 1e6) as u64));
    let keep_alive = header("connection:") != Some("close");
    let mut body = bytes.split_off(head_length);
    let received = body.len().min(length);
    body.resize(length, 0);
    stream.read_exact(&mut body[received..]).await?;
    Ok(Some(Response { status, keep_alive, retry_after, body }))
}
