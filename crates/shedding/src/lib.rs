//! Policies that a fleet of mixers follows together, so that what is harmless for one mixer does not add up
//! to harm: which scans are rejected under overload, how many lost parts are relayed again, and how often a
//! searcher that is down is probed. Pure: no sockets and no clock; time and seeds are passed as arguments.
//! Mixers do not communicate. What one sheds the others shed too, because they order scans alike and see the
//! same searchers; of relays and probes each takes its share.
//!
//! Called by the decision module (`src/choice.rs`) through the trait [`fernglade::FleetPolicy`], before the
//! parts of a scan are placed and after each part ends. The operator's file enables it; without that nothing
//! is shed here.
//!
//! - [`PriorityOrder`]: a scan's position between 0 and 1; low positions are admitted first
//! - [`ShedController`]: how much is shed, from the latency of parts; damped for a fleet (docs/overload.md
//!   has the argument)
//! - [`LoadShedder`]: one controller for all cells and one for each cell
//! - [`FleetRetryBudget`]: limits relays of lost parts to a share, summed over the fleet
//! - [`ProbeSchedule`]: how often all mixers together probe a searcher that is down
//! - [`FleetLimits`]: those of the three that the operator enabled
//!
//! How each table is bounded: the bands of the order are a fixed number and decay; there is one controller
//! and one budget for each cell of the deployment.

mod fleet;
mod load_shedder;
mod priority_order;
mod probe_schedule;
mod retry_budget;
mod shed_controller;

/// Maps a hash to a number from 0 to just under 1.
fn unit_fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

pub use fleet::FleetLimits;
pub use load_shedder::{overload_signal, LoadShedder};
pub use priority_order::PriorityOrder;
pub use probe_schedule::{ProbeSchedule, PROBES_PER_SECOND};
pub use retry_budget::{FleetRetryBudget, RETRY_SHARE};
pub use shed_controller::{ControlParameters, OverloadSignal, ShedController, MAX_SHED};
