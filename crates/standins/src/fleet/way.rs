//! The link between a mixer and a searcher, and what may be wrong with it.

use event_listener::Event;
use fernglade::{Moment, Span};
use std::cell::Cell;
use std::time::Duration;

/// What was written while nobody listened is read in so short a time once somebody does.
const CATCHES_UP: Span = Span::from_millis(200);

/// Troubles that hold at the same time are counted, so that the end of one leaves the others standing.
#[derive(Default)]
pub struct Way {
    /// What the mixer writes is not read; what the searcher writes does not go out.
    deaf_there: Cell<u32>,
    deaf_back: Cell<u32>,
    /// Cut: nothing passes either way, and no new connection comes up.
    cut: Cell<u32>,
    lag: Cell<Duration>,
    /// The share of answers that never goes out.
    loses: Cell<f64>,
    /// Counts the resets: a connection of an earlier count is over.
    resets: Cell<u32>,
    /// Since when nobody listened, the last time that nobody did, and until when.
    unheard: Cell<(Moment, Moment)>,
    changed: Event,
}

impl Way {
    fn count(&self, of: &Cell<u32>, begins: bool, now: Moment) {
        let before = self.hears();
        of.set(if begins { of.get() + 1 } else { of.get().saturating_sub(1) });
        match (before, self.hears()) {
            (true, false) => self.unheard.set((now, now)),
            (false, true) => self.unheard.set((self.unheard.get().0, now)),
            _ => {}
        }
        self.changed.notify(usize::MAX);
    }

    pub fn cut(&self, begins: bool, now: Moment) {
        self.count(&self.cut, begins, now);
    }

    pub fn deaf_there(&self, begins: bool, now: Moment) {
        self.count(&self.deaf_there, begins, now);
    }

    pub fn deaf_back(&self, begins: bool, now: Moment) {
        self.count(&self.deaf_back, begins, now);
    }

    pub fn set_lag(&self, lag: Duration) {
        self.lag.set(lag);
    }

    pub fn set_loses(&self, share: f64) {
        self.loses.set(share);
    }

    /// Every open connection is over, with a reset.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Whoever waits for the way to change looks again.
    pub fn ring(&self) {
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

    pub fn loses(&self) -> f64 {
        self.loses.get()
    }

    pub fn hears(&self) -> bool {
        self.cut.get() + self.deaf_there.get() == 0
    }

    /// When what is read now may have been written, at the earliest: it may have waited for somebody to listen.
    pub fn written(&self, now: Moment) -> Moment {
        let (from, until) = self.unheard.get();
        if until > from && now.since(until) <= CATCHES_UP {
            from
        } else {
            now
        }
    }

    pub fn speaks(&self) -> bool {
        self.cut.get() + self.deaf_back.get() == 0
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
