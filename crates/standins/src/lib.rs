//! Scripted peers on loopback, written from the platform's public pages: searchers, discovery, clients and crowds of
//! them, and the built mixer as a child. For tests and measurements only; threads and blocking sockets.
//!
//! - [`searcher`]: frames in, frames out, by a habit
//! - [`node`]: a node of the query dialect over HTTP/1.1
//! - [`discovery`]: the list of searchers, given once or as told
//! - [`child`]: orders, the operator's file, a mixer's life from start to end
//! - [`client`]: one connection, from any loopback address
//! - [`cues`]: a shard with a small index, for those who speak the query dialect
//! - [`fleet`]: several mixers, searchers and clients as processes and tasks, with faults on the links between them
//! - [`crowd`]: thousands of connections that misbehave, bounded in count and time

pub mod child;
pub mod client;
pub mod discovery;
pub mod documents;
pub mod fleet;
pub mod flood;
pub mod node;
pub mod searcher;

use std::time::Duration;

/// Only keeps a failure from hanging: nothing is judged by it.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);
