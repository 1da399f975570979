//! The interface of the mixer: ids, time, and the trait a front implements. Decisions live in [`choice`].

mod chance;
pub mod choice;
pub mod decaying_count;
pub mod load_shedding;
pub mod mix;
mod query;
mod replica_set;
pub mod replicas;
pub mod retry_budget;
pub mod slow_start;

use std::ops::{Add, Mul};

/// A point in time, in microseconds of whatever clock the front keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

/// A length of time, never below nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }
    pub const fn micros(self) -> u64 {
        self.0
    }
    pub const fn saturating_sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
    /// How long before `self` that `earlier` was; nothing if it was not earlier.
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
    pub const fn micros(self) -> u64 {
        self.0
    }
    /// In microseconds, for sums with fractions.
    pub const fn as_f64(self) -> f64 {
        self.0 as f64
    }
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

/// A scan that is open: a slot of the front's, and how often the slot has been let.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScanId {
    pub slot: u32,
    pub generation: u32,
}

/// A searcher, numbered by the front. A number is never given twice: what comes late for one that has gone
/// finds nobody, also where one of that name is back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Searcher(pub u32);

/// Names what the module left behind to be done with a result: hand it back with that result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u32);

/// How a relay ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    Succeeded,
    /// The searcher answered with an error; the part may have run.
    Failed,
    /// Turned away unseen: it never ran.
    Rejected,
    /// No connection: it never ran.
    Unreachable,
    /// No answer in the time given; it may yet run.
    TimedOut,
    /// The connection dropped while it was out.
    ConnectionLost,
    /// We called it off.
    Cancelled,
    /// It never left the mixer.
    NotSent,
}

/// One line of the list of searchers.
#[derive(Clone, Copy, Debug, Default)]
pub struct SearcherEntry {
    pub searcher: Searcher,
    pub cell: u32,
    /// Still to be given work: neither draining nor gone.
    pub ready: bool,
    pub started: Option<Moment>,
    /// In another zone, where the deployment has a price for crossing.
    pub cross_zone: bool,
}

/// One part of a scan, as it was taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct PartRequest {
    pub shard: u32,
    pub weight: f64,
}

/// A scan, as it was taken.
#[derive(Clone, Debug)]
pub struct ScanRequest {
    pub traffic_type: usize,
    pub customer: usize,
    /// Until the client gives up on this try.
    pub time_left: Span,
    /// The client's rough hint of the work of all parts.
    pub work_hint: Option<Span>,
    /// The client says that it has asked before.
    pub is_retry: bool,
    pub parts: Vec<PartRequest>,
}

/// What may happen to a part that is sent twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    /// A repeat is known by its label for so long after the first relay that may have run.
    ByKey(Span),
    NonIdempotent,
}

/// One sort of scan, as the deployment states it.
#[derive(Clone, Debug)]
pub struct TrafficType {
    pub target_latency: Span,
    /// The quoted time grows by this many times the scan's own work.
    pub target_per_work: f64,
    pub client_timeout: Span,
    pub credit: f64,
    pub late_credit: f64,
    pub idempotency: Idempotency,
    /// The least share of the parts' weight that may be answered from.
    pub min_coverage: f64,
    /// The share that makes an answer whole.
    pub complete_from: f64,
    pub has_fetch_step: bool,
}

/// A scan at the door, as the order of shedding sees it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Its credit for its work, against the best met: up to one.
    pub priority: f64,
    pub is_retry: bool,
    pub parts: &'a [PartRequest],
    pub cells: u32,
}

/// How a part ended, as a level of shedding hears it.
#[derive(Clone, Copy, Debug)]
pub struct PartResult {
    pub cell: u32,
    pub outcome: RelayOutcome,
    pub elapsed: Span,
    /// Of its traffic type; and the shortest that parts take of late.
    pub target_latency: Span,
    pub min_latency: Span,
}

/// What a mixer does as one of a fleet, with no word among mixers; none where an operator asks for none. What its
/// operator leaves out says `None`, or lets through.
pub trait FleetPolicy {
    /// Where the scan stands among those let in, from nothing to one, the same at every mixer and cell; or, for one
    /// that is turned away, the share of the longest pause that its client is told.
    fn admit(&mut self, now: Moment, knock: &AdmissionRequest) -> Option<Result<f64, f64>>;
    fn note_result(&mut self, now: Moment, heard: &PartResult);
    /// Whether a lost part of a cell may go to another replica, for all that the fleet sends there so.
    fn may_retry(&self, now: Moment, cell: u32) -> bool;
    /// It has gone.
    fn note_retry(&mut self, now: Moment, cell: u32);
    /// How long until a searcher that is down is asked whether it is there: first after its loss, then again.
    fn probe_delay(&mut self, first: bool) -> Option<Span>;
}

/// What a front does for the module. Every call takes effect at once, at [`Host::now`].
pub trait Host {
    fn now(&self) -> Moment;
    /// Sends a part; its end comes back as `Mixer::landed`.
    fn relay(&mut self, ticket: Ticket, scan: ScanId, part: usize, to: Searcher, patience: Span);
    /// A relay that has not begun to go by then is never sent; its end comes back as ever. A front that sends at
    /// once has nothing to do.
    fn set_send_deadline(&mut self, _relay: Ticket, _by: Moment) {}
    /// Ends the wait on a relay, where the front can; its end still comes back.
    fn cancel(&mut self, relay: Ticket);
    /// Answers from the parts honoured; `last` is false where a second step follows.
    fn answer(&mut self, scan: ScanId, whole: bool, last: bool);
    /// Turns a scan away as harmless to ask again, after a pause.
    fn reject(&mut self, scan: ScanId, pause: Span);
    /// Gives a scan up, with no promise.
    fn fail(&mut self, scan: ScanId);
    /// Comes back as `Mixer::woken`, at or soon after that time.
    fn set_timer(&mut self, ticket: Ticket, at: Moment);
    /// Asks whether a searcher is there; comes back as `Mixer::checked`.
    fn probe(&mut self, searcher: Searcher);
    /// Trusts the connections to a searcher no more: idle ones are closed, and the others get no new relay
    /// unless something comes over them.
    fn retire_connections(&mut self, searcher: Searcher);
    /// Asks to be told of changes to the list.
    fn watch_discovery(&mut self);
}
