//! Many shards' answers as one. It takes each as it comes, in any order, and holds no more than the hits that may
//! still be given: memory is bounded by the window, not by what the shards found.
//!
//! Order: by the search's own, then by shard, then by id; so it does not depend on which shard answers first. An id that
//! two shards give (a title that moves between them) is one hit: the better of the two stands, and the total
//! counts it once.

use crate::aggregation::PartialAggregation;
use crate::search::{Search, SortKey, TrackTotalHits};
use crate::JsonValue;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub struct Hit {
    pub id: String,
    pub score: Option<f64>,
    /// The value of the field that is sorted by, where one is.
    pub sort: Option<JsonValue>,
    pub source: JsonValue,
}

/// What one shard found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardResult {
    pub hits: Vec<Hit>,
    pub total: u64,
    /// There may be more than `total`.
    pub total_is_lower_bound: bool,
    pub aggregations: Vec<(String, PartialAggregation)>,
}

/// A hit's place in the order: the least is the best.
#[derive(Clone, Debug)]
struct Rank {
    score: Option<f64>,
    sort: Option<JsonValue>,
    ascending: bool,
    shard: u32,
    id: String,
}

/// Numbers before texts, before what has no value: that comes last whichever way is asked for.
fn compare(a: &Option<JsonValue>, b: &Option<JsonValue>, ascending: bool) -> Ordering {
    let turn = |order: Ordering| if ascending { order } else { order.reverse() };
    let class = |node: &Option<JsonValue>| match node {
        Some(JsonValue::Integer(_) | JsonValue::Float(_)) => 0,
        Some(JsonValue::String(_)) => 1,
        Some(JsonValue::Bool(_)) => 2,
        _ => 3,
    };
    match (a, b) {
        (Some(a), Some(b)) if a.number().is_some() && b.number().is_some() => {
            turn(a.number().unwrap_or(0.0).total_cmp(&b.number().unwrap_or(0.0)))
        }
        (Some(JsonValue::String(a)), Some(JsonValue::String(b))) => turn(a.cmp(b)),
        (Some(JsonValue::Bool(a)), Some(JsonValue::Bool(b))) => turn(a.cmp(b)),
        _ => class(a).cmp(&class(b)),
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let score = |rank: &Self| rank.score.unwrap_or(f64::NEG_INFINITY);
        let by_score = score(other).total_cmp(&score(self));
        let by_score = if self.ascending { by_score.reverse() } else { by_score };
        let first = if self.sort.is_some() || other.sort.is_some() {
            compare(&self.sort, &other.sort, self.ascending)
        } else {
            by_score
        };
        first.then(self.shard.cmp(&other.shard)).then_with(|| self.id.cmp(&other.id))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Rank {}

/// All shards' answers so far.
pub struct Merger<'s> {
    search: &'s Search,
    best: BTreeMap<Rank, JsonValue>,
    /// The ids among the best, each with its rank.
    ids: BTreeMap<String, Rank>,
    total: u64,
    total_is_lower_bound: bool,
    max_score: Option<f64>,
    aggregations: Vec<PartialAggregation>,
    shards: BTreeSet<u32>,
}

/// What is given of all of it.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedResult {
    pub hits: Vec<Hit>,
    /// None where it was not to be counted.
    pub total: Option<u64>,
    pub total_is_lower_bound: bool,
    pub max_score: Option<f64>,
    pub aggregations: Vec<(String, PartialAggregation)>,
}

impl<'s> Merger<'s> {
    pub fn new(search: &'s Search) -> Self {
        Self {
            search,
            best: BTreeMap::new(),
            ids: BTreeMap::new(),
            total: 0,
            total_is_lower_bound: false,
            max_score: None,
            aggregations: search.aggregations.iter().map(|(_, of)| PartialAggregation::empty(of)).collect(),
            shards: BTreeSet::new(),
        }
    }

    /// Takes a shard's answer in. False, and nothing has changed, where it was in already, gives an id twice or more
    /// hits than were asked for, or has aggregations of another shape: such an answer is a failed part.
    pub fn add_shard(&mut self, shard: u32, found: ShardResult) -> bool {
        let ids: BTreeSet<&str> = found.hits.iter().map(|hit| hit.id.as_str()).collect();
        let sound = ids.len() == found.hits.len()
            && found.hits.len() <= self.search.window()
            && (found.total_is_lower_bound || found.total >= found.hits.len() as u64);
        let Some(parts) = self.parts(&found.aggregations).filter(|_| sound && !self.shards.contains(&shard))
        else {
            return false;
        };
        self.shards.insert(shard);
        self.total += found.total;
        self.total_is_lower_bound |= found.total_is_lower_bound;
        for (all, part) in self.aggregations.iter_mut().zip(parts) {
            all.merge(part);
        }
        found.hits.into_iter().for_each(|hit| self.take_hit(shard, hit));
        true
    }

    /// The parts in the order they were asked for, if they are those.
    fn parts(&self, given: &[(String, PartialAggregation)]) -> Option<Vec<PartialAggregation>> {
        let asked = &self.search.aggregations;
        let part = |(name, of): &(String, _)| {
            let part = given.iter().find(|(given, _)| given == name).map(|(_, part)| part.clone())?;
            PartialAggregation::empty(of).merge(part.clone()).then_some(part)
        };
        let parts: Option<Vec<PartialAggregation>> = asked.iter().map(part).collect();
        parts.filter(|parts| parts.len() == given.len())
    }

    fn take_hit(&mut self, shard: u32, hit: Hit) {
        self.max_score = match (self.max_score, hit.score) {
            (Some(a), Some(b)) => Some(a.max(b)),
            (a, b) => a.or(b),
        };
        let sorted = self.search.sort.key != SortKey::Score;
        let rank = Rank {
            score: hit.score,
            sort: if sorted { hit.sort.or(Some(JsonValue::Null)) } else { None },
            ascending: self.search.sort.ascending,
            shard,
            id: hit.id,
        };
        if let Some(known) = self.ids.get(&rank.id) {
            // Once, whichever shard gave it.
            self.total = self.total.saturating_sub(1);
            if *known <= rank {
                return;
            }
            let known = known.clone();
            self.best.remove(&known);
        }
        self.ids.insert(rank.id.clone(), rank.clone());
        self.best.insert(rank, hit.source);
        while self.best.len() > self.search.window() {
            if let Some((worst, _)) = self.best.pop_last() {
                self.ids.remove(&worst.id);
            }
        }
    }

    /// How many hits are held.
    pub fn held_hits(&self) -> usize {
        self.best.len()
    }

    /// What is given; `all_in` where every shard that was asked is in.
    pub fn finish(self, all_in: bool) -> MergedResult {
        let hit = |(rank, source): (Rank, JsonValue)| Hit {
            id: rank.id,
            score: rank.score,
            sort: rank.sort,
            source: self.search.source.apply(source).unwrap_or(JsonValue::Null),
        };
        let hits = self.best.into_iter().skip(self.search.from).map(hit).collect();
        let (total, over) = match self.search.track_total_hits {
            TrackTotalHits::Disabled => (None, false),
            TrackTotalHits::Exact => (Some(self.total), false),
            TrackTotalHits::UpTo(most) => (Some(self.total.min(most as u64)), self.total > most as u64),
        };
        let names = self.search.aggregations.iter().map(|(name, _)| name.clone());
        MergedResult {
            hits,
            total,
            total_is_lower_bound: over || self.total_is_lower_bound || !all_in,
            max_score: self.max_score.filter(|_| self.search.sort.key == SortKey::Score),
            aggregations: names.zip(self.aggregations).collect(),
        }
    }
}
