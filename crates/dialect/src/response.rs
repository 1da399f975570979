//! What a client is told.

use crate::error::{ApiError, ErrorKind};
use crate::merge::{Hit, MergedResult};
use crate::search::Search;
use fernglade::Span;
use serde_json::{json, Map, Value};

/// Why a shard's part is not in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// It had not answered in time.
    TimedOut,
    /// No node took it.
    Rejected,
    /// It failed, or answered what cannot be used.
    Failed,
    /// It was never sent, as the search could do without.
    Skipped,
}

impl FailureReason {
    fn exception_type(self) -> &'static str {
        match self {
            Self::TimedOut => "timeout_exception",
            Self::Rejected => "rejected_execution_exception",
            Self::Failed => "node_not_connected_exception",
            Self::Skipped => "no_shard_available_action_exception",
        }
    }
}

/// How the shards of a search stand when it is answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardSummary {
    pub total: usize,
    pub failures: Vec<(u32, FailureReason)>,
}

impl ShardSummary {
    pub fn all_succeeded(&self) -> bool {
        self.failures.is_empty()
    }

    fn to_json(&self, index: &str) -> Value {
        let skipped = self.failures.iter().filter(|(_, why)| *why == FailureReason::Skipped).count();
        let failure = |(shard, why): &(u32, FailureReason)| {
            let reason = json!({"type": why.exception_type(), "reason": format!("shard {shard} is not in")});
            json!({"shard": shard, "index": index, "reason": reason})
        };
        let mut shards = json!({
            "total": self.total,
            "successful": self.total - self.failures.len(),
            "skipped": skipped,
            "failed": self.failures.len(),
        });
        if !self.failures.is_empty() {
            shards["failures"] = self.failures.iter().map(failure).collect();
        }
        shards
    }
}

/// The answer to a search. What is missing stands in `_shards`, and `timed_out` says that time was the reason.
pub fn search_response(
    index: &str,
    search: &Search,
    found: MergedResult,
    shards: &ShardSummary,
    took: Span,
) -> Value {
    let hits: Vec<Value> = found.hits.iter().map(|one| hit(index, one)).collect();
    let mut all = json!({"max_score": found.max_score, "hits": hits});
    if let Some(total) = found.total {
        let relation = if found.total_is_lower_bound { "gte" } else { "eq" };
        all["total"] = json!({"value": total, "relation": relation});
    }
    let mut answer = json!({
        "took": took.micros() / 1000,
        "timed_out": shards.failures.iter().any(|(_, why)| *why == FailureReason::TimedOut),
        "_shards": shards.to_json(index),
        "hits": all,
    });
    if !search.aggregations.is_empty() {
        let of =
            |name: &String| search.aggregations.iter().find(|(asked, _)| asked == name).map(|(_, of)| of);
        let write = |(name, part): &(String, _)| {
            let part: &crate::aggregation::PartialAggregation = part;
            Some((name.clone(), part.to_json(of(name)?)))
        };
        answer["aggregations"] = Value::Object(found.aggregations.iter().filter_map(write).collect());
    }
    answer
}

fn hit(index: &str, hit: &Hit) -> Value {
    let mut fields = Map::new();
    fields.insert("_index".into(), index.into());
    fields.insert("_id".into(), hit.id.as_str().into());
    fields.insert("_score".into(), json!(hit.score));
    if hit.source != crate::JsonValue::Null {
        fields.insert("_source".into(), hit.source.to_json());
    }
    if let Some(sort) = &hit.sort {
        fields.insert("sort".into(), json!([sort.to_json()]));
    }
    Value::Object(fields)
}

/// The answer to a count.
pub fn count_response(index: &str, total: u64, shards: &ShardSummary) -> Value {
    json!({"count": total, "_shards": shards.to_json(index)})
}

/// How a search ends that is not answered. What may be asked again is the decision module's to say; here it only
/// gets its words: a bounce is harmless to repeat, a write-off promises nothing.
pub fn rejected_error() -> ApiError {
    ApiError::new(ErrorKind::RejectedExecution, "rejected execution: there is no room for it now")
}

pub fn failed_error(edit: bool) -> ApiError {
    if edit {
        ApiError::new(ErrorKind::ProcessCluster, "the update may have been applied: no answer came back")
    } else {
        ApiError::new(
            ErrorKind::SearchPhase,
            "not all shards answered, and the index takes no partial answer",
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::merge::{Merger, ShardResult};
    use crate::JsonValue;

    fn one(id: &str, score: f64) -> Hit {
        Hit {
            id: id.into(),
            score: Some(score),
            sort: None,
            source: JsonValue::parse(br#"{"cue":"x"}"#).unwrap(),
        }
    }

    #[test]
    fn a_partial_answer_says_what_is_missing_and_that_its_total_is_a_least_one() {
        let search = Search::default();
        let mut merge = Merger::new(&search);
        assert!(
            merge.add_shard(0, ShardResult { hits: vec![one("a", 2.0)], total: 7, ..ShardResult::default() })
        );
        let shards = ShardSummary {
            total: 3,
            failures: vec![(1, FailureReason::TimedOut), (2, FailureReason::Failed)],
        };
        let answer = search_response(
            "cues",
            &search,
            merge.finish(shards.all_succeeded()),
            &shards,
            Span::of_millis(12),
        );
        assert_eq!(answer["_shards"]["successful"], 1);
        assert_eq!(answer["_shards"]["failed"], 2);
        assert_eq!(answer["_shards"]["failures"][0]["reason"]["type"], "timeout_exception");
        assert_eq!(answer["timed_out"], true);
        assert_eq!(answer["hits"]["total"], json!({"value": 7, "relation": "gte"}));
        let hit = json!({"_index": "cues", "_id": "a", "_score": 2.0, "_source": {"cue": "x"}});
        assert_eq!(answer["hits"]["hits"], json!([hit]));
    }

    #[test]
    fn an_edit_that_may_have_run_is_never_told_to_be_asked_again() {
        assert_eq!(rejected_error().kind.status(), 429);
        let edit = failed_error(true).kind.status();
        assert!(edit != 429 && edit != 503, "{edit}");
    }
}
