//! Aggregations: what is asked of each shard, what comes back, and how shards' parts become one.

use crate::query::reject_unknown_fields;
use crate::{ApiError, JsonValue};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub enum Aggregation {
    ValueCount(String),
    Min(String),
    Max(String),
    Sum(String),
    Avg(String),
    /// The commonest values of a field: so many are told, and so many asked of each shard.
    Terms {
        field: String,
        size: usize,
        shard_size: usize,
    },
}

/// Buckets of one aggregation: what a shard may be asked for, and what the merge holds of each.
pub const MAX_BUCKETS: usize = 1_000;

impl Aggregation {
    pub fn parse(node: &JsonValue) -> Result<Self, ApiError> {
        let (name, body) = node.single_field("aggs")?;
        let field = || {
            let field =
                body.get("field").ok_or_else(|| ApiError::parsing(format!("[{name}] requires [field]")))?;
            field.text("field").map(String::from)
        };
        let plain = |make: fn(String) -> Self| {
            reject_unknown_fields(body, name, &["field"])?;
            field().map(make)
        };
        match name {
            "value_count" => plain(Self::ValueCount),
            "min" => plain(Self::Min),
            "max" => plain(Self::Max),
            "sum" => plain(Self::Sum),
            "avg" => plain(Self::Avg),
            "terms" => {
                reject_unknown_fields(body, name, &["field", "size", "shard_size"])?;
                let count =
                    |name: &str, usual: usize| body.get(name).map_or(Ok(usual), |node| node.count(name));
                let size = count("size", 10)?;
                // The API's own: half as many again, and ten.
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

/// One shard's part of an aggregation, or several shards' together.
#[derive(Clone, Debug, PartialEq)]
pub enum PartialAggregation {
    ValueCount(u64),
    Min(Option<f64>),
    Max(Option<f64>),
    Sum(f64),
    Avg { sum: f64, count: u64 },
    Terms(TermBuckets),
}

/// The commonest values that a shard told of. A value it did not tell of has at most `unseen` there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TermBuckets {
    /// Each value's count, and how many more it may have at shards that did not tell of it.
    counts: BTreeMap<BucketKey, (u64, u64)>,
    /// Documents of values that a shard did not tell of.
    others: u64,
    /// The sum of what a value may have had at each shard merged so far without being told of.
    unseen: u64,
}

/// A bucket's value; ties between counts go by it, numbers before texts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BucketKey {
    Integer(i64),
    String(String),
}

impl TermBuckets {
    /// From what one shard told, the commonest first; `whole` where it told of all its values.
    pub fn from_shard(told: Vec<(BucketKey, u64)>, others: u64, whole: bool) -> Self {
        let unseen = if whole { 0 } else { told.iter().map(|(_, count)| *count).min().unwrap_or(0) };
        Self { counts: told.into_iter().map(|(key, count)| (key, (count, 0))).collect(), others, unseen }
    }

    fn merge(&mut self, other: Self) {
        let keys: BTreeSet<BucketKey> = self.counts.keys().chain(other.counts.keys()).cloned().collect();
        let mut counts = BTreeMap::new();
        for key in keys {
            let (count, error) = self.counts.get(&key).copied().unwrap_or((0, self.unseen));
            let (more, further) = other.counts.get(&key).copied().unwrap_or((0, other.unseen));
            counts.insert(key, (count + more, error + further));
        }
        *self = Self { counts, others: self.others + other.others, unseen: self.unseen + other.unseen };
    }

    /// The commonest, ties by value.
    fn best(&self, size: usize) -> Vec<(&BucketKey, u64, u64)> {
        let mut all: Vec<_> = self.counts.iter().map(|(key, (count, error))| (key, *count, *error)).collect();
        all.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        all.truncate(size);
        all
    }
}

impl PartialAggregation {
    /// The part of a shard that had nothing.
    pub fn empty(of: &Aggregation) -> Self {
        match of {
            Aggregation::ValueCount(_) => Self::ValueCount(0),
            Aggregation::Min(_) => Self::Min(None),
            Aggregation::Max(_) => Self::Max(None),
            Aggregation::Sum(_) => Self::Sum(0.0),
            Aggregation::Avg(_) => Self::Avg { sum: 0.0, count: 0 },
            Aggregation::Terms { .. } => Self::Terms(TermBuckets::default()),
        }
    }

    /// Adds another shard's. False where it is a part of another aggregation: then nothing has changed.
    pub fn merge(&mut self, other: Self) -> bool {
        let pick = |a: Option<f64>, b: Option<f64>, of: fn(f64, f64) -> f64| match (a, b) {
            (Some(a), Some(b)) => Some(of(a, b)),
            (one, other) => one.or(other),
        };
        match (self, other) {
            (Self::ValueCount(all), Self::ValueCount(more)) => *all += more,
            (Self::Min(all), Self::Min(more)) => *all = pick(*all, more, f64::min),
            (Self::Max(all), Self::Max(more)) => *all = pick(*all, more, f64::max),
            (Self::Sum(all), Self::Sum(more)) => *all += more,
            (Self::Avg { sum, count }, Self::Avg { sum: more, count: further }) => {
                *sum += more;
                *count += further;
            }
            (Self::Terms(all), Self::Terms(more)) => all.merge(more),
            _ => return false,
        }
        true
    }

    /// As the API tells it.
    pub fn to_json(&self, of: &Aggregation) -> Value {
        match (self, of) {
            (Self::ValueCount(count), _) => json!({"value": count}),
            (Self::Min(value) | Self::Max(value), _) => json!({"value": value}),
            (Self::Sum(sum), _) => json!({"value": sum}),
            (Self::Avg { sum, count }, _) => {
                json!({"value": (*count > 0).then(|| sum / *count as f64)})
            }
            (Self::Terms(buckets), Aggregation::Terms { size, .. }) => {
                let best = buckets.best(*size);
                let told: u64 = best.iter().map(|(_, count, _)| count).sum();
                let all: u64 = buckets.counts.values().map(|(count, _)| count).sum();
                let error = best.iter().map(|(.., error)| *error).max().unwrap_or(0).max(buckets.unseen);
                let bucket = |(key, count, error): &(&BucketKey, u64, u64)| {
                    let key = match key {
                        BucketKey::Integer(whole) => json!(whole),
                        BucketKey::String(text) => json!(text),
                    };
                    json!({"key": key, "doc_count": count, "doc_count_error_upper_bound": error})
                };
                json!({
                    "doc_count_error_upper_bound": error,
                    "sum_other_doc_count": buckets.others + all - told,
                    "buckets": best.iter().map(bucket).collect::<Vec<_>>(),
                })
            }
            (Self::Terms(_), _) => Value::Null,
        }
    }
}
