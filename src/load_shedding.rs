//! What a query is worth where there is no room for all: the less, the less of a replica's limit it may fill
//! (`ReplicaTable::room`).

use crate::{Moment, Span};
use std::collections::BTreeMap;

/// What queries were worth so far, and how far each tenant is over its share.
#[derive(Default)]
pub struct LoadShedding {
    pub(crate) over_quota_factor: f64,
    credit_grows_with_work: bool,
    best_value: f64,
    /// Each customer's scans a second at this mixer, and how far it is ahead of them; one line a customer.
    customers: Vec<(f64, f64, Moment)>,
    pub(crate) retry_after: Span,
    /// The longest that a client gave a try, for each traffic type.
    pub(crate) longest_time_left: BTreeMap<usize, Span>,
}

impl LoadShedding {
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

    pub(crate) fn is_over_quota(&mut self, now: Moment, customer: usize) -> bool {
        let Some((rate, ahead, at)) = self.customers.get_mut(customer) else { return false };
        (*ahead, *at) = ((*ahead - *rate * now.since(*at).as_f64() / 1e6).max(0.0) + 1.0, now);
        // Three seconds' worth: bursts even out over that, true excess does not.
        *ahead > 3.0 * *rate + 1.0
    }

    /// Credit for work, against the best met: per part where credit does not grow with work.
    pub(crate) fn priority(&mut self, credit: f64, parts: usize) -> f64 {
        let value = if self.credit_grows_with_work { credit } else { credit / parts.max(1) as f64 };
        self.best_value = self.best_value.max(value);
        value / self.best_value.max(f64::MIN_POSITIVE)
    }
}
