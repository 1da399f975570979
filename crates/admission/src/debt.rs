//! What is owed for work, as the time until it is paid.

use fernglade::{Moment, Span};

/// What is owed: the time at which it will be paid. It is bounded where it is added up, so that a wait for it ends
/// however much was done.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Debt {
    paid_at: Moment,
}

impl Debt {
    /// Adds a cost, as far as no more than `limit` is owed then, and returns how much was added.
    pub(crate) fn add(&mut self, cost: Span, limit: Span, now: Moment) -> Span {
        let owed = self.owed(now);
        let added = cost.min(limit.saturating_sub(owed));
        self.paid_at = self.paid_at.max(now) + added;
        added
    }

    /// Takes back what was added.
    pub(crate) fn reduce(&mut self, added: Span) {
        self.paid_at = self.paid_at.saturating_sub(added);
    }

    /// How much is owed now.
    pub(crate) fn owed(&self, now: Moment) -> Span {
        self.paid_at.since(now)
    }
}
