//! What a fleet of mixers does as one, so that what is harmless in one does not add up to harm: which scans are turned
//! away when there is more to do than can be done, what of lost parts is relayed, how often who is down is asked.
//! Pure: no sockets, no clock; time and seeds come in as arguments. Mixers do not talk: what one sheds the others shed
//! too because they put scans in the same order and hear the same searchers; what each may relay and ask is its part.
//!
//! Called by the decision module (`src/choice.rs`) by the trait [`fernglade::FleetPolicy`]: it asks before a scan's parts
//! are placed, and tells of each part that lands. Switched on by the operator's file; without it nothing is shed here.
//!
//! - [`Order`]: where a scan stands between nothing and one; who stands low is let in first
//! - [`Level`]: how much is shed, from how long parts take; damped for a fleet (docs/overload.md has the argument)
//! - [`Shedder`]: one level of all cells and one a cell, asked and told by the module
//! - [`Purse`]: relays of lost parts, held to a share in sum over the fleet
//! - [`Asks`]: how often a searcher that is down is asked by all together
//! - [`AsOne`]: those of the three that the operator wants
//!
//! What empties each table: the order's bands are a fixed number and fade; levels and purses are one a cell of
//! the deployment.

mod asks;
mod fleet;
mod level;
mod order;
mod purse;
mod shedder;

/// A hash as a number from nothing to just under one.
fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

pub use asks::{Asks, A_SECOND};
pub use fleet::AsOne;
pub use level::{Level, Loop, Strain, MOST};
pub use order::Order;
pub use purse::{Purse, SHARE};
pub use shedder::{strain, Shedder};
