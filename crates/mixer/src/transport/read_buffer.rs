//! What has come over a connection and is not used up: one buffer, which grows as it needs, up to its bound,
//! and is compacted in place.

/// A first read takes a usual message whole.
const INITIAL_BYTES: usize = 2048;
/// An emptied buffer above this is given back, so that one large message does not hold memory for good.
const MAX_RETAINED_BYTES: usize = 16 * 1024;

pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    capacity: usize,
}

impl ReadBuffer {
    pub fn new(capacity: usize) -> Self {
        Self { bytes: Vec::new(), start: 0, end: 0, capacity }
    }

    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > MAX_RETAINED_BYTES {
                self.bytes = Vec::new();
            }
        }
    }

    pub fn is_full(&self) -> bool {
        self.end - self.start >= self.capacity
    }

    /// Where the next bytes are to be read to; empty only where the buffer is full.
    pub fn space(&mut self) -> &mut [u8] {
        if self.end == self.bytes.len() && self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.bytes.len() {
            let grown = (self.bytes.len() * 2).clamp(INITIAL_BYTES.min(self.capacity), self.capacity);
            self.bytes.resize(grown, 0);
        }
        &mut self.bytes[self.end..]
    }

    pub fn commit(&mut self, count: usize) {
        self.end = (self.end + count).min(self.bytes.len());
    }
}

#[cfg(test)]
mod tests;
