//! The retry budget (rule 6): attempts beyond each part's first, in any window, number at most a few and a share of what
//! was taken in it. Where the settings state none our own stands, so that trouble never doubles the load.

use crate::{Moment, Span};
use std::collections::VecDeque;

/// Counts retries, and what was taken, in a sliding window.
#[derive(Default)]
pub struct RetryBudget {
    /// Attempts at one part, the first included.
    pub(crate) max_attempts: usize,
    free_retries: f64,
    ratio: f64,
    window: Span,
    /// How long a relay may wait for its connection: it counts as one that goes then, and what was taken counts as
    /// long before as it may wait.
    send_delay: Span,
    /// When scans and parts were taken and further relays made; emptied as they leave the window.
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Unstated: a fifth, for one searcher lost in five; a hundred, for a scan of dead links; 10 s, a pause.
    pub fn new(max_attempts: usize, configured: Option<(f64, f64, Span)>) -> Self {
        let (free_retries, ratio, window) = configured.unwrap_or((100.0, 0.2, Span::from_millis(10_000)));
        Self { max_attempts, free_retries, ratio, window, ..Self::default() }
    }

    /// Relays may wait so long before they go.
    pub fn with_send_delay(self, send_delay: Span) -> Self {
        Self { send_delay, ..self }
    }

    pub(crate) fn note_requests(&mut self, now: Moment, count: usize) {
        self.requests.extend(std::iter::repeat_n(now, count));
        self.expire(now);
    }

    pub(crate) fn note_retry(&mut self, now: Moment) {
        self.retries.push_back(now);
    }

    /// What was taken counts strictly inside the window, what was relayed at its very edge as well.
    fn expire(&mut self, now: Moment) {
        let (requests, retries) = (&mut self.requests, &mut self.retries);
        requests.drain(
            ..requests.partition_point(|at| now.since(*at) >= self.window.saturating_sub(self.send_delay)),
        );
        retries.drain(..retries.partition_point(|at| now.since(*at) > self.window + self.send_delay));
    }

    pub(crate) fn allows_retry(&mut self, now: Moment) -> bool {
        self.expire(now);
        (self.retries.len() + 1) as f64 <= self.free_retries + self.ratio * self.requests.len() as f64
    }
}
