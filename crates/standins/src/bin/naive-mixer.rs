//! The simplest possible mixer, on threads: it sends each part to a random searcher listed for its shard, on
//! a connection of its own, and answers when all parts are answered or time is up. It serves as a baseline.
//! With a fault, named in the file that `--operator` names, it tests that the rule checker finds the fault.

use fernglade_standins::client::try_read_response;
use fernglade_standins::searcher::frame;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The fault of this mixer, if any.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Sends every part to two searchers.
    SendsTwice,
    /// Never answers some scans.
    NeverAnswers,
    /// Ignores all lists after the first.
    IgnoresLists,
    /// Claims that every answer is complete.
    ClaimsComplete,
    /// Answers early and sends parts afterwards.
    AnswersEarly,
}

#[derive(Clone)]
struct Mixer {
    fault: Fault,
    cells: u32,
    /// The address and cell of each serving searcher.
    list: Arc<Mutex<Vec<(SocketAddr, u32)>>>,
    rng: Arc<Mutex<Pcg64Mcg>>,
}

fn main() -> io::Result<()> {
    let file = std::env::args().skip_while(|arg| arg != "--operator").nth(1);
    let fault_name = file.map(std::fs::read_to_string).transpose()?.unwrap_or_default();
    let fault = match fault_name.trim() {
        "twice" => Fault::SendsTwice,
        "mute" => Fault::NeverAnswers,
        "deaf" => Fault::IgnoresLists,
        "boasts" => Fault::ClaimsComplete,
        "hasty" => Fault::AnswersEarly,
        _ => Fault::None,
    };
    let path = std::env::var("ROUTER_CONFIG").map_err(io::Error::other)?;
    let config: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let address = |key: &str| config[key].as_str().unwrap_or("").parse().map_err(io::Error::other);
    let (listen, discovery): (SocketAddr, SocketAddr) = (address("listen")?, address("discovery")?);
    let cells = config["settings"]["family_info"]["cells"].as_u64().unwrap_or(1) as u32;
    let seed = config["seed"].as_str().and_then(|seed| u64::from_str_radix(seed, 16).ok()).unwrap_or(1);
    let rng = Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed)));
    let mixer = Mixer { fault, cells, list: Arc::default(), rng };
    let listener = TcpListener::bind(listen)?;
    let watcher = mixer.clone();
    thread::spawn(move || watcher.watch(discovery));
    for stream in listener.incoming().flatten() {
        let mixer = mixer.clone();
        thread::spawn(move || drop(mixer.serve(stream)));
    }
    Ok(())
}

impl Mixer {
    /// Polls discovery.
    fn watch(&self, discovery: SocketAddr) {
        loop {
            if let Ok(list) = fetch_list(discovery) {
                let mut known = self.list.lock().expect("no thread panics while it holds the lock");
                if self.fault != Fault::IgnoresLists || known.is_empty() {
                    *known = list;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Answers the requests of one connection.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut client = BufReader::new(stream);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if client.read_line(&mut head)? == 0 {
                    return Ok(());
                }
            }
            let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
            if head.starts_with("GET") {
                let ready = !self.list.lock().expect("no thread panics while it holds the lock").is_empty();
                let line = if ready { "200 OK" } else { "503 Service Unavailable" };
                client
                    .get_mut()
                    .write_all(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
                continue;
            }
            let length = header("Content-Length:").and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            client.read_exact(&mut body)?;
            let body: Value = serde_json::from_slice(&body)?;
            let name = header("X-Request-ID:").unwrap_or("").to_string();
            let left = header("X-Timeout:").and_then(|text| text.parse().ok()).unwrap_or(1.0);
            let deadline = Instant::now() + Duration::from_secs_f64((left - 0.03_f64).max(0.0));
            let ranges = body["ranges"].as_array().cloned().unwrap_or_default();
            let shards: Vec<u32> =
                ranges.iter().filter_map(|row| Some(row["range"].as_u64()? as u32)).collect();
            if self.fault == Fault::NeverAnswers && name.ends_with('7') {
                thread::sleep(Duration::from_secs(30));
            }
            let values = self.scan(&name, &shards, deadline);
            let line = if values.is_empty() { "502 Bad Gateway" } else { "200 OK" };
            let total = values.len() == shards.len() || self.fault == Fault::ClaimsComplete;
            let rows: Vec<Value> =
                values.iter().map(|(shard, value)| json!({"range": shard, "blob": value})).collect();
            let body = json!({"total": total, "answers": rows}).to_string();
            let head = format!("HTTP/1.1 {line}\r\nContent-Length: {}\r\n\r\n", body.len());
            client.get_mut().write_all((head + &body).as_bytes())?;
        }
    }

    /// Sends the parts of a scan, and returns the values that arrive before `until`.
    fn scan(&self, name: &str, shards: &[u32], deadline: Instant) -> Vec<(u32, String)> {
        let (sender, receiver) = mpsc::channel();
        for shard in shards {
            let holders: Vec<SocketAddr> = {
                let list = self.list.lock().expect("no thread panics while it holds the lock");
                list.iter().filter(|(_, cell)| *cell == shard % self.cells).map(|(at, _)| *at).collect()
            };
            let copies = if self.fault == Fault::SendsTwice { 2 } else { 1 };
            let mut rng = self.rng.lock().expect("no thread panics while it holds the lock");
            for at in holders.choose_multiple(&mut *rng, copies) {
                let (sender, id, at, shard) = (sender.clone(), format!("{name}.{shard}"), *at, *shard);
                let delay_ms = if self.fault == Fault::AnswersEarly && shard % 2 == 1 { 400 } else { 0 };
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(delay_ms));
                    if let Ok(Some(value)) =
                        send_part(at, &id, shard, deadline + Duration::from_millis(delay_ms))
                    {
                        let _ = sender.send((shard, value));
                    }
                });
            }
        }
        drop(sender);
        let (mut values, expected) = (Vec::new(), shards.len());
        let deadline = if self.fault == Fault::AnswersEarly {
            Instant::now() + Duration::from_millis(200)
        } else {
            deadline
        };
        while values.len() < expected {
            let Ok((shard, value)) =
                receiver.recv_timeout(deadline.saturating_duration_since(Instant::now()))
            else {
                break;
            };
            if !values.iter().any(|(other, _)| *other == shard) {
                values.push((shard, value));
            }
        }
        values
    }
}

/// Sends one part to a searcher and waits for its value.
fn send_part(at: SocketAddr, id: &str, shard: u32, deadline: Instant) -> io::Result<Option<String>> {
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut stream = TcpStream::connect_timeout(&at, left)?;
    stream.set_read_timeout(Some(left))?;
    let text = "c41e77d0";
    stream.write_all(&frame(b'm', &format!("{id} {shard} d={} {}\n{text}", left.as_millis(), text.len())))?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body)?;
    let body = String::from_utf8(body).map_err(io::Error::other)?;
    let (line, value) = body.split_once('\n').unwrap_or((&body, ""));
    Ok(line.contains(" good ").then(|| value.to_string()))
}

/// Fetches the list of searchers from discovery.
fn fetch_list(discovery: SocketAddr) -> io::Result<Vec<(SocketAddr, u32)>> {
    let mut client = BufReader::new(TcpStream::connect(discovery)?);
    client.get_mut().write_all(b"GET /v1/servers HTTP/1.1\r\n\r\n")?;
    let list: Value = serde_json::from_str(&try_read_response(&mut client)?.2)?;
    let row = |row: &Value| {
        let ready = row["lifecycle"] == "SERVING";
        let at = row["hostPort"].as_str()?.parse().ok()?;
        ready.then_some((at, row["cell"].as_u64()? as u32))
    };
    Ok(list["instances"].as_array().into_iter().flatten().filter_map(row).collect())
}
