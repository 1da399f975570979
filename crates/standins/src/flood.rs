//! A flood of connections, opened one after another as fast as possible. Half of them send nothing, the other
//! half an incomplete request head. Each is kept open until the mixer closes it or the flood exceeds its
//! number of open connections. Bounded in count and time.

use crate::client::connect_from;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The addresses that a flood comes from.
#[derive(Clone, Copy)]
pub enum FloodSource {
    /// All connections come from this address.
    OneAddress(Ipv4Addr),
    /// Each connection comes from another address of 127.100.0.0/14.
    ManyAddresses,
}

/// A running flood.
pub struct ConnectionFlood {
    stop: Arc<AtomicBool>,
    /// Connections established so far.
    pub opened: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

/// Limits of a flood.
#[derive(Clone, Copy)]
pub struct FloodLimits {
    /// Number of threads; the other limits are for each of them.
    pub threads: usize,
    /// Connections opened in all.
    pub max_opened: usize,
    /// Connections kept open at the same time.
    pub max_held: usize,
    /// How long the thread runs.
    pub max_duration: Duration,
}

impl ConnectionFlood {
    /// Starts the threads.
    pub fn start(at: SocketAddr, from: FloodSource, limits: FloodLimits) -> Self {
        let (stop, opened) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let threads = (0..limits.threads).map(|index| {
            let (stop, opened) = (stop.clone(), opened.clone());
            thread::spawn(move || open_connections(at, from, limits, index, &stop, &opened))
        });
        let threads = threads.collect();
        Self { stop, opened, threads }
    }

    /// Waits until `count` connections have been established.
    pub fn wait_for_opened(&self, count: usize) {
        let started = Instant::now();
        while self.opened.load(Ordering::Relaxed) < count {
            assert!(started.elapsed() < crate::HANG_TIMEOUT, "the flood could not open enough connections");
            thread::sleep(Duration::from_micros(200));
        }
    }

    /// Whether all threads have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Stops all threads and returns the number of connections established.
    pub fn stop(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        self.opened.load(Ordering::Relaxed)
    }
}

fn open_connections(
    at: SocketAddr,
    from: FloodSource,
    limits: FloodLimits,
    thread: usize,
    stop: &AtomicBool,
    opened: &AtomicUsize,
) {
    let started = Instant::now();
    let mut held: VecDeque<TcpStream> = VecDeque::new();
    for index in 0..limits.max_opened {
        if stop.load(Ordering::Relaxed) || started.elapsed() > limits.max_duration {
            return;
        }
        let address = match from {
            FloodSource::OneAddress(address) => address,
            FloodSource::ManyAddresses => {
                Ipv4Addr::from_bits(0x7f64_0000 + (index * limits.threads + thread) as u32 % 0x3_0000)
            }
        };
        match connect_from(IpAddr::V4(address), at, Duration::from_secs(2)) {
            Ok(mut stream) => {
                opened.fetch_add(1, Ordering::Relaxed);
                if index % 2 == 1 {
                    let _ = stream.write_all(b"POST /look HTTP/1.1\r\nX-Req");
                }
                let _ = stream.set_nonblocking(true);
                held.push_back(stream);
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
        if held.len() > limits.max_held {
            held.pop_front();
        }
        if index % 64 == 0 {
            // Drop the connections that the mixer has closed, as a client would.
            held.retain(|stream| !is_closed(stream));
        }
    }
    while !stop.load(Ordering::Relaxed) && started.elapsed() < limits.max_duration {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Whether the mixer has closed the connection.
fn is_closed(mut stream: &TcpStream) -> bool {
    loop {
        match stream.read(&mut [0; 1024]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}
