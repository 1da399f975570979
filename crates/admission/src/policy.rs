//! The operator's settings for admission control. Everything is off by default: then clients differ only by
//! how many connections they hold.

use crate::KnownNetworks;
use fernglade::Span;

/// Limits, rates and reserved shares for client connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionPolicy {
    /// The most connections that one client, and one prefix, may hold; `None` for no limit.
    pub per_client: Option<usize>,
    pub per_prefix: Option<usize>,
    /// The most new connections a second, of one client and of all together; `None` for no limit. One
    /// second's worth may come at once.
    pub client_rate: Option<f64>,
    pub total_rate: Option<f64>,
    /// The share of the slots that is reserved for known clients.
    pub reserved_share: f64,
    /// The networks whose clients are known.
    pub known_networks: KnownNetworks,
    /// The share of the slots that only connections with an open scan may hold.
    pub open_scan_share: f64,
    /// The retry time sent to rejected clients; `None` to send none.
    pub retry_after: Option<Span>,
}

impl AdmissionPolicy {
    /// How many of the slots are reserved for known clients: rounded up, but never all of them.
    pub fn reserved_slots(&self, slots: usize) -> usize {
        ((self.reserved_share * slots as f64).ceil() as usize).min(slots.saturating_sub(1))
    }

    /// How many of the slots connections without an open scan may hold: at least one, or no client could send
    /// a request.
    pub fn idle_slots(&self, slots: usize) -> usize {
        (((1.0 - self.open_scan_share) * slots as f64).floor() as usize).clamp(1, slots.max(1))
    }
}
