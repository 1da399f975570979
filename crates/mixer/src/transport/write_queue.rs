//! The frames waiting to be written to a connection, in order and bounded in bytes. Tracks when the kernel
//! has accepted the last byte of each frame, and can withdraw a frame of which no byte has been written.

use super::system::write_with;
use super::{Notify, Stream};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Write};

/// Encodes a frame at the moment its first byte is about to be written.
type Encoder = Box<dyn Fn() -> Vec<u8>>;

/// Progress made by a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// Some bytes of a frame have been written, but not the last.
    Partial,
    /// The last byte of the frame with this tag has been written.
    Complete(u64),
}

struct Frame {
    tag: u64,
    bytes: Vec<u8>,
    /// Bytes counted against the queue's capacity. A deferred frame may turn out shorter.
    reserved: usize,
    encoder: Option<Encoder>,
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<Frame>,
    /// Bytes of the first frame that have been written.
    sent: usize,
    reserved: usize,
}

/// A bounded queue of frames to be written.
pub struct WriteQueue {
    queue: RefCell<Queue>,
    capacity: usize,
    /// Notified when a frame is queued or the connection is closed.
    pub changed: Notify,
}

impl WriteQueue {
    /// An empty queue of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self { queue: RefCell::default(), capacity, changed: Notify::default() }
    }

    /// Queues a frame. Returns false if the capacity is reached, which means that the peer is not reading. An
    /// empty queue takes one frame of any size.
    pub fn push(&self, tag: u64, frame: Vec<u8>) -> bool {
        self.push_frame(Frame { tag, reserved: frame.len(), bytes: frame, encoder: None })
    }

    /// Queues a frame of about `reserved` bytes that is encoded when its first byte is about to be written.
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

    /// Withdraws a frame; returns false if its writing has begun or is complete.
    pub fn withdraw(&self, tag: u64) -> bool {
        let queue = &mut *self.queue.borrow_mut();
        let Some(at) = queue.frames.iter().position(|frame| frame.tag == tag) else { return false };
        if at == 0 && queue.sent > 0 {
            return false;
        }
        queue.reserved -= queue.frames.remove(at).map_or(0, |frame| frame.reserved);
        true
    }

    /// Drops all queued frames.
    pub fn clear(&self) {
        *self.queue.borrow_mut() = Queue::default();
    }

    /// The bytes that wait to be written.
    pub fn queued_bytes(&self) -> usize {
        self.queue.borrow().reserved
    }

    /// Whether no frame is waiting to be written, in whole or in part.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().frames.is_empty()
    }

    /// Writes until the queue is empty and reports the progress of each write.
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
        // The frame was withdrawn while this waited for the socket to become writable.
        let Some(first) = queue.frames.front_mut() else { return Ok(0) };
        if let Some(encode) = first.encoder.as_ref().filter(|_| queue.sent == 0) {
            first.bytes = encode();
        }
        match socket.write(&first.bytes[queue.sent..]) {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            result => result,
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
