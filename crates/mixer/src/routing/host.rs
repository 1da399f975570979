//! The `Host` implementation for the decision module: turns its calls into effects, and maps its ids to
//! scans, relays and links.

use super::clients::{ClientActivity, Clients};
use super::connection_attempts::HedgeDecision;
use super::executed_ids::ExecutedIds;
use super::pool::{Call, CallState, Link, LinkPool};
use super::query::{self, MultiSearch, QueryContext};
use super::scan_counters::{ScanCounters, ScanOutcome};
use super::searcher_registry::SearcherRegistry;
use super::timers::{Timer, Timers};
use super::{CallId, ClientId, Effect, LinkId, MemoryRefusals, Reply, SearcherProtocol};
use crate::protocol::frames::{NodeRequest, PartRequest};
use fernglade::{Host, Moment, RelayOutcome, ScanId, Searcher, Span, Ticket};
use fernglade_admission::MemoryBudget;
use fernglade_fronts::SlotMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A scan that has not received its final answer.
pub struct OpenScan {
    pub client: ClientId,
    pub name: String,
    pub idempotency_key: Option<String>,
    pub text: Rc<str>,
    /// Its traffic type, for the counters, and when its request began to arrive.
    pub traffic_type: usize,
    pub started_at: Moment,
    /// The shard of each part, and its value once answered.
    pub parts: Vec<(u32, Option<String>)>,
    /// The last unsuccessful outcome of each part, if any.
    pub last_failures: Vec<Option<RelayOutcome>>,
    /// Bytes that the values received so far take in the answer.
    pub answer_bytes: usize,
    /// The original request of the query API, if it was one, and the request sent to its nodes.
    pub query: Option<QueryContext>,
    pub node_request: Option<Rc<NodeRequest>>,
}

/// A relay without an outcome yet.
pub struct Relay {
    pub scan: ScanId,
    pub part: usize,
    pub to: Searcher,
    pub started_at: Moment,
    deadline: Moment,
    /// The link failed before this relay was written, and it was moved to another link.
    reassigned: bool,
    /// The result is no longer needed: the relay is withdrawn if it has not been written. Once it is written,
    /// the platform may not allow cancelling it.
    cancelled: bool,
    part_request: PartRequest,
    location: Option<(LinkId, CallId)>,
}

/// The part of the state that the decision module acts on.
#[derive(Default)]
pub struct MixerHost {
    pub now: Moment,
    pub effects: Vec<Effect>,
    pub clients: Clients,
    pub scans: SlotMap<OpenScan>,
    /// Names of the open scans; unique.
    pub open_names: BTreeSet<String>,
    /// Names of scans that may have run, open ones among them.
    pub executed_ids: ExecutedIds,
    /// Number of open scans and parts.
    pub open_items: usize,
    pub relays: BTreeMap<Ticket, Relay>,
    /// Relays started by the current event that have no link yet.
    unassigned: Vec<Ticket>,
    /// Finished relays not yet passed to the decision module.
    pub finished_relays: VecDeque<(Ticket, RelayOutcome, Span)>,
    /// Health probe results not yet passed to the decision module.
    pub probe_results: VecDeque<(Searcher, bool)>,
    /// Multi-search requests by client, removed when answered or when the client disconnects.
    pub multi_searches: BTreeMap<ClientId, MultiSearch>,
    /// Clients whose multi-search request can go on because its last scan has ended.
    pub resumable: VecDeque<ClientId>,
    pub pool: LinkPool,
    pub counters: ScanCounters,
    pub registry: SearcherRegistry,
    pub timers: Timers,
    /// The memory that may be held, and what the whole program has allocated.
    pub memory: MemoryBudget,
    pub allocated_bytes: usize,
    pub memory_refusals: MemoryRefusals,
    /// Requests refused because their id may have run.
    pub repeated_ids: u64,
    pub dial_timeout: Span,
    pub may_cancel: bool,
    pub shutting_down: bool,
}

/// The name of the scan that a part belongs to, from the part's id.
fn scan_name(part_id: &str) -> &str {
    part_id.rsplit_once('.').map_or(part_id, |(name, _)| name)
}

impl MixerHost {
    /// Records the outcome of a relay.
    pub fn finish_relay(&mut self, ticket: Ticket, outcome: RelayOutcome) -> Option<Relay> {
        let relay = self.relays.remove(&ticket)?;
        if let Some(last_failure) =
            self.scans.get_mut(relay.scan).and_then(|open| open.last_failures.get_mut(relay.part))
        {
            *last_failure = Some(outcome).filter(|outcome| *outcome != RelayOutcome::Succeeded);
        }
        self.finished_relays.push_back((ticket, outcome, self.now.since(relay.started_at)));
        Some(relay)
    }

    /// Stops waiting for a relay. If it has not been written, it never will be.
    pub fn abort_relay(&mut self, ticket: Ticket, outcome: RelayOutcome) {
        let Some(relay) = self.finish_relay(ticket, outcome) else { return };
        let (Some((link_id, call_id)), id) = (relay.location, relay.part_request.id) else { return };
        let Some(link) = self.pool.links.get_mut(&link_id) else { return };
        let Some(call) = link.calls.get_mut(&call_id) else { return };
        call.parts.retain(|other| *other != ticket);
        // The relay timed out; if nothing arrived on its link in the meantime, the link gets no new calls.
        link.unresponsive |= call.state == CallState::Written
            && self.now >= relay.deadline
            && call.sent_at > link.last_received;
        match call.state {
            CallState::AwaitingLink if call.parts.is_empty() => drop(link.calls.remove(&call_id)),
            CallState::AwaitingLink => {}
            CallState::Submitted | CallState::Withdrawing => {
                call.cancelled.push(id);
                if call.state == CallState::Submitted {
                    call.state = CallState::Withdrawing;
                    self.effects.push(Effect::WithdrawCall(link_id, call_id));
                }
                return;
            }
            CallState::Written => {
                if call.parts.is_empty() {
                    link.calls.remove(&call_id);
                }
                self.cancel_written(link_id, id);
            }
        }
        self.close_idle_links(|_, link| link.unresponsive);
    }

    /// The state of a relay's call, once it is assigned to a link.
    fn call_state(&self, ticket: Ticket) -> Option<CallState> {
        let (link, call) = self.relays.get(&ticket)?.location?;
        Some(self.pool.links.get(&link)?.calls.get(&call)?.state)
    }

    /// Requests withdrawal of a relay that was submitted for writing. If it has been written, its answer is
    /// awaited.
    fn withdraw_relay(&mut self, ticket: Ticket) {
        let Some(relay) = self.relays.get_mut(&ticket) else { return };
        let Some((link_id, call_id)) = relay.location else { return };
        relay.cancelled = true;
        let link = self.pool.links.get_mut(&link_id);
        if let Some(call) = link.and_then(|link| link.calls.get_mut(&call_id)) {
            if call.state == CallState::Submitted {
                call.state = CallState::Withdrawing;
                self.effects.push(Effect::WithdrawCall(link_id, call_id));
            }
        }
    }

    /// Cancels a part that has been written; its answer may still arrive.
    fn cancel_written(&mut self, link_id: LinkId, id: String) {
        if self.pool.links.get(&link_id).is_some_and(|link| link.protocol == SearcherProtocol::QueryApi) {
            return self.abort_link(link_id);
        }
        if self.may_cancel {
            self.effects.push(Effect::CancelPart { link: link_id, id: id.clone() });
        }
        if let Some(link) = self.pool.links.get_mut(&link_id) {
            link.note_cancelled(id);
        }
    }

    /// Closes a link with an outstanding answer that is no longer needed, as that answer would have to arrive
    /// before the next one.
    fn abort_link(&mut self, link_id: LinkId) {
        let Some(link) = self.pool.links.remove(&link_id) else { return };
        self.pool.closing.insert(link_id);
        self.probe_results.extend(link.probing.then_some((link.to, false)));
        self.effects.push(Effect::AbortLink(link_id));
    }

    /// Tickets are reused: only the relay with this very deadline is meant.
    pub fn relay_deadline_passed(&mut self, ticket: Ticket, deadline: Moment) {
        if self.relays.get(&ticket).is_some_and(|relay| relay.deadline == deadline) {
            self.abort_relay(ticket, RelayOutcome::TimedOut);
        }
    }

    /// Tickets are reused: only the relay started at this very time is meant. A relay that waits for its link
    /// is dropped, one that waits to be written is withdrawn.
    pub fn send_deadline_passed(&mut self, ticket: Ticket, started_at: Moment) {
        if self.relays.get(&ticket).is_none_or(|relay| relay.started_at != started_at) {
            return;
        }
        match self.call_state(ticket) {
            Some(CallState::Written) => {}
            Some(CallState::Submitted | CallState::Withdrawing) => self.withdraw_relay(ticket),
            Some(CallState::AwaitingLink) | None => self.abort_relay(ticket, RelayOutcome::NotSent),
        }
    }

    /// Finds an outstanding part on a link by its id.
    pub fn find_relay(&self, link: LinkId, id: &str) -> Option<(CallId, Ticket)> {
        let named =
            |ticket: &&Ticket| self.relays.get(ticket).is_some_and(|relay| relay.part_request.id == id);
        let within = |(number, call): (&CallId, &Call)| Some((*number, *call.parts.iter().find(named)?));
        self.pool.links.get(&link)?.calls.iter().find_map(within)
    }

    /// Submits the calls and the probe that waited for a link to connect.
    pub fn link_connected(&mut self, id: LinkId) {
        self.pool.attempts.connected(id, self.now);
        let Some(link) = self.pool.links.get_mut(&id) else { return };
        link.connected = true;
        let calls: Vec<CallId> = link.calls.keys().copied().collect();
        if link.protocol == SearcherProtocol::QueryApi && !self.registry.knows_version(link.to) {
            self.effects.push(Effect::RequestVersion(id));
        }
        if link.probing && self.registry.is_ready(link.to) {
            self.effects.push(Effect::ProbeHealth(id));
        }
        calls.into_iter().for_each(|call| self.submit_call(id, call));
    }

    /// Submits a call for writing.
    fn submit_call(&mut self, link_id: LinkId, call_id: CallId) {
        let Some(call) = self.pool.links.get_mut(&link_id).and_then(|l| l.calls.get_mut(&call_id)) else {
            return;
        };
        call.state = CallState::Submitted;
        let part_request = |ticket: &Ticket| {
            let relay = self.relays.get(ticket)?;
            let timeout_ms = (relay.deadline.since(self.now).micros() / 1000).max(1);
            Some(PartRequest { timeout_ms, ..relay.part_request.clone() })
        };
        let part_requests = call.parts.iter().filter_map(part_request).collect();
        self.effects.push(Effect::Call { link: link_id, call: call_id, part_requests });
    }

    /// Records that a call was written, and cancels its parts that were given up in the meantime.
    pub fn call_written(&mut self, link_id: LinkId, call_id: CallId) {
        let Some(link) = self.pool.links.get_mut(&link_id) else { return };
        let Some(call) = link.calls.get_mut(&call_id) else { return };
        (call.state, call.sent_at) = (CallState::Written, self.now);
        let cancelled = std::mem::take(&mut call.cancelled);
        let ids = call.parts.iter().filter_map(|ticket| Some(&self.relays.get(ticket)?.part_request.id));
        for part_id in ids.chain(&cancelled) {
            self.executed_ids.record(scan_name(part_id), self.now);
        }
        if call.parts.is_empty() {
            link.calls.remove(&call_id);
        }
        cancelled.into_iter().for_each(|id| self.cancel_written(link_id, id));
    }

    /// Records that a searcher has refused a part, which has not run there.
    pub fn part_refused(&mut self, part_id: &str) {
        self.executed_ids.refused(scan_name(part_id));
    }

    /// Handles a withdrawn call: parts still needed are sent again unless their searcher is no longer ready.
    pub fn call_withdrawn(&mut self, link_id: LinkId, call_id: CallId) {
        let Some(link) = self.pool.links.get_mut(&link_id) else { return };
        let Some(call) = link.calls.remove(&call_id) else { return };
        let ready = self.registry.is_ready(link.to);
        for ticket in call.parts {
            if self.relays.get(&ticket).is_some_and(|relay| relay.cancelled) {
                self.finish_relay(ticket, RelayOutcome::Cancelled);
            } else if ready {
                self.unassigned.push(ticket);
            } else {
                self.finish_relay(ticket, RelayOutcome::NotSent);
            }
        }
    }

    /// Moves an unwritten relay of a connected link that closed to a new link, once per relay. A searcher may
    /// close an idle link just as it is used again, which doesn't mean that the searcher is unreachable.
    pub fn reassign_after_break(&mut self, ticket: Ticket) -> bool {
        let Some(relay) = self.relays.get_mut(&ticket) else { return false };
        let reassigns = !relay.reassigned && !relay.cancelled && self.registry.is_ready(relay.to);
        relay.reassigned = true;
        self.unassigned.extend(reassigns.then_some(ticket));
        reassigns
    }

    /// Withdraws unwritten calls to searchers that are no longer ready or have changed their address, and
    /// closes their idle links.
    pub fn release_unready_links(&mut self) {
        let is_current = |registry: &SearcherRegistry, link: &Link| {
            registry.is_ready(link.to) && registry.address(link.to) == Some(link.address)
        };
        self.close_idle_links(|registry, link| !is_current(registry, link));
        let registry = &self.registry;
        let mut dropped = Vec::new();
        for (link_id, link) in self.pool.links.iter_mut().filter(|(_, link)| !is_current(registry, link)) {
            for (call_id, call) in &mut link.calls {
                match call.state {
                    CallState::AwaitingLink => dropped.push((*link_id, *call_id)),
                    CallState::Submitted => {
                        call.state = CallState::Withdrawing;
                        self.effects.push(Effect::WithdrawCall(*link_id, *call_id));
                    }
                    CallState::Withdrawing | CallState::Written => {}
                }
            }
        }
        dropped.into_iter().for_each(|(link, call)| self.call_withdrawn(link, call));
    }

    /// Closes matching links on which nothing is outstanding.
    fn close_idle_links(&mut self, matches: impl Fn(&SearcherRegistry, &Link) -> bool) {
        let idle = self.pool.remove_idle(|link| matches(&self.registry, link));
        self.effects.extend(idle.into_iter().map(Effect::CloseLink));
    }

    /// Assigns the relays started by the current event to links, batching those to the same searcher. Returns
    /// whether there were any.
    pub fn assign_relays(&mut self) -> bool {
        let had_relays = !self.unassigned.is_empty();
        let mut by_searcher: BTreeMap<Searcher, Vec<Ticket>> = BTreeMap::new();
        for ticket in std::mem::take(&mut self.unassigned) {
            if let Some(relay) = self.relays.get(&ticket) {
                by_searcher.entry(relay.to).or_default().push(ticket);
            }
        }
        for (to, tickets) in by_searcher {
            match self.registry.protocol(to) {
                SearcherProtocol::Frames => {
                    tickets
                        .chunks(self.pool.max_parts_per_call.max(1))
                        .for_each(|call| self.assign(to, call));
                }
                SearcherProtocol::QueryApi => {
                    tickets.into_iter().for_each(|ticket| self.assign_to_node(to, ticket))
                }
            }
        }
        had_relays
    }

    /// Sends one part to a query API node. A part that has no form in the query API is not sent.
    fn assign_to_node(&mut self, to: Searcher, ticket: Ticket) {
        if self.relays.get(&ticket).is_some_and(|relay| relay.part_request.node_request.is_some()) {
            self.assign(to, &[ticket]);
        } else {
            self.finish_relay(ticket, RelayOutcome::NotSent);
        }
    }

    fn assign(&mut self, to: Searcher, tickets: &[Ticket]) {
        let address = self.registry.address(to);
        let found = address
            .and_then(|address| self.pool.find_available(to, address).or_else(|| self.dial(to, address)));
        let Some(link_id) = found else {
            tickets.iter().for_each(|ticket| drop(self.finish_relay(*ticket, RelayOutcome::NotSent)));
            return;
        };
        let call_id = CallId(self.pool.next_id());
        for ticket in tickets {
            self.relays.entry(*ticket).and_modify(|relay| relay.location = Some((link_id, call_id)));
        }
        let Some(link) = self.pool.links.get_mut(&link_id) else { return };
        let (state, sent_at) = (CallState::AwaitingLink, self.now);
        let call = Call { parts: tickets.to_vec(), state, sent_at, cancelled: Vec::new() };
        link.add_call(call_id, call);
        if link.connected {
            self.submit_call(link_id, call_id);
        }
    }

    fn dial(&mut self, to: Searcher, address: std::net::SocketAddr) -> Option<LinkId> {
        let evicted = self.pool.evict_idle(self.now);
        self.effects.extend(evicted.into_iter().map(Effect::CloseLink));
        let protocol = self.registry.protocol(to);
        let link = self.pool.open(to, address, protocol)?;
        self.effects.push(Effect::Dial { link, to: address, timeout: self.dial_timeout, protocol });
        let hedge_at = self.pool.attempts.start(link, self.now, self.dial_timeout);
        self.timers.set(hedge_at, Timer::HedgeDialDue(link));
        Some(link)
    }

    /// Starts a hedged connection attempt if the dial takes too long.
    pub fn hedge_dial(&mut self, link: LinkId) {
        if !self.pool.links.contains_key(&link) {
            return;
        }
        let has_room = self.pool.descriptors_in_use() < self.pool.max_links;
        match self.pool.attempts.hedge_decision(link, self.now, self.dial_timeout, has_room) {
            HedgeDecision::Stop => {}
            HedgeDecision::Start(recheck_at) => {
                self.effects.push(Effect::HedgeDial(link));
                self.timers.set(recheck_at, Timer::HedgeDialDue(link));
            }
            HedgeDecision::Wait(recheck_at) => self.timers.set(recheck_at, Timer::HedgeDialDue(link)),
        }
    }

    /// Whether a scan of this name is open or may have run.
    pub fn is_name_used(&self, name: &str) -> bool {
        self.open_names.contains(name) || self.executed_ids.contains(name)
    }

    /// Answers a client, or adds the reply to its multi-search request.
    pub fn reply(&mut self, client: ClientId, reply: Reply, last: bool) {
        if let Some(multi_search) = self.multi_searches.get_mut(&client) {
            multi_search.record(&reply);
            self.resumable.push_back(client);
            return;
        }
        let last = last || self.shutting_down || self.clients.closes_after_answer(client, self.now);
        self.clients.set_activity(
            client,
            if last { ClientActivity::Closing } else { ClientActivity::Idle },
            self.now,
        );
        self.effects.push(Effect::Reply { client, reply, last });
    }

    /// Removes a scan and counts it by its outcome.
    pub fn close_scan(&mut self, id: ScanId, outcome: ScanOutcome) -> Option<OpenScan> {
        let open = self.scans.remove(id)?;
        self.counters.scan_ended(open.traffic_type, outcome, self.now.since(open.started_at));
        self.open_names.remove(&open.name);
        self.open_items -= 1 + open.parts.len();
        Some(open)
    }

    fn finish_scan(&mut self, id: ScanId, outcome: ScanOutcome, reply: impl FnOnce(OpenScan) -> Reply) {
        if let Some(open) = self.close_scan(id, outcome) {
            let client = open.client;
            self.reply(client, reply(open), false);
        }
    }
}

impl Host for MixerHost {
    fn now(&self) -> Moment {
        self.now
    }

    fn relay(&mut self, ticket: Ticket, scan: ScanId, part: usize, to: Searcher, timeout: Span) {
        let deadline = self.now + timeout;
        let Some(open) = self.scans.get(scan) else {
            self.finished_relays.push_back((ticket, RelayOutcome::NotSent, Span::ZERO));
            return;
        };
        let shard = open.parts[part].0;
        let (id, idempotency_key, text) =
            (format!("{}.{shard}", open.name), open.idempotency_key.clone(), open.text.clone());
        let part_request = PartRequest {
            id,
            shard,
            timeout_ms: 0,
            idempotency_key,
            text,
            node_request: open.node_request.clone(),
        };
        let relay = Relay {
            scan,
            part,
            to,
            started_at: self.now,
            deadline,
            reassigned: false,
            cancelled: false,
            part_request,
            location: None,
        };
        self.relays.insert(ticket, relay);
        self.counters.relays += 1;
        self.unassigned.push(ticket);
        self.timers.set(deadline, Timer::RelayDeadline(ticket, deadline));
    }

    fn set_send_deadline(&mut self, relay: Ticket, by: Moment) {
        if let Some(started_at) = self.relays.get(&relay).map(|relay| relay.started_at) {
            self.timers.set(by, Timer::SendDeadline(relay, started_at));
        }
    }

    /// A written relay is cancelled only where the platform allows it. An unwritten one is always withdrawn,
    /// because no searcher has it yet.
    fn cancel(&mut self, ticket: Ticket) {
        match self.call_state(ticket) {
            Some(CallState::Written) if !self.may_cancel => {}
            Some(CallState::Submitted | CallState::Withdrawing) if !self.may_cancel => {
                self.withdraw_relay(ticket)
            }
            _ => self.abort_relay(ticket, RelayOutcome::Cancelled),
        }
    }

    fn answer(&mut self, scan: ScanId, complete: bool, _last: bool) {
        let now = self.now;
        let values = |open: OpenScan| {
            if let Some(query) = &open.query {
                let merged_bytes =
                    open.parts.iter().filter_map(|(_, value)| Some(value.as_ref()?.len())).sum();
                return query::scan_reply(query, query.answer(&open, now), Span::ZERO, merged_bytes);
            }
            let parts = open.parts.into_iter();
            let values = parts.filter_map(|(shard, value)| Some((shard, value?))).collect();
            Reply::Answer { complete, values }
        };
        self.finish_scan(scan, ScanOutcome::Served, values);
    }

    fn reject(&mut self, scan: ScanId, retry_after: Span) {
        self.finish_scan(scan, ScanOutcome::Refused, |open| match &open.query {
            Some(query) => query::scan_reply(query, Err(query.rejection()), retry_after, 0),
            None => Reply::Rejected(retry_after),
        });
    }

    fn fail(&mut self, scan: ScanId) {
        self.finish_scan(scan, ScanOutcome::Failed, |open| match &open.query {
            Some(query) => query::scan_reply(query, Err(query.failure()), Span::ZERO, 0),
            None => Reply::Failed,
        });
    }

    fn set_timer(&mut self, ticket: Ticket, at: Moment) {
        self.timers.set(at, Timer::Routing(ticket));
    }

    fn probe(&mut self, searcher: Searcher) {
        let Some(address) = self.registry.address(searcher).filter(|_| self.registry.is_ready(searcher))
        else {
            return;
        };
        // Probes of one searcher are sequential: one that is still unanswered when the next begins won't be
        // answered.
        let unanswered = self.pool.remove_unanswered_probes(searcher);
        self.effects.extend(unanswered.into_iter().map(Effect::CloseLink));
        let found = self.pool.find_responsive(searcher, address).or_else(|| self.dial(searcher, address));
        let Some(link) = found.and_then(|id| self.pool.links.get_mut(&id)) else { return };
        link.probing = true;
        if link.connected {
            self.effects.extend(found.map(Effect::ProbeHealth));
        }
    }

    fn retire_connections(&mut self, searcher: Searcher) {
        self.close_idle_links(|_, link| link.to == searcher);
        self.pool
            .links
            .values_mut()
            .filter(|link| link.to == searcher)
            .for_each(|link| link.unresponsive = true);
    }

    fn watch_discovery(&mut self) {
        self.effects.extend(self.registry.watch_effect());
    }
}
