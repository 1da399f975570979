//! Reads and writes that survive the failures which Linux documents as transient: interruption by a signal,
//! and a shortage of buffers. Neither transfers any data, so the call is simply repeated.

use super::reactor::{sleep, Direction};
use super::{is_resource_shortage, Stream};
use std::io::{self, Read, Write};
use std::time::Duration;

/// Immediate retries in a row; after that other tasks run first.
const MAX_INTERRUPTED_RETRIES: usize = 16;
/// Delay before a call is retried after a shortage of buffers.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Retries a call while signals interrupt it. A call interrupted every time is reported as one that would
/// block.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_INTERRUPTED_RETRIES {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
    Err(io::ErrorKind::WouldBlock.into())
}

/// Reads available bytes; returns 0 if the peer has closed its direction.
pub async fn read(stream: &Stream, into: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.when_ready(Direction::Read, |mut socket| retry_interrupted(|| socket.read(into))).await {
            Err(error) if is_resource_shortage(&error) => sleep(SHORTAGE_RETRY_DELAY).await,
            done => return done,
        }
    }
}

/// Reads available bytes, or fails with `WouldBlock` if there are none.
pub async fn read_now(stream: &Stream, into: &mut [u8]) -> io::Result<usize> {
    loop {
        match retry_interrupted(|| stream.get_ref().read(into)) {
            Err(error) if is_resource_shortage(&error) => sleep(SHORTAGE_RETRY_DELAY).await,
            done => return done,
        }
    }
}

/// Writes with `write_once`, which is given the socket and may be called several times before it writes
/// anything.
pub async fn write_with(
    stream: &Stream,
    mut write_once: impl FnMut(&mut &std::net::TcpStream) -> io::Result<usize>,
) -> io::Result<usize> {
    loop {
        match stream
            .when_ready(Direction::Write, |mut socket| retry_interrupted(|| write_once(&mut socket)))
            .await
        {
            Err(error) if is_resource_shortage(&error) => sleep(SHORTAGE_RETRY_DELAY).await,
            done => return done,
        }
    }
}

/// Writes all of `bytes`.
pub async fn write_all(stream: &Stream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match write_with(stream, |socket| socket.write(bytes)).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}
