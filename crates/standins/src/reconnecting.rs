//! Clients that ask on a new connection each time, as fast as they are answered. Bounded in time.

use crate::client::{connect_from, scan_request};
use crate::HANG_TIMEOUT;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What each connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconnectForm {
    /// A scan whose time is over when it arrives; its client reads that it is refused.
    RefusedScan,
    /// A request of a traffic type that does not exist; its client reads the error.
    InvalidRequest,
    /// Half a request, and a close after a moment.
    HalfRequest,
    /// Nothing.
    Nothing,
}

/// How long a client that sends half a request keeps its connection.
const HALF_REQUEST_PAUSE: Duration = Duration::from_millis(1);
/// Pause after a connection that could not be made.
const FAILED_CONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Running clients.
pub struct ReconnectingClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<u64>>,
}

impl ReconnectingClients {
    /// Starts `count` clients, each from an address of its own, for `duration` at most.
    pub fn start(at: SocketAddr, form: ReconnectForm, count: u8, duration: Duration) -> Self {
        let (stop, until) = (Arc::new(AtomicBool::new(false)), Instant::now() + duration);
        let threads = (0..count)
            .map(|number| {
                let stop = stop.clone();
                thread::spawn(move || connect_until(at, form, number, until, &stop))
            })
            .collect();
        Self { stop, threads }
    }

    /// Ends the clients, and returns how many connections they made.
    pub fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().map(|thread| thread.join().expect("the client does not panic")).sum()
    }
}

fn connect_until(at: SocketAddr, form: ReconnectForm, number: u8, until: Instant, stop: &AtomicBool) -> u64 {
    let mut connections = 0;
    while !stop.load(Ordering::Relaxed) && Instant::now() < until {
        // The ports of one address are used up soon.
        let from = Ipv4Addr::new(127, 9, (connections / 20_000) as u8, 1 + number);
        match connect_from(IpAddr::V4(from), at, HANG_TIMEOUT) {
            Ok(stream) => use_connection(stream, form, &format!("r{number}x{connections}")),
            Err(_) => thread::sleep(FAILED_CONNECT_PAUSE),
        }
        connections += 1;
    }
    connections
}

/// Uses a connection once. How it ends does not matter.
fn use_connection(mut stream: TcpStream, form: ReconnectForm, name: &str) {
    let _ = stream.set_read_timeout(Some(HANG_TIMEOUT));
    let request = scan_request(name, &[0]).replacen("\r\n", "\r\nConnection: close\r\n", 1);
    match form {
        ReconnectForm::RefusedScan => {
            exchange(stream, &request.replace("X-Timeout: 4.0", "X-Timeout: 0.000001"))
        }
        ReconnectForm::InvalidRequest => exchange(stream, &request.replace("/look", "/none")),
        ReconnectForm::HalfRequest => {
            let _ = stream.write_all(&request.as_bytes()[..request.len() / 2]);
            thread::sleep(HALF_REQUEST_PAUSE);
        }
        ReconnectForm::Nothing => {}
    }
}

fn exchange(mut stream: TcpStream, request: &str) {
    let sent = stream.write_all(request.as_bytes());
    let _ = sent.and_then(|()| stream.read_to_end(&mut Vec::new()));
}
