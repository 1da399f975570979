use super::{Arrivals, MAX_BATCHES};
use std::time::{Duration, Instant};

#[test]
fn each_byte_is_dated_by_its_arrival() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    let at = |millis| start + Duration::from_millis(millis);
    arrivals.record(100, at(0));
    arrivals.record(150, at(10));
    assert_eq!(arrivals.oldest(), Some(at(0)));
    arrivals.consume(100);
    assert_eq!(arrivals.oldest(), Some(at(10)), "the second request arrived later");
    arrivals.record(50, at(20));
    assert_eq!(arrivals.oldest(), Some(at(10)), "no new bytes have arrived");
    arrivals.consume(50);
    assert_eq!(arrivals.oldest(), None);
}

#[test]
fn a_client_that_sends_single_bytes_uses_bounded_memory() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    (1..1000).for_each(|byte| arrivals.record(byte, start + Duration::from_millis(byte as u64)));
    assert_eq!(arrivals.batches.len(), MAX_BATCHES);
    arrivals.consume(999);
    assert_eq!((arrivals.oldest(), arrivals.unread), (None, 0));
}
