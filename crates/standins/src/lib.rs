//! Scripted peers of a mixer on loopback: searchers, discovery agents, clients, connection floods, and the
//! built mixer as a child process. They follow the platform's published protocols. For tests and measurements
//! only; except for [`fleet`] they use threads and blocking sockets.
//!
//! - [`searcher`]: speaks the searchers' frame protocol, with a chosen handler
//! - [`node`]: a node of the query API over HTTP/1.1
//! - [`discovery`]: serves the list of searchers, once or on demand
//! - [`child`]: writes configuration files, and starts, observes and stops a mixer process
//! - [`client`]: one client connection, from any loopback address
//! - [`documents`]: generated documents in a shard with a small index, for searchers that answer the query
//!   API
//! - [`fleet`]: several mixers, searchers and clients as processes and tasks, with faults on the links
//!   between them
//! - [`flood`]: thousands of misbehaving connections, bounded in count and time
//! - [`crowd`]: hundreds of clients that make a mixer hold memory
//! - [`noise`]: one client that sends small or unsound input at full speed
//! - [`noisy_peers`]: a discovery and a searcher that keep a mixer busy
//! - [`reconnecting`]: clients that ask on a new connection each time, as fast as they are answered
//! - [`usual_client`]: a client that asks one scan after another, and how it was answered

pub mod child;
pub mod client;
pub mod crowd;
pub mod discovery;
pub mod documents;
pub mod fleet;
pub mod flood;
pub mod node;
pub mod noise;
pub mod noisy_peers;
pub mod reconnecting;
pub mod searcher;
pub mod usual_client;

use std::time::Duration;

/// Ends a wait in a test that would otherwise hang; no result depends on its length.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);
