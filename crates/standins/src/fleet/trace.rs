//! The trace of a run: what passed on the links, and when. The rule checker reads nothing else.

use fernglade::{Moment, Span};

/// How a searcher answered a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartOutcome {
    Succeeded,
    Failed,
    /// It rejected the part without running it.
    Rejected,
}

/// A part of a try. `scan` numbers tries: a scan that a client retries has several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part {
    pub scan: u32,
    pub shard: u32,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// A client wrote the last byte of a request. `first_try` is the first try of the same scan.
    ScanSent { scan: u32, first_try: u32, mixer: usize, traffic_type: usize, shards: Vec<u32>, timeout: Span },
    /// The request crossed the closing of a reused connection: the mixer didn't read it, and it is sent
    /// again.
    ScanUnread { scan: u32 },
    /// A client read a whole response: its status, whether it claims to be complete, its values and
    /// `Retry-After`.
    ScanAnswered {
        scan: u32,
        mixer: usize,
        status: u16,
        complete: bool,
        values: Vec<(u32, String)>,
        retry_after: Option<Span>,
    },
    /// The connection was closed without a whole response.
    ScanDropped { scan: u32, mixer: usize },
    /// A client could not connect to the mixer, or not send the request.
    MixerUnreachable { scan: u32, mixer: usize },
    /// A searcher accepted a connection.
    LinkOpened { mixer: usize, searcher: usize },
    /// A searcher read a part of a call. If the link was not read for a while, the mixer may have written the
    /// part as early as `earliest_write`.
    PartRelayed { mixer: usize, searcher: usize, part: Part, earliest_write: Moment },
    /// A searcher wrote the answer to a part.
    PartAnswered { mixer: usize, searcher: usize, part: Part, outcome: PartOutcome },
    /// A mixer cancelled a part.
    PartCancelled { mixer: usize, searcher: usize, part: Part },
    /// A searcher received a health probe.
    ProbeReceived { mixer: usize, searcher: usize },
    /// Discovery wrote a list to the mixer that shows this searcher as ready or not.
    DiscoverySent { mixer: usize, searcher: usize, ready: bool },
    /// A searcher restarted.
    SearcherStarted { searcher: usize },
    /// A searcher crashed.
    SearcherStopped { searcher: usize },
    /// A cold searcher collapsed under too much work.
    SearcherCollapsed { searcher: usize },
    /// A mixer was started again.
    MixerStarted { mixer: usize },
    /// A mixer exited; `expected` if its shutdown had been requested, or it was killed.
    MixerExited { mixer: usize, expected: bool },
    /// A mixer was suspended or resumed.
    MixerStalled { mixer: usize, stalled: bool },
    /// A fault of the scenario, by its index, began or ended.
    Fault { number: usize, active: bool },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceEntry {
    /// When it was recorded, from the start of the run.
    pub at: Moment,
    /// What happened.
    pub event: TraceEvent,
}

/// The value with which a searcher answers a part. It contains the part's id, so that a wrong value shows.
pub fn value_of(part: Part) -> String {
    format!("of {}.{}", name_of(part.scan), part.shard)
}

/// The request id of a try.
pub fn name_of(scan: u32) -> String {
    format!("t{scan}")
}

/// The try of a request id.
pub fn scan_of(name: &str) -> Option<u32> {
    name.strip_prefix('t')?.parse().ok()
}
