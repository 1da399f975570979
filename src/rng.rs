//! A seeded random number generator, for reproducible decisions.

/// A permuted congruential generator (PCG-XSH-RR 64/32; M. O'Neill, 2014), used for tie-breaking and random
/// positions.
#[derive(Clone, Debug, Default)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator that always yields the same sequence for a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a uniformly distributed number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        let old = self.0;
        self.0 = old.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let mixed = ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32);
        ((u64::from(mixed) * bound as u64) >> 32) as usize
    }
}
