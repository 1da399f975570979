//! Sockets: listening, dialling, and which failures are a shortage of our own.

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

pub type Stream = Socket<TcpStream>;

/// How many may stand outside; the system's own bound is below it. With the library's 128, a crowd that comes
/// at once would have its connections, and those of others, dropped and tried again a second later.
const LISTEN_BACKLOG: i32 = 4096;

pub fn listen(address: SocketAddr) -> io::Result<Socket<TcpListener>> {
    let listener = TcpListener::bind(address)?;
    retry_interrupted(|| listener.set_nonblocking(true))?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(Socket::new(listener))
}

/// A connection that was accepted, not registered with the poller yet: one that is turned away never is.
pub struct Accepted {
    pub stream: TcpStream,
    pub from: IpAddr,
}

/// How many connections in a row may have ended before they were accepted; past that others have a turn.
const MAX_ABORTED_ACCEPTS: usize = 64;

/// The next that stands outside, if one does. What ended before it was accepted is passed over: Linux hands on the
/// errors of a connection that it had taken in.
pub fn accept(listener: &TcpListener) -> io::Result<Option<Accepted>> {
    for _ in 0..MAX_ABORTED_ACCEPTS {
        match retry_interrupted(|| accept_once(listener)) {
            Ok(accepted) => return Ok(Some(accepted)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(error) if is_resource_shortage(&error) => return Err(error),
            Err(error) => log::debug!("a connection ended before it was accepted: {error}"),
        }
    }
    Ok(None)
}

/// Taken in and made not to block in one call: between two a connection that was taken in could be lost.
fn accept_once(listener: &TcpListener) -> io::Result<Accepted> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let (socket, from) = rustix::net::acceptfrom_with(listener, flags)?;
    let from = from.and_then(|from| SocketAddr::try_from(from).ok());
    let from = from.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |from| from.ip());
    Ok(Accepted { stream: socket.into(), from })
}

/// One descriptor held back for when there is none left: given up, it accepts one who would wait in vain.
pub struct ReserveDescriptor(Option<File>);

impl Default for ReserveDescriptor {
    fn default() -> Self {
        Self(File::open("/dev/null").ok())
    }
}

impl ReserveDescriptor {
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
pub async fn timeout<T>(limit: Duration, operation: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        sleep(limit).await;
        None
    };
    future::or(async { Some(operation.await) }, expired).await
}

/// A connection that is up within the time, or `TimedOut`.
pub async fn dial(to: SocketAddr, limit: Duration) -> io::Result<Stream> {
    let connected = timeout(limit, connect(to)).await;
    let stream = connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    // Without it small frames wait for each other, no more.
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

/// An error where the connection attempt has failed.
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

/// This machine is out of descriptors or buffers: it says nothing of the other side.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// This machine could not even try to connect: no port or no route of its own, or a signal came in between.
pub fn is_local_error(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    is_resource_shortage(error)
        || matches!(errno, Some(Errno::ADDRNOTAVAIL | Errno::NETUNREACH | Errno::NETDOWN | Errno::INTR))
}
