//! What the operator sets. All of it off by default: then callers differ only by how many places they hold.

use crate::KnownNetworks;
use fernglade::Span;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionPolicy {
    /// Connections that one caller may hold, and one prefix; none where that is not limited.
    pub per_client: Option<usize>,
    pub per_prefix: Option<usize>,
    /// New connections a second, of one caller and of all; a second's worth may come at once.
    pub client_rate: Option<f64>,
    pub total_rate: Option<f64>,
    /// The share of the places that only known callers may take.
    pub reserved_share: f64,
    pub known_networks: KnownNetworks,
    /// The share of the places that only those with an open scan may hold.
    pub open_scan_share: f64,
    /// When those who are turned away at the door are told to come back, where that is to be told.
    pub retry_after: Option<Span>,
}

impl AdmissionPolicy {
    /// How many of the places are kept for known callers: rounded up, but never all of them.
    pub fn reserved_slots(&self, places: usize) -> usize {
        ((self.reserved_share * places as f64).ceil() as usize).min(places.saturating_sub(1))
    }

    /// How many of the places those without an open scan may hold: one at the least, or nobody could ask.
    pub fn idle_slots(&self, places: usize) -> usize {
        (((1.0 - self.open_scan_share) * places as f64).floor() as usize).clamp(1, places.max(1))
    }
}
