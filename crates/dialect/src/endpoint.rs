//! Method and target: what is asked for.

use crate::error::{ApiError, ErrorKind};
use crate::{search::Search, JsonValue};

#[derive(Clone, Debug, PartialEq)]
pub enum Endpoint {
    Root,
    Health,
    /// As lines of text, or as JSON.
    CatNodes {
        json: bool,
    },
    CatShards {
        json: bool,
    },
    Search {
        index: String,
    },
    Count {
        index: String,
    },
    /// Searches line by line, each of its own index or of this.
    MultiSearch {
        index: Option<String>,
    },
    Update {
        index: String,
        id: String,
    },
    Put {
        index: String,
        id: Option<String>,
    },
}

/// What stands behind the `?`, in order.
pub type Parameters = Vec<(String, String)>;

/// Parameters that any request may have and that change nothing here.
const HARMLESS: [&str; 3] = ["pretty", "human", "error_trace"];
const OF_A_SEARCH: [&str; 11] = [
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
/// More than any list of shards needs.
const MAX_PARAMETERS: usize = 32;

pub fn parse_target(method: &str, target: &str) -> Result<(Endpoint, Parameters), ApiError> {
    let (path, rest) = target.split_once('?').unwrap_or((target, ""));
    let parameters = parameters(rest)?;
    let steps: Vec<String> =
        path.split('/').filter(|step| !step.is_empty()).map(decoded).collect::<Result<_, _>>()?;
    let steps: Vec<&str> = steps.iter().map(String::as_str).collect();
    let json = parameters.iter().any(|(name, value)| name == "format" && value == "json");
    let index = |name: &str| index_name(name).map(String::from);
    let id = |id: &str| match id.is_empty() || id.len() > 512 {
        true => Err(ApiError::illegal_argument("an id takes 1 to 512 bytes")),
        false => Ok(id.to_string()),
    };
    let (found, methods, known): (_, &[&str], &[&str]) = match steps.as_slice() {
        [] => (Endpoint::Root, &["GET", "HEAD"], &[]),
        ["_cluster", "health"] => (Endpoint::Health, &["GET"], &["timeout", "level"]),
        ["_cat", "nodes"] => (Endpoint::CatNodes { json }, &["GET"], &["format", "v", "h"]),
        ["_cat", "shards"] => (Endpoint::CatShards { json }, &["GET"], &["format", "v", "h"]),
        ["_msearch"] => (Endpoint::MultiSearch { index: None }, &["GET", "POST"], &[]),
        [name, "_msearch"] => (Endpoint::MultiSearch { index: Some(index(name)?) }, &["GET", "POST"], &[]),
        [name, "_search"] => (Endpoint::Search { index: index(name)? }, &["GET", "POST"], &OF_A_SEARCH),
        [name, "_count"] => (Endpoint::Count { index: index(name)? }, &["GET", "POST"], &OF_A_SEARCH[6..9]),
        [name, "_update", of] => {
            (Endpoint::Update { index: index(name)?, id: id(of)? }, &["POST"], &["routing", "timeout"])
        }
        [name, "_doc", of] => {
            let put = Endpoint::Put { index: index(name)?, id: Some(id(of)?) };
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
    if !methods.contains(&method) {
        let reason =
            format!("incorrect HTTP method for uri [{path}] and method [{method}], allowed: {methods:?}");
        return Err(ApiError::new(ErrorKind::MethodNotAllowed, reason));
    }
    let strange = parameters
        .iter()
        .find(|(name, _)| !known.contains(&name.as_str()) && !HARMLESS.contains(&name.as_str()));
    match strange {
        Some((name, _)) => Err(ApiError::illegal_argument(format!(
            "request [{path}] contains unrecognized parameter: [{name}]"
        ))),
        None => Ok((found, parameters)),
    }
}

/// One index by its whole name: patterns and lists would make one request many scans.
fn index_name(name: &str) -> Result<&str, ApiError> {
    let plain =
        |letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit() || "-_.".contains(letter);
    if name.starts_with('_') || name.len() > 255 || !name.chars().all(plain) {
        let reason = format!("[{name}] is not the name of one index");
        return Err(ApiError::new(ErrorKind::IndexNotFound, reason));
    }
    Ok(name)
}

fn parameters(text: &str) -> Result<Parameters, ApiError> {
    let mut read: Parameters = Vec::new();
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (name, value) = (decoded(name)?, decoded(value)?);
        if read.iter().any(|(known, _)| *known == name) || read.len() == MAX_PARAMETERS {
            return Err(ApiError::illegal_argument(format!(
                "parameter [{name}] stands twice, or there are too many"
            )));
        }
        read.push((name, value));
    }
    Ok(read)
}

/// `%41` and `+` as what they stand for.
fn decoded(text: &str) -> Result<String, ApiError> {
    let wrong =
        || ApiError::illegal_argument(format!("[{text:.80}] is not encoded as a target's part has to be"));
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = match first {
            b'%' => {
                let digits =
                    after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok()).ok_or_else(wrong)?;
                bytes.push(u8::from_str_radix(digits, 16).map_err(|_| wrong())?);
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
    String::from_utf8(bytes).map_err(|_| wrong())
}

/// `_shards:1,4` as the shards it names; none where nothing is preferred.
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

/// A line of a body of many: its index, where it names one, and its search.
pub type MultiSearchItem = (Option<String>, Result<Search, ApiError>);

/// How many searches one body may hold.
pub const MAX_MULTI_SEARCH_ITEMS: usize = 100;

/// Lines by twos, each pair a head and a search; one that is bad spoils no other. Only a body whose pairs cannot be
/// told apart is refused whole.
pub fn parse_multi_search(body: &[u8]) -> Result<Vec<MultiSearchItem>, ApiError> {
    if !body.ends_with(b"\n") {
        return Err(ApiError::illegal_argument("The msearch request must be terminated by a newline [\\n]"));
    }
    let lines: Vec<&[u8]> = body[..body.len() - 1].split(|byte| *byte == b'\n').collect();
    if lines.len() % 2 == 1 || lines.len() / 2 > MAX_MULTI_SEARCH_ITEMS {
        let reason = format!(
            "msearch takes pairs of lines, {MAX_MULTI_SEARCH_ITEMS} at the most, and has {} lines",
            lines.len()
        );
        return Err(ApiError::illegal_argument(reason));
    }
    Ok(lines.chunks(2).map(|pair| line(pair[0], pair[1])).collect())
}

fn line(head: &[u8], search: &[u8]) -> MultiSearchItem {
    let index = || {
        if head.iter().all(u8::is_ascii_whitespace) {
            return Ok(None);
        }
        let head = JsonValue::parse(head)?;
        crate::query::reject_unknown_fields(&head, "msearch", &["index", "preference", "routing"])?;
        let name = head.get("index").map(|name| name.text("index")).transpose()?;
        name.map(|name| index_name(name).map(String::from)).transpose()
    };
    match index() {
        Ok(index) => (index, Search::parse(search)),
        Err(fault) => (None, Err(fault)),
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
    #[test_case("POST", "/cues/_update/a%2Fb%20c", Endpoint::Update { index: "cues".into(), id: "a/b c".into() }; "an id that is encoded")]
    #[test_case("GET", "/_cat/shards?format=json&v", Endpoint::CatShards { json: true }; "shards as JSON")]
    #[test_case("POST", "/cues/_doc", Endpoint::Put { index: "cues".into(), id: None }; "a document without an id")]
    fn targets_are_told_apart(method: &str, target: &str, is: Endpoint) {
        assert_eq!(parse_target(method, target).unwrap().0, is);
    }

    #[test_case("GET", "/cues/_bulk", ErrorKind::IllegalArgument, "no handler found for uri [/cues/_bulk]"; "what is not spoken")]
    #[test_case("DELETE", "/cues/_search", ErrorKind::MethodNotAllowed, "incorrect HTTP method"; "a method")]
    #[test_case("GET", "/a,b/_search", ErrorKind::IndexNotFound, "[a,b] is not the name of one index"; "a list")]
    #[test_case("GET", "/cu*/_search", ErrorKind::IndexNotFound, "[cu*] is not"; "a pattern")]
    #[test_case("GET", "/cues/_search?scroll=1m", ErrorKind::IllegalArgument, "unrecognized parameter: [scroll]"; "a parameter")]
    #[test_case("GET", "/cues/_search?size=1&size=2", ErrorKind::IllegalArgument, "[size] stands twice"; "a parameter twice")]
    #[test_case("GET", "/cues/_search?a=%g1", ErrorKind::IllegalArgument, "not encoded"; "bad encoding")]
    fn what_is_not_spoken_is_refused_by_name(method: &str, target: &str, kind: ErrorKind, says: &str) {
        let fault = parse_target(method, target).unwrap_err();
        assert!(fault.kind == kind && fault.reason.contains(says), "{fault:?}");
    }

    #[test]
    fn of_many_lines_the_bad_ones_spoil_no_other() {
        let body = b"{\"index\":\"cues\"}\n{\"size\":1}\n{}\n{\"size\":-1}\n\n{}\n{\"index\":\"*\"}\n{}\n";
        let lines = parse_multi_search(body).unwrap();
        let good: Vec<bool> = lines.iter().map(|(_, search)| search.is_ok()).collect();
        assert_eq!(good, [true, false, true, false]);
        assert_eq!(lines[0].0.as_deref(), Some("cues"));
        assert!(parse_multi_search(b"{}\n").is_err() && parse_multi_search(b"{}\n{}").is_err());
        assert!(parse_multi_search(&b"{}\n{}\n".repeat(MAX_MULTI_SEARCH_ITEMS)).is_ok());
        assert!(parse_multi_search(&b"{}\n{}\n".repeat(MAX_MULTI_SEARCH_ITEMS + 1)).is_err());
    }

    #[test]
    fn shards_may_be_preferred_and_nothing_else() {
        let parameters = |value: &str| vec![("preference".to_string(), value.to_string())];
        assert_eq!(preferred_shards(&parameters("_shards:4,1,4")), Ok(Some(vec![1, 4])));
        assert_eq!(preferred_shards(&Vec::new()), Ok(None));
        assert!(
            preferred_shards(&parameters("_local")).is_err()
                && preferred_shards(&parameters("_shards:x")).is_err()
        );
    }
}
