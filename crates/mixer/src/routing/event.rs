//! What happens, and what is to be done about it.

use super::{CloseReason, TrafficTypeCounts};
use crate::protocol::frames::{Errand, PartEnd};
use crate::protocol::lists::News;
use crate::protocol::scans::{Ask, Blame};
use fernglade::{Moment, Span};
use fernglade_admission::HouseRules;
use fernglade_dialect::request::Request;
use std::net::{IpAddr, SocketAddr};

/// A client's connection. Never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// A connection to a searcher. Never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// One call on a link, of one part or several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What a searcher speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SearcherProtocol {
    /// The platform's frames.
    #[default]
    Frames,
    /// The query dialect, over HTTP/1.1.
    QueryApi,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// A client's connection was accepted; whether it is let in is answered by an effect.
    ClientAccepted(ClientId, IpAddr),
    /// A request has begun and may not be whole, or may have stood there unread for so long.
    RequestStarted(ClientId, Span),
    ScanRequested(ClientId, Ask),
    HealthRequested(ClientId),
    /// One who may asked what this mixer tells of itself.
    MetricsRequested(ClientId),
    /// It asked in the query dialect.
    QueryRequested(ClientId, Box<Request>),
    /// It asked for what can't be had; `lost` where nothing more can be read from it.
    InvalidRequest(ClientId, Blame, bool),
    ClientDisconnected(ClientId),
    LinkConnected(LinkId),
    /// A node of the query dialect said which version it speaks.
    NodeVersionReceived(LinkId, String),
    /// A call's last byte was written.
    CallWritten(LinkId, CallId),
    /// A call was taken back, and none of it was written.
    CallWithdrawn(LinkId, CallId),
    PartAnswered {
        link: LinkId,
        id: String,
        end: PartEnd,
        value: String,
    },
    HealthProbeAnswered(LinkId, bool),
    /// Part of a frame has come, or its rest after that.
    FramePartiallyRead(LinkId, bool),
    /// Part of a frame of ours was written, or its rest after that.
    FramePartiallyWritten(LinkId, bool),
    LinkClosed(LinkId, CloseReason),
    DiscoveryUpdated(News),
    DiscoveryWatchFailed,
    /// Discovery is at another address from now on.
    DiscoveryMoved(SocketAddr),
    /// The time asked for by `Effect::SetTimer` has come.
    TimerFired,
    ShutdownRequested,
    /// A client could not be let in, or a searcher not be dialled, for want of a descriptor or memory.
    OutOfResources,
    /// Who stood outside has been accepted, and nobody listens any more.
    ListenerClosed,
    /// The operator's rules of the house were changed.
    AdmissionRulesChanged(HouseRules),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The answer to what a client asked last; `last` where its connection ends with it.
    Reply {
        client: ClientId,
        reply: Reply,
        last: bool,
    },
    /// Lets in a client that was accepted: it is read from now on.
    AdmitClient(ClientId),
    /// Tells a client that was accepted, and not let in, to come back later, and ends its connection.
    RefuseClient(ClientId, Span),
    /// Ends a client's connection.
    CloseClient(ClientId),
    /// Whether further clients are accepted; those that wait outside stay there.
    SetAccepting(bool),
    /// No more clients: accepts who already stands outside, and stops listening.
    CloseListener,
    Dial {
        link: LinkId,
        to: SocketAddr,
        timeout: Span,
        protocol: SearcherProtocol,
    },
    /// Begins a further attempt beside a dial that is not up; the first that is up is the link.
    HedgeDial(LinkId),
    Call {
        link: LinkId,
        call: CallId,
        part_requests: Vec<Errand>,
    },
    /// Takes a call back if none of it was written; `Event::CallWithdrawn` if so.
    WithdrawCall(LinkId, CallId),
    CancelPart {
        link: LinkId,
        id: String,
    },
    ProbeHealth(LinkId),
    /// Asks a node of the query dialect which version it speaks.
    RequestVersion(LinkId),
    CloseLink(LinkId),
    /// Ends a link whatever is going on there; what waits to be written never is.
    AbortLink(LinkId),
    /// Asks discovery, in place of whatever it was asked before: for what is newer than a version, or for
    /// the whole list; `waits` where it may hold its answer until there is something.
    WatchDiscovery {
        at: SocketAddr,
        after: Option<u64>,
        long_poll: bool,
    },
    /// Asks for `Event::TimerFired` at that time; replaces what was asked for before.
    SetTimer(Moment),
    /// A link is over, for the log.
    LogLinkClosed {
        to: String,
        reason: CloseReason,
    },
    /// A node's version was learnt, for the log.
    LogNodeVersion {
        to: String,
        version: String,
    },
    /// All is done: the program may end.
    Exit,
}

/// What a mixer tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Metrics {
    pub ready: bool,
    /// Searchers that its list has as ready.
    pub searchers_listed: u64,
    pub relays: u64,
    /// By traffic type.
    pub traffic_types: Vec<(String, TrafficTypeCounts)>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Answer {
        complete: bool,
        values: Vec<(u32, String)>,
    },
    Rejected(Span),
    Failed,
    Health(bool),
    Metrics(Box<Metrics>),
    InvalidRequest(Blame),
    /// In the query dialect.
    QueryApi {
        status: u16,
        body: String,
        retry_after: Span,
        opaque_id: Option<String>,
    },
}
