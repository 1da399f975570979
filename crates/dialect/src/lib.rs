//! The OpenSearch-style query API: requests read and checked, shards' answers merged, answers written. Pure: bytes and
//! trees in, values or a [`Fault`] out. No socket, no clock, no index or class by name.
//!
//! - [`node`]: JSON as a tree that keeps what a careless reader would lose (a name that stands twice)
//! - [`fault`]: what is wrong, in the dialect's words
//! - [`endpoint`]: method and target to what is asked for
//! - [`query`], [`search`], [`aggregation`]: the query language, as far as it is spoken; the rest is refused by name
//! - [`merge`]: the best of many shards, totals that add up, buckets with the errors they owe
//! - [`request`]: a whole request
//! - [`errand`], [`reply`]: one shard's part as a node is asked, and what its answer is worth
//! - [`answer`]: what a client is told

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
