//! An open scan and its parts.

use crate::*;

/// One part of an open scan.
#[derive(Default)]
pub(crate) struct Part {
    pub(crate) request: PartSpec,
    /// The searchers that it has been sent to, in order.
    pub(crate) tried: Vec<Searcher>,
    /// The relay in flight, and when it was sent.
    pub(crate) in_flight: Option<(Ticket, Moment)>,
    /// When the first relay was sent that is in flight or may have run.
    pub(crate) may_have_run: Option<Moment>,
    /// Whether a searcher has received it and rejected it.
    pub(crate) was_rejected: bool,
    pub(crate) succeeded: bool,
    /// Whether it has failed or was skipped, and no relay is in flight or waiting for it.
    pub(crate) failed: bool,
}

/// A scan that has been admitted and has no final answer yet.
#[derive(Default)]
pub(crate) struct Scan {
    pub(crate) traffic_type: usize,
    /// Whether its parts may be sent more than once: by its traffic type, unless the scan is stricter.
    pub(crate) idempotency: Idempotency,
    /// The scan's value for its work relative to the best seen, at most 1.
    pub(crate) priority: f64,
    /// The scan's position among the admitted ones, from 0 to 1, drawn once; it decides which fresh searchers
    /// the scan may be sent to.
    pub(crate) rank: f64,
    /// When the scan must be answered at the latest.
    pub(crate) deadline: Moment,
    pub(crate) parts: Vec<Part>,
    /// The searchers at which a part was lost with its connection.
    pub(crate) suspects: Vec<Searcher>,
    /// Whether one part was sent first as a canary and the others wait for it.
    pub(crate) awaits_canary: bool,
    /// The index of the current step's first part.
    pub(crate) step_start: usize,
    /// During a fetch step, whether the first answer was complete.
    pub(crate) first_step_complete: Option<bool>,
}

impl Part {
    /// Whether rule 2 allows another relay of the part now. It is to be sent within `margin`.
    pub(crate) fn may_be_sent_again(&self, idempotency: Idempotency, now: Moment, margin: Span) -> bool {
        match (idempotency, self.may_have_run) {
            (Idempotency::SingleDelivery, None) => !self.was_rejected,
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::ByKey(window), Some(first)) => now.since(first) + margin < window,
            (Idempotency::NonIdempotent | Idempotency::SingleDelivery, Some(_)) => false,
        }
    }
}

impl Scan {
    /// Returns the weight that has succeeded in the current step, and the weight that makes the step
    /// complete.
    pub(crate) fn coverage(&self, kind: &TrafficType) -> (f64, f64) {
        let succeeded =
            self.parts[self.step_start..].iter().filter(|p| p.succeeded).map(|p| p.request.weight);
        (succeeded.sum(), self.first_step_complete.map_or(kind.complete_from, |_| 1.0))
    }

    /// Returns the weight that the current step can still reach.
    pub(crate) fn reachable_coverage(&self) -> f64 {
        self.parts[self.step_start..].iter().filter(|p| !p.failed).map(|p| p.request.weight).sum()
    }
}
