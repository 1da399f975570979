//! Aggregations: parsing, the partial result of each shard, and how partial results are merged.

use crate::query::reject_unknown_fields;
use crate::{ApiError, JsonValue};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A requested aggregation. Each variant holds the name of the field.
#[derive(Clone, Debug, PartialEq)]
pub enum Aggregation {
    ValueCount(String),
    Min(String),
    Max(String),
    Sum(String),
    Avg(String),
    /// The most frequent values of a field: `size` are returned, `shard_size` are requested from each shard.
    Terms {
        field: String,
        size: usize,
        shard_size: usize,
    },
}

/// Maximum number of buckets of one aggregation that a shard is asked for and that the merge keeps per shard.
pub const MAX_BUCKETS: usize = 1_000;

impl Aggregation {
    /// Parses the definition of one aggregation.
    pub fn parse(json: &JsonValue) -> Result<Self, ApiError> {
        let (name, body) = json.single_field("aggs")?;
        let field = || {
            let field =
                body.get("field").ok_or_else(|| ApiError::parsing(format!("[{name}] requires [field]")))?;
            field.text("field").map(String::from)
        };
        let single_field_aggregation = |constructor: fn(String) -> Self| {
            reject_unknown_fields(body, name, &["field"])?;
            field().map(constructor)
        };
        match name {
            "value_count" => single_field_aggregation(Self::ValueCount),
            "min" => single_field_aggregation(Self::Min),
            "max" => single_field_aggregation(Self::Max),
            "sum" => single_field_aggregation(Self::Sum),
            "avg" => single_field_aggregation(Self::Avg),
            "terms" => {
                reject_unknown_fields(body, name, &["field", "size", "shard_size"])?;
                let count =
                    |name: &str, default: usize| body.get(name).map_or(Ok(default), |json| json.count(name));
                let size = count("size", 10)?;
                // The default of OpenSearch: 1.5 * size + 10.
                let shard_size = count("shard_size", size + size / 2 + 10)?.max(size);
                if size == 0 || shard_size > MAX_BUCKETS {
                    return Err(ApiError::illegal_argument(format!(
                        "[terms] takes 1 to {MAX_BUCKETS} buckets of a shard"
                    )));
                }
                Ok(Self::Terms { field: field()?, size, shard_size })
            }
            other => Err(ApiError::parsing(format!("unknown aggregation type [{other}]"))),
        }
    }
}

/// The result of an aggregation on one shard, or the merged results of several.
#[derive(Clone, Debug, PartialEq)]
pub enum PartialAggregation {
    ValueCount(u64),
    Min(Option<f64>),
    Max(Option<f64>),
    Sum(f64),
    Avg { sum: f64, count: u64 },
    Terms(TermBuckets),
}

/// The most frequent values that shards reported. A value that a shard did not report has at most
/// `max_unreported` documents there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TermBuckets {
    /// The document count of each value, and the upper bound of its error: how many more documents it may
    /// have on shards that did not report it.
    counts: BTreeMap<BucketKey, (u64, u64)>,
    /// The number of documents whose values a shard did not report.
    other_docs: u64,
    /// The sum, over the shards merged so far, of the most documents that an unreported value may have.
    max_unreported: u64,
}

/// The value of a bucket. It breaks ties between counts; integers sort before strings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BucketKey {
    Integer(i64),
    String(String),
}

impl TermBuckets {
    /// Builds the buckets of one shard from what it reported, most frequent first; `complete` if it reported
    /// all values.
    pub fn from_shard(reported: Vec<(BucketKey, u64)>, other_docs: u64, complete: bool) -> Self {
        let max_unreported =
            if complete { 0 } else { reported.iter().map(|(_, count)| *count).min().unwrap_or(0) };
        Self {
            counts: reported.into_iter().map(|(key, count)| (key, (count, 0))).collect(),
            other_docs,
            max_unreported,
        }
    }

    /// Adds the buckets of other shards; a value missing on one side counts with that side's error bound.
    fn merge(&mut self, other: Self) {
        let keys: BTreeSet<BucketKey> = self.counts.keys().chain(other.counts.keys()).cloned().collect();
        let mut counts = BTreeMap::new();
        for key in keys {
            let (count, error) = self.counts.get(&key).copied().unwrap_or((0, self.max_unreported));
            let (other_count, other_error) =
                other.counts.get(&key).copied().unwrap_or((0, other.max_unreported));
            counts.insert(key, (count + other_count, error + other_error));
        }
        *self = Self {
            counts,
            other_docs: self.other_docs + other.other_docs,
            max_unreported: self.max_unreported + other.max_unreported,
        };
    }

    /// The most frequent values with their counts and error bounds; ties are broken by value.
    fn top(&self, size: usize) -> Vec<(&BucketKey, u64, u64)> {
        let mut all: Vec<_> = self.counts.iter().map(|(key, (count, error))| (key, *count, *error)).collect();
        all.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        all.truncate(size);
        all
    }
}

impl PartialAggregation {
    /// The result of a shard without matching documents.
    pub fn empty(aggregation: &Aggregation) -> Self {
        match aggregation {
            Aggregation::ValueCount(_) => Self::ValueCount(0),
            Aggregation::Min(_) => Self::Min(None),
            Aggregation::Max(_) => Self::Max(None),
            Aggregation::Sum(_) => Self::Sum(0.0),
            Aggregation::Avg(_) => Self::Avg { sum: 0.0, count: 0 },
            Aggregation::Terms { .. } => Self::Terms(TermBuckets::default()),
        }
    }

    /// Merges another shard's result. Returns false, and changes nothing, if it belongs to another kind of
    /// aggregation.
    pub fn merge(&mut self, other: Self) -> bool {
        let combine = |a: Option<f64>, b: Option<f64>, function: fn(f64, f64) -> f64| match (a, b) {
            (Some(a), Some(b)) => Some(function(a, b)),
            (one, other) => one.or(other),
        };
        match (self, other) {
            (Self::ValueCount(all), Self::ValueCount(more)) => *all += more,
            (Self::Min(all), Self::Min(more)) => *all = combine(*all, more, f64::min),
            (Self::Max(all), Self::Max(more)) => *all = combine(*all, more, f64::max),
            (Self::Sum(all), Self::Sum(more)) => *all += more,
            (Self::Avg { sum, count }, Self::Avg { sum: other_sum, count: other_count }) => {
                *sum += other_sum;
                *count += other_count;
            }
            (Self::Terms(all), Self::Terms(more)) => all.merge(more),
            _ => return false,
        }
        true
    }

    /// The aggregation as it appears in a response.
    pub fn to_json(&self, aggregation: &Aggregation) -> Value {
        match (self, aggregation) {
            (Self::ValueCount(count), _) => json!({"value": count}),
            (Self::Min(value) | Self::Max(value), _) => json!({"value": value}),
            (Self::Sum(sum), _) => json!({"value": sum}),
            (Self::Avg { sum, count }, _) => {
                json!({"value": (*count > 0).then(|| sum / *count as f64)})
            }
            (Self::Terms(buckets), Aggregation::Terms { size, .. }) => {
                let top = buckets.top(*size);
                let reported_docs: u64 = top.iter().map(|(_, count, _)| count).sum();
                let all_docs: u64 = buckets.counts.values().map(|(count, _)| count).sum();
                let error =
                    top.iter().map(|(.., error)| *error).max().unwrap_or(0).max(buckets.max_unreported);
                let bucket = |(key, count, error): &(&BucketKey, u64, u64)| {
                    let key = match key {
                        BucketKey::Integer(integer) => json!(integer),
                        BucketKey::String(text) => json!(text),
                    };
                    json!({"key": key, "doc_count": count, "doc_count_error_upper_bound": error})
                };
                json!({
                    "doc_count_error_upper_bound": error,
                    "sum_other_doc_count": buckets.other_docs + all_docs - reported_docs,
                    "buckets": top.iter().map(bucket).collect::<Vec<_>>(),
                })
            }
            (Self::Terms(_), _) => Value::Null,
        }
    }
}
