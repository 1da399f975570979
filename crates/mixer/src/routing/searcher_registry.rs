//! The searchers listed by discovery: their ids, addresses, and the list version to watch from.

use super::{Effect, SearcherProtocol};
use crate::protocol::discovery::{ListUpdate, SearcherEntry, MAX_SEARCHERS};
use fernglade::{ListedSearcher, Searcher};
use fernglade_fronts::SearcherIds;
use fernglade_orders::Dialect;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The searchers on the current list.
#[derive(Default)]
pub struct SearcherRegistry {
    ids: SearcherIds<String>,
    searchers: BTreeMap<Searcher, RegisteredSearcher>,
    /// The address of discovery, once known.
    discovery: Option<SocketAddr>,
    /// The version that the next watch continues from; `None` if the whole list has to be fetched first.
    version: Option<u64>,
    /// How many updates were applied.
    updates: u64,
    /// Discovery has not answered since it failed or moved, so the next request must return at once and not
    /// long-poll.
    stale: bool,
    /// Which searchers speak the query API.
    pub query_api: Dialect,
    /// Traffic out of this zone is charged for; searchers in other zones are marked accordingly.
    pub costly_outside_zone: Option<String>,
}

/// What the decision module has to be told of an update.
pub struct AppliedUpdate {
    /// `searchers` is the whole list; those missing from it are gone.
    pub is_full: bool,
    pub searchers: Vec<ListedSearcher>,
}

/// One listed searcher.
struct RegisteredSearcher {
    listed: ListedSearcher,
    /// The number of the update that last named it.
    named_by: u64,
    protocol: SearcherProtocol,
    /// The version that a query API node reported at this address.
    version: Option<String>,
    address: SocketAddr,
}

impl SearcherRegistry {
    /// Switches to discovery at another address. What is known may be outdated, so the whole list is fetched
    /// first.
    pub fn move_to(&mut self, discovery: SocketAddr) {
        (self.discovery, self.version, self.stale) = (Some(discovery), None, true);
    }

    /// The next request to discovery.
    pub fn watch_effect(&self) -> Option<Effect> {
        self.discovery.map(|at| Effect::WatchDiscovery { at, after: self.version, long_poll: !self.stale })
    }

    /// Records that a request to discovery failed.
    pub fn watch_failed(&mut self) {
        self.stale = true;
    }

    /// Applies a discovery update, and returns what of it the decision module has to be told: of a list that
    /// continues from the last one only what has changed, as most of a long one has not. Changes older
    /// than the current version are ignored and the whole list is requested, because they could mark a
    /// draining searcher as ready again. So are changes after which more searchers were known than a list may
    /// have: a discovery that adds names without end must not take memory without end.
    pub fn apply(&mut self, update: &ListUpdate) -> AppliedUpdate {
        let continues = self.version.is_some();
        let older = !update.is_full && self.version.is_some_and(|version| update.version < version);
        let unusable = older || self.known_after(update) > MAX_SEARCHERS;
        (self.version, self.stale) = ((!unusable).then_some(update.version), false);
        if unusable {
            return AppliedUpdate { is_full: false, searchers: Vec::new() };
        }
        self.updates += 1;
        let mut searchers = Vec::new();
        for entry in &update.entries {
            let (listed, has_changed) = self.upsert(entry);
            searchers.extend((has_changed || !continues).then_some(listed));
        }
        for removed in update.entries.iter().filter(|entry| entry.removed) {
            let searcher = self.ids.remove(&removed.name);
            searcher.iter().for_each(|searcher| drop(self.searchers.remove(searcher)));
        }
        if update.is_full {
            let gone = self.remove_unnamed();
            searchers.extend(gone.into_iter().filter(|_| continues));
        }
        AppliedUpdate { is_full: update.is_full && !continues, searchers }
    }

    /// Removes the searchers that the last update did not name, and returns them as no longer ready.
    fn remove_unnamed(&mut self) -> Vec<ListedSearcher> {
        let update = self.updates;
        let unnamed = self.searchers.extract_if(.., |_, registered| registered.named_by != update);
        let gone: Vec<ListedSearcher> =
            unnamed.map(|(_, registered)| ListedSearcher { ready: false, ..registered.listed }).collect();
        for searcher in &gone {
            if let Some(name) = self.ids.name(searcher.searcher).cloned() {
                self.ids.remove(&name);
            }
        }
        gone
    }

    /// How many searchers are known after an update, before those that it removes are gone.
    fn known_after(&self, update: &ListUpdate) -> usize {
        if update.is_full {
            return update.entries.len();
        }
        let new = update.entries.iter().filter(|entry| self.ids.get(&entry.name).is_none()).count();
        self.searchers.len() + new
    }

    /// Registers a searcher as it is listed, and returns whether that has changed.
    fn upsert(&mut self, entry: &SearcherEntry) -> (ListedSearcher, bool) {
        let searcher = self.ids.get_or_assign(&entry.name);
        let cross_zone = self.costly_outside_zone.as_ref().is_some_and(|home| *home != entry.zone);
        let listed = ListedSearcher {
            searcher,
            cell: entry.cell,
            ready: entry.ready,
            started: entry.started_at,
            cross_zone,
        };
        let known = self.searchers.get_mut(&searcher).filter(|known| known.address == entry.address);
        if let Some(known) = known {
            known.named_by = self.updates;
            return (listed, std::mem::replace(&mut known.listed, listed) != listed);
        }
        let protocol = match self.query_api.is_node(&entry.name) {
            true => SearcherProtocol::QueryApi,
            false => SearcherProtocol::Frames,
        };
        let (address, named_by) = (entry.address, self.updates);
        let registered = RegisteredSearcher { listed, named_by, protocol, version: None, address };
        self.searchers.insert(searcher, registered);
        (listed, true)
    }

    /// The address of a listed searcher.
    pub fn address(&self, searcher: Searcher) -> Option<SocketAddr> {
        self.searchers.get(&searcher).map(|entry| entry.address)
    }

    /// The protocol that a searcher speaks.
    pub fn protocol(&self, searcher: Searcher) -> SearcherProtocol {
        self.searchers.get(&searcher).map(|entry| entry.protocol).unwrap_or_default()
    }

    /// Whether a query API node has reported its version.
    pub fn knows_version(&self, searcher: Searcher) -> bool {
        self.searchers.get(&searcher).is_some_and(|entry| entry.version.is_some())
    }

    /// Stores the version that a node reported, and returns whether it has changed.
    pub fn record_version(&mut self, searcher: Searcher, version: &str) -> bool {
        let Some(entry) = self.searchers.get_mut(&searcher) else { return false };
        entry.version.replace(version.into()).as_deref() != Some(version)
    }

    /// Whether a searcher is listed as ready.
    pub fn is_ready(&self, searcher: Searcher) -> bool {
        self.searchers.get(&searcher).is_some_and(|entry| entry.listed.ready)
    }

    /// The name of a listed searcher.
    pub fn name(&self, searcher: Searcher) -> Option<&String> {
        self.ids.name(searcher)
    }

    /// A table row for each listed searcher: name, address, state and protocol.
    pub fn rows(&self) -> impl Iterator<Item = Vec<String>> + '_ {
        self.searchers.iter().map(|(searcher, entry)| {
            let name = self.ids.name(*searcher).cloned().unwrap_or_default();
            let ready = if entry.listed.ready { "ready" } else { "draining" };
            let version = entry.version.as_deref().unwrap_or("unknown");
            let protocol = match entry.protocol {
                SearcherProtocol::QueryApi => format!("dialect-{version}"),
                SearcherProtocol::Frames => "frames".into(),
            };
            vec![name, entry.address.to_string(), ready.into(), protocol]
        })
    }

    /// The number of ready searchers, and of all listed ones.
    pub fn ready_and_total(&self) -> (usize, usize) {
        (self.searchers.values().filter(|entry| entry.listed.ready).count(), self.searchers.len())
    }

    /// Whether any listed searcher is ready.
    pub fn any_ready(&self) -> bool {
        self.searchers.values().any(|entry| entry.listed.ready)
    }

    /// The number of listed searchers.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.searchers.len()
    }
}
