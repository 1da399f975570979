use super::*;
use crate::transport::Reactor;
use std::cell::Cell;
use std::fs::File;
use std::os::unix::net::UnixStream;
use std::time::Instant;

fn blocks_until(
    began: Instant,
    span: Duration,
    calls: &Cell<usize>,
) -> impl Fn() -> io::Result<()> + use<'_> {
    move || {
        calls.set(calls.get() + 1);
        if began.elapsed() < span {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        Ok(())
    }
}

/// The poller may refuse a socket, as when it is out of memory. Simulated by a plain file, which epoll
/// refuses.
#[test]
fn a_socket_the_poller_refuses_is_rechecked_by_timer() {
    let socket = Socket::new(File::open("/proc/self/stat").unwrap());
    let (began, calls) = (Instant::now(), Cell::new(0));
    let call = blocks_until(began, Duration::from_millis(150), &calls);
    Reactor::new().unwrap().block_on(socket.when_ready(Direction::Read, |_| call())).unwrap();
    assert!(
        began.elapsed() < Duration::from_millis(150) + LONGEST_UNREGISTERED_RECHECK * 2,
        "{:?}",
        began.elapsed()
    );
    assert!(calls.get() < 20, "{calls:?}");
}

/// The call must be retried by timer if its readiness event is lost.
#[test]
fn a_call_is_retried_when_its_event_is_lost() {
    let (here, _there) = UnixStream::pair().unwrap();
    let socket = Socket::new(here);
    let (began, calls) = (Instant::now(), Cell::new(0));
    let call = blocks_until(began, Duration::from_millis(50), &calls);
    Reactor::new().unwrap().block_on(socket.when_ready(Direction::Read, |_| call())).unwrap();
    assert!(began.elapsed() < FIRST_RECHECK * 2, "{:?}", began.elapsed());
    assert!(calls.get() < 5, "{calls:?}");
}
