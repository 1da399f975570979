//! A non-blocking socket. The socket is the state, and readiness only wakes: each wait ends after a bounded time as
//! well, and the call that would have blocked is made again.
//!
//! Guards against events that are lost, whoever loses them, and against a poller that does not take a socket
//! (`epoll_ctl` with ENOMEM or ENOSPC): it is looked at by time until it is taken. Hurts an idle socket by a call every
//! [`LONGEST_RECHECK`].

use super::reactor::{sleep, Direction, Registration};
use futures_lite::future;
use std::cell::OnceCell;
use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

/// When a registered socket is first looked at again without an event; each time twice as late.
const FIRST_RECHECK: Duration = Duration::from_millis(100);
const LONGEST_RECHECK: Duration = Duration::from_secs(1);
/// The same for a socket that the poller has not taken, where no event will come.
const FIRST_UNREGISTERED_RECHECK: Duration = Duration::from_millis(2);
const LONGEST_UNREGISTERED_RECHECK: Duration = Duration::from_millis(50);

pub struct Socket<T: AsFd> {
    inner: T,
    /// From the first wait on, once the poller takes it.
    registration: OnceCell<Registration>,
}

impl<T: AsFd> Socket<T> {
    /// Of one that does not block.
    pub fn new(inner: T) -> Self {
        Self { inner, registration: OnceCell::new() }
    }

    pub fn get_ref(&self) -> &T {
        &self.inner
    }

    /// Makes the call until it does not block.
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

    /// Returns when the call that would have blocked is to be made again.
    pub async fn wait(&self, direction: Direction, backoff: &mut RecheckBackoff) {
        let Some(registration) = self.registration() else {
            return sleep(backoff.next(FIRST_UNREGISTERED_RECHECK, LONGEST_UNREGISTERED_RECHECK)).await;
        };
        let recheck = backoff.next(FIRST_RECHECK, LONGEST_RECHECK);
        future::or(registration.ready(direction), sleep(recheck)).await;
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

/// How often one call has been waited for.
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
