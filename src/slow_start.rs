//! Slow start (rule 4): how much a searcher that has just started may be sent by all mixers together. Each
//! mixer keeps to its share of the rule's count on its own, as mixers share no state.
//!
//! Two bounds apply at once. [`SlowStart::share`] is a probability for each scan, which spreads the parts for
//! a fresh searcher over all scans. [`SendAllowance`] counts the parts that this mixer has sent, for any
//! reason: first attempts, retries, hedged requests. A probability alone does not bound a count: a scan that
//! passes it chooses the least busy searcher, which is nearly always the fresh one, and a burst or the loss
//! of the other replicas multiplies that.

use crate::{Moment, Span};

/// The largest assumed error of a wall clock: a little over an hour.
const MAX_CLOCK_SKEW: Span = Span::from_millis(3_700_000);

/// The kind of a list that may report starts. Start times are by the wall clock of another machine, whose
/// offset from this mixer's clock is unknown.
#[derive(Clone, Copy)]
pub enum ListKind {
    /// A list after the first one. A start that it newly reports has happened since the list before; the
    /// clock is not used.
    Update,
    /// The first list. Starts are compared only with its newest one, which may have been just now.
    Initial { newest: Option<Moment> },
}

/// The parameters of the rule, and the number of mixers that share its count.
#[derive(Default)]
pub struct SlowStart {
    pub mixers: f64,
    /// The share of its capacity that a searcher has at least when it starts.
    pub initial_share: f64,
    /// How long after its start a searcher reaches its full capacity.
    pub warm_up: Span,
    /// How much load it withstands: this multiple of its current capacity, over the window below.
    pub overload_factor: f64,
    /// The rule's window.
    pub overload_window: Span,
}

/// Cores of a searcher. They are not reported, and no machine of the platforms served has fewer.
const CORES: f64 = 2.0;
/// The part of the count that the probability per scan aims at when there are many mixers.
const RANDOM_SHARE: f64 = 0.9;
/// The part of the count that is granted at a steady rate; the rest may be sent in a burst.
const STEADY_SHARE: f64 = 0.75;
/// The same when there are so many mixers that one part exceeds each one's share. The probability then bounds
/// the total count, and the allowance of each mixer bounds how far a burst exceeds it.
const STEADY_SHARE_OF_MANY: f64 = 3.5;
/// The part of the rule's statistical tolerance that is used; the rest is for parts that take longer than the
/// mean.
const TOLERANCE_SHARE: f64 = 0.5;

impl SlowStart {
    /// Whether a searcher that started at `since` may still be in slow start. The rule's window is counted to
    /// its end.
    pub fn is_cold(&self, since: Moment, now: Moment) -> bool {
        now.since(since) <= self.warm_up + self.overload_window
    }

    /// Returns the latest possible start of a searcher whose start is newly reported, or `None` if it is past
    /// its slow start.
    ///
    /// Guards against clocks that were stepped on either machine. The cost is a slow start of the newest
    /// searchers after the mixer's own start, and one that is longer by the delay of a late list.
    pub fn latest_start(&self, reported: Moment, list: ListKind, now: Moment) -> Option<Moment> {
        match list {
            // Without a warm-up time there is no slow start.
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

    /// Returns how many parts of this latency the searcher withstands in the rule's window, by its capacity
    /// when the window began.
    fn max_parts(&self, since: Moment, now: Moment, part_latency: f64) -> f64 {
        let age =
            now.since(since).saturating_sub(self.overload_window).as_f64() / self.warm_up.as_f64().max(1.0);
        let capacity_share = self.initial_share + (1.0 - self.initial_share) * age.min(1.0);
        self.overload_factor * capacity_share * CORES * self.overload_window.as_f64() / part_latency.max(1.0)
    }

    /// Returns the share of its offered load that keeps a searcher within this mixer's share of the count, if
    /// `offered_rate` parts per microsecond would be sent to it and `sharers` mixers send it parts. The share
    /// is 1 if there are so few mixers that each can keep to its part by counting.
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

    /// Returns how many parts this mixer may send at once beyond the steady rate.
    fn burst(&self, max_parts: f64, sharers: f64) -> f64 {
        let tolerance =
            if max_parts < 30.0 { 3.0 * (max_parts + 3.0).sqrt() } else { 2.0 * (max_parts + 2.0).sqrt() };
        (max_parts * (1.0 - STEADY_SHARE) + tolerance * TOLERANCE_SHARE) / sharers
    }

    /// Returns how many parts this mixer may send steadily in the rule's window, and at once beyond that.
    fn quota(&self, since: Moment, part_latency: f64, sharers: f64, now: Moment) -> Quota {
        let max_parts = self.max_parts(since, now, part_latency);
        let burst = self.burst(max_parts, sharers);
        let steady = max_parts * if burst < 1.0 { STEADY_SHARE_OF_MANY } else { STEADY_SHARE } / sharers;
        Quota { steady, burst: burst.max(1.0) }
    }
}

/// A mixer's share of the rule's count.
struct Quota {
    steady: f64,
    burst: f64,
}

/// How many parts a mixer may send to one fresh searcher now. Guards against counts that a probability does
/// not bound. If the other mixers send nothing, their shares of the count go unused.
#[derive(Clone, Copy)]
pub struct SendAllowance {
    remaining: f64,
    updated_at: Moment,
}

impl SendAllowance {
    /// Creates the initial allowance, a random fraction `phase` (0 to 1) of one part: this mixer may have
    /// sent to the searcher before its own restart, and many mixers learn of a start together.
    pub fn new(now: Moment, phase: f64) -> Self {
        Self { remaining: phase, updated_at: now }
    }

    /// Returns the allowance at `now`, for a searcher that started at `since`.
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

    /// Returns how many parts may be sent now.
    pub fn available(&self) -> f64 {
        self.remaining.max(0.0).floor()
    }

    /// Counts one part as sent.
    pub fn spend(&mut self) {
        self.remaining -= 1.0;
    }
}
