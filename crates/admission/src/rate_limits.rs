//! Rate limits on new connections, for each client and for all together.

use crate::ClientKey;
use fernglade::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// How many clients' buckets are kept: two for each slot of a large mixer. A full bucket is as good as none
/// and is dropped first; beyond the bound the fullest one is dropped, whose client has used the least.
const MAX_BUCKETS: usize = 2048;

/// Token buckets. Each is represented by the time when it will be full again: a single number, which also
/// gives the order in which buckets are dropped.
#[derive(Default)]
pub struct RateLimiters {
    full_at: BTreeMap<ClientKey, Moment>,
    by_full_at: BTreeSet<(Moment, ClientKey)>,
    total_full_at: Moment,
}

/// One second's worth of connections may come at once: a page with a player opens half a dozen together.
const BURST_WINDOW: Span = Span::from_millis(1_000);

/// When a bucket is full again after one more connection is taken from it; `None` if it has no token. A
/// bucket for less than one connection a second still has room for one.
fn full_after_one_more(full_at: Moment, now: Moment, rate: f64) -> Option<Moment> {
    let interval = Span::from_micros((1e6 / rate.max(1e-6)) as u64);
    let next = full_at.max(now) + interval;
    (next.since(now) <= BURST_WINDOW.max(interval)).then_some(next)
}

impl RateLimiters {
    /// Whether one more connection is within both rates. It counts against them only if it is.
    pub fn take(
        &mut self,
        now: Moment,
        client: ClientKey,
        client_rate: Option<f64>,
        total_rate: Option<f64>,
    ) -> bool {
        let total_next = match total_rate {
            Some(rate) => match full_after_one_more(self.total_full_at, now, rate) {
                Some(next) => next,
                None => return false,
            },
            None => now,
        };
        if let Some(rate) = client_rate {
            let before = self.full_at.get(&client).copied().unwrap_or_default();
            let Some(next) = full_after_one_more(before, now, rate) else { return false };
            self.store(now, client, next);
        }
        self.total_full_at = total_next;
        true
    }

    /// Stores a client's bucket and drops the full ones and those over the bound.
    fn store(&mut self, now: Moment, client: ClientKey, next: Moment) {
        if let Some(before) = self.full_at.insert(client, next) {
            self.by_full_at.remove(&(before, client));
        }
        self.by_full_at.insert((next, client));
        while let Some((at, first)) = self.by_full_at.first().copied() {
            if at > now && self.by_full_at.len() <= MAX_BUCKETS {
                break;
            }
            self.by_full_at.remove(&(at, first));
            self.full_at.remove(&first);
        }
    }

    /// The number of buckets kept.
    pub fn len(&self) -> usize {
        debug_assert_eq!(self.full_at.len(), self.by_full_at.len());
        self.by_full_at.len()
    }
}

#[cfg(test)]
mod tests {
    use super::{RateLimiters, MAX_BUCKETS};
    use crate::ClientKey;
    use fernglade::Moment;

    fn at(millis: u64) -> Moment {
        Moment::from_micros(1_000_000_000 + millis * 1000)
    }

    #[test]
    fn one_seconds_worth_may_come_at_once_and_the_rest_at_the_rate() {
        let mut limiters = RateLimiters::default();
        let mut take = |millis, client| limiters.take(at(millis), ClientKey::V4(client), Some(10.0), None);
        assert_eq!((0..30).filter(|_| take(0, 1)).count(), 10);
        assert!(take(0, 2), "each client has its own bucket");
        assert_eq!((0..30).filter(|_| take(500, 1)).count(), 5);
        assert_eq!((0..30).filter(|_| take(60_000, 1)).count(), 10, "no more than a full bucket is saved up");
    }

    #[test]
    fn a_rejection_by_the_total_rate_does_not_count_for_the_client() {
        let mut limiters = RateLimiters::default();
        assert!((0..5).all(|n| limiters.take(at(0), ClientKey::V4(n), Some(1.0), Some(5.0))));
        assert!(!limiters.take(at(0), ClientKey::V4(9), Some(1.0), Some(5.0)));
        assert!(
            limiters.take(at(200), ClientKey::V4(9), Some(1.0), Some(5.0)),
            "the rejection did not count for the client"
        );
        assert!(
            !limiters.take(at(400), ClientKey::V4(9), Some(1.0), Some(5.0)),
            "the admitted connection did"
        );
    }

    #[test]
    fn buckets_of_one_time_clients_are_dropped() {
        let mut limiters = RateLimiters::default();
        for n in 0..100_000u32 {
            assert!(limiters.take(at(u64::from(n / 100)), ClientKey::V4(n), Some(5.0), None));
            assert!(limiters.len() <= MAX_BUCKETS);
        }
        limiters.take(at(10_000), ClientKey::V4(1), Some(5.0), None);
        assert_eq!(limiters.len(), 1);
    }
}
