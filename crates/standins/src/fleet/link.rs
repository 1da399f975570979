//! The link between a mixer and a searcher, and what may be wrong with it.

use event_listener::Event;
use fernglade::{Moment, Span};
use std::cell::Cell;
use std::time::Duration;

/// What was written while nobody listened is read in so short a time once somebody does.
const CATCHES_UP: Span = Span::of_millis(200);

/// Troubles that hold at the same time are counted, so that the end of one leaves the others standing.
#[derive(Default)]
pub struct Link {
    /// What the mixer writes is not read; what the searcher writes does not go out.
    block_requests: Cell<u32>,
    block_responses: Cell<u32>,
    /// Cut: nothing passes either way, and no new connection comes up.
    cut: Cell<u32>,
    lag: Cell<Duration>,
    /// The share of answers that never goes out.
    loss_share: Cell<f64>,
    /// Counts the resets: a connection of an earlier count is over.
    resets: Cell<u32>,
    /// Since when nobody listened, the last time that nobody did, and until when.
    unread_since: Cell<(Moment, Moment)>,
    changed: Event,
}

impl Link {
    fn count(&self, of: &Cell<u32>, begins: bool, now: Moment) {
        let before = self.reads_open();
        of.set(if begins { of.get() + 1 } else { of.get().saturating_sub(1) });
        match (before, self.reads_open()) {
            (true, false) => self.unread_since.set((now, now)),
            (false, true) => self.unread_since.set((self.unread_since.get().0, now)),
            _ => {}
        }
        self.changed.notify(usize::MAX);
    }

    pub fn cut(&self, begins: bool, now: Moment) {
        self.count(&self.cut, begins, now);
    }

    pub fn block_requests(&self, begins: bool, now: Moment) {
        self.count(&self.block_requests, begins, now);
    }

    pub fn block_responses(&self, begins: bool, now: Moment) {
        self.count(&self.block_responses, begins, now);
    }

    pub fn set_lag(&self, lag: Duration) {
        self.lag.set(lag);
    }

    pub fn set_loss_share(&self, share: f64) {
        self.loss_share.set(share);
    }

    /// Every open connection is over, with a reset.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Whoever waits for the way to change looks again.
    pub fn notify_waiters(&self) {
        self.changed.notify(usize::MAX);
    }

    pub fn resets(&self) -> u32 {
        self.resets.get()
    }

    pub fn is_cut(&self) -> bool {
        self.cut.get() > 0
    }

    pub fn lag(&self) -> Duration {
        self.lag.get()
    }

    pub fn loss_share(&self) -> f64 {
        self.loss_share.get()
    }

    pub fn reads_open(&self) -> bool {
        self.cut.get() + self.block_requests.get() == 0
    }

    /// When what is read now may have been written, at the earliest: it may have waited for somebody to listen.
    pub fn earliest_write(&self, now: Moment) -> Moment {
        let (from, until) = self.unread_since.get();
        if until > from && now.since(until) <= CATCHES_UP {
            from
        } else {
            now
        }
    }

    pub fn writes_open(&self) -> bool {
        self.cut.get() + self.block_responses.get() == 0
    }

    /// Until `holds` does. Nothing is missed between the look and the wait.
    pub async fn until(&self, holds: impl Fn(&Self) -> bool) {
        loop {
            let change = self.changed.listen();
            if holds(self) {
                return;
            }
            change.await;
        }
    }
}
