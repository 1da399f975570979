//! Aggregations: what is asked of each shard, what comes back, and how shards' parts become one.

use crate::query::fields;
use crate::{Fault, Node};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub enum Aggregation {
    Count(String),
    Least(String),
    Most(String),
    Sum(String),
    Average(String),
    /// The commonest values of a field: so many are told, and so many asked of each shard.
    Terms {
        field: String,
        size: usize,
        shard_size: usize,
    },
}

/// Buckets of one aggregation: what a shard may be asked for, and what the merge holds of each.
pub const MOST_BUCKETS: usize = 1_000;

impl Aggregation {
    pub fn read(node: &Node) -> Result<Self, Fault> {
        let (name, body) = node.one_field("aggs")?;
        let field = || {
            let field =
                body.get("field").ok_or_else(|| Fault::parsing(format!("[{name}] requires [field]")))?;
            field.text("field").map(String::from)
        };
        let plain = |make: fn(String) -> Self| {
            fields(body, name, &["field"])?;
            field().map(make)
        };
        match name {
            "value_count" => plain(Self::Count),
            "min" => plain(Self::Least),
            "max" => plain(Self::Most),
            "sum" => plain(Self::Sum),
            "avg" => plain(Self::Average),
            "terms" => {
                fields(body, name, &["field", "size", "shard_size"])?;
                let count =
                    |name: &str, usual: usize| body.get(name).map_or(Ok(usual), |node| node.count(name));
                let size = count("size", 10)?;
                // The API's own: half as many again, and ten.
                let shard_size = count("shard_size", size + size / 2 + 10)?.max(size);
                if size == 0 || shard_size > MOST_BUCKETS {
                    return Err(Fault::argument(format!(
                        "[terms] takes 1 to {MOST_BUCKETS} buckets of a shard"
                    )));
                }
                Ok(Self::Terms { field: field()?, size, shard_size })
            }
            other => Err(Fault::parsing(format!("unknown aggregation type [{other}]"))),
        }
    }
}

/// One shard's part of an aggregation, or several shards' together.
#[derive(Clone, Debug, PartialEq)]
pub enum Partial {
    Count(u64),
    Least(Option<f64>),
    Most(Option<f64>),
    Sum(f64),
    Average { sum: f64, count: u64 },
    Terms(Buckets),
}

/// The commonest values that a shard told of. A value it did not tell of has at most `unseen` there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Buckets {
    /// Each value's count, and how many more it may have at shards that did not tell of it.
    counts: BTreeMap<Key, (u64, u64)>,
    /// Documents of values that a shard did not tell of.
    others: u64,
    /// The sum of what a value may have had at each shard merged so far without being told of.
    unseen: u64,
}

/// A bucket's value; ties between counts go by it, numbers before texts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Whole(i64),
    Text(String),
}

impl Buckets {
    /// From what one shard told, the commonest first; `whole` where it told of all its values.
    pub fn of_shard(told: Vec<(Key, u64)>, others: u64, whole: bool) -> Self {
        let unseen = if whole { 0 } else { told.iter().map(|(_, count)| *count).min().unwrap_or(0) };
        Self { counts: told.into_iter().map(|(key, count)| (key, (count, 0))).collect(), others, unseen }
    }

    fn merge(&mut self, other: Self) {
        let keys: BTreeSet<Key> = self.counts.keys().chain(other.counts.keys()).cloned().collect();
        let mut counts = BTreeMap::new();
        for key in keys {
            let (count, error) = self.counts.get(&key).copied().unwrap_or((0, self.unseen));
            let (more, further) = other.counts.get(&key).copied().unwrap_or((0, other.unseen));
            counts.insert(key, (count + more, error + further));
        }
        *self = Self { counts, others: self.others + other.others, unseen: self.unseen + other.unseen };
    }

    /// The commonest, ties by value.
    fn best(&self, size: usize) -> Vec<(&Key, u64, u64)> {
        let mut all: Vec<_> = self.counts.iter().map(|(key, (count, error))| (key, *count, *error)).collect();
        all.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        all.truncate(size);
        all
    }
}

impl Partial {
    /// The part of a shard that had nothing.
    pub fn empty(of: &Aggregation) -> Self {
        match of {
            Aggregation::Count(_) => Self::Count(0),
            Aggregation::Least(_) => Self::Least(None),
            Aggregation::Most(_) => Self::Most(None),
            Aggregation::Sum(_) => Self::Sum(0.0),
            Aggregation::Average(_) => Self::Average { sum: 0.0, count: 0 },
            Aggregation::Terms { .. } => Self::Terms(Buckets::default()),
        }
    }

    /// Adds another shard's. False where it is a part of another aggregation: then nothing has changed.
    pub fn merge(&mut self, other: Self) -> bool {
        let pick = |a: Option<f64>, b: Option<f64>, of: fn(f64, f64) -> f64| match (a, b) {
            (Some(a), Some(b)) => Some(of(a, b)),
            (one, other) => one.or(other),
        };
        match (self, other) {
            (Self::Count(all), Self::Count(more)) => *all += more,
            (Self::Least(all), Self::Least(more)) => *all = pick(*all, more, f64::min),
            (Self::Most(all), Self::Most(more)) => *all = pick(*all, more, f64::max),
            (Self::Sum(all), Self::Sum(more)) => *all += more,
            (Self::Average { sum, count }, Self::Average { sum: more, count: further }) => {
                *sum += more;
                *count += further;
            }
            (Self::Terms(all), Self::Terms(more)) => all.merge(more),
            _ => return false,
        }
        true
    }

    /// As the API tells it.
    pub fn write(&self, of: &Aggregation) -> Value {
        match (self, of) {
            (Self::Count(count), _) => json!({"value": count}),
            (Self::Least(value) | Self::Most(value), _) => json!({"value": value}),
            (Self::Sum(sum), _) => json!({"value": sum}),
            (Self::Average { sum, count }, _) => {
                json!({"value": (*count > 0).then(|| sum / *count as f64)})
            }
            (Self::Terms(buckets), Aggregation::Terms { size, .. }) => {
                let best = buckets.best(*size);
                let told: u64 = best.iter().map(|(_, count, _)| count).sum();
                let all: u64 = buckets.counts.values().map(|(count, _)| count).sum();
                let error = best.iter().map(|(.., error)| *error).max().unwrap_or(0).max(buckets.unseen);
                let bucket = |(key, count, error): &(&Key, u64, u64)| {
                    let key = match key {
                        Key::Whole(whole) => json!(whole),
                        Key::Text(text) => json!(text),
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
