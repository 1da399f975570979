//! A search's body and its parameters.

use crate::aggregation::Aggregation;
use crate::query::{fields, Query};
use crate::{Fault, Node};
use fernglade::Span;

/// How many hits one may page through: each shard has to give as many as `from + size`, and the merge to hold them.
pub const MOST_PAGED: usize = 10_000;
/// Aggregations of one search.
const MOST_AGGREGATIONS: usize = 16;

#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    pub query: Query,
    pub from: usize,
    pub size: usize,
    /// By what hits are ordered; by score, the best first, where nothing else is asked for.
    pub order: Order,
    pub source: Source,
    pub totals: Totals,
    pub timeout: Option<Span>,
    pub aggregations: Vec<(String, Aggregation)>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Order {
    pub by: By,
    /// The least first.
    pub rising: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub enum By {
    #[default]
    Score,
    Field(String),
}

/// What of each hit's source is given.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Source {
    #[default]
    All,
    Nothing,
    /// Names of fields, each with a `*` at its end or none.
    Only {
        includes: Vec<String>,
        excludes: Vec<String>,
    },
}

/// How far hits are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Totals {
    All,
    UpTo(usize),
    Nothing,
}

impl Default for Search {
    fn default() -> Self {
        Self {
            query: Query::All,
            from: 0,
            size: 10,
            order: Order::default(),
            source: Source::All,
            // The API's own.
            totals: Totals::UpTo(10_000),
            timeout: None,
            aggregations: Vec::new(),
        }
    }
}

const FIELDS: [&str; 9] =
    ["query", "from", "size", "sort", "_source", "track_total_hits", "timeout", "aggs", "aggregations"];

impl Search {
    /// From a body; an empty one asks for everything.
    pub fn read(body: &[u8]) -> Result<Self, Fault> {
        if body.iter().all(u8::is_ascii_whitespace) {
            return Ok(Self::default());
        }
        Self::of(&Node::read(body)?)
    }

    pub fn of(body: &Node) -> Result<Self, Fault> {
        fields(body, "search", &FIELDS)?;
        let usual = Self::default();
        let count = |name: &str, usual: usize| body.get(name).map_or(Ok(usual), |node| node.count(name));
        let search = Self {
            query: body.get("query").map_or(Ok(Query::All), Query::read)?,
            from: count("from", usual.from)?,
            size: count("size", usual.size)?,
            order: body.get("sort").map_or(Ok(usual.order), order)?,
            source: body.get("_source").map_or(Ok(usual.source), source)?,
            totals: body.get("track_total_hits").map_or(Ok(usual.totals), totals)?,
            timeout: body.get("timeout").map(|node| timeout(node.text("timeout")?)).transpose()?,
            aggregations: aggregations(body)?,
        };
        search.check()
    }

    /// What a body says may also stand in the target, which comes before it.
    pub fn with_parameters(mut self, parameters: &[(String, String)]) -> Result<Self, Fault> {
        for (name, value) in parameters {
            let whole = || {
                value.parse().map_err(|_| Fault::argument(format!("[{name}] is no whole number: [{value}]")))
            };
            match name.as_str() {
                "from" => self.from = whole()?,
                "size" => self.size = whole()?,
                "timeout" => self.timeout = Some(timeout(value)?),
                "track_total_hits" => self.totals = totals(&scalar(value))?,
                "sort" => self.order = order(&Node::Text(value.clone()))?,
                "_source" => self.source = source(&scalar(value))?,
                _ => {}
            }
        }
        self.check()
    }

    fn check(self) -> Result<Self, Fault> {
        if self.from.saturating_add(self.size) > MOST_PAGED {
            let paged = self.from.saturating_add(self.size);
            return Err(Fault::argument(format!(
                "Result window is too large, from + size must be less than or equal to: [{MOST_PAGED}] but was [{paged}]"
            )));
        }
        Ok(self)
    }

    /// How many hits a shard has to give.
    pub fn window(&self) -> usize {
        self.from + self.size
    }
}

fn scalar(text: &str) -> Node {
    match (text, text.parse::<i64>()) {
        ("true", _) => Node::Bool(true),
        ("false", _) => Node::Bool(false),
        (_, Ok(whole)) => Node::Whole(whole),
        _ => Node::Text(text.into()),
    }
}

fn order(node: &Node) -> Result<Order, Fault> {
    let [one] = node.one_or_more() else {
        return Err(Fault::argument("[sort] takes _score or one field here"));
    };
    let (name, direction) = match one {
        Node::Text(text) => {
            text.split_once(':').map_or((text.as_str(), None), |(name, way)| (name, Some(way)))
        }
        _ => {
            let (name, how) = one.one_field("sort")?;
            match how {
                Node::Object(_) => {
                    fields(how, "sort", &["order"])?;
                    (name, how.get("order").map(|way| way.text("order")).transpose()?)
                }
                how => (name, Some(how.text("sort")?)),
            }
        }
    };
    let by = if name == "_score" { By::Score } else { By::Field(name.into()) };
    let rising = match direction {
        None => by != By::Score,
        Some("asc") => true,
        Some("desc") => false,
        Some(other) => return Err(Fault::argument(format!("[sort] knows no order [{other}]"))),
    };
    Ok(Order { by, rising })
}

fn source(node: &Node) -> Result<Source, Fault> {
    let names = |node: &Node| {
        let name = |name: &Node| {
            let name = name.text("_source")?;
            match name.trim_end_matches('*').contains('*') {
                true => Err(Fault::argument(format!("[_source] takes [*] at a name's end only: [{name}]"))),
                false => Ok(name.to_string()),
            }
        };
        node.one_or_more().iter().map(name).collect::<Result<Vec<_>, _>>()
    };
    match node {
        Node::Bool(true) => Ok(Source::All),
        Node::Bool(false) => Ok(Source::Nothing),
        Node::Text(text) => {
            let each: Vec<Node> = text.split(',').map(|name| Node::Text(name.into())).collect();
            Ok(Source::Only { includes: names(&Node::List(each))?, excludes: Vec::new() })
        }
        Node::Object(_) => {
            fields(node, "_source", &["includes", "excludes"])?;
            let read = |name: &str| node.get(name).map_or(Ok(Vec::new()), names);
            Ok(Source::Only { includes: read("includes")?, excludes: read("excludes")? })
        }
        list => Ok(Source::Only { includes: names(list)?, excludes: Vec::new() }),
    }
}

impl Source {
    /// What of a hit's source is given; none where nothing is.
    pub fn of(&self, source: Node) -> Option<Node> {
        let fits = |names: &[String], field: &str| {
            names.iter().any(|name| match name.strip_suffix('*') {
                Some(start) => field.starts_with(start),
                None => field == name,
            })
        };
        match (self, source) {
            (Self::All, source) => Some(source),
            (Self::Nothing, _) => None,
            (Self::Only { includes, excludes }, Node::Object(fields)) => {
                let given = |(field, _): &(String, Node)| {
                    (includes.is_empty() || fits(includes, field)) && !fits(excludes, field)
                };
                Some(Node::Object(fields.into_iter().filter(given).collect()))
            }
            (Self::Only { .. }, other) => Some(other),
        }
    }
}

fn totals(node: &Node) -> Result<Totals, Fault> {
    match node {
        Node::Bool(true) => Ok(Totals::All),
        Node::Bool(false) => Ok(Totals::Nothing),
        node => node.count("track_total_hits").map(Totals::UpTo),
    }
}

/// A length of time as the API writes it: "500ms", "2s", "1m".
pub fn timeout(text: &str) -> Result<Span, Fault> {
    let wrong =
        || Fault::argument(format!("failed to parse setting [timeout] with value [{text}] as a time value"));
    let time = humantime::parse_duration(text).map_err(|_| wrong())?;
    let micros = u64::try_from(time.as_micros()).ok().filter(|micros| *micros > 0).ok_or_else(wrong)?;
    Ok(Span::from_micros(micros))
}

fn aggregations(body: &Node) -> Result<Vec<(String, Aggregation)>, Fault> {
    let node = match (body.get("aggs"), body.get("aggregations")) {
        (Some(_), Some(_)) => return Err(Fault::parsing("both [aggs] and [aggregations] are given")),
        (Some(node), None) | (None, Some(node)) => node,
        (None, None) => return Ok(Vec::new()),
    };
    let each = node.object("aggs")?;
    if each.len() > MOST_AGGREGATIONS {
        return Err(Fault::argument(format!("too many aggregations: {MOST_AGGREGATIONS} are the most")));
    }
    let read = |(name, node): &(String, Node)| Ok((name.clone(), Aggregation::read(node)?));
    let mut all = each.iter().map(read).collect::<Result<Vec<_>, Fault>>()?;
    // They are told by name: an order of their own, so that the same search is the same.
    all.sort_by(|a, b| a.0.cmp(&b.0));
    Ok(all)
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test]
    fn a_search_is_read_whole_and_its_target_comes_first() {
        let body = br#"{"from":5,"size":20,"sort":[{"at":{"order":"desc"}}],"_source":["cue","lang*"],
          "track_total_hits":true,"timeout":"500ms","aggs":{"n":{"value_count":{"field":"at"}}}}"#;
        let search = Search::read(body).unwrap();
        assert_eq!((search.from, search.size, search.totals), (5, 20, Totals::All));
        assert_eq!(search.order, Order { by: By::Field("at".into()), rising: false });
        assert_eq!(search.timeout, Some(Span::from_millis(500)));
        let parameters = [("size".to_string(), "3".to_string()), ("sort".into(), "at:asc".into())];
        let search = search.with_parameters(&parameters).unwrap();
        assert_eq!((search.size, search.order.rising), (3, true));
        assert_eq!(Search::read(b" \r\n"), Ok(Search::default()));
    }

    #[test_case(r#"{"from":9999,"size":2}"#, "Result window is too large"; "deep paging")]
    #[test_case(r#"{"size":-1}"#, "may not be negative"; "a negative size")]
    #[test_case(r#"{"highlight":{}}"#, "[search] unknown field [highlight]"; "what is not spoken")]
    #[test_case(r#"{"sort":["a","b"]}"#, "one field here"; "two sorts")]
    #[test_case(r#"{"sort":{"a":{"order":"up"}}}"#, "no order [up]"; "an order")]
    #[test_case(r#"{"timeout":"soon"}"#, "as a time value"; "no time")]
    #[test_case(r#"{"timeout":"0s"}"#, "as a time value"; "no time at all")]
    #[test_case(r#"{"_source":["a*b"]}"#, "at a name's end only"; "a pattern amid")]
    #[test_case(r#"{"aggs":{},"aggregations":{}}"#, "both [aggs]"; "a thing twice")]
    fn what_cant_be_meant_is_refused(body: &str, says: &str) {
        let fault = Search::read(body.as_bytes()).unwrap_err();
        assert!(fault.reason.contains(says), "{}", fault.reason);
    }

    #[test]
    fn of_a_source_only_what_is_asked_for_is_given() {
        let source = Node::read(br#"{"cue":"a","lang":"es","language":"x","at":1}"#).unwrap();
        let only =
            |text: &str| super::source(&Node::read(text.as_bytes()).unwrap()).unwrap().of(source.clone());
        assert_eq!(only("false"), None);
        assert_eq!(only("true"), Some(source.clone()));
        assert_eq!(only(r#""lang*""#), Some(Node::read(br#"{"lang":"es","language":"x"}"#).unwrap()));
        assert_eq!(only(r#"{"excludes":["lang*","cue"]}"#), Some(Node::read(br#"{"at":1}"#).unwrap()));
    }
}
