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
