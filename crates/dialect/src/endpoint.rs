//! Method and target: what is asked for.

use crate::fault::{Fault, Kind};
use crate::{search::Search, Node};

#[derive(Clone, Debug, PartialEq)]
pub enum Endpoint {
    Root,
    Health,
    /// As lines of text, or as JSON.
    Nodes {
        json: bool,
    },
    Shards {
        json: bool,
    },
    Search {
        index: String,
    },
    Count {
        index: String,
    },
    /// Searches line by line, each of its own index or of this.
    Many {
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
const MOST_PARAMETERS: usize = 32;

pub fn endpoint(method: &str, target: &str) -> Result<(Endpoint, Parameters), Fault> {
    let (path, rest) = target.split_once('?').unwrap_or((target, ""));
    let parameters = parameters(rest)?;
    let steps: Vec<String> =
        path.split('/').filter(|step| !step.is_empty()).map(decoded).collect::<Result<_, _>>()?;
    let steps: Vec<&str> = steps.iter().map(String::as_str).collect();
    let json = parameters.iter().any(|(name, value)| name == "format" && value == "json");
    let index = |name: &str| index_name(name).map(String::from);
    let id = |id: &str| match id.is_empty() || id.len() > 512 {
        true => Err(Fault::argument("an id takes 1 to 512 bytes")),
        false => Ok(id.to_string()),
    };
    let (found, methods, known): (_, &[&str], &[&str]) = match steps.as_slice() {
        [] => (Endpoint::Root, &["GET", "HEAD"], &[]),
        ["_cluster", "health"] => (Endpoint::Health, &["GET"], &["timeout", "level"]),
        ["_cat", "nodes"] => (Endpoint::Nodes { json }, &["GET"], &["format", "v", "h"]),
        ["_cat", "shards"] => (Endpoint::Shards { json }, &["GET"], &["format", "v", "h"]),
        ["_msearch"] => (Endpoint::Many { index: None }, &["GET", "POST"], &[]),
        [name, "_msearch"] => (Endpoint::Many { index: Some(index(name)?) }, &["GET", "POST"], &[]),
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
            return Err(Fault::argument(reason));
        }
    };
    if !methods.contains(&method) {
        let reason =
            format!("incorrect HTTP method for uri [{path}] and method [{method}], allowed: {methods:?}");
        return Err(Fault::new(Kind::MethodNotAllowed, reason));
    }
    let strange = parameters
        .iter()
        .find(|(name, _)| !known.contains(&name.as_str()) && !HARMLESS.contains(&name.as_str()));
    match strange {
        Some((name, _)) => {
            Err(Fault::argument(format!("request [{path}] contains unrecognized parameter: [{name}]")))
        }
        None => Ok((found, parameters)),
    }
}

/// One index by its whole name: patterns and lists would make one request many scans.
fn index_name(name: &str) -> Result<&str, Fault> {
    let plain =
        |letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit() || "-_.".contains(letter);
    if name.starts_with('_') || name.len() > 255 || !name.chars().all(plain) {
        let reason = format!("[{name}] is not the name of one index");
        return Err(Fault::new(Kind::IndexNotFound, reason));
    }
    Ok(name)
}

fn parameters(text: &str) -> Result<Parameters, Fault> {
    let mut read: Parameters = Vec::new();
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (name, value) = (decoded(name)?, decoded(value)?);
        if read.iter().any(|(known, _)| *known == name) || read.len() == MOST_PARAMETERS {
            return Err(Fault::argument(format!("parameter [{name}] stands twice, or there are too many")));
        }
        read.push((name, value));
    }
    Ok(read)
}

/// `%41` and `+` as what they stand for.
fn decoded(text: &str) -> Result<String, Fault> {
    let wrong = || Fault::argument(format!("[{text:.80}] is not encoded as a target's part has to be"));
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
pub fn preferred(parameters: &Parameters) -> Result<Option<Vec<u32>>, Fault> {
    let Some((_, value)) = parameters.iter().find(|(name, _)| name == "preference") else { return Ok(None) };
    let Some(list) = value.strip_prefix("_shards:") else {
        return Err(Fault::argument(format!("no Preference for [{value}]")));
    };
    let shard =
        |text: &str| text.parse::<u32>().map_err(|_| Fault::argument(format!("[{text}] is no shard")));
    let mut shards = list.split(',').map(shard).collect::<Result<Vec<_>, _>>()?;
    shards.sort_unstable();
    shards.dedup();
    Ok(Some(shards))
}

/// A line of a body of many: its index, where it names one, and its search.
pub type Line = (Option<String>, Result<Search, Fault>);

/// How many searches one body may hold.
pub const MOST_LINES: usize = 100;

/// Lines by twos, each pair a head and a search; one that is bad spoils no other. Only a body whose pairs cannot be
/// told apart is refused whole.
pub fn many(body: &[u8]) -> Result<Vec<Line>, Fault> {
    if !body.ends_with(b"\n") {
        return Err(Fault::argument("The msearch request must be terminated by a newline [\\n]"));
    }
    let lines: Vec<&[u8]> = body[..body.len() - 1].split(|byte| *byte == b'\n').collect();
    if lines.len() % 2 == 1 || lines.len() / 2 > MOST_LINES {
        let reason =
            format!("msearch takes pairs of lines, {MOST_LINES} at the most, and has {} lines", lines.len());
        return Err(Fault::argument(reason));
    }
    Ok(lines.chunks(2).map(|pair| line(pair[0], pair[1])).collect())
}

fn line(head: &[u8], search: &[u8]) -> Line {
    let index = || {
        if head.iter().all(u8::is_ascii_whitespace) {
            return Ok(None);
        }
        let head = Node::read(head)?;
        crate::query::fields(&head, "msearch", &["index", "preference", "routing"])?;
        let name = head.get("index").map(|name| name.text("index")).transpose()?;
        name.map(|name| index_name(name).map(String::from)).transpose()
    };
    match index() {
        Ok(index) => (index, Search::read(search)),
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
    #[test_case("GET", "/_cat/shards?format=json&v", Endpoint::Shards { json: true }; "shards as JSON")]
    #[test_case("POST", "/cues/_doc", Endpoint::Put { index: "cues".into(), id: None }; "a document without an id")]
    fn targets_are_told_apart(method: &str, target: &str, is: Endpoint) {
        assert_eq!(endpoint(method, target).unwrap().0, is);
    }

    #[test_case("GET", "/cues/_bulk", Kind::IllegalArgument, "no handler found for uri [/cues/_bulk]"; "what is not spoken")]
    #[test_case("DELETE", "/cues/_search", Kind::MethodNotAllowed, "incorrect HTTP method"; "a method")]
    #[test_case("GET", "/a,b/_search", Kind::IndexNotFound, "[a,b] is not the name of one index"; "a list")]
    #[test_case("GET", "/cu*/_search", Kind::IndexNotFound, "[cu*] is not"; "a pattern")]
    #[test_case("GET", "/cues/_search?scroll=1m", Kind::IllegalArgument, "unrecognized parameter: [scroll]"; "a parameter")]
    #[test_case("GET", "/cues/_search?size=1&size=2", Kind::IllegalArgument, "[size] stands twice"; "a parameter twice")]
    #[test_case("GET", "/cues/_search?a=%g1", Kind::IllegalArgument, "not encoded"; "bad encoding")]
    fn what_is_not_spoken_is_refused_by_name(method: &str, target: &str, kind: Kind, says: &str) {
        let fault = endpoint(method, target).unwrap_err();
        assert!(fault.kind == kind && fault.reason.contains(says), "{fault:?}");
    }

    #[test]
    fn of_many_lines_the_bad_ones_spoil_no_other() {
        let body = b"{\"index\":\"cues\"}\n{\"size\":1}\n{}\n{\"size\":-1}\n\n{}\n{\"index\":\"*\"}\n{}\n";
        let lines = many(body).unwrap();
        let good: Vec<bool> = lines.iter().map(|(_, search)| search.is_ok()).collect();
        assert_eq!(good, [true, false, true, false]);
        assert_eq!(lines[0].0.as_deref(), Some("cues"));
        assert!(many(b"{}\n").is_err() && many(b"{}\n{}").is_err());
        assert!(many(&b"{}\n{}\n".repeat(MOST_LINES)).is_ok());
        assert!(many(&b"{}\n{}\n".repeat(MOST_LINES + 1)).is_err());
    }

    #[test]
    fn shards_may_be_preferred_and_nothing_else() {
        let parameters = |value: &str| vec![("preference".to_string(), value.to_string())];
        assert_eq!(preferred(&parameters("_shards:4,1,4")), Ok(Some(vec![1, 4])));
        assert_eq!(preferred(&Vec::new()), Ok(None));
        assert!(preferred(&parameters("_local")).is_err() && preferred(&parameters("_shards:x")).is_err());
    }
}
