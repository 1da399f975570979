//! Parses a complete client request from its method, target, headers and body.

use crate::endpoint::{parse_target, preferred_shards, Endpoint, MultiSearchItems, Parameters};
use crate::error::{ApiError, ErrorKind};
use crate::query::reject_unknown_fields;
use crate::search::{Search, TrackTotalHits};
use crate::JsonValue;
use fernglade::Span;
use serde_json::json;

/// A validated client request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub operation: Operation,
    /// The shards named by `preference`, if any.
    pub preferred_shards: Option<Vec<u32>>,
    /// Whether the client accepts partial results; `None` leaves it to the index's setting.
    pub allow_partial: Option<bool>,
    pub timeout: Option<Span>,
    /// The `X-Opaque-Id` header, returned unchanged in the response.
    pub opaque_id: Option<String>,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Name and version of the service.
    Root,
    /// Cluster health.
    Health,
    /// The list of searchers; lines of text unless `json`.
    CatNodes { json: bool },
    /// The list of shards; lines of text unless `json`.
    CatShards { json: bool },
    /// Searches that run one after another; `index` is the default for those that name none.
    MultiSearch { index: Option<String>, searches: MultiSearchItems },
    /// A search of one index.
    Search { index: String, search: Search },
    /// A count, represented as a search without hits.
    Count { index: String, search: Search },
    /// A write of one document.
    Edit { index: String, edit: Edit },
}

/// An update or replacement of one document.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The document id.
    pub id: String,
    /// The routing value that selects the shard: the `routing` parameter or else the id.
    pub routing: String,
    /// The payload of a part that goes to a searcher in the platform's frame protocol.
    pub payload: String,
    /// The path segment, `_doc` or `_update`, of the request to a node that speaks the query API.
    pub path_segment: &'static str,
    /// The body of that request.
    pub body: String,
    /// The `Idempotency-Key` header, by which a node recognises a repeated request.
    pub idempotency_key: Option<String>,
}

/// Maximum length of `X-Opaque-Id`, in bytes.
const MAX_OPAQUE_ID_LENGTH: usize = 128;

impl Request {
    /// Parses and validates a request. `header` looks up a header by its lower-case name.
    pub fn parse<'h>(
        method: &str,
        target: &str,
        header: impl Fn(&str) -> Option<&'h str>,
        body: &[u8],
    ) -> Result<Self, ApiError> {
        let (endpoint, parameters) = parse_target(method, target)?;
        let opaque_id = header("x-opaque-id").map(validate_opaque_id).transpose()?;
        let operation = match endpoint {
            Endpoint::Root => Operation::Root,
            Endpoint::Health => Operation::Health,
            Endpoint::Search { index } => {
                Operation::Search { index, search: Search::parse(body)?.with_parameters(&parameters)? }
            }
            Endpoint::Count { index } => Operation::Count { index, search: parse_count(body)? },
            Endpoint::Update { index, id } => {
                let edit =
                    build_edit(id, &parameters, header("idempotency-key"), parse_update(body)?, false)?;
                Operation::Edit { index, edit }
            }
            Endpoint::Put { index, id: Some(id) } => {
                let document = JsonValue::parse(body)?;
                document.object("document")?;
                let edit = build_edit(id, &parameters, header("idempotency-key"), document.to_json(), true)?;
                Operation::Edit { index, edit }
            }
            Endpoint::Put { id: None, .. } => {
                return Err(ApiError::illegal_argument("a document has to be given its id here: an id of ours would make a repeat a second document"));
            }
            Endpoint::MultiSearch { index } => {
                Operation::MultiSearch { index, searches: MultiSearchItems::new(body)? }
            }
            Endpoint::CatNodes { json } => Operation::CatNodes { json },
            Endpoint::CatShards { json } => Operation::CatShards { json },
        };
        let timeout = match &operation {
            Operation::Search { search, .. } => search.timeout,
            _ => parameter(&parameters, "timeout").map(crate::search::parse_timeout).transpose()?,
        };
        let allow_partial = parameter(&parameters, "allow_partial_search_results");
        let allow_partial = allow_partial
            .map(|value| JsonValue::String(value.into()).bool("allow_partial_search_results"))
            .transpose()?;
        Ok(Self {
            operation,
            preferred_shards: preferred_shards(&parameters)?,
            allow_partial,
            timeout,
            opaque_id,
        })
    }
}

impl Operation {
    /// The index of a search, a count or an edit.
    pub fn index(&self) -> Option<&str> {
        match self {
            Self::Root
            | Self::Health
            | Self::CatNodes { .. }
            | Self::CatShards { .. }
            | Self::MultiSearch { .. } => None,
            Self::Search { index, .. } | Self::Count { index, .. } | Self::Edit { index, .. } => Some(index),
        }
    }

    /// Whether searchers receive parts of it.
    pub fn has_parts(&self) -> bool {
        matches!(self, Self::MultiSearch { .. }) || self.index().is_some()
    }
}

/// Accepts printable ASCII only, since the value is written into the head of the response.
fn validate_opaque_id(value: &str) -> Result<String, ApiError> {
    if value.len() > MAX_OPAQUE_ID_LENGTH || !value.bytes().all(|byte| (b' '..=b'~').contains(&byte)) {
        return Err(ApiError::illegal_argument("X-Opaque-Id takes up to 128 printable characters"));
    }
    Ok(value.into())
}

/// The value of a query parameter.
fn parameter<'p>(parameters: &'p Parameters, name: &str) -> Option<&'p str> {
    parameters.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
}

/// Parses the body of `_count`, which has only a query.
fn parse_count(body: &[u8]) -> Result<Search, ApiError> {
    let mut search = Search { size: 0, track_total_hits: TrackTotalHits::Exact, ..Search::default() };
    if !body.iter().all(u8::is_ascii_whitespace) {
        let json = JsonValue::parse(body)?;
        reject_unknown_fields(&json, "count", &["query"])?;
        search.query = Search::from_json(&json)?.query;
    }
    Ok(search)
}

/// Parses the body of `_update` and returns the partial document.
fn parse_update(body: &[u8]) -> Result<serde_json::Value, ApiError> {
    let json = JsonValue::parse(body)?;
    // Scripts and upserts depend on the stored document, so a second run cannot be distinguished from the
    // first.
    reject_unknown_fields(&json, "update", &["doc"])?;
    let document = json.get("doc").ok_or_else(|| ApiError::parsing("[update] requires [doc]"))?;
    document.object("doc")?;
    Ok(document.to_json())
}

/// Builds an edit; `replace` replaces the whole document instead of updating fields of it.
fn build_edit(
    id: String,
    parameters: &Parameters,
    idempotency_key: Option<&str>,
    document: serde_json::Value,
    replace: bool,
) -> Result<Edit, ApiError> {
    let is_valid = |key: &str| {
        !key.is_empty() && key.len() <= 128 && key.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    };
    if idempotency_key.is_some_and(|key| !is_valid(key)) {
        return Err(ApiError::illegal_argument("a malformed Idempotency-Key"));
    }
    let payload = json!({"id": id, "doc": document, "whole": replace});
    let (path_segment, body) =
        if replace { ("_doc", document) } else { ("_update", json!({"doc": document})) };
    let routing = parameter(parameters, "routing").unwrap_or(&id).to_string();
    let (payload, body) = (payload.to_string(), body.to_string());
    Ok(Edit { routing, payload, path_segment, body, idempotency_key: idempotency_key.map(String::from), id })
}

impl Edit {
    /// The shard of the document, out of `shards`: the 32-bit MurmurHash3 (seed 0) of the routing value,
    /// scaled to the number of shards.
    pub fn shard(&self, shards: u32) -> u32 {
        let hash = murmur3::murmur3_32(&mut std::io::Cursor::new(self.routing.as_bytes()), 0).unwrap_or(0);
        ((u64::from(hash) * u64::from(shards)) >> 32) as u32
    }
}

/// The response to the client once an edit has been saved.
pub fn edit_response(index: &str, id: &str) -> serde_json::Value {
    json!({
        "_index": index, "_id": id, "result": "updated",
        "_shards": {"total": 1, "successful": 1, "failed": 0},
    })
}

/// The response of `/`. Clients use the version number to decide which features they may use.
pub fn root_info(name: &str) -> serde_json::Value {
    json!({
        "name": name, "cluster_name": "fernglade",
        "version": {"distribution": "opensearch", "number": "2.11.0", "minimum_wire_compatibility_version": "7.10.0"},
        "tagline": "a part of the query API: docs/dialect.md says which",
    })
}

/// The response of `/_cluster/health`, from the numbers of ready and of listed searchers.
pub fn cluster_health((ready, listed): (usize, usize), shards: u32) -> serde_json::Value {
    let status = match ready {
        0 => "red",
        ready if ready < listed => "yellow",
        _ => "green",
    };
    json!({
        "cluster_name": "fernglade", "status": status, "timed_out": false,
        "number_of_nodes": listed, "number_of_data_nodes": ready, "active_shards": if ready > 0 { shards } else { 0 },
    })
}

/// The body of a `_cat` response: a JSON array of objects, or one line of space-separated values per row.
pub fn cat_table(names: &[&str], rows: &[Vec<String>], as_json: bool) -> String {
    if as_json {
        let row = |row: &Vec<String>| {
            let fields = names.iter().zip(row).map(|(name, value)| (name.to_string(), value.as_str().into()));
            serde_json::Value::Object(fields.collect())
        };
        return serde_json::Value::Array(rows.iter().map(row).collect()).to_string();
    }
    rows.iter().map(|row| row.join(" ") + "\n").collect()
}

/// The error for an index that does not exist.
pub fn index_not_found(name: &str) -> ApiError {
    ApiError::new(ErrorKind::IndexNotFound, format!("no such index [{name}]"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn read(method: &str, target: &str, key: Option<&'static str>, body: &str) -> Result<Request, ApiError> {
        Request::parse(method, target, |name| key.filter(|_| name == "idempotency-key"), body.as_bytes())
    }

    #[test]
    fn an_edit_keeps_its_idempotency_key_and_is_routed_to_one_shard() {
        let request =
            read("POST", "/cues/_update/c7?routing=title-3", Some("k1"), r#"{"doc":{"cue":"hola"}}"#)
                .unwrap();
        let Operation::Edit { edit, .. } = &request.operation else { panic!("not an edit") };
        assert_eq!((edit.idempotency_key.as_deref(), edit.routing.as_str()), (Some("k1"), "title-3"));
        assert!(edit.payload.contains(r#""id":"c7""#) && edit.shard(16) < 16);
        let other = read("POST", "/cues/_update/c8?routing=title-3", None, r#"{"doc":{}}"#).unwrap();
        let Operation::Edit { edit: other, .. } = &other.operation else { panic!("not an edit") };
        assert_eq!(edit.shard(16), other.shard(16), "routing selects the shard");
    }

    #[test_case("POST", "/cues/_update/c7", r#"{"script":{"source":"x"}}"#, "[update] unknown field [script]"; "a script")]
    #[test_case("POST", "/cues/_update/c7", r#"{"doc":{},"upsert":{}}"#, "[update] unknown field [upsert]"; "an upsert")]
    #[test_case("POST", "/cues/_doc", "{}", "has to be given its id"; "a document without an id")]
    #[test_case("PUT", "/cues/_doc/c7", "[]", "[document] expects an object"; "a document that is not an object")]
    #[test_case("POST", "/cues/_count", r#"{"size":1}"#, "[count] unknown field [size]"; "a count with a size")]
    #[test_case("GET", "/cues/_search?allow_partial_search_results=perhaps", "", "true or false"; "a malformed boolean")]
    fn invalid_requests_are_rejected(method: &str, target: &str, body: &str, message: &str) {
        let error = read(method, target, None, body).unwrap_err();
        assert!(error.reason.contains(message), "{}", error.reason);
    }
}
