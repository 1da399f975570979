//! The clients' connections, and which may go when places run short.

use super::ClientId;
use fernglade::{Moment, ScanId};
use std::collections::BTreeMap;

/// What a client is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Doing {
    Idle(Moment),
    /// A request has begun to come.
    Asking(Moment),
    Waiting(ScanId),
    /// Its connection ends with what is being written to it.
    Leaving,
}

#[derive(Default)]
pub struct Clients {
    here: BTreeMap<ClientId, Doing>,
    /// How many are let in at most.
    pub most: usize,
    shut_out: bool,
}

impl Clients {
    pub fn came(&mut self, client: ClientId, now: Moment) {
        self.here.insert(client, Doing::Idle(now));
    }

    pub fn gone(&mut self, client: ClientId) -> Option<Doing> {
        self.here.remove(&client)
    }

    pub fn doing(&self, client: ClientId) -> Option<Doing> {
        self.here.get(&client).copied()
    }

    pub fn set(&mut self, client: ClientId, doing: Doing) {
        self.here.entry(client).and_modify(|now| *now = doing);
    }

    pub fn is_empty(&self) -> bool {
        self.here.is_empty()
    }

    /// All idle ones; they leave.
    pub fn send_off_idle(&mut self) -> Vec<ClientId> {
        let idle = self.here.iter_mut().filter(|(_, doing)| matches!(doing, Doing::Idle(_)));
        idle.map(|(client, doing)| {
            *doing = Doing::Leaving;
            *client
        })
        .collect()
    }

    /// Where all places are taken, the one that has been idle longest leaves for one that has just come.
    pub fn send_off_for(&mut self, newcomer: ClientId) -> Option<ClientId> {
        let leaving = self.here.values().filter(|doing| **doing == Doing::Leaving).count();
        if self.here.len() - leaving < self.most {
            return None;
        }
        self.send_off_longest_idle(Some(newcomer))
    }

    /// The one that has been idle longest leaves.
    pub fn send_off_longest_idle(&mut self, but: Option<ClientId>) -> Option<ClientId> {
        let since = |doing: &Doing| if let Doing::Idle(since) = doing { Some(*since) } else { None };
        let others = self.here.iter().filter(|(client, _)| Some(**client) != but);
        let idle = others.filter_map(|(client, doing)| Some((since(doing)?, *client)));
        let (_, client) = idle.min()?;
        self.set(client, Doing::Leaving);
        Some(client)
    }

    /// Whether the door is to be opened or shut; none where it stands as it should.
    pub fn door(&mut self) -> Option<bool> {
        let full = self.here.len() >= self.most;
        let changed = full != self.shut_out;
        self.shut_out = full;
        changed.then_some(!full)
    }
}
