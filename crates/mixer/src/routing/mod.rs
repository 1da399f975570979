//! Scan routing as a state machine: [`reduce`] takes one event and returns the effects to carry out. It wraps
//! the decision module of the `fernglade` crate and implements its `Host` trait. It owns no sockets, and the
//! time passed in with each event is its only clock.

mod clients;
mod close_reason;
mod connection_attempts;
mod event;
mod executed_ids;
mod host;
mod pool;
mod query;
mod scan_counters;
mod searcher_registry;
mod state;
mod timers;

#[cfg(test)]
mod any_order;
#[cfg(test)]
mod api_equivalence;
#[cfg(test)]
mod tests;

pub use close_reason::CloseReason;
pub use event::{
    CallId, ClientId, Effect, Event, LinkId, MemoryRefusals, Metrics, QueryWork, Reply, SearcherProtocol,
};
pub use scan_counters::TrafficTypeCounts;
pub use state::{reduce, State};
