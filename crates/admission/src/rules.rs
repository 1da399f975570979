//! What the operator sets. All of it off by default: then callers differ only by how many places they hold.

use crate::Known;
use fernglade::Span;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct HouseRules {
    /// Connections that one caller may hold, and one prefix; none where that is not limited.
    pub per_caller: Option<usize>,
    pub per_prefix: Option<usize>,
    /// New connections a second, of one caller and of all; a second's worth may come at once.
    pub caller_pace: Option<f64>,
    pub whole_pace: Option<f64>,
    /// The share of the places that only known callers may take.
    pub kept: f64,
    pub known: Known,
    /// The share of the places that only those with an open scan may hold.
    pub for_open: f64,
    /// When those who are turned away at the door are told to come back, where that is to be told.
    pub come_back: Option<Span>,
}

impl HouseRules {
    /// How many of the places are kept for known callers: rounded up, but never all of them.
    pub fn kept_of(&self, places: usize) -> usize {
        ((self.kept * places as f64).ceil() as usize).min(places.saturating_sub(1))
    }

    /// How many of the places those without an open scan may hold: one at the least, or nobody could ask.
    pub fn still_of(&self, places: usize) -> usize {
        (((1.0 - self.for_open) * places as f64).floor() as usize).clamp(1, places.max(1))
    }
}
