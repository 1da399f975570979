//! The section `dialect`: indices of the OpenSearch-style API, each as the platform's own words.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Nothing is spoken where no index is named.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Dialect {
    pub indices: BTreeMap<String, Index>,
    /// A further address to listen on; both serve both kinds of request.
    pub listen: Option<SocketAddr>,
    /// Searchers that speak the dialect themselves, over HTTP/1.1: their names, a `*` at an end standing for any rest.
    pub nodes: Vec<String>,
}

impl Dialect {
    pub fn is_node(&self, searcher: &str) -> bool {
        self.nodes.iter().any(|name| match name.strip_suffix('*') {
            Some(start) => searcher.starts_with(start),
            None => searcher == name,
        })
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// The traffic type of its searches and counts.
    pub searches: String,
    /// Of its edits; none are taken where none is named.
    #[serde(default)]
    pub edits: Option<String>,
    /// The customer whose scans they are.
    pub customer: String,
    /// Whether a partial answer is given where a request does not say.
    #[serde(default)]
    pub partial: bool,
}
