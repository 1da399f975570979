//! What the start needs of the system, which may be out of it for a moment.

use crate::transport::is_local_fault;
use rustix::io::Errno;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// A process before this one lets go of its address within moments.
const TRIED_FOR: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(50);

/// Makes something, again and again where this machine can't just then. Nothing is served before, so nobody waits.
pub fn made_in_time<T>(mut make: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match make() {
            Err(error) if is_passing(&error) && began.elapsed() < TRIED_FOR => thread::sleep(PAUSE),
            made => return made,
        }
    }
}

fn is_passing(error: &io::Error) -> bool {
    let of_disk = Errno::from_io_error(error) == Some(Errno::IO);
    of_disk || error.kind() == io::ErrorKind::AddrInUse || is_local_fault(error)
}
