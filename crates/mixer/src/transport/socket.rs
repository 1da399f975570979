//! A non-blocking socket. Readiness events are only hints: every wait also ends after a bounded time, and the
//! call that would have blocked is then retried.
//!
//! This guards against lost events, wherever they are lost, and against a poller that refuses a socket
//! (`epoll_ctl` with ENOMEM or ENOSPC): that socket is rechecked by timer until the poller accepts it. The
//! cost is one call per [`LONGEST_RECHECK`] on an idle socket.

use super::reactor::{sleep, Direction, Registration};
use futures_lite::future;
use std::cell::OnceCell;
use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

/// Delay before a registered socket is rechecked without an event; it doubles each time up to the maximum.
const FIRST_RECHECK: Duration = Duration::from_millis(100);
const LONGEST_RECHECK: Duration = Duration::from_secs(1);
/// The same for a socket that the poller has refused, for which no event will arrive.
const FIRST_UNREGISTERED_RECHECK: Duration = Duration::from_millis(2);
const LONGEST_UNREGISTERED_RECHECK: Duration = Duration::from_millis(50);

/// A non-blocking socket and its registration with the poller.
pub struct Socket<T: AsFd> {
    inner: T,
    /// Set at the first wait at which the poller accepts the socket.
    registration: OnceCell<Registration>,
}

impl<T: AsFd> Socket<T> {
    /// Wraps a socket, which must already be non-blocking.
    pub fn new(inner: T) -> Self {
        Self { inner, registration: OnceCell::new() }
    }

    /// The wrapped socket.
    pub fn get_ref(&self) -> &T {
        &self.inner
    }

    /// Repeats the call until it does not return `WouldBlock`.
    pub async fn when_ready<R>(
        &self,
        direction: Direction,
        mut call: impl FnMut(&T) -> io::Result<R>,
    ) -> io::Result<R> {
        let mut backoff = RecheckBackoff::default();
        loop {
            match call(&self.inner) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return done,
            }
            self.wait(direction, &mut backoff).await;
        }
    }

    /// Waits until the call that would have blocked should be retried.
    pub async fn wait(&self, direction: Direction, backoff: &mut RecheckBackoff) {
        let Some(registration) = self.registration() else {
            return sleep(backoff.next(FIRST_UNREGISTERED_RECHECK, LONGEST_UNREGISTERED_RECHECK)).await;
        };
        let recheck = backoff.next(FIRST_RECHECK, LONGEST_RECHECK);
        future::or(registration.ready(direction), sleep(recheck)).await;
    }

    /// Lets input wait in the kernel, without an event for each packet, until the returned guard is dropped.
    pub fn pause_reading(&self) -> PausedReading<'_, T> {
        if let Some(registration) = self.registration.get() {
            let _ = registration.set_reading(&self.inner, false);
        }
        PausedReading(self)
    }

    fn registration(&self) -> Option<&Registration> {
        if self.registration.get().is_none() {
            let registration = Registration::new(&self.inner).ok()?;
            return Some(self.registration.get_or_init(|| registration));
        }
        self.registration.get()
    }
}

impl<T: AsFd> Drop for Socket<T> {
    fn drop(&mut self) {
        if let Some(registration) = self.registration.take() {
            registration.release(&self.inner);
        }
    }
}

/// Input of the socket is reported again when this is dropped.
pub struct PausedReading<'a, T: AsFd>(&'a Socket<T>);

impl<T: AsFd> Drop for PausedReading<'_, T> {
    fn drop(&mut self) {
        if let Some(registration) = self.0.registration.get() {
            // If it fails, each wait still ends after a bounded time.
            let _ = registration.set_reading(&self.0.inner, true);
        }
    }
}

/// Counts the waits for one call, and so sets the delay before the next recheck.
#[derive(Default)]
pub struct RecheckBackoff(u32);

impl RecheckBackoff {
    fn next(&mut self, first: Duration, longest: Duration) -> Duration {
        let delay = first.saturating_mul(1 << self.0.min(16));
        self.0 = self.0.saturating_add(1);
        delay.min(longest)
    }
}

#[cfg(test)]
mod tests;
