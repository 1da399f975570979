//! A shard of cues with a small index of its own: words to documents, so that scores, totals, the best hits and
//! buckets can be held against one who walks all documents. Planted by a seed.
//!
//! A document's score is how often the words that are asked for stand in it: that does not depend on what else is in the
//! shard, so that many shards' answers can be compared with those of one shard that has all of it.

use fernglade_dialect::aggregation::{Aggregation, Buckets, Key, Partial};
use fernglade_dialect::merge::{Hit, ShardFound};
use fernglade_dialect::query::{words, Clauses, Edge, Query};
use fernglade_dialect::search::{By, Search};
use fernglade_dialect::Node;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    pub id: String,
    pub fields: Vec<(String, Node)>,
}

/// Few enough to meet often.
const WORDS: [&str; 16] = [
    "hola", "mundo", "noche", "estreno", "serie", "gracias", "adios", "casa", "lluvia", "nunca", "siempre",
    "amor", "ciudad", "viento", "luz", "voz",
];
const LANGUAGES: [&str; 5] = ["es", "en", "pt", "fr", "de"];

/// So many cues, the same for a seed. One in ten has no time.
pub fn generate_documents(seed: u64, count: usize) -> Vec<Document> {
    let mut chance = Pcg32::seed_from_u64(seed);
    let cue = |number: usize| {
        let length = chance.random_range(1..8);
        let text: Vec<&str> = (0..length).map(|_| WORDS[chance.random_range(0..WORDS.len())]).collect();
        let mut fields = vec![
            ("cue".to_string(), Node::Text(text.join(" "))),
            ("lang".into(), Node::Text(LANGUAGES[chance.random_range(0..LANGUAGES.len())].into())),
        ];
        if chance.random_range(0..10) > 0 {
            fields.push(("at".into(), Node::Whole(chance.random_range(0..1_000))));
        }
        Document { id: format!("c{number}"), fields }
    };
    (0..count).map(cue).collect()
}

/// One shard: its documents, and by field and word which of them have it how often.
#[derive(Default)]
pub struct Shard {
    cues: Vec<Document>,
    postings: BTreeMap<(String, String), BTreeMap<usize, u32>>,
}

impl Shard {
    pub fn new(cues: Vec<Document>) -> Self {
        let mut postings: BTreeMap<(String, String), BTreeMap<usize, u32>> = BTreeMap::new();
        for (at, cue) in cues.iter().enumerate() {
            for (field, value) in &cue.fields {
                let Node::Text(text) = value else { continue };
                for word in words(text) {
                    *postings.entry((field.clone(), word)).or_default().entry(at).or_default() += 1;
                }
            }
        }
        Self { cues, postings }
    }

    fn value(&self, at: usize, field: &str) -> Option<&Node> {
        self.cues[at].fields.iter().find(|(name, _)| name == field).map(|(_, value)| value)
    }

    /// The documents that a query finds, each with its score.
    fn found(&self, query: &Query) -> BTreeMap<usize, f64> {
        let all = || 0..self.cues.len();
        let those = |fits: &dyn Fn(usize) -> bool| all().filter(|at| fits(*at)).map(|at| (at, 1.0)).collect();
        match query {
            Query::All => those(&|_| true),
            Query::Match { field, words, every } => self.matching(field, words, *every),
            Query::Terms { field, values } => those(&|at| {
                self.value(at, field).is_some_and(|value| values.iter().any(|one| alike(one, value)))
            }),
            Query::Range { field, above, below } => those(&|at| {
                self.value(at, field).is_some_and(|value| {
                    within(value, above.as_ref(), Ordering::Greater)
                        && within(value, below.as_ref(), Ordering::Less)
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

    fn both(&self, clauses: &Clauses) -> BTreeMap<usize, f64> {
        let find = |queries: &[Query]| queries.iter().map(|query| self.found(query)).collect::<Vec<_>>();
        let (must, filter) = (find(&clauses.must), find(&clauses.filter));
        let (should, must_not) = (find(&clauses.should), find(&clauses.must_not));
        let score = |at: usize| {
            let any = should.iter().filter(|found| found.contains_key(&at)).count();
            let holds = must.iter().chain(&filter).all(|found| found.contains_key(&at))
                && !must_not.iter().any(|found| found.contains_key(&at))
                && any >= clauses.least;
            let sum = || must.iter().chain(&should).filter_map(|found| found.get(&at)).sum::<f64>();
            holds.then(sum)
        };
        (0..self.cues.len()).filter_map(|at| Some((at, score(at)?))).collect()
    }

    /// What a node gives for this shard.
    pub fn search(&self, search: &Search) -> ShardFound {
        let found = self.found(&search.query);
        let hit = |(at, score): (&usize, &f64)| {
            let sort = match &search.order.by {
                By::Score => None,
                By::Field(field) => self.value(*at, field).cloned(),
            };
            let source = Node::Object(self.cues[*at].fields.clone());
            Hit { id: self.cues[*at].id.clone(), score: Some(*score), sort, source }
        };
        let mut hits: Vec<Hit> = found.iter().map(hit).collect();
        hits.sort_by(|a, b| before(search, a, b));
        hits.truncate(search.window());
        let part = |(name, of): &(String, Aggregation)| (name.clone(), self.part(of, found.keys().copied()));
        let aggregations = search.aggregations.iter().map(part).collect();
        ShardFound { hits, total: found.len() as u64, at_least: false, aggregations }
    }

    fn part(&self, of: &Aggregation, among: impl Iterator<Item = usize>) -> Partial {
        let values = |field: &str, among: &mut dyn Iterator<Item = usize>| -> Vec<Node> {
            among.filter_map(|at| self.value(at, field).cloned()).collect()
        };
        let mut among = among;
        let numbers = |field: &str, among: &mut dyn Iterator<Item = usize>| -> Vec<f64> {
            values(field, among).iter().filter_map(Node::number).collect()
        };
        match of {
            Aggregation::Count(field) => Partial::Count(values(field, &mut among).len() as u64),
            Aggregation::Least(field) => {
                Partial::Least(numbers(field, &mut among).into_iter().reduce(f64::min))
            }
            Aggregation::Most(field) => {
                Partial::Most(numbers(field, &mut among).into_iter().reduce(f64::max))
            }
            Aggregation::Sum(field) => Partial::Sum(numbers(field, &mut among).iter().sum()),
            Aggregation::Average(field) => {
                let numbers = numbers(field, &mut among);
                Partial::Average { sum: numbers.iter().sum(), count: numbers.len() as u64 }
            }
            Aggregation::Terms { field, shard_size, .. } => {
                let mut counts: BTreeMap<Key, u64> = BTreeMap::new();
                for value in values(field, &mut among) {
                    match value {
                        Node::Text(text) => *counts.entry(Key::Text(text)).or_default() += 1,
                        Node::Whole(whole) => *counts.entry(Key::Whole(whole)).or_default() += 1,
                        _ => {}
                    }
                }
                let mut told: Vec<(Key, u64)> = counts.into_iter().collect();
                told.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
                let whole = told.len() <= *shard_size;
                let others = told.iter().skip(*shard_size).map(|(_, count)| count).sum();
                told.truncate(*shard_size);
                Partial::Terms(Buckets::of_shard(told, others, whole))
            }
        }
    }
}

fn alike(a: &Node, b: &Node) -> bool {
    match (a.number(), b.number()) {
        (Some(a), Some(b)) => a == b,
        _ => a == b,
    }
}

fn within(value: &Node, edge: Option<&Edge>, side: Ordering) -> bool {
    let Some(edge) = edge else { return true };
    let order = match (value, &edge.value) {
        (Node::Text(a), Node::Text(b)) => Some(a.cmp(b)),
        (a, b) => a.number().zip(b.number()).map(|(a, b)| a.total_cmp(&b)),
    };
    order.is_some_and(|order| order == side || edge.inclusive && order == Ordering::Equal)
}

/// The order of one shard's hits: as asked for, then by id.
fn before(search: &Search, a: &Hit, b: &Hit) -> Ordering {
    let turn = |order: Ordering| if search.order.rising { order } else { order.reverse() };
    let first = match &search.order.by {
        By::Score => turn(a.score.unwrap_or(0.0).total_cmp(&b.score.unwrap_or(0.0))),
        By::Field(_) => match (&a.sort, &b.sort) {
            (Some(Node::Text(a)), Some(Node::Text(b))) => turn(a.cmp(b)),
            (Some(a), Some(b)) => turn(a.number().unwrap_or(0.0).total_cmp(&b.number().unwrap_or(0.0))),
            (a, b) => a.is_none().cmp(&b.is_none()),
        },
    };
    first.then_with(|| a.id.cmp(&b.id))
}

/// How a node that speaks the dialect answers, and ways in which one that half understands it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerMode {
    Valid,
    /// Answers for all shards, whichever was preferred.
    AllShards,
    TimedOut,
    ShardFailed,
    /// Its total is lower than what it gives.
    WrongTotal,
    /// Sorts by what it likes.
    Unsorted,
    /// Gives more than it was asked for.
    TooManyHits,
    /// Hits of another index, or without an id.
    WrongIndex,
    MissingIds,
    /// A field from another version.
    UnknownField,
    Truncated,
    /// An error page of something between.
    ErrorPage,
    MissingAggregations,
}

impl Shard {
    /// A node's answer to a search of this shard: its body.
    pub fn body(&self, index: &str, search: &Search, manner: AnswerMode) -> Vec<u8> {
        use serde_json::json;
        if manner == AnswerMode::ErrorPage {
            return b"<html><body>502 Bad Gateway</body></html>".to_vec();
        }
        let asked = if manner == AnswerMode::TooManyHits {
            Search { size: search.size + 3, ..search.clone() }
        } else {
            search.clone()
        };
        let mut found = self.search(&asked);
        if manner == AnswerMode::Unsorted {
            found.hits.reverse();
        }
        let hit = |hit: &Hit| {
            let index = if manner == AnswerMode::WrongIndex { "others" } else { index };
            let mut written = json!({"_index": index, "_score": hit.score, "_source": hit.source.write()});
            if manner != AnswerMode::MissingIds {
                written["_id"] = hit.id.as_str().into();
            }
            if search.order.by != By::Score {
                written["sort"] = json!([hit.sort.as_ref().map(Node::write)]);
            }
            written
        };
        let shards = if manner == AnswerMode::AllShards { 5 } else { 1 };
        let failed = u64::from(manner == AnswerMode::ShardFailed);
        let total = if manner == AnswerMode::WrongTotal { 0 } else { found.total };
        let mut body = json!({
            "took": 1,
            "timed_out": manner == AnswerMode::TimedOut,
            "_shards": {"total": shards, "successful": shards - failed, "skipped": 0, "failed": failed},
            "hits": {
                "total": {"value": total, "relation": "eq"},
                "max_score": null,
                "hits": found.hits.iter().map(hit).collect::<Vec<_>>(),
            },
        });
        if manner == AnswerMode::UnknownField {
            body["terminated_early"] = true.into();
        }
        if !search.aggregations.is_empty() && manner != AnswerMode::MissingAggregations {
            let of =
                |name: &String| search.aggregations.iter().find(|(asked, _)| asked == name).map(|(_, of)| of);
            let write = |(name, part): &(String, Partial)| Some((name.clone(), node_part(part, of(name)?)));
            body["aggregations"] = found.aggregations.iter().filter_map(write).collect();
        }
        let mut bytes = body.to_string().into_bytes();
        if manner == AnswerMode::Truncated {
            bytes.truncate(bytes.len() / 2);
        }
        bytes
    }
}

/// A shard's part of an aggregation: of terms, all that it was asked to tell; of an average, also of how many.
fn node_part(part: &Partial, of: &Aggregation) -> serde_json::Value {
    match (part, of) {
        (Partial::Terms(_), Aggregation::Terms { field, shard_size, .. }) => {
            let all = Aggregation::Terms { field: field.clone(), size: *shard_size, shard_size: *shard_size };
            part.write(&all)
        }
        (Partial::Average { count, .. }, _) => {
            let mut written = part.write(of);
            written["count"] = (*count).into();
            written
        }
        _ => part.write(of),
    }
}

/// How many cues a stand-in shard has.
pub const DOCUMENTS_PER_SHARD: usize = 120;

/// The shard of that number, as every stand-in node has it.
pub fn build_shard(number: u32) -> Shard {
    let cues = generate_documents(u64::from(number), DOCUMENTS_PER_SHARD);
    Shard::new(cues.into_iter().map(|cue| Document { id: format!("{}-{}", number, cue.id), ..cue }).collect())
}

/// A searcher of the platform's frames whose parts are of the query dialect: an edit is saved, a search is answered
/// from its shard.
pub fn answer_searches(letter: u8, rest: &str) -> Option<Vec<u8>> {
    answer_as(letter, rest, |_| AnswerMode::Valid)
}

/// One that half understands: it never gives a sound answer.
pub fn answer_for_all_shards(letter: u8, rest: &str) -> Option<Vec<u8>> {
    answer_as(letter, rest, |_| AnswerMode::AllShards)
}

/// One of whose shards the odd ones fail.
pub fn fail_odd_shards(letter: u8, rest: &str) -> Option<Vec<u8>> {
    answer_as(letter, rest, |shard| if shard % 2 == 1 { AnswerMode::ShardFailed } else { AnswerMode::Valid })
}

fn answer_as(letter: u8, rest: &str, manner: impl Fn(u32) -> AnswerMode) -> Option<Vec<u8>> {
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
        let value = match Search::read(text.as_bytes()) {
            Ok(search) => {
                build_shard(number.parse().ok()?).body("cues", &search, manner(number.parse().ok()?))
            }
            Err(_) => b"saved".to_vec(),
        };
        let value = String::from_utf8(value).ok()?;
        answers.extend(crate::searcher::frame(b'q', &format!("{id} good 1 -\n{value}")));
    }
    Some(answers)
}
