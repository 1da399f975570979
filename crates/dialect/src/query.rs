//! Parses the supported subset of the query language. Anything else is rejected by name and never ignored,
//! because a clause that is left out of a search changes its result.

use crate::{ApiError, JsonValue};

/// A parsed query.
#[derive(Clone, Debug, PartialEq)]
pub enum Query {
    MatchAll,
    /// Documents whose field contains all of the terms if `require_all`, otherwise any of them. The terms are
    /// kept as one text, separated by single spaces: a string for each would take many times its length.
    Match {
        field: String,
        terms: String,
        require_all: bool,
    },
    /// Documents whose field has one of the values, without analysis.
    Terms {
        field: String,
        values: Vec<JsonValue>,
    },
    /// Documents whose field lies between the bounds.
    Range {
        field: String,
        lower: Option<Bound>,
        upper: Option<Bound>,
    },
    /// Documents with one of the ids.
    Ids(Vec<String>),
    /// A combination of other queries.
    Bool(Box<BoolQuery>),
}

/// One bound of a range.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    pub value: JsonValue,
    pub inclusive: bool,
}

/// The clauses of a `bool` query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BoolQuery {
    pub must: Vec<Query>,
    pub filter: Vec<Query>,
    pub should: Vec<Query>,
    pub must_not: Vec<Query>,
    /// How many of the `should` clauses must match.
    pub minimum_should_match: usize,
}

/// Maximum number of clauses in a query, nested ones included; it bounds the work of a node for one scan.
const MAX_CLAUSES: usize = 256;

impl Query {
    /// Parses a query; rejects one with more than [`MAX_CLAUSES`] clauses.
    pub fn parse(json: &JsonValue) -> Result<Self, ApiError> {
        let mut clauses_left = MAX_CLAUSES;
        Self::parse_bounded(json, &mut clauses_left)
    }

    /// Parses a query and its nested clauses, each of which counts against `clauses_left`.
    fn parse_bounded(json: &JsonValue, clauses_left: &mut usize) -> Result<Self, ApiError> {
        *clauses_left = clauses_left.checked_sub(1).ok_or_else(|| {
            ApiError::illegal_argument(format!("too many clauses in the query: {MAX_CLAUSES} are the most"))
        })?;
        let (name, body) = json.single_field("query")?;
        match name {
            "match_all" => reject_unknown_fields(body, name, &[]).map(|()| Self::MatchAll),
            "match" => parse_match(body),
            "term" => {
                let (field, value) = body.single_field(name)?;
                let value = parse_scalar(value.get("value").unwrap_or(value), name)?;
                Ok(Self::Terms { field: field.into(), values: vec![value] })
            }
            "terms" => {
                let (field, values) = body.single_field(name)?;
                let values = values.list(name)?.iter().map(|value| parse_scalar(value, name));
                Ok(Self::Terms { field: field.into(), values: values.collect::<Result<_, _>>()? })
            }
            "range" => parse_range(body),
            "ids" => {
                reject_unknown_fields(body, name, &["values"])?;
                let values =
                    body.get("values").ok_or_else(|| ApiError::parsing("[ids] requires [values]"))?;
                let id = |id: &JsonValue| id.text(name).map(String::from);
                Ok(Self::Ids(values.list(name)?.iter().map(id).collect::<Result<_, _>>()?))
            }
            "bool" => parse_bool(body, clauses_left).map(|query| Self::Bool(Box::new(query))),
            other => Err(ApiError::parsing(format!("unknown query [{other}]"))),
        }
    }
}

/// Rejects an object that has a field other than the known ones; `context` names it in the error.
pub fn reject_unknown_fields(json: &JsonValue, context: &str, known: &[&str]) -> Result<(), ApiError> {
    match json.object(context)?.iter().find(|(name, _)| !known.contains(&name.as_str())) {
        Some((name, _)) => Err(ApiError::parsing(format!("[{context}] unknown field [{name}]"))),
        None => Ok(()),
    }
}

/// Accepts a boolean, a number or a string.
fn parse_scalar(json: &JsonValue, context: &str) -> Result<JsonValue, ApiError> {
    match json {
        JsonValue::Array(_) | JsonValue::Object(_) | JsonValue::Null => {
            Err(ApiError::parsing(format!("[{context}] expects a plain value, but is {}", json.type_name())))
        }
        scalar => Ok(scalar.clone()),
    }
}

/// Splits a text into terms: runs of letters and digits, in lower case. The stand-in index uses the same
/// tokenizer.
pub fn tokenize(text: &str) -> Vec<String> {
    let word = |word: &str| (!word.is_empty()).then(|| word.to_lowercase());
    text.split(|character: char| !character.is_alphanumeric()).filter_map(word).collect()
}

/// The terms of a text, as [`tokenize`] splits it, separated by single spaces.
fn join_terms(text: &str) -> String {
    if !text.is_ascii() {
        return tokenize(text).join(" ");
    }
    let mut terms = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() {
            terms.push(char::from(byte.to_ascii_lowercase()));
        } else if !terms.is_empty() && !terms.ends_with(' ') {
            terms.push(' ');
        }
    }
    terms.truncate(terms.trim_end().len());
    terms
}

/// Parses the body of a `match` query.
fn parse_match(body: &JsonValue) -> Result<Query, ApiError> {
    let (field, value) = body.single_field("match")?;
    let (text, require_all) = match value {
        JsonValue::Object(_) => {
            reject_unknown_fields(value, "match", &["query", "operator"])?;
            let text = value.get("query").ok_or_else(|| ApiError::parsing("[match] requires [query]"))?;
            let require_all =
                match value.get("operator").map(|operator| operator.text("operator")).transpose()? {
                    None | Some("or" | "OR") => false,
                    Some("and" | "AND") => true,
                    Some(other) => return Err(ApiError::illegal_argument(format!("no operator [{other}]"))),
                };
            (text.text("match")?, require_all)
        }
        value => (value.text("match")?, false),
    };
    Ok(Query::Match { field: field.into(), terms: join_terms(text), require_all })
}

/// Parses the body of a `range` query.
fn parse_range(body: &JsonValue) -> Result<Query, ApiError> {
    let (field, bounds) = body.single_field("range")?;
    reject_unknown_fields(bounds, "range", &["gt", "gte", "lt", "lte"])?;
    let bound = |exclusive_name: &str, inclusive_name: &str| match (
        bounds.get(exclusive_name),
        bounds.get(inclusive_name),
    ) {
        (Some(_), Some(_)) => {
            Err(ApiError::parsing(format!("[range] has both [{exclusive_name}] and [{inclusive_name}]")))
        }
        (Some(value), None) => Ok(Some(Bound { value: parse_scalar(value, "range")?, inclusive: false })),
        (None, Some(value)) => Ok(Some(Bound { value: parse_scalar(value, "range")?, inclusive: true })),
        (None, None) => Ok(None),
    };
    Ok(Query::Range { field: field.into(), lower: bound("gt", "gte")?, upper: bound("lt", "lte")? })
}

/// Parses the body of a `bool` query.
fn parse_bool(body: &JsonValue, clauses_left: &mut usize) -> Result<BoolQuery, ApiError> {
    reject_unknown_fields(body, "bool", &["must", "filter", "should", "must_not", "minimum_should_match"])?;
    let mut parse_list = |name: &str| match body.get(name) {
        None => Ok(Vec::new()),
        Some(json) => {
            json.one_or_more().iter().map(|json| Query::parse_bounded(json, clauses_left)).collect()
        }
    };
    let (must, filter) = (parse_list("must")?, parse_list("filter")?);
    let (should, must_not) = (parse_list("should")?, parse_list("must_not")?);
    // As in OpenSearch: without `must` or `filter`, at least one `should` clause has to match.
    let default = usize::from(!should.is_empty() && must.is_empty() && filter.is_empty());
    let minimum_should_match =
        body.get("minimum_should_match").map_or(Ok(default), |json| json.count("minimum_should_match"))?;
    Ok(BoolQuery { must, filter, should, must_not, minimum_should_match })
}

#[cfg(test)]
mod tests {
    use super::{BoolQuery, Bound, Query};
    use crate::JsonValue;
    use test_case::test_case;

    fn parse(text: &str) -> Result<Query, crate::ApiError> {
        Query::parse(&JsonValue::parse(text.as_bytes()).unwrap())
    }

    #[test]
    fn a_query_is_parsed() {
        let text = r#"{"bool":{"must":{"match":{"cue":"Hola, Mundo"}},"filter":[{"range":{"at":{"gte":3,"lt":9.5}}},
          {"term":{"lang":{"value":"es"}}}],"must_not":[{"ids":{"values":["a"]}}],"should":[{"match_all":{}}]}}"#;
        let terms = "hola mundo".into();
        let lower = Some(Bound { value: JsonValue::Integer(3), inclusive: true });
        let upper = Some(Bound { value: JsonValue::Float(9.5), inclusive: false });
        let clauses = BoolQuery {
            must: vec![Query::Match { field: "cue".into(), terms, require_all: false }],
            filter: vec![
                Query::Range { field: "at".into(), lower, upper },
                Query::Terms { field: "lang".into(), values: vec![JsonValue::String("es".into())] },
            ],
            should: vec![Query::MatchAll],
            must_not: vec![Query::Ids(vec!["a".into()])],
            minimum_should_match: 0,
        };
        assert_eq!(parse(text), Ok(Query::Bool(Box::new(clauses))));
    }

    #[test_case(r#"{"fuzzy":{"a":"b"}}"#, "unknown query [fuzzy]"; "an unsupported query")]
    #[test_case(r#"{"match":{"a":{"query":"b","fuzziness":2}}}"#, "[match] unknown field [fuzziness]"; "an unsupported option")]
    #[test_case(r#"{"match":{"a":"b","c":"d"}}"#, "[match] expects one field, but has 2"; "two fields")]
    #[test_case(r#"{"match_all":{"boost":2}}"#, "[match_all] unknown field [boost]"; "a boost")]
    #[test_case(r#"{"range":{"a":{"gt":1,"gte":1}}}"#, "[range] has both [gt] and [gte]"; "both kinds of lower bound")]
    #[test_case(r#"{"term":{"a":[1]}}"#, "[term] expects a plain value, but is a list"; "a list instead of a value")]
    #[test_case(r#"{"bool":{"must":[{"x":{}}]}}"#, "unknown query [x]"; "a nested query")]
    #[test_case(r#"{"bool":{"minimum_should_match":"75%"}}"#, "[minimum_should_match] expects a whole number, but is a text"; "a percentage")]
    fn unsupported_queries_are_rejected_by_name(text: &str, message: &str) {
        assert_eq!(parse(text).unwrap_err().reason, message);
    }

    #[test_case("Hola, Mundo"; "punctuation")]
    #[test_case("  a--b 3c.  "; "several separators, also at the ends")]
    #[test_case("Ñandú ΟΔΟΣ, a"; "letters beyond ASCII")]
    #[test_case(" . "; "no term")]
    fn joined_terms_are_those_of_the_tokenizer(text: &str) {
        assert_eq!(super::join_terms(text), super::tokenize(text).join(" "));
    }

    #[test]
    fn the_number_of_clauses_is_limited() {
        let clause = r#"{"match_all":{}}"#;
        let bool_query =
            |count: usize| format!(r#"{{"bool":{{"should":[{}]}}}}"#, vec![clause; count].join(","));
        assert!(parse(&bool_query(255)).is_ok());
        assert!(parse(&bool_query(256)).unwrap_err().reason.contains("256 are the most"));
    }
}
