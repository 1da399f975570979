//! When the bytes came that a client has sent and nobody has read: its time counts from then, however long they stood
//! behind an earlier request of its own.

use std::collections::VecDeque;
use std::time::Instant;

/// Batches kept apart; past that the latest ones are taken for as old as the one before, which tells less time.
const MAX_BATCHES: usize = 32;

struct Batch {
    bytes: usize,
    at: Instant,
}

/// Of one connection.
#[derive(Default)]
pub struct Arrivals {
    batches: VecDeque<Batch>,
    unread: usize,
}

impl Arrivals {
    /// So many bytes stand unread now; what is more than before came at `at`.
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

    /// The oldest bytes were read.
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

    /// When the oldest of what stands unread came.
    pub fn oldest(&self) -> Option<Instant> {
        self.batches.front().map(|batch| batch.at)
    }
}

#[cfg(test)]
mod tests;
