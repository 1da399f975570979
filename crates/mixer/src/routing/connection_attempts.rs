//! Hedged connection attempts: beside one that is late a further one is begun, and the first that is up is used.
//!
//! Guards against connections that come up late now and then (a packet lost, a full queue): the system tries again
//! only after a second, while a new attempt is up at once. Should also cover a searcher whose machine forgets a
//! handshake. Hurts a searcher that takes no connections at all, by further attempts: each dial earns a share of one.

use super::LinkId;
use fernglade::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// Further attempts beside one dial.
const MAX_HEDGES_PER_DIAL: u32 = 2;
/// Further attempts for each dial, and how many may come in a row.
const HEDGES_PER_DIAL: f64 = 0.5;
const MAX_HEDGE_BUDGET: f64 = 8.0;
/// An attempt is late after so many times the usual time.
const HEDGE_DELAY_FACTOR: u64 = 4;
/// The bounds of that, as parts of the time that a dial is given; the first is also what holds before any is known.
const DEFAULT_DELAY_DIVISOR: u64 = 8;
const MIN_DELAY_DIVISOR: u64 = 32;
const MAX_DELAY_DIVISOR: u64 = 4;
/// Dials of which the usual time is the median.
const MAX_SAMPLES: usize = 16;

/// One dial that is not over.
struct Dial {
    last_attempt: Moment,
    hedges: u32,
}

/// All dials of this mixer, and what the last ones connect_times.
pub struct ConnectionAttempts {
    dials: BTreeMap<LinkId, Dial>,
    connect_times: VecDeque<Span>,
    hedge_budget: f64,
}

/// What to do about a dial that may be late.
#[derive(Debug, PartialEq)]
pub enum HedgeDecision {
    /// It is over, or has had all that it may have.
    Stop,
    /// Begin a further attempt, and look at it again then.
    Start(Moment),
    /// None may begin now; look at it again then.
    Wait(Moment),
}

impl Default for ConnectionAttempts {
    fn default() -> Self {
        Self { dials: BTreeMap::new(), connect_times: VecDeque::new(), hedge_budget: MAX_HEDGE_BUDGET }
    }
}

impl ConnectionAttempts {
    /// A dial begins, which is given this time; returns when it is late.
    pub fn start(&mut self, link: LinkId, now: Moment, timeout: Span) -> Moment {
        self.hedge_budget = (self.hedge_budget + HEDGES_PER_DIAL).min(MAX_HEDGE_BUDGET);
        self.dials.insert(link, Dial { last_attempt: now, hedges: 0 });
        now + self.hedge_delay(timeout)
    }

    /// It may be late now; `has_room` where a descriptor is left for a further attempt.
    pub fn hedge_decision(
        &mut self,
        link: LinkId,
        now: Moment,
        timeout: Span,
        has_room: bool,
    ) -> HedgeDecision {
        let recheck_at = now + self.hedge_delay(timeout);
        let Some(dial) = self.dials.get_mut(&link).filter(|dial| dial.hedges < MAX_HEDGES_PER_DIAL) else {
            return HedgeDecision::Stop;
        };
        if !has_room || self.hedge_budget < 1.0 {
            return HedgeDecision::Wait(recheck_at);
        }
        self.hedge_budget -= 1.0;
        (dial.last_attempt, dial.hedges) = (now, dial.hedges + 1);
        HedgeDecision::Start(recheck_at)
    }

    /// It is up: all its other attempts are over.
    pub fn connected(&mut self, link: LinkId, now: Moment) {
        let Some(dial) = self.dials.remove(&link) else { return };
        if self.connect_times.len() == MAX_SAMPLES {
            self.connect_times.pop_front();
        }
        self.connect_times.push_back(now.since(dial.last_attempt));
    }

    /// It is over with no connection.
    pub fn failed(&mut self, link: LinkId) {
        self.dials.remove(&link);
    }

    /// Descriptors that further attempts may hold now.
    pub fn hedges_in_flight(&self) -> usize {
        self.dials.values().map(|dial| dial.hedges as usize).sum()
    }

    fn hedge_delay(&self, timeout: Span) -> Span {
        let fraction = |of: u64| timeout.micros() / of;
        let mut connect_times: Vec<u64> = self.connect_times.iter().map(|span| span.micros()).collect();
        connect_times.sort_unstable();
        let delay = match connect_times.get(connect_times.len() / 2) {
            Some(median) => {
                (median * HEDGE_DELAY_FACTOR).clamp(fraction(MIN_DELAY_DIVISOR), fraction(MAX_DELAY_DIVISOR))
            }
            None => fraction(DEFAULT_DELAY_DIVISOR),
        };
        Span::of_micros(delay)
    }
}

#[cfg(test)]
mod tests;
