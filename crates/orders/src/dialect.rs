//! The section `dialect`: indices of the query API (OpenSearch style), mapped to the platform's traffic types
//! and customers.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The query API. It is off unless an index is configured.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Dialect {
    pub indices: BTreeMap<String, Index>,
    /// An additional listen address. Both listeners accept requests of the platform's API and of the
    /// query API.
    pub listen: Option<SocketAddr>,
    /// Names of the searchers that speak the query API themselves over HTTP/1.1. A trailing `*` matches any
    /// rest.
    pub nodes: Vec<String>,
}

impl Dialect {
    /// Whether a searcher speaks the query API itself.
    pub fn is_node(&self, searcher: &str) -> bool {
        self.nodes.iter().any(|name| match name.strip_suffix('*') {
            Some(prefix) => searcher.starts_with(prefix),
            None => searcher == name,
        })
    }
}

/// One index of the query API.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// The traffic type of searches and counts.
    pub searches: String,
    /// The traffic type of edits; without one, edits are refused.
    #[serde(default)]
    pub edits: Option<String>,
    /// The customer that requests to this index are attributed to.
    pub customer: String,
    /// Whether partial answers are allowed when a request does not say.
    #[serde(default)]
    pub partial: bool,
}
