//! Both directions of one connection, as one task, until either ends.

use super::{
    is_resource_shortage, read, retry_interrupted, sleep, timeout, Notify, ReadBuffer, Stream, WriteProgress,
    WriteQueue,
};
use futures_lite::future;
use std::cell::Cell;
use std::io::{self, Read};
use std::ops::ControlFlow;
use std::time::Duration;

/// How long a line that is to be closed may take to write what waits.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// How much of what comes over a full inbox is thrown away at a time, and how often: what the system holds for a
/// connection at first is through within a few tens of milliseconds, and a peer that never stops costs little.
const DISCARD: (usize, Duration) = (16 * 1024, Duration::from_millis(5));

/// The near end of a connection, by which others write to it and close it.
pub struct ConnectionControl {
    pub write_queue: WriteQueue,
    /// Rung to have what was read looked at again.
    pub recheck: Notify,
    closing: Cell<bool>,
    aborted: Cell<bool>,
    /// Nothing more is to be read: what comes from now on is its sender's to send again.
    reading_stopped: Cell<bool>,
    /// More came than may wait, and was thrown away: what follows can't be told apart.
    overflowed: Cell<bool>,
}

/// Why a connection is over.
pub enum CloseReason<H> {
    /// The other side ended it in order.
    PeerClosed,
    /// It broke.
    Failed,
    /// We closed it.
    ClosedLocally,
    /// What came made the reader halt.
    Stopped(H),
}

impl ConnectionControl {
    pub fn new(max_queued_bytes: usize) -> Self {
        let write_queue = WriteQueue::new(max_queued_bytes);
        Self {
            write_queue,
            recheck: Notify::default(),
            closing: false.into(),
            aborted: false.into(),
            overflowed: false.into(),
            reading_stopped: false.into(),
        }
    }

    /// Closes once what waits has been written.
    pub fn close(&self) {
        self.closing.set(true);
        self.write_queue.changed.notify();
    }

    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Reads nothing more.
    pub fn stop_reading(&self) {
        self.reading_stopped.set(true);
    }

    /// Has what was read looked at again, if `wanted`.
    pub fn recheck_if(&self, wanted: bool) {
        if wanted || self.overflowed.get() {
            self.recheck.notify();
        }
    }

    pub fn has_overflowed(&self) -> bool {
        self.overflowed.get()
    }

    /// Closes at once if nothing waits.
    pub fn close_promptly(&self) {
        if self.write_queue.is_empty() {
            self.abort();
        } else {
            self.close();
        }
    }

    /// Closes at once; what waits is never written.
    pub fn abort(&self) {
        self.aborted.set(true);
        self.write_queue.clear();
        self.close();
    }
}

/// Runs a connection. `read` is handed what has come, and uses up what it can; `written` is told what
/// each write has brought about.
pub async fn run_connection<H>(
    stream: &Stream,
    control: &ConnectionControl,
    mut buffer: ReadBuffer,
    mut on_read: impl FnMut(&mut ReadBuffer) -> ControlFlow<H>,
    mut on_progress: impl FnMut(WriteProgress),
) -> CloseReason<H> {
    let reader = async {
        loop {
            // What was taken from the system is read before anybody else runs: who closes the line meanwhile would
            // throw away what its peer has every reason to think taken.
            if let ControlFlow::Break(value) = on_read(&mut buffer) {
                return CloseReason::Stopped(value);
            }
            // A peer that never pauses lets the others run.
            future::yield_now().await;
            match next_bytes(stream, control, &mut buffer).await {
                Ok(Some(0)) => return CloseReason::PeerClosed,
                Ok(_) => {}
                Err(_) => return CloseReason::Failed,
            }
        }
    };
    let writer = async {
        loop {
            if control.aborted.get() {
                return CloseReason::ClosedLocally;
            }
            // What waits has a while to go once the line is to be closed, and none once it is cut.
            let closed = async {
                while !control.closing.get() {
                    control.write_queue.changed.wait().await;
                }
                if !control.aborted.get() {
                    let aborted = async {
                        while !control.aborted.get() {
                            control.write_queue.changed.wait().await
                        }
                    };
                    timeout(FLUSH_TIMEOUT, aborted).await;
                    control.aborted.set(true);
                }
                Ok(())
            };
            if future::or(control.write_queue.drain(stream, &mut on_progress), closed).await.is_err() {
                return CloseReason::Failed;
            }
            if control.closing.get() {
                return CloseReason::ClosedLocally;
            }
            control.write_queue.changed.wait().await;
        }
    };
    future::or(reader, writer).await
}

/// Bytes read, or none where the line only asked for another look.
async fn next_bytes(
    stream: &Stream,
    control: &ConnectionControl,
    buffer: &mut ReadBuffer,
) -> io::Result<Option<usize>> {
    let recheck = async {
        control.recheck.wait().await;
        Ok(None)
    };
    if control.reading_stopped.get() {
        return recheck.await;
    }
    if buffer.is_full() {
        // Nothing more may wait; but the peer's end, behind what it still sends, is to be seen.
        let discard = async {
            sleep(DISCARD.1).await;
            // On the heap: an array would be part of each connection's task, which is moved as it begins.
            let count = read(stream, &mut vec![0; DISCARD.0]).await?;
            control.overflowed.set(control.overflowed.get() || count > 0);
            Ok(Some(0).filter(|_| count == 0))
        };
        return future::or(recheck, discard).await;
    }
    // What is there comes first: whoever asks for another look is to see it.
    let count = future::or(async { read(stream, buffer.space()).await.map(Some) }, recheck).await?;
    buffer.commit(count.unwrap_or(0));
    Ok(count)
}

/// How many reads of what no inbox has room for are made in search of the end behind it.
const MAX_DRAIN_READS: usize = 64;

/// Takes in what has come and was not read yet, and tells whether the other side has ended the connection behind it.
/// What finds no room is thrown away, and the line ends with its next answer.
pub fn drain_socket(stream: &Stream, control: &ConnectionControl, buffer: &mut ReadBuffer) -> bool {
    let mut socket = stream.get_ref();
    if control.reading_stopped.get() {
        return retry_interrupted(|| socket.peek(&mut [0])).is_ok_and(|count| count == 0);
    }
    for _ in 0..MAX_DRAIN_READS {
        let full = buffer.is_full();
        let received = match full {
            true => retry_interrupted(|| socket.read(&mut [0; DISCARD.0])),
            false => retry_interrupted(|| socket.read(buffer.space())),
        };
        match received {
            Ok(0) => return true,
            Ok(_) if full => control.overflowed.set(true),
            Ok(count) => buffer.commit(count),
            // Any other error is the connection's end: reset, or given up by the system.
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock && !is_resource_shortage(&error),
        }
    }
    false
}

/// Ends our direction and throws away a little of what comes from the other, so that what was written is not
/// lost to a reset.
pub async fn linger(stream: &Stream, within: Duration, mut bytes: usize) {
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
    let rest = async {
        let mut discard = [0; 4096];
        while let Ok(count @ 1..) = read(stream, &mut discard).await {
            bytes = bytes.saturating_sub(count);
            if bytes == 0 {
                return;
            }
            future::yield_now().await;
        }
    };
    timeout(within, rest).await;
}

#[cfg(test)]
mod tests;
