//! How often a searcher that is down is asked whether it is there: by the whole fleet so many times a second and no
//! more, whatever its size, and by no two mixers at the same time because they lost it at the same time.

use crate::unit;
use fernglade::Span;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a searcher is asked a second by all mixers together. A handshake and a word cost it about half a millisecond,
/// so that eight are less than half a hundredth of a core; and forty mixers are at the check interval as it is.
pub const A_SECOND: f64 = 8.0;

/// The check interval of the design, in seconds: one mixer alone asks no oftener.
const LEAST: f64 = 5.0;

/// When one mixer asks.
#[derive(Clone, Debug)]
pub struct Asks {
    every: Span,
    seed: u64,
    drawn: u64,
}

impl Asks {
    /// Of a fleet that is told to be of so many: told half of them, all together ask twice as often.
    pub fn new(fleet: f64, seed: u64) -> Self {
        let every = Span::from_micros((1e6 * (fleet / A_SECOND).max(LEAST)) as u64);
        Self { every, seed, drawn: 0 }
    }

    /// From one asking to the next.
    pub fn every(&self) -> Span {
        self.every
    }

    /// From the loss to the first asking: drawn evenly from one interval. As the ones after it keep their distance,
    /// no interval has more than one asking of each mixer, and those of all lie evenly in it.
    pub fn first(&mut self) -> Span {
        self.drawn += 1;
        self.every * (1.0 - unit(xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed)))
    }
}
