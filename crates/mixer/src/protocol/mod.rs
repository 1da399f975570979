//! The messages of clients, searchers and discovery: parsers that take bytes in any pieces, and encoders.
//! Pure: no sockets, no clock. The wire's own words stay in here.

pub mod discovery;
pub mod frames;
pub mod http;
pub mod json;
pub mod metrics;
pub mod nodes;
pub mod scans;

/// A body, a frame's value and an answer hold at most so much (PROTOCOL.md).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
