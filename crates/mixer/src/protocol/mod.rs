//! Wire formats for clients, searchers and discovery: incremental parsers, and encoders.
//! Performs no I/O and reads no clock. Words of the wire formats are used in this module only.

pub mod discovery;
pub mod frame_reader;
pub mod frames;
pub mod http;
pub mod json;
pub mod metrics;
pub mod nodes;
pub mod pending_requests;
pub mod response_reader;
pub mod scans;

/// Maximum size of a body, of a frame's value and of an answer (PROTOCOL.md).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
