//! The plainest mixer there is, on threads: each part to any searcher that is listed for its shard, on a connection of its
//! own, and the answer when all are in or time is up. It is what others are held against; and with a fault of its own, by
//! name in the file that `--operator` names, it is what the judge has to find.

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

/// What it does wrong, if anything.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Every part goes to two searchers.
    Twice,
    /// Some scans are never answered.
    Mute,
    /// The first list stands for good.
    Deaf,
    /// Whatever came is called whole.
    Boasts,
    /// It answers at once and sends on afterwards.
    Hasty,
}

#[derive(Clone)]
struct Mixer {
    fault: Fault,
    cells: u32,
    /// Address and cell of each that is ready.
    list: Arc<Mutex<Vec<(SocketAddr, u32)>>>,
    chance: Arc<Mutex<Pcg64Mcg>>,
}

fn main() -> io::Result<()> {
    let file = std::env::args().skip_while(|arg| arg != "--operator").nth(1);
    let told = file.map(std::fs::read_to_string).transpose()?.unwrap_or_default();
    let fault = match told.trim() {
        "twice" => Fault::Twice,
        "mute" => Fault::Mute,
        "deaf" => Fault::Deaf,
        "boasts" => Fault::Boasts,
        "hasty" => Fault::Hasty,
        _ => Fault::None,
    };
    let path = std::env::var("ROUTER_CONFIG").map_err(io::Error::other)?;
    let orders: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let address = |key: &str| orders[key].as_str().unwrap_or("").parse().map_err(io::Error::other);
    let (listen, discovery): (SocketAddr, SocketAddr) = (address("listen")?, address("discovery")?);
    let cells = orders["settings"]["family_info"]["cells"].as_u64().unwrap_or(1) as u32;
    let seed = orders["seed"].as_str().and_then(|seed| u64::from_str_radix(seed, 16).ok()).unwrap_or(1);
    let chance = Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed)));
    let mixer = Mixer { fault, cells, list: Arc::default(), chance };
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
    fn watch(&self, discovery: SocketAddr) {
        loop {
            if let Ok(list) = whole_list(discovery) {
                let mut known = self.list.lock().expect("no panic holds it");
                if self.fault != Fault::Deaf || known.is_empty() {
                    *known = list;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut asks = BufReader::new(stream);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if asks.read_line(&mut head)? == 0 {
                    return Ok(());
                }
            }
            let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
            if head.starts_with("GET") {
                let ready = !self.list.lock().expect("no panic holds it").is_empty();
                let line = if ready { "200 OK" } else { "503 Service Unavailable" };
                asks.get_mut()
                    .write_all(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
                continue;
            }
            let length = header("Content-Length:").and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            asks.read_exact(&mut body)?;
            let body: Value = serde_json::from_slice(&body)?;
            let name = header("X-Request-ID:").unwrap_or("").to_string();
            let left = header("X-Timeout:").and_then(|text| text.parse().ok()).unwrap_or(1.0);
            let until = Instant::now() + Duration::from_secs_f64((left - 0.03_f64).max(0.0));
            let ranges = body["ranges"].as_array().cloned().unwrap_or_default();
            let shards: Vec<u32> =
                ranges.iter().filter_map(|row| Some(row["range"].as_u64()? as u32)).collect();
            if self.fault == Fault::Mute && name.ends_with('7') {
                thread::sleep(Duration::from_secs(30));
            }
            let told = self.scan(&name, &shards, until);
            let line = if told.is_empty() { "502 Bad Gateway" } else { "200 OK" };
            let total = told.len() == shards.len() || self.fault == Fault::Boasts;
            let rows: Vec<Value> =
                told.iter().map(|(shard, value)| json!({"range": shard, "blob": value})).collect();
            let body = json!({"total": total, "answers": rows}).to_string();
            let head = format!("HTTP/1.1 {line}\r\nContent-Length: {}\r\n\r\n", body.len());
            asks.get_mut().write_all((head + &body).as_bytes())?;
        }
    }

    fn scan(&self, name: &str, shards: &[u32], until: Instant) -> Vec<(u32, String)> {
        let (tell, told) = mpsc::channel();
        for shard in shards {
            let holders: Vec<SocketAddr> = {
                let list = self.list.lock().expect("no panic holds it");
                list.iter().filter(|(_, cell)| *cell == shard % self.cells).map(|(at, _)| *at).collect()
            };
            let copies = if self.fault == Fault::Twice { 2 } else { 1 };
            let mut chance = self.chance.lock().expect("no panic holds it");
            for at in holders.choose_multiple(&mut *chance, copies) {
                let (tell, id, at, shard) = (tell.clone(), format!("{name}.{shard}"), *at, *shard);
                let waits = if self.fault == Fault::Hasty && shard % 2 == 1 { 400 } else { 0 };
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(waits));
                    if let Ok(Some(value)) = part(at, &id, shard, until + Duration::from_millis(waits)) {
                        let _ = tell.send((shard, value));
                    }
                });
            }
        }
        drop(tell);
        let (mut came, wanted) = (Vec::new(), shards.len());
        let until =
            if self.fault == Fault::Hasty { Instant::now() + Duration::from_millis(200) } else { until };
        while came.len() < wanted {
            let Ok((shard, value)) = told.recv_timeout(until.saturating_duration_since(Instant::now()))
            else {
                break;
            };
            if !came.iter().any(|(other, _)| *other == shard) {
                came.push((shard, value));
            }
        }
        came
    }
}

fn part(at: SocketAddr, id: &str, shard: u32, until: Instant) -> io::Result<Option<String>> {
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
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

fn whole_list(discovery: SocketAddr) -> io::Result<Vec<(SocketAddr, u32)>> {
    let mut asks = BufReader::new(TcpStream::connect(discovery)?);
    asks.get_mut().write_all(b"GET /v1/servers HTTP/1.1\r\n\r\n")?;
    let list: Value = serde_json::from_str(&try_read_response(&mut asks)?.2)?;
    let row = |row: &Value| {
        let ready = row["lifecycle"] == "SERVING";
        let at = row["hostPort"].as_str()?.parse().ok()?;
        ready.then_some((at, row["cell"].as_u64()? as u32))
    };
    Ok(list["instances"].as_array().into_iter().flatten().filter_map(row).collect())
}
