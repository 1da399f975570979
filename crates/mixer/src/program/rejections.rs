//! Those who are turned away with no place: their refusal is written, and their connection kept until they have
//! fetched it. Closing upon unread bytes would reset the connection, and what was written might be lost with it.

use crate::transport::{retry_interrupted, sleep, Notify};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// How long one may take to fetch its refusal, while there is room for more of them.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// How often they are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How much of what one still sends is thrown away in a turn.
const MAX_DISCARD_BYTES: usize = 16 * 1024;
/// How long one is looked after for whom the last descriptor was given up: nobody else is accepted meanwhile.
const RESERVE_DELIVERY_TIMEOUT: Duration = Duration::from_millis(50);

/// One connection that hears a refusal.
struct PendingRejection {
    stream: TcpStream,
    since: Instant,
    /// What has not been written of the refusal.
    unwritten: Vec<u8>,
}

impl PendingRejection {
    fn new(stream: TcpStream, response: &[u8]) -> Self {
        Self { stream, since: Instant::now(), unwritten: response.to_vec() }
    }

    /// Goes on writing and discarding, as far as that goes at once; false when the client is through with it.
    fn advance(&mut self) -> bool {
        // What has come is thrown away before the refusal is written.
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

/// So many at most, past which the one told longest goes. One task looks after all of them.
pub struct Rejections {
    pending: RefCell<VecDeque<PendingRejection>>,
    capacity: usize,
    added: Notify,
}

impl Rejections {
    pub fn new(capacity: usize) -> Self {
        Self { pending: RefCell::default(), capacity: capacity.max(1), added: Notify::default() }
    }

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

    /// Returns once all refusals are fetched, or have had their time: the program's end would cut them off.
    pub async fn all_delivered(&self) {
        while !self.pending.borrow().is_empty() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Lets go of those who have fetched their refusal, and of who takes too long.
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

/// Tells one who holds the last descriptor, and returns when it has fetched its refusal or had its time.
pub async fn reject_alone(stream: TcpStream, response: &[u8]) {
    let mut rejection = PendingRejection::new(stream, response);
    while rejection.advance() && rejection.since.elapsed() < RESERVE_DELIVERY_TIMEOUT {
        sleep(POLL_INTERVAL).await;
    }
}
