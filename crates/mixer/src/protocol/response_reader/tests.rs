use super::ResponseReader;
use crate::protocol::http::response;
use test_case::test_case;

fn ok(body: &str) -> Vec<u8> {
    response(200, &[], body, false)
}

/// The bodies released from `bytes` received at once, or `None` if the connection is unusable.
fn read_once(bytes: &[u8], expected: usize) -> Option<Vec<String>> {
    bodies(&mut ResponseReader::default(), bytes, true, expected)
}

fn bodies(reader: &mut ResponseReader, bytes: &[u8], is_all: bool, expected: usize) -> Option<Vec<String>> {
    let responses = reader.read(bytes, is_all, expected).responses.ok()?;
    Some(responses.into_iter().map(|response| String::from_utf8(response.body).unwrap()).collect())
}

/// Guards against taking a surplus response for the answer to a request: where there is one, none is taken.
#[test_case(&[ok("a"), ok("a")].concat(), 1; "a second copy")]
#[test_case(&[ok("old"), ok("a")].concat(), 1; "a late copy of an earlier response")]
#[test_case(&[ok("a"), b"HTTP".to_vec()].concat(), 1; "the beginning of a second copy")]
#[test_case(&[ok("a"), b"noise".to_vec()].concat(), 1; "noise")]
#[test_case(&[ok("a"), ok("b"), ok("b")].concat(), 2; "a third of two")]
#[test_case(&ok("a"), 0; "a response to no request")]
fn surplus_responses_release_none(bytes: &[u8], expected: usize) {
    assert_eq!(read_once(bytes, expected), None);
}

#[test]
fn expected_responses_are_released_in_whatever_pieces_they_arrive() {
    let both = [ok("a"), b"\r\n".to_vec(), ok("b")].concat();
    assert_eq!(read_once(&both, 2), Some(vec!["a".into(), "b".into()]));
    let (mut reader, mut unread, mut released) = (ResponseReader::default(), Vec::new(), Vec::new());
    for byte in &both {
        unread.push(*byte);
        let batch = reader.read(&unread, true, 2 - released.len());
        unread.drain(..batch.consumed);
        released.extend(batch.responses.unwrap());
    }
    assert_eq!(released.len(), 2);
}

/// Guards against the limit of the read buffer: what is still in the socket has not been looked at either.
#[test]
fn responses_are_held_while_more_has_been_received_than_read() {
    let mut reader = ResponseReader::default();
    assert_eq!(bodies(&mut reader, &ok("a"), false, 1), Some(Vec::new()));
    assert_eq!(bodies(&mut reader, b"", true, 1), Some(vec!["a".into()]));
    assert_eq!(bodies(&mut reader, &ok("b"), false, 1), Some(Vec::new()));
    assert_eq!(bodies(&mut reader, &ok("b"), true, 1), None);
}
