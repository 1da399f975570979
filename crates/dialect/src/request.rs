//! A whole request, from method, target, headers and body.

use crate::endpoint::{
    parse_multi_search, parse_target, preferred_shards, Endpoint, MultiSearchItem, Parameters,
};
use crate::error::{ApiError, ErrorKind};
use crate::query::reject_unknown_fields;
use crate::search::{Search, TrackTotalHits};
use crate::JsonValue;
use fernglade::Span;
use serde_json::json;

#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub operation: Operation,
    /// The shards that are preferred, where any are.
    pub preferred_shards: Option<Vec<u32>>,
    /// Whether a partial answer will do; the index's word stands where nothing is said.
    pub allow_partial: Option<bool>,
    pub timeout: Option<Span>,
    /// Handed back as it came.
    pub opaque_id: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    Root,
    Health,
    /// The searchers, and the shards: as JSON, or as lines of text.
    CatNodes {
        json: bool,
    },
    CatShards {
        json: bool,
    },
    /// Searches one after another, each of its own index or of this.
    MultiSearch {
        index: Option<String>,
        searches: Vec<MultiSearchItem>,
    },
    Search {
        index: String,
        search: Search,
    },
    /// As a search that gives no hits.
    Count {
        index: String,
        search: Search,
    },
    Edit {
        index: String,
        edit: Edit,
    },
}

/// A change of one document.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    pub id: String,
    /// What decides its shard: the id, unless another is named.
    pub routing: String,
    /// What is sent on by the platform's frames.
    pub payload: String,
    /// What a node of the dialect is asked: the end of its path, and the body.
    pub path_segment: &'static str,
    pub body: String,
    /// By which a node knows a repeat.
    pub idempotency_key: Option<String>,
}

/// A handed-back header takes no more.
const MAX_OPAQUE_ID_LENGTH: usize = 128;

impl Request {
    pub fn parse<'h>(
        method: &str,
        target: &str,
        header: impl Fn(&str) -> Option<&'h str>,
        body: &[u8],
    ) -> Result<Self, ApiError> {
        let (endpoint, parameters) = parse_target(method, target)?;
        let opaque = header("x-opaque-id").map(opaque).transpose()?;
        let what = match endpoint {
            Endpoint::Root => Operation::Root,
            Endpoint::Health => Operation::Health,
            Endpoint::Search { index } => {
                Operation::Search { index, search: Search::parse(body)?.with_parameters(&parameters)? }
            }
            Endpoint::Count { index } => Operation::Count { index, search: counting(body)? },
            Endpoint::Update { index, id } => {
                let edit = edit(id, &parameters, header("idempotency-key"), update(body)?, false)?;
                Operation::Edit { index, edit }
            }
            Endpoint::Put { index, id: Some(id) } => {
                let document = JsonValue::parse(body)?;
                document.object("document")?;
                let edit = edit(id, &parameters, header("idempotency-key"), document.to_json(), true)?;
                Operation::Edit { index, edit }
            }
            Endpoint::Put { id: None, .. } => {
                return Err(ApiError::illegal_argument("a document has to be given its id here: an id of ours would make a repeat a second document"));
            }
            Endpoint::MultiSearch { index } => {
                Operation::MultiSearch { index, searches: parse_multi_search(body)? }
            }
            Endpoint::CatNodes { json } => Operation::CatNodes { json },
            Endpoint::CatShards { json } => Operation::CatShards { json },
        };
        let timeout = match &what {
            Operation::Search { search, .. } => search.timeout,
            _ => named(&parameters, "timeout").map(crate::search::parse_timeout).transpose()?,
        };
        let partial = named(&parameters, "allow_partial_search_results");
        let partial = partial
            .map(|word| JsonValue::String(word.into()).bool("allow_partial_search_results"))
            .transpose()?;
        Ok(Self {
            operation: what,
            preferred_shards: preferred_shards(&parameters)?,
            allow_partial: partial,
            timeout,
            opaque_id: opaque,
        })
    }

    pub fn index(&self) -> Option<&str> {
        match &self.operation {
            Operation::Root
            | Operation::Health
            | Operation::CatNodes { .. }
            | Operation::CatShards { .. }
            | Operation::MultiSearch { .. } => None,
            Operation::Search { index, .. }
            | Operation::Count { index, .. }
            | Operation::Edit { index, .. } => Some(index),
        }
    }
}

/// Printable, so that it may stand in an answer's head.
fn opaque(value: &str) -> Result<String, ApiError> {
    if value.len() > MAX_OPAQUE_ID_LENGTH || !value.bytes().all(|byte| (b' '..=b'~').contains(&byte)) {
        return Err(ApiError::illegal_argument("X-Opaque-Id takes up to 128 printable characters"));
    }
    Ok(value.into())
}

fn named<'p>(parameters: &'p Parameters, name: &str) -> Option<&'p str> {
    parameters.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

fn counting(body: &[u8]) -> Result<Search, ApiError> {
    let mut search = Search { size: 0, track_total_hits: TrackTotalHits::Exact, ..Search::default() };
    if !body.iter().all(u8::is_ascii_whitespace) {
        let node = JsonValue::parse(body)?;
        reject_unknown_fields(&node, "count", &["query"])?;
        search.query = Search::from_json(&node)?.query;
    }
    Ok(search)
}

fn update(body: &[u8]) -> Result<serde_json::Value, ApiError> {
    let node = JsonValue::parse(body)?;
    // Scripts and upserts depend on what is there: they can't be told from a second run.
    reject_unknown_fields(&node, "update", &["doc"])?;
    let document = node.get("doc").ok_or_else(|| ApiError::parsing("[update] requires [doc]"))?;
    document.object("doc")?;
    Ok(document.to_json())
}

fn edit(
    id: String,
    parameters: &Parameters,
    label: Option<&str>,
    document: serde_json::Value,
    whole: bool,
) -> Result<Edit, ApiError> {
    let sound = |key: &str| {
        !key.is_empty() && key.len() <= 128 && key.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    };
    if label.is_some_and(|key| !sound(key)) {
        return Err(ApiError::illegal_argument("a malformed Idempotency-Key"));
    }
    let text = json!({"id": id, "doc": document, "whole": whole});
    let (step, body) = if whole { ("_doc", document) } else { ("_update", json!({"doc": document})) };
    let routing = named(parameters, "routing").unwrap_or(&id).to_string();
    let (text, body) = (text.to_string(), body.to_string());
    Ok(Edit {
        routing,
        payload: text,
        path_segment: step,
        body,
        idempotency_key: label.map(String::from),
        id,
    })
}

impl Edit {
    /// Its shard of so many: MurmurHash3 (32 bits, seed 0) of the routing's bytes, as a share of the shards.
    pub fn shard(&self, shards: u32) -> u32 {
        let hash = murmur3::murmur3_32(&mut std::io::Cursor::new(self.routing.as_bytes()), 0).unwrap_or(0);
        ((u64::from(hash) * u64::from(shards)) >> 32) as u32
    }

    /// What its client hears once it has been saved.
    pub fn response(&self, index: &str) -> serde_json::Value {
        json!({
            "_index": index, "_id": self.id, "result": "updated",
            "_shards": {"total": 1, "successful": 1, "failed": 0},
        })
    }
}

/// What the root says. Clients look at the number to decide what they may ask.
pub fn root_info(name: &str) -> serde_json::Value {
    json!({
        "name": name, "cluster_name": "fernglade",
        "version": {"distribution": "opensearch", "number": "2.11.0", "minimum_wire_compatibility_version": "7.10.0"},
        "tagline": "a part of the query API: docs/dialect.md says which",
    })
}

/// How the searchers stand, in the API's colours.
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

/// Rows as JSON, or as lines of words under a head.
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

/// An index that is not there.
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
    fn an_edit_is_read_with_its_key_and_goes_to_one_shard() {
        let request =
            read("POST", "/cues/_update/c7?routing=title-3", Some("k1"), r#"{"doc":{"cue":"hola"}}"#)
                .unwrap();
        let Operation::Edit { edit, .. } = &request.operation else { panic!("an edit") };
        assert_eq!((edit.idempotency_key.as_deref(), edit.routing.as_str()), (Some("k1"), "title-3"));
        assert!(edit.payload.contains(r#""id":"c7""#) && edit.shard(16) < 16);
        let other = read("POST", "/cues/_update/c8?routing=title-3", None, r#"{"doc":{}}"#).unwrap();
        let Operation::Edit { edit: other, .. } = &other.operation else { panic!("an edit") };
        assert_eq!(edit.shard(16), other.shard(16), "by routing");
    }

    #[test_case("POST", "/cues/_update/c7", r#"{"script":{"source":"x"}}"#, "[update] unknown field [script]"; "a script")]
    #[test_case("POST", "/cues/_update/c7", r#"{"doc":{},"upsert":{}}"#, "[update] unknown field [upsert]"; "an upsert")]
    #[test_case("POST", "/cues/_doc", "{}", "has to be given its id"; "a document without an id")]
    #[test_case("PUT", "/cues/_doc/c7", "[]", "[document] expects an object"; "no document")]
    #[test_case("POST", "/cues/_count", r#"{"size":1}"#, "[count] unknown field [size]"; "a count with a size")]
    #[test_case("GET", "/cues/_search?allow_partial_search_results=perhaps", "", "true or false"; "neither yes nor no")]
    fn what_cant_be_meant_is_refused(method: &str, target: &str, body: &str, says: &str) {
        let fault = read(method, target, None, body).unwrap_err();
        assert!(fault.reason.contains(says), "{}", fault.reason);
    }
}
