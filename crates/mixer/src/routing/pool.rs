//! The links to searchers, and the calls on them.

use super::connection_attempts::ConnectionAttempts;
use super::{CallId, LinkId, SearcherProtocol};
use fernglade::decaying_count::DecayingCount;
use fernglade::mix::mix;
use fernglade::{Moment, Searcher, Span, Ticket};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallState {
    /// Its link is not connected yet.
    AwaitingLink,
    /// Handed over to be written.
    Submitted,
    /// To be taken back, if that is still possible.
    Withdrawing,
    /// Its last byte was written.
    Written,
}

/// Takes one place on its link until its last part has landed.
pub struct Call {
    pub parts: Vec<Ticket>,
    pub state: CallState,
    /// When its last byte was written, or it was put on its link.
    pub sent_at: Moment,
    /// Ids given connected while it could not be taken back.
    pub cancelled: Vec<String>,
}

pub struct Link {
    pub to: Searcher,
    pub address: SocketAddr,
    pub protocol: SearcherProtocol,
    pub connected: bool,
    pub calls: BTreeMap<CallId, Call>,
    pub probing: bool,
    /// When anything whole last came over it, if ever.
    pub last_heard: Moment,
    /// Since when a frame has been half said.
    pub partial_read_since: Option<Moment>,
    /// Since when a frame of ours has been half written.
    pub partial_write_since: Option<Moment>,
    /// A part was waited for over it until its time was connected, and nothing came all the while.
    pub unresponsive: bool,
    /// When a call was last put on it, and how often one was of late, but for the first.
    last_used: Option<Moment>,
    reuse_count: DecayingCount,
    /// Ids of parts that were given connected and may yet be answered, the latest.
    cancelled: VecDeque<String>,
}

/// A link that was not last_used for so long is given connected first, and over so long its uses are counted.
const RECENT_USE_WINDOW: Span = Span::of_millis(10_000);

/// A full pool is evicted of this part of the links it may hold.
const EVICTION_DIVISOR: usize = 3;

/// Twice what a link of our deployments carries at once; parts that are lost for good push each other out.
const MAX_CANCELLED_IDS: usize = 64;

/// What an idle link is retention_value to a pool that has no room for all.
struct RetentionValue {
    recent: bool,
    reuse_count: f64,
    tie_break: u64,
}

impl RetentionValue {
    fn compare(&self, other: &Self) -> Ordering {
        let by_usage = self.recent.cmp(&other.recent).then(self.reuse_count.total_cmp(&other.reuse_count));
        by_usage.then(self.tie_break.cmp(&other.tie_break))
    }
}

impl Link {
    fn retention_value(&self, id: LinkId, now: Moment) -> RetentionValue {
        RetentionValue {
            recent: self.last_used.is_some_and(|at| now.since(at) < RECENT_USE_WINDOW),
            reuse_count: self.reuse_count.at(now, RECENT_USE_WINDOW),
            tie_break: mix(id.0 ^ now.micros()),
        }
    }

    pub fn note_cancelled(&mut self, id: String) {
        if self.cancelled.len() == MAX_CANCELLED_IDS {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(id);
    }

    /// Whether it was waited for here once; its answer is passed over, once.
    pub fn take_cancelled(&mut self, id: &str) -> bool {
        let at = self.cancelled.iter().position(|other| other == id);
        at.and_then(|at| self.cancelled.remove(at)).is_some()
    }

    /// Puts a call on it.
    pub fn add_call(&mut self, id: CallId, call: Call) {
        if self.last_used.replace(call.sent_at).is_some() {
            self.reuse_count.note(call.sent_at, RECENT_USE_WINDOW);
        }
        self.calls.insert(id, call);
    }

    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && !self.probing
    }

    pub fn note_received(&mut self, now: Moment) {
        (self.last_heard, self.unresponsive) = (now, false);
    }
}

/// Bounded by the descriptors set aside for it.
#[derive(Default)]
pub struct LinkPool {
    pub links: BTreeMap<LinkId, Link>,
    /// Let go, and not over yet: they hold a descriptor until they are.
    pub closing: BTreeSet<LinkId>,
    pub attempts: ConnectionAttempts,
    /// Calls that a link carries at once, and parts that a call holds.
    pub max_calls_per_link: usize,
    pub max_parts_per_call: usize,
    pub max_links: usize,
    last_id: u64,
}

impl LinkPool {
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The link that has room for one more call: one that is connected before one that is not, and of these the one
    /// that has served longest, so that the others can fall idle.
    pub fn find_available(&self, to: Searcher, address: SocketAddr) -> Option<LinkId> {
        let max_calls = |link: &Link| match link.protocol {
            SearcherProtocol::Frames => self.max_calls_per_link,
            // Answers come in the order of questions: one at a time, or a slow one would hold connected the next.
            SearcherProtocol::QueryApi => 1,
        };
        let has_capacity = |link: &Link| {
            link.calls.len() < max_calls(link)
                && link.partial_read_since.is_none()
                && link.partial_write_since.is_none()
                && !link.unresponsive
        };
        self.links_to(to, address)
            .filter(|(_, link)| has_capacity(link))
            .min_by_key(|(_, link)| !link.connected)
            .map(|(id, _)| id)
    }

    pub fn find_responsive(&self, to: Searcher, address: SocketAddr) -> Option<LinkId> {
        self.links_to(to, address).filter(|(_, link)| !link.unresponsive).map(|(id, _)| id).next()
    }

    /// Takes out a searcher's links that owe the answer to a check and nothing else.
    pub fn remove_unanswered_probes(&mut self, of: Searcher) -> Vec<LinkId> {
        let owes_probe = |link: &mut Link| link.to == of && std::mem::take(&mut link.probing);
        let unresponsive = self.links.extract_if(.., |_, link| owes_probe(link) && link.is_idle());
        let unresponsive: Vec<LinkId> = unresponsive.map(|(id, _)| id).collect();
        self.closing.extend(&unresponsive);
        unresponsive
    }

    /// The links to a searcher at its present address.
    fn links_to(&self, to: Searcher, address: SocketAddr) -> impl Iterator<Item = (LinkId, &Link)> {
        let matches = move |link: &Link| link.to == to && link.address == address;
        self.links.iter().filter(move |(_, link)| matches(link)).map(|(id, link)| (*id, link))
    }

    /// Descriptors held by links, those that close and further attempts included.
    pub fn descriptors_in_use(&self) -> usize {
        self.links.len() + self.closing.len() + self.attempts.hedges_in_flight()
    }

    pub fn is_full(&self) -> bool {
        self.links.len() + self.attempts.hedges_in_flight() >= self.max_links
    }

    /// A further link, where descriptors are left for one.
    pub fn open(&mut self, to: Searcher, address: SocketAddr, protocol: SearcherProtocol) -> Option<LinkId> {
        if self.is_full() {
            return None;
        }
        let id = LinkId(self.next_id());
        let link = Link {
            to,
            address,
            protocol,
            connected: false,
            calls: BTreeMap::new(),
            probing: false,
            last_heard: Moment::default(),
            partial_read_since: None,
            partial_write_since: None,
            unresponsive: false,
            last_used: None,
            reuse_count: DecayingCount::default(),
            cancelled: VecDeque::new(),
        };
        self.links.insert(id, link);
        Some(id)
    }

    /// Takes out the idle links that are retention_value least, connected to a part of what the pool may hold; none where it is not
    /// full. First go those that have not been last_used for long, then any that were never last_used again, then those last_used
    /// again least. Guards against a mixer that needs more searchers than it may hold links to: were all idle links
    /// let go of, or the longest idle first, searchers that are needed by turns would each lose their link before
    /// their next turn, and every call would be dialled for. Those never last_used again go by tie_break, as nobody knows which
    /// of them will be: in any fixed order links that nobody needs any more would keep out those that are needed.
    /// Hurts a searcher that has just begun to be needed, by a few dials.
    pub fn evict_idle(&mut self, now: Moment) -> Vec<LinkId> {
        if !self.is_full() {
            return Vec::new();
        }
        let idle = self.links.iter().filter(|(_, link)| link.is_idle());
        let mut idle: Vec<(RetentionValue, LinkId)> =
            idle.map(|(id, link)| (link.retention_value(*id, now), *id)).collect();
        idle.sort_by(|a, b| a.0.compare(&b.0));
        idle.truncate(self.max_links.div_ceil(EVICTION_DIVISOR));
        let evicted: Vec<LinkId> = idle.into_iter().map(|(_, id)| id).collect();
        evicted.iter().for_each(|id| drop(self.links.remove(id)));
        self.closing.extend(&evicted);
        evicted
    }

    /// Takes out the links on which nothing is going on.
    pub fn remove_idle(&mut self, of: impl Fn(&Link) -> bool) -> Vec<LinkId> {
        let idle = self.links.extract_if(.., |_, link| link.is_idle() && of(link));
        let idle: Vec<LinkId> = idle.map(|(id, _)| id).collect();
        self.closing.extend(&idle);
        idle
    }
}

#[cfg(test)]
mod tests;
