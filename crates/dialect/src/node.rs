//! JSON as a tree. `serde_json` reads it, within its own bound on depth; here no name may stand twice in an object,
//! since readers differ in which of them they take, and a number has to be one that an `f64` holds.

use crate::Fault;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    Null,
    Bool(bool),
    Whole(i64),
    Number(f64),
    Text(String),
    List(Vec<Node>),
    /// In the order of the text.
    Object(Vec<(String, Node)>),
}

impl Node {
    pub fn read(bytes: &[u8]) -> Result<Self, Fault> {
        serde_json::from_slice(bytes).map_err(|error| Fault::parsing(error.to_string()))
    }

    pub fn get(&self, name: &str) -> Option<&Node> {
        match self {
            Self::Object(fields) => fields.iter().find(|(known, _)| known == name).map(|(_, node)| node),
            _ => None,
        }
    }

    pub fn kind(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool(_) => "a boolean",
            Self::Whole(_) | Self::Number(_) => "a number",
            Self::Text(_) => "a text",
            Self::List(_) => "a list",
            Self::Object(_) => "an object",
        }
    }

    fn wanted<T>(&self, at: &str, what: &str) -> Result<T, Fault> {
        Err(Fault::parsing(format!("[{at}] expects {what}, but is {}", self.kind())))
    }

    pub fn object(&self, at: &str) -> Result<&[(String, Node)], Fault> {
        match self {
            Self::Object(fields) => Ok(fields),
            _ => self.wanted(at, "an object"),
        }
    }

    /// The one field of an object of one field.
    pub fn one_field(&self, at: &str) -> Result<(&str, &Node), Fault> {
        match self.object(at)? {
            [(name, node)] => Ok((name, node)),
            fields => Err(Fault::parsing(format!("[{at}] expects one field, but has {}", fields.len()))),
        }
    }

    pub fn list(&self, at: &str) -> Result<&[Node], Fault> {
        match self {
            Self::List(items) => Ok(items),
            _ => self.wanted(at, "a list"),
        }
    }

    /// A list, or one thing that stands for a list of one.
    pub fn one_or_more(&self) -> &[Node] {
        match self {
            Self::List(items) => items,
            one => std::slice::from_ref(one),
        }
    }

    pub fn text(&self, at: &str) -> Result<&str, Fault> {
        match self {
            Self::Text(text) => Ok(text),
            _ => self.wanted(at, "a text"),
        }
    }

    pub fn bool(&self, at: &str) -> Result<bool, Fault> {
        match self {
            Self::Bool(yes) => Ok(*yes),
            Self::Text(text) if text == "true" || text == "false" => Ok(text == "true"),
            _ => self.wanted(at, "true or false"),
        }
    }

    pub fn count(&self, at: &str) -> Result<usize, Fault> {
        match self {
            Self::Whole(count) if *count >= 0 => Ok(*count as usize),
            Self::Whole(count) => {
                Err(Fault::argument(format!("[{at}] may not be negative, found [{count}]")))
            }
            _ => self.wanted(at, "a whole number"),
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Whole(whole) => Some(*whole as f64),
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn write(&self) -> serde_json::Value {
        use serde_json::Value;
        match self {
            Self::Null => Value::Null,
            Self::Bool(yes) => Value::Bool(*yes),
            Self::Whole(whole) => (*whole).into(),
            Self::Number(number) => (*number).into(),
            Self::Text(text) => text.as_str().into(),
            Self::List(items) => items.iter().map(Self::write).collect(),
            Self::Object(fields) => {
                Value::Object(fields.iter().map(|(name, node)| (name.clone(), node.write())).collect())
            }
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(Reader)
    }
}

struct Reader;

impl<'de> Visitor<'de> for Reader {
    type Value = Node;

    fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, yes: bool) -> Result<Node, E> {
        Ok(Node::Bool(yes))
    }

    fn visit_i64<E>(self, whole: i64) -> Result<Node, E> {
        Ok(Node::Whole(whole))
    }

    fn visit_u64<E>(self, whole: u64) -> Result<Node, E> {
        Ok(i64::try_from(whole).map_or(Node::Number(whole as f64), Node::Whole))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Node, E> {
        if number.is_finite() {
            Ok(Node::Number(number))
        } else {
            Err(E::custom("number out of range"))
        }
    }

    fn visit_str<E>(self, text: &str) -> Result<Node, E> {
        Ok(Node::Text(text.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = from.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut from: A) -> Result<Node, A::Error> {
        let mut fields = Vec::new();
        let mut names = std::collections::BTreeSet::new();
        while let Some((name, node)) = from.next_entry::<String, Node>()? {
            if !names.insert(name.clone()) {
                return Err(A::Error::custom(format!("Duplicate field '{name}'")));
            }
            fields.push((name, node));
        }
        Ok(Node::Object(fields))
    }
}

#[cfg(test)]
mod tests {
    use super::Node;
    use crate::Kind;
    use test_case::test_case;

    #[test_case(br#"{"a":1,"a":2}"#, "Duplicate field 'a'"; "a name twice")]
    #[test_case(br#"{"a":{"b":1,"c":[{"d":1,"d":1}]}}"#, "Duplicate field 'd'"; "a name twice, deep down")]
    #[test_case(b"1e999", "out of range"; "beyond f64")]
    #[test_case(b"{\"a\":", "EOF"; "cut short")]
    #[test_case(b"{} {}", "trailing"; "more than one value")]
    #[test_case(&[b'['; 200], "recursion limit"; "too deep")]
    #[test_case(b"\"\xff\"", "invalid"; "no UTF-8")]
    fn what_readers_differ_on_is_refused(bytes: &[u8], says: &str) {
        let fault = Node::read(bytes).unwrap_err();
        assert!(fault.kind == Kind::Parsing && fault.reason.contains(says), "{}", fault.reason);
    }
}
