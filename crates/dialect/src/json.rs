//! JSON values, parsed by `serde_json` within its own recursion limit. Objects with duplicate keys are
//! rejected, since parsers differ in which of the values they use, and so are numbers that are out of range
//! for an `f64`.

use crate::ApiError;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum JsonValue {
    Null,
    Bool(bool),
    Integer(i64),
    Float(f64),
    String(String),
    Array(Vec<JsonValue>),
    /// The fields in the order of the text.
    Object(Vec<(String, JsonValue)>),
}

impl JsonValue {
    /// Parses one JSON value; anything after it is an error.
    pub fn parse(bytes: &[u8]) -> Result<Self, ApiError> {
        serde_json::from_slice(bytes).map_err(|error| ApiError::parsing(error.to_string()))
    }

    /// The field of that name, if this is an object that has it.
    pub fn get(&self, name: &str) -> Option<&JsonValue> {
        match self {
            Self::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, json)| json),
            _ => None,
        }
    }

    /// The type of the value, as it appears in error messages.
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

    /// The error for a value of another type than expected; `context` names the value.
    fn type_error<T>(&self, context: &str, expected: &str) -> Result<T, ApiError> {
        Err(ApiError::parsing(format!("[{context}] expects {expected}, but is {}", self.type_name())))
    }

    /// The fields of an object.
    pub fn object(&self, context: &str) -> Result<&[(String, JsonValue)], ApiError> {
        match self {
            Self::Object(fields) => Ok(fields),
            _ => self.type_error(context, "an object"),
        }
    }

    /// The field of an object that has exactly one.
    pub fn single_field(&self, context: &str) -> Result<(&str, &JsonValue), ApiError> {
        match self.object(context)? {
            [(name, json)] => Ok((name, json)),
            fields => {
                Err(ApiError::parsing(format!("[{context}] expects one field, but has {}", fields.len())))
            }
        }
    }

    /// The items of an array.
    pub fn list(&self, context: &str) -> Result<&[JsonValue], ApiError> {
        match self {
            Self::Array(items) => Ok(items),
            _ => self.type_error(context, "a list"),
        }
    }

    /// The items of an array; any other value counts as an array of one item.
    pub fn one_or_more(&self) -> &[JsonValue] {
        match self {
            Self::Array(items) => items,
            value => std::slice::from_ref(value),
        }
    }

    /// A string.
    pub fn text(&self, context: &str) -> Result<&str, ApiError> {
        match self {
            Self::String(text) => Ok(text),
            _ => self.type_error(context, "a text"),
        }
    }

    /// A boolean, or one of the strings "true" and "false".
    pub fn bool(&self, context: &str) -> Result<bool, ApiError> {
        match self {
            Self::Bool(value) => Ok(*value),
            Self::String(text) if text == "true" || text == "false" => Ok(text == "true"),
            _ => self.type_error(context, "true or false"),
        }
    }

    /// A non-negative integer.
    pub fn count(&self, context: &str) -> Result<usize, ApiError> {
        match self {
            Self::Integer(count) if *count >= 0 => Ok(*count as usize),
            Self::Integer(count) => {
                Err(ApiError::illegal_argument(format!("[{context}] may not be negative, found [{count}]")))
            }
            _ => self.type_error(context, "a whole number"),
        }
    }

    /// A number as an `f64`; `None` for any other type.
    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Integer(integer) => Some(*integer as f64),
            Self::Float(number) => Some(*number),
            _ => None,
        }
    }

    /// Converts to a `serde_json` value.
    pub fn to_json(&self) -> serde_json::Value {
        use serde_json::Value;
        match self {
            Self::Null => Value::Null,
            Self::Bool(value) => Value::Bool(*value),
            Self::Integer(integer) => (*integer).into(),
            Self::Float(number) => (*number).into(),
            Self::String(text) => text.as_str().into(),
            Self::Array(items) => items.iter().map(Self::to_json).collect(),
            Self::Object(fields) => {
                Value::Object(fields.iter().map(|(name, json)| (name.clone(), json.to_json())).collect())
            }
        }
    }
}

impl<'de> Deserialize<'de> for JsonValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = JsonValue;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<JsonValue, E> {
        Ok(JsonValue::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<JsonValue, E> {
        Ok(JsonValue::Bool(value))
    }

    fn visit_i64<E>(self, integer: i64) -> Result<JsonValue, E> {
        Ok(JsonValue::Integer(integer))
    }

    fn visit_u64<E>(self, integer: u64) -> Result<JsonValue, E> {
        Ok(i64::try_from(integer).map_or(JsonValue::Float(integer as f64), JsonValue::Integer))
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

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<JsonValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(JsonValue::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<JsonValue, A::Error> {
        let mut fields = Vec::new();
        let mut names = std::collections::BTreeSet::new();
        while let Some((name, json)) = access.next_entry::<String, JsonValue>()? {
            if !names.insert(name.clone()) {
                return Err(A::Error::custom(format!("Duplicate field '{name}'")));
            }
            fields.push((name, json));
        }
        Ok(JsonValue::Object(fields))
    }
}

#[cfg(test)]
mod tests {
    use super::JsonValue;
    use crate::ErrorKind;
    use test_case::test_case;

    #[test_case(br#"{"a":1,"a":2}"#, "Duplicate field 'a'"; "a duplicate key")]
    #[test_case(br#"{"a":{"b":1,"c":[{"d":1,"d":1}]}}"#, "Duplicate field 'd'"; "a nested duplicate key")]
    #[test_case(b"1e999", "out of range"; "a number out of range")]
    #[test_case(b"{\"a\":", "EOF"; "truncated")]
    #[test_case(b"{} {}", "trailing"; "more than one value")]
    #[test_case(&[b'['; 200], "recursion limit"; "nested too deeply")]
    #[test_case(b"\"\xff\"", "invalid"; "invalid UTF-8")]
    fn ambiguous_or_invalid_json_is_rejected(bytes: &[u8], message: &str) {
        let error = JsonValue::parse(bytes).unwrap_err();
        assert!(error.kind == ErrorKind::Parsing && error.reason.contains(message), "{}", error.reason);
    }
}
