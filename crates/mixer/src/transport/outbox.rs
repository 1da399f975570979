//! What waits to be written on a connection: whole frames, in order and bounded. It knows which frame's last
//! byte the system has taken, and can take back a frame of which no byte has gone.

use super::system::write_with;
use super::{Bell, Stream};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Write};

#[derive(Default)]
struct Queue {
    frames: VecDeque<(u64, Vec<u8>)>,
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
        let mut queue = self.queue.borrow_mut();
        if queue.held > 0 && queue.held + frame.len() > self.most {
            return false;
        }
        queue.held += frame.len();
        queue.frames.push_back((tag, frame));
        self.bell.ring();
        true
    }

    /// The same for a frame that is worded by `word`.
    pub fn push_worded(&self, tag: u64, word: impl Fn() -> Vec<u8> + 'static) -> bool {
        self.push(tag, word())
    }

    /// Takes a frame back; false where it has begun to go, or is gone.
    pub fn withdraw(&self, tag: u64) -> bool {
        let queue = &mut *self.queue.borrow_mut();
        let Some(at) = queue.frames.iter().position(|(other, _)| *other == tag) else { return false };
        if at == 0 && queue.begun > 0 {
            return false;
        }
        queue.held -= queue.frames.remove(at).map_or(0, |(_, frame)| frame.len());
        true
    }

    pub fn clear(&self) {
        *self.queue.borrow_mut() = Queue::default();
    }

    pub fn is_empty(&self) -> bool {
        self.queue.borrow().frames.is_empty()
    }

    /// Writes until nothing waits, and tells of each frame whose last byte has gone.
    pub async fn drain(&self, stream: &Stream, mut gone: impl FnMut(u64)) -> io::Result<()> {
        while !self.is_empty() {
            let count = write_with(stream, |socket| self.write_once(socket)).await?;
            self.advance(count).into_iter().for_each(&mut gone);
        }
        Ok(())
    }

    fn write_once(&self, socket: &mut impl Write) -> io::Result<usize> {
        let queue = self.queue.borrow();
        match queue.frames.front() {
            Some((_, frame)) => match socket.write(&frame[queue.begun..]) {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                wrote => wrote,
            },
            // Taken back while this waited for room.
            None => Ok(0),
        }
    }

    fn advance(&self, count: usize) -> Option<u64> {
        let queue = &mut *self.queue.borrow_mut();
        let (_, first) = queue.frames.front()?;
        queue.begun += count;
        if queue.begun < first.len() {
            return None;
        }
        let (tag, frame) = queue.frames.pop_front()?;
        (queue.begun, queue.held) = (0, queue.held - frame.len());
        Some(tag)
    }
}

#[cfg(test)]
mod tests;
