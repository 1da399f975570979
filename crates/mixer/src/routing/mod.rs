//! Where a scan goes, as one state machine: [`reduce`] takes an event and leaves effects. It holds the module
//! and is its `Host`; it has no sockets, and no clock but the events' time.

mod clients;
mod close_reason;
mod connection_attempts;
mod event;
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
mod doors;
#[cfg(test)]
mod tests;

pub use close_reason::CloseReason;
pub use event::{CallId, ClientId, Effect, Event, LinkId, Metrics, Reply, SearcherProtocol};
pub use scan_counters::TrafficTypeCounts;
pub use state::{reduce, State};
