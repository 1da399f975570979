//! Received bytes of a connection that have not been consumed. One buffer that grows on demand up to its
//! capacity and is compacted in place.

/// Enough to receive a typical message in the first read.
const INITIAL_BYTES: usize = 2048;
/// An emptied buffer larger than this is freed, so that one large message does not hold memory for the life
/// of the connection.
const MAX_RETAINED_BYTES: usize = INITIAL_BYTES;

/// A growable receive buffer with a bound.
pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    capacity: usize,
    /// What of the capacity may be used at present.
    limit: usize,
    holds_all_received: bool,
}

impl ReadBuffer {
    /// An empty buffer that grows to at most `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self { bytes: Vec::new(), start: 0, end: 0, capacity, limit: capacity, holds_all_received: true }
    }

    /// The bytes received and not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Removes the oldest `count` unread bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > MAX_RETAINED_BYTES {
                self.bytes = Vec::new();
            }
        }
    }

    /// Limits the bytes that may be buffered, to the capacity at the most.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit.clamp(INITIAL_BYTES.min(self.capacity), self.capacity);
    }

    /// The bytes that are allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether the unread bytes fill the capacity, or as much of it as may be used.
    pub fn is_full(&self) -> bool {
        self.end - self.start >= self.limit
    }

    /// The space to read the next bytes into; empty only when the buffer is full.
    pub fn space(&mut self) -> &mut [u8] {
        if self.end == self.bytes.len() && self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.bytes.len() {
            let grown = (self.bytes.len() * 2).clamp(INITIAL_BYTES.min(self.limit), self.limit);
            self.bytes.reserve_exact(grown.saturating_sub(self.bytes.len()));
            self.bytes.resize(grown.max(self.bytes.len()), 0);
        }
        &mut self.bytes[self.end..]
    }

    /// Whether everything that the kernel had received by the last read has been read.
    pub fn holds_all_received(&self) -> bool {
        self.holds_all_received
    }

    /// Records whether everything that the kernel has received has been read.
    pub fn set_holds_all_received(&mut self, holds: bool) {
        self.holds_all_received = holds;
    }

    /// Marks `count` bytes of `space` as received.
    pub fn commit(&mut self, count: usize) {
        self.end = (self.end + count).min(self.bytes.len());
    }
}

#[cfg(test)]
mod tests;
