//! Bounds the work that one peer makes the event loop do, whatever it sends: what goes beyond waits its turn.
//!
//! Called by the mixer's tasks. Each piece of work has a cost, which is the time until as much may be done again.
//! A peer owes the costs of its work less the time that has passed since, and waits while it owes more than
//! [`BURST`]. All peers together owe a smaller cost for the same work; while that is beyond [`TOTAL_BURST`], a peer
//! waits that owes more than [`FREE_OF_TOTAL`] itself. A peer that begins, or that sends one request after
//! another, owes less than that and is never delayed.
//!
//! The state is one point in time for each peer, and one for all.

use crate::debt::Debt;
use crate::wait_record::{Limit, WaitRecord};
use fernglade::{Moment, Span};

/// How much one peer may owe before it waits.
const BURST: Span = Span::from_millis(300);
/// How much all peers together may owe before any of them waits.
const TOTAL_BURST: Span = Span::from_millis(250);
/// A peer that owes no more than this never waits for others.
const FREE_OF_TOTAL: Span = Span::from_millis(50);
/// What all peers together owe for a piece of work is this fraction (1/n) of what the peer owes.
const TOTAL_DIVISOR: u64 = 4;
/// The longest wait of a peer for which something is under way: its end has to be learnt within 0.1 s.
const MAX_AWAITED_DELAY: Span = Span::from_millis(40);
/// The most that one read adds to what its peer owes.
const MAX_READ_COST: Span = Span::from_millis(40);
/// The longest wait between two calls to discovery: a watch goes on if the next one comes within 0.2 s.
const MAX_CALL_DELAY: Span = Span::from_millis(150);
/// The longest wait for the sake of others, of input and of the error response to an unsound request. A client is
/// owed one within three seconds of connecting.
const MAX_TOTAL_DELAY: Span = Span::from_millis(1_500);
/// How many connections may be accepted without a pause, as the time until as many may be again, and the time for each.
const ACCEPT_BURST: Span = Span::from_millis(50);
const ACCEPT_COST: Span = Span::from_micros(500);
/// The time for one whose peer has left already: no task is started for it, and those behind it wait.
const LEFT_ACCEPT_COST: Span = Span::from_micros(125);
/// The longest pause between two batches of accepts.
const MAX_ACCEPT_PAUSE: Span = Span::from_millis(1);
/// The most that accepted connections owe: what was accepted before does not hold up those who come now.
const MAX_ACCEPT_DEBT: Span = Span::from_micros(ACCEPT_BURST.micros() + MAX_ACCEPT_PAUSE.micros());
/// The most that the use of an answer takes off its sender's debt, beside the costs of its bytes: it may come in
/// pieces.
const ANSWER_CREDIT: Span = Span::from_millis(16);

/// No bound on what is owed.
const UNBOUNDED: Span = Span::from_millis(86_400_000);

/// A piece of work that a peer has caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// The event loop was woken for input that completes nothing.
    Wakeup,
    /// So many bytes were read.
    Bytes(usize),
    /// The parser took so many steps: lines, chunks, or messages that nobody asked for.
    ParserSteps(usize),
    /// The body of a request was parsed, which has about so many values, and passed on.
    Request { bytes: usize, values: usize },
    /// A request was answered that no searcher received a part of.
    LocalAnswer,
    /// So many searches of one request were answered that no searcher received a part of.
    LocalSearches(usize),
    /// So many scans were answered.
    Scans(usize),
    /// Answers of shards, of so many bytes, were merged into one.
    MergedBytes(usize),
    /// A call to discovery was answered.
    DiscoveryCall,
    /// So many entries of a list were parsed.
    ListEntries(usize),
    /// A connection was admitted.
    Connection,
}

impl Work {
    /// The time until the same may be done again.
    fn cost(self) -> Span {
        let micros = match self {
            Work::Wakeup => 2_000,
            // 8 MB/s.
            Work::Bytes(count) => count as u64 / 8,
            Work::ParserSteps(count) => count as u64 * 30,
            Work::Request { bytes, values } => bytes as u64 / 4 + values as u64 * 2,
            Work::LocalAnswer => 8_000,
            Work::LocalSearches(count) | Work::Scans(count) => count as u64 * 1_000,
            Work::MergedBytes(count) => count as u64 / 2,
            Work::DiscoveryCall => 20_000,
            Work::ListEntries(count) => count as u64 * 30,
            Work::Connection => 4_000,
        };
        Span::from_micros(micros)
    }
}

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
    fn own_limit(self) -> Limit {
        match self {
            Self::Client => Limit::ClientWork,
            Self::Searcher => Limit::SearcherWork,
            Self::Discovery => Limit::DiscoveryWork,
        }
    }
}

/// The work that one peer has caused.
#[derive(Debug, Default)]
pub struct PeerWork {
    kind: PeerKind,
    debt: Debt,
    charged_at: Moment,
    /// What was charged since an answer of this peer was last used.
    charged_since_answer: Span,
}

impl PeerWork {
    /// A peer that has caused no work yet.
    pub fn new(kind: PeerKind) -> Self {
        Self { kind, ..Self::default() }
    }

    /// Whether the peer's next input may be read whatever the time is.
    pub fn owes_little(&self) -> bool {
        self.debt.owed(self.charged_at) <= FREE_OF_TOTAL
    }
}

/// How long a peer's next input has to wait, and for which limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    pub limit: Limit,
    pub wait: Span,
}

/// The work that all peers together have caused.
#[derive(Debug, Default)]
pub struct WorkLimiter {
    total: Debt,
    accepted: Debt,
    waits: WaitRecord,
}

impl WorkLimiter {
    /// Records an accepted connection, whose peer may have left already, and returns the pause that is due after a
    /// batch of them.
    pub fn connection_accepted(&mut self, has_left: bool, now: Moment) -> Span {
        let cost = if has_left { LEFT_ACCEPT_COST } else { ACCEPT_COST };
        self.accepted.add(cost, MAX_ACCEPT_DEBT, now);
        self.accepted.owed(now).saturating_sub(ACCEPT_BURST)
    }

    /// How often each limit made a peer wait.
    pub fn waits(&self) -> &WaitRecord {
        &self.waits
    }

    /// Records a wait that a peer begins.
    pub fn wait_begins(&mut self, limit: Limit, wait: Span) {
        self.waits.record(limit, wait);
    }

    /// Records work of a peer.
    pub fn charge(&mut self, peer: &mut PeerWork, all: &[Work], now: Moment) {
        peer.charged_at = now;
        for work in all {
            let cost = work.cost();
            let owed = if matches!(work, Work::Bytes(_)) { cost.min(MAX_READ_COST) } else { cost };
            peer.debt.add(owed, UNBOUNDED, now);
            peer.charged_since_answer = peer.charged_since_answer + owed;
            // Scans are what the mixer is for; the decision module limits them.
            if !matches!(work, Work::Scans(_)) {
                self.total.add(Span::from_micros(cost.micros() / TOTAL_DIVISOR), UNBOUNDED, now);
            }
        }
    }

    /// Records that an answer of so many bytes, which had been asked for, was used: the work was not in vain.
    pub fn answer_used(&mut self, peer: &mut PeerWork, bytes: usize) {
        let credit = (ANSWER_CREDIT + Work::Bytes(bytes).cost()).min(peer.charged_since_answer);
        peer.charged_since_answer = Span::ZERO;
        peer.debt.reduce(credit);
        self.total.reduce(Span::from_micros(credit.micros() / TOTAL_DIVISOR));
    }

    /// How long the peer's next input has to wait; zero if it may be read at once. `is_awaited` states that
    /// something is under way for the peer, so that its end must be learnt soon.
    pub fn delay(&self, peer: &PeerWork, is_awaited: bool, now: Moment) -> Delay {
        let owed = peer.debt.owed(now);
        if owed <= FREE_OF_TOTAL {
            return Delay { limit: peer.kind.own_limit(), wait: Span::ZERO };
        }
        let for_others = self.total.owed(now).saturating_sub(TOTAL_BURST).min(MAX_TOTAL_DELAY);
        let own = owed.saturating_sub(BURST);
        let limit = if for_others > own { Limit::AllClientsWork } else { peer.kind.own_limit() };
        let wait = own.max(for_others);
        Delay { limit, wait: if is_awaited { wait.min(MAX_AWAITED_DELAY) } else { wait } }
    }

    /// How long the next call to a peer has to wait, as its answers have cost more than its share.
    pub fn call_delay(&self, peer: &PeerWork, now: Moment) -> Span {
        peer.debt.owed(now).saturating_sub(BURST).min(MAX_CALL_DELAY)
    }

    /// How long the response to an unsound request is held back: each one may come on a connection of its own.
    pub fn error_delay(&self, now: Moment) -> Span {
        self.total.owed(now).saturating_sub(TOTAL_BURST).min(MAX_TOTAL_DELAY)
    }
}

#[cfg(test)]
mod tests;
