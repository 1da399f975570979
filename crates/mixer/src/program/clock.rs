//! Wall-clock time that is read from the system once and then advanced by the monotonic clock. A step of the
//! system clock moves no timer, and a searcher's start time stays comparable.

use fernglade::{Moment, Span};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Converts a span to the type that timers use.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.micros())
}

/// A clock that starts at the system's time and never steps.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at_micros: u64,
}

impl Clock {
    /// Starts the clock at the system's current time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), started_at_micros: unix.as_micros() as u64 }
    }

    /// The current time.
    pub fn now(&self) -> Moment {
        Moment::from_micros(self.started_at_micros + self.started.elapsed().as_micros() as u64)
    }

    /// The monotonic instant of a point in time, for timers.
    pub fn instant(&self, at: Moment) -> Instant {
        // Rounded up: a timer that fires early would have to be set again.
        self.started + Duration::from_micros(at.micros().saturating_sub(self.started_at_micros) + 1)
    }
}
