//! The ready replicas of each cell, and the subset of them that this mixer chooses from.
//!
//! A choice evaluates each candidate several times, so its cost grows with their number, and so does the
//! number of connections that a mixer opens. In a large cell each mixer therefore keeps to a subset in an
//! order of its own. The subsets of all mixers cover the cell several times over, and a replica that is down
//! is replaced by the next one in the order.

use crate::mix::mix;
use crate::Searcher;
use std::collections::{BTreeMap, BTreeSet};

/// The minimum number of candidates: the least busy of a dozen is hardly busier than the least busy of all.
const MIN_CANDIDATES: usize = 12;
/// The maximum number of candidates, however few mixers there are: a choice stays cheap.
const MAX_CANDIDATES: usize = 64;
/// The mean number of mixers that each replica is a candidate of. With fewer, some replicas would be no
/// mixer's candidate.
const COVERAGE: f64 = 4.0;

/// The replicas of one cell.
#[derive(Default)]
struct Replicas {
    ready: BTreeSet<Searcher>,
    /// All of them in this mixer's order, or in numerical order if they are few.
    order: Vec<Searcher>,
    /// How many of them are candidates at a time.
    candidates: usize,
}

/// The replicas of all cells.
#[derive(Default)]
pub struct ReplicaSets {
    cells: BTreeMap<u32, Replicas>,
    /// Cells whose order must be rebuilt.
    changed: BTreeSet<u32>,
    mixers: f64,
    seed: u64,
}

impl ReplicaSets {
    /// Creates the sets of one of `mixers` mixers, whose order follows from the seed.
    pub fn new(mixers: f64, seed: u64) -> Self {
        Self { mixers: mixers.max(1.0), seed, ..Self::default() }
    }

    /// Adds a ready replica to a cell.
    pub fn insert(&mut self, cell: u32, searcher: Searcher) {
        if self.cells.entry(cell).or_default().ready.insert(searcher) {
            self.changed.insert(cell);
        }
    }

    /// Removes a replica from a cell.
    pub fn remove(&mut self, cell: u32, searcher: Searcher) {
        if self.cells.get_mut(&cell).is_some_and(|replicas| replicas.ready.remove(&searcher)) {
            self.changed.insert(cell);
        }
    }

    /// Applies insertions and removals to the order of candidates.
    pub fn rebuild(&mut self) {
        for cell in std::mem::take(&mut self.changed) {
            let Some(replicas) = self.cells.get_mut(&cell) else { continue };
            if replicas.ready.is_empty() {
                self.cells.remove(&cell);
                continue;
            }
            let covering = (COVERAGE * replicas.ready.len() as f64 / self.mixers).ceil() as usize;
            replicas.candidates = covering.clamp(MIN_CANDIDATES, MAX_CANDIDATES);
            replicas.order = replicas.ready.iter().copied().collect();
            if replicas.order.len() > replicas.candidates {
                let seed = self.seed;
                replicas.order.sort_by_cached_key(|searcher| mix(seed ^ u64::from(searcher.0)));
            }
        }
    }

    /// Returns the candidates of a cell, as found by `lookup`: the first ones in the order until enough are
    /// up, including any down ones before the last of these.
    pub fn candidates<'a, Replica: Copy + 'a>(
        &'a self,
        cell: u32,
        lookup: impl Fn(Searcher) -> Replica + 'a,
        is_up: impl Fn(Replica) -> bool + 'a,
    ) -> impl Iterator<Item = Replica> + 'a {
        let replicas = self.cells.get(&cell);
        let wanted = replicas.map_or(0, |replicas| replicas.candidates);
        let order = replicas.map_or(&[][..], |replicas| &replicas.order);
        let mut up = 0;
        order.iter().map_while(move |searcher| {
            let replica = (up < wanted).then(|| lookup(*searcher))?;
            up += usize::from(is_up(replica));
            Some(replica)
        })
    }

    /// Returns how many mixers share one replica of a cell, an estimate that is almost never exceeded. The
    /// load that all of them may send it is divided by this number.
    pub fn sharers(&self, cell: u32) -> f64 {
        let Some(replicas) = self.cells.get(&cell) else { return self.mixers };
        let share = replicas.candidates as f64 / replicas.order.len().max(1) as f64;
        if share >= 1.0 {
            return self.mixers;
        }
        let mean = self.mixers * share;
        (mean + 2.0 * mean.sqrt()).clamp(1.0, self.mixers)
    }
}
