//! Who is let in, whose places are kept, and who goes when room is short. Pure: no sockets, no clock; time comes
//! in as an argument, effects go out as [`Act`]s.
//!
//! Called by `routing`, which tells the [`House`] of every connection that arrives, changes its [`Standing`] or
//! is gone, and carries out what it asks for. The house decides about connections only; which *scan* is turned
//! away is the module's to say (`src/choice.rs`).
//!
//! - [`Caller`], [`Known`]: by what callers are told apart, and who of them is known
//! - [`Descriptors`]: what the descriptors are for; one sum, which fits what there is
//! - [`HouseRules`]: what the operator sets
//! - [`House`]: the places, the porch, the door
//! - [`Shortage`]: whether a failed system call is worth a place
//!
//! What empties each table: a guest's line goes when it is gone, a caller's or prefix's tally with its last
//! guest, a pace with time (and it gives way to others where there are many: `paces.rs`).

mod caller;
mod descriptors;
mod guests;
mod house;
mod paces;
mod rules;
mod shortage;

pub use caller::{Caller, Known, Prefix};
pub use descriptors::Descriptors;
pub use guests::Standing;
pub use house::{Act, House, Refusal};
pub use rules::HouseRules;
pub use shortage::{AfterFailure, Shortage};

/// A connection, from when it was accepted until its descriptor is free again. Never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Guest(pub u64);
