//! Time: read from the system's clock once, then counted by a monotonic one, so that a step of the clock
//! moves no timer, and a searcher's start keeps its place.

use fernglade::{Moment, Span};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A span as timers take it.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.micros())
}

#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at_micros: u64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), started_at_micros: unix.as_micros() as u64 }
    }

    pub fn now(&self) -> Moment {
        Moment::at_micros(self.started_at_micros + self.started.elapsed().as_micros() as u64)
    }

    pub fn instant(&self, at: Moment) -> Instant {
        // Rounded up: a timer that rings early has to be set again.
        self.started + Duration::from_micros(at.micros().saturating_sub(self.started_at_micros) + 1)
    }
}
