//! What happens, and what is to be done about it.

use super::{Ending, Line};
use crate::protocol::discovery::ListUpdate;
use crate::protocol::frames::{PartOutcome, PartRequest};
use crate::protocol::scans::{RequestError, ScanRequest};
use fernglade::{Moment, Span};
use fernglade_admission::AdmissionPolicy;
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
pub enum Tongue {
    /// The platform's frames.
    #[default]
    Frames,
    /// The query dialect, over HTTP/1.1.
    Dialect,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// A client's connection was accepted; whether it is let in is answered by an effect.
    Knocked(ClientId, IpAddr),
    /// A request has begun and may not be whole, or may have stood there unread for so long.
    Stirred(ClientId, Span),
    Asked(ClientId, ScanRequest),
    HealthAsked(ClientId),
    /// One who may asked what this mixer tells of itself.
    FiguresAsked(ClientId),
    /// It asked in the query dialect.
    Queried(ClientId, Box<Request>),
    /// It asked for what can't be had; `lost` where nothing more can be read from it.
    Misasked(ClientId, RequestError, bool),
    ClientGone(ClientId),
    LinkUp(LinkId),
    /// A node of the query dialect said which version it speaks.
    Speaks(LinkId, String),
    /// A call's last byte was written.
    CallOut(LinkId, CallId),
    /// A call was taken back, and none of it was written.
    Withdrawn(LinkId, CallId),
    PartBack {
        link: LinkId,
        id: String,
        end: PartOutcome,
        value: String,
    },
    CheckBack(LinkId, bool),
    /// Part of a frame has come, or its rest after that.
    Amid(LinkId, bool),
    /// Part of a frame of ours was written, or its rest after that.
    HalfWritten(LinkId, bool),
    LinkEnded(LinkId, Ending),
    Told(ListUpdate),
    WatchBroke,
    /// Discovery is at another address from now on.
    Moved(SocketAddr),
    /// The time asked for by `Effect::Alarm` has come.
    TimeCame,
    StopAsked,
    /// A client could not be let in, or a searcher not be dialled, for want of a descriptor or memory.
    Short,
    /// Who stood outside has been accepted, and nobody listens any more.
    DoorShut,
    /// The operator's rules of the house were changed.
    Ruled(AdmissionPolicy),
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
    LetIn(ClientId),
    /// Tells a client that was accepted, and not let in, to come back later, and ends its connection.
    TurnAway(ClientId, Span),
    /// Ends a client's connection.
    Dismiss(ClientId),
    /// Whether further clients are accepted; those that wait outside stay there.
    Door(bool),
    /// No more clients: accepts who already stands outside, and stops listening.
    ShutDoor,
    Dial {
        link: LinkId,
        to: SocketAddr,
        within: Span,
        tongue: Tongue,
    },
    /// Begins a further attempt beside a dial that is not up; the first that is up is the link.
    DialBeside(LinkId),
    Call {
        link: LinkId,
        call: CallId,
        errands: Vec<PartRequest>,
    },
    /// Takes a call back if none of it was written; `Event::Withdrawn` if so.
    Withdraw(LinkId, CallId),
    GiveUp {
        link: LinkId,
        id: String,
    },
    Check(LinkId),
    /// Asks a node of the query dialect which version it speaks.
    AskVersion(LinkId),
    HangUp(LinkId),
    /// Ends a link whatever is going on there; what waits to be written never is.
    Cut(LinkId),
    /// Asks discovery, in place of whatever it was asked before: for what is newer than a version, or for
    /// the whole list; `waits` where it may hold its answer until there is something.
    Watch {
        at: SocketAddr,
        after: Option<u64>,
        waits: bool,
    },
    /// Asks for `Event::TimeCame` at that time; replaces what was asked for before.
    Alarm(Moment),
    /// A link is over, for the log.
    Note {
        to: String,
        ending: Ending,
    },
    /// A node's version was learnt, for the log.
    Spoke {
        to: String,
        version: String,
    },
    /// All is done: the program may end.
    Leave,
}

/// What a mixer tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    pub ready: bool,
    /// Searchers that its list has as ready.
    pub listed: u64,
    pub relays: u64,
    /// By traffic type.
    pub types: Vec<(String, Line)>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Answer {
        whole: bool,
        values: Vec<(u32, String)>,
    },
    Bounce(Span),
    WriteOff,
    Health(bool),
    Figures(Box<Figures>),
    Refusal(RequestError),
    /// In the query dialect.
    Dialect {
        status: u16,
        body: String,
        pause: Span,
        opaque: Option<String>,
    },
}
