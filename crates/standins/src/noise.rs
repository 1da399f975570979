//! One client that keeps a mixer busy with small or unsound input at full speed. Bounded in time.

use crate::client::{post, scan_request, search_for_many_terms, HEALTH_REQUEST, MAX_SEARCHES};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Bytes prepared for one write.
const WRITE_BYTES: usize = 64 * 1024;
/// Length of a long body, just below the longest that the protocol allows.
const LONG_BODY_BYTES: usize = 65_000;
/// How long a connection may block before the client looks whether it is to stop.
const IO_TIMEOUT: Duration = Duration::from_millis(200);

/// What the client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoiseForm {
    /// Health requests, one right behind the other.
    HealthRequests,
    /// Empty lines, which may stand before a request.
    EmptyLines,
    /// A request without end, one byte a write.
    SingleBytes,
    /// A body in chunks of one byte each, and the next one.
    TinyChunks,
    /// Requests of a traffic type that does not exist, each read before the next is sent.
    InvalidRequests,
    /// The same, one right behind the other.
    PipelinedInvalidRequests,
    /// Scans under ever new names that leave no time to be served.
    HurriedScans,
    /// Scans under ever new names, each answer read before the next is sent.
    Scans,
    /// Scans under ever new names, one right behind the other.
    PipelinedScans,
    /// Scans of a tenant that does not exist, under ever new names.
    UnknownTenants,
    /// A connection for each invalid request.
    ConnectionEach,
    /// Connections that are closed at once.
    ConnectAndLeave,
    /// Requests with the longest bodies, of which the last byte is unsound, one right behind the other.
    LongInvalidBodies,
    /// Searches of the query API for many short terms, one right behind the other.
    LongSearches,
    /// Requests with as many searches as are taken, each of an index that does not exist, one right behind the
    /// other.
    InvalidMultiSearches,
    /// Requests with as many sound searches as are taken, one right behind the other.
    MultiSearches,
    /// Requests for the table of shards, one right behind the other.
    ShardTables,
}

impl NoiseForm {
    /// Every form.
    pub const ALL: [Self; 17] = [
        Self::HealthRequests,
        Self::EmptyLines,
        Self::SingleBytes,
        Self::TinyChunks,
        Self::InvalidRequests,
        Self::PipelinedInvalidRequests,
        Self::HurriedScans,
        Self::Scans,
        Self::PipelinedScans,
        Self::UnknownTenants,
        Self::ConnectionEach,
        Self::ConnectAndLeave,
        Self::LongInvalidBodies,
        Self::LongSearches,
        Self::InvalidMultiSearches,
        Self::MultiSearches,
        Self::ShardTables,
    ];

    /// The forms that use the query API's searches.
    pub const SEARCHES: [Self; 3] = [Self::LongSearches, Self::InvalidMultiSearches, Self::MultiSearches];

    fn request(self, number: u64) -> String {
        let name = format!("noise{number}");
        match self {
            Self::HealthRequests => HEALTH_REQUEST.into(),
            Self::EmptyLines => "\r\n".into(),
            Self::SingleBytes => "POST /look HTTP/1.1\r\nX-Filler: ".into(),
            Self::TinyChunks => {
                let chunks = "1\r\nx\r\n".repeat(2_000);
                format!("POST /look HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
            }
            Self::InvalidRequests | Self::PipelinedInvalidRequests | Self::ConnectionEach => {
                scan_request(&name, &[0]).replace("/look", "/none")
            }
            Self::HurriedScans => scan_request(&name, &[0]).replace("X-Timeout: 4.0", "X-Timeout: 0.000001"),
            Self::Scans | Self::PipelinedScans => scan_request(&name, &[0]),
            Self::UnknownTenants => {
                scan_request(&name, &[0]).replace("X-Tenant-Id: acme", &format!("X-Tenant-Id: t{number}"))
            }
            Self::ConnectAndLeave => String::new(),
            Self::LongInvalidBodies => {
                let body = "[1,".repeat(10) + &"1,".repeat(LONG_BODY_BYTES / 2);
                post("/look", &body)
            }
            Self::LongSearches => post("/cues/_search", &search_for_many_terms(LONG_BODY_BYTES)),
            Self::InvalidMultiSearches => post("/none/_msearch", &"{}\n{}\n".repeat(MAX_SEARCHES)),
            Self::MultiSearches => post("/cues/_msearch", &"{}\n{}\n".repeat(MAX_SEARCHES)),
            Self::ShardTables => "GET /_cat/shards HTTP/1.1\r\n\r\n".into(),
        }
    }

    /// Whether each request waits for the answer to the one before.
    fn waits(self) -> bool {
        matches!(
            self,
            Self::InvalidRequests
                | Self::HurriedScans
                | Self::Scans
                | Self::UnknownTenants
                | Self::ConnectionEach
        )
    }

    fn one_connection_each(self) -> bool {
        matches!(self, Self::ConnectionEach | Self::ConnectAndLeave)
    }
}

/// A running client.
pub struct NoisyClient {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<u64>>,
}

impl NoisyClient {
    /// Starts the client, for `duration` at most.
    pub fn start(at: SocketAddr, form: NoiseForm, duration: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, until) = (stop.clone(), Instant::now() + duration);
        let thread = thread::spawn(move || run(at, form, until, &stopped));
        Self { stop, thread: Some(thread) }
    }

    /// Ends the client, and returns how many requests it began.
    pub fn stop(mut self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().and_then(|thread| thread.join().ok()).unwrap_or(0)
    }
}

fn run(at: SocketAddr, form: NoiseForm, until: Instant, stop: &AtomicBool) -> u64 {
    let is_over = || stop.load(Ordering::Relaxed) || Instant::now() >= until;
    let mut number = 0;
    while !is_over() {
        let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) else { continue };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(IO_TIMEOUT));
        let _ = stream.set_read_timeout(Some(IO_TIMEOUT));
        if form == NoiseForm::ConnectAndLeave {
            number += 1;
            continue;
        }
        send_requests(stream, form, &mut number, &is_over);
    }
    number
}

/// Sends requests on one connection until it ends or the client is to stop.
fn send_requests(mut stream: TcpStream, form: NoiseForm, number: &mut u64, is_over: &dyn Fn() -> bool) {
    if form == NoiseForm::SingleBytes {
        *number += 1;
        let start = form.request(*number);
        let endless = start.bytes().chain(std::iter::repeat(b'x'));
        let _ = endless.take_while(|_| !is_over()).try_for_each(|byte| write(&mut stream, &[byte], is_over));
        return;
    }
    if form.waits() {
        loop {
            *number += 1;
            let sent = write(&mut stream, form.request(*number).as_bytes(), is_over).is_some();
            let answered = sent && read_some(&mut stream, is_over);
            if !answered || is_over() || form.one_connection_each() {
                return;
            }
        }
    }
    // Answers are read by a thread of their own, so that this one never waits for them.
    let Ok(mut answers) = stream.try_clone() else { return };
    let reader = thread::spawn(move || while read_some(&mut answers, &|| false) {});
    while !is_over() && !reader.is_finished() {
        let mut bytes = String::new();
        while bytes.len() < WRITE_BYTES {
            *number += 1;
            bytes.push_str(&form.request(*number));
        }
        if write(&mut stream, bytes.as_bytes(), is_over).is_none() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
}

/// Writes all of `bytes`, unless the client is to stop or the connection has ended.
fn write(stream: &mut TcpStream, mut bytes: &[u8], is_over: &dyn Fn() -> bool) -> Option<()> {
    while !bytes.is_empty() {
        match stream.write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == ErrorKind::WouldBlock && !is_over() => {}
            Err(_) => return None,
        }
    }
    Some(())
}

/// Waits for the next bytes of an answer; false if the connection has ended or the client is to stop.
fn read_some(stream: &mut TcpStream, is_over: &dyn Fn() -> bool) -> bool {
    loop {
        match stream.read(&mut [0; WRITE_BYTES]) {
            Ok(count) => return count > 0,
            Err(error) if error.kind() == ErrorKind::WouldBlock && !is_over() => {}
            Err(_) => return false,
        }
    }
}
