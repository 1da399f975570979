//! How fast callers open connections.

use crate::Caller;
use fernglade::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// How many callers' paces are kept: two of each place of a large mixer. A pace that was full again is as good as
/// none, and leaves first; past the bound the fullest one gives way, whose caller has asked for least.
const MOST: usize = 2048;

/// A bucket, told by the moment when it will be full again: one number, and an order to forget by.
#[derive(Default)]
pub struct Paces {
    full_at: BTreeMap<Caller, Moment>,
    order: BTreeSet<(Moment, Caller)>,
    whole_full_at: Moment,
}

/// A second's worth may come at once: a page of a player opens half a dozen connections together.
const BURST: Span = Span::from_millis(1_000);

/// When a bucket that one more is taken from is full again; none where it holds none. One of less than a
/// connection a second has room for one all the same.
fn taken(full_at: Moment, now: Moment, pace: f64) -> Option<Moment> {
    let each = Span::from_micros((1e6 / pace.max(1e-6)) as u64);
    let next = full_at.max(now) + each;
    (next.since(now) <= BURST.max(each)).then_some(next)
}

impl Paces {
    /// Whether one more is within both paces; it counts only if it is.
    pub fn take(&mut self, now: Moment, caller: Caller, each: Option<f64>, whole: Option<f64>) -> bool {
        let all = match whole {
            Some(pace) => match taken(self.whole_full_at, now, pace) {
                Some(next) => next,
                None => return false,
            },
            None => now,
        };
        if let Some(pace) = each {
            let before = self.full_at.get(&caller).copied().unwrap_or_default();
            let Some(next) = taken(before, now, pace) else { return false };
            self.set(now, caller, next);
        }
        self.whole_full_at = all;
        true
    }

    fn set(&mut self, now: Moment, caller: Caller, next: Moment) {
        if let Some(before) = self.full_at.insert(caller, next) {
            self.order.remove(&(before, caller));
        }
        self.order.insert((next, caller));
        while let Some((at, first)) = self.order.first().copied() {
            if at > now && self.order.len() <= MOST {
                break;
            }
            self.order.remove(&(at, first));
            self.full_at.remove(&first);
        }
    }

    pub fn len(&self) -> usize {
        debug_assert_eq!(self.full_at.len(), self.order.len());
        self.order.len()
    }
}

#[cfg(test)]
mod tests {
    use super::{Paces, MOST};
    use crate::Caller;
    use fernglade::Moment;

    fn at(millis: u64) -> Moment {
        Moment::from_micros(1_000_000_000 + millis * 1000)
    }

    #[test]
    fn a_seconds_worth_may_come_at_once_and_the_rest_at_its_pace() {
        let mut paces = Paces::default();
        let mut come = |millis, caller| paces.take(at(millis), Caller::V4(caller), Some(10.0), None);
        assert_eq!((0..30).filter(|_| come(0, 1)).count(), 10);
        assert!(come(0, 2), "another's is its own");
        assert_eq!((0..30).filter(|_| come(500, 1)).count(), 5);
        assert_eq!((0..30).filter(|_| come(60_000, 1)).count(), 10, "no more is saved up");
    }

    #[test]
    fn what_is_over_the_pace_of_all_costs_a_caller_nothing() {
        let mut paces = Paces::default();
        assert!((0..5).all(|n| paces.take(at(0), Caller::V4(n), Some(1.0), Some(5.0))));
        assert!(!paces.take(at(0), Caller::V4(9), Some(1.0), Some(5.0)));
        assert!(paces.take(at(200), Caller::V4(9), Some(1.0), Some(5.0)), "its own was not touched");
        assert!(!paces.take(at(400), Caller::V4(9), Some(1.0), Some(5.0)), "now it was");
    }

    #[test]
    fn a_hundred_thousand_who_come_once_leave_nothing() {
        let mut paces = Paces::default();
        for n in 0..100_000u32 {
            assert!(paces.take(at(u64::from(n / 100)), Caller::V4(n), Some(5.0), None));
            assert!(paces.len() <= MOST);
        }
        paces.take(at(10_000), Caller::V4(1), Some(5.0), None);
        assert_eq!(paces.len(), 1);
    }
}
