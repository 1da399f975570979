//! Reads and writes that go on through what Linux documents as passing: a signal's interruption, and a shortage of
//! buffers. Neither says that anything was taken or given, so the call is simply made again.

use super::reactor::{sleep, Direction};
use super::{is_resource_shortage, Stream};
use std::io::{self, Read, Write};
use std::time::Duration;

/// How often in a row a call is made again at once; past that others have a turn first.
const MAX_INTERRUPTED_RETRIES: usize = 16;
/// How long a shortage of buffers is waited out.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Makes a call again as often as a signal interrupts it. One that is interrupted all the time is taken for one that
/// would block.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_INTERRUPTED_RETRIES {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
    Err(io::ErrorKind::WouldBlock.into())
}

/// Bytes that have come, or none where the other side has ended its direction.
pub async fn read(stream: &Stream, into: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.when_ready(Direction::Read, |mut socket| retry_interrupted(|| socket.read(into))).await {
            Err(error) if is_resource_shortage(&error) => sleep(SHORTAGE_RETRY_DELAY).await,
            done => return done,
        }
    }
}

/// Writes by `write_once`, which is handed the socket and may be called several times before it takes anything.
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

pub async fn write_all(stream: &Stream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match write_with(stream, |socket| socket.write(bytes)).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}
