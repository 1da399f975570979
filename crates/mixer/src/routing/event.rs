//! The inputs (events) and outputs (effects) of the routing state machine.

use super::{CloseReason, TrafficTypeCounts};
use crate::protocol::discovery::ListUpdate;
use crate::protocol::frames::{PartOutcome, PartRequest};
use crate::protocol::scans::{RequestError, ScanRequest};
use fernglade::{Moment, Span};
use fernglade_admission::{AdmissionPolicy, HoldingKind};
use fernglade_dialect::request::Request;
use std::net::{IpAddr, SocketAddr};

/// Identifies a client connection. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// Identifies a link: a connection to a searcher. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Identifies one call on a link; a call carries one or more parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The protocol that a searcher speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SearcherProtocol {
    /// The platform's binary frames.
    #[default]
    Frames,
    /// The query API, over HTTP/1.1.
    QueryApi,
}

/// An input to the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client connection was accepted. An effect admits or rejects it.
    ClientAccepted(ClientId, IpAddr),
    /// A request has begun to arrive and may still be incomplete. The span is how long it may have waited
    /// unread.
    RequestStarted(ClientId, Span),
    /// A client sent a scan in the platform's own format.
    ScanRequested(ClientId, ScanRequest),
    /// A client requested the readiness of this mixer.
    HealthRequested(ClientId),
    /// An authorized client requested this mixer's metrics.
    MetricsRequested(ClientId),
    /// Other events were processed since the client's multi-search request was put off.
    MultiSearchContinued(ClientId),
    /// A client sent a request of the query API.
    QueryRequested(ClientId, Box<Request>),
    /// A client sent an invalid request. The flag is set when nothing more can be read from its connection.
    InvalidRequest(ClientId, RequestError, bool),
    /// A client's connection has ended.
    ClientDisconnected(ClientId),
    /// A dialled link is connected.
    LinkConnected(LinkId),
    /// A query API node reported its version.
    NodeVersionReceived(LinkId, String),
    /// The last byte of a call was written.
    CallWritten(LinkId, CallId),
    /// A call was withdrawn before any of it was written.
    CallWithdrawn(LinkId, CallId),
    /// A searcher answered a part.
    PartAnswered { link: LinkId, id: String, outcome: PartOutcome, value: String },
    /// A health probe was answered; the flag states whether the searcher is healthy.
    HealthProbeAnswered(LinkId, bool),
    /// `true`: an incoming frame has been read in part. `false`: its remainder has arrived.
    FramePartiallyRead(LinkId, bool),
    /// `true`: an outgoing frame has been written in part. `false`: its remainder has been written.
    FramePartiallyWritten(LinkId, bool),
    /// A link was closed, or could not be connected.
    LinkClosed(LinkId, CloseReason),
    /// Discovery sent a list of searchers or changes to it.
    DiscoveryUpdated(ListUpdate),
    /// The request to discovery failed.
    DiscoveryWatchFailed,
    /// Discovery has moved to another address.
    DiscoveryMoved(SocketAddr),
    /// The time requested with `Effect::SetTimer` has come.
    TimerFired,
    /// A shutdown of the process was requested.
    ShutdownRequested,
    /// A client could not be admitted or a searcher not dialled because descriptors or memory ran out.
    OutOfResources,
    /// Memory is short, and a client's connection was chosen to give up what it holds.
    MemoryReclaimed(ClientId, HoldingKind),
    /// An answer waits to be read because memory is short.
    MemoryShort,
    /// All clients in the listen backlog have been accepted and the listener is closed.
    ListenerClosed,
    /// The operator's admission policy has changed.
    AdmissionPolicyChanged(AdmissionPolicy),
}

/// An action that the caller of the state machine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a client's current request; `last` closes its connection afterwards.
    Reply { client: ClientId, reply: Reply, last: bool },
    /// Admits an accepted client: requests are read from its connection from now on.
    AdmitClient(ClientId),
    /// Rejects an accepted client: sends it a retry time and closes its connection.
    RejectClient(ClientId, Span),
    /// Closes a client's connection.
    CloseClient(ClientId),
    /// Closes a client's connection at once, and drops the answer that it does not read.
    AbortClient(ClientId),
    /// Memory is short: chooses connections that give up what they hold, and reports each of them.
    ReclaimMemory,
    /// Report [`Event::MultiSearchContinued`] once other tasks have run.
    ContinueMultiSearch(ClientId),
    /// Starts or stops accepting clients. While stopped, new clients stay in the listen backlog.
    SetAccepting(bool),
    /// Accepts the clients in the listen backlog, then closes the listener.
    CloseListener,
    /// Connects to a searcher.
    Dial { link: LinkId, to: SocketAddr, timeout: Span, protocol: SearcherProtocol },
    /// Starts another connection attempt for a dial that is not connected yet; the first to connect becomes
    /// the link.
    HedgeDial(LinkId),
    /// Writes a call with its parts to a link.
    Call { link: LinkId, call: CallId, part_requests: Vec<PartRequest> },
    /// Withdraws a call if none of it has been written yet; answered by `Event::CallWithdrawn` in that case.
    WithdrawCall(LinkId, CallId),
    /// Cancels a part: notifies the searcher that its answer is no longer needed.
    CancelPart { link: LinkId, id: String },
    /// Sends a health probe.
    ProbeHealth(LinkId),
    /// Requests the version of a query API node.
    RequestVersion(LinkId),
    /// Closes a link.
    CloseLink(LinkId),
    /// Closes a link at once; bytes that wait to be written are dropped.
    AbortLink(LinkId),
    /// Requests the changes since a version from discovery, or the whole list; replaces any earlier request.
    /// With `long_poll` discovery may hold its answer until something changes.
    WatchDiscovery { at: SocketAddr, after: Option<u64>, long_poll: bool },
    /// Requests `Event::TimerFired` at that time, replacing any earlier request.
    SetTimer(Moment),
    /// Logs that a link was closed.
    LogLinkClosed { to: String, reason: CloseReason },
    /// Logs a node's version when it becomes known.
    LogNodeVersion { to: String, version: String },
    /// Everything is done: the process may exit.
    Exit,
}

/// How often something was refused or given up for want of memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryRefusals {
    /// Requests that were still arriving.
    pub unfinished_requests: u64,
    /// Answers that their clients did not read.
    pub unread_answers: u64,
    /// Whole scans, before any part of them was sent.
    pub scans: u64,
    /// Values of parts.
    pub values: u64,
}

/// The metrics that the state machine knows of.
#[derive(Clone, Debug, PartialEq)]
pub struct Metrics {
    /// Whether this mixer can serve scans.
    pub ready: bool,
    /// Searchers that discovery lists as ready.
    pub searchers_listed: u64,
    /// Relays sent so far.
    pub relays: u64,
    /// What was refused or given up for want of memory.
    pub memory_refusals: MemoryRefusals,
    /// The bytes that are allocated, and that may be.
    pub allocated_bytes: u64,
    pub allocatable_bytes: u64,
    /// Requests refused because their id may have run.
    pub repeated_ids: u64,
    /// Scan counts by traffic type.
    pub traffic_types: Vec<(String, TrafficTypeCounts)>,
}

/// The answer to one client request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The values of the parts that were answered, by shard; `complete` when none is missing.
    Answer { complete: bool, values: Vec<(u32, String)> },
    /// The scan was rejected and may safely be retried after this span.
    Rejected(Span),
    /// The scan failed and parts of it may have run.
    Failed,
    /// Whether this mixer is ready.
    Health(bool),
    /// The metrics of this mixer.
    Metrics(Box<Metrics>),
    /// The request was invalid.
    InvalidRequest(RequestError),
    /// An answer of the query API.
    QueryApi { status: u16, body: String, retry_after: Span, opaque_id: Option<String>, work: QueryWork },
}

/// What the answer to a request of the query API has taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueryWork {
    /// Searches, counts and edits that ended as scans.
    pub scans: usize,
    /// Searches of a multi-search that were answered without a scan.
    pub local_searches: usize,
    /// Length of the shards' answers that were merged.
    pub merged_bytes: usize,
}

impl std::ops::AddAssign for QueryWork {
    fn add_assign(&mut self, other: Self) {
        self.scans += other.scans;
        self.local_searches += other.local_searches;
        self.merged_bytes += other.merged_bytes;
    }
}
