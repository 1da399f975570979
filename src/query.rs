//! An open scan and its parts.

use crate::*;

#[derive(Default)]
pub(crate) struct Part {
    pub(crate) taken: PartRequest,
    pub(crate) tried: Vec<Searcher>,
    pub(crate) out: Option<(Ticket, Moment)>,
    /// When the first relay left that is out or may have run.
    pub(crate) may_have_run: Option<Moment>,
    pub(crate) honoured: bool,
    pub(crate) lost: bool,
}

#[derive(Default)]
pub(crate) struct Scan {
    pub(crate) traffic_type: usize,
    pub(crate) worth: f64,
    /// Drawn once: which fresh searchers it falls to, from nothing to one.
    pub(crate) luck: f64,
    pub(crate) ends: Moment,
    pub(crate) parts: Vec<Part>,
    /// The searchers that a part was lost at with its connection.
    pub(crate) killed: Vec<Searcher>,
    /// One part went ahead, the others wait.
    pub(crate) held: bool,
    /// Where the present step's parts begin, and, at a second one, whether the first was whole.
    pub(crate) first: usize,
    pub(crate) first_whole: Option<bool>,
}

impl Scan {
    /// The weight honoured, and what makes the present step whole.
    pub(crate) fn reached(&self, kind: &TrafficType) -> (f64, f64) {
        let honoured = self.parts[self.first..].iter().filter(|p| p.honoured).map(|p| p.taken.weight);
        (honoured.sum(), self.first_whole.map_or(kind.complete_from, |_| 1.0))
    }

    pub(crate) fn hope(&self) -> f64 {
        self.parts[self.first..].iter().filter(|p| !p.lost).map(|p| p.taken.weight).sum()
    }
}
