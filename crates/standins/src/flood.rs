//! A crowd: connections opened one after another as fast as they come, half silent, half with half a head, each
//! kept until the mixer ends it or the crowd holds as many as it may. Bounded in count and time.

use crate::client::connect_from;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Where a crowd comes from.
#[derive(Clone, Copy)]
pub enum FloodSource {
    OneAddress(Ipv4Addr),
    /// Each from another address of 127.100.0.0/14.
    ManyAddresses,
}

pub struct ConnectionFlood {
    stop: Arc<AtomicBool>,
    pub opened: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

/// What one of its threads may do.
#[derive(Clone, Copy)]
pub struct FloodLimits {
    pub threads: usize,
    /// Connections opened by each thread, held by each, and for how long.
    pub max_opened: usize,
    pub max_held: usize,
    pub max_duration: Duration,
}

impl ConnectionFlood {
    pub fn start(at: SocketAddr, from: FloodSource, limits: FloodLimits) -> Self {
        let (stop, opened) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let threads = (0..limits.threads).map(|number| {
            let (stop, opened) = (stop.clone(), opened.clone());
            thread::spawn(move || open_connections(at, from, limits, number, &stop, &opened))
        });
        let threads = threads.collect();
        Self { stop, opened, threads }
    }

    /// Waits until so many connections have come up.
    pub fn wait_for_opened(&self, count: usize) {
        let began = Instant::now();
        while self.opened.load(Ordering::Relaxed) < count {
            assert!(began.elapsed() < crate::HANG_TIMEOUT, "the crowd does not get through");
            thread::sleep(Duration::from_micros(200));
        }
    }

    /// All of it has opened what it may.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Ends it, and tells how many connections came up.
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
    let began = Instant::now();
    let mut held: VecDeque<TcpStream> = VecDeque::new();
    for number in 0..limits.max_opened {
        if stop.load(Ordering::Relaxed) || began.elapsed() > limits.max_duration {
            return;
        }
        let address = match from {
            FloodSource::OneAddress(address) => address,
            FloodSource::ManyAddresses => {
                Ipv4Addr::from_bits(0x7f64_0000 + (number * limits.threads + thread) as u32 % 0x3_0000)
            }
        };
        match connect_from(IpAddr::V4(address), at, Duration::from_secs(2)) {
            Ok(mut stream) => {
                opened.fetch_add(1, Ordering::Relaxed);
                if number % 2 == 1 {
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
        if number % 64 == 0 {
            // Whoever was turned away goes, as it would.
            held.retain(|stream| !is_finished(stream));
        }
    }
    while !stop.load(Ordering::Relaxed) && began.elapsed() < limits.max_duration {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Whether the mixer has ended it.
fn is_finished(mut stream: &TcpStream) -> bool {
    loop {
        match stream.read(&mut [0; 1024]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}
