use super::{Arrivals, MOST_BATCHES};
use std::time::{Duration, Instant};

#[test]
fn each_byte_counts_from_when_it_came() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    let at = |millis| start + Duration::from_millis(millis);
    arrivals.note(100, at(0));
    arrivals.note(150, at(10));
    assert_eq!(arrivals.oldest(), Some(at(0)));
    arrivals.used(100);
    assert_eq!(arrivals.oldest(), Some(at(10)), "the second request stood no longer");
    arrivals.note(50, at(20));
    assert_eq!(arrivals.oldest(), Some(at(10)), "nothing new has come");
    arrivals.used(50);
    assert_eq!(arrivals.oldest(), None);
}

#[test]
fn a_client_that_sends_byte_by_byte_takes_bounded_memory() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    (1..1000).for_each(|byte| arrivals.note(byte, start + Duration::from_millis(byte as u64)));
    assert_eq!(arrivals.batches.len(), MOST_BATCHES);
    arrivals.used(999);
    assert_eq!((arrivals.oldest(), arrivals.unread), (None, 0));
}
