//! HTTP/1.1: messages out of bytes in any pieces, and bytes out of messages.

use super::MAX_BODY_BYTES;

/// A head, start line and all, holds at most so much; some fifty usual header lines.
const MOST_HEAD: usize = 8 * 1024;
/// What a reader's caller has to hold: a head, as bodies are taken out as they come. More is left where it is.
pub const MAX_UNREAD_BYTES: usize = 2 * MOST_HEAD;
/// A line that gives a chunk's size.
const MOST_CHUNK_LINE: usize = 256;

#[derive(Debug, Default, PartialEq)]
pub struct Message {
    /// The start line's three parts.
    pub start_line: [String; 3],
    /// Names in lower case.
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What makes a stream of messages unreadable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ParseError {
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Whether the connection may carry another message after this one.
    pub fn keep_alive(&self) -> bool {
        let old = self.start_line.iter().any(|word| word == "HTTP/1.0");
        let says = |word| self.header("connection").is_some_and(|v| has_word(v, word));
        if old {
            says("keep-alive")
        } else {
            !says("close")
        }
    }
}

fn has_word(value: &str, word: &str) -> bool {
    value.split(',').any(|one| one.trim().eq_ignore_ascii_case(word))
}

#[derive(Default)]
enum Stage {
    #[default]
    Head,
    Body(usize),
    ChunkLine,
    Chunk(usize),
    ChunkEnd,
    Trailers(usize),
    /// An answer that tells no length: it lasts until its sender ends the connection in order.
    ToTheEnd,
}

/// Reads one message after another.
pub struct Reader {
    stage: Stage,
    message: Message,
    /// How far the head has been searched for its end.
    searched: usize,
    /// What comes are answers: one may tell no length.
    of_answers: bool,
    /// What a body holds at most.
    most: usize,
}

impl Default for Reader {
    fn default() -> Self {
        let (stage, message) = <(Stage, Message)>::default();
        Self { stage, message, searched: 0, of_answers: false, most: MAX_BODY_BYTES }
    }
}

impl Reader {
    pub fn for_responses(most: usize) -> Self {
        Self { of_answers: true, most, ..Self::default() }
    }

    /// The other side has ended the connection in order, and all that came was read: the message that this makes
    /// whole. A connection that breaks makes none whole, as nobody can tell what was still to come.
    pub fn finish(&mut self) -> Option<Message> {
        let whole = matches!(self.stage, Stage::ToTheEnd);
        whole.then(|| {
            self.stage = Stage::Head;
            std::mem::take(&mut self.message)
        })
    }

    /// Whether a message has begun and is not whole. Bytes handed in and left unused count too.
    pub fn is_mid_message(&self, unread: &[u8]) -> bool {
        !matches!(self.stage, Stage::Head) || unread.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Goes on from where it stood: how many bytes were used up, and the message if it is whole.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(usize, Option<Message>), ParseError> {
        let mut used = 0;
        loop {
            let (count, whole) = self.step(&bytes[used..])?;
            used += count;
            if whole {
                (self.stage, self.searched) = (Stage::Head, 0);
                return Ok((used, Some(std::mem::take(&mut self.message))));
            }
            if count == 0 {
                return Ok((used, None));
            }
        }
    }

    fn step(&mut self, bytes: &[u8]) -> Result<(usize, bool), ParseError> {
        match self.stage {
            Stage::Head => self.head(bytes),
            Stage::Body(left) => {
                let count = self.take(bytes, left);
                self.stage = Stage::Body(left - count);
                Ok((count, count == left))
            }
            Stage::ChunkLine => self.chunk_line(bytes),
            Stage::Chunk(left) => {
                let count = self.take(bytes, left);
                self.stage = if count == left { Stage::ChunkEnd } else { Stage::Chunk(left - count) };
                Ok((count, false))
            }
            Stage::ChunkEnd => match bytes {
                [b'\r', b'\n', ..] => {
                    self.stage = Stage::ChunkLine;
                    Ok((2, false))
                }
                [] | [b'\r'] => Ok((0, false)),
                _ => Err(ParseError::Malformed("a chunk is longer than its size")),
            },
            Stage::Trailers(so_far) => self.trailer(bytes, so_far),
            Stage::ToTheEnd if bytes.len() > self.most - self.message.body.len() => {
                Err(ParseError::BodyTooLong)
            }
            Stage::ToTheEnd => Ok((self.take(bytes, bytes.len()), false)),
        }
    }

    fn take(&mut self, bytes: &[u8], left: usize) -> usize {
        let count = bytes.len().min(left);
        self.message.body.extend_from_slice(&bytes[..count]);
        count
    }

    fn head(&mut self, bytes: &[u8]) -> Result<(usize, bool), ParseError> {
        // Blank lines before a start line are passed over.
        if self.searched == 0 && bytes.starts_with(b"\r\n") {
            return Ok((2, false));
        }
        let from = self.searched.saturating_sub(3);
        let found = bytes[from.min(bytes.len())..].windows(4).position(|window| window == b"\r\n\r\n");
        let end = found.map(|at| from + at);
        if end.unwrap_or(bytes.len()) > MOST_HEAD {
            return Err(ParseError::HeadTooLong);
        }
        let Some(end) = end else {
            // One blank line may be half there.
            self.searched = if bytes == b"\r" { 0 } else { bytes.len() };
            return Ok((0, false));
        };
        self.message = read_head(&bytes[..end])?;
        self.stage = match framing(&self.message, self.most)? {
            None if self.of_answers && has_body(&self.message) => Stage::ToTheEnd,
            told => told.unwrap_or(Stage::Body(0)),
        };
        Ok((end + 4, matches!(self.stage, Stage::Body(0))))
    }

    fn chunk_line(&mut self, bytes: &[u8]) -> Result<(usize, bool), ParseError> {
        let Some(line) = line(bytes, MOST_CHUNK_LINE, ParseError::Malformed("a chunk's size is too long"))?
        else {
            return Ok((0, false));
        };
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let digits = std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
        let size = digits.and_then(|digits| usize::from_str_radix(digits, 16).ok());
        let size = size.ok_or(ParseError::Malformed("a chunk's size is not a number"))?;
        if size > self.most - self.message.body.len() {
            return Err(ParseError::BodyTooLong);
        }
        self.stage = if size == 0 { Stage::Trailers(0) } else { Stage::Chunk(size) };
        Ok((line.len() + 2, false))
    }

    fn trailer(&mut self, bytes: &[u8], so_far: usize) -> Result<(usize, bool), ParseError> {
        let Some(line) = line(bytes, MOST_HEAD - so_far.min(MOST_HEAD), ParseError::HeadTooLong)? else {
            return Ok((0, false));
        };
        self.stage = Stage::Trailers(so_far + line.len() + 2);
        Ok((line.len() + 2, line.is_empty()))
    }
}

/// The first line, where its end has come.
fn line(bytes: &[u8], most: usize, over: ParseError) -> Result<Option<&[u8]>, ParseError> {
    let end = bytes.windows(2).position(|window| window == b"\r\n");
    if end.unwrap_or(bytes.len()) > most {
        return Err(over);
    }
    Ok(end.map(|end| &bytes[..end]))
}

fn read_head(head: &[u8]) -> Result<Message, ParseError> {
    let head = std::str::from_utf8(head).map_err(|_| ParseError::Malformed("the head is not text"))?;
    let mut lines = head.split("\r\n");
    let words: Vec<&str> = lines.next().unwrap_or_default().splitn(3, ' ').collect();
    let [a, b, c] = words[..] else {
        return Err(ParseError::Malformed("the start line has not three parts"));
    };
    if !(a.starts_with("HTTP/1.") || c == "HTTP/1.1" || c == "HTTP/1.0") {
        return Err(ParseError::Malformed("the version is not HTTP/1.1"));
    }
    let header = |line: &str| {
        let (name, value) = line.split_once(':').ok_or(ParseError::Malformed("a header without a colon"))?;
        if name.is_empty() || !name.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(ParseError::Malformed("a header's name is malformed"));
        }
        if value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
            return Err(ParseError::Malformed("a header's value is malformed"));
        }
        Ok((name.to_ascii_lowercase(), value.trim().to_string()))
    };
    let headers = lines.map(header).collect::<Result<_, _>>()?;
    Ok(Message { start_line: [a.into(), b.into(), c.into()], headers, body: Vec::new() })
}

/// Whether an answer of this status has a body, whose end may then be that of its connection.
fn has_body(answer: &Message) -> bool {
    let status = answer.start_line[1].as_str();
    !(status.starts_with('1') || matches!(status, "204" | "304"))
}

/// How the body's end is told, if it is; a message that tells it in two ways may be read differently by others.
fn framing(message: &Message, most: usize) -> Result<Option<Stage>, ParseError> {
    let all = |name: &'static str| message.headers.iter().filter(move |(known, _)| known == name);
    let mut lengths = all("content-length").map(|(_, value)| value);
    let mut codings = all("transfer-encoding").map(|(_, value)| value);
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(None),
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() => {
            Ok(Some(Stage::ChunkLine))
        }
        (None, Some(_)) => Err(ParseError::Malformed("an unknown transfer coding")),
        (Some(_), Some(_)) => Err(ParseError::Malformed("both a length and a transfer coding")),
        (Some(length), None) => {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            if !digits || lengths.any(|other| other != length) {
                return Err(ParseError::Malformed("the length is not a number"));
            }
            let length = length.parse().ok().filter(|length| *length <= most);
            length.map(|length| Some(Stage::Body(length))).ok_or(ParseError::BodyTooLong)
        }
    }
}

/// An answer to a client. `close` tells that the connection ends with it.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str, close: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        _ => "Service Unavailable",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
    text.push_str(body);
    text.into_bytes()
}

/// A question without a body.
pub fn get_request(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

#[cfg(test)]
mod tests {
    use super::{response, Message, ParseError, Reader, MAX_BODY_BYTES, MOST_HEAD};
    use test_case::test_case;

    fn whole(bytes: &[u8]) -> Result<(usize, Option<Message>), ParseError> {
        Reader::default().read(bytes)
    }

    /// Hands over one byte more at a time, and keeps what is not used up, as a connection does.
    fn by_bytes(bytes: &[u8]) -> Result<Vec<Message>, ParseError> {
        let (mut reader, mut unread, mut messages) = (Reader::default(), Vec::new(), Vec::new());
        for byte in bytes {
            unread.push(*byte);
            let (used, message) = reader.read(&unread)?;
            unread.drain(..used);
            messages.extend(message);
        }
        Ok(messages)
    }

    const LENGTH: &[u8] =
        b"\r\nPOST /a?key=1 HTTP/1.1\r\nHost: b\r\nX-Timeout:  0.480 \r\nContent-Length: 5\r\n\r\nhello";
    const CHUNKS: &[u8] =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\nT: x\r\n\r\n";
    const BARE: &[u8] = b"GET /healthz HTTP/1.1\r\nConnection: Upgrade, Close\r\n\r\n";

    #[test_case(LENGTH, "POST", b"hello"; "a length")]
    #[test_case(CHUNKS, "HTTP/1.1", b"hello"; "chunks")]
    #[test_case(BARE, "GET", b""; "no body")]
    fn a_message_is_the_same_whole_and_byte_by_byte(bytes: &[u8], first: &str, body: &[u8]) {
        let twice = [bytes, bytes].concat();
        let (used, message) = whole(&twice).unwrap();
        let message = message.expect("whole");
        assert_eq!(
            (used, message.start_line[0].as_str(), message.body.as_slice()),
            (bytes.len(), first, body)
        );
        assert_eq!(message.keep_alive(), bytes != BARE);
        let messages = by_bytes(&twice).unwrap();
        assert_eq!((messages.len(), &messages[0], &messages[1]), (2, &message, &message));
        for cut in 0..bytes.len() {
            assert_eq!(whole(&bytes[..cut]).map(|(_, message)| message), Ok(None), "cut at {cut}");
        }
    }

    #[test]
    fn headers_are_found_whatever_their_case_and_blanks() {
        let message = whole(LENGTH).unwrap().1.unwrap();
        assert_eq!((message.header("x-timeout"), message.header("x-none")), (Some("0.480"), None));
    }

    #[test_case("GET /\r\n\r\n", "start line"; "two words")]
    #[test_case("GET / HTTP/2\r\n\r\n", "version"; "other version")]
    #[test_case("GET / HTTP/1.1\r\nno colon\r\n\r\n", "colon"; "no colon")]
    #[test_case("GET / HTTP/1.1\r\nA: b\r\n folded: c\r\n\r\n", "name"; "folded line")]
    #[test_case("GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", "value"; "bare line feed")]
    #[test_case("GET / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", "length"; "signed length")]
    #[test_case("GET / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "length"; "two lengths")]
    #[test_case("GET / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", "both"; "smuggled")]
    #[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "coding"; "other coding")]
    #[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "not a number"; "no chunk size")]
    #[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", "longer"; "long chunk")]
    fn what_is_malformed_is_refused_either_way(text: &str, says: &str) {
        for result in [whole(text.as_bytes()).map(|_| ()), by_bytes(text.as_bytes()).map(|_| ())] {
            assert!(matches!(result, Err(ParseError::Malformed(what)) if what.contains(says)), "{result:?}");
        }
    }

    #[test]
    fn heads_and_bodies_have_bounds() {
        let long = format!("GET / HTTP/1.1\r\nA: {}", "a".repeat(MOST_HEAD));
        assert_eq!(whole(long.as_bytes()), Err(ParseError::HeadTooLong));
        let body = |length| format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        assert_eq!(whole(body(MAX_BODY_BYTES + 1).as_bytes()), Err(ParseError::BodyTooLong));
        assert_eq!(whole(body(u128::MAX as usize).as_bytes()), Err(ParseError::BodyTooLong));
        assert!(whole(body(MAX_BODY_BYTES).as_bytes()).is_ok());
        let chunk = format!("{:x}\r\n{}\r\n", MAX_BODY_BYTES / 2, "a".repeat(MAX_BODY_BYTES / 2));
        let chunked =
            format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{chunk}1\r\na\r\n");
        assert_eq!(whole(chunked.as_bytes()), Err(ParseError::BodyTooLong));
    }

    const OPEN: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nhello";

    #[test_case(OPEN, Some(b"hello"); "no length")]
    #[test_case(b"HTTP/1.1 204 No Content\r\n\r\n", None; "no body")]
    #[test_case(&LENGTH[..LENGTH.len() - 1], None; "a length that is not reached")]
    #[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Enc", None; "half a head")]
    fn an_answer_of_no_length_is_whole_at_its_connections_end(bytes: &[u8], says: Option<&[u8]>) {
        let mut reader = Reader::for_responses(MAX_BODY_BYTES);
        let whole = reader.read(bytes).unwrap().1;
        assert_eq!(whole.is_some(), bytes.starts_with(b"HTTP/1.1 204"));
        assert_eq!(reader.finish().map(|message| message.body).as_deref(), says);
        assert_eq!(Reader::default().read(OPEN).map(|(_, message)| message.is_some()), Ok(true), "a request");
        let long = [OPEN, &[b'x'; MAX_BODY_BYTES]].concat();
        assert_eq!(Reader::for_responses(MAX_BODY_BYTES).read(&long), Err(ParseError::BodyTooLong));
    }

    #[test]
    fn a_response_is_read_back() {
        let bytes = response(503, &[("Retry-After", "0.500")], "{}", true);
        let message = whole(&bytes).unwrap().1.unwrap();
        assert_eq!((message.start_line[1].as_str(), message.header("retry-after")), ("503", Some("0.500")));
        assert!(message.body == b"{}" && !message.keep_alive());
    }
}
