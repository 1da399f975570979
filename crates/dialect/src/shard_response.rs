//! Validates a node's response to a shard request. A response that was only partly understood by the node or
//! here must count as a failed part and never lead to a wrong result, so each field that changes the meaning
//! is checked and unknown fields are rejected.

use crate::aggregation::{Aggregation, BucketKey, PartialAggregation, TermBuckets, MAX_BUCKETS};
use crate::merge::{Hit, ShardResult};
use crate::search::{Search, SortKey};
use crate::JsonValue;
use fernglade::RelayOutcome;

/// The outcome of a shard request.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardResponse {
    /// A valid result.
    Found(ShardResult),
    /// The node's queue was full and the search did not run.
    Rejected,
    /// The search may have run, but the response cannot be used, for this reason.
    Unusable(String),
}

impl ShardResponse {
    /// The outcome as reported to the decision module.
    pub fn relay_outcome(&self) -> RelayOutcome {
        match self {
            Self::Found(_) => RelayOutcome::Succeeded,
            Self::Rejected => RelayOutcome::Rejected,
            Self::Unusable(_) => RelayOutcome::Failed,
        }
    }

    /// Parses and validates a complete response to a search of `index`.
    pub fn parse(status: u16, body: &[u8], index: &str, search: &Search) -> Self {
        match status {
            200 => parse_body(body, index, search).map_or_else(Self::Unusable, Self::Found),
            429 => Self::Rejected,
            other => Self::Unusable(format!("status {other}")),
        }
    }
}

/// Whether a response confirms that an edit of the document was saved. Without confirmation it may still have
/// been saved.
pub fn confirms_edit(body: &[u8], id: &str) -> bool {
    let Ok(json) = JsonValue::parse(body) else { return false };
    let has = |name: &str, accepted: &[&str]| matches!(json.get(name), Some(JsonValue::String(text)) if accepted.contains(&text.as_str()));
    has("_id", &[id]) && has("result", &["updated", "created", "noop"])
}

/// A validated value, or why the response is unusable.
type Checked<T> = Result<T, String>;

fn unusable<T>(reason: &str) -> Checked<T> {
    Err(reason.to_string())
}

/// A field that must be present.
fn required_field<'n>(json: &'n JsonValue, name: &str) -> Checked<&'n JsonValue> {
    json.get(name).ok_or_else(|| format!("no {name}"))
}

/// Rejects unknown fields: any of them may change the meaning of the rest.
fn allow_only(json: &JsonValue, context: &str, known: &[&str]) -> Checked<()> {
    crate::query::reject_unknown_fields(json, context, known).map_err(|error| error.reason)
}

/// A field that must be a non-negative integer.
fn count(json: &JsonValue, name: &str) -> Checked<u64> {
    match required_field(json, name)? {
        JsonValue::Integer(count) if *count >= 0 => Ok(*count as u64),
        other => Err(format!("{name} is not a count but {}", other.type_name())),
    }
}

/// Parses and validates the body of a successful response.
fn parse_body(body: &[u8], index: &str, search: &Search) -> Checked<ShardResult> {
    let json = JsonValue::parse(body).map_err(|error| error.reason)?;
    allow_only(&json, "answer", &["took", "timed_out", "_shards", "hits", "aggregations", "status"])?;
    if required_field(&json, "timed_out")? != &JsonValue::Bool(false) {
        return unusable("the search timed out on the node");
    }
    let shards = required_field(&json, "_shards")?;
    allow_only(shards, "_shards", &["total", "successful", "skipped", "failed"])?;
    // With more than one shard, the node ignored `preference` and its totals cover all shards.
    if (count(shards, "total")?, count(shards, "successful")?, count(shards, "failed")?) != (1, 1, 0) {
        return unusable("the response covers other shards than the one requested");
    }
    let hits = required_field(&json, "hits")?;
    allow_only(hits, "hits", &["total", "max_score", "hits"])?;
    let parsed_hits: Vec<Hit> = required_field(hits, "hits")?
        .list("hits")
        .map_err(|error| error.reason)?
        .iter()
        .map(|json| parse_hit(json, index, search))
        .collect::<Checked<_>>()?;
    let (total, total_is_lower_bound) = match hits.get("total") {
        None => (parsed_hits.len() as u64, true),
        Some(total) => {
            allow_only(total, "total", &["value", "relation"])?;
            let relation = required_field(total, "relation")?;
            if ![JsonValue::String("eq".into()), JsonValue::String("gte".into())].contains(relation) {
                return unusable("an unknown relation of the total");
            }
            (count(total, "value")?, *relation == JsonValue::String("gte".into()))
        }
    };
    if parsed_hits.len() > search.window() {
        return unusable("more hits than requested");
    }
    if total < parsed_hits.len() as u64 {
        return unusable("fewer in all than it gives");
    }
    check_order(&parsed_hits, search)?;
    let aggregations = match json.get("aggregations") {
        None if search.aggregations.is_empty() => Vec::new(),
        None => return unusable("no aggregations"),
        Some(all) => parse_aggregations(all, search)?,
    };
    Ok(ShardResult { hits: parsed_hits, total, total_is_lower_bound, aggregations })
}

/// Parses one hit and checks that it has what the search needs.
fn parse_hit(json: &JsonValue, index: &str, search: &Search) -> Checked<Hit> {
    allow_only(json, "hit", &["_index", "_id", "_score", "_source", "sort"])?;
    if required_field(json, "_index")? != &JsonValue::String(index.into()) {
        return unusable("a hit of another index");
    }
    let id = match required_field(json, "_id")? {
        JsonValue::String(id) if !id.is_empty() => id.clone(),
        _ => return unusable("a hit without an id"),
    };
    let sorted = search.sort.key != SortKey::Score;
    let score = match json.get("_score") {
        None | Some(JsonValue::Null) if sorted => None,
        Some(score) if score.number().is_some() => score.number(),
        _ => return unusable("a hit without a score"),
    };
    let sort = match json.get("sort") {
        None if !sorted => None,
        Some(JsonValue::Array(values)) if values.len() == 1 => Some(values[0].clone()).filter(|_| sorted),
        _ => return unusable("a hit without exactly one sort value"),
    };
    let source = match json.get("_source") {
        None => JsonValue::Null,
        Some(source @ JsonValue::Object(_)) => source.clone(),
        Some(_) => return unusable("a source that is not an object"),
    };
    Ok(Hit { id, score, sort: sort.filter(|value| *value != JsonValue::Null), source })
}

/// Checks the order of the hits: a node that sorts differently does not return the best ones.
fn check_order(hits: &[Hit], search: &Search) -> Checked<()> {
    let ascending = search.sort.ascending;
    let key = |hit: &Hit| match search.sort.key {
        SortKey::Score => hit.score,
        SortKey::Field(_) => hit.sort.as_ref().and_then(JsonValue::number),
    };
    let ordered = |pair: &[Hit]| match (key(&pair[0]), key(&pair[1])) {
        (Some(a), Some(b)) if ascending => a <= b,
        (Some(a), Some(b)) => a >= b,
        // Strings and missing values are compared in the merge.
        _ => true,
    };
    if hits.windows(2).all(ordered) {
        Ok(())
    } else {
        unusable("hits that are not in the order requested")
    }
}

/// Parses the results of all requested aggregations.
fn parse_aggregations(all: &JsonValue, search: &Search) -> Checked<Vec<(String, PartialAggregation)>> {
    let names: Vec<&str> = search.aggregations.iter().map(|(name, _)| name.as_str()).collect();
    allow_only(all, "aggregations", &names)?;
    let requested = search.aggregations.iter();
    requested
        .map(|(name, aggregation)| {
            Ok((name.clone(), parse_partial(required_field(all, name)?, aggregation)?))
        })
        .collect()
}

/// Parses the result of one aggregation on one shard.
fn parse_partial(json: &JsonValue, aggregation: &Aggregation) -> Checked<PartialAggregation> {
    let value = || -> Checked<Option<f64>> {
        match required_field(json, "value")? {
            JsonValue::Null => Ok(None),
            value => value.number().map(Some).ok_or_else(|| "a value that is not a number".to_string()),
        }
    };
    if !matches!(aggregation, Aggregation::Terms { .. } | Aggregation::Avg(_)) {
        allow_only(json, "aggregation", &["value"])?;
    }
    match aggregation {
        Aggregation::ValueCount(_) => count(json, "value").map(PartialAggregation::ValueCount),
        Aggregation::Min(_) => value().map(PartialAggregation::Min),
        Aggregation::Max(_) => value().map(PartialAggregation::Max),
        Aggregation::Sum(_) => Ok(PartialAggregation::Sum(value()?.unwrap_or(0.0))),
        Aggregation::Avg(_) => {
            // An average alone cannot be merged, so the node must also return the count.
            allow_only(json, "aggregation", &["value", "count"])?;
            let count = count(json, "count")?;
            Ok(PartialAggregation::Avg { sum: value()?.unwrap_or(0.0) * count as f64, count })
        }
        Aggregation::Terms { shard_size, .. } => {
            allow_only(
                json,
                "aggregation",
                &["doc_count_error_upper_bound", "sum_other_doc_count", "buckets"],
            )?;
            let other_docs = count(json, "sum_other_doc_count")?;
            let buckets = required_field(json, "buckets")?.list("buckets").map_err(|error| error.reason)?;
            if buckets.len() > (*shard_size).min(MAX_BUCKETS) {
                return unusable("more buckets than requested");
            }
            let bucket = |json: &JsonValue| -> Checked<(BucketKey, u64)> {
                allow_only(json, "bucket", &["key", "doc_count", "doc_count_error_upper_bound"])?;
                let key = match required_field(json, "key")? {
                    JsonValue::Integer(integer) => BucketKey::Integer(*integer),
                    JsonValue::String(text) => BucketKey::String(text.clone()),
                    _ => return unusable("a bucket's key is neither a whole number nor a text"),
                };
                Ok((key, count(json, "doc_count")?))
            };
            let reported = buckets.iter().map(bucket).collect::<Checked<Vec<_>>>()?;
            Ok(PartialAggregation::Terms(TermBuckets::from_shard(reported, other_docs, other_docs == 0)))
        }
    }
}
