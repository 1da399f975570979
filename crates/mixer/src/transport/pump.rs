//! Both directions of one connection, as one task, until either ends.

use super::{in_time, is_short, read, sleep, uninterrupted, Bell, Inbox, Outbox, Stream, Written};
use futures_lite::future;
use std::cell::Cell;
use std::io::{self, Read};
use std::ops::ControlFlow;
use std::time::Duration;

/// How long a line that is to be closed may take to write what waits.
const FLUSH: Duration = Duration::from_secs(2);
/// How much of what comes over a full inbox is thrown away at a time, and how often: what the system holds for a
/// connection at first is through within a few tens of milliseconds, and a peer that never stops costs little.
const WASTE: (usize, Duration) = (16 * 1024, Duration::from_millis(5));

/// The near end of a connection, by which others write to it and close it.
pub struct Line {
    pub outbox: Outbox,
    /// Rung to have what was read looked at again.
    pub look: Bell,
    closing: Cell<bool>,
    cut: Cell<bool>,
    /// Nothing more is to be read: what comes from now on is its sender's to send again.
    sealed: Cell<bool>,
    /// More came than may wait, and was thrown away: what follows can't be told apart.
    flooded: Cell<bool>,
}

/// Why a connection is over.
pub enum Stop<H> {
    /// The other side ended it in order.
    Ended,
    /// It broke.
    Broke,
    /// We closed it.
    Closed,
    /// What came made the reader halt.
    Halted(H),
}

impl Line {
    pub fn new(most_waiting: usize) -> Self {
        let outbox = Outbox::new(most_waiting);
        Self {
            outbox,
            look: Bell::default(),
            closing: false.into(),
            cut: false.into(),
            flooded: false.into(),
            sealed: false.into(),
        }
    }

    /// Closes once what waits has been written.
    pub fn close(&self) {
        self.closing.set(true);
        self.outbox.bell.ring();
    }

    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Reads nothing more.
    pub fn seal(&self) {
        self.sealed.set(true);
    }

    /// Has what was read looked at again, if `wanted`.
    pub fn look_again(&self, wanted: bool) {
        if wanted || self.flooded.get() {
            self.look.ring();
        }
    }

    pub fn is_flooded(&self) -> bool {
        self.flooded.get()
    }

    /// Closes at once if nothing waits.
    pub fn dismiss(&self) {
        if self.outbox.is_empty() {
            self.cut();
        } else {
            self.close();
        }
    }

    /// Closes at once; what waits is never written.
    pub fn cut(&self) {
        self.cut.set(true);
        self.outbox.clear();
        self.close();
    }
}

/// Runs a connection. `read` is handed what has come, and uses up what it can; `written` is told what
/// each write has brought about.
pub async fn pump<H>(
    stream: &Stream,
    line: &Line,
    mut inbox: Inbox,
    mut read: impl FnMut(&mut Inbox) -> ControlFlow<H>,
    mut written: impl FnMut(Written),
) -> Stop<H> {
    let reader = async {
        loop {
            // What was taken from the system is read before anybody else runs: who closes the line meanwhile would
            // throw away what its peer has every reason to think taken.
            if let ControlFlow::Break(halt) = read(&mut inbox) {
                return Stop::Halted(halt);
            }
            // A peer that never pauses lets the others run.
            future::yield_now().await;
            match next_bytes(stream, line, &mut inbox).await {
                Ok(Some(0)) => return Stop::Ended,
                Ok(_) => {}
                Err(_) => return Stop::Broke,
            }
        }
    };
    let writer = async {
        loop {
            if line.cut.get() {
                return Stop::Closed;
            }
            // What waits has a while to go once the line is to be closed, and none once it is cut.
            let enough = async {
                while !line.closing.get() {
                    line.outbox.bell.wait().await;
                }
                if !line.cut.get() {
                    let cut = async {
                        while !line.cut.get() {
                            line.outbox.bell.wait().await
                        }
                    };
                    in_time(FLUSH, cut).await;
                    line.cut.set(true);
                }
                Ok(())
            };
            if future::or(line.outbox.drain(stream, &mut written), enough).await.is_err() {
                return Stop::Broke;
            }
            if line.closing.get() {
                return Stop::Closed;
            }
            line.outbox.bell.wait().await;
        }
    };
    future::or(reader, writer).await
}

/// Bytes read, or none where the line only asked for another look.
async fn next_bytes(stream: &Stream, line: &Line, inbox: &mut Inbox) -> io::Result<Option<usize>> {
    let look = async {
        line.look.wait().await;
        Ok(None)
    };
    if line.sealed.get() {
        return look.await;
    }
    if inbox.is_full() {
        // Nothing more may wait; but the peer's end, behind what it still sends, is to be seen.
        let waste = async {
            sleep(WASTE.1).await;
            // On the heap: an array would be part of each connection's task, which is moved as it begins.
            let count = read(stream, &mut vec![0; WASTE.0]).await?;
            line.flooded.set(line.flooded.get() || count > 0);
            Ok(Some(0).filter(|_| count == 0))
        };
        return future::or(look, waste).await;
    }
    // What is there comes first: whoever asks for another look is to see it.
    let count = future::or(async { read(stream, inbox.space()).await.map(Some) }, look).await?;
    inbox.came(count.unwrap_or(0));
    Ok(count)
}

/// How many reads of what no inbox has room for are made in search of the end behind it.
const MOST_SEARCHED: usize = 64;

/// Takes in what has come and was not read yet, and tells whether the other side has ended the connection behind it.
/// What finds no room is thrown away, and the line ends with its next answer.
pub fn take_rest(stream: &Stream, line: &Line, inbox: &mut Inbox) -> bool {
    let mut socket = stream.get_ref();
    if line.sealed.get() {
        return uninterrupted(|| socket.peek(&mut [0])).is_ok_and(|count| count == 0);
    }
    for _ in 0..MOST_SEARCHED {
        let full = inbox.is_full();
        let came = match full {
            true => uninterrupted(|| socket.read(&mut [0; WASTE.0])),
            false => uninterrupted(|| socket.read(inbox.space())),
        };
        match came {
            Ok(0) => return true,
            Ok(_) if full => line.flooded.set(true),
            Ok(count) => inbox.came(count),
            // Any other error is the connection's end: reset, or given up by the system.
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock && !is_short(&error),
        }
    }
    false
}

/// Ends our direction and throws away a little of what comes from the other, so that what was written is not
/// lost to a reset.
pub async fn linger(stream: &Stream, within: Duration, mut bytes: usize) {
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
    let rest = async {
        let mut waste = [0; 4096];
        while let Ok(count @ 1..) = read(stream, &mut waste).await {
            bytes = bytes.saturating_sub(count);
            if bytes == 0 {
                return;
            }
            future::yield_now().await;
        }
    };
    in_time(within, rest).await;
}

#[cfg(test)]
mod tests;
