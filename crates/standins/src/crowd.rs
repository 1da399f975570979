//! A crowd of clients that make a mixer hold memory: each sends one form of request that is never finished, or
//! never reads what it asked for, and connects again once the mixer has closed its connection. One thread serves
//! the whole crowd. Bounded in count and time.

use crate::client::{post, scan_request_for, search_for_many_terms, MAX_SEARCHES};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The body length that an unfinished request announces: the longest that the protocol allows.
const ANNOUNCED_BYTES: usize = 65_536;
/// How much of it is sent.
const SENT_BYTES: usize = 65_000;
/// A head just below the longest one that a mixer accepts.
const LONG_HEAD_BYTES: usize = 8_100;
/// Requests that a client which reads nothing sends one after another.
const UNREAD_REQUESTS: usize = 200;
/// Searches in one request of the query API.
const SEARCHES: usize = 10;
/// Receive buffer of a client that reads nothing.
const UNREAD_RECEIVE_BYTES: usize = 4 * 1024;
/// Interval at which a client that writes slowly writes its next piece.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(10);
/// How much a client that writes slowly writes at once.
const TRICKLE_BYTES: usize = 512;
/// How long the thread rests after it has looked at every connection.
const ROUND_PAUSE: Duration = Duration::from_millis(1);

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdForm {
    /// A long body, of which the last bytes are missing.
    Body,
    /// The same, a little at a time.
    SlowBody,
    /// The same in chunks of a few bytes each.
    ChunkedBody,
    /// A head without its end.
    Head,
    /// A head of as many fields as fit, and a long body whose end is missing.
    ManyFields,
    /// A small request, and then many more of which none is read.
    Pipelined,
    /// Whole requests of the longest kind, one after another.
    LongRequests,
    /// Whole small requests whose answers are never read.
    UnreadAnswers,
    /// Whole requests of the query API with several searches each, whose answers are never read.
    UnreadMultiSearches,
    /// Whole requests of the query API, each a search for many short terms.
    ManyTerms,
    /// Whole requests of the query API with as many searches as are taken, each for many short terms.
    ManySearches,
    /// Whole requests of the longest kind, for several shards each.
    LongRequestsOfManyParts,
    /// Nothing at all.
    Silent,
}

impl CrowdForm {
    /// Every form.
    pub const ALL: [Self; 13] = [
        Self::Body,
        Self::SlowBody,
        Self::ChunkedBody,
        Self::Head,
        Self::ManyFields,
        Self::Pipelined,
        Self::LongRequests,
        Self::UnreadAnswers,
        Self::UnreadMultiSearches,
        Self::ManyTerms,
        Self::ManySearches,
        Self::LongRequestsOfManyParts,
        Self::Silent,
    ];

    /// What one connection sends.
    fn bytes(self, name: &str) -> Vec<u8> {
        let head = |fields: &str| {
            format!(
                "POST /look HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Tenant-Id: acme\r\nX-Timeout: 4.0\r\n{fields}"
            )
        };
        let with_length = |fields: &str| head(&format!("{fields}Content-Length: {ANNOUNCED_BYTES}\r\n\r\n"));
        let body = "x".repeat(SENT_BYTES);
        match self {
            Self::Body | Self::SlowBody => (with_length("") + &body).into_bytes(),
            Self::ChunkedBody => (head("Transfer-Encoding: chunked\r\n\r\n")
                + &"4\r\nxxxx\r\n".repeat(SENT_BYTES / 4))
                .into_bytes(),
            Self::Head => {
                let start = head("");
                let filler = "x".repeat(LONG_HEAD_BYTES - start.len());
                (start + "X-Filler: " + &filler).into_bytes()
            }
            Self::ManyFields => {
                let fields = "a:\r\n".repeat((LONG_HEAD_BYTES - with_length("").len()) / 4);
                (with_length(&fields) + &body).into_bytes()
            }
            Self::Pipelined => small_request(name, "x").repeat(UNREAD_REQUESTS).into_bytes(),
            Self::LongRequests => small_request(name, &body).into_bytes(),
            Self::LongRequestsOfManyParts => scan_request_for(&body, name, &[0, 1, 2, 3]).into_bytes(),
            Self::UnreadAnswers => {
                let requests = (0..UNREAD_REQUESTS).map(|at| small_request(&format!("{name}-{at}"), "x"));
                requests.collect::<String>().into_bytes()
            }
            Self::UnreadMultiSearches => {
                let searches = "{\"index\":\"cues\"}\n{\"size\":100}\n".repeat(SEARCHES);
                let head = format!("POST /_msearch HTTP/1.1\r\nContent-Length: {}\r\n\r\n", searches.len());
                (head + &searches).repeat(4).into_bytes()
            }
            Self::ManyTerms => post("/cues/_search", &search_for_many_terms(SENT_BYTES)).into_bytes(),
            Self::ManySearches => {
                let search = search_for_many_terms(SENT_BYTES / MAX_SEARCHES - 4);
                post("/cues/_msearch", &format!("{{}}\n{search}\n").repeat(MAX_SEARCHES)).into_bytes()
            }
            Self::Silent => Vec::new(),
        }
    }

    fn reads_answers(self) -> bool {
        !matches!(self, Self::UnreadAnswers | Self::UnreadMultiSearches)
    }
}

fn small_request(name: &str, predicate: &str) -> String {
    scan_request_for(predicate, name, &[0])
}

/// One connection of the crowd.
struct Member {
    stream: TcpStream,
    unsent: Vec<u8>,
    sent: usize,
    next_write: Instant,
}

impl Member {
    fn connect(at: SocketAddr, form: CrowdForm, name: &str) -> Option<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None).ok()?;
        if !form.reads_answers() {
            // So that its kernel takes little of what it does not read.
            socket.set_recv_buffer_size(UNREAD_RECEIVE_BYTES).ok()?;
        }
        socket.connect_timeout(&at.into(), Duration::from_secs(1)).ok()?;
        let stream = TcpStream::from(socket);
        stream.set_nonblocking(true).ok()?;
        Some(Self { stream, unsent: form.bytes(name), sent: 0, next_write: Instant::now() })
    }

    /// Writes and reads what it can; false once the mixer has closed the connection.
    fn advance(&mut self, form: CrowdForm) -> bool {
        if form.reads_answers() {
            match self.stream.read(&mut [0; 16 * 1024]) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        let rest = &self.unsent[self.sent..];
        if rest.is_empty() || Instant::now() < self.next_write {
            return true;
        }
        let piece = if form == CrowdForm::SlowBody { rest.len().min(TRICKLE_BYTES) } else { rest.len() };
        match self.stream.write(&rest[..piece]) {
            Ok(count) => self.sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        if form == CrowdForm::SlowBody {
            self.next_write = Instant::now() + TRICKLE_INTERVAL;
        }
        true
    }
}

/// A running crowd.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<usize>>,
}

impl Crowd {
    /// Starts `count` clients, which send the given forms by turns for `duration` at most.
    pub fn start(at: SocketAddr, forms: &'static [CrowdForm], count: usize, duration: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || run(at, forms, count, duration, &stopped));
        Self { stop, thread: Some(thread) }
    }

    /// Ends all clients, and returns how many connections they made.
    pub fn stop(mut self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().and_then(|thread| thread.join().ok()).unwrap_or(0)
    }
}

fn run(at: SocketAddr, forms: &[CrowdForm], count: usize, duration: Duration, stop: &AtomicBool) -> usize {
    let (started, mut connected) = (Instant::now(), 0);
    let mut members: Vec<Option<Member>> = (0..count).map(|_| None).collect();
    while !stop.load(Ordering::Relaxed) && started.elapsed() < duration {
        for (index, slot) in members.iter_mut().enumerate() {
            let form = forms[index % forms.len()];
            match slot {
                Some(member) => {
                    if !member.advance(form) {
                        *slot = None;
                    }
                }
                None => {
                    connected += 1;
                    *slot = Member::connect(at, form, &format!("crowd{connected}"));
                }
            }
        }
        thread::sleep(ROUND_PAUSE);
    }
    connected
}
