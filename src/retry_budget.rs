//! The retry budget (rule 6): attempts beyond each part's first, in any window, number at most a few and a share of what
//! was taken in it. Where the settings state none our own stands, so that trouble never doubles the load.

use crate::{Moment, Span};
use std::collections::VecDeque;

/// Counts retries, and what was taken, in a sliding window.
#[derive(Default)]
pub struct RetryBudget {
    /// Attempts at one part, the first included.
    pub(crate) cap: usize,
    few: f64,
    share: f64,
    window: Span,
    /// How long a relay may wait for its connection: it counts as one that goes then, and what was taken counts as
    /// long before as it may wait.
    held: Span,
    /// When scans and parts were taken and further relays made; emptied as they leave the window.
    taken: VecDeque<Moment>,
    further: VecDeque<Moment>,
}

impl RetryBudget {
    /// Unstated: a fifth, for one searcher lost in five; a hundred, for a scan of dead links; 10 s, a pause.
    pub fn new(cap: usize, stated: Option<(f64, f64, Span)>) -> Self {
        let (few, share, window) = stated.unwrap_or((100.0, 0.2, Span::from_millis(10_000)));
        Self { cap, few, share, window, ..Self::default() }
    }

    /// Relays may wait so long before they go.
    pub fn with_send_delay(self, held: Span) -> Self {
        Self { held, ..self }
    }

    pub(crate) fn note_taken(&mut self, now: Moment, count: usize) {
        self.taken.extend(std::iter::repeat_n(now, count));
        self.forget(now);
    }

    pub(crate) fn note_retry(&mut self, now: Moment) {
        self.further.push_back(now);
    }

    /// What was taken counts strictly inside the window, what was relayed at its very edge as well.
    fn forget(&mut self, now: Moment) {
        let (taken, further) = (&mut self.taken, &mut self.further);
        taken.drain(..taken.partition_point(|at| now.since(*at) >= self.window.saturating_sub(self.held)));
        further.drain(..further.partition_point(|at| now.since(*at) > self.window + self.held));
    }

    pub(crate) fn has_room(&mut self, now: Moment) -> bool {
        self.forget(now);
        (self.further.len() + 1) as f64 <= self.few + self.share * self.taken.len() as f64
    }
}
