//! A client that asks one scan after another on one connection, and records how each was answered. It connects
//! again where the mixer closes its connection between two requests, as the protocol has it.

use crate::client::{client_from_stream, scan_request_for, try_read_response, Client};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often a request is sent on a new connection after the mixer has closed the one before.
const MAX_CONNECTIONS: usize = 3;

/// How a client's requests were answered.
#[derive(Debug)]
pub struct Answers {
    /// How many were answered with each status; 0 stands for no answer.
    pub by_status: BTreeMap<u16, u64>,
    /// Times from the request to its answer, in microseconds.
    pub times: Histogram<u64>,
}

impl Answers {
    /// Whether every request was answered with 200, and there were some.
    pub fn all_served(&self) -> bool {
        self.by_status.keys().eq([&200])
    }

    /// How many requests were answered.
    pub fn count(&self) -> u64 {
        self.by_status.values().sum()
    }

    /// Adds the answers of another client.
    pub fn add(&mut self, others: &Answers) {
        for (status, count) in &others.by_status {
            *self.by_status.entry(*status).or_default() += count;
        }
        let _ = self.times.add(&others.times);
    }

    /// A quantile of the times, in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// What the client asks, and how.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// The time between an answer and the next request.
    pub pause: Duration,
    /// Each request is sent on a connection of its own.
    pub reconnects: bool,
    /// How long the client waits for an answer, as it tells the mixer.
    pub time_limit: Duration,
    /// Length of the text that each request carries.
    pub text_bytes: usize,
}

impl Habits {
    /// A client with short requests on one connection.
    pub fn with_pause(pause: Duration) -> Self {
        Self { pause, reconnects: false, time_limit: Duration::from_secs(4), text_bytes: 8 }
    }

    fn request(&self, name: &str) -> String {
        let request = scan_request_for(&"x".repeat(self.text_bytes), name, &[0]);
        let time_limit = format!("X-Timeout: {:.3}", self.time_limit.as_secs_f64());
        request.replace("X-Timeout: 4.0", &time_limit)
    }
}

/// A running client.
pub struct UsualClient {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Answers>,
}

impl UsualClient {
    /// Starts the client; its request ids begin with `name`, and `pause` lies between two requests.
    pub fn start(at: SocketAddr, name: &str, pause: Duration) -> Self {
        Self::start_with(at, name, Habits::with_pause(pause))
    }

    /// Runs a client for a while that connects anew for each request.
    pub fn run_reconnecting(at: SocketAddr, name: &str, pause: Duration, duration: Duration) -> Answers {
        Self::run_with(at, name, Habits { reconnects: true, ..Habits::with_pause(pause) }, duration)
    }

    /// Starts a client with habits of its own.
    pub fn start_with(at: SocketAddr, name: &str, habits: Habits) -> Self {
        let (stop, name) = (Arc::new(AtomicBool::new(false)), name.to_string());
        let stopped = stop.clone();
        let thread = thread::spawn(move || ask_until(at, &name, habits, &stopped));
        Self { stop, thread }
    }

    /// Runs the client for a while.
    pub fn run(at: SocketAddr, name: &str, pause: Duration, duration: Duration) -> Answers {
        Self::run_with(at, name, Habits::with_pause(pause), duration)
    }

    /// Runs a client with habits of its own for a while.
    pub fn run_with(at: SocketAddr, name: &str, habits: Habits, duration: Duration) -> Answers {
        let client = Self::start_with(at, name, habits);
        thread::sleep(duration);
        client.stop()
    }

    /// Ends the client after its current request.
    pub fn stop(self) -> Answers {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the client does not panic")
    }
}

fn ask_until(at: SocketAddr, name: &str, habits: Habits, stop: &AtomicBool) -> Answers {
    let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
    let mut answers = Answers { by_status: BTreeMap::new(), times };
    let mut connection = None;
    for number in 0_u64.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let request = habits.request(&format!("{name}{number}"));
        let started = Instant::now();
        let status = (0..MAX_CONNECTIONS).find_map(|_| ask(at, &mut connection, &request).ok());
        *answers.by_status.entry(status.unwrap_or(0)).or_default() += 1;
        let _ = answers.times.record(started.elapsed().as_micros() as u64);
        connection = connection.filter(|_| !habits.reconnects);
        if !habits.pause.is_zero() {
            thread::sleep(habits.pause);
        }
    }
    answers
}

/// Sends a request on the kept connection or a new one, and returns the status of its answer.
fn ask(at: SocketAddr, connection: &mut Option<Client>, request: &str) -> io::Result<u16> {
    let mut client = match connection.take() {
        Some(kept) => kept,
        None => client_from_stream(TcpStream::connect(at)?),
    };
    client.get_mut().write_all(request.as_bytes())?;
    let (status, head, _) = try_read_response(&mut client)?;
    *connection = Some(client).filter(|_| !head.contains("Connection: close"));
    Ok(status)
}
