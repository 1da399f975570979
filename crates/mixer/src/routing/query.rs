//! Turns requests of the query API into the same scans as the platform's own, and their results into
//! responses. All routing decisions (which searcher, retries, load shedding) are made by the decision module.

use super::host::OpenScan;
use super::{QueryWork, Reply};
use crate::protocol::frames::NodeRequest;
use crate::protocol::scans::{RequestError, ScanPart, ScanRequest};
use fernglade::{Idempotency, Moment, RelayOutcome, TrafficType};
use fernglade_dialect::endpoint::MultiSearchItems;
use fernglade_dialect::merge::Merger;
use fernglade_dialect::request::{edit_response, index_not_found, Edit, Operation, Request};
use fernglade_dialect::response::{
    count_response, failed_error, rejected_error, search_response, FailureReason, ShardSummary,
};
use fernglade_dialect::search::Search;
use fernglade_dialect::shard_request::shard_request;
use fernglade_dialect::shard_response::ShardResponse as NodeReply;
use fernglade_dialect::{ApiError, ErrorKind};
use fernglade_orders::{Dialect, Index};
use std::collections::BTreeMap;
use std::rc::Rc;

/// What an open scan of the query API does.
enum OpenOperation {
    /// A search without its query, which was passed on and may be long.
    Search { index: String, search: Search },
    /// A count, in the same form.
    Count { index: String, search: Search },
    /// An edit of one document.
    Edit { index: String, id: String, path_segment: &'static str, body: Rc<str> },
}

/// What is kept of a request while its scan is open: what its response needs.
pub struct QueryContext {
    operation: OpenOperation,
    opaque_id: Option<String>,
    /// Whether a response from only some of the shards is allowed.
    allow_partial: bool,
    /// Whether the request must not run twice.
    not_repeatable: bool,
    started_at: Moment,
}

/// Limit on the total size of the responses within one multi-search response, a few full ones.
const MAX_MULTI_SEARCH_BYTES: usize = 1024 * 1024;

/// Searches of one request that are answered without a scan before other events are processed.
const MAX_LOCAL_SEARCHES_IN_A_TURN: usize = 8;

/// What a request with several searches does next.
pub enum NextSearch {
    /// Its next search becomes a scan.
    Search(Box<Request>),
    /// It goes on once other events were processed.
    LaterTurn,
    /// All of its searches are answered.
    Answered,
}

/// A request with several searches. Each becomes a scan of its own, one after another; an invalid search
/// doesn't affect the others.
pub struct MultiSearch {
    index: Option<String>,
    searches: MultiSearchItems,
    /// The responses so far, as text: parsed they would take many times their length.
    answers: Vec<String>,
    response_bytes: usize,
    opaque_id: Option<String>,
    started_at: Moment,
    work: QueryWork,
    /// Searches that were answered without a scan in this turn.
    local_in_turn: usize,
}

impl MultiSearch {
    /// Creates a multi-search; `index` is the default for searches that name none.
    pub fn new(
        index: Option<String>,
        searches: MultiSearchItems,
        opaque_id: Option<String>,
        started_at: Moment,
    ) -> Self {
        let work = QueryWork::default();
        Self {
            index,
            searches,
            answers: Vec::new(),
            response_bytes: 0,
            opaque_id,
            started_at,
            work,
            local_in_turn: 0,
        }
    }

    /// The next valid search; errors are recorded for the invalid ones before it. Without `has_memory` for further
    /// responses, they are recorded for all.
    pub fn next(&mut self, has_memory: bool) -> NextSearch {
        loop {
            if self.local_in_turn >= MAX_LOCAL_SEARCHES_IN_A_TURN {
                self.local_in_turn = 0;
                return NextSearch::LaterTurn;
            }
            let Some((index, search)) = self.searches.next() else { return NextSearch::Answered };
            let index = index.or_else(|| self.index.clone());
            let index = index.ok_or_else(|| ApiError::illegal_argument("index is missing"));
            let too_large =
                || ApiError::new(ErrorKind::TooLarge, "the answers before this one took all the room");
            match index.and_then(|index| Ok((index, search?))) {
                Ok(_) if self.response_bytes > MAX_MULTI_SEARCH_BYTES || !has_memory => {
                    self.push_local(too_large().body());
                }
                Ok((index, search)) => {
                    let timeout = search.timeout;
                    let what = Operation::Search { index, search };
                    return NextSearch::Search(Box::new(Request {
                        operation: what,
                        preferred_shards: None,
                        allow_partial: None,
                        timeout,
                        opaque_id: None,
                    }));
                }
                Err(fault) => self.push_local(fault.body()),
            }
        }
    }

    fn push_local(&mut self, answer: serde_json::Value) {
        self.note_local();
        self.push(answer);
    }

    fn note_local(&mut self) {
        self.work.local_searches += 1;
        self.local_in_turn += 1;
    }

    fn push(&mut self, answer: serde_json::Value) {
        self.answers.push(answer.to_string());
    }

    /// Records the response to the search that has just ended.
    pub fn record(&mut self, reply: &Reply) {
        let Reply::QueryApi { status, body, work, .. } = reply else { return };
        self.work += *work;
        if work.scans == 0 {
            self.note_local();
        }
        self.response_bytes += body.len();
        let mut answer: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        answer["status"] = (*status).into();
        self.push(answer);
    }

    /// The response to the whole request.
    pub fn reply(self, now: Moment) -> Reply {
        let took = now.since(self.started_at).micros() / 1000;
        let body = format!("{{\"responses\":[{}],\"took\":{took}}}", self.answers.join(","));
        Reply::QueryApi {
            status: 200,
            body,
            retry_after: fernglade::Span::ZERO,
            opaque_id: self.opaque_id,
            work: self.work,
        }
    }
}

/// The indices that the operator configured, checked against the deployment's settings.
pub struct Indices {
    all: BTreeMap<String, Index>,
    shards: u32,
    /// Makes scan names unique, together with a counter: it differs between mixers and between restarts of
    /// one mixer.
    nonce: u64,
    count: u64,
}

impl Indices {
    /// Checks that every index refers to known traffic types and customers.
    pub fn new(
        dialect: &Dialect,
        types: &[(String, TrafficType)],
        customers: &[String],
        shards: u32,
        nonce: u64,
    ) -> Result<Self, String> {
        for (name, index) in &dialect.indices {
            let invalid = |what: String| Err(format!("dialect.indices.{name}: {what}"));
            let kind =
                |wanted: &String| types.iter().find(|(known, _)| known == wanted).map(|(_, kind)| kind);
            let Some(searches) = kind(&index.searches) else {
                return invalid(format!("searches: unknown traffic type {}", index.searches));
            };
            if searches.idempotency != Idempotency::Idempotent {
                return invalid(format!(
                    "searches: traffic type {} is not safe to repeat, but searches may be repeated",
                    index.searches
                ));
            }
            match index.edits.as_ref().map(|edits| (edits, kind(edits))) {
                Some((edits, None)) => return invalid(format!("edits: unknown traffic type {edits}")),
                Some((edits, Some(kind))) if kind.idempotency == Idempotency::Idempotent => {
                    return invalid(format!(
                        "edits: traffic type {edits} may be repeated freely, but edits must not be"
                    ));
                }
                _ => {}
            }
            if !customers.is_empty() && !customers.contains(&index.customer) {
                return invalid(format!("customer: unknown customer {}", index.customer));
            }
            if types.iter().any(|(known, _)| known == name) {
                return invalid("the name is already used by a traffic type".into());
            }
        }
        Ok(Self { all: dialect.indices.clone(), shards, nonce, count: 0 })
    }

    /// Translates a request into a scan, and keeps what the response needs.
    pub fn build_scan(
        &mut self,
        request: Request,
        types: &[(String, TrafficType)],
        now: Moment,
    ) -> Result<(ScanRequest, QueryContext), ApiError> {
        let Request { operation, preferred_shards, allow_partial, timeout, opaque_id } = request;
        let name = operation.index().unwrap_or_default();
        let index = self.all.get(name).ok_or_else(|| index_not_found(name))?;
        let scan = self.translate(index, operation, preferred_shards)?;
        let Some((_, kind)) = types.iter().find(|(known, _)| *known == scan.traffic_type) else {
            return Err(index_not_found(&scan.traffic_type));
        };
        if matches!(kind.idempotency, Idempotency::ByKey(_)) && scan.idempotency_key.is_none() {
            return Err(ApiError::illegal_argument("an edit of this index needs an Idempotency-Key"));
        }
        if scan.shards.is_empty() {
            return Err(ApiError::illegal_argument("no shards are asked for"));
        }
        let weight = 1.0 / scan.shards.len() as f64;
        let scan_request = ScanRequest {
            request_id: format!("q{:x}-{}", self.nonce, self.count + 1),
            traffic_type: scan.traffic_type,
            customer: index.customer.clone(),
            time_left: timeout.map_or(kind.client_timeout, |timeout| timeout.min(kind.client_timeout)),
            is_retry: false,
            idempotency_key: scan.idempotency_key,
            text: scan.text,
            parts: scan.shards.into_iter().map(|shard| ScanPart { shard, weight, work: None }).collect(),
        };
        let context = QueryContext {
            operation: scan.operation,
            opaque_id,
            // Both the index and the request have to allow it.
            allow_partial: index.partial && allow_partial != Some(false),
            not_repeatable: kind.idempotency != Idempotency::Idempotent,
            started_at: now,
        };
        self.count += 1;
        Ok((scan_request, context))
    }

    /// Translates an operation into what is sent to searchers, and what is kept.
    fn translate(
        &self,
        index: &Index,
        operation: Operation,
        preferred_shards: Option<Vec<u32>>,
    ) -> Result<TranslatedScan, ApiError> {
        match operation {
            Operation::Edit { index: name, edit } => self.translate_edit(index, name, edit),
            Operation::Search { index: name, search } => {
                let keep = |index, search| OpenOperation::Search { index, search };
                Ok(self.translate_search(index, name, search, preferred_shards, keep))
            }
            Operation::Count { index: name, search } => {
                let keep = |index, search| OpenOperation::Count { index, search };
                Ok(self.translate_search(index, name, search, preferred_shards, keep))
            }
            other => Err(index_not_found(other.index().unwrap_or_default())),
        }
    }

    fn translate_edit(&self, index: &Index, name: String, edit: Edit) -> Result<TranslatedScan, ApiError> {
        let Some(edits) = &index.edits else {
            return Err(ApiError::illegal_argument(format!("[{name}] takes no edits")));
        };
        let shards = vec![edit.shard(self.shards)];
        let Edit { id, payload, path_segment, body, idempotency_key, routing: _ } = edit;
        Ok(TranslatedScan {
            traffic_type: edits.clone(),
            shards,
            text: payload,
            idempotency_key,
            operation: OpenOperation::Edit { index: name, id, path_segment, body: body.into() },
        })
    }

    fn translate_search(
        &self,
        index: &Index,
        name: String,
        search: Search,
        preferred_shards: Option<Vec<u32>>,
        keep: impl Fn(String, Search) -> OpenOperation,
    ) -> TranslatedScan {
        TranslatedScan {
            traffic_type: index.searches.clone(),
            shards: preferred_shards.unwrap_or_else(|| (0..self.shards).collect()),
            text: node_query_body(&name, &search),
            idempotency_key: None,
            operation: keep(name, search.without_query()),
        }
    }
}

/// An operation as it is sent to searchers, and what is kept of it.
struct TranslatedScan {
    traffic_type: String,
    shards: Vec<u32>,
    text: String,
    idempotency_key: Option<String>,
    operation: OpenOperation,
}

/// The request body for the nodes. The timeout is sent with each part, so it isn't included here.
fn node_query_body(index: &str, search: &Search) -> String {
    let (_, body) = shard_request(index, search, 0, fernglade::Span::ZERO);
    String::from_utf8(body).unwrap_or_default()
}

/// Translates a request error of the platform into one of the query API.
pub fn fault_from_request_error(error: RequestError) -> ApiError {
    match error {
        RequestError::Dialect(fault) => fault,
        RequestError::Invalid(what) => ApiError::illegal_argument(what),
        other => ApiError::illegal_argument(format!("{other:?}")),
    }
}

impl QueryContext {
    /// Whether this is an edit, which must reach one searcher at most.
    pub fn is_edit(&self) -> bool {
        matches!(self.operation, OpenOperation::Edit { .. })
    }

    /// Whether a shard's response is valid. A response that can only be parsed in part fails its part.
    pub fn accepts(&self, value: &str) -> bool {
        match &self.operation {
            OpenOperation::Search { index, search } | OpenOperation::Count { index, search } => {
                let found = NodeReply::parse(200, value.as_bytes(), index, &node_search(search));
                found.relay_outcome() == RelayOutcome::Succeeded
            }
            OpenOperation::Edit { .. } => true,
        }
    }

    /// Like [`Self::accepts`], for the response of a query API node, which includes edits.
    pub fn accepts_from_node(&self, value: &str) -> bool {
        match &self.operation {
            OpenOperation::Edit { id, .. } => {
                fernglade_dialect::shard_response::confirms_edit(value.as_bytes(), id)
            }
            _ => self.accepts(value),
        }
    }

    /// The request to a query API node; `text` is what searchers of the platform's own protocol receive.
    pub fn node_request(&self, text: &Rc<str>) -> NodeRequest {
        match &self.operation {
            OpenOperation::Edit { index, id, path_segment, body } => {
                let path = format!("/{index}/{path_segment}/{}", percent_encode(id));
                NodeRequest { path, body: body.clone(), is_search: false }
            }
            OpenOperation::Search { index, .. } | OpenOperation::Count { index, .. } => {
                NodeRequest { path: format!("/{index}/_search"), body: text.clone(), is_search: true }
            }
        }
    }

    /// The client's X-Opaque-Id.
    pub fn opaque_id(&self) -> Option<String> {
        self.opaque_id.clone()
    }

    /// Builds the response from the values received, or the error if they aren't enough.
    pub fn answer(&self, open: &OpenScan, now: Moment) -> Result<serde_json::Value, ApiError> {
        let (index, search) = match &self.operation {
            OpenOperation::Edit { index, id, .. } => return Ok(edit_response(index, id)),
            OpenOperation::Search { index, search } | OpenOperation::Count { index, search } => {
                (index, search)
            }
        };
        let mut merge = Merger::new(search);
        let mut shards = ShardSummary { total: open.parts.len(), failures: Vec::new() };
        for ((shard, value), last_failure) in open.parts.iter().zip(&open.last_failures) {
            let reply = value
                .as_ref()
                .map(|value| NodeReply::parse(200, value.as_bytes(), index, &node_search(search)));
            let taken = match reply {
                Some(NodeReply::Found(found)) => merge.add_shard(*shard, found),
                _ => false,
            };
            if !taken {
                shards.failures.push((*shard, missing_reason(*last_failure)));
            }
        }
        if !shards.all_succeeded() && !self.allow_partial {
            return Err(failed_error(false));
        }
        let found_all = merge.finish(shards.all_succeeded());
        Ok(match &self.operation {
            OpenOperation::Count { .. } => count_response(index, found_all.total.unwrap_or(0), &shards),
            _ => search_response(index, search, found_all, &shards, now.since(self.started_at)),
        })
    }

    /// The error for a rejected scan, which may safely be retried.
    pub fn rejection(&self) -> ApiError {
        rejected_error()
    }

    /// The error for a failed scan. Where a second run could do harm, its status is never one that invites a
    /// retry.
    pub fn failure(&self) -> ApiError {
        failed_error(self.not_repeatable)
    }
}

/// Percent-encodes a document id as a path segment.
fn percent_encode(id: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    id.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

/// The search to send to the nodes: all hits up to the end of the requested page.
fn node_search(search: &Search) -> Search {
    Search { from: 0, size: search.window(), timeout: None, ..search.clone() }
}

/// The reason reported for a shard that is missing from the response.
fn missing_reason(last_failure: Option<RelayOutcome>) -> FailureReason {
    match last_failure {
        Some(RelayOutcome::Rejected) => FailureReason::Rejected,
        Some(RelayOutcome::TimedOut | RelayOutcome::Cancelled) => FailureReason::TimedOut,
        None | Some(RelayOutcome::NotSent) => FailureReason::Skipped,
        Some(_) => FailureReason::Failed,
    }
}

/// Builds a response that no scan was needed for.
pub fn reply(
    result: Result<serde_json::Value, ApiError>,
    retry_after: fernglade::Span,
    opaque_id: Option<String>,
) -> Reply {
    encode(result, retry_after, opaque_id, QueryWork::default())
}

/// Builds the response to a scan; the values of so many bytes were merged into it.
pub fn scan_reply(
    context: &QueryContext,
    result: Result<serde_json::Value, ApiError>,
    retry_after: fernglade::Span,
    merged_bytes: usize,
) -> Reply {
    let work = QueryWork { scans: 1, local_searches: 0, merged_bytes };
    encode(result, retry_after, context.opaque_id(), work)
}

fn encode(
    result: Result<serde_json::Value, ApiError>,
    retry_after: fernglade::Span,
    opaque_id: Option<String>,
    work: QueryWork,
) -> Reply {
    let (status, body) = match result {
        Ok(value) => (200, value),
        Err(fault) => (fault.kind.status(), fault.body()),
    };
    Reply::QueryApi { status, body: body.to_string(), retry_after, opaque_id, work }
}
