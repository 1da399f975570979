//! Splits the bytes received on a connection into frames.

use super::frames::{decode, Frame, HEAD_BYTES};

/// Reads frames from a connection, and releases each one only once the bytes behind it are known.
///
/// A frame whose length does not fit its content looks complete: the error shows in the bytes behind it, which
/// then do not begin another frame. So a frame is held until the head of another frame stands behind it, or
/// until everything received was read and nothing does.
#[derive(Default)]
pub struct FrameReader {
    /// The last complete frame, while it is not known what stands behind it.
    held: Option<Frame>,
}

/// The frames read from a connection's unread bytes.
#[derive(Debug, PartialEq)]
pub struct FrameBatch {
    /// The frames that may be used, in order.
    pub frames: Vec<Frame>,
    /// How many bytes were consumed.
    pub consumed: usize,
    /// Why nothing further can be read from the connection, if so. The frame right before the error is not
    /// among `frames`.
    pub error: Option<&'static str>,
}

impl FrameReader {
    /// Reads frames from `unread`. `is_all_received` states that no byte behind these has been received yet.
    pub fn read(&mut self, unread: &[u8], is_all_received: bool) -> FrameBatch {
        let mut batch = FrameBatch { frames: Vec::new(), consumed: 0, error: None };
        loop {
            let rest = &unread[batch.consumed..];
            match decode(rest) {
                Ok(Some((frame, count))) => {
                    batch.frames.extend(self.held.replace(frame));
                    batch.consumed += count;
                }
                Ok(None) => {
                    let is_followed_by_frame = rest.len() >= HEAD_BYTES;
                    if is_followed_by_frame || (rest.is_empty() && is_all_received) {
                        batch.frames.extend(self.held.take());
                    }
                    return batch;
                }
                Err(error) => {
                    self.held = None;
                    batch.error = Some(error);
                    return batch;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
