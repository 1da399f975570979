//! A node's answer to a part: what it found, or why it is none. A node that half understands is a failed part, never a
//! wrong answer: each field that changes the meaning is checked, and what is not known here is not passed over.

use crate::aggregation::{Aggregation, BucketKey, PartialAggregation, TermBuckets, MAX_BUCKETS};
use crate::merge::{Hit, ShardResult};
use crate::search::{Search, SortKey};
use crate::JsonValue;
use fernglade::Landing;

#[derive(Clone, Debug, PartialEq)]
pub enum ShardResponse {
    Found(ShardResult),
    /// It has not run: the node's queue is full.
    Rejected,
    /// It may have run, and what came is of no use; why.
    Unusable(String),
}

impl ShardResponse {
    /// What the decision module hears.
    pub fn landing(&self) -> Landing {
        match self {
            Self::Found(_) => Landing::Honoured,
            Self::Rejected => Landing::TurnedAway,
            Self::Unusable(_) => Landing::Erred,
        }
    }

    /// From a whole answer's status and body; `index` and `search` are what was asked.
    pub fn parse(status: u16, body: &[u8], index: &str, search: &Search) -> Self {
        match status {
            200 => read(body, index, search).map_or_else(Self::Unusable, Self::Found),
            429 => Self::Rejected,
            other => Self::Unusable(format!("status {other}")),
        }
    }
}

/// Whether an answer says that an edit of this document has been saved. One that does not may have saved it.
pub fn confirms_edit(body: &[u8], id: &str) -> bool {
    let Ok(node) = JsonValue::parse(body) else { return false };
    let says = |name: &str, words: &[&str]| matches!(node.get(name), Some(JsonValue::String(word)) if words.contains(&word.as_str()));
    says("_id", &[id]) && says("result", &["updated", "created", "noop"])
}

type Checked<T> = Result<T, String>;

fn fault<T>(what: &str) -> Checked<T> {
    Err(what.to_string())
}

/// The field of an object, which has to be there.
fn field<'n>(node: &'n JsonValue, name: &str) -> Checked<&'n JsonValue> {
    node.get(name).ok_or_else(|| format!("no {name}"))
}

/// No fields but these: another one may change what the rest means.
fn only(node: &JsonValue, at: &str, known: &[&str]) -> Checked<()> {
    crate::query::reject_unknown_fields(node, at, known).map_err(|fault| fault.reason)
}

fn count(node: &JsonValue, name: &str) -> Checked<u64> {
    match field(node, name)? {
        JsonValue::Integer(count) if *count >= 0 => Ok(*count as u64),
        other => Err(format!("{name} is no count but {}", other.type_name())),
    }
}

fn read(body: &[u8], index: &str, search: &Search) -> Checked<ShardResult> {
    let node = JsonValue::parse(body).map_err(|fault| fault.reason)?;
    only(&node, "answer", &["took", "timed_out", "_shards", "hits", "aggregations", "status"])?;
    if field(&node, "timed_out")? != &JsonValue::Bool(false) {
        return fault("it timed out there");
    }
    let shards = field(&node, "_shards")?;
    only(shards, "_shards", &["total", "successful", "skipped", "failed"])?;
    // More than one: it passed over `preference`, and its totals are of all shards.
    if (count(shards, "total")?, count(shards, "successful")?, count(shards, "failed")?) != (1, 1, 0) {
        return fault("it answers for other shards than the one that was asked");
    }
    let hits = field(&node, "hits")?;
    only(hits, "hits", &["total", "max_score", "hits"])?;
    let given: Vec<Hit> = field(hits, "hits")?
        .list("hits")
        .map_err(|fault| fault.reason)?
        .iter()
        .map(|node| hit(node, index, search))
        .collect::<Checked<_>>()?;
    let (total, total_is_lower_bound) = match hits.get("total") {
        None => (given.len() as u64, true),
        Some(total) => {
            only(total, "total", &["value", "relation"])?;
            let relation = field(total, "relation")?;
            if ![JsonValue::String("eq".into()), JsonValue::String("gte".into())].contains(relation) {
                return fault("a relation that is not known");
            }
            (count(total, "value")?, *relation == JsonValue::String("gte".into()))
        }
    };
    if given.len() > search.window() {
        return fault("more hits than were asked for");
    }
    if total < given.len() as u64 {
        return fault("fewer in all than it gives");
    }
    in_order(&given, search)?;
    let aggregations = match node.get("aggregations") {
        None if search.aggregations.is_empty() => Vec::new(),
        None => return fault("no aggregations"),
        Some(all) => aggregations(all, search)?,
    };
    Ok(ShardResult { hits: given, total, total_is_lower_bound, aggregations })
}

fn hit(node: &JsonValue, index: &str, search: &Search) -> Checked<Hit> {
    only(node, "hit", &["_index", "_id", "_score", "_source", "sort"])?;
    if field(node, "_index")? != &JsonValue::String(index.into()) {
        return fault("a hit of another index");
    }
    let id = match field(node, "_id")? {
        JsonValue::String(id) if !id.is_empty() => id.clone(),
        _ => return fault("a hit without an id"),
    };
    let sorted = search.sort.key != SortKey::Score;
    let score = match node.get("_score") {
        None | Some(JsonValue::Null) if sorted => None,
        Some(score) if score.number().is_some() => score.number(),
        _ => return fault("a hit without a score"),
    };
    let sort = match node.get("sort") {
        None if !sorted => None,
        Some(JsonValue::Array(values)) if values.len() == 1 => Some(values[0].clone()).filter(|_| sorted),
        _ => return fault("a hit without the one value it is sorted by"),
    };
    let source = match node.get("_source") {
        None => JsonValue::Null,
        Some(source @ JsonValue::Object(_)) => source.clone(),
        Some(_) => return fault("a source that is no object"),
    };
    Ok(Hit { id, score, sort: sort.filter(|value| *value != JsonValue::Null), source })
}

/// A node that sorts otherwise gives others than the best.
fn in_order(hits: &[Hit], search: &Search) -> Checked<()> {
    let ascending = search.sort.ascending;
    let key = |hit: &Hit| match search.sort.key {
        SortKey::Score => hit.score,
        SortKey::Field(_) => hit.sort.as_ref().and_then(JsonValue::number),
    };
    let fits = |pair: &[Hit]| match (key(&pair[0]), key(&pair[1])) {
        (Some(a), Some(b)) if ascending => a <= b,
        (Some(a), Some(b)) => a >= b,
        // Texts, and what has no value, are compared in the merge.
        _ => true,
    };
    if hits.windows(2).all(fits) {
        Ok(())
    } else {
        fault("hits that are not in the order asked for")
    }
}

fn aggregations(all: &JsonValue, search: &Search) -> Checked<Vec<(String, PartialAggregation)>> {
    let names: Vec<&str> = search.aggregations.iter().map(|(name, _)| name.as_str()).collect();
    only(all, "aggregations", &names)?;
    let each = search.aggregations.iter();
    each.map(|(name, of)| Ok((name.clone(), partial(field(all, name)?, of)?))).collect()
}

fn partial(node: &JsonValue, of: &Aggregation) -> Checked<PartialAggregation> {
    let value = || -> Checked<Option<f64>> {
        match field(node, "value")? {
            JsonValue::Null => Ok(None),
            value => value.number().map(Some).ok_or_else(|| "a value that is no number".to_string()),
        }
    };
    if !matches!(of, Aggregation::Terms { .. } | Aggregation::Avg(_)) {
        only(node, "aggregation", &["value"])?;
    }
    match of {
        Aggregation::ValueCount(_) => count(node, "value").map(PartialAggregation::ValueCount),
        Aggregation::Min(_) => value().map(PartialAggregation::Min),
        Aggregation::Max(_) => value().map(PartialAggregation::Max),
        Aggregation::Sum(_) => Ok(PartialAggregation::Sum(value()?.unwrap_or(0.0))),
        Aggregation::Avg(_) => {
            // An average alone can't be merged: the node has to say of how many.
            only(node, "aggregation", &["value", "count"])?;
            let count = count(node, "count")?;
            Ok(PartialAggregation::Avg { sum: value()?.unwrap_or(0.0) * count as f64, count })
        }
        Aggregation::Terms { shard_size, .. } => {
            only(node, "aggregation", &["doc_count_error_upper_bound", "sum_other_doc_count", "buckets"])?;
            let others = count(node, "sum_other_doc_count")?;
            let buckets = field(node, "buckets")?.list("buckets").map_err(|fault| fault.reason)?;
            if buckets.len() > (*shard_size).min(MAX_BUCKETS) {
                return fault("more buckets than were asked for");
            }
            let bucket = |node: &JsonValue| -> Checked<(BucketKey, u64)> {
                only(node, "bucket", &["key", "doc_count", "doc_count_error_upper_bound"])?;
                let key = match field(node, "key")? {
                    JsonValue::Integer(whole) => BucketKey::Integer(*whole),
                    JsonValue::String(text) => BucketKey::String(text.clone()),
                    _ => return fault("a bucket's key is neither a whole number nor a text"),
                };
                Ok((key, count(node, "doc_count")?))
            };
            let told = buckets.iter().map(bucket).collect::<Checked<Vec<_>>>()?;
            Ok(PartialAggregation::Terms(TermBuckets::from_shard(told, others, others == 0)))
        }
    }
}
