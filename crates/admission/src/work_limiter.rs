//! Bounds the work that peers make the event loop do, whatever they send: what goes beyond waits its turn.
//!
//! Called by the mixer's tasks. Each piece of work has a cost, which is the time until as much may be done again.
//! A peer owes the costs of its work less the time that has passed since, and waits while it owes more than [`BURST`].
//! What led to something is taken back: an answer that had been asked for, a request that searchers received.
//!
//! All clients together owe a fraction of what each has done in vain. While that is beyond [`ALL_CLIENTS_BURST`], a
//! client that owes more than [`FREE_IN_VAIN`] itself for work in vain waits, and so do error responses.
//!
//! No wait is longer than [`MAX_WAIT`], and one is made only after further work: whoever has waited is read from. Each
//! debt is bounded where it is added up, so that no wait grows with how much was sent.

use crate::debt::Debt;
use crate::peer_work::{PeerKind, PeerWork, BURST, FREE_IN_VAIN};
use crate::wait_record::{Limit, WaitRecord};
use crate::work::Work;
use fernglade::{Moment, Span};

/// How much all clients together may owe before any of them waits.
const ALL_CLIENTS_BURST: Span = Span::from_millis(250);
/// What all clients together owe for a piece of work is this fraction (1/n) of its cost.
const ALL_CLIENTS_DIVISOR: u64 = 4;
/// The longest wait: a peer's end has to be learnt within 0.1 s, and a request that has come answered in its time.
const MAX_WAIT: Span = Span::from_millis(100);
/// The most that all clients together owe.
const MAX_OWED_BY_ALL: Span = Span::from_micros(ALL_CLIENTS_BURST.micros() + MAX_WAIT.micros());
/// The longest wait of a peer for which something is under way: its end has to be learnt within 0.1 s.
const MAX_AWAITED_WAIT: Span = Span::from_millis(40);
/// The longest wait between two calls to discovery: a watch goes on if the next one comes within 0.2 s.
const MAX_CALL_DELAY: Span = Span::from_millis(150);
/// How many connections may be accepted without a pause, as the time until as many may be again, and the time for each.
const ACCEPT_BURST: Span = Span::from_millis(50);
const ACCEPT_COST: Span = Span::from_micros(500);
/// The time for one whose peer has left already: no task is started for it, and those behind it wait.
const LEFT_ACCEPT_COST: Span = Span::from_micros(125);
/// The longest pause between two batches of accepts.
const MAX_ACCEPT_PAUSE: Span = Span::from_millis(1);
/// The most that accepted connections owe: what was accepted before does not hold up those who come now.
const MAX_ACCEPT_DEBT: Span = Span::from_micros(ACCEPT_BURST.micros() + MAX_ACCEPT_PAUSE.micros());

/// The limits on the work of all peers.
#[derive(Debug, Default)]
pub struct WorkLimiter {
    all_clients: Debt,
    accepted: Debt,
    waits: WaitRecord,
}

/// A request that was of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedRequest {
    /// A scan whose parts searchers received.
    Scan,
    /// A request of the query API of which searches were passed on.
    Searches,
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
        for work in all {
            let cost = peer.charge(*work, now);
            if peer.may_be_in_vain(*work) {
                let share = Span::from_micros(cost.micros() / ALL_CLIENTS_DIVISOR);
                peer.charged_to_all(self.all_clients.add(share, MAX_OWED_BY_ALL, now));
            }
        }
    }

    /// Records that an answer of so many bytes, which had been asked for, was used: the work was not in vain.
    pub fn answer_used(&mut self, peer: &mut PeerWork, bytes: usize) {
        peer.answer_used(bytes);
    }

    /// Records that a client's request was of use: the work was not in vain.
    pub fn request_served(&mut self, peer: &mut PeerWork, request: ServedRequest) {
        if !peer.was_served {
            self.accepted.reduce(ACCEPT_COST);
        }
        let charged_to_all = match request {
            ServedRequest::Scan => peer.scan_served(),
            ServedRequest::Searches => peer.search_served(),
        };
        self.all_clients.reduce(charged_to_all);
    }

    /// How long the peer's next input has to wait, and for which limit, if a wait begins now; zero if it may be read at
    /// once. `is_awaited` states that something is under way for the peer, so that its end must be learnt soon.
    pub fn delay(&mut self, peer: &mut PeerWork, is_awaited: bool, now: Moment) -> Delay {
        let longest = if is_awaited { MAX_AWAITED_WAIT } else { MAX_WAIT };
        if let Some(resumes_at) = peer.resumes_at {
            let resumes_at = resumes_at.min(now + longest);
            peer.resumes_at = Some(resumes_at);
            return Delay { wait: resumes_at.since(now), begins_for: None };
        }
        let (limit, wait) = self.new_wait(peer, now);
        let wait = wait.min(longest);
        peer.resumes_at = Some(now + wait);
        Delay { wait, begins_for: Some(limit).filter(|_| wait > Span::ZERO) }
    }

    /// How long a wait that begins now would be, and for which limit.
    fn new_wait(&self, peer: &PeerWork, now: Moment) -> (Limit, Span) {
        let own = peer.debt.owed(now).saturating_sub(BURST);
        let for_others = if peer.kind == PeerKind::Client && peer.in_vain.owed(now) > FREE_IN_VAIN {
            self.all_clients.owed(now).saturating_sub(ALL_CLIENTS_BURST)
        } else {
            Span::ZERO
        };
        if for_others > own {
            (Limit::AllClientsWork, for_others)
        } else {
            (peer.kind.own_limit(), own)
        }
    }

    /// How long the next call to a peer has to wait, as its answers have cost more than its share.
    pub fn call_delay(&self, peer: &PeerWork, now: Moment) -> Span {
        peer.debt.owed(now).saturating_sub(BURST).min(MAX_CALL_DELAY)
    }

    /// How long the response to an unsound request is held back: each one may come on a connection of its own.
    pub fn error_delay(&self, now: Moment) -> Span {
        self.all_clients.owed(now).saturating_sub(ALL_CLIENTS_BURST).min(MAX_WAIT)
    }
}

/// How long a peer's next input has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    pub wait: Span,
    /// The limit for which the peer waits, if the wait begins now.
    pub begins_for: Option<Limit>,
}

#[cfg(test)]
mod tests;
