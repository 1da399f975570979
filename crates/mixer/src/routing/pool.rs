//! The links to searchers, and the calls on them.

use super::connection_attempts::ConnectionAttempts;
use super::{CallId, LinkId, Tongue};
use fernglade::decaying_count::DecayingCount;
use fernglade::mix::mix;
use fernglade::{Moment, Searcher, Span, Ticket};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stand {
    /// Its link is not up yet.
    Held,
    /// Handed over to be written.
    Handed,
    /// To be taken back, if that is still possible.
    Recalled,
    /// Its last byte was written.
    Out,
}

/// Takes one place on its link until its last part has landed.
pub struct Call {
    pub parts: Vec<Ticket>,
    pub stand: Stand,
    /// When its last byte was written, or it was put on its link.
    pub left: Moment,
    /// Ids given up while it could not be taken back.
    pub given_up: Vec<String>,
}

pub struct Link {
    pub to: Searcher,
    pub address: SocketAddr,
    pub tongue: Tongue,
    pub up: bool,
    pub calls: BTreeMap<CallId, Call>,
    pub checking: bool,
    /// When anything whole last came over it, if ever.
    pub heard: Moment,
    /// Since when a frame has been half said.
    pub amid: Option<Moment>,
    /// Since when a frame of ours has been half written.
    pub half_written: Option<Moment>,
    /// A part was waited for over it until its time was up, and nothing came all the while.
    pub mute: bool,
    /// When a call was last put on it, and how often one was of late, but for the first.
    used: Option<Moment>,
    reused: DecayingCount,
    /// Ids of parts that were given up and may yet be answered, the latest.
    given_up: VecDeque<String>,
}

/// A link that was not used for so long is given up first, and over so long its uses are counted.
const USED_OVER: Span = Span::from_millis(10_000);

/// A full pool is cleared of this part of the links it may hold.
const CLEARED_PART: usize = 3;

/// Twice what a link of our deployments carries at once; parts that are lost for good push each other out.
const MOST_GIVEN_UP: usize = 64;

/// What an idle link is worth to a pool that has no room for all.
struct Worth {
    recent: bool,
    reused: f64,
    lot: u64,
}

impl Worth {
    fn compare(&self, other: &Self) -> Ordering {
        let by_use = self.recent.cmp(&other.recent).then(self.reused.total_cmp(&other.reused));
        by_use.then(self.lot.cmp(&other.lot))
    }
}

impl Link {
    fn worth(&self, id: LinkId, now: Moment) -> Worth {
        Worth {
            recent: self.used.is_some_and(|at| now.since(at) < USED_OVER),
            reused: self.reused.at(now, USED_OVER),
            lot: mix(id.0 ^ now.micros()),
        }
    }

    pub fn give_up(&mut self, id: String) {
        if self.given_up.len() == MOST_GIVEN_UP {
            self.given_up.pop_front();
        }
        self.given_up.push_back(id);
    }

    /// Whether it was waited for here once; its answer is passed over, once.
    pub fn gave_up(&mut self, id: &str) -> bool {
        let at = self.given_up.iter().position(|other| other == id);
        at.and_then(|at| self.given_up.remove(at)).is_some()
    }

    /// Puts a call on it.
    pub fn carry(&mut self, id: CallId, call: Call) {
        if self.used.replace(call.left).is_some() {
            self.reused.note(call.left, USED_OVER);
        }
        self.calls.insert(id, call);
    }

    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && !self.checking
    }

    pub fn heard(&mut self, now: Moment) {
        (self.heard, self.mute) = (now, false);
    }
}

/// Bounded by the descriptors set aside for it.
#[derive(Default)]
pub struct Pool {
    pub links: BTreeMap<LinkId, Link>,
    /// Let go, and not over yet: they hold a descriptor until they are.
    pub closing: BTreeSet<LinkId>,
    pub attempts: ConnectionAttempts,
    /// Calls that a link carries at once, and parts that a call holds.
    pub per_link: usize,
    pub per_call: usize,
    pub most: usize,
    count: u64,
}

impl Pool {
    pub fn number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// The link that has room for one more call: one that is up before one that is not, and of these the one
    /// that has served longest, so that the others can fall idle.
    pub fn with_room(&self, to: Searcher, address: SocketAddr) -> Option<LinkId> {
        let most = |link: &Link| match link.tongue {
            Tongue::Frames => self.per_link,
            // Answers come in the order of questions: one at a time, or a slow one would hold up the next.
            Tongue::Dialect => 1,
        };
        let fits = |link: &Link| {
            link.calls.len() < most(link) && link.amid.is_none() && link.half_written.is_none() && !link.mute
        };
        self.of(to, address).filter(|(_, link)| fits(link)).min_by_key(|(_, link)| !link.up).map(|(id, _)| id)
    }

    pub fn any(&self, to: Searcher, address: SocketAddr) -> Option<LinkId> {
        self.of(to, address).filter(|(_, link)| !link.mute).map(|(id, _)| id).next()
    }

    /// Takes out a searcher's links that owe the answer to a check and nothing else.
    pub fn drop_mute(&mut self, of: Searcher) -> Vec<LinkId> {
        let owes = |link: &mut Link| link.to == of && std::mem::take(&mut link.checking);
        let mute = self.links.extract_if(.., |_, link| owes(link) && link.is_idle());
        let mute: Vec<LinkId> = mute.map(|(id, _)| id).collect();
        self.closing.extend(&mute);
        mute
    }

    /// The links to a searcher at its present address.
    fn of(&self, to: Searcher, address: SocketAddr) -> impl Iterator<Item = (LinkId, &Link)> {
        let here = move |link: &Link| link.to == to && link.address == address;
        self.links.iter().filter(move |(_, link)| here(link)).map(|(id, link)| (*id, link))
    }

    /// Descriptors held by links, those that close and further attempts included.
    pub fn held(&self) -> usize {
        self.links.len() + self.closing.len() + self.attempts.beside()
    }

    pub fn is_full(&self) -> bool {
        self.links.len() + self.attempts.beside() >= self.most
    }

    /// A further link, where descriptors are left for one.
    pub fn open(&mut self, to: Searcher, address: SocketAddr, tongue: Tongue) -> Option<LinkId> {
        if self.is_full() {
            return None;
        }
        let id = LinkId(self.number());
        let link = Link {
            to,
            address,
            tongue,
            up: false,
            calls: BTreeMap::new(),
            checking: false,
            heard: Moment::default(),
            amid: None,
            half_written: None,
            mute: false,
            used: None,
            reused: DecayingCount::default(),
            given_up: VecDeque::new(),
        };
        self.links.insert(id, link);
        Some(id)
    }

    /// Takes out the idle links that are worth least, up to a part of what the pool may hold; none where it is not
    /// full. First go those that have not been used for long, then any that were never used again, then those used
    /// again least. Guards against a mixer that needs more searchers than it may hold links to: were all idle links
    /// let go of, or the longest idle first, searchers that are needed by turns would each lose their link before
    /// their next turn, and every call would be dialled for. Those never used again go by lot, as nobody knows which
    /// of them will be: in any fixed order links that nobody needs any more would keep out those that are needed.
    /// Hurts a searcher that has just begun to be needed, by a few dials.
    pub fn make_room(&mut self, now: Moment) -> Vec<LinkId> {
        if !self.is_full() {
            return Vec::new();
        }
        let idle = self.links.iter().filter(|(_, link)| link.is_idle());
        let mut idle: Vec<(Worth, LinkId)> = idle.map(|(id, link)| (link.worth(*id, now), *id)).collect();
        idle.sort_by(|a, b| a.0.compare(&b.0));
        idle.truncate(self.most.div_ceil(CLEARED_PART));
        let cleared: Vec<LinkId> = idle.into_iter().map(|(_, id)| id).collect();
        cleared.iter().for_each(|id| drop(self.links.remove(id)));
        self.closing.extend(&cleared);
        cleared
    }

    /// Takes out the links on which nothing is going on.
    pub fn drop_idle(&mut self, of: impl Fn(&Link) -> bool) -> Vec<LinkId> {
        let idle = self.links.extract_if(.., |_, link| link.is_idle() && of(link));
        let idle: Vec<LinkId> = idle.map(|(id, _)| id).collect();
        self.closing.extend(&idle);
        idle
    }
}

#[cfg(test)]
mod tests;
