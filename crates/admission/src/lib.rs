//! Admission control for client connections: which are admitted, which slots are reserved, and which
//! connections are evicted when slots run out. Pure: no sockets and no clock; time is passed as an argument,
//! and effects are returned as [`AdmissionAction`]s.
//!
//! Called by the mixer's `routing` module, which reports every connection that is accepted, changes its
//! [`Activity`] or closes to the [`AdmissionController`] and carries out the returned actions. The controller
//! decides about connections only; which *scans* are rejected is up to the decision module of the `fernglade`
//! crate (`src/choice.rs`).
//!
//! - [`ClientKey`], [`KnownNetworks`]: how clients are distinguished, and which of them are known
//! - [`DescriptorBudget`]: how the file descriptors are divided up
//! - [`AdmissionPolicy`]: the operator's settings
//! - [`AdmissionController`]: the slots, the queue, and whether connections are accepted
//! - [`ResourceShortage`]: whether a failed system call justifies evicting a connection
//! - [`MemoryBudget`]: how much memory a request or an answer may take, and who gives way
//! - [`WorkLimiter`]: how long a peer's next input waits, from the work that it has caused
//! - [`AcceptBatches`]: how many pending connections are accepted in a row
//! - [`WaitRecord`]: how often each limit made a peer wait
//!
//! How each table is emptied: a connection's entry is removed when it closes, the counts of a client or
//! prefix with its last connection, and a rate limiter's bucket once it is full again (or earlier, to make
//! room for others: `rate_limits.rs`).

mod accept_batches;
mod client_key;
mod connections;
mod controller;
mod debt;
mod descriptors;
mod memory_budget;
mod peer_work;
mod policy;
mod rate_limits;
mod shortage;
mod wait_record;
mod work;
mod work_limiter;

pub use accept_batches::{AcceptBatches, NextAccept};
pub use client_key::{ClientKey, KnownNetworks, Prefix};
pub use connections::Activity;
pub use controller::{AdmissionAction, AdmissionController, RejectReason};
pub use descriptors::DescriptorBudget;
pub use memory_budget::{choose_reclaimed, Holding, HoldingKind, MemoryBudget, MIN_LIMIT_BYTES};
pub use peer_work::{PeerKind, PeerWork};
pub use policy::AdmissionPolicy;
pub use shortage::{FailureResponse, ResourceShortage};
pub use wait_record::{Limit, WaitRecord, Waits};
pub use work::Work;
pub use work_limiter::{Delay, ServedRequest, WorkLimiter};

/// Identifies a connection from when it is accepted until its descriptor is free again. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientConnectionId(pub u64);
