//! What waits to be written on a connection: whole frames, in order and bounded. It knows which frame's last
//! byte the system has taken, and can take back a frame of which no byte has gone.

use super::system::write_with;
use super::{Bell, Stream};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Write};

/// Says what a frame holds, at the moment when it begins to go.
type Wording = Box<dyn Fn() -> Vec<u8>>;

/// What a write has brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// Some bytes of a frame have gone, and not its last.
    Part,
    /// The last byte of the frame of this tag.
    Whole(u64),
}

struct Frame {
    tag: u64,
    bytes: Vec<u8>,
    /// Of how many bytes the queue's bound is kept: another wording may be shorter.
    held: usize,
    wording: Option<Wording>,
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<Frame>,
    /// How many bytes of the first frame have gone.
    begun: usize,
    held: usize,
}

pub struct Outbox {
    queue: RefCell<Queue>,
    most: usize,
    pub bell: Bell,
}

impl Outbox {
    pub fn new(most: usize) -> Self {
        Self { queue: RefCell::default(), most, bell: Bell::default() }
    }

    /// False where the bound is reached: the other side does not read. One frame is taken whatever its size.
    pub fn push(&self, tag: u64, frame: Vec<u8>) -> bool {
        self.push_frame(Frame { tag, held: frame.len(), bytes: frame, wording: None })
    }

    /// The same for a frame of about this size that is worded by `word` when its first byte is about to go.
    pub fn push_worded(&self, tag: u64, held: usize, word: impl Fn() -> Vec<u8> + 'static) -> bool {
        self.push_frame(Frame { tag, held, bytes: Vec::new(), wording: Some(Box::new(word)) })
    }

    fn push_frame(&self, frame: Frame) -> bool {
        let mut queue = self.queue.borrow_mut();
        if queue.held > 0 && queue.held + frame.held > self.most {
            return false;
        }
        queue.held += frame.held;
        queue.frames.push_back(frame);
        self.bell.ring();
        true
    }

    /// Takes a frame back; false where it has begun to go, or is gone.
    pub fn withdraw(&self, tag: u64) -> bool {
        let queue = &mut *self.queue.borrow_mut();
        let Some(at) = queue.frames.iter().position(|frame| frame.tag == tag) else { return false };
        if at == 0 && queue.begun > 0 {
            return false;
        }
        queue.held -= queue.frames.remove(at).map_or(0, |frame| frame.held);
        true
    }

    pub fn clear(&self) {
        *self.queue.borrow_mut() = Queue::default();
    }

    pub fn is_empty(&self) -> bool {
        self.queue.borrow().frames.is_empty()
    }

    /// Writes until nothing waits, and tells what each write has brought about.
    pub async fn drain(&self, stream: &Stream, mut written: impl FnMut(Written)) -> io::Result<()> {
        while !self.is_empty() {
            let count = write_with(stream, |socket| self.write_once(socket)).await?;
            match self.advance(count) {
                Some(tag) => written(Written::Whole(tag)),
                None if self.queue.borrow().begun > 0 => written(Written::Part),
                None => {}
            }
        }
        Ok(())
    }

    fn write_once(&self, socket: &mut impl Write) -> io::Result<usize> {
        let queue = &mut *self.queue.borrow_mut();
        // Taken back while this waited for room.
        let Some(first) = queue.frames.front_mut() else { return Ok(0) };
        if let Some(word) = first.wording.as_ref().filter(|_| queue.begun == 0) {
            first.bytes = word();
        }
        match socket.write(&first.bytes[queue.begun..]) {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            wrote => wrote,
        }
    }

    fn advance(&self, count: usize) -> Option<u64> {
        let queue = &mut *self.queue.borrow_mut();
        let first = queue.frames.front()?;
        queue.begun += count;
        if queue.begun < first.bytes.len() {
            return None;
        }
        let gone = queue.frames.pop_front()?;
        (queue.begun, queue.held) = (0, queue.held - gone.held);
        Some(gone.tag)
    }
}

#[cfg(test)]
mod tests;
