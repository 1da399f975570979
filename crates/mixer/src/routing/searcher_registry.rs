//! The searchers as the list names them: numbers, addresses, and the version to watch from.

use super::{Effect, SearcherProtocol};
use crate::protocol::lists::{News, Row};
use fernglade::{Listing, Searcher};
use fernglade_fronts::Numbers;
use fernglade_orders::Dialect;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Holds those on the list and no others.
#[derive(Default)]
pub struct SearcherRegistry {
    numbers: Numbers<String>,
    searchers: BTreeMap<Searcher, RegisteredSearcher>,
    /// Where discovery is; nowhere until it is told.
    discovery: Option<SocketAddr>,
    /// What the next watch goes on from; none where the whole list is to be had first.
    version: Option<u64>,
    /// It has not answered since it broke, or moved: what it has is asked for, and nothing yet to come waited for.
    stale: bool,
    /// Who speaks the query dialect.
    pub query_api: Dialect,
    /// The zone that it has a price to leave.
    pub costly_outside_zone: Option<String>,
}

struct RegisteredSearcher {
    protocol: SearcherProtocol,
    /// What a node of the query dialect said that it speaks, at this address.
    version: Option<String>,
    address: SocketAddr,
    ready: bool,
}

impl SearcherRegistry {
    /// Discovery is there from now on, and what was had so far may be old: the whole list comes first.
    pub fn move_to(&mut self, discovery: SocketAddr) {
        (self.discovery, self.version, self.stale) = (Some(discovery), None, true);
    }

    /// What discovery is to be asked next.
    pub fn watch_effect(&self) -> Option<Effect> {
        self.discovery.map(|at| Effect::WatchDiscovery { at, after: self.version, long_poll: !self.stale })
    }

    /// A watch of it broke.
    pub fn watch_failed(&mut self) {
        self.stale = true;
    }

    /// Takes news in, and gives what the module is to hear. Of changes that are older than what was told before
    /// nothing is taken, as they might have a searcher ready again that drains: the whole list is to be had.
    pub fn apply(&mut self, news: &News) -> Vec<Listing> {
        let older = !news.whole && self.version.is_some_and(|version| news.version < version);
        (self.version, self.stale) = ((!older).then_some(news.version), false);
        if older {
            return Vec::new();
        }
        let named: BTreeSet<&String> = news.rows.iter().map(|row| &row.name).collect();
        if news.whole {
            self.retain(|name| named.contains(name));
        }
        let listings = news.rows.iter().map(|row| self.upsert(row)).collect();
        for removed in news.rows.iter().filter(|row| row.gone) {
            let searcher = self.numbers.remove(&removed.name);
            searcher.iter().for_each(|searcher| drop(self.searchers.remove(searcher)));
        }
        listings
    }

    fn retain(&mut self, keep: impl Fn(&String) -> bool) {
        self.numbers.keep(keep);
        self.searchers.retain(|searcher, _| self.numbers.name(*searcher).is_some());
    }

    fn upsert(&mut self, row: &Row) -> Listing {
        let searcher = self.numbers.number(&row.name);
        let protocol = if self.query_api.speaks(&row.name) {
            SearcherProtocol::QueryApi
        } else {
            SearcherProtocol::Frames
        };
        let known = self.searchers.get(&searcher).filter(|entry| entry.address == row.address);
        let version = known.and_then(|entry| entry.version.clone());
        self.searchers.insert(
            searcher,
            RegisteredSearcher { protocol, version, address: row.address, ready: row.ready },
        );
        let dear = self.costly_outside_zone.as_ref().is_some_and(|home| *home != row.zone);
        Listing { searcher, cell: row.cell, ready: row.ready, started: row.started, dear }
    }

    pub fn address(&self, searcher: Searcher) -> Option<SocketAddr> {
        self.searchers.get(&searcher).map(|entry| entry.address)
    }

    pub fn protocol(&self, searcher: Searcher) -> SearcherProtocol {
        self.searchers.get(&searcher).map(|entry| entry.protocol).unwrap_or_default()
    }

    pub fn knows_version(&self, searcher: Searcher) -> bool {
        self.searchers.get(&searcher).is_some_and(|entry| entry.version.is_some())
    }

    /// True where it is news.
    pub fn record_version(&mut self, searcher: Searcher, version: &str) -> bool {
        let Some(entry) = self.searchers.get_mut(&searcher) else { return false };
        entry.version.replace(version.into()).as_deref() != Some(version)
    }

    pub fn is_ready(&self, searcher: Searcher) -> bool {
        self.searchers.get(&searcher).is_some_and(|entry| entry.ready)
    }

    pub fn name(&self, searcher: Searcher) -> Option<&String> {
        self.numbers.name(searcher)
    }

    /// Each that is listed: its name, its address, whether it is ready, what it speaks.
    pub fn rows(&self) -> impl Iterator<Item = Vec<String>> + '_ {
        self.searchers.iter().map(|(searcher, entry)| {
            let name = self.numbers.name(*searcher).cloned().unwrap_or_default();
            let ready = if entry.ready { "ready" } else { "draining" };
            let version = entry.version.as_deref().unwrap_or("unknown");
            let protocol = match entry.protocol {
                SearcherProtocol::QueryApi => format!("dialect-{version}"),
                SearcherProtocol::Frames => "frames".into(),
            };
            vec![name, entry.address.to_string(), ready.into(), protocol]
        })
    }

    /// How many are ready, and how many are listed.
    pub fn ready_and_total(&self) -> (usize, usize) {
        (self.searchers.values().filter(|entry| entry.ready).count(), self.searchers.len())
    }

    pub fn any_ready(&self) -> bool {
        self.searchers.values().any(|entry| entry.ready)
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.searchers.len()
    }
}
