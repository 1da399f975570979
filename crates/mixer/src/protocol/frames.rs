//! Frames exchanged with searchers: a four-byte big-endian length, a one-byte type and the payload. The
//! length counts the type and the payload.

use super::MAX_BODY_BYTES;

/// Maximum length of the header line before a value.
const MAX_LINE_BYTES: usize = 1024;
/// Estimated size of a part's line in a call without its id and idempotency key: shard, timeout and text
/// length.
const PART_LINE_BYTES: usize = 48;
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
    pub text: std::rc::Rc<str>,
    /// The same request for a node that speaks the query API; `None` if the query API cannot express it.
    pub node_request: Option<std::rc::Rc<NodeRequest>>,
}

/// A part as a request to a node that speaks the query API.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRequest {
    /// Path without query parameters: the shard and the timeout differ by part.
    pub path: String,
    pub body: String,
    /// True for a search on a single shard, false for an edit.
    pub is_search: bool,
}

/// Decodes the first frame and returns it with the number of bytes consumed, or `None` if it is incomplete.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, &'static str> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err("frame length out of bounds");
    }
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
    Ok(Some((frame, 4 + length)))
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
mod tests {
    use super::*;
    use test_case::test_case;

    fn text_frame(kind: u8, body: &str) -> Vec<u8> {
        frame(kind, body.as_bytes())
    }

    #[test]
    fn calls_are_encoded_as_in_the_protocol_page() {
        let idempotency_key = Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211".to_string());
        let id = "9b1f03aa5c7e2d41.3".to_string();
        let part = PartRequest {
            id,
            shard: 3,
            timeout_ms: 240,
            idempotency_key,
            text: "c41e77d0".into(),
            node_request: None,
        };
        let line = "9b1f03aa5c7e2d41.3 3 d=240,k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211 8\nc41e77d0";
        assert_eq!(encode_call(std::slice::from_ref(&part), 0), text_frame(b'm', line));
        let plain = PartRequest { idempotency_key: None, shard: 4, text: "é\n".into(), ..part.clone() };
        let second = "9b1f03aa5c7e2d41.3 4 d=240 3\né\n";
        assert_eq!(encode_call(&[part, plain], 0), text_frame(b'm', &format!("{line}{second}")));
        assert_eq!((encode_cancel("a.3"), encode_probe()), (text_frame(b'n', "a.3"), text_frame(b'o', "")));
    }

    fn part_frame(outcome: PartOutcome, value: &str) -> Frame {
        Frame::Part { id: "a.3".into(), outcome, value: value.into() }
    }

    #[test_case(b'q', "a.3 good 1840277719 -\n5be2\n x", part_frame(PartOutcome::Succeeded, "5be2\n x"); "succeeded")]
    #[test_case(b'q', "a.3 good 7 \u{1}\u{ff} x  y \n5be2", part_frame(PartOutcome::Succeeded, "5be2"); "a load report with arbitrary bytes")]
    #[test_case(b'q', "a.3 good 7 \n5be2", part_frame(PartOutcome::Succeeded, "5be2"); "an empty load report")]
    #[test_case(b'q', "a.3 bad 0 -\n", part_frame(PartOutcome::Failed, ""); "failed")]
    #[test_case(b'q', "a.3 later 0 q=2\n", part_frame(PartOutcome::Rejected, ""); "rejected")]
    #[test_case(b'o', "good", Frame::ProbeResult(true); "healthy")]
    #[test_case(b'o', "bad", Frame::ProbeResult(false); "unhealthy")]
    #[test_case(b'p', "-", Frame::LoadReport; "load report")]
    #[test_case(b'r', "no such shard", Frame::ProtocolError("no such shard".into()); "protocol error")]
    fn a_frame_is_decoded_only_once_it_is_complete(kind: u8, body: &str, frame: Frame) {
        let bytes = [text_frame(kind, body), vec![0]].concat();
        for cut in 0..bytes.len() - 1 {
            assert_eq!(decode(&bytes[..cut]), Ok(None), "cut at {cut}");
        }
        assert_eq!(decode(&bytes), Ok(Some((frame, bytes.len() - 1))));
    }

    #[test_case(&[0, 0, 0, 0], "out of bounds"; "empty")]
    #[test_case(&[0, 2, 0, 0, b'q'], "out of bounds"; "too long, before its payload has arrived")]
    #[test_case(&text_frame(b'z', ""), "frame type"; "unknown frame type")]
    #[test_case(&text_frame(b'q', "a good 1 -"), "not terminated"; "no line feed")]
    #[test_case(&text_frame(b'q', "a good\n"), "score"; "two words")]
    #[test_case(&text_frame(b'q', " good 1 -\n"), "no id"; "no id")]
    #[test_case(&text_frame(b'q', "a good ? -\n"), "score"; "score is not a number")]
    #[test_case(&text_frame(b'q', "a  1 -\n"), "unknown part outcome"; "no outcome")]
    #[test_case(&text_frame(b'q', "a fine 1 -\n"), "unknown part outcome"; "unknown outcome")]
    #[test_case(&text_frame(b'o', "maybe"), "health probe result"; "unknown probe result")]
    #[test_case(&[0, 0, 0, 13, b'q', b'a', b' ', b'g', b'o', b'o', b'd', b' ', b'1', b' ', b'-', b'\n', 0xff], "not valid UTF-8")]
    fn malformed_frames_are_rejected(bytes: &[u8], expected: &str) {
        assert!(decode(bytes).is_err_and(|error| error.contains(expected)));
    }
}
