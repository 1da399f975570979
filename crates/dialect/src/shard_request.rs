//! Builds the request for one shard that a node of the query API receives, with the time left as its timeout.

use crate::aggregation::Aggregation;
use crate::query::{BoolQuery, Bound, Query};
use crate::search::{Search, SortKey, SourceFilter, TrackTotalHits};
use fernglade::Span;
use serde_json::{json, Map, Value};

/// Returns the target and the body of the request for one shard. The node returns its best hits from the
/// first one on: which of them belong to the requested page is known only once all shards have answered.
pub fn shard_request(index: &str, search: &Search, shard: u32, time_left: Span) -> (String, Vec<u8>) {
    let millis = (time_left.micros() / 1000).max(1);
    let target = format!(
        "/{index}/_search?preference=_shards:{shard}&allow_partial_search_results=false&timeout={millis}ms"
    );
    let shard_search = Search { from: 0, size: search.window(), timeout: None, ..search.clone() };
    (target, search_body(&shard_search).to_string().into_bytes())
}

/// The body of a search; parsing it gives the same search again.
pub fn search_body(search: &Search) -> Value {
    let key = match &search.sort.key {
        SortKey::Score => "_score",
        SortKey::Field(field) => field,
    };
    let direction = if search.sort.ascending { "asc" } else { "desc" };
    let mut body = json!({
        "query": query_body(&search.query),
        "from": search.from,
        "size": search.size,
        "sort": [single_field(key, json!({"order": direction}))],
        "_source": match &search.source {
            SourceFilter::All => json!(true),
            SourceFilter::Excluded => json!(false),
            SourceFilter::Filtered { includes, excludes } => json!({"includes": includes, "excludes": excludes}),
        },
        "track_total_hits": match search.track_total_hits {
            TrackTotalHits::Exact => json!(true),
            TrackTotalHits::Disabled => json!(false),
            TrackTotalHits::UpTo(limit) => json!(limit),
        },
    });
    if let Some(timeout) = search.timeout {
        body["timeout"] = format!("{}us", timeout.micros()).into();
    }
    if !search.aggregations.is_empty() {
        let aggregations = search
            .aggregations
            .iter()
            .map(|(name, aggregation)| (name.clone(), aggregation_body(aggregation)));
        body["aggs"] = Value::Object(aggregations.collect());
    }
    body
}

/// An object with a single field.
fn single_field(name: &str, value: Value) -> Value {
    Value::Object(Map::from_iter([(name.to_string(), value)]))
}

/// The JSON form of a query.
fn query_body(query: &Query) -> Value {
    match query {
        Query::MatchAll => json!({"match_all": {}}),
        Query::Match { field, terms, require_all } => {
            let operator = if *require_all { "and" } else { "or" };
            json!({"match": single_field(field, json!({"query": terms, "operator": operator}))})
        }
        Query::Terms { field, values } => {
            let values: Vec<Value> = values.iter().map(crate::JsonValue::to_json).collect();
            json!({"terms": single_field(field, json!(values))})
        }
        Query::Range { field, lower, upper } => {
            let mut bounds = Map::new();
            let mut bound = |bound: &Option<Bound>, exclusive_name: &str, inclusive_name: &str| {
                if let Some(bound) = bound {
                    bounds.insert(
                        if bound.inclusive { inclusive_name } else { exclusive_name }.into(),
                        bound.value.to_json(),
                    );
                }
            };
            bound(lower, "gt", "gte");
            bound(upper, "lt", "lte");
            json!({"range": single_field(field, Value::Object(bounds))})
        }
        Query::Ids(ids) => json!({"ids": {"values": ids}}),
        Query::Bool(query) => json!({"bool": bool_body(query)}),
    }
}

/// The JSON form of the clauses of a `bool` query.
fn bool_body(query: &BoolQuery) -> Value {
    let bodies = |queries: &[Query]| queries.iter().map(query_body).collect::<Vec<_>>();
    json!({
        "must": bodies(&query.must),
        "filter": bodies(&query.filter),
        "should": bodies(&query.should),
        "must_not": bodies(&query.must_not),
        "minimum_should_match": query.minimum_should_match,
    })
}

/// The JSON form of an aggregation.
fn aggregation_body(aggregation: &Aggregation) -> Value {
    match aggregation {
        Aggregation::ValueCount(field) => json!({"value_count": {"field": field}}),
        Aggregation::Min(field) => json!({"min": {"field": field}}),
        Aggregation::Max(field) => json!({"max": {"field": field}}),
        Aggregation::Sum(field) => json!({"sum": {"field": field}}),
        // An average of averages would be wrong, so nodes also return the count that each average was
        // computed from.
        Aggregation::Avg(field) => json!({"avg": {"field": field}}),
        Aggregation::Terms { field, size, shard_size } => {
            json!({"terms": {"field": field, "size": size, "shard_size": shard_size}})
        }
    }
}
