//! A part as it is asked of a node that speaks the dialect: one shard, and only the time that is left.

use crate::aggregation::Aggregation;
use crate::query::{Clauses, Edge, Query};
use crate::search::{By, Search, Source, Totals};
use fernglade::Span;
use serde_json::{json, Map, Value};

/// Target and body of one shard's part. The node gives the best from the first on: which page is wanted is only
/// known once all shards are in.
pub fn errand(index: &str, search: &Search, shard: u32, left: Span) -> (String, Vec<u8>) {
    let millis = (left.micros() / 1000).max(1);
    let target = format!(
        "/{index}/_search?preference=_shards:{shard}&allow_partial_search_results=false&timeout={millis}ms"
    );
    let asked = Search { from: 0, size: search.window(), timeout: None, ..search.clone() };
    (target, write(&asked).to_string().into_bytes())
}

/// A search as a body that reads back as it.
pub fn write(search: &Search) -> Value {
    let by = match &search.order.by {
        By::Score => "_score",
        By::Field(field) => field,
    };
    let order = if search.order.rising { "asc" } else { "desc" };
    let mut body = json!({
        "query": query(&search.query),
        "from": search.from,
        "size": search.size,
        "sort": [named(by, json!({"order": order}))],
        "_source": match &search.source {
            Source::All => json!(true),
            Source::Nothing => json!(false),
            Source::Only { includes, excludes } => json!({"includes": includes, "excludes": excludes}),
        },
        "track_total_hits": match search.totals {
            Totals::All => json!(true),
            Totals::Nothing => json!(false),
            Totals::UpTo(most) => json!(most),
        },
    });
    if let Some(timeout) = search.timeout {
        body["timeout"] = format!("{}us", timeout.micros()).into();
    }
    if !search.aggregations.is_empty() {
        let each = search.aggregations.iter().map(|(name, of)| (name.clone(), aggregation(of)));
        body["aggs"] = Value::Object(each.collect());
    }
    body
}

fn named(name: &str, value: Value) -> Value {
    Value::Object(Map::from_iter([(name.to_string(), value)]))
}

fn query(of: &Query) -> Value {
    match of {
        Query::All => json!({"match_all": {}}),
        Query::Match { field, words, every } => {
            let operator = if *every { "and" } else { "or" };
            json!({"match": named(field, json!({"query": words.join(" "), "operator": operator}))})
        }
        Query::Terms { field, values } => {
            let values: Vec<Value> = values.iter().map(crate::Node::write).collect();
            json!({"terms": named(field, json!(values))})
        }
        Query::Range { field, above, below } => {
            let mut edges = Map::new();
            let mut edge = |edge: &Option<Edge>, open: &str, closed: &str| {
                if let Some(edge) = edge {
                    edges.insert(if edge.inclusive { closed } else { open }.into(), edge.value.write());
                }
            };
            edge(above, "gt", "gte");
            edge(below, "lt", "lte");
            json!({"range": named(field, Value::Object(edges))})
        }
        Query::Ids(ids) => json!({"ids": {"values": ids}}),
        Query::Bool(clauses) => json!({"bool": bool_clauses(clauses)}),
    }
}

fn bool_clauses(of: &Clauses) -> Value {
    let each = |queries: &[Query]| queries.iter().map(query).collect::<Vec<_>>();
    json!({
        "must": each(&of.must),
        "filter": each(&of.filter),
        "should": each(&of.should),
        "must_not": each(&of.must_not),
        "minimum_should_match": of.least,
    })
}

fn aggregation(of: &Aggregation) -> Value {
    match of {
        Aggregation::Count(field) => json!({"value_count": {"field": field}}),
        Aggregation::Least(field) => json!({"min": {"field": field}}),
        Aggregation::Most(field) => json!({"max": {"field": field}}),
        Aggregation::Sum(field) => json!({"sum": {"field": field}}),
        // An average of averages would be wrong: nodes are asked for what it is made of.
        Aggregation::Average(field) => json!({"avg": {"field": field}}),
        Aggregation::Terms { field, size, shard_size } => {
            json!({"terms": {"field": field, "size": size, "shard_size": shard_size}})
        }
    }
}
