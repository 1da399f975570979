//! What a client is told.

use crate::fault::{Fault, Kind};
use crate::merge::{Found, Hit};
use crate::search::Search;
use fernglade::Span;
use serde_json::{json, Map, Value};

/// Why a shard's part is not in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// It had not answered in time.
    Late,
    /// No node took it.
    TurnedAway,
    /// It failed, or answered what cannot be used.
    Failed,
    /// It was never sent, as the search could do without.
    Skipped,
}

impl Missing {
    fn word(self) -> &'static str {
        match self {
            Self::Late => "timeout_exception",
            Self::TurnedAway => "rejected_execution_exception",
            Self::Failed => "node_not_connected_exception",
            Self::Skipped => "no_shard_available_action_exception",
        }
    }
}

/// How the shards of a search stand when it is answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shards {
    pub total: usize,
    pub missing: Vec<(u32, Missing)>,
}

impl Shards {
    pub fn all_in(&self) -> bool {
        self.missing.is_empty()
    }

    fn write(&self, index: &str) -> Value {
        let skipped = self.missing.iter().filter(|(_, why)| *why == Missing::Skipped).count();
        let failure = |(shard, why): &(u32, Missing)| {
            let reason = json!({"type": why.word(), "reason": format!("shard {shard} is not in")});
            json!({"shard": shard, "index": index, "reason": reason})
        };
        let mut shards = json!({
            "total": self.total,
            "successful": self.total - self.missing.len(),
            "skipped": skipped,
            "failed": self.missing.len(),
        });
        if !self.missing.is_empty() {
            shards["failures"] = self.missing.iter().map(failure).collect();
        }
        shards
    }
}

/// The answer to a search. What is missing stands in `_shards`, and `timed_out` says that time was the reason.
pub fn found(index: &str, search: &Search, found: Found, shards: &Shards, took: Span) -> Value {
    let hits: Vec<Value> = found.hits.iter().map(|one| hit(index, one)).collect();
    let mut all = json!({"max_score": found.most_score, "hits": hits});
    if let Some(total) = found.total {
        let relation = if found.at_least { "gte" } else { "eq" };
        all["total"] = json!({"value": total, "relation": relation});
    }
    let mut answer = json!({
        "took": took.micros() / 1000,
        "timed_out": shards.missing.iter().any(|(_, why)| *why == Missing::Late),
        "_shards": shards.write(index),
        "hits": all,
    });
    if !search.aggregations.is_empty() {
        let of =
            |name: &String| search.aggregations.iter().find(|(asked, _)| asked == name).map(|(_, of)| of);
        let write = |(name, part): &(String, _)| {
            let part: &crate::aggregation::Partial = part;
            Some((name.clone(), part.write(of(name)?)))
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
    if hit.source != crate::Node::Null {
        fields.insert("_source".into(), hit.source.write());
    }
    if let Some(sort) = &hit.sort {
        fields.insert("sort".into(), json!([sort.write()]));
    }
    Value::Object(fields)
}

/// The answer to a count.
pub fn counted(index: &str, total: u64, shards: &Shards) -> Value {
    json!({"count": total, "_shards": shards.write(index)})
}

/// How a search ends that is not answered. What may be asked again is the decision module's to say; here it only
/// gets its words: a bounce is harmless to repeat, a write-off promises nothing.
pub fn bounced() -> Fault {
    Fault::new(Kind::RejectedExecution, "rejected execution: there is no room for it now")
}

pub fn written_off(edit: bool) -> Fault {
    if edit {
        Fault::new(Kind::ProcessCluster, "the update may have been applied: no answer came back")
    } else {
        Fault::new(Kind::SearchPhase, "not all shards answered, and the index takes no partial answer")
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::merge::{Merge, ShardFound};
    use crate::Node;

    fn one(id: &str, score: f64) -> Hit {
        Hit { id: id.into(), score: Some(score), sort: None, source: Node::read(br#"{"cue":"x"}"#).unwrap() }
    }

    #[test]
    fn a_partial_answer_says_what_is_missing_and_that_its_total_is_a_least_one() {
        let search = Search::default();
        let mut merge = Merge::new(&search);
        assert!(merge.take(0, ShardFound { hits: vec![one("a", 2.0)], total: 7, ..ShardFound::default() }));
        let shards = Shards { total: 3, missing: vec![(1, Missing::Late), (2, Missing::Failed)] };
        let answer = found("cues", &search, merge.finish(shards.all_in()), &shards, Span::from_millis(12));
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
        assert_eq!(bounced().kind.status(), 429);
        let edit = written_off(true).kind.status();
        assert!(edit != 429 && edit != 503, "{edit}");
    }
}
