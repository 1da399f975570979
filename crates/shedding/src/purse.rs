//! Relays of lost parts, held to a share of what is honoured in sum over the fleet, whatever its size. Each mixer has
//! a bucket of its own and nothing to share it by; what the buckets let through adds up because each starts at a level
//! of its own, drawn evenly: of many buckets that each have a tenth of a relay to give, one in ten gives one.

use crate::unit;
use fernglade::{Moment, RelayOutcome};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Relays over parts honoured: a fifth, for one searcher lost in five, as the module's own budget has it.
pub const SHARE: f64 = 0.2;

/// How long what was earned is kept, in microseconds: a pause of ten seconds, as the module's own budget has it.
const KEPT: f64 = 10e6;

/// What a whole fleet may relay in that time where next to nothing is honoured: of all cells what one scan of dead
/// links needs, of one cell what each of a usual number of replicas loses in a few parts.
const FEW: f64 = 100.0;
const FEW_A_CELL: f64 = 10.0;

/// One bucket. What it holds fades to what `KEPT` earns; what it owes does not fade, or owing would earn.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// May lie below nothing by as much as its mixer stands above.
    holds: f64,
    at: Moment,
}

impl Bucket {
    /// What it holds now; a few are earned by time alone, and both fade alike, so that a few are all it comes to.
    fn at(&self, now: Moment, few: f64) -> f64 {
        let passed = now.since(self.at).as_f64() / KEPT;
        // An owing one gets there at the pace at which a few are earned.
        let clear = (-self.holds / few.max(f64::MIN_POSITIVE)).max(0.0);
        if passed <= clear {
            return self.holds + few * passed;
        }
        let faded = (clear - passed).exp();
        self.holds.max(0.0) * faded + few * (1.0 - faded)
    }

    fn add(&mut self, now: Moment, few: f64, more: f64) {
        (self.holds, self.at) = (self.at(now, few) + more, self.at.max(now));
    }
}

/// What one mixer may relay, of all cells and of each.
#[derive(Clone, Debug)]
pub struct Purse {
    fleet: f64,
    /// From nothing to one, drawn at first: where this mixer stands among all. Moved on by what it earns, so that of
    /// mixers that hear rarely not always the same have one to give. One for all buckets: a loss has to pass two of
    /// them, and by two draws it would hardly ever.
    stands: f64,
    all: Option<Bucket>,
    /// One a cell of the deployment.
    cells: BTreeMap<u32, Bucket>,
}

impl Purse {
    /// Of a fleet that is told to be of so many; a wrong number changes the few, not the share.
    pub fn new(fleet: f64, seed: u64) -> Self {
        let stands = unit(xxh3_64_with_seed(b"purse", seed));
        Self { fleet: fleet.max(1.0), stands, all: None, cells: BTreeMap::new() }
    }

    /// Whether a lost part of a cell may go to another replica.
    pub fn may_relay(&self, now: Moment, cell: u32) -> bool {
        let whole = |bucket: Option<&Bucket>, few: f64| match bucket {
            Some(bucket) => self.stands + bucket.at(now, few) >= 1.0,
            None => true,
        };
        whole(self.all.as_ref(), FEW / self.fleet) && whole(self.cells.get(&cell), FEW_A_CELL / self.fleet)
    }

    /// It has gone there.
    pub fn relayed(&mut self, now: Moment, cell: u32) {
        self.add(now, cell, -1.0);
    }

    /// A part has ended: what is honoured earns.
    pub fn landed(&mut self, now: Moment, cell: u32, how: RelayOutcome) {
        self.add(now, cell, if how == RelayOutcome::Succeeded { SHARE } else { 0.0 });
    }

    fn add(&mut self, now: Moment, cell: u32, more: f64) {
        let (few, few_here) = (FEW / self.fleet, FEW_A_CELL / self.fleet);
        self.all.get_or_insert(Bucket { holds: few, at: now }).add(now, few, more);
        let here = self.cells.entry(cell).or_insert(Bucket { holds: few_here, at: now });
        here.add(now, few_here, more);
        self.stands = (self.stands + more.max(0.0)).fract();
    }
}
