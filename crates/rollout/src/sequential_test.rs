//! A sequential test that may be evaluated at any time, as often as desired, without raising its error rate.
//!
//! It tests whether the mean of the observations is above zero by betting on it at odds that are fair if it
//! is not. The wealth of the bettor then rarely grows: by Ville's inequality the probability that it ever
//! reaches 1/a times the stake is at most a, however often it is checked and however the observations depend
//! on each other. The bets follow I. Waudby-Smith and A. Ramdas, "Estimating means of bounded random
//! variables by betting" (JRSS B, 2024).

/// One test by betting. A bet never risks the whole wealth.
#[derive(Clone, Debug)]
pub struct SequentialTest {
    /// Natural logarithm of the wealth.
    log_wealth: f64,
    count: f64,
    sum: f64,
    sum_of_squares: f64,
}

impl SequentialTest {
    /// `typical_magnitude` is the usual distance of an observation from zero.
    pub fn new(typical_magnitude: f64) -> Self {
        // Starts as if one observation of that magnitude had been made, which keeps the first bets small.
        Self { log_wealth: 0.0, count: 1.0, sum: 0.0, sum_of_squares: typical_magnitude * typical_magnitude }
    }

    /// The next bet, from the observations so far: the mean divided by the mean square approximates the bet
    /// with the highest growth. It is limited to half of the bet that could lose everything.
    fn bet_fraction(&self, max_loss: f64) -> f64 {
        let (mean, square) = (self.sum / self.count, self.sum_of_squares / self.count);
        (mean / square.max(f64::MIN_POSITIVE)).clamp(0.0, 0.5 / max_loss.max(1e-9))
    }

    /// Adds an observation. `max_loss` is the distance below zero that it cannot exceed, known before it was
    /// made.
    pub fn observe(&mut self, value: f64, max_loss: f64) {
        debug_assert!(value >= -max_loss * 1.000_001, "{value} is below the lower bound of -{max_loss}");
        let value = value.max(-max_loss);
        self.log_wealth += (1.0 + self.bet_fraction(max_loss) * value).ln();
        self.count += 1.0;
        self.sum += value;
        self.sum_of_squares += value * value;
    }

    /// The current wealth; 1 at the start.
    pub fn wealth(&self) -> f64 {
        self.log_wealth.min(300.0).exp()
    }

    /// The number of observations.
    pub fn observations(&self) -> usize {
        self.count as usize - 1
    }

    /// The mean of the observations.
    pub fn mean(&self) -> f64 {
        self.sum / (self.count - 1.0).max(1.0)
    }
}
