//! An open scan and its parts.

use crate::*;

#[derive(Default)]
pub(crate) struct Part {
    pub(crate) request: PartRequest,
    pub(crate) tried: Vec<Searcher>,
    pub(crate) in_flight: Option<(Ticket, Moment)>,
    /// When the first relay left that is out or may have run.
    pub(crate) may_have_run: Option<Moment>,
    pub(crate) succeeded: bool,
    pub(crate) failed: bool,
}

#[derive(Default)]
pub(crate) struct Scan {
    pub(crate) traffic_type: usize,
    pub(crate) priority: f64,
    /// Drawn once: which fresh searchers it falls to, from nothing to one.
    pub(crate) rank: f64,
    pub(crate) deadline: Moment,
    pub(crate) parts: Vec<Part>,
    /// The searchers that a part was lost at with its connection.
    pub(crate) suspects: Vec<Searcher>,
    /// One part went ahead, the others wait.
    pub(crate) awaits_canary: bool,
    /// Where the present step's parts begin, and, at a second one, whether the first was whole.
    pub(crate) step_start: usize,
    pub(crate) first_step_complete: Option<bool>,
}

impl Scan {
    /// The weight honoured, and what makes the present step whole.
    pub(crate) fn coverage(&self, kind: &TrafficType) -> (f64, f64) {
        let succeeded =
            self.parts[self.step_start..].iter().filter(|p| p.succeeded).map(|p| p.request.weight);
        (succeeded.sum(), self.first_step_complete.map_or(kind.complete_from, |_| 1.0))
    }

    pub(crate) fn reachable_coverage(&self) -> f64 {
        self.parts[self.step_start..].iter().filter(|p| !p.failed).map(|p| p.request.weight).sum()
    }
}
