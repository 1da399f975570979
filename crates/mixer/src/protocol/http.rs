//! HTTP/1.1: an incremental message parser, and encoders for responses and requests.

use super::MAX_BODY_BYTES;

/// Maximum size of a head, including the start line: about fifty usual header lines.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How many unread bytes the caller of a reader has to buffer: enough for a head, as body bytes are consumed
/// as they arrive. Further bytes are left in the socket.
pub const MAX_UNREAD_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// A body's allocation grows by an eighth, and by so many bytes at least.
const BODY_GROWTH_DIVISOR: usize = 8;
const MIN_BODY_GROWTH_BYTES: usize = 4 * 1024;
/// Maximum length of a line with a chunk's size.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// A request or a response.
#[derive(Debug, Default, PartialEq)]
pub struct Message {
    /// The three parts of the start line.
    pub start_line: [String; 3],
    /// The lines of the headers as they came. They are searched when a header is asked for: a string for each
    /// would take many times their length.
    headers: String,
    pub body: Vec<u8>,
}

/// An error after which nothing more can be read from the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ParseError {
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
}

impl Message {
    /// The first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.fields().find(|(header, _)| header.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The names and values of the headers.
    fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        let fields = self.headers.split("\r\n").filter_map(|line| line.split_once(':'));
        fields.map(|(header, value)| (header, value.trim()))
    }

    /// The bytes that are allocated for the message.
    fn allocated_bytes(&self) -> usize {
        let start_line: usize = self.start_line.iter().map(String::capacity).sum();
        start_line + self.headers.capacity() + self.body.capacity()
    }

    /// Whether the connection may carry another message after this one.
    pub fn keep_alive(&self) -> bool {
        let is_http_1_0 = self.start_line.iter().any(|word| word == "HTTP/1.0");
        let has_option = |option| self.header("connection").is_some_and(|v| has_token(v, option));
        if is_http_1_0 {
            has_option("keep-alive")
        } else {
            !has_option("close")
        }
    }
}

/// Whether a comma-separated header value contains a token.
fn has_token(value: &str, token: &str) -> bool {
    value.split(',').any(|item| item.trim().eq_ignore_ascii_case(token))
}

/// What the reader expects next. Numbers are the bytes left, or for trailers the bytes read so far.
#[derive(Default)]
enum Stage {
    #[default]
    Head,
    Body(usize),
    ChunkLine,
    Chunk(usize),
    ChunkEnd,
    Trailers(usize),
    /// The body of a response without a length: it lasts until the sender closes the connection in order.
    BodyUntilClose,
}

/// Reads one message after another from bytes in pieces of any size.
pub struct Reader {
    stage: Stage,
    message: Message,
    /// Bytes of the head that have been searched for its end.
    searched: usize,
    /// Steps taken since they were last asked for.
    steps: usize,
    /// The messages are responses, which may have no length.
    for_responses: bool,
    /// Maximum size of a body.
    max_body: usize,
}

impl Default for Reader {
    fn default() -> Self {
        let (stage, message) = <(Stage, Message)>::default();
        Self { stage, message, searched: 0, steps: 0, for_responses: false, max_body: MAX_BODY_BYTES }
    }
}

impl Reader {
    /// A reader for responses with bodies of at most `max_body` bytes.
    pub fn for_responses(max_body: usize) -> Self {
        Self { for_responses: true, max_body, ..Self::default() }
    }

    /// Called when the peer has closed the connection in order and everything received was read. Returns the
    /// message that the close completes, if any. A broken connection completes none, as more bytes may have
    /// been missing.
    pub fn finish(&mut self) -> Option<Message> {
        let is_complete = matches!(self.stage, Stage::BodyUntilClose);
        is_complete.then(|| {
            self.stage = Stage::Head;
            std::mem::take(&mut self.message)
        })
    }

    /// Whether a message has begun and is incomplete. `unread` are the bytes that were passed in but not
    /// consumed.
    pub fn is_mid_message(&self, unread: &[u8]) -> bool {
        !matches!(self.stage, Stage::Head) || unread.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Continues reading. Returns how many bytes were consumed, and the message if it is complete.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(usize, Option<Message>), ParseError> {
        let mut used = 0;
        loop {
            let (count, is_complete) = self.step(&bytes[used..])?;
            self.steps += 1;
            used += count;
            if is_complete {
                (self.stage, self.searched) = (Stage::Head, 0);
                return Ok((used, Some(std::mem::take(&mut self.message))));
            }
            if count == 0 {
                return Ok((used, None));
            }
        }
    }

    /// The bytes that are allocated for the message being read.
    pub fn allocated_bytes(&self) -> usize {
        self.message.allocated_bytes()
    }

    /// How many steps were taken since this was last called: heads, chunks, lines and pieces of bodies.
    pub fn take_steps(&mut self) -> usize {
        std::mem::take(&mut self.steps)
    }

    /// Consumes bytes within one stage. Returns how many, and whether the message is complete.
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
            Stage::BodyUntilClose if bytes.len() > self.max_body - self.message.body.len() => {
                Err(ParseError::BodyTooLong)
            }
            Stage::BodyUntilClose => Ok((self.take(bytes, bytes.len()), false)),
        }
    }

    fn take(&mut self, bytes: &[u8], left: usize) -> usize {
        let count = bytes.len().min(left);
        let body = &mut self.message.body;
        if body.capacity() - body.len() < count {
            // Grown by small steps, as doubling would hold up to twice of what has come.
            let step = (body.len() / BODY_GROWTH_DIVISOR).max(MIN_BODY_GROWTH_BYTES);
            body.reserve_exact(step.min(self.max_body.saturating_sub(body.len())).max(count));
        }
        self.message.body.extend_from_slice(&bytes[..count]);
        count
    }

    fn head(&mut self, bytes: &[u8]) -> Result<(usize, bool), ParseError> {
        // Empty lines before a start line are skipped.
        if self.searched == 0 && bytes.starts_with(b"\r\n") {
            return Ok((2, false));
        }
        let start = self.searched.saturating_sub(3);
        let found = bytes[start.min(bytes.len())..].windows(4).position(|window| window == b"\r\n\r\n");
        let end = found.map(|offset| start + offset);
        if end.unwrap_or(bytes.len()) > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLong);
        }
        let Some(end) = end else {
            // This may be the first half of an empty line.
            self.searched = if bytes == b"\r" { 0 } else { bytes.len() };
            return Ok((0, false));
        };
        self.message = parse_head(&bytes[..end])?;
        self.stage = match framing(&self.message, self.max_body)? {
            None if self.for_responses && has_body(&self.message) => Stage::BodyUntilClose,
            stage => stage.unwrap_or(Stage::Body(0)),
        };
        Ok((end + 4, matches!(self.stage, Stage::Body(0))))
    }

    fn chunk_line(&mut self, bytes: &[u8]) -> Result<(usize, bool), ParseError> {
        let Some(line) =
            line(bytes, MAX_CHUNK_LINE_BYTES, ParseError::Malformed("a chunk's size is too long"))?
        else {
            return Ok((0, false));
        };
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let digits = std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
        let size = digits.and_then(|digits| usize::from_str_radix(digits, 16).ok());
        let size = size.ok_or(ParseError::Malformed("a chunk's size is not a number"))?;
        if size > self.max_body - self.message.body.len() {
            return Err(ParseError::BodyTooLong);
        }
        self.stage = if size == 0 { Stage::Trailers(0) } else { Stage::Chunk(size) };
        Ok((line.len() + 2, false))
    }

    fn trailer(&mut self, bytes: &[u8], so_far: usize) -> Result<(usize, bool), ParseError> {
        let Some(line) = line(bytes, MAX_HEAD_BYTES - so_far.min(MAX_HEAD_BYTES), ParseError::HeadTooLong)?
        else {
            return Ok((0, false));
        };
        self.stage = Stage::Trailers(so_far + line.len() + 2);
        Ok((line.len() + 2, line.is_empty()))
    }
}

/// The first line without its end, `None` if the end has not arrived, or `error` if it is longer than
/// `max_length`.
fn line(bytes: &[u8], max_length: usize, error: ParseError) -> Result<Option<&[u8]>, ParseError> {
    let end = bytes.windows(2).position(|window| window == b"\r\n");
    if end.unwrap_or(bytes.len()) > max_length {
        return Err(error);
    }
    Ok(end.map(|end| &bytes[..end]))
}

/// Parses a head without its final empty line.
fn parse_head(head: &[u8]) -> Result<Message, ParseError> {
    let head = std::str::from_utf8(head).map_err(|_| ParseError::Malformed("the head is not text"))?;
    let mut lines = head.split("\r\n");
    let start_line: Vec<&str> = lines.next().unwrap_or_default().splitn(3, ' ').collect();
    let [a, b, c] = start_line[..] else {
        return Err(ParseError::Malformed("the start line has not three parts"));
    };
    if !(a.starts_with("HTTP/1.") || c == "HTTP/1.1" || c == "HTTP/1.0") {
        return Err(ParseError::Malformed("the version is not HTTP/1.1"));
    }
    let headers = head.get(start_line_length(head)..).unwrap_or_default();
    lines.try_for_each(check_header)?;
    Ok(Message { start_line: [a.into(), b.into(), c.into()], headers: headers.into(), body: Vec::new() })
}

/// The length of a head's first line with its end.
fn start_line_length(head: &str) -> usize {
    head.find("\r\n").map_or(head.len(), |end| end + 2)
}

/// Checks one line of a header.
fn check_header(line: &str) -> Result<(), ParseError> {
    let (name, value) = line.split_once(':').ok_or(ParseError::Malformed("a header without a colon"))?;
    if name.is_empty() || !name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(ParseError::Malformed("a header's name is malformed"));
    }
    if value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
        return Err(ParseError::Malformed("a header's value is malformed"));
    }
    Ok(())
}

/// Whether a response of this status has a body, which may then end with the connection.
fn has_body(response: &Message) -> bool {
    let status = response.start_line[1].as_str();
    !(status.starts_with('1') || matches!(status, "204" | "304"))
}

/// How the end of the body is determined, if the headers say so. Messages that state it in two ways are
/// refused, as other parsers may read them differently (request smuggling).
fn framing(message: &Message, max_body: usize) -> Result<Option<Stage>, ParseError> {
    let all = |name: &'static str| {
        let of_name = message.fields().filter(move |(header, _)| header.eq_ignore_ascii_case(name));
        of_name.map(|(_, value)| value)
    };
    let mut lengths = all("content-length");
    let mut codings = all("transfer-encoding");
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(None),
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() => {
            Ok(Some(Stage::ChunkLine))
        }
        (None, Some(_)) => Err(ParseError::Malformed("an unknown transfer coding")),
        (Some(_), Some(_)) => Err(ParseError::Malformed("both a length and a transfer coding")),
        (Some(length), None) => {
            let is_number = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            if !is_number || lengths.any(|other| other != length) {
                return Err(ParseError::Malformed("the length is not a number"));
            }
            let length = length.parse().ok().filter(|length| *length <= max_body);
            length.map(|length| Some(Stage::Body(length))).ok_or(ParseError::BodyTooLong)
        }
    }
}

/// Longer than any registered method.
const MAX_METHOD_BYTES: usize = 32;

/// Whether these bytes may begin a request, as far as they go. Empty lines before it are skipped.
pub fn may_begin_request(bytes: &[u8]) -> bool {
    let start = bytes.iter().position(|byte| !matches!(byte, b'\r' | b'\n')).unwrap_or(bytes.len());
    let line = &bytes[start..];
    let method = line.split(|byte| *byte == b' ').next().unwrap_or_default();
    let is_whole = method.len() < line.len();
    method.len() <= MAX_METHOD_BYTES
        && (!is_whole || !method.is_empty())
        && method.iter().all(|byte| byte.is_ascii_uppercase() || *byte == b'-')
}

/// Encodes a response. `close` announces that the connection ends with it.
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

/// Encodes a `GET` request.
pub fn get_request(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

#[cfg(test)]
mod tests;
