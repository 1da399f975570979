//! A JSON parser for complete bodies. Error texts are part of responses to clients.

/// Values in one body or list entry: a value takes many times the bytes of its text.
const MAX_VALUES: usize = 16 * 1024;
/// Maximum nesting depth: the parser recurses, so each level takes stack.
const MAX_DEPTH: usize = 32;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// The digits as written, so that large integers stay exact.
    Number(String),
    String(String),
    Array(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a body that holds exactly one value, from a peer. Errors name the byte position.
    pub fn parse(bytes: &[u8]) -> Result<Json, String> {
        let mut parser = Parser::new(bytes, MAX_VALUES)?;
        let value = parser.value(0)?;
        parser.end().map(|()| value)
    }

    /// Parses a file of the operator's, which may hold any number of values.
    pub fn parse_file(bytes: &[u8]) -> Result<Json, String> {
        let mut parser = Parser::new(bytes, usize::MAX)?;
        let value = parser.value(0)?;
        parser.end().map(|()| value)
    }

    /// The first field of this name, if the value is an object.
    pub fn get(&self, key: &str) -> Option<&Json> {
        let Json::Object(fields) = self else { return None };
        fields.iter().find(|(name, _)| name == key).map(|(_, value)| value)
    }

    pub fn as_str(&self) -> Option<&str> {
        if let Json::String(text) = self {
            Some(text)
        } else {
            None
        }
    }

    pub fn as_array(&self) -> Option<&[Json]> {
        if let Json::Array(items) = self {
            Some(items)
        } else {
            None
        }
    }

    pub fn as_bool(&self) -> Option<bool> {
        if let Json::Bool(value) = self {
            Some(*value)
        } else {
            None
        }
    }

    /// The value of a finite number.
    pub fn as_f64(&self) -> Option<f64> {
        let Json::Number(digits) = self else { return None };
        digits.parse().ok().filter(|n: &f64| n.is_finite())
    }

    /// The value of a non-negative integer.
    pub fn as_u64(&self) -> Option<u64> {
        if let Json::Number(digits) = self {
            digits.parse().ok()
        } else {
            None
        }
    }
}

/// How many values a body has at the most, without parsing it.
pub fn estimated_values(body: &[u8]) -> usize {
    body.iter().filter(|byte| matches!(byte, b',' | b':' | b'[' | b'{')).count()
}

/// Appends a string in quotes, escaped.
pub fn quote(text: &str, output: &mut String) {
    output.push('"');
    for c in text.chars() {
        match c {
            '"' => output.push_str("\\\""),
            '\\' => output.push_str("\\\\"),
            c if c < ' ' => output.push_str(&format!("\\u{:04x}", c as u32)),
            c => output.push(c),
        }
    }
    output.push('"');
}

struct Parser<'a> {
    text: &'a str,
    /// Byte offset of the next character.
    position: usize,
    /// How many more values may be parsed.
    values_left: usize,
}

impl<'a> Parser<'a> {
    fn new(bytes: &'a [u8], max_values: usize) -> Result<Self, String> {
        let text =
            std::str::from_utf8(bytes).map_err(|e| format!("not UTF-8 at byte {}", e.valid_up_to()))?;
        Ok(Self { text, position: 0, values_left: max_values })
    }

    /// Checks that nothing follows the value.
    fn end(&mut self) -> Result<(), String> {
        self.skip_whitespace();
        match self.position < self.text.len() {
            true => Err(self.error("more after the value")),
            false => Ok(()),
        }
    }

    fn error(&self, message: &str) -> String {
        format!("{message} at byte {}", self.position)
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.position).copied()
    }

    fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.position += 1;
        }
    }

    /// Skips whitespace, and then the given byte if it follows. Returns whether it did.
    fn consume(&mut self, byte: u8) -> bool {
        self.skip_whitespace();
        let found = self.peek() == Some(byte);
        self.position += usize::from(found);
        found
    }

    fn expect(&mut self, byte: u8) -> Result<(), String> {
        if self.consume(byte) {
            Ok(())
        } else {
            Err(self.error(&format!("no {:?}", byte as char)))
        }
    }

    fn value(&mut self, depth: usize) -> Result<Json, String> {
        if depth > MAX_DEPTH {
            return Err(self.error("nested too deep"));
        }
        if self.values_left == 0 {
            return Err(self.error("too many values"));
        }
        self.values_left -= 1;
        self.skip_whitespace();
        match self.peek() {
            Some(b'{') => self.object(depth),
            Some(b'[') => self.array(depth),
            Some(b'"') => self.string().map(Json::String),
            Some(b'-' | b'0'..=b'9') => self.number(),
            _ => self.literal(),
        }
    }

    fn literal(&mut self) -> Result<Json, String> {
        let literals = [("null", Json::Null), ("true", Json::Bool(true)), ("false", Json::Bool(false))];
        let rest = &self.text[self.position..];
        let found = literals.into_iter().find(|(literal, _)| rest.starts_with(literal));
        let (literal, value) = found.ok_or_else(|| self.error("no value"))?;
        self.position += literal.len();
        Ok(value)
    }

    fn object(&mut self, depth: usize) -> Result<Json, String> {
        self.expect(b'{')?;
        let mut fields = Vec::new();
        if self.consume(b'}') {
            return Ok(Json::Object(fields));
        }
        loop {
            let name = self.field_name()?;
            fields.push((name, self.value(depth + 1)?));
            if !self.consume(b',') {
                self.expect(b'}')?;
                return Ok(Json::Object(fields));
            }
        }
    }

    /// Parses the name of a field and the colon behind it.
    fn field_name(&mut self) -> Result<String, String> {
        self.skip_whitespace();
        let name = self.string()?;
        self.expect(b':')?;
        Ok(name)
    }

    fn array(&mut self, depth: usize) -> Result<Json, String> {
        self.expect(b'[')?;
        let mut items = Vec::new();
        if self.consume(b']') {
            return Ok(Json::Array(items));
        }
        loop {
            items.push(self.value(depth + 1)?);
            if !self.consume(b',') {
                self.expect(b']')?;
                return Ok(Json::Array(items));
            }
        }
    }

    /// Skips decimal digits and returns how many there were.
    fn skip_digits(&mut self) -> usize {
        let start = self.position;
        while matches!(self.peek(), Some(b'0'..=b'9')) {
            self.position += 1;
        }
        self.position - start
    }

    fn number(&mut self) -> Result<Json, String> {
        let start = self.position;
        self.position += usize::from(self.peek() == Some(b'-'));
        let leading_zero = self.peek() == Some(b'0');
        let integer_digits = self.skip_digits();
        if integer_digits == 0 || (leading_zero && integer_digits > 1) {
            return Err(self.error("no number"));
        }
        if self.peek() == Some(b'.') {
            self.position += 1;
            if self.skip_digits() == 0 {
                return Err(self.error("no decimals"));
            }
        }
        if matches!(self.peek(), Some(b'e' | b'E')) {
            self.position += 1;
            self.position += usize::from(matches!(self.peek(), Some(b'+' | b'-')));
            if self.skip_digits() == 0 {
                return Err(self.error("no exponent"));
            }
        }
        Ok(Json::Number(self.text[start..self.position].into()))
    }

    fn string(&mut self) -> Result<String, String> {
        if self.peek() != Some(b'"') {
            return Err(self.error("no text"));
        }
        self.position += 1;
        let mut text = String::new();
        loop {
            let rest = &self.text[self.position..];
            let unescaped = rest.find(|c: char| c == '"' || c == '\\' || c < ' ');
            let unescaped = unescaped.ok_or_else(|| self.error("a text without its end"))?;
            text.push_str(&rest[..unescaped]);
            self.position += unescaped + 1;
            match rest.as_bytes()[unescaped] {
                b'"' => return Ok(text),
                b'\\' => text.push(self.escape()?),
                _ => return Err(self.error("a control character")),
            }
        }
    }

    fn escape(&mut self) -> Result<char, String> {
        let escaped = self.peek();
        self.position += 1;
        Ok(match escaped {
            Some(c @ (b'"' | b'\\' | b'/')) => c as char,
            Some(b'b') => '\u{8}',
            Some(b'f') => '\u{c}',
            Some(b'n') => '\n',
            Some(b'r') => '\r',
            Some(b't') => '\t',
            Some(b'u') => return self.unicode_escape(),
            _ => return Err(self.error("an unknown escape")),
        })
    }

    fn unicode_escape(&mut self) -> Result<char, String> {
        let first = self.hex_escape()?;
        let code = if (0xd800..0xdc00).contains(&first) {
            if !self.text[self.position..].starts_with("\\u") {
                return Err(self.error("half a surrogate pair"));
            }
            self.position += 2;
            let second = self.hex_escape()?;
            if !(0xdc00..0xe000).contains(&second) {
                return Err(self.error("half a surrogate pair"));
            }
            0x10000 + ((first - 0xd800) << 10) + (second - 0xdc00)
        } else {
            first
        };
        char::from_u32(code).ok_or_else(|| self.error("half a surrogate pair"))
    }

    fn hex_escape(&mut self) -> Result<u32, String> {
        let digits = self.text.get(self.position..self.position + 4);
        let digits = digits.filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
        let code = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
        let code = code.ok_or_else(|| self.error("an escape cut short"))?;
        self.position += 4;
        Ok(code)
    }
}

/// Parses an object and hands out the items of one of its lists, one after another. So a long list is never held
/// as a whole, and the caller may do something else between two items.
pub struct ListParser<'a> {
    parser: Parser<'a>,
    /// The name of the list.
    list: &'a str,
    /// The other fields, and the list's own, which is empty.
    fields: Vec<(String, Json)>,
    next: NextToken,
}

/// What a [`ListParser`] expects next.
enum NextToken {
    Object,
    Field,
    Item,
    Nothing,
}

impl<'a> ListParser<'a> {
    /// A parser of a body that holds exactly one object.
    pub fn new(bytes: &'a [u8], list: &'a str) -> Result<Self, String> {
        let parser = Parser::new(bytes, MAX_VALUES)?;
        Ok(Self { parser, list, fields: Vec::new(), next: NextToken::Object })
    }

    /// The next item of the list; `None` once the whole body was parsed.
    pub fn next_item(&mut self) -> Result<Option<Json>, String> {
        loop {
            match self.next {
                NextToken::Object => self.begin_object()?,
                NextToken::Field => self.field()?,
                NextToken::Item => return self.item().map(Some),
                NextToken::Nothing => return Ok(None),
            }
        }
    }

    /// The object without the items of the list.
    pub fn into_object(self) -> Json {
        Json::Object(self.fields)
    }

    fn begin_object(&mut self) -> Result<(), String> {
        self.parser.skip_whitespace();
        self.parser.expect(b'{')?;
        if self.parser.consume(b'}') {
            return self.end_object();
        }
        self.next = NextToken::Field;
        Ok(())
    }

    fn field(&mut self) -> Result<(), String> {
        let name = self.parser.field_name()?;
        self.parser.skip_whitespace();
        self.parser.values_left = MAX_VALUES - self.fields.len().min(MAX_VALUES);
        if name != self.list || self.parser.peek() != Some(b'[') {
            let value = self.parser.value(1)?;
            self.fields.push((name, value));
            return self.end_field();
        }
        if self.fields.iter().any(|(other, _)| other == self.list) {
            return Err(self.parser.error(&format!("a second {name}")));
        }
        self.fields.push((name, Json::Array(Vec::new())));
        self.parser.expect(b'[')?;
        if self.parser.consume(b']') {
            return self.end_field();
        }
        self.next = NextToken::Item;
        Ok(())
    }

    fn item(&mut self) -> Result<Json, String> {
        self.parser.values_left = MAX_VALUES;
        let item = self.parser.value(2)?;
        if !self.parser.consume(b',') {
            self.parser.expect(b']')?;
            self.end_field()?;
        }
        Ok(item)
    }

    fn end_field(&mut self) -> Result<(), String> {
        self.next = NextToken::Field;
        if self.parser.consume(b',') {
            return Ok(());
        }
        self.parser.expect(b'}')?;
        self.end_object()
    }

    fn end_object(&mut self) -> Result<(), String> {
        self.next = NextToken::Nothing;
        self.parser.end()
    }
}

#[cfg(test)]
mod tests;
