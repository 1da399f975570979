//! Builds the responses to clients.

use crate::error::{ApiError, ErrorKind};
use crate::merge::{Hit, MergedResult};
use crate::search::Search;
use fernglade::Span;
use serde_json::{json, Map, Value};

/// Why there is no result of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The shard did not answer in time.
    TimedOut,
    /// No node accepted the request.
    Rejected,
    /// The request failed, or its response was unusable.
    Failed,
    /// The request was never sent because the search could be answered without it.
    Skipped,
}

impl FailureReason {
    /// The exception type as written in a response.
    fn exception_type(self) -> &'static str {
        match self {
            Self::TimedOut => "timeout_exception",
            Self::Rejected => "rejected_execution_exception",
            Self::Failed => "node_not_connected_exception",
            Self::Skipped => "no_shard_available_action_exception",
        }
    }
}

/// The outcome of a search on its shards, for the `_shards` object of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardSummary {
    pub total: usize,
    /// The shards without a result.
    pub failures: Vec<(u32, FailureReason)>,
}

impl ShardSummary {
    /// Whether every shard has a result.
    pub fn all_succeeded(&self) -> bool {
        self.failures.is_empty()
    }

    fn to_json(&self, index: &str) -> Value {
        let skipped = self.failures.iter().filter(|(_, reason)| *reason == FailureReason::Skipped).count();
        let failure = |(shard, cause): &(u32, FailureReason)| {
            let reason =
                json!({"type": cause.exception_type(), "reason": format!("shard {shard} is not in")});
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

/// The response to a search. `_shards` lists the shards without a result, and `timed_out` is set if any of
/// them ran out of time.
pub fn search_response(
    index: &str,
    search: &Search,
    found: MergedResult,
    shards: &ShardSummary,
    took: Span,
) -> Value {
    let hits: Vec<Value> = found.hits.iter().map(|hit| hit_body(index, hit)).collect();
    let mut hits_body = json!({"max_score": found.max_score, "hits": hits});
    if let Some(total) = found.total {
        let relation = if found.total_is_lower_bound { "gte" } else { "eq" };
        hits_body["total"] = json!({"value": total, "relation": relation});
    }
    let mut response = json!({
        "took": took.micros() / 1000,
        "timed_out": shards.failures.iter().any(|(_, reason)| *reason == FailureReason::TimedOut),
        "_shards": shards.to_json(index),
        "hits": hits_body,
    });
    if !search.aggregations.is_empty() {
        let definition = |name: &String| {
            search
                .aggregations
                .iter()
                .find(|(requested, _)| requested == name)
                .map(|(_, aggregation)| aggregation)
        };
        let write = |(name, partial): &(String, _)| {
            let partial: &crate::aggregation::PartialAggregation = partial;
            Some((name.clone(), partial.to_json(definition(name)?)))
        };
        response["aggregations"] = Value::Object(found.aggregations.iter().filter_map(write).collect());
    }
    response
}

fn hit_body(index: &str, hit: &Hit) -> Value {
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

/// The response to a count.
pub fn count_response(index: &str, total: u64, shards: &ShardSummary) -> Value {
    json!({"count": total, "_shards": shards.to_json(index)})
}

/// The error for a request that was not run and is safe to retry. Whether a request may be retried is decided
/// by the decision module; here the decision is only put into words.
pub fn rejected_error() -> ApiError {
    ApiError::new(ErrorKind::RejectedExecution, "rejected execution: there is no room for it now")
}

/// The error for a request that failed. A failed edit may have been applied, so its status does not invite a
/// retry.
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

    fn test_hit(id: &str, score: f64) -> Hit {
        Hit {
            id: id.into(),
            score: Some(score),
            sort: None,
            source: JsonValue::parse(br#"{"cue":"x"}"#).unwrap(),
        }
    }

    #[test]
    fn a_partial_response_lists_failures_and_its_total_is_a_lower_bound() {
        let search = Search::default();
        let mut merge = Merger::new(&search);
        assert!(merge.add_shard(
            0,
            ShardResult { hits: vec![test_hit("a", 2.0)], total: 7, ..ShardResult::default() }
        ));
        let shards = ShardSummary {
            total: 3,
            failures: vec![(1, FailureReason::TimedOut), (2, FailureReason::Failed)],
        };
        let response = search_response(
            "cues",
            &search,
            merge.finish(shards.all_succeeded()),
            &shards,
            Span::from_millis(12),
        );
        assert_eq!(response["_shards"]["successful"], 1);
        assert_eq!(response["_shards"]["failed"], 2);
        assert_eq!(response["_shards"]["failures"][0]["reason"]["type"], "timeout_exception");
        assert_eq!(response["timed_out"], true);
        assert_eq!(response["hits"]["total"], json!({"value": 7, "relation": "gte"}));
        let hit = json!({"_index": "cues", "_id": "a", "_score": 2.0, "_source": {"cue": "x"}});
        assert_eq!(response["hits"]["hits"], json!([hit]));
    }

    #[test]
    fn an_edit_that_may_have_run_is_not_reported_as_retryable() {
        assert_eq!(rejected_error().kind.status(), 429);
        let edit = failed_error(true).kind.status();
        assert!(edit != 429 && edit != 503, "{edit}");
    }
}
