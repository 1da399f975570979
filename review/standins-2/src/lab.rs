//! Stand-ins for clients, searchers and discovery, and the mixer as a process of its own. Standard library only.

use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Milliseconds as a duration.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The record of one run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").expect("RECORD names the file to write");
        let file = File::create(&path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {}", text.as_ref());
    }

    /// A line that also goes to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }
}

/// Whether the disruption is on.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A case that could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.say(format!("could not run: {why}"));
    std::process::exit(2)
}

// ---------------------------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"a","machineType":"m2","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#,
            self.id, self.address, self.cell, self.state, self.started_ms
        )
    }
}

pub fn list_json(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let rows: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, rows.join(","))
}

#[derive(Default)]
struct Listed {
    generation: u64,
    entries: Vec<Entry>,
    /// The generation at which each id last changed.
    changed: BTreeMap<String, u64>,
}

/// Discovery over HTTP: the whole list, and a watch on changes.
pub struct Discovery {
    pub address: SocketAddr,
    listed: Mutex<Listed>,
    news: Condvar,
    record: Record,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let changed = entries.iter().map(|entry| (entry.id.clone(), 1)).collect();
        let discovery = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            listed: Mutex::new(Listed { generation: 1, entries, changed }),
            news: Condvar::new(),
            record: record.clone(),
        });
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    pub fn list(&self) -> String {
        let listed = self.listed.lock().unwrap();
        list_json(listed.generation, true, &listed.entries)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if reader.read_line(&mut head).map_or(true, |count| count == 0) {
                    return;
                }
            }
            let path = head.split(' ').nth(1).unwrap_or_default().to_string();
            let body = self.answer(&path);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let written = reader.get_mut().write_all((head + &body).as_bytes());
            self.record.note(format!("discovery: answered {path}: {written:?}"));
            if written.is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> String {
        let number = |name: &str| {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let mut listed = self.listed.lock().unwrap();
        let Some(after) = number("after") else {
            let gone = |entry: &&Entry| entry.state != "DELETED";
            let entries: Vec<Entry> = listed.entries.iter().filter(gone).cloned().collect();
            return list_json(listed.generation, true, &entries);
        };
        let until = Instant::now() + ms(number("wait_ms").unwrap_or(0).min(60_000));
        while listed.generation <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            (listed, _) = self.news.wait_timeout(listed, left).unwrap();
        }
        let new = |entry: &&Entry| listed.changed.get(&entry.id).is_some_and(|at| *at > after);
        let entries: Vec<Entry> = listed.entries.iter().filter(new).cloned().collect();
        list_json(listed.generation, false, &entries)
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Searchers

/// One part as a searcher read it.
pub struct Part {
    pub id: String,
    pub timeout_ms: u64,
    pub key: Option<String>,
}

/// What a searcher does with a part.
pub enum Act {
    /// `good`, after so long.
    Good(Duration),
    /// `good`, in a frame that announces so many bytes too few; those come so much later, in a write of their own.
    Spoilt(usize, Duration),
}

/// The value that searchers make for a part: 16 hex digits.
pub fn value_of(part_id: &str) -> String {
    let mix = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    format!("{:016x}", part_id.bytes().fold(0xcbf2_9ce4_8422_2325, mix))
}

pub type Habit = Arc<dyn Fn(&Part) -> Act + Send + Sync>;

/// A searcher that speaks the platform's frames; a value follows from the part's id.
pub struct Searcher {
    pub name: String,
    pub address: SocketAddr,
}

pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    [&(rest.len() as u32 + 1).to_be_bytes()[..], &[letter], rest].concat()
}

impl Searcher {
    pub fn start(name: &str, habit: Habit, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let searcher = Arc::new(Self { name: name.into(), address: listener.local_addr().unwrap() });
        let (served, record) = (searcher.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, habit, record) = (served.clone(), habit.clone(), record.clone());
                thread::spawn(move || served.serve(stream, habit, record));
            }
        });
        searcher
    }

    pub fn entry(&self, cell: u32) -> Entry {
        Entry { id: self.name.clone(), address: self.address, cell, state: "SERVING", started_ms: 0 }
    }

    fn serve(&self, stream: TcpStream, habit: Habit, record: Record) {
        let _ = stream.set_nodelay(true);
        let writer = Arc::new(Mutex::new(stream.try_clone().expect("a second handle")));
        let mut reader = BufReader::new(stream);
        let mut length = [0; 4];
        while reader.read_exact(&mut length).is_ok() {
            let mut body = vec![0; u32::from_be_bytes(length) as usize];
            if body.is_empty() || reader.read_exact(&mut body).is_err() {
                return;
            }
            match body[0] {
                b'm' => {
                    for part in parse_call(&body[1..]) {
                        record.note(format!(
                            "{}: part {} d={} key {:?}",
                            self.name, part.id, part.timeout_ms, part.key
                        ));
                        let answer =
                            frame(b'q', format!("{} good 1 -\n{}", part.id, value_of(&part.id)).as_bytes());
                        let writer = writer.clone();
                        let act = habit(&part);
                        thread::spawn(move || match act {
                            Act::Good(after) => {
                                thread::sleep(after);
                                let _ = writer.lock().unwrap().write_all(&answer);
                            }
                            Act::Spoilt(missing, after) => {
                                let mut answer = answer;
                                let length = (answer.len() - 4 - missing) as u32;
                                answer[..4].copy_from_slice(&length.to_be_bytes());
                                let (first, rest) = answer.split_at(answer.len() - missing);
                                let mut writer = writer.lock().unwrap();
                                let _ = writer.write_all(first);
                                thread::sleep(after);
                                let _ = writer.write_all(rest);
                            }
                        });
                    }
                }
                b'o' => drop(writer.lock().unwrap().write_all(&frame(b'o', b"good"))),
                b'p' => drop(writer.lock().unwrap().write_all(&frame(b'p', b"-"))),
                _ => {}
            }
        }
    }
}

fn parse_call(mut rest: &[u8]) -> Vec<Part> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let Some(end) = rest.iter().position(|byte| *byte == b'\n') else { break };
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let [id, _shard, list, length] = words[..] else { break };
        let length: usize = length.parse().unwrap_or(0);
        let of = |name: &str| list.split(',').find_map(|item| item.strip_prefix(name).map(String::from));
        parts.push(Part {
            id: id.into(),
            timeout_ms: of("d=").and_then(|d| d.parse().ok()).unwrap_or(0),
            key: of("k="),
        });
        rest = &rest[(end + 1 + length).min(rest.len())..];
    }
    parts
}

// ---------------------------------------------------------------------------------------------------------------
// The mixer

/// The settings of a small deployment, in the form of the platform's first message.
pub struct Deployment {
    pub discovery: &'static str,
    pub cells: u32,
    pub width: u32,
    pub shards: u32,
    pub services: String,
    pub sockets: u32,
}

impl Default for Deployment {
    fn default() -> Self {
        let service = |name: &str, aim: u32, give_up: u32, repeat: &str, window: u32| {
            format!(
                r#"{{"name":"{name}","aim":{aim},"give_up":{give_up},"late_worth":0.1,"points":1.0,"repeat":"{repeat}","stream":false,"window":{window},"dedup_scope":"all"}}"#
            )
        };
        let services = [
            service("cue-window", 2_000_000, 4_000_000, "pure", 5_000_000),
            service("library-search", 2_500_000, 5_000_000, "pure", 5_000_000),
            service("cue-fix", 2_000_000, 5_000_000, "token", 2_500_000),
        ];
        Self {
            discovery: "pushed",
            cells: 1,
            width: 1,
            shards: 4,
            services: services.join(","),
            sockets: 1024,
        }
    }
}

impl Deployment {
    pub fn config(&self, name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
        let Self { discovery: mode, cells, width, shards, services, sockets } = self;
        let per_class = services.matches("\"aim\"").count();
        let list = |item: &str| vec![item; per_class].join(",");
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},
"settings":{{"tick":5000,"fleet_size":1,"areas":["a"],"zone":0,"worth_by":"work","over_share_worth":0.1,"discovery":"{mode}",
"services":[{services}],"customers":[{{"name":"cliente-uno","quota_per_s":1000.0}}],
"family_info":{{"cells":{cells},"width":{width},"slabs":{shards},"per_call":1,"floor_by_class":[{floors}],"complete_from":[{wholes}],"fetch_parts":[{fetch}]}},
"limits":{{"attempts_cap":3,"cancel":true,"may_probe":true,"dial_timeout":250000,"idle_close":15000000,"multiplex":32,"max_open":2000,"retry_after":true,"max_retry_after":500000,"may_duplicate":true}},
"invariants":{{"drain_grace":250000,"cold_from":0.2,"cold":18000000,"fall_multiple":2.5,"fall":2000000,"further_ratio":0.2,"free_resends":20.0,"resend_span":10000000}}}}}}"#,
            floors = list("1.0"),
            wholes = list("1.0"),
            fetch = list("0"),
        )
    }
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The mixer, started with the deploy file's command.
pub struct Mixer {
    pub child: Child,
    pub address: SocketAddr,
}

/// The folder for the run's files.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("FOLDER").expect("FOLDER names a temporary folder"))
}

impl Mixer {
    pub fn start(name: &str, address: SocketAddr, config: &str, more: &str) -> Self {
        let path = folder().join(format!("{name}.json"));
        std::fs::write(&path, config).expect("the configuration can be written");
        let log = File::options().create(true).append(true).open(folder().join(format!("{name}.log")));
        let command = format!("{}{more}", std::env::var("RUN").expect("RUN is the deploy file's command"));
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("ROUTER_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn()
            .expect("a shell can be started");
        Self { child, address }
    }

    /// Waits until `GET /healthz` answers 200.
    pub fn wait_until_ready(&self, record: &Record) {
        let until = Instant::now() + ms(20_000);
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.address) {
                if client.send(b"GET /healthz HTTP/1.1\r\nHost: m\r\n\r\n").is_ok()
                    && client.read(ms(2_000)).is_ok_and(|answer| answer.status == 200)
                {
                    return;
                }
            }
            thread::sleep(ms(25));
        }
        cannot_run(record, "the mixer did not become ready");
    }
}

impl Drop for Mixer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Clients

/// An IPv4 address as the system calls take it.
#[repr(C)]
struct SocketAddressIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const SocketAddressIn, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddressIn, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2000000;

/// Connects from a given loopback address; the standard library has no call for it.
pub fn connect_from(from: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else { return Err(io::ErrorKind::InvalidInput.into()) };
    let address = |address: Ipv4Addr, port: u16| SocketAddressIn {
        family: AF_INET as u16,
        port: port.to_be(),
        address: u32::from_ne_bytes(address.octets()),
        zero: [0; 8],
    };
    let (from, to) = (address(from, 0), address(*to.ip(), to.port()));
    let length = std::mem::size_of::<SocketAddressIn>() as u32;
    // SAFETY: the addresses live through the calls, and the descriptor is owned by the stream from its creation on.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if bind(descriptor, &from, length) != 0 || connect(descriptor, &to, length) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

pub struct Client {
    pub stream: TcpStream,
    buffer: VecDeque<u8>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, ms(5_000))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: VecDeque::new() })
    }

    /// Connects from another loopback address, 127.0.`from`: so that ports of one address are not used up.
    pub fn connect_from(from: [u8; 2], to: SocketAddr) -> io::Result<Self> {
        let stream = connect_from(Ipv4Addr::new(127, 0, from[0], from[1]), to)?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: VecDeque::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn more(&mut self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                self.buffer.extend(&bytes[..count]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(io::ErrorKind::TimedOut.into()),
            Err(error) => Err(error),
        }
    }

    /// One whole answer, within the time.
    pub fn read(&mut self, within: Duration) -> io::Result<Answer> {
        let until = Instant::now() + within;
        loop {
            let bytes = self.buffer.make_contiguous();
            if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
                let length: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
                if bytes.len() >= end + 4 + length {
                    let body = String::from_utf8_lossy(&bytes[end + 4..end + 4 + length]).into_owned();
                    self.buffer.drain(..end + 4 + length);
                    let status = head.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
                    return Ok(Answer { status, head, body });
                }
            }
            self.more(until)?;
        }
    }
}

impl Answer {
    /// Whether the mixer ends the connection with this answer.
    pub fn closes(&self) -> bool {
        self.head.lines().any(|line| line.eq_ignore_ascii_case("connection: close"))
    }
}

/// A usual client: it keeps its connection, opens a new one where the mixer ended it, and sends a request that
/// crossed that end once more.
pub struct UsualClient {
    from: [u8; 2],
    to: SocketAddr,
    client: Option<Client>,
}

impl UsualClient {
    pub fn new(from: [u8; 2], to: SocketAddr) -> Self {
        Self { from, to, client: None }
    }

    /// Sends one request and waits for its answer.
    pub fn ask(&mut self, request: &[u8], within: Duration) -> io::Result<Answer> {
        let until = Instant::now() + within;
        loop {
            let is_kept = self.client.is_some();
            let mut client = match self.client.take() {
                Some(client) => client,
                None => Client::connect_from(self.from, self.to)?,
            };
            let left = until.saturating_duration_since(Instant::now());
            match client.send(request).and_then(|()| client.read(left)) {
                Ok(answer) => {
                    self.client = Some(client).filter(|_| !answer.closes());
                    return Ok(answer);
                }
                Err(error) if is_kept && error.kind() != io::ErrorKind::TimedOut => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// A scan as the protocol page has it.
pub fn scan(
    class: &str,
    id: &str,
    timeout_s: f64,
    shards: &[u32],
    predicate: &str,
    key: Option<&str>,
) -> Vec<u8> {
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<String> =
        shards.iter().map(|shard| format!(r#"{{"range":{shard},"portion":{portion}}}"#)).collect();
    let body = format!(r#"{{"ranges":[{}],"predicate":"{predicate}"}}"#, ranges.join(","));
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    format!(
        "POST /{class}?key=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: cliente-uno\r\nX-Timeout: {timeout_s:.3}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
