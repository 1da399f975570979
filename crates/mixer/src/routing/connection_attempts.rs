//! Hedged connection attempts: when a dial is slow, another attempt is started and the first to connect is
//! used.
//!
//! Guards against connections that are occasionally slow to establish (a lost packet, a full queue): the
//! operating system retries only after a second, while a new attempt connects at once. It should also cover a
//! searcher whose host loses a handshake. It costs extra attempts at a searcher that accepts no connections
//! at all, so every dial adds only a fraction of an attempt to the hedge budget.

use super::LinkId;
use fernglade::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// Hedged attempts per dial.
const MAX_HEDGES_PER_DIAL: u32 = 2;
/// Budget earned by each dial, and the most that can be saved up for a burst.
const HEDGES_PER_DIAL: f64 = 0.5;
const MAX_HEDGE_BUDGET: f64 = 8.0;
/// A dial is hedged after this multiple of the median connect time.
const HEDGE_DELAY_FACTOR: u64 = 4;
/// Bounds of the hedge delay, as fractions (1/n) of the dial timeout; the first applies while no connect time
/// is known.
const DEFAULT_DELAY_DIVISOR: u64 = 8;
const MIN_DELAY_DIVISOR: u64 = 32;
const MAX_DELAY_DIVISOR: u64 = 4;
/// Number of recent dials from which the median is taken.
const MAX_SAMPLES: usize = 16;

/// A dial in progress.
struct Dial {
    last_attempt: Moment,
    hedges: u32,
}

/// All dials of this mixer, and the connect times of the latest ones.
pub struct ConnectionAttempts {
    dials: BTreeMap<LinkId, Dial>,
    connect_times: VecDeque<Span>,
    hedge_budget: f64,
}

/// What to do about a dial that may be slow.
#[derive(Debug, PartialEq)]
pub enum HedgeDecision {
    /// The dial is over or has used all of its hedged attempts.
    Stop,
    /// Start a hedged attempt, and check again at that time.
    Start(Moment),
    /// No attempt may start now; check again at that time.
    Wait(Moment),
}

impl Default for ConnectionAttempts {
    fn default() -> Self {
        Self { dials: BTreeMap::new(), connect_times: VecDeque::new(), hedge_budget: MAX_HEDGE_BUDGET }
    }
}

impl ConnectionAttempts {
    /// Records the start of a dial, and returns when to consider a hedged attempt.
    pub fn start(&mut self, link: LinkId, now: Moment, timeout: Span) -> Moment {
        self.hedge_budget = (self.hedge_budget + HEDGES_PER_DIAL).min(MAX_HEDGE_BUDGET);
        self.dials.insert(link, Dial { last_attempt: now, hedges: 0 });
        now + self.hedge_delay(timeout)
    }

    /// Decides whether to start a hedged attempt; `has_room` states whether a descriptor is left for one.
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

    /// The dial is connected, which ends all of its other attempts.
    pub fn connected(&mut self, link: LinkId, now: Moment) {
        let Some(dial) = self.dials.remove(&link) else { return };
        if self.connect_times.len() == MAX_SAMPLES {
            self.connect_times.pop_front();
        }
        self.connect_times.push_back(now.since(dial.last_attempt));
    }

    /// The dial ended without a connection.
    pub fn failed(&mut self, link: LinkId) {
        self.dials.remove(&link);
    }

    /// The number of descriptors that hedged attempts may be using.
    pub fn hedges_in_flight(&self) -> usize {
        self.dials.values().map(|dial| dial.hedges as usize).sum()
    }

    /// How long to wait for an attempt before starting another.
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
        Span::from_micros(delay)
    }
}

#[cfg(test)]
mod tests;
