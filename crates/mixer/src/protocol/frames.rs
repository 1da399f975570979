//! Searcher frames: a length of four bytes, a letter, and the rest.

use super::MAX_BODY_BYTES;

/// A line before a value.
const MOST_LINE: usize = 1024;
/// The rest of a part's line in a call: its shard, its time, the length of its text.
const CALL_LINE: usize = 48;
/// What the length of one frame may count.
pub const MAX_FRAME_BYTES: usize = 1 + MOST_LINE + MAX_BODY_BYTES;

/// How a searcher ended a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartOutcome {
    Succeeded,
    Failed,
    Rejected,
}

/// What a searcher says.
#[derive(Debug, PartialEq)]
pub enum Frame {
    Part {
        id: String,
        outcome: PartOutcome,
        value: String,
    },
    /// A check's answer.
    ProbeResult(bool),
    /// A load report, which nothing here asks for.
    LoadReport,
    /// The frame before could not be used.
    ProtocolError(String),
}

/// One part of a call, on its way to a searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    pub id: String,
    pub shard: u32,
    pub timeout_ms: u64,
    pub idempotency_key: Option<String>,
    pub text: std::rc::Rc<str>,
    /// The same for a node that speaks the query dialect; none where it can't be said there.
    pub node_request: Option<std::rc::Rc<NodeRequest>>,
}

/// A part as a node of the query dialect is asked it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRequest {
    /// Without the shard and the time left, which each part has its own.
    pub path: String,
    pub body: String,
    /// A search, of one shard; else an edit.
    pub is_search: bool,
}

/// The next frame, where all of it has come, and how many bytes it took.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, &'static str> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err("a frame's length is out of bounds");
    }
    let Some((letter, body)) = rest.get(..length).and_then(<[u8]>::split_first) else { return Ok(None) };
    let frame = match letter {
        b'q' => part(body)?,
        b'o' => Frame::ProbeResult(match body {
            b"good" => true,
            b"bad" => false,
            _ => return Err("a check's answer is unknown"),
        }),
        b'p' => Frame::LoadReport,
        b'r' => Frame::ProtocolError(String::from_utf8_lossy(body).chars().take(200).collect()),
        _ => return Err("a frame's letter is unknown"),
    };
    Ok(Some((frame, 4 + length)))
}

/// The report, up to the line's end, may be anything: nothing here goes by it.
fn part(body: &[u8]) -> Result<Frame, &'static str> {
    let end = body.iter().position(|byte| *byte == b'\n').ok_or("a part's line has no end")?;
    let (line, value) = (&body[..end], &body[end + 1..]);
    let mut words = line.splitn(4, |byte| *byte == b' ').map(std::str::from_utf8);
    let mut word = || words.next().and_then(Result::ok).filter(|word| !word.is_empty());
    let (id, end, score) = (word(), word(), word());
    let id = id.ok_or("a part's line has no id")?;
    let end = match end {
        Some("good") => PartOutcome::Succeeded,
        Some("bad") => PartOutcome::Failed,
        Some("later") => PartOutcome::Rejected,
        _ => return Err("a part's end is unknown"),
    };
    if end == PartOutcome::Succeeded && !score.is_some_and(|score| score.bytes().all(|b| b.is_ascii_digit()))
    {
        return Err("a part's score is no number");
    }
    let value = std::str::from_utf8(value).map_err(|_| "a value is not text")?;
    Ok(Frame::Part { id: id.into(), outcome: end, value: value.into() })
}

fn frame(letter: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = ((body.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(body);
    bytes
}

/// A call that waited so long since its parts' times were taken.
pub fn encode_call(errands: &[PartRequest], waited_ms: u64) -> Vec<u8> {
    let mut body = String::new();
    for errand in errands {
        let label = errand.idempotency_key.as_ref().map_or(String::new(), |label| format!(",k={label}"));
        let PartRequest { id, shard, timeout_ms: waits_ms, text, .. } = errand;
        let waits_ms = waits_ms.saturating_sub(waited_ms).max(1);
        body.push_str(&format!("{id} {shard} d={waits_ms}{label} {}\n{text}", text.len()));
    }
    frame(b'm', body.as_bytes())
}

/// About how many bytes a call takes.
pub fn estimated_call_size(errands: &[PartRequest]) -> usize {
    let label = |errand: &PartRequest| errand.idempotency_key.as_ref().map_or(0, String::len);
    errands.iter().map(|errand| errand.id.len() + label(errand) + errand.text.len() + CALL_LINE).sum()
}

pub fn encode_cancel(id: &str) -> Vec<u8> {
    frame(b'n', id.as_bytes())
}

pub fn encode_probe() -> Vec<u8> {
    frame(b'o', b"")
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn said(letter: u8, body: &str) -> Vec<u8> {
        frame(letter, body.as_bytes())
    }

    #[test]
    fn a_call_is_written_as_the_page_shows() {
        let label = Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211".to_string());
        let id = "9b1f03aa5c7e2d41.3".to_string();
        let errand = PartRequest {
            id,
            shard: 3,
            timeout_ms: 240,
            idempotency_key: label,
            text: "c41e77d0".into(),
            node_request: None,
        };
        let line = "9b1f03aa5c7e2d41.3 3 d=240,k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211 8\nc41e77d0";
        assert_eq!(encode_call(std::slice::from_ref(&errand), 0), said(b'm', line));
        let plain = PartRequest { idempotency_key: None, shard: 4, text: "é\n".into(), ..errand.clone() };
        let second = "9b1f03aa5c7e2d41.3 4 d=240 3\né\n";
        assert_eq!(encode_call(&[errand, plain], 0), said(b'm', &format!("{line}{second}")));
        assert_eq!((encode_cancel("a.3"), encode_probe()), (said(b'n', "a.3"), said(b'o', "")));
    }

    fn ended(end: PartOutcome, value: &str) -> Frame {
        Frame::Part { id: "a.3".into(), outcome: end, value: value.into() }
    }

    #[test_case(b'q', "a.3 good 1840277719 -\n5be2\n x", ended(PartOutcome::Succeeded, "5be2\n x"); "honoured")]
    #[test_case(b'q', "a.3 good 7 \u{1}\u{ff} x  y \n5be2", ended(PartOutcome::Succeeded, "5be2"); "an odd report")]
    #[test_case(b'q', "a.3 good 7 \n5be2", ended(PartOutcome::Succeeded, "5be2"); "an empty report")]
    #[test_case(b'q', "a.3 bad 0 -\n", ended(PartOutcome::Failed, ""); "erred")]
    #[test_case(b'q', "a.3 later 0 q=2\n", ended(PartOutcome::Rejected, ""); "turned away")]
    #[test_case(b'o', "good", Frame::ProbeResult(true); "there")]
    #[test_case(b'o', "bad", Frame::ProbeResult(false); "not there")]
    #[test_case(b'p', "-", Frame::LoadReport; "report")]
    #[test_case(b'r', "no such shard", Frame::ProtocolError("no such shard".into()); "objection")]
    fn a_frame_is_read_whole_and_never_before(letter: u8, body: &str, frame: Frame) {
        let bytes = [said(letter, body), vec![0]].concat();
        for cut in 0..bytes.len() - 1 {
            assert_eq!(decode(&bytes[..cut]), Ok(None), "cut at {cut}");
        }
        assert_eq!(decode(&bytes), Ok(Some((frame, bytes.len() - 1))));
    }

    #[test_case(&[0, 0, 0, 0], "out of bounds"; "empty")]
    #[test_case(&[0, 2, 0, 0, b'q'], "out of bounds"; "over long, before it has come")]
    #[test_case(&said(b'z', ""), "letter"; "unknown letter")]
    #[test_case(&said(b'q', "a good 1 -"), "no end"; "no line feed")]
    #[test_case(&said(b'q', "a good\n"), "score"; "two words")]
    #[test_case(&said(b'q', " good 1 -\n"), "no id"; "no id")]
    #[test_case(&said(b'q', "a good ? -\n"), "score"; "an odd score")]
    #[test_case(&said(b'q', "a  1 -\n"), "end is unknown"; "no end word")]
    #[test_case(&said(b'q', "a fine 1 -\n"), "end is unknown"; "unknown end")]
    #[test_case(&said(b'o', "maybe"), "check"; "unknown answer to a check")]
    #[test_case(&[0, 0, 0, 13, b'q', b'a', b' ', b'g', b'o', b'o', b'd', b' ', b'1', b' ', b'-', b'\n', 0xff], "not text")]
    fn what_is_malformed_is_told(bytes: &[u8], says: &str) {
        assert!(decode(bytes).is_err_and(|what| what.contains(says)));
    }
}
