//! The retry budget (rule 6): in any window, the retries may number at most a fixed count plus a share of the
//! requests received in it. Where the settings state no budget a default applies, so that failures never
//! double the load.

use crate::{Moment, Span};
use std::collections::VecDeque;

/// Counts retries and requests in a sliding window.
#[derive(Default)]
pub struct RetryBudget {
    /// The maximum number of attempts per part, including the first.
    pub(crate) max_attempts: usize,
    free_retries: f64,
    ratio: f64,
    window: Span,
    /// How long a relay may wait for its connection. It counts as sent when it goes out, so requests are
    /// counted for a window shorter by this time, and retries for one longer by it.
    send_delay: Span,
    /// When scans and parts were received and retries were made; entries are removed as they leave the
    /// window.
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Creates a budget from the configured retry count, ratio and window. The defaults are a ratio of 1/5,
    /// for the loss of one searcher in five; 100 retries, for a scan whose connections are all dead; and 10
    /// s, a client's pause.
    pub fn new(max_attempts: usize, configured: Option<(f64, f64, Span)>) -> Self {
        let (free_retries, ratio, window) = configured.unwrap_or((100.0, 0.2, Span::from_millis(10_000)));
        Self { max_attempts, free_retries, ratio, window, ..Self::default() }
    }

    /// Sets how long relays may wait before they are sent.
    pub fn with_send_delay(self, send_delay: Span) -> Self {
        Self { send_delay, ..self }
    }

    /// Records `count` scans and parts as received.
    pub(crate) fn note_requests(&mut self, now: Moment, count: usize) {
        self.requests.extend(std::iter::repeat_n(now, count));
        self.expire(now);
    }

    /// Records a retry.
    pub(crate) fn note_retry(&mut self, now: Moment) {
        self.retries.push_back(now);
    }

    /// Removes entries that have left the window. Requests count strictly inside the window; retries also at
    /// its very edge.
    fn expire(&mut self, now: Moment) {
        let (requests, retries) = (&mut self.requests, &mut self.retries);
        requests.drain(
            ..requests.partition_point(|at| now.since(*at) >= self.window.saturating_sub(self.send_delay)),
        );
        retries.drain(..retries.partition_point(|at| now.since(*at) > self.window + self.send_delay));
    }

    /// Whether one more retry is within the budget.
    pub(crate) fn allows_retry(&mut self, now: Moment) -> bool {
        self.expire(now);
        (self.retries.len() + 1) as f64 <= self.free_retries + self.ratio * self.requests.len() as f64
    }
}
