//! JSON, read whole from a body that has come in.

/// Deeper nesting is refused, as each level takes stack.
const DEEPEST: usize = 32;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// As it was written.
    Number(String),
    String(String),
    Array(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Result<Json, String> {
        let text =
            std::str::from_utf8(bytes).map_err(|e| format!("not UTF-8 at byte {}", e.valid_up_to()))?;
        let mut parser = Parser { text, at: 0 };
        let value = parser.value(0)?;
        parser.blanks();
        if parser.at < text.len() {
            return Err(parser.wrong("more after the value"));
        }
        Ok(value)
    }

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

    /// A number, where it is finite.
    pub fn as_f64(&self) -> Option<f64> {
        let Json::Number(digits) = self else { return None };
        digits.parse().ok().filter(|n: &f64| n.is_finite())
    }

    /// A whole number that is not negative.
    pub fn as_u64(&self) -> Option<u64> {
        if let Json::Number(digits) = self {
            digits.parse().ok()
        } else {
            None
        }
    }
}

/// Writes a text with its quotes.
pub fn quote(text: &str, into: &mut String) {
    into.push('"');
    for letter in text.chars() {
        match letter {
            '"' => into.push_str("\\\""),
            '\\' => into.push_str("\\\\"),
            c if c < ' ' => into.push_str(&format!("\\u{:04x}", c as u32)),
            c => into.push(c),
        }
    }
    into.push('"');
}

struct Parser<'a> {
    text: &'a str,
    at: usize,
}

impl Parser<'_> {
    fn wrong(&self, what: &str) -> String {
        format!("{what} at byte {}", self.at)
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.at).copied()
    }

    fn blanks(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.at += 1;
        }
    }

    /// The next byte that is not blank, if it is this one.
    fn takes(&mut self, byte: u8) -> bool {
        self.blanks();
        let there = self.peek() == Some(byte);
        self.at += usize::from(there);
        there
    }

    fn expect(&mut self, byte: u8) -> Result<(), String> {
        if self.takes(byte) {
            Ok(())
        } else {
            Err(self.wrong(&format!("no {:?}", byte as char)))
        }
    }

    fn value(&mut self, depth: usize) -> Result<Json, String> {
        if depth > DEEPEST {
            return Err(self.wrong("nested too deep"));
        }
        self.blanks();
        match self.peek() {
            Some(b'{') => self.object(depth),
            Some(b'[') => self.items(depth),
            Some(b'"') => self.string().map(Json::String),
            Some(b'-' | b'0'..=b'9') => self.digits(),
            _ => self.word(),
        }
    }

    fn word(&mut self) -> Result<Json, String> {
        let words = [("null", Json::Null), ("true", Json::Bool(true)), ("false", Json::Bool(false))];
        let rest = &self.text[self.at..];
        let found = words.into_iter().find(|(word, _)| rest.starts_with(word));
        let (word, value) = found.ok_or_else(|| self.wrong("no value"))?;
        self.at += word.len();
        Ok(value)
    }

    fn object(&mut self, depth: usize) -> Result<Json, String> {
        self.expect(b'{')?;
        let mut fields = Vec::new();
        if self.takes(b'}') {
            return Ok(Json::Object(fields));
        }
        loop {
            self.blanks();
            let name = self.string()?;
            self.expect(b':')?;
            fields.push((name, self.value(depth + 1)?));
            if !self.takes(b',') {
                self.expect(b'}')?;
                return Ok(Json::Object(fields));
            }
        }
    }

    fn items(&mut self, depth: usize) -> Result<Json, String> {
        self.expect(b'[')?;
        let mut items = Vec::new();
        if self.takes(b']') {
            return Ok(Json::Array(items));
        }
        loop {
            items.push(self.value(depth + 1)?);
            if !self.takes(b',') {
                self.expect(b']')?;
                return Ok(Json::Array(items));
            }
        }
    }

    fn run(&mut self) -> usize {
        let start = self.at;
        while matches!(self.peek(), Some(b'0'..=b'9')) {
            self.at += 1;
        }
        self.at - start
    }

    fn digits(&mut self) -> Result<Json, String> {
        let start = self.at;
        self.at += usize::from(self.peek() == Some(b'-'));
        let leading_zero = self.peek() == Some(b'0');
        let whole = self.run();
        if whole == 0 || (leading_zero && whole > 1) {
            return Err(self.wrong("no number"));
        }
        if self.peek() == Some(b'.') {
            self.at += 1;
            if self.run() == 0 {
                return Err(self.wrong("no decimals"));
            }
        }
        if matches!(self.peek(), Some(b'e' | b'E')) {
            self.at += 1;
            self.at += usize::from(matches!(self.peek(), Some(b'+' | b'-')));
            if self.run() == 0 {
                return Err(self.wrong("no exponent"));
            }
        }
        Ok(Json::Number(self.text[start..self.at].into()))
    }

    fn string(&mut self) -> Result<String, String> {
        if self.peek() != Some(b'"') {
            return Err(self.wrong("no text"));
        }
        self.at += 1;
        let mut text = String::new();
        loop {
            let rest = &self.text[self.at..];
            let plain = rest.find(|c: char| c == '"' || c == '\\' || c < ' ');
            let plain = plain.ok_or_else(|| self.wrong("a text without its end"))?;
            text.push_str(&rest[..plain]);
            self.at += plain + 1;
            match rest.as_bytes()[plain] {
                b'"' => return Ok(text),
                b'\\' => text.push(self.escape()?),
                _ => return Err(self.wrong("a control character")),
            }
        }
    }

    fn escape(&mut self) -> Result<char, String> {
        let letter = self.peek();
        self.at += 1;
        Ok(match letter {
            Some(c @ (b'"' | b'\\' | b'/')) => c as char,
            Some(b'b') => '\u{8}',
            Some(b'f') => '\u{c}',
            Some(b'n') => '\n',
            Some(b'r') => '\r',
            Some(b't') => '\t',
            Some(b'u') => return self.unicode(),
            _ => return Err(self.wrong("an unknown escape")),
        })
    }

    fn unicode(&mut self) -> Result<char, String> {
        let first = self.hex()?;
        let code = if (0xd800..0xdc00).contains(&first) {
            if !self.text[self.at..].starts_with("\\u") {
                return Err(self.wrong("half a surrogate pair"));
            }
            self.at += 2;
            let second = self.hex()?;
            if !(0xdc00..0xe000).contains(&second) {
                return Err(self.wrong("half a surrogate pair"));
            }
            0x10000 + ((first - 0xd800) << 10) + (second - 0xdc00)
        } else {
            first
        };
        char::from_u32(code).ok_or_else(|| self.wrong("half a surrogate pair"))
    }

    fn hex(&mut self) -> Result<u32, String> {
        let digits = self.text.get(self.at..self.at + 4);
        let digits = digits.filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
        let code = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
        let code = code.ok_or_else(|| self.wrong("an escape cut short"))?;
        self.at += 4;
        Ok(code)
    }
}

#[cfg(test)]
mod tests {
    use super::{quote, Json};
    use test_case::test_case;

    #[test]
    fn what_is_quoted_is_read_back_unchanged() {
        for text in ["", "c41e77d0", "a\"b\\c/\u{1}\n\r\t\u{7f}é€😀", "\u{fffd}"] {
            let mut quoted = String::new();
            quote(text, &mut quoted);
            assert_eq!(Json::parse(quoted.as_bytes()), Ok(Json::String(text.into())));
        }
        let escaped = br#" "\u00e9\ud83d\ude00\/\b\f\n\r\t\"\\" "#;
        assert_eq!(Json::parse(escaped), Ok(Json::String("é😀/\u{8}\u{c}\n\r\t\"\\".into())));
    }

    #[test]
    fn fields_are_found_by_name() {
        let json = Json::parse(br#"{"a":[1,-2.5e3,true,null,{}],"b":{"c":18446744073709551615}}"#).unwrap();
        let items = json.get("a").and_then(Json::as_array).unwrap();
        assert_eq!((items[0].as_u64(), items[1].as_f64()), (Some(1), Some(-2500.0)));
        assert_eq!((items[1].as_u64(), items[2].as_bool(), &items[3]), (None, Some(true), &Json::Null));
        assert_eq!(json.get("b").and_then(|b| b.get("c")).and_then(Json::as_u64), Some(u64::MAX));
    }

    #[test]
    fn every_cut_of_a_value_is_refused() {
        let whole = br#"{"a":[1,"\u00e9\ud83d\ude00",true],"b":{"c":null}}"#;
        assert!(Json::parse(whole).is_ok());
        (0..whole.len()).for_each(|cut| assert!(Json::parse(&whole[..cut]).is_err(), "{cut}"));
    }

    #[test_case("{} x", "more after the value at byte 3")]
    #[test_case("[1,]", "no value at byte 3")]
    #[test_case("{\"a\" 1}", "no ':' at byte 5")]
    #[test_case("{a:1}", "no text at byte 1")]
    #[test_case("01", "no number at byte 2")]
    #[test_case("1.", "no decimals at byte 2")]
    #[test_case("1e+", "no exponent at byte 3")]
    #[test_case("\"\\ud800x\"", "half a surrogate pair at byte 7")]
    #[test_case("\"\\u12+4\"", "an escape cut short at byte 3")]
    #[test_case("\"\\x\"", "an unknown escape at byte 3")]
    #[test_case("\"a\nb\"", "a control character at byte 3")]
    fn what_is_malformed_is_told_with_its_place(text: &str, says: &str) {
        assert_eq!(Json::parse(text.as_bytes()), Err(says.into()));
    }

    #[test]
    fn deep_nesting_and_other_encodings_are_refused() {
        assert_eq!(Json::parse(&[b'['; 100_000]), Err("nested too deep at byte 33".into()));
        assert_eq!(Json::parse(b"\"a\xff\""), Err("not UTF-8 at byte 2".into()));
    }
}
