//! What waits to be written on a connection: whole frames, in order and bounded. It knows which frame's last
//! byte the system has taken, and can take back a frame of which no byte has gone.

use super::system::write_with;
use super::{Notify, Stream};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Write};

/// Says what a frame holds, at the moment when it begins to go.
type Encoder = Box<dyn Fn() -> Vec<u8>>;

/// What a write has brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// Some bytes of a frame have gone, and not its last.
    Partial,
    /// The last byte of the frame of this tag.
    Complete(u64),
}

struct Frame {
    tag: u64,
    bytes: Vec<u8>,
    /// Of how many bytes the queue's bound is kept: another wording may be shorter.
    reserved: usize,
    encoder: Option<Encoder>,
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<Frame>,
    /// How many bytes of the first frame have gone.
    sent: usize,
    reserved: usize,
}

pub struct WriteQueue {
    queue: RefCell<Queue>,
    capacity: usize,
    pub changed: Notify,
}

impl WriteQueue {
    pub fn new(capacity: usize) -> Self {
        Self { queue: RefCell::default(), capacity, changed: Notify::default() }
    }

    /// False where the bound is reached: the other side does not read. One frame is taken whatever its size.
    pub fn push(&self, tag: u64, frame: Vec<u8>) -> bool {
        self.push_frame(Frame { tag, reserved: frame.len(), bytes: frame, encoder: None })
    }

    /// The same for a frame of about this size that is worded by `word` when its first byte is about to go.
    pub fn push_deferred(&self, tag: u64, reserved: usize, encode: impl Fn() -> Vec<u8> + 'static) -> bool {
        self.push_frame(Frame { tag, reserved, bytes: Vec::new(), encoder: Some(Box::new(encode)) })
    }

    fn push_frame(&self, frame: Frame) -> bool {
        let mut queue = self.queue.borrow_mut();
        if queue.reserved > 0 && queue.reserved + frame.reserved > self.capacity {
            return false;
        }
        queue.reserved += frame.reserved;
        queue.frames.push_back(frame);
        self.changed.notify();
        true
    }

    /// Takes a frame back; false where it has begun to go, or is gone.
    pub fn withdraw(&self, tag: u64) -> bool {
        let queue = &mut *self.queue.borrow_mut();
        let Some(at) = queue.frames.iter().position(|frame| frame.tag == tag) else { return false };
        if at == 0 && queue.sent > 0 {
            return false;
        }
        queue.reserved -= queue.frames.remove(at).map_or(0, |frame| frame.reserved);
        true
    }

    pub fn clear(&self) {
        *self.queue.borrow_mut() = Queue::default();
    }

    pub fn is_empty(&self) -> bool {
        self.queue.borrow().frames.is_empty()
    }

    /// Writes until nothing waits, and tells what each write has brought about.
    pub async fn drain(&self, stream: &Stream, mut on_progress: impl FnMut(WriteProgress)) -> io::Result<()> {
        while !self.is_empty() {
            let count = write_with(stream, |socket| self.write_once(socket)).await?;
            match self.advance(count) {
                Some(tag) => on_progress(WriteProgress::Complete(tag)),
                None if self.queue.borrow().sent > 0 => on_progress(WriteProgress::Partial),
                None => {}
            }
        }
        Ok(())
    }

    fn write_once(&self, socket: &mut impl Write) -> io::Result<usize> {
        let queue = &mut *self.queue.borrow_mut();
        // Taken back while this waited for room.
        let Some(first) = queue.frames.front_mut() else { return Ok(0) };
        if let Some(encode) = first.encoder.as_ref().filter(|_| queue.sent == 0) {
            first.bytes = encode();
        }
        match socket.write(&first.bytes[queue.sent..]) {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            count => count,
        }
    }

    fn advance(&self, count: usize) -> Option<u64> {
        let queue = &mut *self.queue.borrow_mut();
        let first = queue.frames.front()?;
        queue.sent += count;
        if queue.sent < first.bytes.len() {
            return None;
        }
        let finished = queue.frames.pop_front()?;
        (queue.sent, queue.reserved) = (0, queue.reserved - finished.reserved);
        Some(finished.tag)
    }
}

#[cfg(test)]
mod tests;
