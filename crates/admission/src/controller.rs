//! The admission controller: connection slots, a queue for them, and whether connections are accepted at all.
//! It is a state machine; each call is one event.
//!
//! | state of a connection | event | next state |
//! | --- | --- | --- |
//! | new | `connection_accepted`, over a limit or a rate | rejected |
//! | new | `connection_accepted`, a slot is free for it | admitted, idle |
//! | new | `connection_accepted`, no free slot, the queue has room | queued; another is evicted if possible |
//! | new | `connection_accepted`, the queue is full, may displace another | queued; the other is rejected |
//! | new | `connection_accepted`, the queue is full, may displace no other | rejected |
//! | queued | a slot that it may use becomes free, and it is next | admitted, idle |
//! | queued | `tick` after [`MAX_QUEUE_WAIT`], or `shut_down` | rejected |
//! | admitted, idle | `activity_changed` to `ReceivingRequest` or `ScanOpen` | as given |
//! | admitted, idle or receiving | chosen to free a slot, or over a lowered limit | closing |
//! | admitted, scan open | `activity_changed` to `Idle`, over a lowered or the idle limit | idle; closing |
//! | any | `connection_closed` | forgotten; its slot becomes free |
//!
//! A connection with an open scan is never evicted.

use crate::connections::{Activity, Connection, Connections};
use crate::rate_limits::RateLimiters;
use crate::{AdmissionPolicy, ClientConnectionId, ClientKey};
use fernglade::{Moment, Span};
use std::net::IpAddr;

/// A connection that was just admitted, was just answered or just began to send a request is not evicted,
/// unless the client that needs the slot holds far fewer connections: a usual request is complete within
/// milliseconds.
pub const EVICTION_GRACE: Span = Span::from_millis(100);
/// How long a connection may be queued. A client that connects must get a response or a close within three
/// seconds, of which two are for sending the request and half a second is for waiting to be accepted.
pub const MAX_QUEUE_WAIT: Span = Span::from_millis(400);
/// How long accepting pauses while the queue is full. A burst then waits in the listen backlog, which costs
/// it nothing. Under lasting overload connections are accepted again and rejected, or those behind them would
/// wait for the whole backlog.
pub const MAX_ACCEPT_PAUSE: Span = Span::from_millis(500);
/// Overload ends when the queue has not been full for this long: twice the time for which a burst may wait in
/// the backlog. With less, clients that get their slots by turns would pause accepting over and over.
const OVERLOAD_CLEARS_AFTER: Span = Span::from_millis(1_000);
/// Slots withheld after descriptors ran out are returned one at a time, at this interval.
const SLOT_RECOVERY_INTERVAL: Span = Span::from_millis(100);
/// The queue takes an eighth of the descriptors for clients. At a hundred milliseconds a slot, the slots
/// together admit several queues' worth of connections within the maximum wait.
const QUEUE_DIVISOR: usize = 8;

/// What the caller must do about a connection or the listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionAction {
    /// Admit the connection: it has a slot.
    Admit(ClientConnectionId),
    /// Tell the client that it is rejected and close the connection. The controller has already forgotten it.
    Reject(ClientConnectionId, RejectReason),
    /// Close the connection, which has no open scan; `connection_closed` must be called once it is closed.
    Evict(ClientConnectionId),
    /// Whether to accept further connections.
    SetAccepting(bool),
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The client holds as many connections as one client may.
    ClientLimit,
    /// The clients of its prefix hold as many as one prefix may.
    PrefixLimit,
    /// This client, or all clients together, open connections too fast.
    RateLimit,
    /// No slot is free for it.
    NoFreeSlot,
    /// The mixer is shutting down.
    ShuttingDown,
}

/// Decides which client connections are admitted, queued, rejected and evicted.
pub struct AdmissionController {
    policy: AdmissionPolicy,
    /// The descriptors for client connections, the queue included.
    capacity: usize,
    /// How many slots were withheld when descriptors ran out, and when.
    withheld: (usize, Moment),
    connections: Connections,
    rate_limiters: RateLimiters,
    /// Since when there has been overload, and when the queue was last full.
    overload: Option<(Moment, Moment)>,
    accepting: bool,
    shutting_down: bool,
}

impl AdmissionController {
    /// A controller for at most `capacity` connections at a time, the queue included.
    pub fn new(policy: AdmissionPolicy, capacity: usize) -> Self {
        Self {
            policy,
            capacity: capacity.max(2),
            withheld: (0, Moment::default()),
            connections: Connections::default(),
            rate_limiters: RateLimiters::default(),
            overload: None,
            accepting: true,
            shutting_down: false,
        }
    }

    /// The policy in force.
    pub fn policy(&self) -> &AdmissionPolicy {
        &self.policy
    }

    fn queue_limit(&self) -> usize {
        (self.capacity / QUEUE_DIVISOR).max(1)
    }

    /// The slots for admitted connections at this time.
    pub fn slots(&self, now: Moment) -> usize {
        let recovered = now.since(self.withheld.1).micros() / SLOT_RECOVERY_INTERVAL.micros();
        let withheld = self.withheld.0.saturating_sub(recovered as usize);
        (self.capacity - self.queue_limit()).saturating_sub(withheld).max(1)
    }

    /// The number of admitted connections.
    pub fn admitted(&self) -> usize {
        self.connections.admitted
    }

    /// Whether there is no connection, queued or admitted.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether a connection closes after its next response: more than half of the descriptors for clients are
    /// in use, and idle connections hold slots that others could use. A known client may keep its reserved
    /// slot.
    pub fn closes_after_response(&self, now: Moment, id: ClientConnectionId) -> bool {
        let over_half = (self.connections.admitted + self.connections.queued_count()) * 2 > self.capacity;
        let reserved = self.connections.known_admitted <= self.policy.reserved_slots(self.slots(now));
        over_half && !(reserved && self.is_known(id))
    }

    /// The number of entries in all tables, for checks that closed connections leave none behind.
    pub fn table_entries(&self) -> usize {
        self.connections.table_entries() + self.rate_limiters.len()
    }

    /// A connection was accepted.
    pub fn connection_accepted(
        &mut self,
        now: Moment,
        id: ClientConnectionId,
        address: IpAddr,
    ) -> Vec<AdmissionAction> {
        let known = self.policy.known_networks.contains(address);
        self.connection_accepted_as(now, id, ClientKey::from_address(address), Some(address), known)
    }

    /// The same for a client that is identified by other means than its address.
    pub fn connection_accepted_as(
        &mut self,
        now: Moment,
        id: ClientConnectionId,
        client: ClientKey,
        address: Option<IpAddr>,
        known: bool,
    ) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.admit_queued(now, &mut actions);
        match self.check_limits(now, client, known) {
            Err(reason) => actions.push(AdmissionAction::Reject(id, reason)),
            Ok(displaced) => {
                if let Some(other) = displaced {
                    self.connections.remove(other);
                    actions.push(AdmissionAction::Reject(other, RejectReason::NoFreeSlot));
                }
                self.connections
                    .insert(id, Connection { client, address, known, activity: None, since: now });
                self.admit_queued(now, &mut actions);
                self.evict_for_queued(now, &mut actions);
            }
        }
        self.update_accepting(now, &mut actions);
        actions
    }

    /// Whether a client's new connection is within the limits, and which queued connection it displaces.
    fn check_limits(
        &mut self,
        now: Moment,
        client: ClientKey,
        known: bool,
    ) -> Result<Option<ClientConnectionId>, RejectReason> {
        if self.shutting_down {
            return Err(RejectReason::ShuttingDown);
        }
        let slots = self.slots(now);
        // The limits and rates apply to known clients only once the reserved slots are taken.
        if !(known && self.connections.known_admitted < self.policy.reserved_slots(slots)) {
            let held = self.connections.client_counts(client).held;
            if self.policy.per_client.is_some_and(|limit| held >= limit) {
                return Err(RejectReason::ClientLimit);
            }
            if self.policy.per_prefix.is_some_and(|limit| self.connections.prefix_count(client) >= limit) {
                return Err(RejectReason::PrefixLimit);
            }
            if !self.rate_limiters.take(now, client, self.policy.client_rate, self.policy.total_rate) {
                return Err(RejectReason::RateLimit);
            }
        }
        let waiting = self.connections.queued().filter(|(_, other)| self.is_known(*other) || !known).count();
        let gets_slot = self.free_slots(now, known) > waiting;
        if !gets_slot && self.connections.queued_count() >= self.queue_limit() {
            return self.displaced_by(client, known).map(Some).ok_or(RejectReason::NoFreeSlot);
        }
        Ok(None)
    }

    /// Which queued connection a new one displaces from a full queue: of the unknown ones, the latest of the
    /// client that holds most. A known client always displaces it; an unknown client only if the other client
    /// then still holds as many connections as the new one; `None` otherwise.
    fn displaced_by(&self, client: ClientKey, known: bool) -> Option<ClientConnectionId> {
        let held = |id: ClientConnectionId| {
            self.connections
                .get(id)
                .map_or(0, |connection| self.connections.client_counts(connection.client).held)
        };
        let unknown = self.connections.queued().filter(|(_, other)| !self.is_known(*other));
        let (_, id) = unknown.max_by_key(|(since, other)| (held(*other), *since, *other))?;
        let has_fewer = self.connections.client_counts(client).held + 2 <= held(id);
        (known || has_fewer).then_some(id)
    }

    fn is_known(&self, id: ClientConnectionId) -> bool {
        self.connections.get(id).is_some_and(|connection| connection.known)
    }

    /// The slots that a known or an unknown client could use now.
    fn free_slots(&self, now: Moment, known: bool) -> usize {
        let slots = self.slots(now);
        let all = slots.saturating_sub(self.connections.admitted);
        let idle = self.policy.idle_slots(slots).saturating_sub(self.connections.evictable_count());
        let reserved = self.policy.reserved_slots(slots);
        if known {
            // Reserved slots are for known clients whatever the others hold.
            return all.min(idle.max(reserved.saturating_sub(self.connections.known_admitted)));
        }
        let unknown =
            (slots - reserved).saturating_sub(self.connections.admitted - self.connections.known_admitted);
        all.min(unknown).min(idle)
    }

    /// Which connection to evict to free a slot: the longest idle of the client with the most evictable
    /// connections, if its grace period is over; else whichever has been idle longest, if its is; else, even
    /// within the grace period, one of a client that holds at least two more than the arriving client. Known
    /// ones are evicted for unknown ones only if they hold more than the reserved slots.
    fn eviction_candidate(
        &self,
        now: Moment,
        arriving: Option<(ClientKey, bool)>,
    ) -> Option<ClientConnectionId> {
        let reserved = self.policy.reserved_slots(self.slots(now));
        let over_limit = self.connections.known_admitted > reserved;
        let protects_known = arriving.is_some_and(|(_, known)| !known) && !over_limit;
        let past_grace = |since: Moment| now.since(since) >= EVICTION_GRACE;
        let largest = self.connections.largest_client(false);
        let largest =
            largest.into_iter().chain(self.connections.largest_client(true).filter(|_| !protects_known));
        let largest = largest.max_by_key(|(count, since, id)| (*count, std::cmp::Reverse((*since, *id))));
        let longest = self.connections.longest_idle(false).into_iter();
        let longest = longest.chain(self.connections.longest_idle(true).filter(|_| !protects_known)).min();
        let held = arriving.map_or(0, |(client, _)| self.connections.client_counts(client).held);
        // Among clients with equally many, the one idle longest is chosen.
        let longest_idle_count = longest.and_then(|(_, id)| {
            let connection = self.connections.get(id)?;
            Some(self.connections.client_counts(connection.client).evictable[usize::from(connection.known)])
        });
        match (largest.filter(|(count, ..)| longest_idle_count != Some(*count)), longest) {
            (Some((_, since, id)), _) if past_grace(since) => Some(id),
            (_, Some((since, id))) if past_grace(since) => Some(id),
            (Some((count, _, id)), _) if count >= held + 2 => Some(id),
            (None, Some((_, id))) if longest_idle_count >= Some(held + 2) => Some(id),
            _ => None,
        }
    }

    fn evict(
        &mut self,
        now: Moment,
        candidate: Option<ClientConnectionId>,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if let Some(id) = candidate {
            self.connections.change(id, |connection| {
                (connection.activity, connection.since) = (Some(Activity::Closing), now)
            });
            actions.push(AdmissionAction::Evict(id));
        }
    }

    /// Gives free slots to queued connections: known clients first, then clients that hold the fewest
    /// connections, then in order of arrival.
    fn admit_queued(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        while self.connections.queued_count() > 0 {
            let free = [self.free_slots(now, false), self.free_slots(now, true)];
            let rank = |(since, id): (Moment, ClientConnectionId)| {
                let connection = self.connections.get(id)?;
                let held = self.connections.client_counts(connection.client).held;
                (free[usize::from(connection.known)] > 0).then_some((!connection.known, held, since, id))
            };
            let Some((.., id)) = self.connections.queued().filter_map(rank).min() else { break };
            self.connections.change(id, |connection| {
                (connection.activity, connection.since) = (Some(Activity::Idle), now)
            });
            actions.push(AdmissionAction::Admit(id));
        }
    }

    /// Evicts a connection for each queued one for which none is closing yet, in the order in which they will
    /// be admitted.
    fn evict_for_queued(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        if self.connections.closing >= self.connections.queued_count() {
            return;
        }
        let queue_order = |(since, id): (Moment, ClientConnectionId)| {
            let connection = self.connections.get(id)?;
            Some((
                !connection.known,
                self.connections.client_counts(connection.client).held,
                since,
                id,
                connection.client,
            ))
        };
        let mut waiting: Vec<_> = self.connections.queued().filter_map(queue_order).collect();
        waiting.sort_unstable();
        for (unknown, .., client) in waiting.into_iter().skip(self.connections.closing) {
            let Some(candidate) = self.eviction_candidate(now, Some((client, !unknown))) else { break };
            self.evict(now, Some(candidate), actions);
        }
    }

    /// Pauses accepting for a while when the queue is full. Under overload that lasts longer, connections are
    /// accepted again to be rejected, until the overload is over.
    fn update_accepting(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        let full = self.connections.queued_count() >= self.queue_limit();
        self.overload = match self.overload {
            Some((_, last)) if !full && now.since(last) >= OVERLOAD_CLEARS_AFTER => None,
            Some((since, _)) if full => Some((since, now)),
            None if full => Some((now, now)),
            unchanged => unchanged,
        };
        let open = !full || self.overload.is_some_and(|(since, _)| now.since(since) >= MAX_ACCEPT_PAUSE);
        if open != self.accepting {
            self.accepting = open;
            actions.push(AdmissionAction::SetAccepting(open));
        }
    }

    /// Evicts connections without an open scan that exceed their limit, then gives free slots to queued ones.
    fn enforce_idle_limit(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        let limit = self.policy.idle_slots(self.slots(now));
        while self.connections.evictable_count() > limit {
            let candidate =
                self.connections.largest_client(false).or_else(|| self.connections.largest_client(true));
            self.evict(now, candidate.map(|(.., id)| id), actions);
        }
        self.admit_queued(now, actions);
        self.update_accepting(now, actions);
    }

    /// An admitted connection changed its activity.
    pub fn activity_changed(
        &mut self,
        now: Moment,
        id: ClientConnectionId,
        activity: Activity,
    ) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        let Some(connection) = self.connections.get(id).copied() else { return actions };
        if connection.activity.is_none() || connection.activity == Some(Activity::Closing) {
            return actions;
        }
        self.connections
            .change(id, |connection| (connection.activity, connection.since) = (Some(activity), now));
        if activity == Activity::Idle {
            let over_limit = self
                .policy
                .per_client
                .is_some_and(|limit| self.connections.client_counts(connection.client).held > limit);
            if over_limit {
                self.evict(now, Some(id), &mut actions);
            }
        }
        self.enforce_idle_limit(now, &mut actions);
        actions
    }

    /// A connection is closed and its descriptor is free again.
    pub fn connection_closed(&mut self, now: Moment, id: ClientConnectionId) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        if self.connections.remove(id).is_some() {
            self.admit_queued(now, &mut actions);
            self.update_accepting(now, &mut actions);
        }
        actions
    }

    /// Descriptors ran out in spite of the budget: evicts a connection and withholds as many slots as are not
    /// covered, to be returned one at a time.
    pub fn descriptors_exhausted(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        let limit = self.capacity - self.queue_limit();
        let covered = self.connections.admitted.saturating_sub(1).clamp(1, limit);
        self.withheld = (limit - covered, now);
        if self.connections.closing == 0 {
            let candidate = self.eviction_candidate(now, None);
            self.evict(now, candidate, &mut actions);
        }
        actions
    }

    /// Sets the number of descriptors for clients: closing searcher connections take precedence over new
    /// clients.
    pub fn set_capacity(&mut self, now: Moment, capacity: usize) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        if self.capacity != capacity.max(2) {
            self.capacity = capacity.max(2);
            self.admit_queued(now, &mut actions);
            self.update_accepting(now, &mut actions);
        }
        actions
    }

    /// Applies a new policy. Of clients over a lowered limit, idle connections are evicted, longest idle
    /// first; those with an open scan stay until they are answered.
    pub fn set_policy(&mut self, now: Moment, policy: AdmissionPolicy) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.policy = policy;
        let connections: Vec<(ClientConnectionId, Connection)> =
            self.connections.entries().map(|(id, connection)| (id, *connection)).collect();
        for (id, connection) in &connections {
            let known = connection
                .address
                .map_or(connection.known, |address| self.policy.known_networks.contains(address));
            if known != connection.known {
                self.connections.change(*id, |connection| connection.known = known);
            }
        }
        if let Some(limit) = self.policy.per_client {
            let mut idle: Vec<_> =
                connections.iter().filter(|(_, connection)| connection.is_evictable()).collect();
            idle.sort_by_key(|(id, connection)| (connection.since, *id));
            let mut remaining: std::collections::BTreeMap<ClientKey, usize> =
                std::collections::BTreeMap::new();
            for (id, connection) in idle {
                let remaining = remaining
                    .entry(connection.client)
                    .or_insert(self.connections.client_counts(connection.client).held);
                if *remaining > limit {
                    *remaining -= 1;
                    self.evict(now, Some(*id), &mut actions);
                }
            }
        }
        self.enforce_idle_limit(now, &mut actions);
        actions
    }

    /// Stops admitting: the mixer is shutting down. Queued connections are admitted if a slot is free and
    /// rejected otherwise.
    pub fn shut_down(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.shutting_down = true;
        self.admit_queued(now, &mut actions);
        self.reject_queued(|_| true, RejectReason::ShuttingDown, &mut actions);
        actions
    }

    fn reject_queued(
        &mut self,
        selects: impl Fn(Moment) -> bool,
        reason: RejectReason,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let waiting: Vec<ClientConnectionId> =
            self.connections.queued().filter(|(since, _)| selects(*since)).map(|(_, id)| id).collect();
        for id in waiting {
            self.connections.remove(id);
            actions.push(AdmissionAction::Reject(id, reason));
        }
    }

    /// When `tick` is to be called next, if at all.
    pub fn next_tick(&self, now: Moment) -> Option<Moment> {
        let (first, _) = self.connections.queued().next()?;
        let reopens = self.overload.filter(|_| !self.accepting).map(|(since, _)| since + MAX_ACCEPT_PAUSE);
        let grace_ends =
            self.connections.longest_idle(false).into_iter().chain(self.connections.longest_idle(true)).min();
        let grace_ends = grace_ends.map(|(since, _)| since + EVICTION_GRACE).filter(|at| *at > now);
        let next_recovery =
            (self.slots(now) < self.capacity - self.queue_limit()).then(|| now + SLOT_RECOVERY_INTERVAL);
        [Some(first + MAX_QUEUE_WAIT), reopens, grace_ends, next_recovery].into_iter().flatten().min()
    }

    /// Time has passed: grace periods or queue waits may be over, and accepting may resume.
    pub fn tick(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.reject_queued(
            |since| now.since(since) >= MAX_QUEUE_WAIT,
            RejectReason::NoFreeSlot,
            &mut actions,
        );
        self.admit_queued(now, &mut actions);
        self.evict_for_queued(now, &mut actions);
        self.update_accepting(now, &mut actions);
        actions
    }
}
