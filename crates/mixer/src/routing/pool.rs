//! The pool of links to searchers and the calls on them.

use super::connection_attempts::ConnectionAttempts;
use super::{CallId, LinkId, SearcherProtocol};
use fernglade::decaying_count::DecayingCount;
use fernglade::mix::mix;
use fernglade::{Moment, Searcher, Span, Ticket};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// The progress of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallState {
    /// Its link is not connected yet.
    AwaitingLink,
    /// Submitted for writing.
    Submitted,
    /// Withdrawal has been requested, which succeeds only if nothing has been written.
    Withdrawing,
    /// Its last byte has been written.
    Written,
}

/// A call on a link. It occupies one slot of the link until the outcome of its last part is known.
pub struct Call {
    pub parts: Vec<Ticket>,
    pub state: CallState,
    /// When its last byte was written or, before that, when it was assigned to its link.
    pub sent_at: Moment,
    /// Ids of parts cancelled after the call was submitted.
    pub cancelled: Vec<String>,
}

/// A connection to a searcher.
pub struct Link {
    pub to: Searcher,
    pub address: SocketAddr,
    pub protocol: SearcherProtocol,
    pub connected: bool,
    pub calls: BTreeMap<CallId, Call>,
    pub probing: bool,
    /// When a complete message last arrived; the default value if none has.
    pub last_received: Moment,
    /// Since when an incoming frame has been incomplete.
    pub partial_read_since: Option<Moment>,
    /// Since when an outgoing frame has been partially written.
    pub partial_write_since: Option<Moment>,
    /// A part timed out on this link and nothing arrived while it waited. The link gets no new calls.
    pub unresponsive: bool,
    /// When a call was last assigned to it, and a decaying count of the calls after the first.
    last_used: Option<Moment>,
    reuse_count: DecayingCount,
    /// Ids of cancelled parts that may still be answered; only the latest are kept.
    cancelled: VecDeque<String>,
}

/// Links unused for this long are evicted first. Also the window over which uses are counted.
const RECENT_USE_WINDOW: Span = Span::from_millis(10_000);

/// A full pool evicts up to this fraction (1/n) of its capacity.
const EVICTION_DIVISOR: usize = 3;

/// Twice the number of parts a link carries at once in our deployments. Ids of parts that are never answered
/// push each other out.
const MAX_CANCELLED_IDS: usize = 64;

/// How valuable an idle link is when the pool is full.
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

    /// Remembers a cancelled part whose answer may still arrive.
    pub fn note_cancelled(&mut self, id: String) {
        if self.cancelled.len() == MAX_CANCELLED_IDS {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(id);
    }

    /// Whether this part was cancelled on this link. Forgets the id, as at most one late answer is ignored.
    pub fn take_cancelled(&mut self, id: &str) -> bool {
        let at = self.cancelled.iter().position(|other| other == id);
        at.and_then(|at| self.cancelled.remove(at)).is_some()
    }

    /// Assigns a call to the link.
    pub fn add_call(&mut self, id: CallId, call: Call) {
        if self.last_used.replace(call.sent_at).is_some() {
            self.reuse_count.note(call.sent_at, RECENT_USE_WINDOW);
        }
        self.calls.insert(id, call);
    }

    /// Whether neither calls nor a health probe are outstanding.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && !self.probing
    }

    /// Records that a complete message arrived.
    pub fn note_received(&mut self, now: Moment) {
        (self.last_received, self.unresponsive) = (now, false);
    }
}

/// All links of this mixer, bounded by the descriptors reserved for them.
#[derive(Default)]
pub struct LinkPool {
    pub links: BTreeMap<LinkId, Link>,
    /// Links being closed; they hold a descriptor until they are.
    pub closing: BTreeSet<LinkId>,
    pub attempts: ConnectionAttempts,
    /// Calls that a link carries at once, and parts that a call carries.
    pub max_calls_per_link: usize,
    pub max_parts_per_call: usize,
    /// Limit on links and hedged connection attempts.
    pub max_links: usize,
    last_id: u64,
}

impl LinkPool {
    /// A new id for a link or a call.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// A link with room for one more call. Prefers connected links, and among these the oldest, so that the
    /// others can become idle.
    pub fn find_available(&self, to: Searcher, address: SocketAddr) -> Option<LinkId> {
        let max_calls = |link: &Link| match link.protocol {
            SearcherProtocol::Frames => self.max_calls_per_link,
            // Responses arrive in the order of the requests, so a slow one would block the next.
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

    /// Any link to a searcher that isn't known to be unresponsive.
    pub fn find_responsive(&self, to: Searcher, address: SocketAddr) -> Option<LinkId> {
        self.links_to(to, address).filter(|(_, link)| !link.unresponsive).map(|(id, _)| id).next()
    }

    /// Removes a searcher's links that have only an unanswered health probe outstanding.
    pub fn remove_unanswered_probes(&mut self, searcher: Searcher) -> Vec<LinkId> {
        let owes_probe = |link: &mut Link| link.to == searcher && std::mem::take(&mut link.probing);
        let unresponsive = self.links.extract_if(.., |_, link| owes_probe(link) && link.is_idle());
        let unresponsive: Vec<LinkId> = unresponsive.map(|(id, _)| id).collect();
        self.closing.extend(&unresponsive);
        unresponsive
    }

    /// The links to a searcher at its current address.
    fn links_to(&self, to: Searcher, address: SocketAddr) -> impl Iterator<Item = (LinkId, &Link)> {
        let matches = move |link: &Link| link.to == to && link.address == address;
        self.links.iter().filter(move |(_, link)| matches(link)).map(|(id, link)| (*id, link))
    }

    /// Descriptors in use by links, including closing ones, and by hedged connection attempts.
    pub fn descriptors_in_use(&self) -> usize {
        self.links.len() + self.closing.len() + self.attempts.hedges_in_flight()
    }

    /// Whether the limit on links is reached.
    pub fn is_full(&self) -> bool {
        self.links.len() + self.attempts.hedges_in_flight() >= self.max_links
    }

    /// Opens another link if the limit allows it.
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
            last_received: Moment::default(),
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

    /// Evicts the least valuable idle links, up to a fraction of the capacity, if the pool is full. Links
    /// unused for long go first, then links used only once, then the least reused ones. This serves a mixer
    /// that calls more searchers than it can hold links to: evicting all idle links, or the least recently
    /// used first, would drop the link of each searcher called in turn just before its next turn, and every
    /// call would need a new connection. Links used only once are evicted in random order, because it
    /// is unknown which will be used again; in any fixed order links no longer needed would keep out those
    /// that are. The cost is a few extra dials to a searcher that has only just come into use.
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

    /// Removes matching links on which nothing is outstanding.
    pub fn remove_idle(&mut self, matches: impl Fn(&Link) -> bool) -> Vec<LinkId> {
        let idle = self.links.extract_if(.., |_, link| link.is_idle() && matches(link));
        let idle: Vec<LinkId> = idle.map(|(id, _)| id).collect();
        self.closing.extend(&idle);
        idle
    }
}

#[cfg(test)]
mod tests;
