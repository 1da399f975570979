//! Connections that are rejected for want of a place: the rejection is written and the connection kept open
//! until the client has read it. Closing a socket with unread input would reset the connection and might
//! destroy the response.

use crate::transport::{retry_interrupted, sleep, Notify};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// How long a client may take to read its rejection while there is room for more of them.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the connections are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Input discarded per connection and poll.
const MAX_DISCARD_BYTES: usize = 16 * 1024;
/// The same limit for a client accepted with the reserve descriptor: no other client is accepted meanwhile.
const RESERVE_DELIVERY_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection whose rejection is being delivered.
struct PendingRejection {
    stream: TcpStream,
    since: Instant,
    /// The part of the response that is not written yet.
    unwritten: Vec<u8>,
}

impl PendingRejection {
    fn new(stream: TcpStream, response: &[u8]) -> Self {
        Self { stream, since: Instant::now(), unwritten: response.to_vec() }
    }

    /// Discards input and writes output as far as possible without blocking; false once the client has closed
    /// the connection.
    fn advance(&mut self) -> bool {
        // Input is discarded before the response is written.
        let open = self.discard();
        open && self.write()
    }

    fn discard(&mut self) -> bool {
        match retry_interrupted(|| (&self.stream).read(&mut [0; MAX_DISCARD_BYTES])) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    fn write(&mut self) -> bool {
        while !self.unwritten.is_empty() {
            match retry_interrupted(|| (&self.stream).write(&self.unwritten)) {
                Ok(0) => return false,
                Ok(count) => drop(self.unwritten.drain(..count)),
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
            if self.unwritten.is_empty() {
                let _ = self.stream.shutdown(Shutdown::Write);
            }
        }
        true
    }
}

/// All rejections under way, up to a maximum; beyond it the oldest is closed. One task serves all of them.
pub struct Rejections {
    pending: RefCell<VecDeque<PendingRejection>>,
    capacity: usize,
    added: Notify,
}

impl Rejections {
    /// Room for `capacity` rejections, and for one at least.
    pub fn new(capacity: usize) -> Self {
        Self { pending: RefCell::default(), capacity: capacity.max(1), added: Notify::default() }
    }

    /// Starts to deliver a rejection.
    pub fn add(&self, stream: TcpStream, response: &[u8]) {
        let mut rejection = PendingRejection::new(stream, response);
        if rejection.advance() {
            let mut pending = self.pending.borrow_mut();
            if pending.len() == self.capacity {
                pending.pop_front();
            }
            pending.push_back(rejection);
            self.added.notify();
        }
    }

    /// Waits until every rejection is delivered or has timed out: the end of the process would cut them off.
    pub async fn all_delivered(&self) {
        while !self.pending.borrow().is_empty() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Closes connections whose client has read its rejection or takes too long. Never returns.
    pub async fn run(&self) {
        loop {
            if self.pending.borrow().is_empty() {
                self.added.wait().await;
            }
            sleep(POLL_INTERVAL).await;
            let mut pending = self.pending.borrow_mut();
            pending
                .retain_mut(|rejection| rejection.since.elapsed() < DELIVERY_TIMEOUT && rejection.advance());
        }
    }
}

/// Rejects a client accepted with the reserve descriptor, and returns once it has read the response or the
/// time is up.
pub async fn reject_alone(stream: TcpStream, response: &[u8]) {
    let mut rejection = PendingRejection::new(stream, response);
    while rejection.advance() && rejection.since.elapsed() < RESERVE_DELIVERY_TIMEOUT {
        sleep(POLL_INTERVAL).await;
    }
}
