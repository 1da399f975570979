//! The clients' connections, and what each is about.

use super::ClientId;
use fernglade::{Moment, ScanId, Span};
use fernglade_admission::{Act, Guest, House, HouseRules, Standing};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// A request is to be whole so long after its first byte, and a connection's first so long after that came:
/// clients send theirs in one piece. Whoever connects is owed an answer or a close within three seconds; one
/// of them is for waiting on the porch.
pub const HALF_ASKED: Span = Span::from_millis(2_000);
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
    /// It was sent off. What it had asked by then is answered, and is the last.
    leaves: bool,
    /// When it came, if it is new; else when it fell idle or began to ask.
    since: Moment,
}

/// Who is inside, and what about. Who is let in, and who goes, is the house's to say.
pub struct Clients {
    here: BTreeMap<ClientId, Client>,
    house: House,
    acts: Vec<Act>,
}

impl Default for Clients {
    fn default() -> Self {
        Self::new(HouseRules::default(), 2)
    }
}

impl Clients {
    pub fn new(rules: HouseRules, most: usize) -> Self {
        Self { here: BTreeMap::new(), house: House::new(rules, most), acts: Vec::new() }
    }

    /// A connection was accepted.
    pub fn knocked(&mut self, client: ClientId, from: IpAddr, now: Moment) {
        self.acts.extend(self.house.arrive(now, Guest(client.0), from));
    }

    /// It was let in.
    pub fn came(&mut self, client: ClientId, now: Moment) {
        self.here.insert(client, Client { doing: Doing::Idle, new: true, leaves: false, since: now });
    }

    /// What the house has asked for since it was last asked; whoever is to leave is marked so.
    pub fn acts(&mut self) -> Vec<Act> {
        let acts = std::mem::take(&mut self.acts);
        for act in &acts {
            if let Act::Leave(Guest(id)) = act {
                let client = self.here.entry(ClientId(*id));
                client.and_modify(|client| (client.doing, client.leaves) = (Doing::Leaving, true));
            }
        }
        acts
    }

    fn stand(&mut self, client: ClientId, doing: Doing, now: Moment) {
        let standing = match doing {
            Doing::Idle => Standing::Idle,
            Doing::Asking(_) => Standing::Asking,
            Doing::Waiting(_) => Standing::Busy,
            Doing::Leaving => Standing::Leaving,
        };
        self.acts.extend(self.house.stand(now, Guest(client.0), standing));
    }

    pub fn due(&self, now: Moment) -> Option<Moment> {
        self.house.due(now)
    }

    pub fn tick(&mut self, now: Moment) {
        self.acts.extend(self.house.tick(now));
    }

    pub fn ran_short(&mut self, now: Moment) {
        self.acts.extend(self.house.ran_short(now));
    }

    pub fn set_most(&mut self, most: usize, now: Moment) {
        self.acts.extend(self.house.set_most(now, most));
    }

    pub fn set_rules(&mut self, rules: HouseRules, now: Moment) {
        self.acts.extend(self.house.set_rules(now, rules));
    }

    pub fn close(&mut self, now: Moment) {
        self.acts.extend(self.house.close(now));
    }

    /// When those turned away at the door are told to come back, where the operator says so.
    pub fn come_back(&self) -> Option<Span> {
        self.house.rules().come_back
    }

    pub fn gone(&mut self, client: ClientId, now: Moment) -> Option<Doing> {
        self.acts.extend(self.house.gone(now, Guest(client.0)));
        self.here.remove(&client).map(|client| client.doing)
    }

    /// What it asks counts from `began`, and is to be whole some time from now.
    pub fn stirred(&mut self, client_id: ClientId, began: Moment, now: Moment) {
        if let Some(client) = self.here.get_mut(&client_id) {
            client.doing = Doing::Asking(began);
            client.since = if client.new { client.since } else { now };
            self.stand(client_id, Doing::Asking(began), now);
        }
    }

    /// A whole request has come, or its answer went out.
    pub fn set(&mut self, client_id: ClientId, doing: Doing, now: Moment) {
        if let Some(client) = self.here.get_mut(&client_id) {
            let leaves = client.leaves || doing == Doing::Leaving;
            *client = Client { doing, new: false, leaves, since: now };
            self.stand(client_id, doing, now);
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
        self.here.is_empty() && self.house.is_empty()
    }

    /// Whether its connection ends with its answer: it was sent off, or it makes room.
    pub fn ends_with_answer(&self, client: ClientId, now: Moment) -> bool {
        let leaves = self.here.get(&client).is_some_and(|client| client.leaves);
        leaves || self.house.ends_with_answer(now, Guest(client.0))
    }

    /// Since when a request that is whole now has been coming; none where its client is not here, or waits for
    /// another.
    pub fn asking_since(&self, client: ClientId, now: Moment) -> Option<Moment> {
        match self.here.get(&client)?.doing {
            Doing::Asking(began) => Some(began),
            Doing::Idle | Doing::Leaving => Some(now),
            Doing::Waiting(_) => None,
        }
    }

    /// All idle ones leave, but for the new ones that came later.
    pub fn send_off_idle(&mut self, by: Moment, now: Moment) -> Vec<ClientId> {
        let leaves = |client: &Client| client.doing == Doing::Idle && (!client.new || client.since <= by);
        let idle: Vec<ClientId> =
            self.here.iter().filter(|(_, client)| leaves(client)).map(|(id, _)| *id).collect();
        idle.iter().for_each(|client| self.set(*client, Doing::Leaving, now));
        idle
    }
}
