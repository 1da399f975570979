use super::{response, Message, ParseError, Reader, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use test_case::test_case;

fn read_all(bytes: &[u8]) -> Result<(usize, Option<Message>), ParseError> {
    Reader::default().read(bytes)
}

/// Reads byte by byte and keeps what is not consumed, as a connection does.
fn read_bytewise(bytes: &[u8]) -> Result<Vec<Message>, ParseError> {
    let (mut reader, mut unread, mut messages) = (Reader::default(), Vec::new(), Vec::new());
    for byte in bytes {
        unread.push(*byte);
        let (used, message) = reader.read(&unread)?;
        unread.drain(..used);
        messages.extend(message);
    }
    Ok(messages)
}

const WITH_LENGTH: &[u8] =
    b"\r\nPOST /a?key=1 HTTP/1.1\r\nHost: b\r\nX-Timeout:  0.480 \r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\nT: x\r\n\r\n";
const WITHOUT_BODY: &[u8] = b"GET /healthz HTTP/1.1\r\nConnection: Upgrade, Close\r\n\r\n";

#[test_case(WITH_LENGTH, "POST", b"hello"; "a length")]
#[test_case(CHUNKED, "HTTP/1.1", b"hello"; "chunks")]
#[test_case(WITHOUT_BODY, "GET", b""; "no body")]
fn a_message_is_read_alike_at_once_and_byte_by_byte(bytes: &[u8], first: &str, body: &[u8]) {
    let two_messages = [bytes, bytes].concat();
    let (used, message) = read_all(&two_messages).unwrap();
    let message = message.expect("complete");
    assert_eq!((used, message.start_line[0].as_str(), message.body.as_slice()), (bytes.len(), first, body));
    assert_eq!(message.keep_alive(), bytes != WITHOUT_BODY);
    let messages = read_bytewise(&two_messages).unwrap();
    assert_eq!((messages.len(), &messages[0], &messages[1]), (2, &message, &message));
    for cut in 0..bytes.len() {
        assert_eq!(read_all(&bytes[..cut]).map(|(_, message)| message), Ok(None), "cut at {cut}");
    }
}

#[test]
fn headers_are_found_regardless_of_case_and_whitespace() {
    let message = read_all(WITH_LENGTH).unwrap().1.unwrap();
    assert_eq!((message.header("x-timeout"), message.header("x-none")), (Some("0.480"), None));
}

#[test_case("GET /\r\n\r\n", "start line"; "two words")]
#[test_case("GET / HTTP/2\r\n\r\n", "version"; "other version")]
#[test_case("GET / HTTP/1.1\r\nno colon\r\n\r\n", "colon"; "no colon")]
#[test_case("GET / HTTP/1.1\r\nA: b\r\n folded: c\r\n\r\n", "name"; "folded line")]
#[test_case("GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", "value"; "bare line feed")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", "length"; "signed length")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "length"; "two lengths")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", "both"; "length and transfer coding")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "coding"; "other coding")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "not a number"; "no chunk size")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", "longer"; "long chunk")]
fn malformed_messages_are_refused_at_once_and_byte_by_byte(text: &str, expected: &str) {
    for result in [read_all(text.as_bytes()).map(|_| ()), read_bytewise(text.as_bytes()).map(|_| ())] {
        assert!(
            matches!(result, Err(ParseError::Malformed(message)) if message.contains(expected)),
            "{result:?}"
        );
    }
}

#[test]
fn heads_and_bodies_are_limited() {
    let long = format!("GET / HTTP/1.1\r\nA: {}", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(read_all(long.as_bytes()), Err(ParseError::HeadTooLong));
    let body = |length| format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    assert_eq!(read_all(body(MAX_BODY_BYTES + 1).as_bytes()), Err(ParseError::BodyTooLong));
    assert_eq!(read_all(body(u128::MAX as usize).as_bytes()), Err(ParseError::BodyTooLong));
    assert!(read_all(body(MAX_BODY_BYTES).as_bytes()).is_ok());
    let chunk = format!("{:x}\r\n{}\r\n", MAX_BODY_BYTES / 2, "a".repeat(MAX_BODY_BYTES / 2));
    let chunked = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{chunk}1\r\na\r\n");
    assert_eq!(read_all(chunked.as_bytes()), Err(ParseError::BodyTooLong));
}

const WITHOUT_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nhello";

#[test_case(WITHOUT_LENGTH, Some(b"hello"); "no length")]
#[test_case(b"HTTP/1.1 204 No Content\r\n\r\n", None; "no body")]
#[test_case(&WITH_LENGTH[..WITH_LENGTH.len() - 1], None; "a length that is not reached")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Enc", None; "half a head")]
fn a_response_without_length_is_complete_when_its_connection_closes(bytes: &[u8], expected: Option<&[u8]>) {
    let mut reader = Reader::for_responses(MAX_BODY_BYTES);
    let message = reader.read(bytes).unwrap().1;
    assert_eq!(message.is_some(), bytes.starts_with(b"HTTP/1.1 204"));
    assert_eq!(reader.finish().map(|message| message.body).as_deref(), expected);
    assert_eq!(
        Reader::default().read(WITHOUT_LENGTH).map(|(_, message)| message.is_some()),
        Ok(true),
        "a request"
    );
    let long = [WITHOUT_LENGTH, &[b'x'; MAX_BODY_BYTES]].concat();
    assert_eq!(Reader::for_responses(MAX_BODY_BYTES).read(&long), Err(ParseError::BodyTooLong));
}

#[test]
fn an_encoded_response_is_parsed_back() {
    let bytes = response(503, &[("Retry-After", "0.500")], "{}", true);
    let message = read_all(&bytes).unwrap().1.unwrap();
    assert_eq!((message.start_line[1].as_str(), message.header("retry-after")), ("503", Some("0.500")));
    assert!(message.body == b"{}" && !message.keep_alive());
}

#[test_case("", true; "nothing")]
#[test_case("\r\n", true; "an empty line")]
#[test_case("P", true; "a method begins")]
#[test_case("\r\nVERSION-CONTROL /a HTTP/1.1", true; "a method after an empty line")]
#[test_case("\"}", false; "the rest of a body")]
#[test_case("{}", false; "a body")]
#[test_case(" GET /", false; "no method")]
#[test_case("noise", false; "noise")]
#[test_case("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", false; "a method without end")]
fn bytes_that_cannot_begin_a_request_are_recognized(bytes: &str, expected: bool) {
    assert_eq!(super::may_begin_request(bytes.as_bytes()), expected);
}
