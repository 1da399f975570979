//! Arrival times of a client's bytes that have not been parsed yet. A request's time counts from their
//! arrival, however long they waited behind an earlier request on the same connection.

use std::collections::VecDeque;
use std::time::Instant;

/// Batches with a time of their own; after that new bytes get the time of the latest batch, which overstates
/// their age.
const MAX_BATCHES: usize = 32;

struct Batch {
    bytes: usize,
    at: Instant,
}

/// Arrival times of one connection's unread bytes, oldest first.
#[derive(Default)]
pub struct Arrivals {
    batches: VecDeque<Batch>,
    unread: usize,
}

impl Arrivals {
    /// Records that `unread` bytes are now waiting; those beyond the previous count arrived at `at`.
    pub fn record(&mut self, unread: usize, at: Instant) {
        let received = unread.saturating_sub(self.unread);
        self.unread = self.unread.max(unread);
        if received == 0 {
            return;
        }
        let full = self.batches.len() == MAX_BATCHES;
        match self.batches.back_mut().filter(|_| full) {
            Some(last) => last.bytes += received,
            None => self.batches.push_back(Batch { bytes: received, at }),
        }
    }

    /// Removes the oldest `count` bytes, which have been read.
    pub fn consume(&mut self, mut count: usize) {
        self.unread = self.unread.saturating_sub(count);
        while let Some(first) = self.batches.front_mut().filter(|_| count > 0) {
            let taken = first.bytes.min(count);
            first.bytes -= taken;
            count -= taken;
            if first.bytes == 0 {
                self.batches.pop_front();
            }
        }
    }

    /// When the oldest unread byte arrived.
    pub fn oldest(&self) -> Option<Instant> {
        self.batches.front().map(|batch| batch.at)
    }
}

#[cfg(test)]
mod tests;
