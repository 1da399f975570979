//! Nodes of the query dialect, over HTTP/1.1: one question at a time on a connection.

use super::frames::{Errand, PartEnd};
use super::http::Message;

/// A part's question; nothing where it can't be asked there.
pub fn question(errand: &Errand, host: &str) -> Option<Vec<u8>> {
    let asked = errand.asked.as_ref()?;
    let (path, body, waits) = (&asked.path, &asked.body, errand.waits_ms);
    let wanted = if asked.search {
        format!("?preference=_shards:{}&allow_partial_search_results=false&timeout={waits}ms", errand.shard)
    } else {
        format!("?timeout={waits}ms")
    };
    let key = errand.label.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let head = format!(
        "POST {path}{wanted} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{key}Content-Length: {}\r\n\r\n",
        body.len()
    );
    Some((head + body).into_bytes())
}

/// How a part ended, by the answer's status; what it holds is looked at where the part is known.
pub fn end(message: &Message) -> (PartEnd, String) {
    let [_, status, _] = &message.start;
    let value = String::from_utf8(message.body.clone());
    match (status.as_str(), value) {
        ("200" | "201", Ok(value)) => (PartEnd::Honoured, value),
        ("429", _) => (PartEnd::TurnedAway, String::new()),
        _ => (PartEnd::Erred, String::new()),
    }
}

/// What a node's root says of its version, or that it says none; as much as a line of the log takes.
pub fn version(message: &Message) -> String {
    let node = fernglade_dialect::JsonValue::parse(&message.body).ok();
    let number = node.as_ref().and_then(|node| node.get("version")?.get("number")?.text("number").ok());
    let plain = |letter: &char| letter.is_ascii_alphanumeric() || ".-_".contains(*letter);
    let number: String = number.unwrap_or_default().chars().filter(plain).take(40).collect();
    if number.is_empty() {
        "none".into()
    } else {
        number
    }
}
