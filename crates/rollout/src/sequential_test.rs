//! A test that may be looked at as often as one likes: a gambler who bets that the mean of what comes lies above
//! nothing, at odds that are fair if it does not. His fortune then seldom grows (Ville: by a factor of 1/a with a
//! chance of a at the most, ever), however often it is looked at and whatever depends on what. The bets follow
//! I. Waudby-Smith and A. Ramdas, "Estimating means of bounded random variables by betting" (JRSS B, 2024).

/// One gambler. He never bets so much that he could lose all.
#[derive(Clone, Debug)]
pub struct SequentialTest {
    /// The logarithm of his fortune.
    fortune: f64,
    count: f64,
    sum: f64,
    squares: f64,
}

impl SequentialTest {
    /// `wide` is how far from nothing an observation usually may lie.
    pub fn new(wide: f64) -> Self {
        // As if one had been seen, as wide as that: he begins carefully.
        Self { fortune: 0.0, count: 1.0, sum: 0.0, squares: wide * wide }
    }

    /// What he bets now, from what came before: the mean over the mean square, which is near to what would have
    /// grown most; no more than half of what could ruin him.
    fn bet(&self, least: f64) -> f64 {
        let (mean, square) = (self.sum / self.count, self.squares / self.count);
        (mean / square.max(f64::MIN_POSITIVE)).clamp(0.0, 0.5 / least.max(1e-9))
    }

    /// What came; `least` is how far below nothing it could have lain, known before it came.
    pub fn observe(&mut self, came: f64, least: f64) {
        debug_assert!(came >= -least * 1.000_001, "{came} is under the bound of -{least}");
        let came = came.max(-least);
        self.fortune += (1.0 + self.bet(least) * came).ln();
        self.count += 1.0;
        self.sum += came;
        self.squares += came * came;
    }

    /// His fortune; one to begin with.
    pub fn wealth(&self) -> f64 {
        self.fortune.min(300.0).exp()
    }

    pub fn observations(&self) -> usize {
        self.count as usize - 1
    }

    /// The mean of what came.
    pub fn mean(&self) -> f64 {
        self.sum / (self.count - 1.0).max(1.0)
    }
}
