//! The decision module of a fernglade mixer: the types it shares with its callers and the traits they
//! implement.
//!
//! The module does no I/O and reads no clock. A [`Host`] performs its effects and supplies the time; the
//! decisions are in [`choice`].

pub mod choice;
pub mod decaying_count;
pub mod load_shedding;
pub mod mix;
mod query;
mod replica_set;
pub mod replicas;
pub mod retry_budget;
mod rng;
pub mod slow_start;

use std::ops::{Add, Mul};

/// A point in time, in microseconds of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

/// A non-negative duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }
    /// Returns the time in microseconds of the host's clock.
    pub const fn micros(self) -> u64 {
        self.0
    }
    /// Returns the time `span` earlier, or the clock's zero if that is later.
    pub const fn saturating_sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
    /// Returns the time elapsed from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }
    /// Returns the whole duration in microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }
    /// Returns the duration in microseconds as a floating-point number.
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }
    /// Returns the difference, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, times: f64) -> Span {
        Span((self.0 as f64 * times).max(0.0) as u64)
    }
}

/// Identifies an open scan: a slot of the host's table and the slot's generation, which changes each time the
/// slot is reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScanId {
    pub slot: u32,
    pub generation: u32,
}

/// Identifies a searcher by a number that the host assigns. Numbers are never reused, so a late result for a
/// searcher that has been removed matches nothing, even if a searcher of the same name has been added again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Searcher(pub u32);

/// Identifies a pending relay or timer. The host passes it back with the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u32);

/// How a relay ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The searcher returned the part's result.
    Succeeded,
    /// The searcher answered with an error; the part may have run.
    Failed,
    /// The searcher rejected the part before running it.
    Rejected,
    /// No connection could be established; the part did not run.
    Unreachable,
    /// No answer arrived in the time allowed; the part may still run.
    TimedOut,
    /// The connection was lost while the relay was in flight; the part may have run.
    ConnectionLost,
    /// The mixer cancelled the relay; the part may have run.
    Cancelled,
    /// The relay never left the mixer.
    NotSent,
}

/// A searcher as listed by service discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListedSearcher {
    pub searcher: Searcher,
    /// The group of searchers that it belongs to; all searchers of a cell hold the same shards.
    pub cell: u32,
    /// Whether it may be sent new parts: it is neither draining nor removed.
    pub ready: bool,
    /// When its process started, if discovery reports that.
    pub started: Option<Moment>,
    /// Whether it is in another zone than the mixer, in a deployment where cross-zone traffic has a cost.
    pub cross_zone: bool,
}

/// Specifies one part of a scan: its shard and its weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct PartSpec {
    pub shard: u32,
    /// The share of the whole answer that the part contributes.
    pub weight: f64,
}

/// Specifies a scan that a client requested: its traffic type, its limits and its parts.
#[derive(Clone, Debug)]
pub struct ScanSpec {
    /// Index of its traffic type in the deployment's settings.
    pub traffic_type: usize,
    /// Index of the customer in the deployment's settings.
    pub customer: usize,
    /// Time until the client gives up on this attempt.
    pub time_left: Span,
    /// The client's rough estimate of the work of all parts together.
    pub work_hint: Option<Span>,
    /// Whether the client states that this is a retry.
    pub is_retry: bool,
    /// Whether each part must reach one searcher at most, whatever its traffic type allows.
    pub single_delivery: bool,
    pub parts: Vec<PartSpec>,
}

/// Whether a part may be sent more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Idempotency {
    /// It may be sent any number of times.
    Idempotent,
    /// Searchers deduplicate it by its idempotency key for this long after the first relay that may have run.
    ByKey(Span),
    /// It must not be sent again once a relay may have run.
    #[default]
    NonIdempotent,
    /// It must reach one searcher at most: it is not sent again once a relay may have run or was rejected.
    SingleDelivery,
}

/// A class of scans, as configured by the deployment.
#[derive(Clone, Debug)]
pub struct TrafficType {
    /// The time in which an answer is promised.
    pub target_latency: Span,
    /// The target latency grows by this many times the scan's estimated work.
    pub target_per_work: f64,
    /// How long clients wait in all, counted from their first attempt.
    pub client_timeout: Span,
    /// The value of an answer within the target latency.
    pub credit: f64,
    /// The factor on the value of a later answer.
    pub late_credit: f64,
    pub idempotency: Idempotency,
    /// The smallest share of the parts' weight that an answer may be made from.
    pub min_coverage: f64,
    /// The share of the parts' weight from which an answer counts as complete.
    pub complete_from: f64,
    /// Whether scans have a second step, which fetches further parts after the first answer.
    pub has_fetch_step: bool,
}

/// A scan that requests admission, as the fleet's load shedding sees it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The scan's value for its work relative to the best seen so far, at most 1.
    pub priority: f64,
    pub is_retry: bool,
    pub parts: &'a [PartSpec],
    /// Number of cells in the deployment.
    pub cells: u32,
}

/// The result of one relay, as reported to the fleet's load shedding.
#[derive(Clone, Copy, Debug)]
pub struct PartResult {
    pub cell: u32,
    pub outcome: RelayOutcome,
    pub elapsed: Span,
    /// The target latency of its traffic type.
    pub target_latency: Span,
    /// The lowest smoothed latency of parts in the recent past.
    pub min_latency: Span,
}

/// Decisions that a mixer takes as one of a fleet, without communication among mixers. A mixer has no such
/// policy unless its operator enables one. Parts of the policy that the operator leaves out return `None`, or
/// allow.
pub trait FleetPolicy {
    /// Decides on admission, or returns `None` to leave the decision to the mixer. For an admitted scan,
    /// returns its position among the admitted ones, from 0 to 1, which is the same at every mixer and cell.
    /// For a rejected scan, returns the pause before a retry, as a fraction of the longest one.
    fn admit(&mut self, now: Moment, request: &AdmissionRequest) -> Option<Result<f64, f64>>;
    /// Records the result of a relay.
    fn note_result(&mut self, now: Moment, result: &PartResult);
    /// Whether a failed part of a cell may go to another replica, given the retries of the whole fleet in
    /// that cell.
    fn may_retry(&self, now: Moment, cell: u32) -> bool;
    /// Records that such a retry was sent.
    fn note_retry(&mut self, now: Moment, cell: u32);
    /// Returns the delay before a searcher that is down is probed (`first` after its loss, or a later time),
    /// or `None` for the mixer's own interval.
    fn probe_delay(&mut self, first: bool) -> Option<Span>;
}

/// Performs the effects of the module's decisions. Every call takes effect at once, at [`Host::now`].
pub trait Host {
    fn now(&self) -> Moment;
    /// Sends a part to a searcher and waits for its result for `timeout` at most; the host reports the
    /// outcome by `Mixer::relay_finished`.
    fn relay(&mut self, ticket: Ticket, scan: ScanId, part: usize, to: Searcher, timeout: Span);
    /// Sets the time by which sending a relay must have begun. A relay that has not begun by then is never
    /// sent; its outcome is reported as usual. Hosts that send at once need not implement this.
    fn set_send_deadline(&mut self, _relay: Ticket, _by: Moment) {}
    /// Stops waiting for a relay, if the host can; its outcome is still reported.
    fn cancel(&mut self, relay: Ticket);
    /// Answers a scan from the parts that succeeded. `last` is false if a fetch step follows.
    fn answer(&mut self, scan: ScanId, complete: bool, last: bool);
    /// Rejects a scan as safe to retry after a pause.
    fn reject(&mut self, scan: ScanId, pause: Span);
    /// Fails a scan, without stating that a retry is safe.
    fn fail(&mut self, scan: ScanId);
    /// Sets a timer; the host calls `Mixer::timer_fired` at that time or soon after it.
    fn set_timer(&mut self, ticket: Ticket, at: Moment);
    /// Sends a health probe to a searcher; the host reports the result by `Mixer::probe_finished`.
    fn probe(&mut self, searcher: Searcher);
    /// Retires the connections to a searcher: idle ones are closed, and busy ones get no new relay unless
    /// data arrives on them.
    fn retire_connections(&mut self, searcher: Searcher);
    /// Subscribes to changes of the list of searchers.
    fn watch_discovery(&mut self);
}
