//! Clients: they come by the clock and not by the answers, wait as long as they said, and come again.

use super::day::{Arrival, Repeat};
use super::play::World;
use super::trace::{name_of, Fact};
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
enum Went {
    Served,
    /// Asking again is harmless, after a while.
    Bounced(Option<Span>),
    Failed,
    /// Nobody took it.
    Unheard,
}

struct Answer {
    status: u16,
    keeps: bool,
    pause: Option<Span>,
    body: Vec<u8>,
}

/// One scan, from its first try to its last.
pub async fn scan(world: Rc<World>, arrival: Arrival) {
    Timer::at(world.began() + arrival.at).await;
    let sort = world.day.types[arrival.sort].clone();
    let gives_up = world.began() + arrival.at + sort.abandon;
    let (mut mixer, mut first) = (arrival.mixer, None);
    for number in 0..world.day.clients.tries.max(1) {
        let left = gives_up.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(20) {
            return;
        }
        let scan = world.next_scan(arrival.sort, first);
        let first = *first.get_or_insert(scan);
        let pause = match ask(&world, scan, first, &arrival, mixer, left, number > 0).await {
            Went::Served => return,
            // What may have run is asked again only where that is harmless.
            Went::Failed if sort.repeat == Repeat::Irreversible => return,
            Went::Bounced(pause) => pause.filter(|_| world.chance() < world.day.clients.honour),
            Went::Failed => None,
            Went::Unheard => {
                mixer = world.another_mixer(mixer);
                None
            }
        };
        let pause = pause.map_or(world.day.clients.backoff, |pause| Duration::from_micros(pause.micros()));
        Timer::after(pause).await;
    }
}

async fn ask(
    world: &Rc<World>,
    scan: u32,
    first: u32,
    arrival: &Arrival,
    mixer: usize,
    left: Duration,
    again: bool,
) -> Went {
    let sort = &world.day.types[arrival.sort];
    let shards: Vec<u32> =
        (0..sort.parts as u32).map(|at| (arrival.first + at) % world.day.shards()).collect();
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<String> =
        shards.iter().map(|shard| format!(r#"{{"range":{shard},"portion":{portion}}}"#)).collect();
    let body = format!(r#"{{"ranges":[{}],"predicate":"c41e77d0"}}"#, ranges.join(","));
    let request = format!(
        "POST /{} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {}\r\nX-Priority-Class: {}\r\nX-Tenant-Id: acme\r\n\
         X-Timeout: {:.3}\r\nIdempotency-Key: l{first}\r\n{}Content-Length: {}\r\n\r\n{body}",
        sort.name,
        name_of(scan),
        sort.name,
        left.as_secs_f64(),
        if again { "X-Retried: 1\r\n" } else { "" },
        body.len(),
    );
    let time = Span::from_micros(left.as_micros() as u64);
    let asked = || Fact::Asked { scan, first, mixer, sort: arrival.sort, shards: shards.clone(), left: time };
    let spoken = future::or(talk(world, mixer, scan, &request, asked), async {
        Timer::after(left + LISTENS_ON).await;
        Err(io::ErrorKind::TimedOut.into())
    });
    match spoken.await {
        Ok(Some(answer)) => heard(world, scan, mixer, answer),
        Ok(None) => {
            world.note(Fact::Unheard { scan, mixer });
            Went::Unheard
        }
        // The judge sees that no answer came.
        Err(error) if error.kind() == io::ErrorKind::TimedOut => Went::Failed,
        Err(_) => {
            world.note(Fact::Dropped { scan, mixer });
            Went::Failed
        }
    }
}

fn heard(world: &World, scan: u32, mixer: usize, answer: Answer) -> Went {
    let json: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    let value = |row: &Value| Some((row["range"].as_u64()? as u32, row["blob"].as_str()?.to_string()));
    let rows = json["answers"].as_array();
    let values = rows.map_or_else(Vec::new, |rows| rows.iter().filter_map(value).collect());
    let (status, pause, whole) = (answer.status, answer.pause, json["total"] == Value::Bool(true));
    world.note(Fact::Answered { scan, mixer, status, whole, values, pause });
    match status {
        200 => Went::Served,
        429 | 503 => Went::Bounced(pause),
        _ => Went::Failed,
    }
}

/// Over a connection that is kept, or a new one; nothing where nobody took it.
async fn talk(
    world: &Rc<World>,
    mixer: usize,
    scan: u32,
    request: &str,
    asked: impl Fn() -> Fact,
) -> io::Result<Option<Answer>> {
    if let Some(mut kept) = world.kept(mixer) {
        if kept.write_all(request.as_bytes()).await.is_ok() {
            world.note(asked());
            match answer(&mut kept).await {
                Ok(Some(answer)) => {
                    if answer.keeps {
                        world.keep(mixer, kept);
                    }
                    return Ok(Some(answer));
                }
                // It ended the connection while this was on its way, and never read it.
                Ok(None) => world.note(Fact::Crossed { scan }),
                Err(error) => return Err(error),
            }
        }
    }
    let Ok(mut stream) = Async::<TcpStream>::connect(world.door(mixer)).await else { return Ok(None) };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return Ok(None);
    }
    world.note(asked());
    let Some(answer) = answer(&mut stream).await? else { return Err(io::ErrorKind::UnexpectedEof.into()) };
    if answer.keeps {
        world.keep(mixer, stream);
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
    let pause = seconds.map(|seconds| Span::from_micros((seconds * 1e6) as u64));
    let keeps = header("connection:") != Some("close");
    let mut body = bytes.split_off(ends);
    let have = body.len().min(length);
    body.resize(length, 0);
    stream.read_exact(&mut body[have..]).await?;
    Ok(Some(Answer { status, keeps, pause, body }))
}
