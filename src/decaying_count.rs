//! A count of events that decays exponentially with time, by which frequent and recent things are told from rare and
//! old ones.

use crate::{Moment, Span};

/// Events noted so far, each counted less the longer ago it was.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    count: f64,
    updated_at: Moment,
}

impl DecayingCount {
    /// The count now, where an event counts 1/e after the time constant `over`.
    pub fn at(&self, now: Moment, time_constant: Span) -> f64 {
        self.count * (-now.since(self.updated_at).as_f64() / time_constant.as_f64()).exp()
    }

    /// Counts one event.
    pub fn note(&mut self, now: Moment, time_constant: Span) {
        *self = Self { count: self.at(now, time_constant) + 1.0, updated_at: now };
    }
}
