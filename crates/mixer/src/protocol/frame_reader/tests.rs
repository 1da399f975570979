use super::{FrameBatch, FrameReader};
use crate::protocol::frames::{Frame, PartOutcome};
use test_case::test_case;

fn frame(kind: u8, body: &str) -> Vec<u8> {
    frame_with_length(kind, body, 0)
}

/// A frame that announces a length that differs by `difference` from its own.
fn frame_with_length(kind: u8, body: &str, difference: i32) -> Vec<u8> {
    let length = (body.len() as i32 + 1 + difference) as u32;
    [&length.to_be_bytes()[..], &[kind], body.as_bytes()].concat()
}

fn answer(id: &str) -> Vec<u8> {
    frame(b'q', &format!("{id} good 7 -\n5be2a07c"))
}

fn part(id: &str) -> Frame {
    Frame::Part { id: id.into(), outcome: PartOutcome::Succeeded, value: "5be2a07c".into() }
}

/// Everything that a connection delivers with these pieces, each received on its own.
fn read_pieces(pieces: &[&[u8]]) -> (Vec<Frame>, Option<&'static str>) {
    let (mut reader, mut unread, mut frames) = (FrameReader::default(), Vec::new(), Vec::new());
    for piece in pieces {
        unread.extend_from_slice(piece);
        let batch = reader.read(&unread, true);
        unread.drain(..batch.consumed);
        frames.extend(batch.frames);
        if batch.error.is_some() {
            return (frames, batch.error);
        }
    }
    (frames, None)
}

/// Guards against serving the value of an answer whose announced length is not its own.
#[test_case(&frame_with_length(b'q', "a.3 good 7 -\n5be2a07c", -4); "a length that is too small")]
#[test_case(&frame_with_length(b'q', "a.3 good 7 -\n5be2a07c", -1); "a length that is one byte too small")]
#[test_case(&[frame_with_length(b'q', "a.3 good 7 -\n5be2a07c", 4), answer("a.4")].concat(); "a length that reaches into the next frame")]
#[test_case(&[answer("a.3"), b"noise".to_vec()].concat(); "noise behind an answer")]
#[test_case(&[answer("a.3"), frame(b'z', "")].concat(); "an unknown type behind an answer")]
#[test_case(&[answer("a.3"), vec![0, 0, 0, 9, b'z']].concat(); "the head of an unknown type behind an answer")]
fn an_answer_followed_by_bytes_that_are_no_frame_is_not_released(bytes: &[u8]) {
    let (frames, error) = read_pieces(&[bytes]);
    assert_eq!((frames.as_slice(), error.is_some()), (&[][..], true));
    // The same answer behind a sound one takes only itself along.
    let (frames, error) = read_pieces(&[&[&answer("a.2"), bytes].concat()]);
    assert_eq!((frames, error.is_some()), (vec![part("a.2")], true));
}

#[test]
fn answers_followed_by_a_frame_or_by_nothing_are_released() {
    let bytes = [answer("a.1"), answer("a.2"), frame(b'o', "good")].concat();
    let expected = || vec![part("a.1"), part("a.2"), Frame::ProbeResult(true)];
    assert_eq!(read_pieces(&[&bytes]), (expected(), None));
    let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(read_pieces(&single_bytes), (expected(), None));
    let (whole, head) = (answer("a.1"), &answer("a.2")[..5]);
    assert_eq!(read_pieces(&[&[&whole, head].concat()]), (vec![part("a.1")], None), "the next one has begun");
}

/// Guards against the limit of the read buffer: what is still in the socket has not been looked at either.
#[test]
fn an_answer_is_held_while_more_has_been_received_than_read() {
    let (mut reader, bytes) = (FrameReader::default(), answer("a.1"));
    let consumed = bytes.len();
    assert_eq!(reader.read(&bytes, false), FrameBatch { frames: Vec::new(), consumed, error: None });
    assert_eq!(reader.read(b"", true).frames, [part("a.1")]);
    assert_eq!(reader.read(&bytes, false).frames, []);
    let batch = reader.read(b"5be2", true);
    assert_eq!((batch.frames, batch.error.is_some()), (Vec::new(), true));
    assert_eq!(reader.read(b"", true).frames, [], "it is gone for good");
}

/// Bytes that may still become a head neither confirm the answer before them nor condemn it.
#[test]
fn an_answer_is_held_while_the_head_behind_it_is_incomplete() {
    let next = answer("a.2");
    let first = [&answer("a.1"), &next[..3]].concat();
    assert_eq!(read_pieces(&[&first]), (Vec::new(), None));
    assert_eq!(read_pieces(&[&first, &next[3..]]), (vec![part("a.1"), part("a.2")], None));
    let (frames, error) = read_pieces(&[&first, b"noise"]);
    assert_eq!((frames, error.is_some()), (Vec::new(), true));
}
