//! The section `dialect`: indices of the OpenSearch-style API, each as the platform's own words.

use serde::Deserialize;
use std::collections::BTreeMap;

/// Nothing is spoken where no index is named.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Dialect {
    pub indices: BTreeMap<String, Index>,
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
