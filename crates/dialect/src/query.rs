//! The query language, as far as it is spoken. What is not spoken is refused by name, never passed over: a clause that
//! is left out of a search changes its answer.

use crate::{Fault, Node};

#[derive(Clone, Debug, PartialEq)]
pub enum Query {
    All,
    /// All of the words where `every`, else any.
    Match {
        field: String,
        words: Vec<String>,
        every: bool,
    },
    /// Any of the values, as they are.
    Terms {
        field: String,
        values: Vec<Node>,
    },
    Range {
        field: String,
        above: Option<Edge>,
        below: Option<Edge>,
    },
    Ids(Vec<String>),
    Bool(Box<Clauses>),
}

/// One end of a range.
#[derive(Clone, Debug, PartialEq)]
pub struct Edge {
    pub value: Node,
    pub inclusive: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Clauses {
    pub must: Vec<Query>,
    pub filter: Vec<Query>,
    pub should: Vec<Query>,
    pub must_not: Vec<Query>,
    /// How many of `should` have to hold.
    pub least: usize,
}

/// Clauses in a query, all told: what a node is asked to do for one scan has a bound.
const MOST_CLAUSES: usize = 256;

impl Query {
    pub fn read(node: &Node) -> Result<Self, Fault> {
        let mut left = MOST_CLAUSES;
        Self::within(node, &mut left)
    }

    fn within(node: &Node, left: &mut usize) -> Result<Self, Fault> {
        *left = left.checked_sub(1).ok_or_else(|| {
            Fault::argument(format!("too many clauses in the query: {MOST_CLAUSES} are the most"))
        })?;
        let (name, body) = node.one_field("query")?;
        match name {
            "match_all" => fields(body, name, &[]).map(|()| Self::All),
            "match" => matching(body),
            "term" => {
                let (field, value) = body.one_field(name)?;
                let value = plain(value.get("value").unwrap_or(value), name)?;
                Ok(Self::Terms { field: field.into(), values: vec![value] })
            }
            "terms" => {
                let (field, values) = body.one_field(name)?;
                let values = values.list(name)?.iter().map(|value| plain(value, name));
                Ok(Self::Terms { field: field.into(), values: values.collect::<Result<_, _>>()? })
            }
            "range" => range(body),
            "ids" => {
                fields(body, name, &["values"])?;
                let values = body.get("values").ok_or_else(|| Fault::parsing("[ids] requires [values]"))?;
                let id = |id: &Node| id.text(name).map(String::from);
                Ok(Self::Ids(values.list(name)?.iter().map(id).collect::<Result<_, _>>()?))
            }
            "bool" => clauses(body, left).map(|clauses| Self::Bool(Box::new(clauses))),
            other => Err(Fault::parsing(format!("unknown query [{other}]"))),
        }
    }
}

/// Refuses any field that is not among these.
pub fn fields(node: &Node, at: &str, known: &[&str]) -> Result<(), Fault> {
    match node.object(at)?.iter().find(|(name, _)| !known.contains(&name.as_str())) {
        Some((name, _)) => Err(Fault::parsing(format!("[{at}] unknown field [{name}]"))),
        None => Ok(()),
    }
}

fn plain(node: &Node, at: &str) -> Result<Node, Fault> {
    match node {
        Node::List(_) | Node::Object(_) | Node::Null => {
            Err(Fault::parsing(format!("[{at}] expects a plain value, but is {}", node.kind())))
        }
        plain => Ok(plain.clone()),
    }
}

/// Words as a stand-in's index has them: runs of letters and digits, in lower case.
pub fn words(text: &str) -> Vec<String> {
    let word = |word: &str| (!word.is_empty()).then(|| word.to_lowercase());
    text.split(|letter: char| !letter.is_alphanumeric()).filter_map(word).collect()
}

fn matching(body: &Node) -> Result<Query, Fault> {
    let (field, how) = body.one_field("match")?;
    let (text, every) = match how {
        Node::Object(_) => {
            fields(how, "match", &["query", "operator"])?;
            let text = how.get("query").ok_or_else(|| Fault::parsing("[match] requires [query]"))?;
            let every = match how.get("operator").map(|word| word.text("operator")).transpose()? {
                None | Some("or" | "OR") => false,
                Some("and" | "AND") => true,
                Some(other) => return Err(Fault::argument(format!("no operator [{other}]"))),
            };
            (text.text("match")?, every)
        }
        how => (how.text("match")?, false),
    };
    Ok(Query::Match { field: field.into(), words: words(text), every })
}

fn range(body: &Node) -> Result<Query, Fault> {
    let (field, edges) = body.one_field("range")?;
    fields(edges, "range", &["gt", "gte", "lt", "lte"])?;
    let edge = |open: &str, closed: &str| match (edges.get(open), edges.get(closed)) {
        (Some(_), Some(_)) => Err(Fault::parsing(format!("[range] has both [{open}] and [{closed}]"))),
        (Some(value), None) => Ok(Some(Edge { value: plain(value, "range")?, inclusive: false })),
        (None, Some(value)) => Ok(Some(Edge { value: plain(value, "range")?, inclusive: true })),
        (None, None) => Ok(None),
    };
    Ok(Query::Range { field: field.into(), above: edge("gt", "gte")?, below: edge("lt", "lte")? })
}

fn clauses(body: &Node, left: &mut usize) -> Result<Clauses, Fault> {
    fields(body, "bool", &["must", "filter", "should", "must_not", "minimum_should_match"])?;
    let mut read = |name: &str| match body.get(name) {
        None => Ok(Vec::new()),
        Some(node) => node.one_or_more().iter().map(|node| Query::within(node, left)).collect(),
    };
    let (must, filter) = (read("must")?, read("filter")?);
    let (should, must_not) = (read("should")?, read("must_not")?);
    // As the API has it: where nothing else has to hold, one of these does.
    let usual = usize::from(!should.is_empty() && must.is_empty() && filter.is_empty());
    let least =
        body.get("minimum_should_match").map_or(Ok(usual), |node| node.count("minimum_should_match"))?;
    Ok(Clauses { must, filter, should, must_not, least })
}

#[cfg(test)]
mod tests {
    use super::{Clauses, Edge, Query};
    use crate::Node;
    use test_case::test_case;

    fn read(text: &str) -> Result<Query, crate::Fault> {
        Query::read(&Node::read(text.as_bytes()).unwrap())
    }

    #[test]
    fn a_query_is_read_whole() {
        let text = r#"{"bool":{"must":{"match":{"cue":"Hola, Mundo"}},"filter":[{"range":{"at":{"gte":3,"lt":9.5}}},
          {"term":{"lang":{"value":"es"}}}],"must_not":[{"ids":{"values":["a"]}}],"should":[{"match_all":{}}]}}"#;
        let words = vec!["hola".into(), "mundo".into()];
        let above = Some(Edge { value: Node::Whole(3), inclusive: true });
        let below = Some(Edge { value: Node::Number(9.5), inclusive: false });
        let clauses = Clauses {
            must: vec![Query::Match { field: "cue".into(), words, every: false }],
            filter: vec![
                Query::Range { field: "at".into(), above, below },
                Query::Terms { field: "lang".into(), values: vec![Node::Text("es".into())] },
            ],
            should: vec![Query::All],
            must_not: vec![Query::Ids(vec!["a".into()])],
            least: 0,
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
