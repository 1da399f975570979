//! Maps the method and target of a request to an endpoint and its parameters.

use crate::error::{ApiError, ErrorKind};
use crate::{search::Search, JsonValue};

/// An endpoint of the API, with the index and document id from its path.
#[derive(Clone, Debug, PartialEq)]
pub enum Endpoint {
    /// `/`
    Root,
    /// `/_cluster/health`
    Health,
    /// `/_cat/nodes`; lines of text unless `json`.
    CatNodes { json: bool },
    /// `/_cat/shards`; lines of text unless `json`.
    CatShards { json: bool },
    /// `/{index}/_search`
    Search { index: String },
    /// `/{index}/_count`
    Count { index: String },
    /// `/_msearch` or `/{index}/_msearch`: `index` is the default for items that name none.
    MultiSearch { index: Option<String> },
    /// `/{index}/_update/{id}`
    Update { index: String, id: String },
    /// `/{index}/_doc/{id}` or `/{index}/_doc`
    Put { index: String, id: Option<String> },
}

/// The decoded query parameters of a target, in order.
pub type Parameters = Vec<(String, String)>;

/// Parameters that every endpoint accepts and ignores.
const COMMON_PARAMETERS: [&str; 3] = ["pretty", "human", "error_trace"];
/// Parameters of `_search`.
const SEARCH_PARAMETERS: [&str; 11] = [
    "from",
    "size",
    "timeout",
    "track_total_hits",
    "sort",
    "_source",
    "allow_partial_search_results",
    "preference",
    "routing",
    "rest_total_hits_as_int",
    "ignore_unavailable",
];
/// Maximum number of query parameters; more than any listing of shards needs.
const MAX_PARAMETERS: usize = 32;

/// Parses a target and checks that the endpoint supports the method and every parameter.
pub fn parse_target(method: &str, target: &str) -> Result<(Endpoint, Parameters), ApiError> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameters = parse_parameters(query)?;
    let segments: Vec<String> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .map(percent_decode)
        .collect::<Result<_, _>>()?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let json = parameters.iter().any(|(name, value)| name == "format" && value == "json");
    let index = |name: &str| check_index_name(name).map(String::from);
    let document_id = |id: &str| match id.is_empty() || id.len() > 512 {
        true => Err(ApiError::illegal_argument("an id takes 1 to 512 bytes")),
        false => Ok(id.to_string()),
    };
    let (endpoint, methods_allowed, parameters_allowed): (_, &[&str], &[&str]) = match segments.as_slice() {
        [] => (Endpoint::Root, &["GET", "HEAD"], &[]),
        ["_cluster", "health"] => (Endpoint::Health, &["GET"], &["timeout", "level"]),
        ["_cat", "nodes"] => (Endpoint::CatNodes { json }, &["GET"], &["format", "v", "h"]),
        ["_cat", "shards"] => (Endpoint::CatShards { json }, &["GET"], &["format", "v", "h"]),
        ["_msearch"] => (Endpoint::MultiSearch { index: None }, &["GET", "POST"], &[]),
        [name, "_msearch"] => (Endpoint::MultiSearch { index: Some(index(name)?) }, &["GET", "POST"], &[]),
        [name, "_search"] => (Endpoint::Search { index: index(name)? }, &["GET", "POST"], &SEARCH_PARAMETERS),
        [name, "_count"] => {
            (Endpoint::Count { index: index(name)? }, &["GET", "POST"], &SEARCH_PARAMETERS[6..9])
        }
        [name, "_update", id] => (
            Endpoint::Update { index: index(name)?, id: document_id(id)? },
            &["POST"],
            &["routing", "timeout"],
        ),
        [name, "_doc", id] => {
            let put = Endpoint::Put { index: index(name)?, id: Some(document_id(id)?) };
            (put, &["PUT", "POST"], &["routing", "timeout"])
        }
        [name, "_doc"] => {
            (Endpoint::Put { index: index(name)?, id: None }, &["POST"], &["routing", "timeout"])
        }
        _ => {
            let reason = format!("no handler found for uri [{path}] and method [{method}]");
            return Err(ApiError::illegal_argument(reason));
        }
    };
    if !methods_allowed.contains(&method) {
        let reason = format!(
            "incorrect HTTP method for uri [{path}] and method [{method}], allowed: {methods_allowed:?}"
        );
        return Err(ApiError::new(ErrorKind::MethodNotAllowed, reason));
    }
    let unknown = parameters.iter().find(|(name, _)| {
        !parameters_allowed.contains(&name.as_str()) && !COMMON_PARAMETERS.contains(&name.as_str())
    });
    match unknown {
        Some((name, _)) => Err(ApiError::illegal_argument(format!(
            "request [{path}] contains unrecognized parameter: [{name}]"
        ))),
        None => Ok((endpoint, parameters)),
    }
}

/// Checks the name of a single index. Patterns and lists are rejected because one request would become
/// several scans.
fn check_index_name(name: &str) -> Result<&str, ApiError> {
    let is_allowed =
        |letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit() || "-_.".contains(letter);
    if name.starts_with('_') || name.len() > 255 || !name.chars().all(is_allowed) {
        let reason = format!("[{name}] is not the name of one index");
        return Err(ApiError::new(ErrorKind::IndexNotFound, reason));
    }
    Ok(name)
}

/// Parses a query string; rejects duplicate names and more than [`MAX_PARAMETERS`].
fn parse_parameters(text: &str) -> Result<Parameters, ApiError> {
    let mut parsed: Parameters = Vec::new();
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (name, value) = (percent_decode(name)?, percent_decode(value)?);
        if parsed.iter().any(|(other, _)| *other == name) || parsed.len() == MAX_PARAMETERS {
            return Err(ApiError::illegal_argument(format!(
                "parameter [{name}] stands twice, or there are too many"
            )));
        }
        parsed.push((name, value));
    }
    Ok(parsed)
}

/// Decodes `%XX` sequences and `+`, which stands for a space.
fn percent_decode(text: &str) -> Result<String, ApiError> {
    let invalid =
        || ApiError::illegal_argument(format!("[{text:.80}] is not encoded as a target's part has to be"));
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = match first {
            b'%' => {
                let digits =
                    after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok()).ok_or_else(invalid)?;
                bytes.push(u8::from_str_radix(digits, 16).map_err(|_| invalid())?);
                &after[2..]
            }
            b'+' => {
                bytes.push(b' ');
                after
            }
            other => {
                bytes.push(*other);
                after
            }
        };
    }
    String::from_utf8(bytes).map_err(|_| invalid())
}

/// Parses a `preference` of the form `_shards:1,4` into sorted shard numbers; `None` if there is no
/// preference.
pub fn preferred_shards(parameters: &Parameters) -> Result<Option<Vec<u32>>, ApiError> {
    let Some((_, value)) = parameters.iter().find(|(name, _)| name == "preference") else { return Ok(None) };
    let Some(list) = value.strip_prefix("_shards:") else {
        return Err(ApiError::illegal_argument(format!("no Preference for [{value}]")));
    };
    let shard = |text: &str| {
        text.parse::<u32>().map_err(|_| ApiError::illegal_argument(format!("[{text}] is no shard")))
    };
    let mut shards = list.split(',').map(shard).collect::<Result<Vec<_>, _>>()?;
    shards.sort_unstable();
    shards.dedup();
    Ok(Some(shards))
}

/// One search of an `_msearch` body: the index, if its header names one, and the search or why it is invalid.
pub type MultiSearchItem = (Option<String>, Result<Search, ApiError>);

/// Maximum number of searches in one `_msearch` body.
pub const MAX_MULTI_SEARCH_ITEMS: usize = 100;

/// The searches of an `_msearch` body: pairs of lines, each a header and a search. Each pair is parsed when its
/// turn comes: parsed searches would take many times the length of their text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MultiSearchItems {
    body: Vec<u8>,
    /// Where the next pair begins.
    position: usize,
}

impl MultiSearchItems {
    /// Checks that a body can be split into pairs, and that it does not have too many of them. An invalid pair
    /// does not affect the others.
    pub fn new(body: &[u8]) -> Result<Self, ApiError> {
        if !body.ends_with(b"\n") {
            return Err(ApiError::illegal_argument(
                "The msearch request must be terminated by a newline [\\n]",
            ));
        }
        let lines = body.iter().filter(|byte| **byte == b'\n').count();
        if lines % 2 == 1 || lines / 2 > MAX_MULTI_SEARCH_ITEMS {
            let reason = format!(
                "msearch takes pairs of lines, {MAX_MULTI_SEARCH_ITEMS} at the most, and has {lines} lines"
            );
            return Err(ApiError::illegal_argument(reason));
        }
        Ok(Self { body: body.into(), position: 0 })
    }

    /// The bytes that are held for the searches.
    pub fn held_bytes(&self) -> usize {
        self.body.len()
    }

    fn next_line(&mut self) -> Option<std::ops::Range<usize>> {
        let start = self.position;
        let length = self.body[start..].iter().position(|byte| *byte == b'\n')?;
        self.position = start + length + 1;
        Some(start..start + length)
    }
}

impl Iterator for MultiSearchItems {
    type Item = MultiSearchItem;

    fn next(&mut self) -> Option<MultiSearchItem> {
        let (head, search) = (self.next_line()?, self.next_line()?);
        Some(parse_item(&self.body[head], &self.body[search]))
    }
}

/// Parses the header and the search of one `_msearch` item.
fn parse_item(head: &[u8], search: &[u8]) -> MultiSearchItem {
    let index = || {
        if head.iter().all(u8::is_ascii_whitespace) {
            return Ok(None);
        }
        let head = JsonValue::parse(head)?;
        crate::query::reject_unknown_fields(&head, "msearch", &["index", "preference", "routing"])?;
        let name = head.get("index").map(|name| name.text("index")).transpose()?;
        name.map(|name| check_index_name(name).map(String::from)).transpose()
    };
    match index() {
        Ok(index) => (index, Search::parse(search)),
        Err(error) => (None, Err(error)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn search(index: &str) -> Endpoint {
        Endpoint::Search { index: index.into() }
    }

    #[test_case("GET", "/", Endpoint::Root; "the root")]
    #[test_case("POST", "/cues/_search", search("cues"); "a search")]
    #[test_case("GET", "/cues-2026.12/_search?size=3&pretty", search("cues-2026.12"); "with parameters")]
    #[test_case("POST", "/cues/_update/a%2Fb%20c", Endpoint::Update { index: "cues".into(), id: "a/b c".into() }; "a percent-encoded id")]
    #[test_case("GET", "/_cat/shards?format=json&v", Endpoint::CatShards { json: true }; "shards as JSON")]
    #[test_case("POST", "/cues/_doc", Endpoint::Put { index: "cues".into(), id: None }; "a document without an id")]
    fn targets_map_to_endpoints(method: &str, target: &str, expected: Endpoint) {
        assert_eq!(parse_target(method, target).unwrap().0, expected);
    }

    #[test_case("GET", "/cues/_bulk", ErrorKind::IllegalArgument, "no handler found for uri [/cues/_bulk]"; "an unsupported endpoint")]
    #[test_case("DELETE", "/cues/_search", ErrorKind::MethodNotAllowed, "incorrect HTTP method"; "an unsupported method")]
    #[test_case("GET", "/a,b/_search", ErrorKind::IndexNotFound, "[a,b] is not the name of one index"; "a list of indices")]
    #[test_case("GET", "/cu*/_search", ErrorKind::IndexNotFound, "[cu*] is not"; "an index pattern")]
    #[test_case("GET", "/cues/_search?scroll=1m", ErrorKind::IllegalArgument, "unrecognized parameter: [scroll]"; "an unknown parameter")]
    #[test_case("GET", "/cues/_search?size=1&size=2", ErrorKind::IllegalArgument, "[size] stands twice"; "a duplicate parameter")]
    #[test_case("GET", "/cues/_search?a=%g1", ErrorKind::IllegalArgument, "not encoded"; "invalid percent-encoding")]
    fn unsupported_requests_are_rejected_by_name(method: &str, target: &str, kind: ErrorKind, message: &str) {
        let error = parse_target(method, target).unwrap_err();
        assert!(error.kind == kind && error.reason.contains(message), "{error:?}");
    }

    #[test]
    fn an_invalid_msearch_item_does_not_affect_the_others() {
        let body = b"{\"index\":\"cues\"}\n{\"size\":1}\n{}\n{\"size\":-1}\n\n{}\n{\"index\":\"*\"}\n{}\n";
        let lines: Vec<MultiSearchItem> = MultiSearchItems::new(body).unwrap().collect();
        let valid: Vec<bool> = lines.iter().map(|(_, search)| search.is_ok()).collect();
        assert_eq!(valid, [true, false, true, false]);
        assert_eq!(lines[0].0.as_deref(), Some("cues"));
        assert!(MultiSearchItems::new(b"{}\n").is_err() && MultiSearchItems::new(b"{}\n{}").is_err());
        assert!(MultiSearchItems::new(&b"{}\n{}\n".repeat(MAX_MULTI_SEARCH_ITEMS)).is_ok());
        assert!(MultiSearchItems::new(&b"{}\n{}\n".repeat(MAX_MULTI_SEARCH_ITEMS + 1)).is_err());
    }

    #[test]
    fn preference_accepts_only_shard_lists() {
        let parameters = |value: &str| vec![("preference".to_string(), value.to_string())];
        assert_eq!(preferred_shards(&parameters("_shards:4,1,4")), Ok(Some(vec![1, 4])));
        assert_eq!(preferred_shards(&Vec::new()), Ok(None));
        assert!(
            preferred_shards(&parameters("_local")).is_err()
                && preferred_shards(&parameters("_shards:x")).is_err()
        );
    }
}
