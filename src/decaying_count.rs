//! A count of events that decays exponentially with time, to tell frequent and recent events from rare and
//! old ones.

use crate::{Moment, Span};

/// The events so far, each weighted less the longer ago it was.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    count: f64,
    updated_at: Moment,
}

impl DecayingCount {
    /// Returns the count at `now`, in which an event has the weight 1/e after `time_constant`.
    pub fn at(&self, now: Moment, time_constant: Span) -> f64 {
        self.count * (-now.since(self.updated_at).as_f64() / time_constant.as_f64()).exp()
    }

    /// Counts one event.
    pub fn note(&mut self, now: Moment, time_constant: Span) {
        *self = Self { count: self.at(now, time_constant) + 1.0, updated_at: now };
    }
}
