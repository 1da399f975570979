//! The clients' connections, and what each is about.

use super::ClientId;
use fernglade::{Moment, ScanId, Span};
use fernglade_admission::{Act, Guest, House, HouseRules, Standing};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// A request is to be whole so long after its first byte, and a connection's first so long after that came:
/// clients send theirs in one piece. Whoever connects is owed an answer or a close within three seconds; one
/// of them is for waiting on the porch.
pub const REQUEST_TIMEOUT: Span = Span::of_millis(2_000);
/// What a client is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientActivity {
    Idle,
    /// A request has begun to come, then.
    SendingRequest(Moment),
    AwaitingAnswer(ScanId),
    /// Its connection ends with what is being written to it.
    Closing,
}

struct Client {
    activity: ClientActivity,
    /// Nothing whole has come from it yet.
    new: bool,
    /// It was sent off. What it had asked by then is answered, and is the last.
    closing: bool,
    /// When it came, if it is new; else when it fell idle or started_at to ask.
    since: Moment,
}

/// Who is inside, and what about. Who is let in, and who goes, is the house's to say.
pub struct Clients {
    connected: BTreeMap<ClientId, Client>,
    admission: House,
    actions: Vec<Act>,
}

impl Default for Clients {
    fn default() -> Self {
        Self::new(HouseRules::default(), 2)
    }
}

impl Clients {
    pub fn new(rules: HouseRules, max_clients: usize) -> Self {
        Self { connected: BTreeMap::new(), admission: House::new(rules, max_clients), actions: Vec::new() }
    }

    /// A connection was accepted.
    pub fn accepted(&mut self, client: ClientId, from: IpAddr, now: Moment) {
        self.actions.extend(self.admission.arrive(now, Guest(client.0), from));
    }

    /// It was let in.
    pub fn admitted(&mut self, client: ClientId, now: Moment) {
        self.connected
            .insert(client, Client { activity: ClientActivity::Idle, new: true, closing: false, since: now });
    }

    /// What the house has asked for since it was last asked; whoever is to leave is marked so.
    pub fn take_actions(&mut self) -> Vec<Act> {
        let actions = std::mem::take(&mut self.actions);
        for action in &actions {
            if let Act::Leave(Guest(id)) = action {
                let client = self.connected.entry(ClientId(*id));
                client
                    .and_modify(|client| (client.activity, client.closing) = (ClientActivity::Closing, true));
            }
        }
        actions
    }

    fn report_activity(&mut self, client: ClientId, activity: ClientActivity, now: Moment) {
        let standing = match activity {
            ClientActivity::Idle => Standing::Idle,
            ClientActivity::SendingRequest(_) => Standing::Asking,
            ClientActivity::AwaitingAnswer(_) => Standing::Busy,
            ClientActivity::Closing => Standing::Leaving,
        };
        self.actions.extend(self.admission.stand(now, Guest(client.0), standing));
    }

    pub fn due(&self, now: Moment) -> Option<Moment> {
        self.admission.due(now)
    }

    pub fn tick(&mut self, now: Moment) {
        self.actions.extend(self.admission.tick(now));
    }

    pub fn out_of_resources(&mut self, now: Moment) {
        self.actions.extend(self.admission.ran_short(now));
    }

    pub fn set_max_clients(&mut self, max_clients: usize, now: Moment) {
        self.actions.extend(self.admission.set_most(now, max_clients));
    }

    pub fn set_rules(&mut self, rules: HouseRules, now: Moment) {
        self.actions.extend(self.admission.set_rules(now, rules));
    }

    pub fn stop_admitting(&mut self, now: Moment) {
        self.actions.extend(self.admission.close(now));
    }

    /// When those turned away at the door are told to come back, where the operator says so.
    pub fn refusal_retry_after(&self) -> Option<Span> {
        self.admission.rules().come_back
    }

    pub fn disconnected(&mut self, client: ClientId, now: Moment) -> Option<ClientActivity> {
        self.actions.extend(self.admission.gone(now, Guest(client.0)));
        self.connected.remove(&client).map(|client| client.activity)
    }

    /// What it asks counts from `started_at`, and is to be whole some time from now.
    pub fn request_started(&mut self, client_id: ClientId, started_at: Moment, now: Moment) {
        if let Some(client) = self.connected.get_mut(&client_id) {
            client.activity = ClientActivity::SendingRequest(started_at);
            client.since = if client.new { client.since } else { now };
            self.report_activity(client_id, ClientActivity::SendingRequest(started_at), now);
        }
    }

    /// A whole request has come, or its answer went out.
    pub fn set_activity(&mut self, client_id: ClientId, activity: ClientActivity, now: Moment) {
        if let Some(client) = self.connected.get_mut(&client_id) {
            let closing = client.closing || activity == ClientActivity::Closing;
            *client = Client { activity, new: false, closing, since: now };
            self.report_activity(client_id, activity, now);
        }
    }

    /// Whether what was to be whole by now, since then, is not.
    pub fn is_request_incomplete(&self, client: ClientId, since: Moment) -> bool {
        let incomplete = |client: &Client| match client.activity {
            ClientActivity::Idle => client.new,
            ClientActivity::SendingRequest(_) => true,
            ClientActivity::AwaitingAnswer(_) | ClientActivity::Closing => false,
        };
        self.connected.get(&client).is_some_and(|client| client.since == since && incomplete(client))
    }

    pub fn is_empty(&self) -> bool {
        self.connected.is_empty() && self.admission.is_empty()
    }

    /// Whether its connection ends with its answer: it was sent off, or it makes room.
    pub fn closes_after_answer(&self, client: ClientId, now: Moment) -> bool {
        let closing = self.connected.get(&client).is_some_and(|client| client.closing);
        closing || self.admission.ends_with_answer(now, Guest(client.0))
    }

    /// Since when a request that is whole now has been coming; none where its client is not here, or waits for
    /// another.
    pub fn request_start(&self, client: ClientId, now: Moment) -> Option<Moment> {
        match self.connected.get(&client)?.activity {
            ClientActivity::SendingRequest(started_at) => Some(started_at),
            ClientActivity::Idle | ClientActivity::Closing => Some(now),
            ClientActivity::AwaitingAnswer(_) => None,
        }
    }

    /// All idle ones leave, but for the new ones that came later.
    pub fn close_idle(&mut self, by: Moment, now: Moment) -> Vec<ClientId> {
        let closing =
            |client: &Client| client.activity == ClientActivity::Idle && (!client.new || client.since <= by);
        let idle: Vec<ClientId> =
            self.connected.iter().filter(|(_, client)| closing(client)).map(|(id, _)| *id).collect();
        idle.iter().for_each(|client| self.set_activity(*client, ClientActivity::Closing, now));
        idle
    }
}
