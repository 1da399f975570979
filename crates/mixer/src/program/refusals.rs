//! Those who are turned away with no place: their refusal is written, and their connection kept until they have
//! fetched it. Closing upon unread bytes would reset the connection, and what was written might be lost with it.

use crate::transport::{sleep, uninterrupted, Bell};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// How long one may take to fetch its refusal, while there is room for more of them.
const FETCHING: Duration = Duration::from_millis(500);
/// How often they are looked at.
const TURN: Duration = Duration::from_millis(5);
/// How much of what one still sends is thrown away in a turn.
const DISCARDED: usize = 16 * 1024;
/// How long one is looked after for whom the last descriptor was given up: nobody else is accepted meanwhile.
const FETCHING_ALONE: Duration = Duration::from_millis(50);

/// One connection that hears a refusal.
struct Refused {
    stream: TcpStream,
    since: Instant,
    /// What has not been written of the refusal.
    unwritten: Vec<u8>,
}

impl Refused {
    fn new(stream: TcpStream, refusal: &[u8]) -> Self {
        Self { stream, since: Instant::now(), unwritten: refusal.to_vec() }
    }

    /// Goes on writing and discarding, as far as that goes at once; false when the client is through with it.
    fn advance(&mut self) -> bool {
        // What has come is thrown away before the refusal is written.
        let stays = self.discard();
        stays && self.write()
    }

    fn discard(&mut self) -> bool {
        match uninterrupted(|| (&self.stream).read(&mut [0; DISCARDED])) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    fn write(&mut self) -> bool {
        while !self.unwritten.is_empty() {
            match uninterrupted(|| (&self.stream).write(&self.unwritten)) {
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
pub struct Refusals {
    told: RefCell<VecDeque<Refused>>,
    most: usize,
    bell: Bell,
}

impl Refusals {
    pub fn new(most: usize) -> Self {
        Self { told: RefCell::default(), most: most.max(1), bell: Bell::default() }
    }

    pub fn tell(&self, stream: TcpStream, refusal: &[u8]) {
        let mut refused = Refused::new(stream, refusal);
        if refused.advance() {
            let mut told = self.told.borrow_mut();
            if told.len() == self.most {
                told.pop_front();
            }
            told.push_back(refused);
            self.bell.ring();
        }
    }

    /// Returns once all refusals are fetched, or have had their time: the program's end would cut them off.
    pub async fn all_fetched(&self) {
        while !self.told.borrow().is_empty() {
            sleep(TURN).await;
        }
    }

    /// Lets go of those who have fetched their refusal, and of who takes too long.
    pub async fn look_after(&self) {
        loop {
            if self.told.borrow().is_empty() {
                self.bell.wait().await;
            }
            sleep(TURN).await;
            let mut told = self.told.borrow_mut();
            told.retain_mut(|refused| refused.since.elapsed() < FETCHING && refused.advance());
        }
    }
}

/// Tells one who holds the last descriptor, and returns when it has fetched its refusal or had its time.
pub async fn refuse_alone(stream: TcpStream, refusal: &[u8]) {
    let mut refused = Refused::new(stream, refusal);
    while refused.advance() && refused.since.elapsed() < FETCHING_ALONE {
        sleep(TURN).await;
    }
}
