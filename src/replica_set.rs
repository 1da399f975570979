//! The ready replicas of each cell, and the few of them that this mixer chooses among.
//!
//! A choice looks at each candidate several times, so its cost grows with their number, and so do the connections
//! that a mixer makes. Where a cell is large each mixer keeps to a subset in an order of its own: the subsets of all
//! mixers cover the cell several times over, and who is down is replaced by the next in the order.

use crate::mix::mix;
use crate::Searcher;
use std::collections::{BTreeMap, BTreeSet};

/// At least so many candidates: the least busy of a dozen is hardly busier than the least busy of all.
const MIN_CANDIDATES: usize = 12;
/// And no more than this, however few mixers there are: a choice stays cheap.
const MAX_CANDIDATES: usize = 64;
/// Each replica is a candidate of so many mixers in the mean, or hardly any would be left to nobody.
const COVERAGE: f64 = 4.0;

/// One cell's replicas.
#[derive(Default)]
struct Replicas {
    ready: BTreeSet<Searcher>,
    /// All of them in this mixer's order; as they are numbered where they are few.
    order: Vec<Searcher>,
    /// How many are chosen among.
    candidates: usize,
}

/// All cells' replicas.
#[derive(Default)]
pub struct ReplicaSets {
    cells: BTreeMap<u32, Replicas>,
    /// Cells whose order is to be made anew; emptied as it is.
    changed: BTreeSet<u32>,
    mixers: f64,
    seed: u64,
}

impl ReplicaSets {
    /// For one of so many mixers, whose order follows from the seed.
    pub fn new(mixers: f64, seed: u64) -> Self {
        Self { mixers: mixers.max(1.0), seed, ..Self::default() }
    }

    pub fn insert(&mut self, cell: u32, searcher: Searcher) {
        if self.cells.entry(cell).or_default().ready.insert(searcher) {
            self.changed.insert(cell);
        }
    }

    pub fn remove(&mut self, cell: u32, searcher: Searcher) {
        if self.cells.get_mut(&cell).is_some_and(|replicas| replicas.ready.remove(&searcher)) {
            self.changed.insert(cell);
        }
    }

    /// Takes up what was inserted and removed.
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

    /// The candidates of a cell, as `look` finds them: so many that are up, and the down ones that stand among them.
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

    /// How many mixers may choose one replica of a cell, as good as never more: what all may send it is shared by so
    /// many.
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
