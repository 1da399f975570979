//! What one peer has caused, and when its next input may be read.

use crate::debt::Debt;
use crate::wait_record::Limit;
use crate::work::Work;
use fernglade::{Moment, Span};

/// How much one peer may owe before it waits.
pub(crate) const BURST: Span = Span::from_millis(300);
/// The most that one peer owes: a wait for it ends however much was done.
const MAX_OWED: Span = Span::from_millis(500);
/// Work in vain is forgotten so many times as slowly as its cost is paid: a wait for others does not clear it.
const IN_VAIN_FACTOR: u64 = 20;
/// A client that owes more than this for work in vain waits for others.
pub(crate) const FREE_IN_VAIN: Span = Span::from_millis(50 * IN_VAIN_FACTOR);
/// The most that is owed for work in vain.
const MAX_IN_VAIN: Span = Span::from_millis(100 * IN_VAIN_FACTOR);
/// The most that one read adds to what its peer owes.
const MAX_READ_COST: Span = Span::from_millis(40);
/// What the pieces may cost in which useful input comes, beside its bytes.
const PIECES_ALLOWANCE: Span = Span::from_millis(16);
/// Useful input may come in pieces of this size.
const PIECE_BYTES: usize = 1_024;
/// How much is read after a wait, unless it completes something before: the longest request, and some more.
const MAX_TURN_BYTES: usize = 80 * 1_024;

/// Who a peer is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerKind {
    #[default]
    Client,
    Searcher,
    Discovery,
}

impl PeerKind {
    /// The limit by which a peer waits for what its own work has cost.
    pub(crate) fn own_limit(self) -> Limit {
        match self {
            Self::Client => Limit::ClientWork,
            Self::Searcher => Limit::SearcherWork,
            Self::Discovery => Limit::DiscoveryWork,
        }
    }
}

/// What was charged to a peer since it was last of use.
#[derive(Debug, Default)]
struct Charged {
    /// For the pieces in which its input came, and for all else.
    pieces: Span,
    contents: Span,
    /// Towards what it has done in vain, and towards what all clients have.
    in_vain: Span,
    all_clients: Span,
    bytes: usize,
}

/// The work that one peer has caused.
#[derive(Debug, Default)]
pub struct PeerWork {
    pub(crate) kind: PeerKind,
    pub(crate) debt: Debt,
    /// What it owes for work that led to nothing: only this makes a client wait for the sake of others.
    pub(crate) in_vain: Debt,
    charged_at: Moment,
    charged: Charged,
    /// When its input is read again. Once that time has come, it is, until the peer causes further work.
    pub(crate) resumes_at: Option<Moment>,
    turn_bytes: usize,
    /// One of its requests was served.
    pub(crate) was_served: bool,
}

impl PeerWork {
    /// A peer that has caused no work yet.
    pub fn new(kind: PeerKind) -> Self {
        Self { kind, ..Self::default() }
    }

    /// Whether the peer's next input may be read whatever the time is.
    pub fn owes_little(&self) -> bool {
        self.debt.owed(self.charged_at) <= BURST && self.in_vain.owed(self.charged_at) <= FREE_IN_VAIN
    }

    /// Adds a piece of work, and returns its cost.
    pub(crate) fn charge(&mut self, work: Work, now: Moment) -> Span {
        let cost = work.cost();
        let read_cost = if matches!(work, Work::Bytes(_)) { cost.min(MAX_READ_COST) } else { cost };
        let owed = self.debt.add(read_cost, MAX_OWED, now);
        let charged = &mut self.charged;
        if work.is_of_pieces() {
            charged.pieces = charged.pieces + owed;
        } else {
            charged.contents = charged.contents + owed;
        }
        if let Work::Bytes(count) = work {
            charged.bytes = charged.bytes.saturating_add(count);
        }
        if self.may_be_in_vain(work) {
            let in_vain = Span::from_micros(read_cost.micros().saturating_mul(IN_VAIN_FACTOR));
            self.charged.in_vain = self.charged.in_vain + self.in_vain.add(in_vain, MAX_IN_VAIN, now);
        }
        self.charged_at = now;
        self.end_turn(work, now);
        cost
    }

    /// Whether the work is a client's that may come to nothing. Scans are what the mixer is for; the decision module limits
    /// them.
    pub(crate) fn may_be_in_vain(&self, work: Work) -> bool {
        self.kind == PeerKind::Client && !matches!(work, Work::Scans(_))
    }

    /// Records what was added to the debt of all clients for this one.
    pub(crate) fn charged_to_all(&mut self, added: Span) {
        self.charged.all_clients = self.charged.all_clients + added;
    }

    /// Ends the turn that the peer has had since its wait: what it has caused is looked at anew.
    fn end_turn(&mut self, work: Work, now: Moment) {
        if self.resumes_at.is_none_or(|at| at > now) {
            return;
        }
        let goes_on = match work {
            Work::Bytes(count) => {
                self.turn_bytes += count;
                self.turn_bytes <= MAX_TURN_BYTES
            }
            Work::ParserSteps(_) => true,
            _ => false,
        };
        if !goes_on {
            self.resumes_at = None;
            self.turn_bytes = 0;
        }
    }

    /// Takes back what a scan's request has cost, and returns what it added to the debt of all clients.
    pub(crate) fn scan_served(&mut self) -> Span {
        let charged = std::mem::take(&mut self.charged);
        self.was_served = true;
        self.debt.reduce(charged.contents + charged.pieces.min(pieces_allowance(charged.bytes)));
        self.in_vain.reduce(charged.in_vain);
        charged.all_clients
    }

    /// The same for a request of the query API. What a long one costs beyond a usual one is still owed, as it was parsed
    /// and merged here.
    pub(crate) fn search_served(&mut self) -> Span {
        let charged = std::mem::take(&mut self.charged);
        self.was_served = true;
        self.debt.reduce((charged.contents + charged.pieces).min(PIECES_ALLOWANCE));
        self.in_vain.reduce(charged.in_vain);
        charged.all_clients
    }

    /// Takes back what an answer of so many bytes has cost, which had been asked for.
    pub(crate) fn answer_used(&mut self, bytes: usize) {
        let charged = std::mem::take(&mut self.charged);
        let useful = Work::Bytes(bytes).cost() + pieces_allowance(bytes);
        let credit = useful.min(charged.contents + charged.pieces);
        self.debt.reduce(credit);
    }
}

/// What the pieces may cost in which so many useful bytes come.
fn pieces_allowance(bytes: usize) -> Span {
    PIECES_ALLOWANCE + Span::from_micros(Work::Wakeup.cost().micros() * (bytes / PIECE_BYTES) as u64)
}
