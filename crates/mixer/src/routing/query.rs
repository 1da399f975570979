//! Requests of the query dialect, made into the same scans as the platform's own, and what their clients hear. No
//! decision is made here: which searcher, whether again and what is turned away is the module's.

use super::desk::Open;
use super::Reply;
use crate::protocol::frames::Asked;
use crate::protocol::scans::{Ask, AskedPart, Blame};
use fernglade::{Effect as Redoing, Landing, Moment, TrafficType};
use fernglade_dialect::endpoint::MultiSearchItem;
use fernglade_dialect::merge::Merger;
use fernglade_dialect::request::{index_not_found, Operation, Request};
use fernglade_dialect::response::{
    count_response, failed_error, rejected_error, search_response, FailureReason, ShardSummary,
};
use fernglade_dialect::search::Search;
use fernglade_dialect::shard_request::shard_request;
use fernglade_dialect::shard_response::ShardResponse as NodeReply;
use fernglade_dialect::{ApiError, ErrorKind};
use fernglade_orders::{Dialect, Index};
use std::collections::{BTreeMap, VecDeque};

/// What is kept of a request while its scan is open.
pub struct Held {
    request: Request,
    /// Whether an answer from some of the shards is one.
    partial: bool,
    /// Nothing of it may run twice.
    once: bool,
    began: Moment,
}

/// What all answers of one body may take together: as many as a few full ones.
const MOST_MANY: usize = 1024 * 1024;

/// Searches that one request holds: each is a scan of its own, one after another, and a bad one spoils no other.
pub struct Batch {
    index: Option<String>,
    lines: VecDeque<MultiSearchItem>,
    answers: Vec<serde_json::Value>,
    size: usize,
    opaque: Option<String>,
    began: Moment,
}

impl Batch {
    pub fn new(
        index: Option<String>,
        lines: Vec<MultiSearchItem>,
        opaque: Option<String>,
        began: Moment,
    ) -> Self {
        Self { index, lines: lines.into(), answers: Vec::new(), size: 0, opaque, began }
    }

    /// The next that can be asked; those before it that can't have their answers.
    pub fn next(&mut self) -> Option<Request> {
        while let Some((index, search)) = self.lines.pop_front() {
            let index = index.or_else(|| self.index.clone());
            let index = index.ok_or_else(|| ApiError::illegal_argument("index is missing"));
            let over = || ApiError::new(ErrorKind::TooLarge, "the answers before this one took all the room");
            match index.and_then(|index| Ok((index, search?))) {
                Ok(_) if self.size > MOST_MANY => self.take(over().body()),
                Ok((index, search)) => {
                    let timeout = search.timeout;
                    let what = Operation::Search { index, search };
                    return Some(Request {
                        operation: what,
                        preferred_shards: None,
                        allow_partial: None,
                        timeout,
                        opaque_id: None,
                    });
                }
                Err(fault) => self.take(fault.body()),
            }
        }
        None
    }

    fn take(&mut self, answer: serde_json::Value) {
        self.answers.push(answer);
    }

    /// One of them has ended.
    pub fn ended(&mut self, reply: &Reply) {
        let Reply::Dialect { status, body, .. } = reply else { return };
        self.size += body.len();
        let mut answer: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        answer["status"] = (*status).into();
        self.take(answer);
    }

    pub fn reply(self, now: Moment) -> Reply {
        let took = now.since(self.began).micros() / 1000;
        let all = serde_json::json!({"took": took, "responses": self.answers});
        reply(Ok(all), fernglade::Span::ZERO, self.opaque)
    }
}

/// The indices, checked against the deployment's settings.
pub struct Indices {
    all: BTreeMap<String, Index>,
    shards: u32,
    /// Names its scans, beside a count: no two mixers' are alike, nor those of two lives of one.
    nonce: u64,
    count: u64,
}

impl Indices {
    pub fn new(
        dialect: &Dialect,
        types: &[(String, TrafficType)],
        customers: &[String],
        shards: u32,
        nonce: u64,
    ) -> Result<Self, String> {
        for (name, index) in &dialect.indices {
            let wrong = |what: String| Err(format!("dialect.indices.{name}: {what}"));
            let kind =
                |wanted: &String| types.iter().find(|(known, _)| known == wanted).map(|(_, kind)| kind);
            let Some(searches) = kind(&index.searches) else {
                return wrong(format!("searches: no traffic type {}", index.searches));
            };
            if searches.effect != Redoing::Redoable {
                return wrong(format!("searches: {} may not run again, and searches may", index.searches));
            }
            match index.edits.as_ref().map(|edits| (edits, kind(edits))) {
                Some((edits, None)) => return wrong(format!("edits: no traffic type {edits}")),
                Some((edits, Some(kind))) if kind.effect == Redoing::Redoable => {
                    return wrong(format!("edits: {edits} may run again, and edits may not"));
                }
                _ => {}
            }
            if !customers.is_empty() && !customers.contains(&index.customer) {
                return wrong(format!("customer: no customer {}", index.customer));
            }
            if types.iter().any(|(known, _)| known == name) {
                return wrong("it is named like a traffic type".into());
            }
        }
        Ok(Self { all: dialect.indices.clone(), shards, nonce, count: 0 })
    }

    /// The scan that a request is, and what is kept of it.
    pub fn ask(
        &mut self,
        request: Request,
        types: &[(String, TrafficType)],
        now: Moment,
    ) -> Result<(Ask, Held), ApiError> {
        let name = request.index().unwrap_or_default();
        let index = self.all.get(name).ok_or_else(|| index_not_found(name))?;
        let edits = || {
            index.edits.as_ref().ok_or_else(|| ApiError::illegal_argument(format!("[{name}] takes no edits")))
        };
        let (traffic_type, shards, text, label) = match &request.operation {
            Operation::Edit { edit, .. } => {
                (edits()?, vec![edit.shard(self.shards)], edit.payload.clone(), edit.idempotency_key.clone())
            }
            Operation::Search { search, .. } | Operation::Count { search, .. } => {
                let all = request.preferred_shards.clone().unwrap_or_else(|| (0..self.shards).collect());
                (&index.searches, all, asked_of_nodes(name, search), None)
            }
            _ => return Err(index_not_found(name)),
        };
        let Some((_, kind)) = types.iter().find(|(known, _)| known == traffic_type) else {
            return Err(index_not_found(name));
        };
        if matches!(kind.effect, Redoing::Labelled(_)) && label.is_none() {
            return Err(ApiError::illegal_argument("an edit of this index needs an Idempotency-Key"));
        }
        if shards.is_empty() {
            return Err(ApiError::illegal_argument("no shards are asked for"));
        }
        self.count += 1;
        let weight = 1.0 / shards.len() as f64;
        let ask = Ask {
            name: format!("q{:x}-{}", self.nonce, self.count),
            traffic_type: traffic_type.clone(),
            customer: index.customer.clone(),
            left: request.timeout.map_or(kind.abandon, |timeout| timeout.min(kind.abandon)),
            repeat: false,
            label,
            text,
            parts: shards.into_iter().map(|shard| AskedPart { shard, weight, work: None }).collect(),
        };
        // Both have to allow it.
        let partial = index.partial && request.allow_partial != Some(false);
        Ok((ask, Held { partial, once: kind.effect != Redoing::Redoable, request, began: now }))
    }
}

/// What each shard's node is asked, in its own words; the time left goes with the part, and not in here.
fn asked_of_nodes(index: &str, search: &Search) -> String {
    let (_, body) = shard_request(index, search, 0, fernglade::Span::ZERO);
    String::from_utf8(body).unwrap_or_default()
}

/// What a blame of the platform's side says in the dialect.
pub fn fault_of(blame: Blame) -> ApiError {
    match blame {
        Blame::Dialect(fault) => fault,
        Blame::Request(what) => ApiError::illegal_argument(what),
        other => ApiError::illegal_argument(format!("{other:?}")),
    }
}

impl Held {
    /// Whether a shard's value is one: a node that half understands has failed its part.
    pub fn takes(&self, value: &str) -> bool {
        match &self.request.operation {
            Operation::Search { index, search } | Operation::Count { index, search } => {
                let found = NodeReply::parse(200, value.as_bytes(), index, &given(search));
                found.landing() == Landing::Honoured
            }
            _ => true,
        }
    }

    /// The same for an edit that a node of the dialect answered.
    pub fn takes_from_node(&self, value: &str) -> bool {
        match &self.request.operation {
            Operation::Edit { edit, .. } => {
                fernglade_dialect::shard_response::confirms_edit(value.as_bytes(), &edit.id)
            }
            _ => self.takes(value),
        }
    }

    /// What a node of the dialect is asked.
    pub fn asked(&self, text: &str) -> Option<Asked> {
        match &self.request.operation {
            Operation::Edit { index, edit } => {
                let path = format!("/{index}/{}/{}", edit.path_segment, encoded(&edit.id));
                Some(Asked { path, body: edit.body.clone(), search: false })
            }
            Operation::Search { index, .. } | Operation::Count { index, .. } => {
                Some(Asked { path: format!("/{index}/_search"), body: text.into(), search: true })
            }
            _ => None,
        }
    }

    pub fn opaque(&self) -> Option<String> {
        self.request.opaque_id.clone()
    }

    /// The answer, from the values that are in; or why there is none.
    pub fn answer(&self, open: &Open, now: Moment) -> Result<serde_json::Value, ApiError> {
        let (index, search) = match &self.request.operation {
            Operation::Edit { index, edit } => return Ok(edit.response(index)),
            Operation::Search { index, search } | Operation::Count { index, search } => (index, search),
            _ => return Err(index_not_found("")),
        };
        let mut merge = Merger::new(search);
        let mut shards = ShardSummary { total: open.parts.len(), failures: Vec::new() };
        for ((shard, value), lost) in open.parts.iter().zip(&open.lost) {
            let reply =
                value.as_ref().map(|value| NodeReply::parse(200, value.as_bytes(), index, &given(search)));
            let taken = match reply {
                Some(NodeReply::Found(found)) => merge.add_shard(*shard, found),
                _ => false,
            };
            if !taken {
                shards.failures.push((*shard, missing(*lost)));
            }
        }
        if !shards.all_succeeded() && !self.partial {
            return Err(failed_error(false));
        }
        let found_all = merge.finish(shards.all_succeeded());
        Ok(match &self.request.operation {
            Operation::Count { .. } => count_response(index, found_all.total.unwrap_or(0), &shards),
            _ => search_response(index, search, found_all, &shards, now.since(self.began)),
        })
    }

    pub fn bounce(&self) -> ApiError {
        rejected_error()
    }

    /// No promise: where a second run may do harm it is never a status that asks for one.
    pub fn write_off(&self) -> ApiError {
        failed_error(self.once)
    }
}

/// An id as a step of a path.
fn encoded(id: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    id.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

/// A search as nodes are asked it: the first page up to the end of the one that is wanted.
fn given(search: &Search) -> Search {
    Search { from: 0, size: search.window(), timeout: None, ..search.clone() }
}

fn missing(lost: Option<Landing>) -> FailureReason {
    match lost {
        Some(Landing::TurnedAway) => FailureReason::Rejected,
        Some(Landing::Silent | Landing::CalledOff) => FailureReason::TimedOut,
        None | Some(Landing::Unsent) => FailureReason::Skipped,
        Some(_) => FailureReason::Failed,
    }
}

/// A reply in the dialect.
pub fn reply(
    result: Result<serde_json::Value, ApiError>,
    pause: fernglade::Span,
    opaque: Option<String>,
) -> Reply {
    let (status, body) = match result {
        Ok(value) => (200, value),
        Err(fault) => (fault.kind.status(), fault.body()),
    };
    Reply::Dialect { status, body: body.to_string(), pause, opaque }
}
