//! The priority of a query under overload: the lower it is, the less of a replica's concurrency limit the
//! query may fill (`ReplicaTable::has_capacity`).

use crate::{Moment, Span};
use std::collections::BTreeMap;

/// The best value of a query so far, and each customer's use of its quota.
#[derive(Default)]
pub struct LoadShedding {
    /// The factor on the credit of a scan whose customer is over its quota.
    pub(crate) over_quota_factor: f64,
    credit_grows_with_work: bool,
    best_value: f64,
    /// Each customer's quota at this mixer in scans per second, how far it is ahead of it, and when that was
    /// updated.
    customers: Vec<(f64, f64, Moment)>,
    /// The pause before a retry that is sent to rejected clients.
    pub(crate) retry_after: Span,
    /// The longest time that a client has allowed for an attempt, by traffic type.
    pub(crate) longest_time_left: BTreeMap<usize, Span>,
}

impl LoadShedding {
    /// Creates the load shedding of one of `mixers` mixers, which share the customers' quotas equally.
    pub fn new(
        mixers: usize,
        quotas: &[f64],
        over_quota_factor: f64,
        credit_grows_with_work: bool,
        retry_after: Span,
    ) -> Self {
        let customers =
            quotas.iter().map(|quota| (quota / mixers.max(1) as f64, 0.0, Moment::default())).collect();
        Self { over_quota_factor, credit_grows_with_work, customers, retry_after, ..Self::default() }
    }

    /// Counts a scan of a customer, and returns whether the customer is over its quota.
    pub(crate) fn is_over_quota(&mut self, now: Moment, customer: usize) -> bool {
        let Some((rate, ahead, at)) = self.customers.get_mut(customer) else { return false };
        (*ahead, *at) = ((*ahead - *rate * now.since(*at).as_f64() / 1e6).max(0.0) + 1.0, now);
        // Three seconds' worth of the quota is tolerated: bursts even out over that time, sustained excess
        // does not.
        *ahead > 3.0 * *rate + 1.0
    }

    /// Returns the value of a scan relative to the best seen so far. Where credit does not grow with the
    /// work, the value is the credit per part.
    pub(crate) fn priority(&mut self, credit: f64, parts: usize) -> f64 {
        let value = if self.credit_grows_with_work { credit } else { credit / parts.max(1) as f64 };
        self.best_value = self.best_value.max(value);
        value / self.best_value.max(f64::MIN_POSITIVE)
    }
}
