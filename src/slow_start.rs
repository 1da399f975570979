//! Slow start (rule 4): how much a searcher that has just started may be sent, by all mixers together. Each mixer
//! keeps to its part of the rule's count by itself, as mixers share nothing.
//!
//! Two bounds hold at once. [`SlowStart::share`] is a chance for each scan, so that what falls to a fresh searcher
//! is spread over all of them; [`Allowance`] counts what this mixer has sent, whatever brought it there: first
//! attempts, retries, hedges. A chance alone bounds no count: a scan that it lets past chooses the least busy
//! searcher, which the fresh one nearly always is, and a burst or the loss of the other copies multiplies it.

use crate::{Moment, Span};

/// How far a wall clock is taken to be off at the most: an hour and some.
const MAX_CLOCK_SKEW: Span = Span::from_millis(3_700_000);

/// A list that may tell of starts: by the wall clock of another machine, whose distance from this mixer's nobody knows.
#[derive(Clone, Copy)]
pub enum ListKind {
    /// A list after the first: what it tells anew has happened since the one before. The clock is not asked.
    Update,
    /// The first list that is heard: starts are compared with its newest one alone, which may be just now.
    Initial { newest: Option<Moment> },
}

/// The rule's figures, and the number of mixers that share the count.
#[derive(Default)]
pub struct SlowStart {
    pub mixers: f64,
    /// The share of its capacity with which a searcher starts at the least.
    pub initial_share: f64,
    /// It is warm so long after its start.
    pub warm_up: Span,
    /// What it bears: so many times its capacity of the moment, for so long.
    pub overload_factor: f64,
    pub overload_window: Span,
}

/// Cores of a searcher: nobody tells them, and no machine of the platforms served has fewer.
const CORES: f64 = 2.0;
/// The part of the count that chance is to send, where mixers are many.
const RANDOM_SHARE: f64 = 0.9;
/// The part of the count that comes evenly; the rest may be sent in a burst.
const STEADY_SHARE: f64 = 0.75;
/// The same where mixers are so many that one part is more than the share of each: there the chance keeps the count
/// of all, and what one may send bounds how far a burst passes it.
const STEADY_SHARE_OF_MANY: f64 = 3.5;
/// The part of what the rule adds for chance that is used; the rest is for parts that take more than the mean.
const TOLERANCE_SHARE: f64 = 0.5;

impl SlowStart {
    /// Whether a searcher that started then may still be cold. Its window is counted to its end.
    pub fn is_cold(&self, since: Moment, now: Moment) -> bool {
        now.since(since) <= self.warm_up + self.overload_window
    }

    /// When a searcher started at the latest whose start is told anew; none where it is warm. Guards against clocks
    /// that were stepped, here or there. Hurts after a mixer's own start, by a slow start of the searchers that came
    /// last, and where a list comes late, by that time once more.
    pub fn latest_start(&self, reported: Moment, list: ListKind, now: Moment) -> Option<Moment> {
        match list {
            // Where nothing is said of cold ones none is.
            _ if self.warm_up == Span::ZERO => None,
            ListKind::Update => Some(now),
            ListKind::Initial { newest } => {
                let newest = newest.unwrap_or(reported).max(reported);
                let age = newest.since(reported);
                let may_be_new = now.since(newest) <= MAX_CLOCK_SKEW && age < self.warm_up;
                may_be_new.then(|| now.saturating_sub(age))
            }
        }
    }

    /// How many parts of this much work it bears in the rule's window, as it stood when the window began.
    fn max_parts(&self, since: Moment, now: Moment, part_latency: f64) -> f64 {
        let age =
            now.since(since).saturating_sub(self.overload_window).as_f64() / self.warm_up.as_f64().max(1.0);
        let capacity_share = self.initial_share + (1.0 - self.initial_share) * age.min(1.0);
        self.overload_factor * capacity_share * CORES * self.overload_window.as_f64() / part_latency.max(1.0)
    }

    /// The share of what would fall to it that keeps it within this mixer's part of the count, where `falls` parts
    /// a microsecond would and so many mixers send it some. All of it where mixers are so few that each can keep to its part by counting.
    pub fn share(
        &self,
        since: Moment,
        part_latency: f64,
        offered_rate: f64,
        sharers: f64,
        now: Moment,
    ) -> f64 {
        if self.burst(self.max_parts(since, now, part_latency), sharers) >= 1.0 {
            return 1.0;
        }
        RANDOM_SHARE * self.max_parts(since, now, part_latency)
            / (self.overload_window.as_f64() * sharers * offered_rate)
    }

    /// What this mixer may send at once on top of what comes evenly.
    fn burst(&self, max_parts: f64, sharers: f64) -> f64 {
        let tolerance =
            if max_parts < 30.0 { 3.0 * (max_parts + 3.0).sqrt() } else { 2.0 * (max_parts + 2.0).sqrt() };
        (max_parts * (1.0 - STEADY_SHARE) + tolerance * TOLERANCE_SHARE) / sharers
    }

    /// What this mixer may send evenly in the rule's window, and at once on top of that.
    fn quota(&self, since: Moment, part_latency: f64, sharers: f64, now: Moment) -> Quota {
        let max_parts = self.max_parts(since, now, part_latency);
        let burst = self.burst(max_parts, sharers);
        let steady = max_parts * if burst < 1.0 { STEADY_SHARE_OF_MANY } else { STEADY_SHARE } / sharers;
        Quota { steady, burst: burst.max(1.0) }
    }
}

struct Quota {
    steady: f64,
    burst: f64,
}

/// How many parts a mixer may send to one fresh searcher now. Guards against a count that no chance bounds; hurts
/// where the other mixers send nothing, as their parts of the count lapse.
#[derive(Clone, Copy)]
pub struct SendAllowance {
    remaining: f64,
    updated_at: Moment,
}

impl SendAllowance {
    /// A mixer that may have sent to it in a former life, or is one of many that hear of the start together, begins
    /// with a part of one turn, by chance; `turn` is from nothing to one.
    pub fn new(now: Moment, phase: f64) -> Self {
        Self { remaining: phase, updated_at: now }
    }

    /// The same now, for a searcher that started then.
    pub fn at(
        &self,
        slow_start: &SlowStart,
        since: Moment,
        part_latency: f64,
        sharers: f64,
        now: Moment,
    ) -> Self {
        let quota = slow_start.quota(since, part_latency, sharers, now);
        let windows = now.since(self.updated_at).as_f64() / slow_start.overload_window.as_f64().max(1.0);
        Self { remaining: (self.remaining + quota.steady * windows).min(quota.burst), updated_at: now }
    }

    /// How many parts may go now.
    pub fn available(&self) -> f64 {
        self.remaining.max(0.0).floor()
    }

    /// One part goes.
    pub fn spend(&mut self) {
        self.remaining -= 1.0;
    }
}
