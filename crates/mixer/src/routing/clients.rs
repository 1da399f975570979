//! The client connections and their activity.

use super::ClientId;
use fernglade::{Moment, ScanId, Span};
use fernglade_admission::{
    Activity, AdmissionAction, AdmissionController, AdmissionPolicy, ClientConnectionId,
};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Time limit for a request from its first byte, and for the first request of a connection from when it was
/// admitted; clients send a request in one piece. A client is owed an answer or a close within three seconds
/// of connecting, one of which is reserved for waiting for admission.
pub const REQUEST_TIMEOUT: Span = Span::from_millis(2_000);

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientActivity {
    /// No request is in progress.
    Idle,
    /// A request began to arrive at that time.
    SendingRequest(Moment),
    /// The client waits for the answer to a scan.
    AwaitingAnswer(ScanId),
    /// The connection closes once its pending output is written.
    Closing,
}

struct Client {
    activity: ClientActivity,
    /// No complete request has arrived yet.
    new: bool,
    /// The connection is being closed. A request that has already arrived is still answered, as the last one.
    closing: bool,
    /// When a new client was admitted; otherwise when it became idle or its request began to arrive.
    since: Moment,
}

/// The admitted clients. Admission control decides which clients are admitted and which are closed.
pub struct Clients {
    connected: BTreeMap<ClientId, Client>,
    admission: AdmissionController,
    actions: Vec<AdmissionAction>,
}

impl Default for Clients {
    fn default() -> Self {
        Self::new(AdmissionPolicy::default(), 2)
    }
}

impl Clients {
    /// Creates an empty set with the operator's admission policy.
    pub fn new(policy: AdmissionPolicy, max_clients: usize) -> Self {
        Self {
            connected: BTreeMap::new(),
            admission: AdmissionController::new(policy, max_clients),
            actions: Vec::new(),
        }
    }

    /// Reports an accepted connection to admission control.
    pub fn accepted(&mut self, client: ClientId, from: IpAddr, now: Moment) {
        self.actions.extend(self.admission.connection_accepted(now, ClientConnectionId(client.0), from));
    }

    /// Adds a client that was admitted.
    pub fn admitted(&mut self, client: ClientId, now: Moment) {
        self.connected
            .insert(client, Client { activity: ClientActivity::Idle, new: true, closing: false, since: now });
    }

    /// The actions requested by admission control since the last call. Clients that it closes are marked as
    /// closing.
    pub fn take_actions(&mut self) -> Vec<AdmissionAction> {
        let actions = std::mem::take(&mut self.actions);
        for action in &actions {
            if let AdmissionAction::Evict(ClientConnectionId(id)) = action {
                let client = self.connected.entry(ClientId(*id));
                client
                    .and_modify(|client| (client.activity, client.closing) = (ClientActivity::Closing, true));
            }
        }
        actions
    }

    fn report_activity(&mut self, client: ClientId, activity: ClientActivity, now: Moment) {
        let admission_activity = match activity {
            ClientActivity::Idle => Activity::Idle,
            ClientActivity::SendingRequest(_) => Activity::ReceivingRequest,
            ClientActivity::AwaitingAnswer(_) => Activity::ScanOpen,
            ClientActivity::Closing => Activity::Closing,
        };
        self.actions.extend(self.admission.activity_changed(
            now,
            ClientConnectionId(client.0),
            admission_activity,
        ));
    }

    /// When [`Self::tick`] is next to be called.
    pub fn due(&self, now: Moment) -> Option<Moment> {
        self.admission.next_tick(now)
    }

    /// Lets admission control act on the passage of time.
    pub fn tick(&mut self, now: Moment) {
        self.actions.extend(self.admission.tick(now));
    }

    /// Reports that descriptors or memory ran out.
    pub fn out_of_resources(&mut self, now: Moment) {
        self.actions.extend(self.admission.descriptors_exhausted(now));
    }

    /// Changes the number of clients that may be connected at once.
    pub fn set_max_clients(&mut self, max_clients: usize, now: Moment) {
        self.actions.extend(self.admission.set_capacity(now, max_clients));
    }

    /// Applies a changed admission policy of the operator.
    pub fn set_policy(&mut self, policy: AdmissionPolicy, now: Moment) {
        self.actions.extend(self.admission.set_policy(now, policy));
    }

    /// Stops admitting clients for good.
    pub fn stop_admitting(&mut self, now: Moment) {
        self.actions.extend(self.admission.shut_down(now));
    }

    /// The retry time sent to rejected clients, if the operator configured one.
    pub fn rejection_retry_after(&self) -> Option<Span> {
        self.admission.policy().retry_after
    }

    /// Removes a client, and returns what it was doing.
    pub fn disconnected(&mut self, client: ClientId, now: Moment) -> Option<ClientActivity> {
        self.actions.extend(self.admission.connection_closed(now, ClientConnectionId(client.0)));
        self.connected.remove(&client).map(|client| client.activity)
    }

    /// Records that a request has been arriving since `started_at`. The time limit to complete it starts now.
    pub fn request_started(&mut self, client_id: ClientId, started_at: Moment, now: Moment) {
        if let Some(client) = self.connected.get_mut(&client_id) {
            client.activity = ClientActivity::SendingRequest(started_at);
            client.since = if client.new { client.since } else { now };
            self.report_activity(client_id, ClientActivity::SendingRequest(started_at), now);
        }
    }

    /// Records that a complete request has arrived or that its answer was sent.
    pub fn set_activity(&mut self, client_id: ClientId, activity: ClientActivity, now: Moment) {
        if let Some(client) = self.connected.get_mut(&client_id) {
            let closing = client.closing || activity == ClientActivity::Closing;
            *client = Client { activity, new: false, closing, since: now };
            self.report_activity(client_id, activity, now);
        }
    }

    /// Whether the request or the silence that began at `since` has run out of time.
    pub fn is_request_incomplete(&self, client: ClientId, since: Moment) -> bool {
        let incomplete = |client: &Client| match client.activity {
            ClientActivity::Idle => client.new,
            ClientActivity::SendingRequest(_) => true,
            ClientActivity::AwaitingAnswer(_) | ClientActivity::Closing => false,
        };
        self.connected.get(&client).is_some_and(|client| client.since == since && incomplete(client))
    }

    /// Whether a scan of this client is open.
    pub fn awaits_answer(&self, client: ClientId) -> bool {
        let connected = self.connected.get(&client);
        connected.is_some_and(|client| matches!(client.activity, ClientActivity::AwaitingAnswer(_)))
    }

    /// Whether no client is left, neither admitted nor waiting for admission.
    pub fn is_empty(&self) -> bool {
        self.connected.is_empty() && self.admission.is_empty()
    }

    /// Whether the connection closes after the current answer, because it is being closed anyway or to make
    /// room.
    pub fn closes_after_answer(&self, client: ClientId, now: Moment) -> bool {
        let closing = self.connected.get(&client).is_some_and(|client| client.closing);
        closing || self.admission.closes_after_response(now, ClientConnectionId(client.0))
    }

    /// When a now complete request began to arrive; `None` if its client is gone or still waits for another
    /// answer.
    pub fn request_start(&self, client: ClientId, now: Moment) -> Option<Moment> {
        match self.connected.get(&client)?.activity {
            ClientActivity::SendingRequest(started_at) => Some(started_at),
            ClientActivity::Idle | ClientActivity::Closing => Some(now),
            ClientActivity::AwaitingAnswer(_) => None,
        }
    }

    /// Closes all idle clients except new ones that connected after `by`.
    pub fn close_idle(&mut self, by: Moment, now: Moment) -> Vec<ClientId> {
        let closing =
            |client: &Client| client.activity == ClientActivity::Idle && (!client.new || client.since <= by);
        let idle: Vec<ClientId> =
            self.connected.iter().filter(|(_, client)| closing(client)).map(|(id, _)| *id).collect();
        idle.iter().for_each(|client| self.set_activity(*client, ClientActivity::Closing, now));
        idle
    }
}
