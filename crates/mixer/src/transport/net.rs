//! Sockets: listening, dialling, and which failures are a shortage of our own.

use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

pub type Stream = Async<TcpStream>;

pub fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(at)
}

/// A connection that is up within the time, or `TimedOut`.
pub async fn dial(to: SocketAddr, within: Duration) -> io::Result<Stream> {
    let late = async {
        Timer::after(within).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = future::or(Async::<TcpStream>::connect(to), late).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

/// EMFILE, ENFILE, ENOBUFS, ENOMEM: it says nothing of the other side.
pub fn is_short(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(24 | 23 | 105 | 12))
}
