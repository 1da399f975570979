//! A search over many shards gives the same answer as over one shard that holds all documents.

use fernglade::{RelayOutcome, Span};
use fernglade_dialect::endpoint::{parse_target, preferred_shards, Endpoint};
use fernglade_dialect::merge::{Merger, ShardResult};
use fernglade_dialect::response::{search_response, ShardSummary};
use fernglade_dialect::search::Search;
use fernglade_dialect::shard_request::{search_body, shard_request};
use fernglade_dialect::shard_response::ShardResponse;
use fernglade_dialect::JsonValue;
use fernglade_standins::documents::{generate_documents, AnswerMode, Document, Shard};
use serde_json::Value;
use test_case::test_case;

/// The merged answer of all shards to a search.
fn merged_answer(shards: &[Shard], search: &Search) -> Value {
    let mut merger = Merger::new(search);
    for (number, shard) in (0..).zip(shards) {
        assert!(merger.add_shard(number, shard.search(search)));
    }
    let shards = ShardSummary { total: shards.len(), failures: Vec::new() };
    search_response("cues", search, merger.finish(true), &shards, Span::ZERO)
}

/// Distributes the documents so that the order of ids is the order of shards: ties are then broken the same
/// way.
fn distribute(documents: &[Document], count: usize) -> Vec<Shard> {
    let mut sorted = documents.to_vec();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    sorted.chunks(documents.len().div_ceil(count)).map(|documents| Shard::new(documents.to_vec())).collect()
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
    let search = Search::parse(body.as_bytes()).unwrap();
    for seed in 0..5 {
        let documents = generate_documents(seed, 300);
        let (mut one, mut many) = (
            merged_answer(&distribute(&documents, 1), &search),
            merged_answer(&distribute(&documents, 7), &search),
        );
        one["_shards"] = Value::Null;
        many["_shards"] = Value::Null;
        assert_eq!(one, many);
        let hits = one["hits"]["hits"].as_array().unwrap().len();
        assert!(hits > 0 || search.size == 0, "a search that finds nothing shows nothing");
    }
}

/// While a document moves to another shard, both shards have it for a while; it must be counted once.
#[test]
fn what_two_shards_have_is_one_hit() {
    let documents = generate_documents(3, 40);
    let search = Search::parse(br#"{"size":100,"track_total_hits":true}"#).unwrap();
    let twice = [Shard::new(documents[..25].to_vec()), Shard::new(documents[20..].to_vec())];
    let answer = merged_answer(&twice, &search);
    assert_eq!(answer["hits"]["hits"].as_array().unwrap().len(), 40);
    assert_eq!(answer["hits"]["total"]["value"], 40);
}

const SEARCHES: [&str; 4] = [
    r#"{"query":{"match":{"cue":{"query":"hola noche","operator":"or"}}},"from":2,"size":5}"#,
    r#"{"query":{"bool":{"must":[{"range":{"at":{"gt":10,"lte":900}}}],"must_not":[{"terms":{"lang":["es","en"]}}]}},"sort":"at"}"#,
    r#"{"sort":{"at":"desc"},"size":50,"_source":{"includes":["c*"],"excludes":["cue"]},"track_total_hits":true,"timeout":"250ms"}"#,
    r#"{"size":3,"aggs":{"l":{"terms":{"field":"lang","size":2,"shard_size":3}},"m":{"avg":{"field":"at"}},"a":{"min":{"field":"at"}}}}"#,
];

/// The request sent to a node parses back to the search, and its answer to what the node found.
#[test]
fn a_part_is_asked_and_answered_in_the_dialects_own_bodies() {
    for body in SEARCHES {
        let search = Search::parse(body.as_bytes()).unwrap();
        assert_eq!(
            Search::from_json(&JsonValue::parse(search_body(&search).to_string().as_bytes()).unwrap()),
            Ok(search.clone())
        );
        let (target, asked) = shard_request("cues", &search, 3, Span::from_millis(420));
        let (endpoint, parameters) = parse_target("POST", &target).unwrap();
        assert_eq!(endpoint, Endpoint::Search { index: "cues".into() });
        assert_eq!(preferred_shards(&parameters), Ok(Some(vec![3])));
        let asked = Search::parse(&asked).unwrap();
        assert_eq!((asked.from, asked.size), (0, search.window()));
        let shard = Shard::new(generate_documents(5, 200));
        let ShardResponse::Found(found) =
            ShardResponse::parse(200, &shard.body("cues", &asked, AnswerMode::Valid), "cues", &search)
        else {
            panic!("a sound answer is one");
        };
        let expected = shard.search(&asked);
        let ids = |found: &ShardResult| found.hits.iter().map(|hit| hit.id.clone()).collect::<Vec<_>>();
        assert_eq!((ids(&found), found.total), (ids(&expected), expected.total));
    }
}

/// An answer from a faulty or incompatible node is a failed part that may have run, whatever the node claims.
#[test_case(AnswerMode::AllShards, "other shards"; "preference passed over")]
#[test_case(AnswerMode::TimedOut, "timed out"; "it ran out of time")]
#[test_case(AnswerMode::ShardFailed, "other shards"; "its shard failed")]
#[test_case(AnswerMode::WrongTotal, "fewer in all"; "totals that do not add up")]
#[test_case(AnswerMode::Unsorted, "not in the order"; "another order")]
#[test_case(AnswerMode::TooManyHits, "more hits"; "more than asked for")]
#[test_case(AnswerMode::WrongIndex, "another index"; "another index")]
#[test_case(AnswerMode::MissingIds, "no _id"; "no ids")]
#[test_case(AnswerMode::UnknownField, "unknown field [terminated_early]"; "a field of another version")]
#[test_case(AnswerMode::Truncated, "EOF"; "cut short")]
#[test_case(AnswerMode::ErrorPage, "expected value"; "an error page")]
#[test_case(AnswerMode::MissingAggregations, "no aggregations"; "aggregations left out")]
fn half_an_understanding_is_a_failed_part(mode: AnswerMode, says: &str) {
    let search = Search::parse(br#"{"size":8,"sort":"at","aggs":{"m":{"avg":{"field":"at"}}}}"#).unwrap();
    let shard = Shard::new(generate_documents(1, 100));
    assert_eq!(
        ShardResponse::parse(200, &shard.body("cues", &search, AnswerMode::Valid), "cues", &search)
            .relay_outcome(),
        RelayOutcome::Succeeded
    );
    let response = ShardResponse::parse(200, &shard.body("cues", &search, mode), "cues", &search);
    assert_eq!(response.relay_outcome(), RelayOutcome::Failed);
    assert!(matches!(&response, ShardResponse::Unusable(why) if why.contains(says)), "{response:?}");
}

#[test]
fn only_a_full_queue_says_that_nothing_ran() {
    let search = Search::default();
    assert_eq!(ShardResponse::parse(429, b"", "cues", &search).relay_outcome(), RelayOutcome::Rejected);
    for status in [500, 502, 503, 400, 404, 206, 302] {
        assert_eq!(
            ShardResponse::parse(status, b"{}", "cues", &search).relay_outcome(),
            RelayOutcome::Failed
        );
    }
}
