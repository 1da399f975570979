//! The OpenSearch-style query API: parses and validates requests, merges shard results and builds responses.
//!
//! The crate is pure: it turns bytes and JSON trees into values or an [`ApiError`]. It opens no sockets,
//! reads no clock and knows no index or traffic type by name.
//!
//! - [`json`]: JSON values that reject duplicate keys
//! - [`error`]: API errors with their exception types and HTTP status codes
//! - [`endpoint`]: maps a method and a target to an endpoint
//! - [`query`], [`search`], [`aggregation`]: the supported subset of the query language; anything else is
//!   rejected by name
//! - [`merge`]: merges the hits, totals and aggregations of many shards
//! - [`request`]: a complete client request
//! - [`shard_request`], [`shard_response`]: the request to a node for one shard, and the validation of its
//!   response
//! - [`response`]: the responses to clients

pub mod aggregation;
pub mod endpoint;
pub mod error;
pub mod json;
pub mod merge;
pub mod query;
pub mod request;
pub mod response;
pub mod search;
pub mod shard_request;
pub mod shard_response;

pub use error::{ApiError, ErrorKind};
pub use json::JsonValue;
