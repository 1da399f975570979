//! The clients' connections, and which may go when places run short.

use super::ClientId;
use fernglade::{Moment, ScanId, Span};
use std::collections::BTreeMap;

/// A request is to be whole so long after its first byte, and a connection's first so long after that came:
/// clients send theirs in one piece. Whoever connects is owed an answer or a close within three seconds; one
/// of them is for waiting outside.
pub const HALF_ASKED: Span = Span::of_millis(2_000);
/// Who has just come, answered or begun to ask is not sent off to make room: usual clients' requests are whole
/// within milliseconds. Longer would leave who stands outside there.
pub const SETTLING: Span = Span::of_millis(100);

/// What a client is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Doing {
    Idle,
    /// A request has begun to come, then.
    Asking(Moment),
    Waiting(ScanId),
    /// Its connection ends with what is being written to it.
    Leaving,
}

struct Client {
    doing: Doing,
    /// Nothing whole has come from it yet.
    new: bool,
    /// When it came, if it is new; else when it fell idle or began to ask.
    since: Moment,
}

#[derive(Default)]
pub struct Clients {
    here: BTreeMap<ClientId, Client>,
    /// How many are let in at most.
    pub most: usize,
    shut_out: bool,
}

impl Clients {
    pub fn came(&mut self, client: ClientId, now: Moment) {
        self.here.insert(client, Client { doing: Doing::Idle, new: true, since: now });
    }

    pub fn gone(&mut self, client: ClientId) -> Option<Doing> {
        self.here.remove(&client).map(|client| client.doing)
    }

    pub fn doing(&self, client: ClientId) -> Option<Doing> {
        self.here.get(&client).map(|client| client.doing)
    }

    pub fn stirred(&mut self, client: ClientId, now: Moment) {
        if let Some(client) = self.here.get_mut(&client) {
            client.doing = Doing::Asking(now);
            client.since = if client.new { client.since } else { now };
        }
    }

    /// A whole request has come, or its answer went out.
    pub fn set(&mut self, client: ClientId, doing: Doing, now: Moment) {
        if let Some(client) = self.here.get_mut(&client) {
            *client = Client { doing, new: false, since: now };
        }
    }

    /// Whether what was to be whole by now, since then, is not.
    pub fn is_half_asked(&self, client: ClientId, since: Moment) -> bool {
        let half = |client: &Client| match client.doing {
            Doing::Idle => client.new,
            Doing::Asking(_) => true,
            Doing::Waiting(_) | Doing::Leaving => false,
        };
        self.here.get(&client).is_some_and(|client| client.since == since && half(client))
    }

    pub fn is_empty(&self) -> bool {
        self.here.is_empty()
    }

    /// More than half of the places are taken: answers end their connections, as idle ones hold places that
    /// their clients and others could use.
    pub fn are_many(&self) -> bool {
        self.here.len() * 2 > self.most
    }

    /// Whether somebody has to leave: all places are taken, by those who stay.
    pub fn are_too_many(&self) -> bool {
        let staying = self.here.values().filter(|client| client.doing != Doing::Leaving).count();
        staying >= self.most
    }

    /// All idle ones leave, but for the new ones that came later.
    pub fn send_off_idle(&mut self, by: Moment) -> Vec<ClientId> {
        let leaves = |client: &Client| client.doing == Doing::Idle && (!client.new || client.since <= by);
        let idle = self.here.iter_mut().filter(|(_, client)| leaves(client));
        idle.map(|(id, client)| {
            client.doing = Doing::Leaving;
            *id
        })
        .collect()
    }

    /// The one that has been idle, or half asked, longest leaves, if it has been so by then.
    pub fn send_off_longest(&mut self, by: Moment) -> Option<ClientId> {
        let still = |client: &Client| matches!(client.doing, Doing::Idle | Doing::Asking(_));
        let still = self.here.iter_mut().filter(|(_, client)| still(client) && client.since <= by);
        let (id, client) = still.min_by_key(|(_, client)| client.since)?;
        client.doing = Doing::Leaving;
        Some(*id)
    }

    /// Whether the door is to be opened or shut; none where it stands as it should.
    pub fn door(&mut self) -> Option<bool> {
        let full = self.here.len() >= self.most;
        let changed = full != self.shut_out;
        self.shut_out = full;
        changed.then_some(!full)
    }
}
