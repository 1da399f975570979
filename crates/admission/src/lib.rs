//! Who is let in, whose places are kept, and who goes when room is short. Pure: no sockets, no clock; time comes
//! in as an argument, effects go out as [`AdmissionAction`]s.
//!
//! Called by `routing`, which tells the [`AdmissionController`] of every connection that arrives, changes its [`Activity`] or
//! is gone, and carries out what it asks for. The house decides about connections only; which *scan* is turned
//! away is the module's to say (`src/choice.rs`).
//!
//! - [`ClientKey`], [`KnownNetworks`]: by what callers are told apart, and who of them is known
//! - [`Descriptors`]: what the descriptors are for; one sum, which fits what there is
//! - [`AdmissionPolicy`]: what the operator sets
//! - [`AdmissionController`]: the places, the porch, the door
//! - [`ResourceShortage`]: whether a failed system call is worth a place
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

pub use caller::{ClientKey, KnownNetworks, Prefix};
pub use descriptors::DescriptorBudget;
pub use guests::Activity;
pub use house::{AdmissionAction, AdmissionController, RejectReason};
pub use rules::AdmissionPolicy;
pub use shortage::{FailureResponse, ResourceShortage};

/// A connection, from when it was accepted until its descriptor is free again. Never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientConnectionId(pub u64);
