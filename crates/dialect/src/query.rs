//! The query language, as far as it is spoken. What is not spoken is refused by name, never passed over: a clause that
//! is left out of a search changes its answer.

use crate::{ApiError, JsonValue};

#[derive(Clone, Debug, PartialEq)]
pub enum Query {
    MatchAll,
    /// All of the words where `every`, else any.
    Match {
        field: String,
        terms: Vec<String>,
        require_all: bool,
    },
    /// Any of the values, as they are.
    Terms {
        field: String,
        values: Vec<JsonValue>,
    },
    Range {
        field: String,
        lower: Option<Bound>,
        upper: Option<Bound>,
    },
    Ids(Vec<String>),
    Bool(Box<BoolQuery>),
}

/// One end of a range.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    pub value: JsonValue,
    pub inclusive: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct BoolQuery {
    pub must: Vec<Query>,
    pub filter: Vec<Query>,
    pub should: Vec<Query>,
    pub must_not: Vec<Query>,
    /// How many of `should` have to hold.
    pub minimum_should_match: usize,
}

/// Clauses in a query, all told: what a node is asked to do for one scan has a bound.
const MOST_CLAUSES: usize = 256;

impl Query {
    pub fn parse(node: &JsonValue) -> Result<Self, ApiError> {
        let mut left = MOST_CLAUSES;
        Self::within(node, &mut left)
    }

    fn within(node: &JsonValue, left: &mut usize) -> Result<Self, ApiError> {
        *left = left.checked_sub(1).ok_or_else(|| {
            ApiError::illegal_argument(format!("too many clauses in the query: {MOST_CLAUSES} are the most"))
        })?;
        let (name, body) = node.single_field("query")?;
        match name {
            "match_all" => reject_unknown_fields(body, name, &[]).map(|()| Self::MatchAll),
            "match" => matching(body),
            "term" => {
                let (field, value) = body.single_field(name)?;
                let value = plain(value.get("value").unwrap_or(value), name)?;
                Ok(Self::Terms { field: field.into(), values: vec![value] })
            }
            "terms" => {
                let (field, values) = body.single_field(name)?;
                let values = values.list(name)?.iter().map(|value| plain(value, name));
                Ok(Self::Terms { field: field.into(), values: values.collect::<Result<_, _>>()? })
            }
            "range" => range(body),
            "ids" => {
                reject_unknown_fields(body, name, &["values"])?;
                let values =
                    body.get("values").ok_or_else(|| ApiError::parsing("[ids] requires [values]"))?;
                let id = |id: &JsonValue| id.text(name).map(String::from);
                Ok(Self::Ids(values.list(name)?.iter().map(id).collect::<Result<_, _>>()?))
            }
            "bool" => clauses(body, left).map(|clauses| Self::Bool(Box::new(clauses))),
            other => Err(ApiError::parsing(format!("unknown query [{other}]"))),
        }
    }
}

/// Refuses any field that is not among these.
pub fn reject_unknown_fields(node: &JsonValue, at: &str, known: &[&str]) -> Result<(), ApiError> {
    match node.object(at)?.iter().find(|(name, _)| !known.contains(&name.as_str())) {
        Some((name, _)) => Err(ApiError::parsing(format!("[{at}] unknown field [{name}]"))),
        None => Ok(()),
    }
}

fn plain(node: &JsonValue, at: &str) -> Result<JsonValue, ApiError> {
    match node {
        JsonValue::Array(_) | JsonValue::Object(_) | JsonValue::Null => {
            Err(ApiError::parsing(format!("[{at}] expects a plain value, but is {}", node.type_name())))
        }
        plain => Ok(plain.clone()),
    }
}

/// Words as a stand-in's index has them: runs of letters and digits, in lower case.
pub fn tokenize(text: &str) -> Vec<String> {
    let word = |word: &str| (!word.is_empty()).then(|| word.to_lowercase());
    text.split(|letter: char| !letter.is_alphanumeric()).filter_map(word).collect()
}

fn matching(body: &JsonValue) -> Result<Query, ApiError> {
    let (field, how) = body.single_field("match")?;
    let (text, every) = match how {
        JsonValue::Object(_) => {
            reject_unknown_fields(how, "match", &["query", "operator"])?;
            let text = how.get("query").ok_or_else(|| ApiError::parsing("[match] requires [query]"))?;
            let every = match how.get("operator").map(|word| word.text("operator")).transpose()? {
                None | Some("or" | "OR") => false,
                Some("and" | "AND") => true,
                Some(other) => return Err(ApiError::illegal_argument(format!("no operator [{other}]"))),
            };
            (text.text("match")?, every)
        }
        how => (how.text("match")?, false),
    };
    Ok(Query::Match { field: field.into(), terms: tokenize(text), require_all: every })
}

fn range(body: &JsonValue) -> Result<Query, ApiError> {
    let (field, edges) = body.single_field("range")?;
    reject_unknown_fields(edges, "range", &["gt", "gte", "lt", "lte"])?;
    let edge = |open: &str, closed: &str| match (edges.get(open), edges.get(closed)) {
        (Some(_), Some(_)) => Err(ApiError::parsing(format!("[range] has both [{open}] and [{closed}]"))),
        (Some(value), None) => Ok(Some(Bound { value: plain(value, "range")?, inclusive: false })),
        (None, Some(value)) => Ok(Some(Bound { value: plain(value, "range")?, inclusive: true })),
        (None, None) => Ok(None),
    };
    Ok(Query::Range { field: field.into(), lower: edge("gt", "gte")?, upper: edge("lt", "lte")? })
}

fn clauses(body: &JsonValue, left: &mut usize) -> Result<BoolQuery, ApiError> {
    reject_unknown_fields(body, "bool", &["must", "filter", "should", "must_not", "minimum_should_match"])?;
    let mut read = |name: &str| match body.get(name) {
        None => Ok(Vec::new()),
        Some(node) => node.one_or_more().iter().map(|node| Query::within(node, left)).collect(),
    };
    let (must, filter) = (read("must")?, read("filter")?);
    let (should, must_not) = (read("should")?, read("must_not")?);
    // As the API has it: where nothing else has to hold, one of these does.
    let usual = usize::from(!should.is_empty() && must.is_empty() && filter.is_empty());
    let minimum_should_match =
        body.get("minimum_should_match").map_or(Ok(usual), |node| node.count("minimum_should_match"))?;
    Ok(BoolQuery { must, filter, should, must_not, minimum_should_match })
}

#[cfg(test)]
mod tests {
    use super::{BoolQuery, Bound, Query};
    use crate::JsonValue;
    use test_case::test_case;

    fn read(text: &str) -> Result<Query, crate::ApiError> {
        Query::parse(&JsonValue::parse(text.as_bytes()).unwrap())
    }

    #[test]
    fn a_query_is_read_whole() {
        let text = r#"{"bool":{"must":{"match":{"cue":"Hola, Mundo"}},"filter":[{"range":{"at":{"gte":3,"lt":9.5}}},
          {"term":{"lang":{"value":"es"}}}],"must_not":[{"ids":{"values":["a"]}}],"should":[{"match_all":{}}]}}"#;
        let words = vec!["hola".into(), "mundo".into()];
        let above = Some(Bound { value: JsonValue::Integer(3), inclusive: true });
        let below = Some(Bound { value: JsonValue::Float(9.5), inclusive: false });
        let clauses = BoolQuery {
            must: vec![Query::Match { field: "cue".into(), terms: words, require_all: false }],
            filter: vec![
                Query::Range { field: "at".into(), lower: above, upper: below },
                Query::Terms { field: "lang".into(), values: vec![JsonValue::String("es".into())] },
            ],
            should: vec![Query::MatchAll],
            must_not: vec![Query::Ids(vec!["a".into()])],
            minimum_should_match: 0,
        };
        assert_eq!(read(text), Ok(Query::Bool(Box::new(clauses))));
    }

    #[test_case(r#"{"fuzzy":{"a":"b"}}"#, "unknown query [fuzzy]"; "a query of another kind")]
    #[test_case(r#"{"match":{"a":{"query":"b","fuzziness":2}}}"#, "[match] unknown field [fuzziness]"; "an option")]
    #[test_case(r#"{"match":{"a":"b","c":"d"}}"#, "[match] expects one field, but has 2"; "two fields")]
    #[test_case(r#"{"match_all":{"boost":2}}"#, "[match_all] unknown field [boost]"; "a boost")]
    #[test_case(r#"{"range":{"a":{"gt":1,"gte":1}}}"#, "[range] has both [gt] and [gte]"; "an edge twice")]
    #[test_case(r#"{"term":{"a":[1]}}"#, "[term] expects a plain value, but is a list"; "a list for a value")]
    #[test_case(r#"{"bool":{"must":[{"x":{}}]}}"#, "unknown query [x]"; "deep down")]
    #[test_case(r#"{"bool":{"minimum_should_match":"75%"}}"#, "[minimum_should_match] expects a whole number, but is a text"; "a share")]
    fn what_is_not_spoken_is_refused_by_name(text: &str, says: &str) {
        assert_eq!(read(text).unwrap_err().reason, says);
    }

    #[test]
    fn a_query_has_a_bound() {
        let clause = r#"{"match_all":{}}"#;
        let many = |count: usize| format!(r#"{{"bool":{{"should":[{}]}}}}"#, vec![clause; count].join(","));
        assert!(read(&many(255)).is_ok());
        assert!(read(&many(256)).unwrap_err().reason.contains("256 are the most"));
    }
}
