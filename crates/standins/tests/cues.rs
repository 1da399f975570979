//! Searches over many shards give what they give over one that has all of it.

use fernglade::Span;
use fernglade_dialect::answer::{found, Shards};
use fernglade_dialect::merge::Merge;
use fernglade_dialect::search::Search;
use fernglade_standins::cues::{planted, Cue, Shard};
use serde_json::Value;
use test_case::test_case;

fn asked(shards: &[Shard], search: &Search) -> Value {
    let mut merge = Merge::new(search);
    for (number, shard) in (0..).zip(shards) {
        assert!(merge.take(number, shard.search(search)));
    }
    let shards = Shards { total: shards.len(), missing: Vec::new() };
    found("cues", search, merge.finish(true), &shards, Span::ZERO)
}

/// Dealt out so that the order of ids is the order of shards: ties then fall alike.
fn dealt(cues: &[Cue], count: usize) -> Vec<Shard> {
    let mut sorted = cues.to_vec();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    sorted.chunks(cues.len().div_ceil(count)).map(|cues| Shard::new(cues.to_vec())).collect()
}

#[test_case(r#"{}"#; "everything")]
#[test_case(r#"{"query":{"match":{"cue":"Hola noche"}},"size":25}"#; "any of two words")]
#[test_case(r#"{"query":{"match":{"cue":{"query":"hola mundo","operator":"and"}}},"from":3,"size":7}"#; "both, a page on")]
#[test_case(r#"{"query":{"range":{"at":{"gte":100,"lt":300}}},"sort":"at","size":40}"#; "a range, sorted")]
#[test_case(r#"{"query":{"term":{"lang":"es"}},"sort":{"at":"desc"},"size":400}"#; "sorted, with some that have no value")]
#[test_case(r#"{"query":{"ids":{"values":["c3","c77","none"]}},"_source":["cue"]}"#; "by id")]
#[test_case(r#"{"query":{"bool":{"must":{"match":{"cue":"amor"}},"must_not":{"term":{"lang":"en"}},"should":[{"match":{"cue":"luz"}},
  {"range":{"at":{"gt":500}}}],"minimum_should_match":1}},"size":30}"#; "clauses")]
#[test_case(r#"{"size":0,"aggs":{"n":{"value_count":{"field":"at"}},"a":{"min":{"field":"at"}},"z":{"max":{"field":"at"}},
  "s":{"sum":{"field":"at"}},"m":{"avg":{"field":"at"}},"l":{"terms":{"field":"lang","size":3}}}}"#; "aggregations")]
fn many_shards_answer_as_one(body: &str) {
    let search = Search::read(body.as_bytes()).unwrap();
    for seed in 0..5 {
        let cues = planted(seed, 300);
        let (mut one, mut many) = (asked(&dealt(&cues, 1), &search), asked(&dealt(&cues, 7), &search));
        one["_shards"] = Value::Null;
        many["_shards"] = Value::Null;
        assert_eq!(one, many);
        let hits = one["hits"]["hits"].as_array().unwrap().len();
        assert!(hits > 0 || search.size == 0, "a search that finds nothing shows nothing");
    }
}

/// A title that is moving stands at two shards for a while.
#[test]
fn what_two_shards_have_is_one_hit() {
    let cues = planted(3, 40);
    let search = Search::read(br#"{"size":100,"track_total_hits":true}"#).unwrap();
    let twice = [Shard::new(cues[..25].to_vec()), Shard::new(cues[20..].to_vec())];
    let answer = asked(&twice, &search);
    assert_eq!(answer["hits"]["hits"].as_array().unwrap().len(), 40);
    assert_eq!(answer["hits"]["total"]["value"], 40);
}
