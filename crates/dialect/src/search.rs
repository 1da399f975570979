//! Parses the body and the query parameters of a search.

use crate::aggregation::Aggregation;
use crate::query::{reject_unknown_fields, Query};
use crate::{ApiError, JsonValue};
use fernglade::Span;

/// Maximum of `from + size`: each shard returns that many hits and the merge holds as many.
pub const MAX_RESULT_WINDOW: usize = 10_000;
/// Maximum number of names in `_source`: each one is compared with every field of every hit.
const MAX_SOURCE_NAMES: usize = 256;
/// Maximum number of aggregations in one search.
const MAX_AGGREGATIONS: usize = 16;

/// A validated search.
#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    pub query: Query,
    /// Number of hits to skip.
    pub from: usize,
    /// Maximum number of hits to return.
    pub size: usize,
    /// The order of the hits; by descending score if the search names none.
    pub sort: Sort,
    pub source: SourceFilter,
    pub track_total_hits: TrackTotalHits,
    pub timeout: Option<Span>,
    /// The aggregations with their names, sorted by name.
    pub aggregations: Vec<(String, Aggregation)>,
}

/// The sort order of the hits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sort {
    pub key: SortKey,
    /// Whether the lowest value comes first.
    pub ascending: bool,
}

/// What hits are sorted by.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum SortKey {
    #[default]
    Score,
    Field(String),
}

/// Which fields of the source are returned with each hit.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum SourceFilter {
    #[default]
    All,
    Excluded,
    /// Field names, each optionally ending in `*`.
    Filtered {
        includes: Vec<String>,
        excludes: Vec<String>,
    },
}

/// How far matching documents are counted.
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
            // The default of OpenSearch.
            track_total_hits: TrackTotalHits::UpTo(10_000),
            timeout: None,
            aggregations: Vec::new(),
        }
    }
}

/// Fields that a search body may have.
const KNOWN_FIELDS: [&str; 9] =
    ["query", "from", "size", "sort", "_source", "track_total_hits", "timeout", "aggs", "aggregations"];

impl Search {
    /// Parses a body; an empty one matches every document.
    pub fn parse(body: &[u8]) -> Result<Self, ApiError> {
        if body.iter().all(u8::is_ascii_whitespace) {
            return Ok(Self::default());
        }
        Self::from_json(&JsonValue::parse(body)?)
    }

    /// Builds a search from a parsed body.
    pub fn from_json(body: &JsonValue) -> Result<Self, ApiError> {
        reject_unknown_fields(body, "search", &KNOWN_FIELDS)?;
        let default = Self::default();
        let count = |name: &str, default: usize| body.get(name).map_or(Ok(default), |json| json.count(name));
        let search = Self {
            query: body.get("query").map_or(Ok(Query::MatchAll), Query::parse)?,
            from: count("from", default.from)?,
            size: count("size", default.size)?,
            sort: body.get("sort").map_or(Ok(default.sort), parse_sort)?,
            source: body.get("_source").map_or(Ok(default.source), parse_source_filter)?,
            track_total_hits: body
                .get("track_total_hits")
                .map_or(Ok(default.track_total_hits), parse_track_total_hits)?,
            timeout: body.get("timeout").map(|json| parse_timeout(json.text("timeout")?)).transpose()?,
            aggregations: parse_aggregations(body)?,
        };
        search.validate()
    }

    /// Applies the query parameters of the target, which take precedence over the body.
    pub fn with_parameters(mut self, parameters: &[(String, String)]) -> Result<Self, ApiError> {
        for (name, value) in parameters {
            let parse_number = || {
                value.parse().map_err(|_| {
                    ApiError::illegal_argument(format!("[{name}] is no whole number: [{value}]"))
                })
            };
            match name.as_str() {
                "from" => self.from = parse_number()?,
                "size" => self.size = parse_number()?,
                "timeout" => self.timeout = Some(parse_timeout(value)?),
                "track_total_hits" => self.track_total_hits = parse_track_total_hits(&parse_scalar(value))?,
                "sort" => self.sort = parse_sort(&JsonValue::String(value.clone()))?,
                "_source" => self.source = parse_source_filter(&parse_scalar(value))?,
                _ => {}
            }
        }
        self.validate()
    }

    /// Checks that the result window is not too large.
    fn validate(self) -> Result<Self, ApiError> {
        if self.from.saturating_add(self.size) > MAX_RESULT_WINDOW {
            let window = self.from.saturating_add(self.size);
            return Err(ApiError::illegal_argument(format!(
                "Result window is too large, from + size must be less than or equal to: [{MAX_RESULT_WINDOW}] but was [{window}]"
            )));
        }
        Ok(self)
    }

    /// The search without its query, which may be long and is not needed once it was sent to the shards.
    pub fn without_query(self) -> Self {
        Self { query: Query::MatchAll, ..self }
    }

    /// The number of hits that each shard is asked for: `from + size`.
    pub fn window(&self) -> usize {
        self.from + self.size
    }
}

/// Converts a query parameter to the JSON value it would have in a body.
fn parse_scalar(text: &str) -> JsonValue {
    match (text, text.parse::<i64>()) {
        ("true", _) => JsonValue::Bool(true),
        ("false", _) => JsonValue::Bool(false),
        (_, Ok(integer)) => JsonValue::Integer(integer),
        _ => JsonValue::String(text.into()),
    }
}

/// Parses `sort`: `_score` or one field, with an optional direction.
fn parse_sort(json: &JsonValue) -> Result<Sort, ApiError> {
    let [entry] = json.one_or_more() else {
        return Err(ApiError::illegal_argument("[sort] takes _score or one field here"));
    };
    let (name, direction) = match entry {
        JsonValue::String(text) => {
            text.split_once(':').map_or((text.as_str(), None), |(name, direction)| (name, Some(direction)))
        }
        _ => {
            let (name, value) = entry.single_field("sort")?;
            match value {
                JsonValue::Object(_) => {
                    reject_unknown_fields(value, "sort", &["order"])?;
                    (name, value.get("order").map(|direction| direction.text("order")).transpose()?)
                }
                value => (name, Some(value.text("sort")?)),
            }
        }
    };
    let key = if name == "_score" { SortKey::Score } else { SortKey::Field(name.into()) };
    let ascending = match direction {
        None => key != SortKey::Score,
        Some("asc") => true,
        Some("desc") => false,
        Some(other) => return Err(ApiError::illegal_argument(format!("[sort] knows no order [{other}]"))),
    };
    Ok(Sort { key, ascending })
}

/// Parses `_source`: a boolean, a field name, a list of names or an object with `includes` and `excludes`.
fn parse_source_filter(json: &JsonValue) -> Result<SourceFilter, ApiError> {
    let filter = parse_source_names(json)?;
    match &filter {
        SourceFilter::Filtered { includes, excludes }
            if includes.len() + excludes.len() > MAX_SOURCE_NAMES =>
        {
            Err(ApiError::illegal_argument(format!("[_source] takes {MAX_SOURCE_NAMES} names at the most")))
        }
        _ => Ok(filter),
    }
}

fn parse_source_names(json: &JsonValue) -> Result<SourceFilter, ApiError> {
    let names = |json: &JsonValue| {
        let name = |name: &JsonValue| {
            let name = name.text("_source")?;
            match name.trim_end_matches('*').contains('*') {
                true => Err(ApiError::illegal_argument(format!(
                    "[_source] takes [*] at a name's end only: [{name}]"
                ))),
                false => Ok(name.to_string()),
            }
        };
        json.one_or_more().iter().map(name).collect::<Result<Vec<_>, _>>()
    };
    match json {
        JsonValue::Bool(true) => Ok(SourceFilter::All),
        JsonValue::Bool(false) => Ok(SourceFilter::Excluded),
        JsonValue::String(text) => {
            let fields: Vec<JsonValue> = text.split(',').map(|name| JsonValue::String(name.into())).collect();
            Ok(SourceFilter::Filtered { includes: names(&JsonValue::Array(fields))?, excludes: Vec::new() })
        }
        JsonValue::Object(_) => {
            reject_unknown_fields(json, "_source", &["includes", "excludes"])?;
            let parse = |name: &str| json.get(name).map_or(Ok(Vec::new()), names);
            Ok(SourceFilter::Filtered { includes: parse("includes")?, excludes: parse("excludes")? })
        }
        list => Ok(SourceFilter::Filtered { includes: names(list)?, excludes: Vec::new() }),
    }
}

impl SourceFilter {
    /// Selects the fields of a hit's source; `None` if the source is excluded.
    pub fn apply(&self, source: JsonValue) -> Option<JsonValue> {
        let matches = |names: &[String], field: &str| {
            names.iter().any(|name| match name.strip_suffix('*') {
                Some(prefix) => field.starts_with(prefix),
                None => field == name,
            })
        };
        match (self, source) {
            (Self::All, source) => Some(source),
            (Self::Excluded, _) => None,
            (Self::Filtered { includes, excludes }, JsonValue::Object(fields)) => {
                let selected = |(field, _): &(String, JsonValue)| {
                    (includes.is_empty() || matches(includes, field)) && !matches(excludes, field)
                };
                Some(JsonValue::Object(fields.into_iter().filter(selected).collect()))
            }
            (Self::Filtered { .. }, other) => Some(other),
        }
    }
}

/// Parses `track_total_hits`: a boolean or an upper bound.
fn parse_track_total_hits(json: &JsonValue) -> Result<TrackTotalHits, ApiError> {
    match json {
        JsonValue::Bool(true) => Ok(TrackTotalHits::Exact),
        JsonValue::Bool(false) => Ok(TrackTotalHits::Disabled),
        json => json.count("track_total_hits").map(TrackTotalHits::UpTo),
    }
}

/// Parses a duration such as "500ms", "2s" or "1m"; rejects zero.
pub fn parse_timeout(text: &str) -> Result<Span, ApiError> {
    let invalid = || {
        ApiError::illegal_argument(format!(
            "failed to parse setting [timeout] with value [{text}] as a time value"
        ))
    };
    let duration = humantime::parse_duration(text).map_err(|_| invalid())?;
    let micros = u64::try_from(duration.as_micros()).ok().filter(|micros| *micros > 0).ok_or_else(invalid)?;
    Ok(Span::from_micros(micros))
}

/// Parses `aggs` or its alias `aggregations`.
fn parse_aggregations(body: &JsonValue) -> Result<Vec<(String, Aggregation)>, ApiError> {
    let json = match (body.get("aggs"), body.get("aggregations")) {
        (Some(_), Some(_)) => return Err(ApiError::parsing("both [aggs] and [aggregations] are given")),
        (Some(json), None) | (None, Some(json)) => json,
        (None, None) => return Ok(Vec::new()),
    };
    let entries = json.object("aggs")?;
    if entries.len() > MAX_AGGREGATIONS {
        return Err(ApiError::illegal_argument(format!(
            "too many aggregations: {MAX_AGGREGATIONS} are the most"
        )));
    }
    let parse = |(name, json): &(String, JsonValue)| Ok((name.clone(), Aggregation::parse(json)?));
    let mut aggregations = entries.iter().map(parse).collect::<Result<Vec<_>, ApiError>>()?;
    // Sorted by name so that equal searches compare equal, whatever order they list them in.
    aggregations.sort_by(|a, b| a.0.cmp(&b.0));
    Ok(aggregations)
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test]
    fn a_search_is_parsed_and_target_parameters_take_precedence() {
        let body = br#"{"from":5,"size":20,"sort":[{"at":{"order":"desc"}}],"_source":["cue","lang*"],
          "track_total_hits":true,"timeout":"500ms","aggs":{"n":{"value_count":{"field":"at"}}}}"#;
        let search = Search::parse(body).unwrap();
        assert_eq!((search.from, search.size, search.track_total_hits), (5, 20, TrackTotalHits::Exact));
        assert_eq!(search.sort, Sort { key: SortKey::Field("at".into()), ascending: false });
        assert_eq!(search.timeout, Some(Span::from_millis(500)));
        let parameters = [("size".to_string(), "3".to_string()), ("sort".into(), "at:asc".into())];
        let search = search.with_parameters(&parameters).unwrap();
        assert_eq!((search.size, search.sort.ascending), (3, true));
        assert_eq!(Search::parse(b" \r\n"), Ok(Search::default()));
    }

    #[test_case(r#"{"from":9999,"size":2}"#, "Result window is too large"; "deep paging")]
    #[test_case(r#"{"size":-1}"#, "may not be negative"; "a negative size")]
    #[test_case(r#"{"highlight":{}}"#, "[search] unknown field [highlight]"; "an unsupported field")]
    #[test_case(r#"{"sort":["a","b"]}"#, "one field here"; "two sort keys")]
    #[test_case(r#"{"sort":{"a":{"order":"up"}}}"#, "no order [up]"; "an unknown sort direction")]
    #[test_case(r#"{"timeout":"soon"}"#, "as a time value"; "a malformed timeout")]
    #[test_case(r#"{"timeout":"0s"}"#, "as a time value"; "a zero timeout")]
    #[test_case(r#"{"_source":["a*b"]}"#, "at a name's end only"; "a wildcard inside a name")]
    #[test_case(r#"{"aggs":{},"aggregations":{}}"#, "both [aggs]"; "both aggs and aggregations")]
    fn invalid_searches_are_rejected(body: &str, message: &str) {
        let error = Search::parse(body.as_bytes()).unwrap_err();
        assert!(error.reason.contains(message), "{}", error.reason);
    }

    #[test]
    fn a_source_filter_selects_the_requested_fields() {
        let source = JsonValue::parse(br#"{"cue":"a","lang":"es","language":"x","at":1}"#).unwrap();
        let filtered = |text: &str| {
            super::parse_source_filter(&JsonValue::parse(text.as_bytes()).unwrap())
                .unwrap()
                .apply(source.clone())
        };
        assert_eq!(filtered("false"), None);
        assert_eq!(filtered("true"), Some(source.clone()));
        assert_eq!(
            filtered(r#""lang*""#),
            Some(JsonValue::parse(br#"{"lang":"es","language":"x"}"#).unwrap())
        );
        assert_eq!(
            filtered(r#"{"excludes":["lang*","cue"]}"#),
            Some(JsonValue::parse(br#"{"at":1}"#).unwrap())
        );
    }
}
