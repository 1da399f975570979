//! The link between a mixer and a searcher, and its faults.

use event_listener::Event;
use fernglade::{Moment, Span};
use std::cell::Cell;
use std::time::Duration;

/// How long after the link is read again a message may still date from the time when it was not read.
const CATCH_UP_TIME: Span = Span::from_millis(200);

/// A link. Faults of the same kind are counted, so that the end of one leaves overlapping ones in force.
#[derive(Default)]
pub struct Link {
    /// What the mixer writes is not read.
    block_requests: Cell<u32>,
    /// What the searcher writes is not sent.
    block_responses: Cell<u32>,
    /// Nothing passes either way, and no new connection is established.
    cut: Cell<u32>,
    /// The delay of every answer.
    lag: Cell<Duration>,
    /// The share of answers that is never sent.
    loss_share: Cell<f64>,
    /// Number of resets so far. A connection established before the last one is closed.
    resets: Cell<u32>,
    /// The start and end of the last interval in which the link was not read.
    unread_interval: Cell<(Moment, Moment)>,
    /// Notified on every change.
    changed: Event,
}

impl Link {
    /// Begins or ends a fault of one kind, and keeps the interval in which the link was not read.
    fn count_fault(&self, of: &Cell<u32>, active: bool, now: Moment) {
        let before = self.reads_open();
        of.set(if active { of.get() + 1 } else { of.get().saturating_sub(1) });
        match (before, self.reads_open()) {
            (true, false) => self.unread_interval.set((now, now)),
            (false, true) => self.unread_interval.set((self.unread_interval.get().0, now)),
            _ => {}
        }
        self.changed.notify(usize::MAX);
    }

    /// Begins or ends a cut.
    pub fn cut(&self, active: bool, now: Moment) {
        self.count_fault(&self.cut, active, now);
    }

    /// Begins or ends not reading what the mixer writes.
    pub fn block_requests(&self, active: bool, now: Moment) {
        self.count_fault(&self.block_requests, active, now);
    }

    /// Begins or ends not sending what the searcher writes.
    pub fn block_responses(&self, active: bool, now: Moment) {
        self.count_fault(&self.block_responses, active, now);
    }

    /// Sets the delay of every answer.
    pub fn set_lag(&self, lag: Duration) {
        self.lag.set(lag);
    }

    /// Sets the share of answers that is lost.
    pub fn set_loss_share(&self, share: f64) {
        self.loss_share.set(share);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Makes every task that waits in [`Link::until`] check its condition again.
    pub fn notify_waiters(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Number of resets so far.
    pub fn resets(&self) -> u32 {
        self.resets.get()
    }

    /// Whether the link is cut.
    pub fn is_cut(&self) -> bool {
        self.cut.get() > 0
    }

    /// The delay of every answer.
    pub fn lag(&self) -> Duration {
        self.lag.get()
    }

    /// The share of answers that is lost.
    pub fn loss_share(&self) -> f64 {
        self.loss_share.get()
    }

    /// Whether what the mixer writes is read.
    pub fn reads_open(&self) -> bool {
        self.cut.get() + self.block_requests.get() == 0
    }

    /// The earliest time at which what is read now may have been written: it may have waited while the link
    /// was not read.
    pub fn earliest_write(&self, now: Moment) -> Moment {
        let (from, until) = self.unread_interval.get();
        if until > from && now.since(until) <= CATCH_UP_TIME {
            from
        } else {
            now
        }
    }

    /// Whether what the searcher writes is sent.
    pub fn writes_open(&self) -> bool {
        self.cut.get() + self.block_responses.get() == 0
    }

    /// Waits until `condition` holds. It listens before it checks, so that no change is missed in between.
    pub async fn until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            let change = self.changed.listen();
            if condition(self) {
                return;
            }
            change.await;
        }
    }
}
