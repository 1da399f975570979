//! Hedged connection attempts: beside one that is late a further one is begun, and the first that is up is used.
//!
//! Guards against connections that come up late now and then (a packet lost, a full queue): the system tries again
//! only after a second, while a new attempt is up at once. Should also cover a searcher whose machine forgets a
//! handshake. Hurts a searcher that takes no connections at all, by further attempts: each dial earns a share of one.

use super::LinkId;
use fernglade::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// Further attempts beside one dial.
const MOST_BESIDE: u32 = 2;
/// Further attempts for each dial, and how many may come in a row.
const SHARE: f64 = 0.5;
const MOST_SAVED: f64 = 8.0;
/// An attempt is late after so many times the usual time.
const LATE_FACTOR: u64 = 4;
/// The bounds of that, as parts of the time that a dial is given; the first is also what holds before any is known.
const UNKNOWN_PART: u64 = 8;
const SOONEST_PART: u64 = 32;
const LATEST_PART: u64 = 4;
/// Dials of which the usual time is the median.
const REMEMBERED: usize = 16;

/// One dial that is not over.
struct Dial {
    latest: Moment,
    beside: u32,
}

/// All dials of this mixer, and what the last ones took.
pub struct ConnectionAttempts {
    dials: BTreeMap<LinkId, Dial>,
    took: VecDeque<Span>,
    saved: f64,
}

/// What to do about a dial that may be late.
#[derive(Debug, PartialEq)]
pub enum Late {
    /// It is over, or has had all that it may have.
    Nothing,
    /// Begin a further attempt, and look at it again then.
    Begin(Moment),
    /// None may begin now; look at it again then.
    Wait(Moment),
}

impl Default for ConnectionAttempts {
    fn default() -> Self {
        Self { dials: BTreeMap::new(), took: VecDeque::new(), saved: MOST_SAVED }
    }
}

impl ConnectionAttempts {
    /// A dial begins, which is given this time; returns when it is late.
    pub fn begin(&mut self, link: LinkId, now: Moment, within: Span) -> Moment {
        self.saved = (self.saved + SHARE).min(MOST_SAVED);
        self.dials.insert(link, Dial { latest: now, beside: 0 });
        now + self.late_after(within)
    }

    /// It may be late now; `has_room` where a descriptor is left for a further attempt.
    pub fn late(&mut self, link: LinkId, now: Moment, within: Span, has_room: bool) -> Late {
        let again = now + self.late_after(within);
        let Some(dial) = self.dials.get_mut(&link).filter(|dial| dial.beside < MOST_BESIDE) else {
            return Late::Nothing;
        };
        if !has_room || self.saved < 1.0 {
            return Late::Wait(again);
        }
        self.saved -= 1.0;
        (dial.latest, dial.beside) = (now, dial.beside + 1);
        Late::Begin(again)
    }

    /// It is up: all its other attempts are over.
    pub fn up(&mut self, link: LinkId, now: Moment) {
        let Some(dial) = self.dials.remove(&link) else { return };
        if self.took.len() == REMEMBERED {
            self.took.pop_front();
        }
        self.took.push_back(now.since(dial.latest));
    }

    /// It is over with no connection.
    pub fn ended(&mut self, link: LinkId) {
        self.dials.remove(&link);
    }

    /// Descriptors that further attempts may hold now.
    pub fn beside(&self) -> usize {
        self.dials.values().map(|dial| dial.beside as usize).sum()
    }

    fn late_after(&self, within: Span) -> Span {
        let part = |of: u64| within.micros() / of;
        let mut took: Vec<u64> = self.took.iter().map(|span| span.micros()).collect();
        took.sort_unstable();
        let late = match took.get(took.len() / 2) {
            Some(median) => (median * LATE_FACTOR).clamp(part(SOONEST_PART), part(LATEST_PART)),
            None => part(UNKNOWN_PART),
        };
        Span::from_micros(late)
    }
}

#[cfg(test)]
mod tests;
