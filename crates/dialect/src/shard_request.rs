//! A part as it is asked of a node that speaks the dialect: one shard, and only the time that is left.

use crate::aggregation::Aggregation;
use crate::query::{BoolQuery, Bound, Query};
use crate::search::{Search, SortKey, SourceFilter, TrackTotalHits};
use fernglade::Span;
use serde_json::{json, Map, Value};

/// Target and body of one shard's part. The node gives the best from the first on: which page is wanted is only
/// known once all shards are in.
pub fn shard_request(index: &str, search: &Search, shard: u32, left: Span) -> (String, Vec<u8>) {
    let millis = (left.micros() / 1000).max(1);
    let target = format!(
        "/{index}/_search?preference=_shards:{shard}&allow_partial_search_results=false&timeout={millis}ms"
    );
    let asked = Search { from: 0, size: search.window(), timeout: None, ..search.clone() };
    (target, search_body(&asked).to_string().into_bytes())
}

/// A search as a body that reads back as it.
pub fn search_body(search: &Search) -> Value {
    let by = match &search.sort.key {
        SortKey::Score => "_score",
        SortKey::Field(field) => field,
    };
    let order = if search.sort.ascending { "asc" } else { "desc" };
    let mut body = json!({
        "query": query(&search.query),
        "from": search.from,
        "size": search.size,
        "sort": [named(by, json!({"order": order}))],
        "_source": match &search.source {
            SourceFilter::All => json!(true),
            SourceFilter::Excluded => json!(false),
            SourceFilter::Filtered { includes, excludes } => json!({"includes": includes, "excludes": excludes}),
        },
        "track_total_hits": match search.track_total_hits {
            TrackTotalHits::Exact => json!(true),
            TrackTotalHits::Disabled => json!(false),
            TrackTotalHits::UpTo(most) => json!(most),
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
        Query::MatchAll => json!({"match_all": {}}),
        Query::Match { field, terms, require_all } => {
            let operator = if *require_all { "and" } else { "or" };
            json!({"match": named(field, json!({"query": terms.join(" "), "operator": operator}))})
        }
        Query::Terms { field, values } => {
            let values: Vec<Value> = values.iter().map(crate::JsonValue::to_json).collect();
            json!({"terms": named(field, json!(values))})
        }
        Query::Range { field, lower, upper } => {
            let mut edges = Map::new();
            let mut edge = |edge: &Option<Bound>, open: &str, closed: &str| {
                if let Some(edge) = edge {
                    edges.insert(if edge.inclusive { closed } else { open }.into(), edge.value.to_json());
                }
            };
            edge(lower, "gt", "gte");
            edge(upper, "lt", "lte");
            json!({"range": named(field, Value::Object(edges))})
        }
        Query::Ids(ids) => json!({"ids": {"values": ids}}),
        Query::Bool(clauses) => json!({"bool": bool_clauses(clauses)}),
    }
}

fn bool_clauses(of: &BoolQuery) -> Value {
    let each = |queries: &[Query]| queries.iter().map(query).collect::<Vec<_>>();
    json!({
        "must": each(&of.must),
        "filter": each(&of.filter),
        "should": each(&of.should),
        "must_not": each(&of.must_not),
        "minimum_should_match": of.minimum_should_match,
    })
}

fn aggregation(of: &Aggregation) -> Value {
    match of {
        Aggregation::ValueCount(field) => json!({"value_count": {"field": field}}),
        Aggregation::Min(field) => json!({"min": {"field": field}}),
        Aggregation::Max(field) => json!({"max": {"field": field}}),
        Aggregation::Sum(field) => json!({"sum": {"field": field}}),
        // An average of averages would be wrong: nodes are asked for what it is made of.
        Aggregation::Avg(field) => json!({"avg": {"field": field}}),
        Aggregation::Terms { field, size, shard_size } => {
            json!({"terms": {"field": field, "size": size, "shard_size": shard_size}})
        }
    }
}
