//! The merge against an oracle that has all of it at once, and readers on any bytes.

use fernglade_dialect::aggregation::{Aggregation, BucketKey, PartialAggregation, TermBuckets};
use fernglade_dialect::endpoint::{parse_multi_search, parse_target};
use fernglade_dialect::merge::{Hit, Merger, ShardResult};
use fernglade_dialect::request::Request;
use fernglade_dialect::search::{Search, Sort, SortKey, TrackTotalHits};
use fernglade_dialect::shard_response::{confirms_edit, ShardResponse};
use fernglade_dialect::JsonValue;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// A document: its id, its score in tenths, the value that is sorted by.
type Document = (u16, u8, Option<i64>);

fn shards() -> impl Strategy<Value = Vec<Vec<Document>>> {
    let document = (0u16..500, 0u8..30, proptest::option::weighted(0.8, -20i64..20));
    proptest::collection::vec(proptest::collection::vec(document, 0..40), 1..8)
}

fn hit(document: &Document) -> Hit {
    let (id, score, at) = document;
    Hit {
        id: format!("d{id}"),
        score: Some(f64::from(*score) / 10.0),
        sort: at.map(JsonValue::Integer),
        source: JsonValue::Object(vec![("id".into(), JsonValue::Integer(i64::from(*id)))]),
    }
}

/// The order as the oracle has it, by the shortest words.
fn sorted(search: &Search, mut all: Vec<(u32, Hit)>) -> Vec<(u32, Hit)> {
    let key = |hit: &Hit| match hit.sort {
        Some(JsonValue::Integer(at)) => Some(at),
        _ => None,
    };
    all.sort_by(|(shard_a, a), (shard_b, b)| {
        let first = match search.sort.key {
            SortKey::Score => b.score.unwrap().total_cmp(&a.score.unwrap()),
            SortKey::Field(_) => match (key(a), key(b)) {
                (Some(a), Some(b)) if search.sort.ascending => a.cmp(&b),
                (Some(a), Some(b)) => b.cmp(&a),
                (a, b) => a.is_none().cmp(&b.is_none()),
            },
        };
        first.then(shard_a.cmp(shard_b)).then_with(|| a.id.cmp(&b.id))
    });
    all
}

/// What a shard gives: its documents by id, the best of them, as many as it is asked for.
fn answer(search: &Search, shard: u32, documents: &[Document]) -> ShardResult {
    let by_id: BTreeMap<String, Hit> = documents.iter().map(hit).map(|hit| (hit.id.clone(), hit)).collect();
    let total = by_id.len() as u64;
    let all = sorted(search, by_id.into_values().map(|hit| (shard, hit)).collect());
    let hits = all.into_iter().take(search.window()).map(|(_, hit)| hit).collect();
    ShardResult { hits, total, ..ShardResult::default() }
}

proptest! {
    #![proptest_config(fixed(300))]

    /// The same hits in the same order as one who has all of them would give, whichever shard comes first; no id
    /// twice; and no more held than may be given.
    #[test]
    fn the_best_of_all_shards_are_given(
        shards in shards(), from in 0usize..20, size in 0usize..20, by in 0u8..3, back in any::<bool>(),
    ) {
        let order = match by {
            0 => Sort::default(),
            _ => Sort { key: SortKey::Field("at".into()), ascending: by == 1 },
        };
        let search = Search { from, size, sort: order, track_total_hits: TrackTotalHits::Exact, ..Search::default() };
        let answers: Vec<(u32, ShardResult)> = (0..).zip(&shards).map(|(n, all)| (n, answer(&search, n, all))).collect();
        let mut merge = Merger::new(&search);
        let mut coming = answers.clone();
        if back {
            coming.reverse();
        }
        for (shard, found) in coming {
            prop_assert!(merge.add_shard(shard, found.clone()));
            prop_assert!(!merge.add_shard(shard, found), "a shard counts once");
            prop_assert!(merge.held_hits() <= search.window());
        }
        let all = answers.iter().flat_map(|(shard, found)| found.hits.iter().map(|hit| (*shard, hit.clone())));
        let mut expected: Vec<Hit> = Vec::new();
        for (_, hit) in sorted(&search, all.collect()) {
            if expected.iter().all(|known| known.id != hit.id) {
                expected.push(hit);
            }
        }
        let expected: Vec<String> = expected.into_iter().skip(from).take(size).map(|hit| hit.id).collect();
        let found = merge.finish(true);
        let given: Vec<String> = found.hits.iter().map(|hit| hit.id.clone()).collect();
        prop_assert_eq!(given, expected);
        let sum: u64 = answers.iter().map(|(_, found)| found.total).sum();
        prop_assert!(found.total.unwrap() <= sum && !found.total_is_lower_bound);
    }

    /// Each bucket's true count lies between what is told and that plus the error it owes.
    #[test]
    fn buckets_owe_no_more_than_they_say(
        shards in proptest::collection::vec(proptest::collection::btree_map(0i64..12, 1u64..50, 0..12), 1..6),
        told in 1usize..6,
    ) {
        let of = Aggregation::Terms { field: "lang".into(), size: 12, shard_size: told };
        let mut all = PartialAggregation::empty(&of);
        let mut truth: BTreeMap<i64, u64> = BTreeMap::new();
        for shard in &shards {
            shard.iter().for_each(|(key, count)| *truth.entry(*key).or_default() += count);
            let mut by_count: Vec<(BucketKey, u64)> = shard.iter().map(|(key, count)| (BucketKey::Integer(*key), *count)).collect();
            by_count.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
            let whole = by_count.len() <= told;
            let others = by_count.iter().skip(told).map(|(_, count)| count).sum();
            by_count.truncate(told);
            prop_assert!(all.merge(PartialAggregation::Terms(TermBuckets::from_shard(by_count, others, whole))));
        }
        let written = all.to_json(&of);
        let mut sum = written["sum_other_doc_count"].as_u64().unwrap();
        for bucket in written["buckets"].as_array().unwrap() {
            let (count, error) = (bucket["doc_count"].as_u64().unwrap(), bucket["doc_count_error_upper_bound"].as_u64().unwrap());
            let really = truth[&bucket["key"].as_i64().unwrap()];
            prop_assert!(count <= really && really <= count + error, "{count} {really} {error}");
            sum += count;
        }
        prop_assert_eq!(sum, truth.values().sum::<u64>(), "what is told and what is not add up");
    }

    /// Whatever comes: a value or a fault, and no panic.
    #[test]
    fn readers_take_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300), text in "[ -~]{0,80}") {
        let _ = JsonValue::parse(&bytes);
        let _ = Search::parse(&bytes);
        let _ = parse_multi_search(&bytes);
        let search = Search::default();
        let _ = ShardResponse::parse(200, &bytes, "cues", &search);
        let _ = confirms_edit(&bytes, "c1");
        for target in ["/cues/_search", "/cues/_update/a", "/_msearch", "/cues/_doc/b", "/cues/_count"] {
            let _ = Request::parse("POST", target, |_| Some(text.as_str()), &bytes);
        }
        let _ = parse_target("GET", &text);
    }

    /// A search cut short anywhere is a fault.
    #[test]
    fn a_search_cut_short_is_refused(cut in 1usize..100) {
        let text = br#"{"query":{"bool":{"must":[{"match":{"cue":"hola"}}],"filter":{"range":{"at":{"gte":3}}}}},"size":7}"#;
        prop_assume!(cut < text.len());
        prop_assert!(Search::parse(&text[..cut]).is_err());
        prop_assert!(Search::parse(text).is_ok());
    }
}

#[test]
fn an_answer_of_another_shape_is_no_answer() {
    let search = Search::parse(br#"{"size":1,"aggs":{"n":{"value_count":{"field":"at"}}}}"#).unwrap();
    let document = (1, 1, None);
    let part = |part| vec![("n".to_string(), part)];
    let sound = ShardResult {
        hits: vec![hit(&document)],
        total: 1,
        aggregations: part(PartialAggregation::ValueCount(1)),
        ..ShardResult::default()
    };
    let other = |change: fn(&mut ShardResult)| {
        let mut found = sound.clone();
        change(&mut found);
        found
    };
    let mut merge = Merger::new(&search);
    assert!(
        !merge.add_shard(0, other(|found| found.hits.push(hit(&(2, 1, None))))),
        "more hits than asked for"
    );
    assert!(!merge.add_shard(0, other(|found| found.total = 0)), "fewer in all than it gives");
    assert!(!merge.add_shard(0, other(|found| found.aggregations.clear())), "no aggregation");
    assert!(
        !merge.add_shard(0, other(|found| found.aggregations[0].1 = PartialAggregation::Sum(1.0))),
        "another's"
    );
    assert!(merge.add_shard(0, sound.clone()));
    assert_eq!(merge.finish(true).aggregations, part(PartialAggregation::ValueCount(1)));
}
