//! Stand-ins for searchers, query API nodes, the discovery agent and clients, written from the protocol page,
//! and the start of mixers by the commands of `deploy/balancer.toml`. Everything is on loopback addresses and
//! the real clock.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, with times since the start of the case; written to `record.txt` as it happens.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(std::fs::File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Microseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    pub fn line(&self, text: impl Into<String>) {
        let mut file = self.file.lock().unwrap();
        let line = format!("{:>10.3} s  {}\n", self.now() as f64 / 1e6, text.into());
        let _ = file.write_all(line.as_bytes());
    }
}

/// A part that a searcher received whole.
#[derive(Clone, Debug)]
pub struct Received {
    /// When the first and the last byte of its frame came, in microseconds since the start of the case.
    pub first_byte: u64,
    pub at: u64,
    pub searcher: String,
    pub id: String,
    pub shard: u32,
    pub text: String,
}

/// What a searcher does with the parts that it receives.
#[derive(Default)]
pub struct Behaviour {
    /// Takes parts and answers none.
    pub hangs: AtomicBool,
    /// Time for a part in milliseconds.
    pub service_ms: AtomicU64,
    /// If not 0, each so manieth answer is spoilt: the frame's length is four bytes too short for its value.
    pub spoils_each: AtomicU64,
    answers: AtomicU64,
}

pub struct Searcher {
    pub name: String,
    pub cell: u32,
    pub address: SocketAddr,
    pub behaviour: Arc<Behaviour>,
}

/// The value that a searcher makes for a part.
pub fn value_of(text: &str, shard: u32) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes().chain(shard.to_be_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    format!("{hash:016x}")
}

fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = ((body.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(body);
    bytes
}

/// Starts a searcher that speaks frames.
pub fn start_searcher(
    name: &str,
    cell: u32,
    service_ms: u64,
    record: &Record,
    received: &Arc<Mutex<Vec<Received>>>,
) -> io::Result<Searcher> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let behaviour = Arc::new(Behaviour::default());
    behaviour.service_ms.store(service_ms, Ordering::SeqCst);
    let (name, record, received) = (name.to_string(), record.clone(), received.clone());
    let searcher = Searcher { name: name.clone(), cell, address, behaviour: behaviour.clone() };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, received, behaviour) =
                (name.clone(), record.clone(), received.clone(), behaviour.clone());
            thread::spawn(move || {
                let _ = serve_frames(stream, &name, &record, &received, &behaviour);
            });
        }
    });
    Ok(searcher)
}

fn serve_frames(
    stream: TcpStream,
    name: &str,
    record: &Record,
    received: &Arc<Mutex<Vec<Received>>>,
    behaviour: &Arc<Behaviour>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut reader = BufReader::new(stream);
    loop {
        let mut length = [0; 4];
        reader.read_exact(&mut length[..1])?;
        let first_byte = record.now();
        reader.read_exact(&mut length[1..])?;
        let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
        reader.read_exact(&mut bytes)?;
        let at = record.now();
        let Some((kind, mut body)) = bytes.split_first() else { return Ok(()) };
        match kind {
            b'm' => {
                while !body.is_empty() {
                    let end = body.iter().position(|b| *b == b'\n').unwrap_or(body.len() - 1);
                    let line = String::from_utf8_lossy(&body[..end]).into_owned();
                    let words: Vec<&str> = line.split(' ').collect();
                    let (id, shard): (String, u32) = (words[0].into(), words[1].parse().unwrap_or(0));
                    let size: usize = words[3].parse().unwrap_or(0);
                    let text = String::from_utf8_lossy(&body[end + 1..end + 1 + size]).into_owned();
                    body = &body[end + 1 + size..];
                    record.line(format!("{name} received part {id} [{}]", words[2]));
                    received.lock().unwrap().push(Received {
                        first_byte,
                        at,
                        searcher: name.into(),
                        id: id.clone(),
                        shard,
                        text: text.clone(),
                    });
                    if behaviour.hangs.load(Ordering::SeqCst) {
                        continue;
                    }
                    let wait = Duration::from_millis(behaviour.service_ms.load(Ordering::SeqCst));
                    let (writer, record, name) = (writer.clone(), record.clone(), name.to_string());
                    let each = behaviour.spoils_each.load(Ordering::SeqCst);
                    let spoilt =
                        each > 0 && behaviour.answers.fetch_add(1, Ordering::SeqCst) % each == each - 1;
                    thread::spawn(move || {
                        thread::sleep(wait);
                        let value = value_of(&text, shard);
                        let line = format!("{id} good 1 -\n{value}");
                        let mut bytes = frame(b'q', line.as_bytes());
                        if spoilt {
                            let length = (line.len() + 1 - 4) as u32;
                            bytes[..4].copy_from_slice(&length.to_be_bytes());
                        }
                        if writer.lock().unwrap().write_all(&bytes).is_ok() {
                            let how = if spoilt { ", its frame's length 4 too short" } else { "" };
                            record.line(format!("{name} ran part {id} and answered {value}{how}"));
                        }
                    });
                }
            }
            b'n' => record.line(format!("{name} heard that {} is given up", String::from_utf8_lossy(body))),
            b'o' if !behaviour.hangs.load(Ordering::SeqCst) => {
                writer.lock().unwrap().write_all(&frame(b'o', b"good"))?
            }
            b'p' => writer.lock().unwrap().write_all(&frame(b'p', b"-"))?,
            _ => {}
        }
    }
}

/// One entry of the list of searchers.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub lifecycle: &'static str,
}

impl Entry {
    pub fn of(searcher: &Searcher) -> Self {
        Self {
            name: searcher.name.clone(),
            address: searcher.address,
            cell: searcher.cell,
            lifecycle: "SERVING",
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"scl-1","machineType":"std-2c","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":0}}"#,
            self.name, self.address, self.cell, self.lifecycle
        )
    }
}

/// The list as JSON, whole or only the entries given.
pub fn list_json(generation: u64, whole: bool, entries: &[Entry]) -> String {
    let rows: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"generation":{generation},"reset":{whole},"instances":[{}]}}"#, rows.join(","))
}

/// The discovery agent of one mixer: the whole list, and long polls for changes.
pub struct Agent {
    pub address: SocketAddr,
    list: List,
    /// Milliseconds by which each answer is late.
    pub delay_ms: Arc<AtomicU64>,
}

impl Agent {
    pub fn start(entries: &[Entry], record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = entries.iter().map(|entry| (entry.name.clone(), (1, entry.clone()))).collect();
        let list = Arc::new(Mutex::new((1, list)));
        let agent = Self { address, list: list.clone(), delay_ms: Arc::default() };
        let (delay_ms, record) = (agent.delay_ms.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, delay_ms, record) = (list.clone(), delay_ms.clone(), record.clone());
                thread::spawn(move || {
                    let _ = serve_list(stream, &list, &delay_ms, &record);
                });
            }
        });
        Ok(agent)
    }

    /// Changes the lifecycle of one searcher.
    pub fn change(&self, name: &str, lifecycle: &'static str) {
        let mut list = self.list.lock().unwrap();
        list.0 += 1;
        let generation = list.0;
        if let Some((changed, entry)) = list.1.get_mut(name) {
            (*changed, entry.lifecycle) = (generation, lifecycle);
        }
    }
}

type List = Arc<Mutex<(u64, BTreeMap<String, (u64, Entry)>)>>;

fn serve_list(stream: TcpStream, list: &List, delay_ms: &AtomicU64, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some((start_line, _, _)) = read_message(&mut reader)? else { return Ok(()) };
        let target = start_line.split(' ').nth(1).unwrap_or_default().to_string();
        let parameter = |name: &str| -> Option<u64> {
            let (_, rest) = target.split_once(&format!("{name}="))?;
            rest.split('&').next()?.parse().ok()
        };
        let (after, wait_ms) = (parameter("after"), parameter("wait_ms").unwrap_or(0).min(60_000));
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        while after.is_some_and(|after| list.lock().unwrap().0 <= after) && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(2));
        }
        let delay = delay_ms.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(delay));
        let body = {
            let list = list.lock().unwrap();
            let changed = |at: u64| after.is_none_or(|after| at > after);
            let entries: Vec<Entry> =
                list.1.values().filter(|(at, _)| changed(*at)).map(|(_, entry)| entry.clone()).collect();
            list_json(list.0, after.is_none(), &entries)
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        writer.write_all((head + &body).as_bytes())?;
        record.line(format!("discovery answered {target}, {delay} ms late"));
    }
}

/// Reads one HTTP message: start line, headers with lower-case names, body. `None` at the end of the stream.
#[allow(clippy::type_complexity)]
pub fn read_message(
    reader: &mut impl BufRead,
) -> io::Result<Option<(String, BTreeMap<String, String>, Vec<u8>)>> {
    let mut start_line = String::new();
    if reader.read_line(&mut start_line)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((start_line.trim_end().to_string(), headers, body)))
}

/// A scan as a client writes it: its parts are shards with equal portions.
pub fn scan_request(
    class: &str,
    id: &str,
    timeout_s: f64,
    key: Option<&str>,
    shards: &[u32],
    text: &str,
) -> String {
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<String> =
        shards.iter().map(|shard| format!(r#"{{"range":{shard},"portion":{portion}}}"#)).collect();
    scan_with_body(
        class,
        id,
        timeout_s,
        key,
        &format!(r#"{{"ranges":[{}],"predicate":"{text}"}}"#, ranges.join(",")),
    )
}

pub fn scan_with_body(class: &str, id: &str, timeout_s: f64, key: Option<&str>, body: &str) -> String {
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    format!(
        "POST /{class}?key=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Tenant-Id: cliente-uno\r\nX-Timeout: {timeout_s:.3}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    mixer: SocketAddr,
    request: &str,
    within: Duration,
) -> io::Result<(u16, BTreeMap<String, String>, String)> {
    let mut stream = TcpStream::connect(mixer)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    stream.write_all(request.as_bytes())?;
    let (start_line, headers, body) =
        read_message(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok((status, headers, String::from_utf8_lossy(&body).into_owned()))
}

/// A free loopback address. Another process could take it before the mixer does; the case then can't run.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A running mixer; dropping it kills the process.
pub struct Mixer {
    pub child: Child,
    pub address: SocketAddr,
}

impl Drop for Mixer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Mixer {
    pub fn signal(&self, option: &str) {
        let _ = Command::new("kill").args([option, &self.child.id().to_string()]).status();
    }
}

/// The `run` command of the deploy file.
fn run_command() -> io::Result<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml")?;
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|rest| rest.split('"').next());
    line.map(String::from).ok_or_else(|| io::Error::other("no run command in deploy/balancer.toml"))
}

/// Starts one mixer from the project's root by the deploy file's command, and waits until it is ready.
/// `folder` is a temporary folder for its files; `arguments` are added to the command.
pub fn start_mixer(
    folder: &Path,
    name: &str,
    config: &str,
    at: SocketAddr,
    arguments: &str,
) -> io::Result<Mixer> {
    let file = folder.join(format!("{name}.json"));
    std::fs::write(&file, config)?;
    let log = std::fs::File::create(folder.join(format!("{name}.log")))?;
    let command = format!("{} {arguments}", run_command()?);
    let child = Command::new("/bin/sh")
        .args(["-c", &command])
        .env("ROUTER_CONFIG", &file)
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()?;
    // For the script, which ends what is left.
    let mut pids = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("pids"))?;
    writeln!(pids, "{}", child.id())?;
    let mixer = Mixer { child, address: at };
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(20) {
        let health = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n";
        if call(at, health, Duration::from_secs(2)).is_ok_and(|answer| answer.0 == 200) {
            return Ok(mixer);
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(io::Error::other(format!("{name} did not become ready")))
}

/// The configuration of one mixer of a small deployment: the settings that the wire page prints for
/// `santiago-cues`, with its four cells, sixteen shards and two mixers.
pub fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    config_with_memory(name, listen, discovery, known, 192)
}

pub fn config_with_memory(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    memory_mb: u64,
) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"known":{known},
"settings":{{"discovery":"pushed","kind_of_service":"fanout","layer":0,"ordinal":0,"over_share_worth":0.1,
"client_habits":{{"marks_retry":true}},
"family_info":{{"call_cost":0,"cells":4,"complete_from":[1.0,1.0,1.0],"fetch_parts":[0,0,0],"floor_by_class":[1.0,0.5,1.0],
 "incomplete_worth":[0.9,0.9,0.9],"per_call":1,"slabs":16,"warm_keys":true,"width":1}},
"fleet_size":2,
"invariants":{{"ask_within":10000000,"cold":18000000,"cold_from":0.16,"drain_grace":250000,"fall":2000000,"fall_multiple":2.5,
 "free_resends":20.0,"further_ratio":0.2,"grace_to_answer":20000,"resend_span":10000000}},
"limits":{{"attempts_cap":3,"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":600000,"dial_timeout":250000,"idle_close":15000000,
 "max_open":214,"max_retry_after":500000,"may_duplicate":true,"may_probe":true,"multiplex":32,"peers":false,"retry_after":true}},
"report":{{"columns":"","how":"none"}},
"services":[
 {{"aim":2000000,"dedup_scope":"all","give_up":4000000,"late_worth":0.0,"name":"cue-window","points":1.0,"repeat":"pure","stream":false,"window":5000000}},
 {{"aim":2500000,"dedup_scope":"all","give_up":5000000,"late_worth":0.1,"name":"library-search","points":3.0,"repeat":"pure","stream":false,"window":5000000}},
 {{"aim":2000000,"dedup_scope":"all","give_up":5000000,"late_worth":0.1,"name":"cue-fix","points":2.0,"repeat":"token","stream":false,"window":2500000}}],
"customers":[{{"name":"cliente-uno","share":0.46,"quota_per_s":50.0}},{{"name":"cliente-dos","share":0.29,"quota_per_s":50.0}}],
"skus":"std-2c","tick":5000,"tiers":"cue-store","weights":"rough","worth_by":"work","zone":0,"areas":["scl-1"]}}}}"#
    )
}

/// Whether the disruption is to take place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// How long a case may take.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// Runs a case: `check` returns whether the rule was broken. Arguments: the temporary folder and the record.
pub fn run_case(check: impl FnOnce(&Path, &Record) -> io::Result<bool>) -> ! {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [folder, to] = &arguments[..] else {
        eprintln!("usage: FOLDER RECORD");
        std::process::exit(2)
    };
    let record = match Record::create(to) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{}: {error}", to.display());
            std::process::exit(2)
        }
    };
    let late = record.clone();
    // The script ends the mixers that are left.
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        late.line("the case could not run: it took too long");
        std::process::exit(2)
    });
    record.line(if trouble() { "with the disruption" } else { "without the disruption" });
    let (code, result) = match check(folder, &record) {
        Ok(true) => (1, "the rule was broken".to_string()),
        Ok(false) => (0, "the rule held".into()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    println!("{result}");
    record.line(result);
    std::process::exit(code)
}
