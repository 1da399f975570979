//! Merges the results of many shards. Results may be added in any order, and only the hits that can still be
//! returned are kept: memory is bounded by the result window and not by the number of hits on the shards.
//!
//! Hits are ordered by the sort key of the search, then by shard, then by id, so that the result does not
//! depend on which shard answers first. If two shards return the same id, as for a title that moves between
//! them, the better hit is kept and the total counts it once.

use crate::aggregation::PartialAggregation;
use crate::search::{Search, SortKey, TrackTotalHits};
use crate::JsonValue;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A matching document.
#[derive(Clone, Debug, PartialEq)]
pub struct Hit {
    /// The document id.
    pub id: String,
    /// The score; `None` if the search does not sort by it and the node returned none.
    pub score: Option<f64>,
    /// The value of the sort field, if the search sorts by a field and the document has it.
    pub sort: Option<JsonValue>,
    /// The document, or `Null` if it is not returned.
    pub source: JsonValue,
}

/// The result of a search on one shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardResult {
    /// The best hits of the shard, at most as many as were requested.
    pub hits: Vec<Hit>,
    /// The number of matching documents.
    pub total: u64,
    /// Whether more than `total` documents may match.
    pub total_is_lower_bound: bool,
    pub aggregations: Vec<(String, PartialAggregation)>,
}

/// The sort position of a hit; the least rank is the best hit.
#[derive(Clone, Debug)]
struct Rank {
    score: Option<f64>,
    sort: Option<JsonValue>,
    ascending: bool,
    shard: u32,
    id: String,
}

/// Compares sort values: numbers before strings before booleans. Missing values come last in either
/// direction.
fn compare_sort_values(a: &Option<JsonValue>, b: &Option<JsonValue>, ascending: bool) -> Ordering {
    let directed = |order: Ordering| if ascending { order } else { order.reverse() };
    let type_rank = |json: &Option<JsonValue>| match json {
        Some(JsonValue::Integer(_) | JsonValue::Float(_)) => 0,
        Some(JsonValue::String(_)) => 1,
        Some(JsonValue::Bool(_)) => 2,
        _ => 3,
    };
    match (a, b) {
        (Some(a), Some(b)) if a.number().is_some() && b.number().is_some() => {
            directed(a.number().unwrap_or(0.0).total_cmp(&b.number().unwrap_or(0.0)))
        }
        (Some(JsonValue::String(a)), Some(JsonValue::String(b))) => directed(a.cmp(b)),
        (Some(JsonValue::Bool(a)), Some(JsonValue::Bool(b))) => directed(a.cmp(b)),
        _ => type_rank(a).cmp(&type_rank(b)),
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let score = |rank: &Self| rank.score.unwrap_or(f64::NEG_INFINITY);
        let by_score = score(other).total_cmp(&score(self));
        let by_score = if self.ascending { by_score.reverse() } else { by_score };
        let by_key = if self.sort.is_some() || other.sort.is_some() {
            compare_sort_values(&self.sort, &other.sort, self.ascending)
        } else {
            by_score
        };
        by_key.then(self.shard.cmp(&other.shard)).then_with(|| self.id.cmp(&other.id))
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

/// Merges shard results one by one.
pub struct Merger<'s> {
    search: &'s Search,
    /// The best hits so far with their sources, at most as many as the result window.
    best: BTreeMap<Rank, JsonValue>,
    /// The ids of the best hits with their ranks.
    ids: BTreeMap<String, Rank>,
    total: u64,
    total_is_lower_bound: bool,
    max_score: Option<f64>,
    aggregations: Vec<PartialAggregation>,
    /// The shards added so far.
    shards: BTreeSet<u32>,
}

/// The merged result of a search.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedResult {
    pub hits: Vec<Hit>,
    /// `None` if the search does not track totals.
    pub total: Option<u64>,
    pub total_is_lower_bound: bool,
    pub max_score: Option<f64>,
    pub aggregations: Vec<(String, PartialAggregation)>,
}

impl<'s> Merger<'s> {
    /// An empty merge for a search.
    pub fn new(search: &'s Search) -> Self {
        Self {
            search,
            best: BTreeMap::new(),
            ids: BTreeMap::new(),
            total: 0,
            total_is_lower_bound: false,
            max_score: None,
            aggregations: search
                .aggregations
                .iter()
                .map(|(_, aggregation)| PartialAggregation::empty(aggregation))
                .collect(),
            shards: BTreeSet::new(),
        }
    }

    /// Adds the result of a shard. Returns false, and changes nothing, if the shard was added before or the
    /// result is invalid: duplicate ids, more hits than requested, a total below the number of hits, or other
    /// aggregations than requested. Such a result counts as a failed part.
    pub fn add_shard(&mut self, shard: u32, found: ShardResult) -> bool {
        let ids: BTreeSet<&str> = found.hits.iter().map(|hit| hit.id.as_str()).collect();
        let is_valid = ids.len() == found.hits.len()
            && found.hits.len() <= self.search.window()
            && (found.total_is_lower_bound || found.total >= found.hits.len() as u64);
        let Some(partials) =
            self.partials_in_order(&found.aggregations).filter(|_| is_valid && !self.shards.contains(&shard))
        else {
            return false;
        };
        self.shards.insert(shard);
        self.total += found.total;
        self.total_is_lower_bound |= found.total_is_lower_bound;
        for (all, partial) in self.aggregations.iter_mut().zip(partials) {
            all.merge(partial);
        }
        found.hits.into_iter().for_each(|hit| self.add_hit(shard, hit));
        true
    }

    /// The partial aggregations in the order of the request; `None` if they are not the requested ones.
    fn partials_in_order(
        &self,
        received: &[(String, PartialAggregation)],
    ) -> Option<Vec<PartialAggregation>> {
        let requested = &self.search.aggregations;
        let partial = |(name, aggregation): &(String, _)| {
            let partial =
                received.iter().find(|(other, _)| other == name).map(|(_, partial)| partial.clone())?;
            PartialAggregation::empty(aggregation).merge(partial.clone()).then_some(partial)
        };
        let partials: Option<Vec<PartialAggregation>> = requested.iter().map(partial).collect();
        partials.filter(|partials| partials.len() == received.len())
    }

    /// Adds one hit and drops the worst one if the result window is exceeded.
    fn add_hit(&mut self, shard: u32, hit: Hit) {
        self.max_score = match (self.max_score, hit.score) {
            (Some(a), Some(b)) => Some(a.max(b)),
            (a, b) => a.or(b),
        };
        let sorted_by_field = self.search.sort.key != SortKey::Score;
        let rank = Rank {
            score: hit.score,
            sort: if sorted_by_field { hit.sort.or(Some(JsonValue::Null)) } else { None },
            ascending: self.search.sort.ascending,
            shard,
            id: hit.id,
        };
        if let Some(existing) = self.ids.get(&rank.id) {
            // Two shards returned the same id: count it once.
            self.total = self.total.saturating_sub(1);
            if *existing <= rank {
                return;
            }
            let existing = existing.clone();
            self.best.remove(&existing);
        }
        self.ids.insert(rank.id.clone(), rank.clone());
        self.best.insert(rank, hit.source);
        while self.best.len() > self.search.window() {
            if let Some((worst, _)) = self.best.pop_last() {
                self.ids.remove(&worst.id);
            }
        }
    }

    /// The number of hits currently held.
    pub fn held_hits(&self) -> usize {
        self.best.len()
    }

    /// The merged result; `all_succeeded` states whether every requested shard was added.
    pub fn finish(self, all_succeeded: bool) -> MergedResult {
        let hit = |(rank, source): (Rank, JsonValue)| Hit {
            id: rank.id,
            score: rank.score,
            sort: rank.sort,
            source: self.search.source.apply(source).unwrap_or(JsonValue::Null),
        };
        let hits = self.best.into_iter().skip(self.search.from).map(hit).collect();
        let (total, limit_exceeded) = match self.search.track_total_hits {
            TrackTotalHits::Disabled => (None, false),
            TrackTotalHits::Exact => (Some(self.total), false),
            TrackTotalHits::UpTo(limit) => (Some(self.total.min(limit as u64)), self.total > limit as u64),
        };
        let names = self.search.aggregations.iter().map(|(name, _)| name.clone());
        MergedResult {
            hits,
            total,
            total_is_lower_bound: limit_exceeded || self.total_is_lower_bound || !all_succeeded,
            max_score: self.max_score.filter(|_| self.search.sort.key == SortKey::Score),
            aggregations: names.zip(self.aggregations).collect(),
        }
    }
}
