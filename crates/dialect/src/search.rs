//! A search's body and its parameters.

use crate::aggregation::Aggregation;
use crate::query::{reject_unknown_fields, Query};
use crate::{ApiError, JsonValue};
use fernglade::Span;

/// How many hits one may page through: each shard has to give as many as `from + size`, and the merge to hold them.
pub const MAX_RESULT_WINDOW: usize = 10_000;
/// Aggregations of one search.
const MOST_AGGREGATIONS: usize = 16;

#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    pub query: Query,
    pub from: usize,
    pub size: usize,
    /// By what hits are ordered; by score, the best first, where nothing else is asked for.
    pub sort: Sort,
    pub source: SourceFilter,
    pub track_total_hits: TrackTotalHits,
    pub timeout: Option<Span>,
    pub aggregations: Vec<(String, Aggregation)>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sort {
    pub key: SortKey,
    /// The least first.
    pub ascending: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub enum SortKey {
    #[default]
    Score,
    Field(String),
}

/// What of each hit's source is given.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum SourceFilter {
    #[default]
    All,
    Excluded,
    /// Names of fields, each with a `*` at its end or none.
    Filtered {
        includes: Vec<String>,
        excludes: Vec<String>,
    },
}

/// How far hits are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrackTotalHits {
    Exact,
    UpTo(usize),
    Disabled,
}

impl Default for Search {
    fn default() -> Self {
        Self {
            query: Query::MatchAll,
            from: 0,
            size: 10,
            sort: Sort::default(),
            source: SourceFilter::All,
            // The API's own.
            track_total_hits: TrackTotalHits::UpTo(10_000),
            timeout: None,
            aggregations: Vec::new(),
        }
    }
}

const FIELDS: [&str; 9] =
    ["query", "from", "size", "sort", "_source", "track_total_hits", "timeout", "aggs", "aggregations"];

impl Search {
    /// From a body; an empty one asks for everything.
    pub fn parse(body: &[u8]) -> Result<Self, ApiError> {
        if body.iter().all(u8::is_ascii_whitespace) {
            return Ok(Self::default());
        }
        Self::from_json(&JsonValue::parse(body)?)
    }

    pub fn from_json(body: &JsonValue) -> Result<Self, ApiError> {
        reject_unknown_fields(body, "search", &FIELDS)?;
        let usual = Self::default();
        let count = |name: &str, usual: usize| body.get(name).map_or(Ok(usual), |node| node.count(name));
        let search = Self {
            query: body.get("query").map_or(Ok(Query::MatchAll), Query::parse)?,
            from: count("from", usual.from)?,
            size: count("size", usual.size)?,
            sort: body.get("sort").map_or(Ok(usual.sort), order)?,
            source: body.get("_source").map_or(Ok(usual.source), source)?,
            track_total_hits: body.get("track_total_hits").map_or(Ok(usual.track_total_hits), totals)?,
            timeout: body.get("timeout").map(|node| parse_timeout(node.text("timeout")?)).transpose()?,
            aggregations: aggregations(body)?,
        };
        search.check()
    }

    /// What a body says may also stand in the target, which comes before it.
    pub fn with_parameters(mut self, parameters: &[(String, String)]) -> Result<Self, ApiError> {
        for (name, value) in parameters {
            let whole = || {
                value.parse().map_err(|_| {
                    ApiError::illegal_argument(format!("[{name}] is no whole number: [{value}]"))
                })
            };
            match name.as_str() {
                "from" => self.from = whole()?,
                "size" => self.size = whole()?,
                "timeout" => self.timeout = Some(parse_timeout(value)?),
                "track_total_hits" => self.track_total_hits = totals(&scalar(value))?,
                "sort" => self.sort = order(&JsonValue::String(value.clone()))?,
                "_source" => self.source = source(&scalar(value))?,
                _ => {}
            }
        }
        self.check()
    }

    fn check(self) -> Result<Self, ApiError> {
        if self.from.saturating_add(self.size) > MAX_RESULT_WINDOW {
            let paged = self.from.saturating_add(self.size);
            return Err(ApiError::illegal_argument(format!(
                "Result window is too large, from + size must be less than or equal to: [{MAX_RESULT_WINDOW}] but was [{paged}]"
            )));
        }
        Ok(self)
    }

    /// How many hits a shard has to give.
    pub fn window(&self) -> usize {
        self.from + self.size
    }
}

fn scalar(text: &str) -> JsonValue {
    match (text, text.parse::<i64>()) {
        ("true", _) => JsonValue::Bool(true),
        ("false", _) => JsonValue::Bool(false),
        (_, Ok(whole)) => JsonValue::Integer(whole),
        _ => JsonValue::String(text.into()),
    }
}

fn order(node: &JsonValue) -> Result<Sort, ApiError> {
    let [one] = node.one_or_more() else {
        return Err(ApiError::illegal_argument("[sort] takes _score or one field here"));
    };
    let (name, direction) = match one {
        JsonValue::String(text) => {
            text.split_once(':').map_or((text.as_str(), None), |(name, way)| (name, Some(way)))
        }
        _ => {
            let (name, how) = one.single_field("sort")?;
            match how {
                JsonValue::Object(_) => {
                    reject_unknown_fields(how, "sort", &["order"])?;
                    (name, how.get("order").map(|way| way.text("order")).transpose()?)
                }
                how => (name, Some(how.text("sort")?)),
            }
        }
    };
    let by = if name == "_score" { SortKey::Score } else { SortKey::Field(name.into()) };
    let ascending = match direction {
        None => by != SortKey::Score,
        Some("asc") => true,
        Some("desc") => false,
        Some(other) => return Err(ApiError::illegal_argument(format!("[sort] knows no order [{other}]"))),
    };
    Ok(Sort { key: by, ascending })
}

fn source(node: &JsonValue) -> Result<SourceFilter, ApiError> {
    let names = |node: &JsonValue| {
        let name = |name: &JsonValue| {
            let name = name.text("_source")?;
            match name.trim_end_matches('*').contains('*') {
                true => Err(ApiError::illegal_argument(format!(
                    "[_source] takes [*] at a name's end only: [{name}]"
                ))),
                false => Ok(name.to_string()),
            }
        };
        node.one_or_more().iter().map(name).collect::<Result<Vec<_>, _>>()
    };
    match node {
        JsonValue::Bool(true) => Ok(SourceFilter::All),
        JsonValue::Bool(false) => Ok(SourceFilter::Excluded),
        JsonValue::String(text) => {
            let each: Vec<JsonValue> = text.split(',').map(|name| JsonValue::String(name.into())).collect();
            Ok(SourceFilter::Filtered { includes: names(&JsonValue::Array(each))?, excludes: Vec::new() })
        }
        JsonValue::Object(_) => {
            reject_unknown_fields(node, "_source", &["includes", "excludes"])?;
            let read = |name: &str| node.get(name).map_or(Ok(Vec::new()), names);
            Ok(SourceFilter::Filtered { includes: read("includes")?, excludes: read("excludes")? })
        }
        list => Ok(SourceFilter::Filtered { includes: names(list)?, excludes: Vec::new() }),
    }
}

impl SourceFilter {
    /// What of a hit's source is given; none where nothing is.
    pub fn apply(&self, source: JsonValue) -> Option<JsonValue> {
        let fits = |names: &[String], field: &str| {
            names.iter().any(|name| match name.strip_suffix('*') {
                Some(start) => field.starts_with(start),
                None => field == name,
            })
        };
        match (self, source) {
            (Self::All, source) => Some(source),
            (Self::Excluded, _) => None,
            (Self::Filtered { includes, excludes }, JsonValue::Object(fields)) => {
                let given = |(field, _): &(String, JsonValue)| {
                    (includes.is_empty() || fits(includes, field)) && !fits(excludes, field)
                };
                Some(JsonValue::Object(fields.into_iter().filter(given).collect()))
            }
            (Self::Filtered { .. }, other) => Some(other),
        }
    }
}

fn totals(node: &JsonValue) -> Result<TrackTotalHits, ApiError> {
    match node {
        JsonValue::Bool(true) => Ok(TrackTotalHits::Exact),
        JsonValue::Bool(false) => Ok(TrackTotalHits::Disabled),
        node => node.count("track_total_hits").map(TrackTotalHits::UpTo),
    }
}

/// A length of time as the API writes it: "500ms", "2s", "1m".
pub fn parse_timeout(text: &str) -> Result<Span, ApiError> {
    let wrong = || {
        ApiError::illegal_argument(format!(
            "failed to parse setting [timeout] with value [{text}] as a time value"
        ))
    };
    let time = humantime::parse_duration(text).map_err(|_| wrong())?;
    let micros = u64::try_from(time.as_micros()).ok().filter(|micros| *micros > 0).ok_or_else(wrong)?;
    Ok(Span::of_micros(micros))
}

fn aggregations(body: &JsonValue) -> Result<Vec<(String, Aggregation)>, ApiError> {
    let node = match (body.get("aggs"), body.get("aggregations")) {
        (Some(_), Some(_)) => return Err(ApiError::parsing("both [aggs] and [aggregations] are given")),
        (Some(node), None) | (None, Some(node)) => node,
        (None, None) => return Ok(Vec::new()),
    };
    let each = node.object("aggs")?;
    if each.len() > MOST_AGGREGATIONS {
        return Err(ApiError::illegal_argument(format!(
            "too many aggregations: {MOST_AGGREGATIONS} are the most"
        )));
    }
    let read = |(name, node): &(String, JsonValue)| Ok((name.clone(), Aggregation::parse(node)?));
    let mut all = each.iter().map(read).collect::<Result<Vec<_>, ApiError>>()?;
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
        let search = Search::parse(body).unwrap();
        assert_eq!((search.from, search.size, search.track_total_hits), (5, 20, TrackTotalHits::Exact));
        assert_eq!(search.sort, Sort { key: SortKey::Field("at".into()), ascending: false });
        assert_eq!(search.timeout, Some(Span::of_millis(500)));
        let parameters = [("size".to_string(), "3".to_string()), ("sort".into(), "at:asc".into())];
        let search = search.with_parameters(&parameters).unwrap();
        assert_eq!((search.size, search.sort.ascending), (3, true));
        assert_eq!(Search::parse(b" \r\n"), Ok(Search::default()));
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
        let fault = Search::parse(body.as_bytes()).unwrap_err();
        assert!(fault.reason.contains(says), "{}", fault.reason);
    }

    #[test]
    fn of_a_source_only_what_is_asked_for_is_given() {
        let source = JsonValue::parse(br#"{"cue":"a","lang":"es","language":"x","at":1}"#).unwrap();
        let only = |text: &str| {
            super::source(&JsonValue::parse(text.as_bytes()).unwrap()).unwrap().apply(source.clone())
        };
        assert_eq!(only("false"), None);
        assert_eq!(only("true"), Some(source.clone()));
        assert_eq!(only(r#""lang*""#), Some(JsonValue::parse(br#"{"lang":"es","language":"x"}"#).unwrap()));
        assert_eq!(only(r#"{"excludes":["lang*","cue"]}"#), Some(JsonValue::parse(br#"{"at":1}"#).unwrap()));
    }
}
