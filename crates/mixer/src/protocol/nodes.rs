//! Requests to nodes of the query API over HTTP/1.1, and their responses. A connection carries one request at
//! a time.

use super::frames::{PartOutcome, PartRequest};
use super::http::Message;

/// Encodes the request for a part, or returns `None` if the query API cannot express the part.
pub fn encode_part_request(part: &PartRequest, host: &str) -> Option<Vec<u8>> {
    let request = part.node_request.as_ref()?;
    let (path, body, timeout_ms) = (&request.path, &request.body, part.timeout_ms);
    let parameters = if request.is_search {
        format!(
            "?preference=_shards:{}&allow_partial_search_results=false&timeout={timeout_ms}ms",
            part.shard
        )
    } else {
        format!("?timeout={timeout_ms}ms")
    };
    let key =
        part.idempotency_key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let head = format!(
        "POST {path}{parameters} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{key}Content-Length: {}\r\n\r\n",
        body.len()
    );
    Some((head + body).into_bytes())
}

/// The outcome of a part by the response's status, and its body if the part succeeded. The body is not
/// inspected here: that takes the part's request.
pub fn part_outcome(message: &Message) -> (PartOutcome, String) {
    let [_, status, _] = &message.start_line;
    let value = String::from_utf8(message.body.clone());
    match (status.as_str(), value) {
        ("200" | "201", Ok(value)) => (PartOutcome::Succeeded, value),
        ("429", _) => (PartOutcome::Rejected, String::new()),
        _ => (PartOutcome::Failed, String::new()),
    }
}

/// The version in a node's response to `GET /`, cut to a length fit for a log line, or `none` without one.
pub fn node_version(message: &Message) -> String {
    let node = fernglade_dialect::JsonValue::parse(&message.body).ok();
    let number = node.as_ref().and_then(|node| node.get("version")?.get("number")?.text("number").ok());
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || ".-_".contains(*c);
    let number: String = number.unwrap_or_default().chars().filter(is_allowed).take(40).collect();
    if number.is_empty() {
        "none".into()
    } else {
        number
    }
}
