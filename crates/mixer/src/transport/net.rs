//! TCP sockets: listening, accepting, dialing, and telling local resource shortages from failures of the
//! peer.

use super::reactor::{sleep, Direction};
use super::retry_interrupted;
use super::socket::{RecheckBackoff, Socket};
use futures_lite::future;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::fs::File;
use std::future::Future;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A non-blocking TCP stream.
pub type Stream = Socket<TcpStream>;

/// Length of the listen backlog; the kernel caps it at its own limit. With the standard library's 128, a
/// burst of clients would have connections dropped and retried a second later, other clients' among them.
pub const LISTEN_BACKLOG: u16 = 4096;

/// Listens on an address without blocking.
pub fn listen(address: SocketAddr) -> io::Result<Socket<TcpListener>> {
    let listener = TcpListener::bind(address)?;
    retry_interrupted(|| listener.set_nonblocking(true))?;
    rustix::net::listen(&listener, LISTEN_BACKLOG.into())?;
    Ok(Socket::new(listener))
}

/// An accepted connection that is not registered with the poller yet; a rejected connection never is.
pub struct Accepted {
    /// The accepted socket, non-blocking.
    pub stream: TcpStream,
    /// The peer's address; unspecified if the kernel did not report one.
    pub from: IpAddr,
}

impl Accepted {
    /// Whether the peer has closed the connection and sent nothing.
    pub fn has_left(&self) -> bool {
        retry_interrupted(|| self.stream.peek(&mut [0])).is_ok_and(|count| count == 0)
    }
}

/// Connections in a row that may have ended before being accepted; after that other tasks run.
const MAX_ABORTED_ACCEPTS: usize = 64;

/// Accepts the next pending connection, if there is one. A connection that ended before it was accepted is
/// skipped: Linux reports its pending error from `accept`.
pub fn accept(listener: &TcpListener) -> io::Result<Option<Accepted>> {
    for _ in 0..MAX_ABORTED_ACCEPTS {
        match retry_interrupted(|| accept_once(listener)) {
            Ok(accepted) => return Ok(Some(accepted)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(error) if is_resource_shortage(&error) => return Err(error),
            Err(error) => log::debug!("connection ended before it was accepted: {error}"),
        }
    }
    Ok(None)
}

/// Accepts and sets the non-blocking flag in one call: with two, an error of the second would lose an
/// accepted connection.
fn accept_once(listener: &TcpListener) -> io::Result<Accepted> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let (socket, from) = rustix::net::acceptfrom_with(listener, flags)?;
    let from = from.and_then(|from| SocketAddr::try_from(from).ok());
    let from = from.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |from| from.ip());
    Ok(Accepted { stream: socket.into(), from })
}

/// A descriptor held in reserve for when none is left: closing it makes room to accept one client that would
/// otherwise wait in vain.
pub struct ReserveDescriptor(Option<File>);

impl Default for ReserveDescriptor {
    fn default() -> Self {
        Self(File::open("/dev/null").ok())
    }
}

impl ReserveDescriptor {
    /// Gives up the reserve descriptor to accept one connection.
    pub fn accept(&mut self, listener: &TcpListener) -> Option<Accepted> {
        drop(self.0.take()?);
        let accepted = accept(listener).ok().flatten();
        self.0 = None;
        accepted
    }

    /// Reopens the reserve, once the connection accepted with it has been closed.
    pub fn restore(&mut self) {
        if self.0.is_none() {
            *self = Self::default();
        }
    }
}

/// Runs `operation` and returns its result, or `None` if it takes longer than `limit`.
pub async fn timeout<T>(limit: Duration, operation: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        sleep(limit).await;
        None
    };
    future::or(async { Some(operation.await) }, expired).await
}

/// Connects within `limit`, or fails with `TimedOut`.
pub async fn dial(to: SocketAddr, limit: Duration) -> io::Result<Stream> {
    let result = timeout(limit, connect(to)).await;
    let stream = result.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    // A failure to set the option is ignored: it only lets Nagle's algorithm delay small frames.
    let _ = retry_interrupted(|| stream.get_ref().set_nodelay(true));
    Ok(stream)
}

async fn connect(to: SocketAddr) -> io::Result<Stream> {
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    match rustix::net::connect(&socket, &to) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let (stream, mut backoff) = (Socket::new(TcpStream::from(socket)), RecheckBackoff::default());
    loop {
        stream.wait(Direction::Write, &mut backoff).await;
        if is_connected(stream.get_ref())? {
            return Ok(stream);
        }
    }
}

/// Whether the connection is established; an error if the attempt has failed.
fn is_connected(stream: &TcpStream) -> io::Result<bool> {
    if let Some(error) = retry_interrupted(|| stream.take_error())? {
        return Err(error);
    }
    match retry_interrupted(|| stream.peer_addr()) {
        Ok(_) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(error) => Err(error),
    }
}

/// Whether this machine is out of descriptors or buffers, which says nothing about the peer.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Whether the attempt failed on this machine before reaching the peer: no local port, no route, or an
/// interruption by a signal.
pub fn is_local_error(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    is_resource_shortage(error)
        || matches!(errno, Some(Errno::ADDRNOTAVAIL | Errno::NETUNREACH | Errno::NETDOWN | Errno::INTR))
}
