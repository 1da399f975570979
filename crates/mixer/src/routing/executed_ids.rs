//! The ids of scans of which a searcher has received a part, kept beyond the scan and its client: a scan whose id
//! may have run must not run again.
//!
//! Called by `routing`, which records an id each time the last byte of a call is written, and takes that back where
//! the searcher says that the part has not run. An entry is emptied by that, or by time, after [`RETENTION`]. A full record drops its oldest ids, but none younger than the time within which
//! an attempt or a repeat of it may still run; while it holds nothing older it takes no new id, and new scans are
//! refused. So whoever floods it can make room in it only by waiting.

use fernglade::{Idempotency, Moment, Span, TrafficType};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// How long an id is remembered after a part of it was last sent.
const RETENTION: Span = Span::from_millis(60_000);
/// The record is emptied by so many steps.
const GENERATIONS: u64 = 12;
/// Ids remembered at once, at some twenty bytes each: a thousand scans a second for the whole time.
const MAX_IDS: usize = 65_536;

/// Ids recorded within a span of time.
struct Generation {
    since: Moment,
    /// How many parts of each scan have been sent and may have run, by the hash of its id.
    parts: BTreeMap<u64, u32>,
}

/// A record of ids that may have run, bounded in entries and in time.
pub struct ExecutedIds {
    /// Distinguishes the hashes of this mixer from those that others could compute.
    seed: u64,
    /// How long ids are kept even if the record is full.
    min_retention: Span,
    generations: VecDeque<Generation>,
    count: usize,
}

impl Default for ExecutedIds {
    fn default() -> Self {
        Self::new(0, &[])
    }
}

impl ExecutedIds {
    /// An empty record for these traffic types.
    pub fn new(seed: u64, types: &[TrafficType]) -> Self {
        let repeatable_for = |kind: &TrafficType| match kind.idempotency {
            Idempotency::ByKey(window) => kind.client_timeout + window,
            _ => kind.client_timeout,
        };
        let min_retention = types.iter().map(repeatable_for).max().unwrap_or_default().min(RETENTION);
        Self { seed, min_retention, generations: VecDeque::new(), count: 0 }
    }

    fn hash(&self, id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.seed.hash(&mut hasher);
        id.hash(&mut hasher);
        hasher.finish()
    }

    /// Records that a part of the scan with this id has been sent.
    pub fn record(&mut self, id: &str, now: Moment) {
        self.expire(now);
        let hash = self.hash(id);
        let earlier = self.remove(hash).unwrap_or(0);
        let span = Span::from_micros(RETENTION.micros() / GENERATIONS);
        if self.generations.back().is_none_or(|last| now.since(last.since) >= span) {
            self.generations.push_back(Generation { since: now, parts: BTreeMap::new() });
        }
        if let Some(last) = self.generations.back_mut() {
            last.parts.insert(hash, earlier.saturating_add(1));
            self.count += 1;
        }
    }

    /// Takes back one [`Self::record`]: the searcher has refused the part, so it has not run. An id of which no
    /// other part was sent is forgotten.
    pub fn refused(&mut self, id: &str) {
        let hash = self.hash(id);
        let Some(parts) = self.generations.iter_mut().find_map(|generation| generation.parts.get_mut(&hash))
        else {
            return;
        };
        *parts -= 1;
        if *parts == 0 {
            self.remove(hash);
        }
    }

    /// Removes an id, and returns how many of its parts may have run.
    fn remove(&mut self, hash: u64) -> Option<u32> {
        let parts = self.generations.iter_mut().find_map(|generation| generation.parts.remove(&hash))?;
        self.count -= 1;
        Some(parts)
    }

    /// Whether a part of the scan with this id was sent within the time that ids are kept.
    pub fn contains(&self, id: &str) -> bool {
        let hash = self.hash(id);
        self.generations.iter().any(|generation| generation.parts.contains_key(&hash))
    }

    /// Whether a further id could be recorded; makes room for it if that is possible.
    pub fn has_room(&mut self, now: Moment) -> bool {
        self.expire(now);
        while self.count >= MAX_IDS && self.drop_oldest(now, self.min_retention) {}
        self.count < MAX_IDS
    }

    fn expire(&mut self, now: Moment) {
        while self.drop_oldest(now, RETENTION) {}
    }

    /// Drops the oldest generation if the last of its ids was recorded at least `age` ago.
    fn drop_oldest(&mut self, now: Moment, age: Span) -> bool {
        let last_recorded = match self.generations.get(1) {
            Some(next) => next.since,
            None => match self.generations.front() {
                Some(only) => only.since + Span::from_micros(RETENTION.micros() / GENERATIONS),
                None => return false,
            },
        };
        let is_due = now.since(last_recorded) >= age && now >= last_recorded;
        if is_due {
            let dropped = self.generations.pop_front();
            self.count -= dropped.map_or(0, |generation| generation.parts.len());
        }
        is_due
    }

    /// The number of ids remembered.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.count
    }
}

#[cfg(test)]
mod tests;
