use super::*;
use futures_lite::future;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

/// Guards against a timer that fires early, out of order, or after its task has dropped it.
#[test]
fn timers_fire_in_order_and_not_before_their_time() {
    let (began, fired) = (Instant::now(), RefCell::new(Vec::new()));
    let fire = |millis: u64| {
        let fired = &fired;
        async move {
            sleep(Duration::from_millis(millis)).await;
            fired.borrow_mut().push((millis, began.elapsed()));
        }
    };
    let dropped = future::or(fire(8), sleep(Duration::from_millis(2)));
    Reactor::new().unwrap().block_on(future::zip(dropped, future::zip(fire(15), fire(5))));
    let fired = fired.into_inner();
    assert_eq!(fired.iter().map(|(millis, _)| *millis).collect::<Vec<_>>(), [5, 15]);
    assert!(fired.iter().all(|(millis, at)| *at >= Duration::from_millis(*millis)), "{fired:?}");
}

/// Covers an event that arrives before any task waits, and one that arrives during a wait.
#[test]
fn each_event_wakes_once() {
    let (mut here, mut there) = UnixStream::pair().unwrap();
    here.set_nonblocking(true).unwrap();
    Reactor::new().unwrap().block_on(async {
        let registration = Registration::new(&here).unwrap();
        there.write_all(b"one").unwrap();
        registration.ready(Direction::Read).await;
        assert_eq!(here.read(&mut [0; 8]).unwrap(), 3);
        let again = async {
            registration.ready(Direction::Read).await;
            true
        };
        let quiet = async {
            sleep(Duration::from_millis(20)).await;
            false
        };
        assert!(!future::or(again, quiet).await, "no event without new data");
        let writes = async {
            sleep(Duration::from_millis(5)).await;
            there.write_all(b"two").unwrap();
        };
        future::zip(writes, registration.ready(Direction::Read)).await;
        registration.release(&here);
    });
}
