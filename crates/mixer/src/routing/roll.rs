//! The searchers as the list names them: numbers, addresses, and the version to watch from.

use super::{Effect, Tongue};
use crate::protocol::lists::{News, Row};
use fernglade::{ListedSearcher, Searcher};
use fernglade_fronts::Numbers;
use fernglade_orders::Dialect;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Holds those on the list and no others.
#[derive(Default)]
pub struct Roll {
    numbers: Numbers<String>,
    lines: BTreeMap<Searcher, Line>,
    /// Where discovery is; nowhere until it is told.
    discovery: Option<SocketAddr>,
    /// What the next watch goes on from; none where the whole list is to be had first.
    version: Option<u64>,
    /// It has not answered since it broke, or moved: what it has is asked for, and nothing yet to come waited for.
    unheard: bool,
    /// Who speaks the query dialect.
    pub dialect: Dialect,
    /// The zone that it has a price to leave.
    pub dear_outside: Option<String>,
}

struct Line {
    tongue: Tongue,
    /// What a node of the query dialect said that it speaks, at this address.
    version: Option<String>,
    address: SocketAddr,
    ready: bool,
}

impl Roll {
    /// Discovery is there from now on, and what was had so far may be old: the whole list comes first.
    pub fn move_to(&mut self, discovery: SocketAddr) {
        (self.discovery, self.version, self.unheard) = (Some(discovery), None, true);
    }

    /// What discovery is to be asked next.
    pub fn watch(&self) -> Option<Effect> {
        self.discovery.map(|at| Effect::Watch { at, after: self.version, waits: !self.unheard })
    }

    /// A watch of it broke.
    pub fn broke(&mut self) {
        self.unheard = true;
    }

    /// Takes news in, and gives what the module is to hear. Of changes that are older than what was told before
    /// nothing is taken, as they might have a searcher ready again that drains: the whole list is to be had.
    pub fn take(&mut self, news: &News) -> Vec<ListedSearcher> {
        let back = !news.whole && self.version.is_some_and(|version| news.version < version);
        (self.version, self.unheard) = ((!back).then_some(news.version), false);
        if back {
            return Vec::new();
        }
        let named: BTreeSet<&String> = news.rows.iter().map(|row| &row.name).collect();
        if news.whole {
            self.keep(|name| named.contains(name));
        }
        let listings = news.rows.iter().map(|row| self.list(row)).collect();
        for gone in news.rows.iter().filter(|row| row.gone) {
            let searcher = self.numbers.remove(&gone.name);
            searcher.iter().for_each(|searcher| drop(self.lines.remove(searcher)));
        }
        listings
    }

    fn keep(&mut self, keep: impl Fn(&String) -> bool) {
        self.numbers.keep(keep);
        self.lines.retain(|searcher, _| self.numbers.name(*searcher).is_some());
    }

    fn list(&mut self, row: &Row) -> ListedSearcher {
        let searcher = self.numbers.number(&row.name);
        let tongue = if self.dialect.speaks(&row.name) { Tongue::Dialect } else { Tongue::Frames };
        let known = self.lines.get(&searcher).filter(|line| line.address == row.address);
        let version = known.and_then(|line| line.version.clone());
        self.lines.insert(searcher, Line { tongue, version, address: row.address, ready: row.ready });
        let dear = self.dear_outside.as_ref().is_some_and(|home| *home != row.zone);
        ListedSearcher { searcher, cell: row.cell, ready: row.ready, started: row.started, cross_zone: dear }
    }

    pub fn address(&self, searcher: Searcher) -> Option<SocketAddr> {
        self.lines.get(&searcher).map(|line| line.address)
    }

    pub fn tongue(&self, searcher: Searcher) -> Tongue {
        self.lines.get(&searcher).map(|line| line.tongue).unwrap_or_default()
    }

    pub fn knows_version(&self, searcher: Searcher) -> bool {
        self.lines.get(&searcher).is_some_and(|line| line.version.is_some())
    }

    /// True where it is news.
    pub fn note_version(&mut self, searcher: Searcher, version: &str) -> bool {
        let Some(line) = self.lines.get_mut(&searcher) else { return false };
        line.version.replace(version.into()).as_deref() != Some(version)
    }

    pub fn is_ready(&self, searcher: Searcher) -> bool {
        self.lines.get(&searcher).is_some_and(|line| line.ready)
    }

    pub fn name(&self, searcher: Searcher) -> Option<&String> {
        self.numbers.name(searcher)
    }

    /// Each that is listed: its name, its address, whether it is ready, what it speaks.
    pub fn rows(&self) -> impl Iterator<Item = Vec<String>> + '_ {
        self.lines.iter().map(|(searcher, line)| {
            let name = self.numbers.name(*searcher).cloned().unwrap_or_default();
            let ready = if line.ready { "ready" } else { "draining" };
            let version = line.version.as_deref().unwrap_or("unknown");
            let tongue = match line.tongue {
                Tongue::Dialect => format!("dialect-{version}"),
                Tongue::Frames => "frames".into(),
            };
            vec![name, line.address.to_string(), ready.into(), tongue]
        })
    }

    /// How many are ready, and how many are listed.
    pub fn ready_and_listed(&self) -> (usize, usize) {
        (self.lines.values().filter(|line| line.ready).count(), self.lines.len())
    }

    pub fn any_ready(&self) -> bool {
        self.lines.values().any(|line| line.ready)
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.lines.len()
    }
}
