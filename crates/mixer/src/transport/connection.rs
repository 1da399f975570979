//! Runs both directions of a connection in one task until either ends.

use super::{
    is_resource_shortage, read, read_now, retry_interrupted, sleep, timeout, Direction, Notify, ReadBuffer,
    Stream, WriteProgress, WriteQueue,
};
use futures_lite::future;
use std::cell::Cell;
use std::io::{self, Read};
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::time::Duration;

/// How long a closing connection may take to write its queued frames.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the reads that discard input which the read buffer does not take.
const DISCARD_READ_BYTES: usize = 64 * 1024;
/// How much is discarded in one turn of the event loop, and the pause until the next. What the kernels on both
/// sides hold at the most (some 10 MB) is through within 0.05 s, and so the end behind it is learnt. Where nothing
/// is under way for the peer, one read a turn is enough.
const MAX_DISCARDED_IN_A_TURN: usize = 1024 * 1024;
const DISCARD_PAUSE: Duration = Duration::from_millis(5);
/// How much is discarded on one connection: more than a peer can have sent before it closes. One that goes on
/// sending is cut off, so that it costs a bounded amount of work.
const MAX_DISCARDED: usize = 16 * 1024 * 1024;

/// The handle through which other tasks write to a connection and close it.
pub struct ConnectionControl {
    /// The frames waiting to be written.
    pub write_queue: WriteQueue,
    /// Notified to have the buffered input examined again.
    pub recheck: Notify,
    closing: Cell<bool>,
    aborted: Cell<bool>,
    /// Nothing more is read: the sender must send again whatever arrives from now on.
    reading_stopped: Cell<bool>,
    /// More input arrived than fits and was discarded, so the message boundaries are lost.
    overflowed: Cell<bool>,
    /// How many bytes have been discarded, whatever for.
    discarded: Cell<usize>,
    /// Something is under way for the peer, so that its end has to be learnt soon.
    pub is_awaited: Cell<bool>,
    /// Nothing is written until the input that has arrived has been read and examined.
    reads_first: Cell<bool>,
}

/// What may be read from a connection next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPermit {
    /// As much as the read buffer takes.
    Unlimited,
    /// As much as fits into a read buffer of so many bytes.
    UpTo(usize),
    /// Nothing for so long; then the permit is asked for again.
    Wait(Duration),
}

/// Why a connection ended.
pub enum StreamEnd<H> {
    /// The peer closed it in order.
    PeerClosed,
    /// It failed, for example by a reset.
    Failed,
    /// This side closed it.
    ClosedLocally,
    /// The reader returned `Break` with this value.
    Stopped(H),
}

impl ConnectionControl {
    /// Control of a connection whose write queue holds at most `max_queued_bytes`.
    pub fn new(max_queued_bytes: usize) -> Self {
        let write_queue = WriteQueue::new(max_queued_bytes);
        Self {
            write_queue,
            recheck: Notify::default(),
            closing: false.into(),
            aborted: false.into(),
            overflowed: false.into(),
            reading_stopped: false.into(),
            discarded: 0.into(),
            is_awaited: false.into(),
            reads_first: false.into(),
        }
    }

    /// Closes after the queued frames have been written.
    pub fn close(&self) {
        self.closing.set(true);
        self.write_queue.changed.notify();
    }

    /// Whether the connection has been closed or aborted by this side.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Hands no further input to the reader. It is discarded, so that the end behind it is still learnt.
    pub fn stop_reading(&self) {
        self.reading_stopped.set(true);
    }

    /// Has the input that has already arrived read and examined before anything further is written, and before
    /// the connection is closed for want of input. Readiness that the poller has not reported yet counts.
    pub fn read_before_writing(&self) {
        self.reads_first.set(true);
        self.recheck.notify();
    }

    /// Lets writing go on after the input has been read.
    fn resume_writing(&self) {
        if self.reads_first.take() {
            self.write_queue.changed.notify();
        }
    }

    /// Has the buffered input examined again if `wanted`, or if input was discarded.
    pub fn recheck_if(&self, wanted: bool) {
        if wanted || self.overflowed.get() {
            self.recheck.notify();
        }
    }

    /// How many bytes of input have been discarded.
    pub fn discarded(&self) -> usize {
        self.discarded.get()
    }

    /// Whether input was discarded for lack of buffer space.
    pub fn has_overflowed(&self) -> bool {
        self.overflowed.get()
    }

    /// Closes at once if nothing is queued, otherwise after the queue has been written.
    pub fn close_promptly(&self) {
        if self.write_queue.is_empty() {
            self.abort();
        } else {
            self.close();
        }
    }

    /// Closes at once and drops the queued frames.
    pub fn abort(&self) {
        self.aborted.set(true);
        self.write_queue.clear();
        self.close();
    }
}

/// Runs a connection. `permit` says before each read whether it may be made; `on_read` is given the buffered input,
/// which is all that has been received as far as it fits, and consumes what it can; `on_progress` is called with the
/// progress of each write.
pub async fn run_connection<H>(
    stream: &Stream,
    control: &ConnectionControl,
    mut buffer: ReadBuffer,
    permit: impl Fn(&ReadBuffer) -> ReadPermit,
    mut on_read: impl FnMut(&mut ReadBuffer) -> ControlFlow<H>,
    mut on_progress: impl FnMut(WriteProgress),
) -> StreamEnd<H> {
    let reader = async {
        let mut end = None;
        loop {
            // Bytes received from the kernel are handled before any other task runs: a task that closed the
            // connection in between would drop input that the peer may rightly assume was accepted.
            if let ControlFlow::Break(value) = on_read(&mut buffer) {
                return StreamEnd::Stopped(value);
            }
            if let Some(end) = end {
                return end;
            }
            // A peer that sends without a pause must not starve other tasks.
            future::yield_now().await;
            match permit(&buffer) {
                ReadPermit::Unlimited => buffer.set_limit(usize::MAX),
                ReadPermit::UpTo(limit) => buffer.set_limit(limit),
                ReadPermit::Wait(pause) => {
                    if wait_until_permitted(stream, control, pause).await.is_break() {
                        continue;
                    }
                }
            }
            end = read_until_drained(stream, control, &mut buffer).await;
        }
    };
    let writer = async {
        loop {
            if control.aborted.get() {
                return StreamEnd::ClosedLocally;
            }
            if control.reads_first.get() && !control.closing.get() {
                control.write_queue.changed.wait().await;
                continue;
            }
            // Queued frames have `FLUSH_TIMEOUT` to be written once the connection is closing, and none once
            // it is aborted.
            let finish = async {
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
            if future::or(control.write_queue.drain(stream, &mut on_progress), finish).await.is_err() {
                return StreamEnd::Failed;
            }
            if control.closing.get() {
                return StreamEnd::ClosedLocally;
            }
            control.write_queue.changed.wait().await;
        }
    };
    future::or(reader, writer).await
}

/// Waits before the permit to read is asked for again; `Break` if the buffered input has to be examined before that, as
/// it was requested or the time has passed.
async fn wait_until_permitted(
    stream: &Stream,
    control: &ConnectionControl,
    pause: Duration,
) -> ControlFlow<()> {
    // What is to be read before the next write or the close is not put off.
    if control.reads_first.get() {
        return ControlFlow::Continue(());
    }
    let _paused = stream.pause_reading();
    future::or(control.recheck.wait(), sleep(pause)).await;
    match control.reads_first.get() {
        true => ControlFlow::Continue(()),
        false => ControlFlow::Break(()),
    }
}

/// Waits for input, and reads until the buffer is full or the kernel has no more. Returns how the connection
/// ended, if it did; what was received before the end is in the buffer.
///
/// Whoever examines the buffer can thus rely on seeing what stands behind a message, as far as it has come.
async fn read_until_drained<H>(
    stream: &Stream,
    control: &ConnectionControl,
    buffer: &mut ReadBuffer,
) -> Option<StreamEnd<H>> {
    let may_have_input = !buffer.holds_all_received() || control.reads_first.get();
    let can_read = !buffer.is_full() && !control.reading_stopped.get();
    let received = if may_have_input && can_read {
        read_available(stream, buffer).await
    } else {
        control.resume_writing();
        next_bytes(stream, control, buffer).await
    };
    let end = read_rest(stream, buffer, received).await;
    control.resume_writing();
    end
}

/// Goes on reading after a first read, until the buffer is full or the kernel has no more.
async fn read_rest<H>(
    stream: &Stream,
    buffer: &mut ReadBuffer,
    mut received: io::Result<Received>,
) -> Option<StreamEnd<H>> {
    loop {
        match received {
            Ok(Received::End) => return Some(StreamEnd::PeerClosed),
            Err(_) => {
                buffer.set_holds_all_received(true);
                return Some(StreamEnd::Failed);
            }
            Ok(Received::Nothing) => return None,
            Ok(Received::Bytes) if buffer.holds_all_received() || buffer.is_full() => return None,
            Ok(Received::Bytes) => received = read_available(stream, buffer).await,
        }
    }
}

/// The result of one read.
enum Received {
    Bytes,
    /// Only a recheck was requested, input was discarded, or no input was available.
    Nothing,
    /// The peer has closed its direction.
    End,
}

/// Commits the bytes of one read. A read that does not fill its space has emptied the kernel's buffer.
fn commit(buffer: &mut ReadBuffer, count: usize) -> Received {
    let filled_its_space = count == buffer.space().len();
    buffer.set_holds_all_received(!filled_its_space);
    buffer.commit(count);
    if count == 0 {
        Received::End
    } else {
        Received::Bytes
    }
}

/// Reads what is available, without waiting for more.
async fn read_available(stream: &Stream, buffer: &mut ReadBuffer) -> io::Result<Received> {
    match read_now(stream, buffer.space()).await {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            buffer.set_holds_all_received(true);
            Ok(Received::Nothing)
        }
        result => Ok(commit(buffer, result?)),
    }
}

/// Waits for the next bytes, or until a recheck is requested.
async fn next_bytes(
    stream: &Stream,
    control: &ConnectionControl,
    buffer: &mut ReadBuffer,
) -> io::Result<Received> {
    if control.reading_stopped.get() || buffer.is_full() {
        // The input is not wanted, but the end of the stream behind it must still be detected.
        let recheck = async {
            control.recheck.wait().await;
            Ok(Received::Nothing)
        };
        return future::or(recheck, discard_input(stream, control, buffer.is_full())).await;
    }
    let recheck = async {
        control.recheck.wait().await;
        Ok(None)
    };
    let count = future::or(async { read(stream, buffer.space()).await.map(Some) }, recheck).await?;
    match count {
        Some(count) => Ok(commit(buffer, count)),
        // The poller may not have been asked since the input arrived, so the socket itself is.
        None if control.reads_first.get() => read_available(stream, buffer).await,
        None => Ok(Received::Nothing),
    }
}

/// Waits for input and discards a turn's worth of it; fails once the peer has sent more than any may.
async fn discard_input(
    stream: &Stream,
    control: &ConnectionControl,
    is_overflow: bool,
) -> io::Result<Received> {
    sleep(DISCARD_PAUSE).await;
    let before = control.discarded.get();
    let result = stream.when_ready(Direction::Read, |socket| discard_available(socket, control)).await;
    let received = control.discarded.get() > before;
    control.overflowed.set(control.overflowed.get() || (is_overflow && received));
    match result {
        Err(error) if is_resource_shortage(&error) => Ok(Received::Nothing),
        Ok(_) if control.discarded.get() > MAX_DISCARDED => {
            Err(io::Error::other("the peer sends without end"))
        }
        result => result,
    }
}

/// Discards what is available, a turn's worth at the most; fails with `WouldBlock` if that is nothing.
fn discard_available(mut socket: &TcpStream, control: &ConnectionControl) -> io::Result<Received> {
    // On the heap, and only here: an array would be part of every connection's future.
    let mut space = vec![0; DISCARD_READ_BYTES];
    let most = if control.is_awaited.get() { MAX_DISCARDED_IN_A_TURN } else { DISCARD_READ_BYTES };
    let mut discarded = 0;
    while discarded < most {
        match retry_interrupted(|| socket.read(&mut space)) {
            Ok(0) => return Ok(Received::End),
            Ok(count) => {
                discarded += count;
                control.discarded.set(control.discarded.get() + count);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock && discarded > 0 => break,
            Err(error) => return Err(error),
        }
    }
    Ok(Received::Nothing)
}

/// Limit on the reads made in search of the end of the stream when more input arrives than the buffer holds.
const MAX_DRAIN_READS: usize = 64;
/// Size of each of them.
const DRAIN_READ_BYTES: usize = 16 * 1024;

/// Reads what has arrived and was not read yet, and returns whether the peer has closed the connection behind
/// it. Input that does not fit is discarded, and the connection then ends with its next answer.
pub fn drain_socket(stream: &Stream, control: &ConnectionControl, buffer: &mut ReadBuffer) -> bool {
    let mut socket = stream.get_ref();
    if control.reading_stopped.get() {
        return retry_interrupted(|| socket.peek(&mut [0])).is_ok_and(|count| count == 0);
    }
    for _ in 0..MAX_DRAIN_READS {
        let full = buffer.is_full();
        let received = match full {
            true => retry_interrupted(|| socket.read(&mut [0; DRAIN_READ_BYTES])),
            false => retry_interrupted(|| socket.read(buffer.space())),
        };
        match received {
            Ok(0) => return true,
            Ok(count) if full => {
                control.overflowed.set(true);
                control.discarded.set(control.discarded.get() + count);
            }
            Ok(count) => buffer.commit(count),
            // Any other error means that the connection has ended: reset by the peer or given up by the
            // kernel.
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock && !is_resource_shortage(&error),
        }
    }
    false
}

/// Whether something has arrived that was not read: bytes, or the end of the connection.
pub fn has_unread_input(stream: &Stream) -> bool {
    let peeked = retry_interrupted(|| stream.get_ref().peek(&mut [0]));
    !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock || is_resource_shortage(&error))
}

/// Shuts down the write direction and discards a limited amount of further input, so that a reset does not
/// destroy what was written.
pub async fn linger(stream: &Stream, within: Duration, bytes: usize) {
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
    let control = ConnectionControl::new(0);
    let rest = async {
        while control.discarded.get() < bytes {
            if !matches!(discard_input(stream, &control, false).await, Ok(Received::Nothing)) {
                return;
            }
        }
    };
    timeout(within, rest).await;
}

#[cfg(test)]
mod tests;
