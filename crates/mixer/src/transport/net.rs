//! Sockets: listening, dialling, and which failures are a shortage of our own.

use async_io::{Async, Timer};
use futures_lite::future;
use std::fs::File;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

pub type Stream = Async<TcpStream>;

/// How many may stand outside; the system's own bound is below it. With the library's 128, a crowd that comes
/// at once would have its connections, and those of others, dropped and tried again a second later.
const OUTSIDE: i32 = 4096;

pub fn listen(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(at)?;
    rustix::net::listen(&listener, OUTSIDE)?;
    Ok(listener)
}

/// A connection that was accepted, not registered with the poller yet: one that is turned away never is.
pub struct Accepted {
    pub stream: TcpStream,
    pub from: IpAddr,
}

/// The next that stands outside, if one does. What ended before it was accepted is passed over.
pub fn accept(listener: &TcpListener) -> io::Result<Option<Accepted>> {
    loop {
        match listener.accept() {
            Ok((stream, from)) => {
                stream.set_nonblocking(true)?;
                return Ok(Some(Accepted { stream, from: from.ip() }));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

/// One descriptor held back for when there is none left: given up, it accepts one who would wait in vain.
pub struct Reserve(Option<File>);

impl Default for Reserve {
    fn default() -> Self {
        Self(File::open("/dev/null").ok())
    }
}

impl Reserve {
    pub fn accept(&mut self, listener: &TcpListener) -> Option<Accepted> {
        drop(self.0.take()?);
        let accepted = accept(listener).ok().flatten();
        self.0 = None;
        accepted
    }

    /// Takes it back, once who was accepted by it has gone.
    pub fn restore(&mut self) {
        if self.0.is_none() {
            *self = Self::default();
        }
    }
}

/// What comes of it, if it does so within the time.
pub async fn in_time<T>(within: Duration, what: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(within).await;
        None
    };
    future::or(async { Some(what.await) }, late).await
}

/// A connection that is up within the time, or `TimedOut`.
pub async fn dial(to: SocketAddr, within: Duration) -> io::Result<Stream> {
    let dialled = in_time(within, Async::<TcpStream>::connect(to)).await;
    let stream = dialled.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

/// EMFILE, ENFILE, ENOBUFS, ENOMEM: it says nothing of the other side.
pub fn is_short(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(24 | 23 | 105 | 12))
}
