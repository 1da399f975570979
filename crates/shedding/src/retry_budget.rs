//! The fleet's retry budget: relays of lost parts are limited to a share of the successful parts, summed over
//! the fleet whatever its size. Each mixer has token buckets of its own and does not coordinate. Their sum
//! comes out right because each starts at its own offset, drawn uniformly: of many buckets that hold a tenth
//! of a relay each, one in ten grants one.

use crate::unit_fraction;
use fernglade::{Moment, RelayOutcome};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Relays for each successful part: a fifth, for one lost searcher in five, as in the decision module's own
/// budget.
pub const RETRY_SHARE: f64 = 0.2;

/// The time constant in microseconds for which earned tokens last: a pause of ten seconds, as in the decision
/// module's own budget.
const DECAY_MICROS: f64 = 10e6;

/// What a whole fleet may relay in that time when hardly any part succeeds: over all cells what one scan over
/// dead connections needs, and in one cell what each of a usual number of replicas loses in a few parts.
const FLEET_ALLOWANCE: f64 = 100.0;
const CELL_ALLOWANCE: f64 = 10.0;

/// A token bucket. Its balance decays towards what `DECAY_MICROS` earns. Debt does not decay, or being in
/// debt would earn tokens.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// May be negative, by as much as its mixer's offset.
    balance: f64,
    last_update: Moment,
}

impl Bucket {
    /// The balance at a time. Time alone earns the allowance, which decays alike, so that the balance tends
    /// to the allowance.
    fn balance_at(&self, now: Moment, allowance: f64) -> f64 {
        let elapsed = now.since(self.last_update).as_f64() / DECAY_MICROS;
        // A negative balance is repaid at the rate at which the allowance is earned.
        let debt_repaid_at = (-self.balance / allowance.max(f64::MIN_POSITIVE)).max(0.0);
        if elapsed <= debt_repaid_at {
            return self.balance + allowance * elapsed;
        }
        let decay = (debt_repaid_at - elapsed).exp();
        self.balance.max(0.0) * decay + allowance * (1.0 - decay)
    }

    fn add(&mut self, now: Moment, allowance: f64, amount: f64) {
        (self.balance, self.last_update) =
            (self.balance_at(now, allowance) + amount, self.last_update.max(now));
    }
}

/// What one mixer may relay, over all cells and in each cell.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    fleet_size: f64,
    /// This mixer's offset from 0 to 1, drawn at the start. Successful parts move it on, so that among mixers
    /// with little traffic it is not always the same ones that grant a relay. All buckets share it: a lost
    /// part has to pass two of them, and with separate offsets it hardly ever would.
    offset: f64,
    all: Option<Bucket>,
    /// One for each cell of the deployment.
    cells: BTreeMap<u32, Bucket>,
}

impl FleetRetryBudget {
    /// The budget in a fleet of the given size. A wrong size changes the allowance, not the share.
    pub fn new(fleet_size: f64, seed: u64) -> Self {
        let offset = unit_fraction(xxh3_64_with_seed(b"purse", seed));
        Self { fleet_size: fleet_size.max(1.0), offset, all: None, cells: BTreeMap::new() }
    }

    /// Whether a lost part of a cell may be relayed to another replica.
    pub fn may_relay(&self, now: Moment, cell: u32) -> bool {
        let has_relay = |bucket: Option<&Bucket>, allowance: f64| match bucket {
            Some(bucket) => self.offset + bucket.balance_at(now, allowance) >= 1.0,
            None => true,
        };
        has_relay(self.all.as_ref(), FLEET_ALLOWANCE / self.fleet_size)
            && has_relay(self.cells.get(&cell), CELL_ALLOWANCE / self.fleet_size)
    }

    /// Records that it was relayed.
    pub fn record_relay(&mut self, now: Moment, cell: u32) {
        self.add(now, cell, -1.0);
    }

    /// Records the outcome of a part. A successful one earns tokens.
    pub fn record_outcome(&mut self, now: Moment, cell: u32, outcome: RelayOutcome) {
        self.add(now, cell, if outcome == RelayOutcome::Succeeded { RETRY_SHARE } else { 0.0 });
    }

    fn add(&mut self, now: Moment, cell: u32, amount: f64) {
        let (allowance, cell_allowance) =
            (FLEET_ALLOWANCE / self.fleet_size, CELL_ALLOWANCE / self.fleet_size);
        self.all.get_or_insert(Bucket { balance: allowance, last_update: now }).add(now, allowance, amount);
        let bucket = self.cells.entry(cell).or_insert(Bucket { balance: cell_allowance, last_update: now });
        bucket.add(now, cell_allowance, amount);
        self.offset = (self.offset + amount.max(0.0)).fract();
    }
}
