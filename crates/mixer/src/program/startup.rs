//! What the start needs of the system, which may be out of it for a moment.

use crate::transport::is_local_error;
use rustix::io::Errno;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// A process before this one lets go of its address within moments.
const RETRY_WINDOW: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Makes something, again and again where this machine can't just then. Nothing is served before, so nobody waits.
pub fn retry_transient<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && started.elapsed() < RETRY_WINDOW => {
                thread::sleep(RETRY_DELAY)
            }
            result => return result,
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    let is_disk_error = Errno::from_io_error(error) == Some(Errno::IO);
    is_disk_error || error.kind() == io::ErrorKind::AddrInUse || is_local_error(error)
}
