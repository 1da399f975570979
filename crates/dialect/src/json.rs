//! JSON as a tree. `serde_json` reads it, within its own bound on depth; here no name may stand twice in an object,
//! since readers differ in which of them they take, and a number has to be one that an `f64` holds.

use crate::ApiError;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum JsonValue {
    Null,
    Bool(bool),
    Integer(i64),
    Float(f64),
    String(String),
    Array(Vec<JsonValue>),
    /// In the order of the text.
    Object(Vec<(String, JsonValue)>),
}

impl JsonValue {
    pub fn parse(bytes: &[u8]) -> Result<Self, ApiError> {
        serde_json::from_slice(bytes).map_err(|error| ApiError::parsing(error.to_string()))
    }

    pub fn get(&self, name: &str) -> Option<&JsonValue> {
        match self {
            Self::Object(fields) => fields.iter().find(|(known, _)| known == name).map(|(_, node)| node),
            _ => None,
        }
    }

    pub fn type_name(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool(_) => "a boolean",
            Self::Integer(_) | Self::Float(_) => "a number",
            Self::String(_) => "a text",
            Self::Array(_) => "a list",
            Self::Object(_) => "an object",
        }
    }

    fn type_error<T>(&self, at: &str, what: &str) -> Result<T, ApiError> {
        Err(ApiError::parsing(format!("[{at}] expects {what}, but is {}", self.type_name())))
    }

    pub fn object(&self, at: &str) -> Result<&[(String, JsonValue)], ApiError> {
        match self {
            Self::Object(fields) => Ok(fields),
            _ => self.type_error(at, "an object"),
        }
    }

    /// The one field of an object of one field.
    pub fn single_field(&self, at: &str) -> Result<(&str, &JsonValue), ApiError> {
        match self.object(at)? {
            [(name, node)] => Ok((name, node)),
            fields => Err(ApiError::parsing(format!("[{at}] expects one field, but has {}", fields.len()))),
        }
    }

    pub fn list(&self, at: &str) -> Result<&[JsonValue], ApiError> {
        match self {
            Self::Array(items) => Ok(items),
            _ => self.type_error(at, "a list"),
        }
    }

    /// A list, or one thing that stands for a list of one.
    pub fn one_or_more(&self) -> &[JsonValue] {
        match self {
            Self::Array(items) => items,
            one => std::slice::from_ref(one),
        }
    }

    pub fn text(&self, at: &str) -> Result<&str, ApiError> {
        match self {
            Self::String(text) => Ok(text),
            _ => self.type_error(at, "a text"),
        }
    }

    pub fn bool(&self, at: &str) -> Result<bool, ApiError> {
        match self {
            Self::Bool(yes) => Ok(*yes),
            Self::String(text) if text == "true" || text == "false" => Ok(text == "true"),
            _ => self.type_error(at, "true or false"),
        }
    }

    pub fn count(&self, at: &str) -> Result<usize, ApiError> {
        match self {
            Self::Integer(count) if *count >= 0 => Ok(*count as usize),
            Self::Integer(count) => {
                Err(ApiError::illegal_argument(format!("[{at}] may not be negative, found [{count}]")))
            }
            _ => self.type_error(at, "a whole number"),
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Integer(whole) => Some(*whole as f64),
            Self::Float(number) => Some(*number),
            _ => None,
        }
    }

    pub fn to_json(&self) -> serde_json::Value {
        use serde_json::Value;
        match self {
            Self::Null => Value::Null,
            Self::Bool(yes) => Value::Bool(*yes),
            Self::Integer(whole) => (*whole).into(),
            Self::Float(number) => (*number).into(),
            Self::String(text) => text.as_str().into(),
            Self::Array(items) => items.iter().map(Self::to_json).collect(),
            Self::Object(fields) => {
                Value::Object(fields.iter().map(|(name, node)| (name.clone(), node.to_json())).collect())
            }
        }
    }
}

impl<'de> Deserialize<'de> for JsonValue {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(Reader)
    }
}

struct Reader;

impl<'de> Visitor<'de> for Reader {
    type Value = JsonValue;

    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<JsonValue, E> {
        Ok(JsonValue::Null)
    }

    fn visit_bool<E>(self, yes: bool) -> Result<JsonValue, E> {
        Ok(JsonValue::Bool(yes))
    }

    fn visit_i64<E>(self, whole: i64) -> Result<JsonValue, E> {
        Ok(JsonValue::Integer(whole))
    }

    fn visit_u64<E>(self, whole: u64) -> Result<JsonValue, E> {
        Ok(i64::try_from(whole).map_or(JsonValue::Float(whole as f64), JsonValue::Integer))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<JsonValue, E> {
        if number.is_finite() {
            Ok(JsonValue::Float(number))
        } else {
            Err(E::custom("number out of range"))
        }
    }

    fn visit_str<E>(self, text: &str) -> Result<JsonValue, E> {
        Ok(JsonValue::String(text.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<JsonValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = from.next_element()? {
            items.push(item);
        }
        Ok(JsonValue::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut from: A) -> Result<JsonValue, A::Error> {
        let mut fields = Vec::new();
        let mut names = std::collections::BTreeSet::new();
        while let Some((name, node)) = from.next_entry::<String, JsonValue>()? {
            if !names.insert(name.clone()) {
                return Err(A::Error::custom(format!("Duplicate field '{name}'")));
            }
            fields.push((name, node));
        }
        Ok(JsonValue::Object(fields))
    }
}

#[cfg(test)]
mod tests {
    use super::JsonValue;
    use crate::ErrorKind;
    use test_case::test_case;

    #[test_case(br#"{"a":1,"a":2}"#, "Duplicate field 'a'"; "a name twice")]
    #[test_case(br#"{"a":{"b":1,"c":[{"d":1,"d":1}]}}"#, "Duplicate field 'd'"; "a name twice, deep down")]
    #[test_case(b"1e999", "out of range"; "beyond f64")]
    #[test_case(b"{\"a\":", "EOF"; "cut short")]
    #[test_case(b"{} {}", "trailing"; "more than one value")]
    #[test_case(&[b'['; 200], "recursion limit"; "too deep")]
    #[test_case(b"\"\xff\"", "invalid"; "no UTF-8")]
    fn what_readers_differ_on_is_refused(bytes: &[u8], says: &str) {
        let fault = JsonValue::parse(bytes).unwrap_err();
        assert!(fault.kind == ErrorKind::Parsing && fault.reason.contains(says), "{}", fault.reason);
    }
}
