//! The searchers as the list names them: numbers, addresses, and the version to watch from.

use super::Effect;
use crate::protocol::lists::{News, Row};
use fernglade::{Listing, Searcher};
use fernglade_fronts::Numbers;
use std::net::SocketAddr;

/// Grows with searchers ever listed.
#[derive(Default)]
pub struct Roll {
    numbers: Numbers<String>,
    lines: Vec<Option<Line>>,
    /// Where discovery is; nowhere until it is told.
    discovery: Option<SocketAddr>,
    /// What the next watch goes on from; none where the whole list is to be had first.
    version: Option<u64>,
    /// The zone that it has a price to leave.
    pub dear_outside: Option<String>,
}

struct Line {
    address: SocketAddr,
    ready: bool,
}

impl Roll {
    /// Discovery is there from now on, and what was had so far may be old: the whole list comes first.
    pub fn move_to(&mut self, discovery: SocketAddr) {
        (self.discovery, self.version) = (Some(discovery), None);
    }

    /// What discovery is to be asked next.
    pub fn watch(&self) -> Option<Effect> {
        self.discovery.map(|at| Effect::Watch { at, after: self.version })
    }

    /// Takes news in, and gives what the module is to hear. After a list of changes that is older than what
    /// was told before, the whole list is to be had.
    pub fn take(&mut self, news: &News) -> Vec<Listing> {
        let back = !news.whole && self.version.is_some_and(|version| news.version < version);
        self.version = (!back).then_some(news.version);
        if news.whole {
            self.lines.iter_mut().flatten().for_each(|line| line.ready = false);
        }
        news.rows.iter().map(|row| self.list(row)).collect()
    }

    fn list(&mut self, row: &Row) -> Listing {
        let searcher = self.numbers.number(&row.name);
        let count = self.lines.len().max(searcher.0 as usize + 1);
        self.lines.resize_with(count, || None);
        self.lines[searcher.0 as usize] = Some(Line { address: row.address, ready: row.ready });
        let dear = self.dear_outside.as_ref().is_some_and(|home| *home != row.zone);
        Listing { searcher, cell: row.cell, ready: row.ready, started: row.started, dear }
    }

    pub fn address(&self, searcher: Searcher) -> Option<SocketAddr> {
        self.lines.get(searcher.0 as usize)?.as_ref().map(|line| line.address)
    }

    pub fn is_ready(&self, searcher: Searcher) -> bool {
        self.lines.get(searcher.0 as usize).is_some_and(|line| line.as_ref().is_some_and(|l| l.ready))
    }

    pub fn name(&self, searcher: Searcher) -> String {
        self.numbers.name(searcher).clone()
    }

    pub fn any_ready(&self) -> bool {
        self.lines.iter().flatten().any(|line| line.ready)
    }
}
