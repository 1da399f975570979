//! The schedule of health probes to a searcher that is down: all mixers together send a fixed number a
//! second, whatever the fleet's size, and mixers that lost the searcher at the same time do not probe it at
//! the same time.

use crate::unit_fraction;
use fernglade::Span;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Health probes a second to one searcher, from all mixers together. A handshake and one message cost it
/// about half a millisecond, so that eight are less than half a hundredth of a core. Forty mixers reach this
/// rate at the minimum interval.
pub const PROBES_PER_SECOND: f64 = 8.0;

/// The minimum interval in seconds, at which a single mixer probes.
const MIN_INTERVAL_SECONDS: f64 = 5.0;

/// When one mixer probes a searcher that is down.
#[derive(Clone, Debug)]
pub struct ProbeSchedule {
    interval: Span,
    seed: u64,
    draws: u64,
}

impl ProbeSchedule {
    /// The schedule for a fleet of the given size. If the size given is half the real one, the fleet probes
    /// twice as often.
    pub fn new(fleet_size: f64, seed: u64) -> Self {
        let interval =
            Span::from_micros((1e6 * (fleet_size / PROBES_PER_SECOND).max(MIN_INTERVAL_SECONDS)) as u64);
        Self { interval, seed, draws: 0 }
    }

    /// The time from one probe to the next.
    pub fn interval(&self) -> Span {
        self.interval
    }

    /// The time from the loss to the first probe: drawn uniformly from one interval. As later probes keep
    /// their distance, every interval has at most one probe of each mixer, and the probes of all mixers are
    /// spread evenly over it.
    pub fn first_delay(&mut self) -> Span {
        self.draws += 1;
        self.interval * (1.0 - unit_fraction(xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed)))
    }
}
