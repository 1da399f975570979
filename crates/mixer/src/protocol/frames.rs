//! Frames exchanged with searchers: a four-byte big-endian length, a one-byte type and the payload. The
//! length counts the type and the payload.

use super::MAX_BODY_BYTES;
use std::rc::Rc;

/// Maximum length of the header line before a value.
const MAX_LINE_BYTES: usize = 1024;
/// Estimated size of a part's line in a call without its id and idempotency key: shard, timeout and text
/// length.
const PART_LINE_BYTES: usize = 48;
const LENGTH_BYTES: usize = 4;
/// The head of a frame: its length and its type.
pub const HEAD_BYTES: usize = LENGTH_BYTES + 1;
/// Largest length of a health probe's result.
const MAX_PROBE_RESULT_BYTES: usize = 1 + b"good".len();
/// Largest length that a frame may announce.
pub const MAX_FRAME_BYTES: usize = 1 + MAX_LINE_BYTES + MAX_BODY_BYTES;

/// Result of a part as reported by a searcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartOutcome {
    /// `good`: the part was executed and has a value.
    Succeeded,
    /// `bad`: the part failed; it may have run.
    Failed,
    /// `later`: the searcher refused the part without executing it.
    Rejected,
}

/// A frame received from a searcher.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// Result of one part.
    Part { id: String, outcome: PartOutcome, value: String },
    /// Answer to a health probe: whether the searcher is healthy.
    ProbeResult(bool),
    /// An unsolicited load report; its content is ignored.
    LoadReport,
    /// The searcher could not use the previous frame; holds the start of its explanation.
    ProtocolError(String),
}

/// One part of a call to a searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    pub id: String,
    pub shard: u32,
    /// Time left for the part when the call is handed over for writing, in milliseconds.
    pub timeout_ms: u64,
    pub idempotency_key: Option<String>,
    /// The query text, passed on unchanged.
    pub text: Rc<str>,
    /// The same request for a node that speaks the query API; `None` if the query API cannot express it.
    pub node_request: Option<Rc<NodeRequest>>,
}

/// A part as a request to a node that speaks the query API.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRequest {
    /// Path without query parameters: the shard and the timeout differ by part.
    pub path: String,
    pub body: Rc<str>,
    /// True for a search on a single shard, false for an edit.
    pub is_search: bool,
}

/// Checks a frame's head, as far as it has arrived.
fn check_head(bytes: &[u8]) -> Result<(), &'static str> {
    let mut least_length = [0; LENGTH_BYTES];
    for (known, byte) in least_length.iter_mut().zip(bytes) {
        *known = *byte;
    }
    let least_length = u32::from_be_bytes(least_length) as usize;
    let is_empty = bytes.len() >= LENGTH_BYTES && least_length == 0;
    if is_empty || least_length > MAX_FRAME_BYTES {
        return Err("frame length out of bounds");
    }
    match bytes.get(HEAD_BYTES - 1) {
        Some(b'o') if least_length > MAX_PROBE_RESULT_BYTES => Err("unknown health probe result"),
        None | Some(b'q' | b'o' | b'p' | b'r') => Ok(()),
        Some(_) => Err("unknown frame type"),
    }
}

/// Decodes the first frame and returns it with the number of bytes consumed, or `None` if it is incomplete.
/// An error shows as soon as the head does, in whatever pieces that arrives.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, &'static str> {
    check_head(bytes)?;
    let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    let Some((kind, body)) = rest.get(..length).and_then(<[u8]>::split_first) else { return Ok(None) };
    let frame = match kind {
        b'q' => decode_part(body)?,
        b'o' => Frame::ProbeResult(match body {
            b"good" => true,
            b"bad" => false,
            _ => return Err("unknown health probe result"),
        }),
        b'p' => Frame::LoadReport,
        b'r' => Frame::ProtocolError(String::from_utf8_lossy(body).chars().take(200).collect()),
        _ => return Err("unknown frame type"),
    };
    Ok(Some((frame, LENGTH_BYTES + length)))
}

/// Decodes a part's result: a line with id, outcome, score and load report, followed by the value. The load
/// report extends to the end of the line, may hold any bytes and is ignored.
fn decode_part(body: &[u8]) -> Result<Frame, &'static str> {
    let line_end = body.iter().position(|byte| *byte == b'\n').ok_or("part line is not terminated")?;
    let (line, value) = (&body[..line_end], &body[line_end + 1..]);
    let mut words = line.splitn(4, |byte| *byte == b' ').map(std::str::from_utf8);
    let mut word = || words.next().and_then(Result::ok).filter(|word| !word.is_empty());
    let (id, outcome, score) = (word(), word(), word());
    let id = id.ok_or("part line has no id")?;
    let outcome = match outcome {
        Some("good") => PartOutcome::Succeeded,
        Some("bad") => PartOutcome::Failed,
        Some("later") => PartOutcome::Rejected,
        _ => return Err("unknown part outcome"),
    };
    if outcome == PartOutcome::Succeeded
        && !score.is_some_and(|score| score.bytes().all(|b| b.is_ascii_digit()))
    {
        return Err("part score is not a number");
    }
    let value = std::str::from_utf8(value).map_err(|_| "part value is not valid UTF-8")?;
    Ok(Frame::Part { id: id.into(), outcome, value: value.into() })
}

/// Encodes a frame of the given type.
fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = ((body.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a call. `waited_ms` is the time since the parts' timeouts were computed and is subtracted from
/// each of them; a part keeps at least one millisecond.
pub fn encode_call(parts: &[PartRequest], waited_ms: u64) -> Vec<u8> {
    let mut body = String::new();
    for part in parts {
        let key = part.idempotency_key.as_ref().map_or(String::new(), |key| format!(",k={key}"));
        let PartRequest { id, shard, timeout_ms, text, .. } = part;
        let timeout_ms = timeout_ms.saturating_sub(waited_ms).max(1);
        body.push_str(&format!("{id} {shard} d={timeout_ms}{key} {}\n{text}", text.len()));
    }
    frame(b'm', body.as_bytes())
}

/// Estimated size of an encoded call in bytes.
pub fn estimated_call_size(parts: &[PartRequest]) -> usize {
    let key_len = |part: &PartRequest| part.idempotency_key.as_ref().map_or(0, String::len);
    parts.iter().map(|part| part.id.len() + key_len(part) + part.text.len() + PART_LINE_BYTES).sum()
}

/// Encodes the cancellation of a part.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    frame(b'n', id.as_bytes())
}

/// Encodes a health probe.
pub fn encode_probe() -> Vec<u8> {
    frame(b'o', b"")
}

#[cfg(test)]
mod tests;
