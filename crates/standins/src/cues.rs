//! A shard of cues with a small index of its own: words to documents, so that scores, totals, the best hits and
//! buckets can be held against one who walks all documents. Planted by a seed.
//!
//! A document's score is how often the words that are asked for stand in it: that does not depend on what else is in the
//! shard, so that many shards' answers can be compared with those of one shard that has all of it.

use fernglade_dialect::aggregation::{Aggregation, BucketKey, PartialAggregation, TermBuckets};
use fernglade_dialect::merge::{Hit, ShardResult};
use fernglade_dialect::query::{tokenize, BoolQuery, Bound, Query};
use fernglade_dialect::search::{Search, SortKey};
use fernglade_dialect::JsonValue;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub struct Cue {
    pub id: String,
    pub fields: Vec<(String, JsonValue)>,
}

/// Few enough to meet often.
const WORDS: [&str; 16] = [
    "hola", "mundo", "noche", "estreno", "serie", "gracias", "adios", "casa", "lluvia", "nunca", "siempre",
    "amor", "ciudad", "viento", "luz", "voz",
];
const LANGUAGES: [&str; 5] = ["es", "en", "pt", "fr", "de"];

/// So many cues, the same for a seed. One in ten has no time.
pub fn planted(seed: u64, count: usize) -> Vec<Cue> {
    let mut chance = Pcg32::seed_from_u64(seed);
    let cue = |number: usize| {
        let length = chance.random_range(1..8);
        let text: Vec<&str> = (0..length).map(|_| WORDS[chance.random_range(0..WORDS.len())]).collect();
        let mut fields = vec![
            ("cue".to_string(), JsonValue::String(text.join(" "))),
            ("lang".into(), JsonValue::String(LANGUAGES[chance.random_range(0..LANGUAGES.len())].into())),
        ];
        if chance.random_range(0..10) > 0 {
            fields.push(("at".into(), JsonValue::Integer(chance.random_range(0..1_000))));
        }
        Cue { id: format!("c{number}"), fields }
    };
    (0..count).map(cue).collect()
}

/// One shard: its documents, and by field and word which of them have it how often.
#[derive(Default)]
pub struct Shard {
    cues: Vec<Cue>,
    postings: BTreeMap<(String, String), BTreeMap<usize, u32>>,
}

impl Shard {
    pub fn new(cues: Vec<Cue>) -> Self {
        let mut postings: BTreeMap<(String, String), BTreeMap<usize, u32>> = BTreeMap::new();
        for (at, cue) in cues.iter().enumerate() {
            for (field, value) in &cue.fields {
                let JsonValue::String(text) = value else { continue };
                for word in tokenize(text) {
                    *postings.entry((field.clone(), word)).or_default().entry(at).or_default() += 1;
                }
            }
        }
        Self { cues, postings }
    }

    fn value(&self, at: usize, field: &str) -> Option<&JsonValue> {
        self.cues[at].fields.iter().find(|(name, _)| name == field).map(|(_, value)| value)
    }

    /// The documents that a query finds, each with its score.
    fn found(&self, query: &Query) -> BTreeMap<usize, f64> {
        let all = || 0..self.cues.len();
        let those = |fits: &dyn Fn(usize) -> bool| all().filter(|at| fits(*at)).map(|at| (at, 1.0)).collect();
        match query {
            Query::MatchAll => those(&|_| true),
            Query::Match { field, terms, require_all } => self.matching(field, terms, *require_all),
            Query::Terms { field, values } => those(&|at| {
                self.value(at, field).is_some_and(|value| values.iter().any(|one| alike(one, value)))
            }),
            Query::Range { field, lower, upper } => those(&|at| {
                self.value(at, field).is_some_and(|value| {
                    within(value, lower.as_ref(), Ordering::Greater)
                        && within(value, upper.as_ref(), Ordering::Less)
                })
            }),
            Query::Ids(ids) => those(&|at| ids.contains(&self.cues[at].id)),
            Query::Bool(clauses) => self.both(clauses),
        }
    }

    fn matching(&self, field: &str, words: &[String], every: bool) -> BTreeMap<usize, f64> {
        let asked: BTreeSet<&String> = words.iter().collect();
        let mut found: BTreeMap<usize, (usize, f64)> = BTreeMap::new();
        for word in &asked {
            let has = self.postings.get(&(field.to_string(), (*word).clone()));
            for (at, count) in has.into_iter().flatten() {
                let (words, score) = found.entry(*at).or_default();
                (*words, *score) = (*words + 1, *score + f64::from(*count));
            }
        }
        let least = if every { asked.len() } else { 1 };
        found
            .into_iter()
            .filter(|(_, (words, _))| *words >= least)
            .map(|(at, (_, score))| (at, score))
            .collect()
    }

    fn both(&self, clauses: &BoolQuery) -> BTreeMap<usize, f64> {
        let find = |queries: &[Query]| queries.iter().map(|query| self.found(query)).collect::<Vec<_>>();
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
        (0..self.cues.len()).filter_map(|at| Some((at, score(at)?))).collect()
    }

    /// What a node gives for this shard.
    pub fn search(&self, search: &Search) -> ShardResult {
        let found = self.found(&search.query);
        let hit = |(at, score): (&usize, &f64)| {
            let sort = match &search.sort.key {
                SortKey::Score => None,
                SortKey::Field(field) => self.value(*at, field).cloned(),
            };
            let source = JsonValue::Object(self.cues[*at].fields.clone());
            Hit { id: self.cues[*at].id.clone(), score: Some(*score), sort, source }
        };
        let mut hits: Vec<Hit> = found.iter().map(hit).collect();
        hits.sort_by(|a, b| before(search, a, b));
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
                let mut told: Vec<(BucketKey, u64)> = counts.into_iter().collect();
                told.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
                let whole = told.len() <= *shard_size;
                let others = told.iter().skip(*shard_size).map(|(_, count)| count).sum();
                told.truncate(*shard_size);
                PartialAggregation::Terms(TermBuckets::from_shard(told, others, whole))
            }
        }
    }
}

fn alike(a: &JsonValue, b: &JsonValue) -> bool {
    match (a.number(), b.number()) {
        (Some(a), Some(b)) => a == b,
        _ => a == b,
    }
}

fn within(value: &JsonValue, edge: Option<&Bound>, side: Ordering) -> bool {
    let Some(edge) = edge else { return true };
    let order = match (value, &edge.value) {
        (JsonValue::String(a), JsonValue::String(b)) => Some(a.cmp(b)),
        (a, b) => a.number().zip(b.number()).map(|(a, b)| a.total_cmp(&b)),
    };
    order.is_some_and(|order| order == side || edge.inclusive && order == Ordering::Equal)
}

/// The order of one shard's hits: as asked for, then by id.
fn before(search: &Search, a: &Hit, b: &Hit) -> Ordering {
    let turn = |order: Ordering| if search.sort.ascending { order } else { order.reverse() };
    let first = match &search.sort.key {
        SortKey::Score => turn(a.score.unwrap_or(0.0).total_cmp(&b.score.unwrap_or(0.0))),
        SortKey::Field(_) => match (&a.sort, &b.sort) {
            (Some(JsonValue::String(a)), Some(JsonValue::String(b))) => turn(a.cmp(b)),
            (Some(a), Some(b)) => turn(a.number().unwrap_or(0.0).total_cmp(&b.number().unwrap_or(0.0))),
            (a, b) => a.is_none().cmp(&b.is_none()),
        },
    };
    first.then_with(|| a.id.cmp(&b.id))
}

/// How a node that speaks the dialect answers, and ways in which one that half understands it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Sound,
    /// Answers for all shards, whichever was preferred.
    AllShards,
    TimedOut,
    ShardFailed,
    /// Its total is lower than what it gives.
    WrongTotal,
    /// Sorts by what it likes.
    Unsorted,
    /// Gives more than it was asked for.
    TooMany,
    /// Hits of another index, or without an id.
    OtherIndex,
    NoIds,
    /// A field from another version.
    UnknownField,
    CutShort,
    /// An error page of something between.
    Page,
    NoAggregations,
}

impl Shard {
    /// A node's answer to a search of this shard: its body.
    pub fn body(&self, index: &str, search: &Search, manner: Manner) -> Vec<u8> {
        use serde_json::json;
        if manner == Manner::Page {
            return b"<html><body>502 Bad Gateway</body></html>".to_vec();
        }
        let asked = if manner == Manner::TooMany {
            Search { size: search.size + 3, ..search.clone() }
        } else {
            search.clone()
        };
        let mut found = self.search(&asked);
        if manner == Manner::Unsorted {
            found.hits.reverse();
        }
        let hit = |hit: &Hit| {
            let index = if manner == Manner::OtherIndex { "others" } else { index };
            let mut written = json!({"_index": index, "_score": hit.score, "_source": hit.source.to_json()});
            if manner != Manner::NoIds {
                written["_id"] = hit.id.as_str().into();
            }
            if search.sort.key != SortKey::Score {
                written["sort"] = json!([hit.sort.as_ref().map(JsonValue::to_json)]);
            }
            written
        };
        let shards = if manner == Manner::AllShards { 5 } else { 1 };
        let failed = u64::from(manner == Manner::ShardFailed);
        let total = if manner == Manner::WrongTotal { 0 } else { found.total };
        let mut body = json!({
            "took": 1,
            "timed_out": manner == Manner::TimedOut,
            "_shards": {"total": shards, "successful": shards - failed, "skipped": 0, "failed": failed},
            "hits": {
                "total": {"value": total, "relation": "eq"},
                "max_score": null,
                "hits": found.hits.iter().map(hit).collect::<Vec<_>>(),
            },
        });
        if manner == Manner::UnknownField {
            body["terminated_early"] = true.into();
        }
        if !search.aggregations.is_empty() && manner != Manner::NoAggregations {
            let of =
                |name: &String| search.aggregations.iter().find(|(asked, _)| asked == name).map(|(_, of)| of);
            let write = |(name, part): &(String, PartialAggregation)| {
                Some((name.clone(), node_part(part, of(name)?)))
            };
            body["aggregations"] = found.aggregations.iter().filter_map(write).collect();
        }
        let mut bytes = body.to_string().into_bytes();
        if manner == Manner::CutShort {
            bytes.truncate(bytes.len() / 2);
        }
        bytes
    }
}

/// A shard's part of an aggregation: of terms, all that it was asked to tell; of an average, also of how many.
fn node_part(part: &PartialAggregation, of: &Aggregation) -> serde_json::Value {
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

/// How many cues a stand-in shard has.
pub const PLANTED: usize = 120;

/// The shard of that number, as every stand-in node has it.
pub fn shard(number: u32) -> Shard {
    let cues = planted(u64::from(number), PLANTED);
    Shard::new(cues.into_iter().map(|cue| Cue { id: format!("{}-{}", number, cue.id), ..cue }).collect())
}

/// A searcher of the platform's frames whose parts are of the query dialect: an edit is saved, a search is answered
/// from its shard.
pub fn cue_node(letter: u8, rest: &str) -> Option<Vec<u8>> {
    answer_as(letter, rest, |_| Manner::Sound)
}

/// One that half understands: it never gives a sound answer.
pub fn half_node(letter: u8, rest: &str) -> Option<Vec<u8>> {
    answer_as(letter, rest, |_| Manner::AllShards)
}

/// One of whose shards the odd ones fail.
pub fn odd_node(letter: u8, rest: &str) -> Option<Vec<u8>> {
    answer_as(letter, rest, |shard| if shard % 2 == 1 { Manner::ShardFailed } else { Manner::Sound })
}

fn answer_as(letter: u8, rest: &str, manner: impl Fn(u32) -> Manner) -> Option<Vec<u8>> {
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
            Ok(search) => shard(number.parse().ok()?).body("cues", &search, manner(number.parse().ok()?)),
            Err(_) => b"saved".to_vec(),
        };
        let value = String::from_utf8(value).ok()?;
        answers.extend(crate::searcher::frame(b'q', &format!("{id} good 1 -\n{value}")));
    }
    Some(answers)
}
