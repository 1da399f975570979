//! A shard of generated documents with a small inverted index, used to check the scores, totals, top hits and
//! buckets of merged answers. Documents are generated from a seed.
//!
//! A document's score is the number of times it contains the query's words. It doesn't depend on the other
//! documents of the shard, so that the merged answers of many shards can be compared with those of one shard
//! that holds everything.

use fernglade_dialect::aggregation::{Aggregation, BucketKey, PartialAggregation, TermBuckets};
use fernglade_dialect::merge::{Hit, ShardResult};
use fernglade_dialect::query::{tokenize, BoolQuery, Bound, Query};
use fernglade_dialect::search::{Search, SortKey};
use fernglade_dialect::JsonValue;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A document: its id and its fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    pub id: String,
    pub fields: Vec<(String, JsonValue)>,
}

/// A small vocabulary, so that documents often share words.
const WORDS: [&str; 16] = [
    "hola", "mundo", "noche", "estreno", "serie", "gracias", "adios", "casa", "lluvia", "nunca", "siempre",
    "amor", "ciudad", "viento", "luz", "voz",
];
const LANGUAGES: [&str; 5] = ["es", "en", "pt", "fr", "de"];

/// Generates `count` documents, the same ones for the same seed. One in ten has no `at` field.
pub fn generate_documents(seed: u64, count: usize) -> Vec<Document> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let document = |number: usize| {
        let length = rng.random_range(1..8);
        let text: Vec<&str> = (0..length).map(|_| WORDS[rng.random_range(0..WORDS.len())]).collect();
        let mut fields = vec![
            ("cue".to_string(), JsonValue::String(text.join(" "))),
            ("lang".into(), JsonValue::String(LANGUAGES[rng.random_range(0..LANGUAGES.len())].into())),
        ];
        if rng.random_range(0..10) > 0 {
            fields.push(("at".into(), JsonValue::Integer(rng.random_range(0..1_000))));
        }
        Document { id: format!("c{number}"), fields }
    };
    (0..count).map(document).collect()
}

/// One shard: its documents, and for each field and word the documents that contain it, with the number of
/// occurrences.
#[derive(Default)]
pub struct Shard {
    documents: Vec<Document>,
    postings: BTreeMap<(String, String), BTreeMap<usize, u32>>,
}

impl Shard {
    /// Indexes the documents.
    pub fn new(documents: Vec<Document>) -> Self {
        let mut postings: BTreeMap<(String, String), BTreeMap<usize, u32>> = BTreeMap::new();
        for (at, document) in documents.iter().enumerate() {
            for (field, value) in &document.fields {
                let JsonValue::String(text) = value else { continue };
                for word in tokenize(text) {
                    *postings.entry((field.clone(), word)).or_default().entry(at).or_default() += 1;
                }
            }
        }
        Self { documents, postings }
    }

    fn value(&self, at: usize, field: &str) -> Option<&JsonValue> {
        self.documents[at].fields.iter().find(|(name, _)| name == field).map(|(_, value)| value)
    }

    /// The documents that match a query, with their scores.
    fn matches(&self, query: &Query) -> BTreeMap<usize, f64> {
        let all = || 0..self.documents.len();
        let select =
            |matches: &dyn Fn(usize) -> bool| all().filter(|at| matches(*at)).map(|at| (at, 1.0)).collect();
        match query {
            Query::MatchAll => select(&|_| true),
            Query::Match { field, terms, require_all } => self.match_words(field, terms, *require_all),
            Query::Terms { field, values } => select(&|at| {
                self.value(at, field).is_some_and(|value| values.iter().any(|one| values_equal(one, value)))
            }),
            Query::Range { field, lower, upper } => select(&|at| {
                self.value(at, field).is_some_and(|value| {
                    satisfies_bound(value, lower.as_ref(), Ordering::Greater)
                        && satisfies_bound(value, upper.as_ref(), Ordering::Less)
                })
            }),
            Query::Ids(ids) => select(&|at| ids.contains(&self.documents[at].id)),
            Query::Bool(clauses) => self.match_clauses(clauses),
        }
    }

    fn match_words(&self, field: &str, words: &str, every: bool) -> BTreeMap<usize, f64> {
        let requested: BTreeSet<&str> = words.split(' ').filter(|word| !word.is_empty()).collect();
        let mut found: BTreeMap<usize, (usize, f64)> = BTreeMap::new();
        for word in &requested {
            let has = self.postings.get(&(field.to_string(), word.to_string()));
            for (at, count) in has.into_iter().flatten() {
                let (words, score) = found.entry(*at).or_default();
                (*words, *score) = (*words + 1, *score + f64::from(*count));
            }
        }
        let min_words = if every { requested.len() } else { 1 };
        found
            .into_iter()
            .filter(|(_, (words, _))| *words >= min_words)
            .map(|(at, (_, score))| (at, score))
            .collect()
    }

    fn match_clauses(&self, clauses: &BoolQuery) -> BTreeMap<usize, f64> {
        let find = |queries: &[Query]| queries.iter().map(|query| self.matches(query)).collect::<Vec<_>>();
        let (must, filter) = (find(&clauses.must), find(&clauses.filter));
        let (should, must_not) = (find(&clauses.should), find(&clauses.must_not));
        let score = |at: usize| {
            let any = should.iter().filter(|found| found.contains_key(&at)).count();
            let holds = must.iter().chain(&filter).all(|found| found.contains_key(&at))
                && !must_not.iter().any(|found| found.contains_key(&at))
                && any >= clauses.minimum_should_match;
            let sum = || must.iter().chain(&should).filter_map(|found| found.get(&at)).sum::<f64>();
            holds.then(sum)
        };
        (0..self.documents.len()).filter_map(|at| Some((at, score(at)?))).collect()
    }

    /// The answer of a node for this shard.
    pub fn search(&self, search: &Search) -> ShardResult {
        let found = self.matches(&search.query);
        let hit = |(at, score): (&usize, &f64)| {
            let sort = match &search.sort.key {
                SortKey::Score => None,
                SortKey::Field(field) => self.value(*at, field).cloned(),
            };
            let source = JsonValue::Object(self.documents[*at].fields.clone());
            Hit { id: self.documents[*at].id.clone(), score: Some(*score), sort, source }
        };
        let mut hits: Vec<Hit> = found.iter().map(hit).collect();
        hits.sort_by(|a, b| compare_hits(search, a, b));
        hits.truncate(search.window());
        let part = |(name, of): &(String, Aggregation)| (name.clone(), self.part(of, found.keys().copied()));
        let aggregations = search.aggregations.iter().map(part).collect();
        ShardResult { hits, total: found.len() as u64, total_is_lower_bound: false, aggregations }
    }

    fn part(&self, of: &Aggregation, among: impl Iterator<Item = usize>) -> PartialAggregation {
        let values = |field: &str, among: &mut dyn Iterator<Item = usize>| -> Vec<JsonValue> {
            among.filter_map(|at| self.value(at, field).cloned()).collect()
        };
        let mut among = among;
        let numbers = |field: &str, among: &mut dyn Iterator<Item = usize>| -> Vec<f64> {
            values(field, among).iter().filter_map(JsonValue::number).collect()
        };
        match of {
            Aggregation::ValueCount(field) => {
                PartialAggregation::ValueCount(values(field, &mut among).len() as u64)
            }
            Aggregation::Min(field) => {
                PartialAggregation::Min(numbers(field, &mut among).into_iter().reduce(f64::min))
            }
            Aggregation::Max(field) => {
                PartialAggregation::Max(numbers(field, &mut among).into_iter().reduce(f64::max))
            }
            Aggregation::Sum(field) => PartialAggregation::Sum(numbers(field, &mut among).iter().sum()),
            Aggregation::Avg(field) => {
                let numbers = numbers(field, &mut among);
                PartialAggregation::Avg { sum: numbers.iter().sum(), count: numbers.len() as u64 }
            }
            Aggregation::Terms { field, shard_size, .. } => {
                let mut counts: BTreeMap<BucketKey, u64> = BTreeMap::new();
                for value in values(field, &mut among) {
                    match value {
                        JsonValue::String(text) => *counts.entry(BucketKey::String(text)).or_default() += 1,
                        JsonValue::Integer(whole) => {
                            *counts.entry(BucketKey::Integer(whole)).or_default() += 1
                        }
                        _ => {}
                    }
                }
                let mut buckets: Vec<(BucketKey, u64)> = counts.into_iter().collect();
                buckets.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
                let whole = buckets.len() <= *shard_size;
                let others = buckets.iter().skip(*shard_size).map(|(_, count)| count).sum();
                buckets.truncate(*shard_size);
                PartialAggregation::Terms(TermBuckets::from_shard(buckets, others, whole))
            }
        }
    }
}

fn values_equal(a: &JsonValue, b: &JsonValue) -> bool {
    match (a.number(), b.number()) {
        (Some(a), Some(b)) => a == b,
        _ => a == b,
    }
}

fn satisfies_bound(value: &JsonValue, bound: Option<&Bound>, side: Ordering) -> bool {
    let Some(bound) = bound else { return true };
    let order = match (value, &bound.value) {
        (JsonValue::String(a), JsonValue::String(b)) => Some(a.cmp(b)),
        (a, b) => a.number().zip(b.number()).map(|(a, b)| a.total_cmp(&b)),
    };
    order.is_some_and(|order| order == side || bound.inclusive && order == Ordering::Equal)
}

/// The order of one shard's hits: the requested order, then by id.
fn compare_hits(search: &Search, a: &Hit, b: &Hit) -> Ordering {
    let directed = |order: Ordering| if search.sort.ascending { order } else { order.reverse() };
    let first = match &search.sort.key {
        SortKey::Score => directed(a.score.unwrap_or(0.0).total_cmp(&b.score.unwrap_or(0.0))),
        SortKey::Field(_) => match (&a.sort, &b.sort) {
            (Some(JsonValue::String(a)), Some(JsonValue::String(b))) => directed(a.cmp(b)),
            (Some(a), Some(b)) => directed(a.number().unwrap_or(0.0).total_cmp(&b.number().unwrap_or(0.0))),
            (a, b) => a.is_none().cmp(&b.is_none()),
        },
    };
    first.then_with(|| a.id.cmp(&b.id))
}

/// How a node answers a search: correctly, or in one of the ways in which a faulty or incompatible node does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerMode {
    Valid,
    /// Answers for all shards and ignores the preference.
    AllShards,
    /// Reports that the search timed out.
    TimedOut,
    /// Reports that its shard failed.
    ShardFailed,
    /// Reports a total lower than the number of hits.
    WrongTotal,
    /// Sends hits in the wrong order.
    Unsorted,
    /// Sends more hits than requested.
    TooManyHits,
    /// Sends hits of another index.
    WrongIndex,
    /// Sends hits without ids.
    MissingIds,
    /// Sends a field that only another version has.
    UnknownField,
    /// Sends half of the body.
    Truncated,
    /// Sends the HTML error page of an intermediary.
    ErrorPage,
    /// Leaves out the aggregations.
    MissingAggregations,
}

impl Shard {
    /// The body of a node's answer to a search of this shard.
    pub fn body(&self, index: &str, search: &Search, mode: AnswerMode) -> Vec<u8> {
        use serde_json::json;
        if mode == AnswerMode::ErrorPage {
            return b"<html><body>502 Bad Gateway</body></html>".to_vec();
        }
        let requested = if mode == AnswerMode::TooManyHits {
            Search { size: search.size + 3, ..search.clone() }
        } else {
            search.clone()
        };
        let mut found = self.search(&requested);
        if mode == AnswerMode::Unsorted {
            found.hits.reverse();
        }
        let hit = |hit: &Hit| {
            let index = if mode == AnswerMode::WrongIndex { "others" } else { index };
            let mut written = json!({"_index": index, "_score": hit.score, "_source": hit.source.to_json()});
            if mode != AnswerMode::MissingIds {
                written["_id"] = hit.id.as_str().into();
            }
            if search.sort.key != SortKey::Score {
                written["sort"] = json!([hit.sort.as_ref().map(JsonValue::to_json)]);
            }
            written
        };
        let shards = if mode == AnswerMode::AllShards { 5 } else { 1 };
        let failed = u64::from(mode == AnswerMode::ShardFailed);
        let total = if mode == AnswerMode::WrongTotal { 0 } else { found.total };
        let mut body = json!({
            "took": 1,
            "timed_out": mode == AnswerMode::TimedOut,
            "_shards": {"total": shards, "successful": shards - failed, "skipped": 0, "failed": failed},
            "hits": {
                "total": {"value": total, "relation": "eq"},
                "max_score": null,
                "hits": found.hits.iter().map(hit).collect::<Vec<_>>(),
            },
        });
        if mode == AnswerMode::UnknownField {
            body["terminated_early"] = true.into();
        }
        if !search.aggregations.is_empty() && mode != AnswerMode::MissingAggregations {
            let of = |name: &String| {
                search.aggregations.iter().find(|(requested, _)| requested == name).map(|(_, of)| of)
            };
            let write = |(name, part): &(String, PartialAggregation)| {
                Some((name.clone(), partial_of_node(part, of(name)?)))
            };
            body["aggregations"] = found.aggregations.iter().filter_map(write).collect();
        }
        let mut bytes = body.to_string().into_bytes();
        if mode == AnswerMode::Truncated {
            bytes.truncate(bytes.len() / 2);
        }
        bytes
    }
}

/// A shard's partial aggregation as a node sends it: for terms, up to `shard_size` buckets; for an average,
/// also the number of values.
fn partial_of_node(part: &PartialAggregation, of: &Aggregation) -> serde_json::Value {
    match (part, of) {
        (PartialAggregation::Terms(_), Aggregation::Terms { field, shard_size, .. }) => {
            let all = Aggregation::Terms { field: field.clone(), size: *shard_size, shard_size: *shard_size };
            part.to_json(&all)
        }
        (PartialAggregation::Avg { count, .. }, _) => {
            let mut written = part.to_json(of);
            written["count"] = (*count).into();
            written
        }
        _ => part.to_json(of),
    }
}

/// The number of documents in a shard made by [`build_shard`].
pub const DOCUMENTS_PER_SHARD: usize = 120;

/// Builds the shard with this number. Every searcher and node builds the same one.
pub fn build_shard(number: u32) -> Shard {
    let documents = generate_documents(u64::from(number), DOCUMENTS_PER_SHARD);
    Shard::new(
        documents
            .into_iter()
            .map(|document| Document { id: format!("{}-{}", number, document.id), ..document })
            .collect(),
    )
}

/// A frame handler whose parts carry the query API: it answers a search from the part's shard, and confirms
/// an edit.
pub fn answer_searches(letter: u8, rest: &str) -> Option<Vec<u8>> {
    answer_with(letter, rest, |_| AnswerMode::Valid)
}

/// Like [`answer_searches`], but ignores which shard is requested, so that no answer to a search is valid.
pub fn answer_for_all_shards(letter: u8, rest: &str) -> Option<Vec<u8>> {
    answer_with(letter, rest, |_| AnswerMode::AllShards)
}

/// Like [`answer_searches`], but shards with odd numbers fail.
pub fn fail_odd_shards(letter: u8, rest: &str) -> Option<Vec<u8>> {
    answer_with(
        letter,
        rest,
        |shard| if shard % 2 == 1 { AnswerMode::ShardFailed } else { AnswerMode::Valid },
    )
}

fn answer_with(letter: u8, rest: &str, mode: impl Fn(u32) -> AnswerMode) -> Option<Vec<u8>> {
    if letter != b'm' {
        return Some(Vec::new());
    }
    let mut answers = Vec::new();
    let mut rest = rest;
    while let Some((head, after)) = rest.split_once('\n') {
        let words: Vec<&str> = head.split(' ').collect();
        let [id, number, _, length] = words[..] else { return None };
        let (text, behind) = after.split_at(length.parse().ok()?);
        rest = behind;
        let value = match Search::parse(text.as_bytes()) {
            Ok(search) => build_shard(number.parse().ok()?).body("cues", &search, mode(number.parse().ok()?)),
            Err(_) => b"saved".to_vec(),
        };
        let value = String::from_utf8(value).ok()?;
        answers.extend(crate::searcher::frame(b'q', &format!("{id} good 1 -\n{value}")));
    }
    Some(answers)
}
