//! What passed on the links, and when. All that is judged is in here.

use fernglade::{Moment, Span};

/// How a searcher answered a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartOutcome {
    Succeeded,
    Failed,
    /// Turned away unseen.
    Rejected,
}

/// A part of a try: `scan` counts tries, not scans that come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part {
    pub scan: u32,
    pub shard: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// A request's last byte was written. `first` is the first try of the same scan.
    ScanSent {
        scan: u32,
        first: u32,
        mixer: usize,
        traffic_type: usize,
        shards: Vec<u32>,
        left: Span,
    },
    /// It crossed the end of a connection that was kept: nobody took it, and it goes out anew.
    ScanUnread {
        scan: u32,
    },
    /// A whole answer: its status, whether it calls itself whole, its values, when to come back.
    ScanAnswered {
        scan: u32,
        mixer: usize,
        status: u16,
        whole: bool,
        values: Vec<(u32, String)>,
        pause: Option<Span>,
    },
    /// The connection ended in place of an answer.
    ScanDropped {
        scan: u32,
        mixer: usize,
    },
    /// Nobody was there to ask.
    MixerUnreachable {
        scan: u32,
        mixer: usize,
    },
    LinkOpened {
        mixer: usize,
        searcher: usize,
    },
    /// A part's call was read to its last byte; it was written then, or while nobody listened, since `written`.
    PartRelayed {
        mixer: usize,
        searcher: usize,
        part: Part,
        written: Moment,
    },
    /// An answer was written to the link.
    PartAnswered {
        mixer: usize,
        searcher: usize,
        part: Part,
        end: PartOutcome,
    },
    PartCancelled {
        mixer: usize,
        searcher: usize,
        part: Part,
    },
    ProbeReceived {
        mixer: usize,
        searcher: usize,
    },
    /// Discovery's answer with this in it was written to the mixer.
    DiscoverySent {
        mixer: usize,
        searcher: usize,
        ready: bool,
    },
    SearcherStarted {
        searcher: usize,
    },
    SearcherStopped {
        searcher: usize,
    },
    SearcherCollapsed {
        searcher: usize,
    },
    MixerStarted {
        mixer: usize,
    },
    /// It was killed, or ended by itself, or crashed.
    MixerExited {
        mixer: usize,
        asked: bool,
    },
    /// It stands still, or goes on.
    MixerStalled {
        mixer: usize,
        still: bool,
    },
    /// A trouble of the day's, by its number, begins or ends.
    Fault {
        number: usize,
        begins: bool,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct TraceEntry {
    pub at: Moment,
    pub event: TraceEvent,
}

/// What a searcher makes for a part: nobody else can have made it.
pub fn value_of(part: Part) -> String {
    format!("of {}.{}", name_of(part.scan), part.shard)
}

/// A try's name on the wire, and back.
pub fn name_of(scan: u32) -> String {
    format!("t{scan}")
}

pub fn scan_of(name: &str) -> Option<u32> {
    name.strip_prefix('t')?.parse().ok()
}
