//! Retries for system resources that may be unavailable for a moment at start.

use crate::transport::is_local_error;
use rustix::io::Errno;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// A previous process on the same address releases it within moments.
const RETRY_WINDOW: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Calls `attempt` until it succeeds, fails for good, or [`RETRY_WINDOW`] has passed. It blocks the thread:
/// nothing is served yet, so no client waits.
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
