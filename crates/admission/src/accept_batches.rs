//! How many pending connections are accepted in a row, and what happens before the next ones are.
//!
//! Used by the mixer's listeners, one for each. Other tasks run after each [`TURN_SIZE`] connections. Where the pace of
//! accepts makes them pause ([`WorkLimiter::connection_accepted`](crate::WorkLimiter::connection_accepted)), they do so
//! after a batch. Batches grow while the backlog is not emptied, so that those who wait in it are accepted soon, but not
//! while they take long: then the processor is short, and whoever is connected already would be served later.

use fernglade::{Moment, Span};

/// Connections accepted before other tasks run: some hundred microseconds of work.
const TURN_SIZE: u32 = 8;
/// The longest batch.
const MAX_BATCH_SIZE: u32 = 32;

/// A batch that takes longer than this shows that the processor is short.
const MAX_BATCH_TIME: Span = Span::from_millis(2);

/// What happens before the next connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAccept {
    /// It is accepted at once.
    AtOnce,
    /// Other tasks run.
    AfterOthers,
    /// A pause is made, in which other tasks run.
    AfterPause(Span),
}

/// The connections accepted from one listener since the last pause.
#[derive(Debug)]
pub struct AcceptBatches {
    size: u32,
    accepted: u32,
    /// When the first of them was accepted.
    began_at: Moment,
}

impl Default for AcceptBatches {
    fn default() -> Self {
        Self { size: TURN_SIZE, accepted: 0, began_at: Moment::default() }
    }
}

impl AcceptBatches {
    /// Records an accepted connection; `pause` is due before further ones after a batch, if it is not zero.
    pub fn accepted(&mut self, pause: Span, now: Moment) -> NextAccept {
        if self.accepted == 0 {
            self.began_at = now;
        }
        self.accepted += 1;
        if !self.accepted.is_multiple_of(TURN_SIZE) {
            return NextAccept::AtOnce;
        }
        if self.accepted < self.size {
            return NextAccept::AfterOthers;
        }
        self.accepted = 0;
        if pause == Span::ZERO {
            return NextAccept::AfterOthers;
        }
        let is_slow = now.since(self.began_at) > MAX_BATCH_TIME;
        self.size = if is_slow { TURN_SIZE } else { (self.size * 2).min(MAX_BATCH_SIZE) };
        NextAccept::AfterPause(pause)
    }

    /// Records that no connection is pending. What was accepted since the last pause still counts.
    pub fn backlog_emptied(&mut self) {
        self.size = TURN_SIZE;
    }
}

#[cfg(test)]
mod tests;
