//! The state of the mixer, and [`reduce`], the only function that changes it.

use super::clients::{ClientActivity, Clients, REQUEST_TIMEOUT};
use super::executed_ids::ExecutedIds;
use super::host::{MixerHost, OpenScan};
use super::pool::CallState;
use super::query::{self, Indices, MultiSearch, NextSearch, QueryContext};
use super::scan_counters::{ScanCounters, ScanOutcome};
use super::timers::Timer;
use super::{ClientId, CloseReason, Effect, Event, LinkId, Metrics, QueryWork, Reply, SearcherProtocol};
use crate::protocol::discovery::ListUpdate;
use crate::protocol::frames::PartOutcome;
use crate::protocol::scans::{RequestError, ScanRequest, PART_OVERHEAD_BYTES};
use crate::protocol::MAX_BODY_BYTES;
use fernglade::choice::Mixer;
use fernglade::{Host, Idempotency, Moment, PartSpec, RelayOutcome, ScanSpec, Span, Ticket, TrafficType};
use fernglade_admission::{AdmissionAction, ClientConnectionId, DescriptorBudget, HoldingKind, MemoryBudget};
use fernglade_dialect::request::{cat_table, cluster_health, root_info, Operation, Request};
use fernglade_dialect::response::rejected_error;
use fernglade_fronts::{Settings, SettingsError};
use fernglade_orders::OperatorConfig;
use fernglade_shedding::{FleetLimits, FleetRetryBudget, LoadShedder, ProbeSchedule};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long clients are still accepted after a shutdown request. New clients may arrive for up to 0.4 s
/// (PROTOCOL.md); clients that arrive after 0.7 s need not be served.
const ACCEPT_GRACE: Span = Span::from_millis(600);
/// How long clients from the listen backlog have to send a request once the listener is closed.
const BACKLOG_GRACE: Span = Span::from_millis(50);

/// How long a frame may stay partially written. The operators' terms let an attempt start at most 0.1 s after
/// its client has gone, and claim at most 0.15 s more than the time left.
const PARTIAL_WRITE_TIMEOUT: Span = Span::from_millis(100);

/// What the next search of a multi-search request may add to its response.
const MULTI_SEARCH_BYTES: usize = MAX_BODY_BYTES;
/// How long a newly admitted client counts as about to send a request.
const NEW_CLIENT_GRACE: Span = Span::from_millis(100);

/// The complete state of one mixer.
pub struct State {
    mixer: Mixer,
    host: MixerHost,
    types: Vec<(String, TrafficType)>,
    customers: Vec<String>,
    shards: u32,
    indices: Indices,
    name: String,
    /// Maximum number of scans and parts open at once.
    max_open_items: usize,
    /// Set once the backlog grace is over: no client arrives any more, idle clients are closed, and new scans
    /// are rejected because the process may be gone before they are answered. The supervisor waits only for
    /// requests that came before (PROTOCOL.md).
    draining: bool,
    /// Failed discovery requests since discovery last answered.
    watch_failures: u32,
    descriptors: DescriptorBudget,
    /// When admission control next has something to do.
    admission_due: Option<Moment>,
    /// The retry time sent to rejected clients; zero where the platform doesn't allow sending one.
    rejection_retry_after: Span,
}

/// The policies that act on the load of the whole fleet of mixers, as far as the operator enables them.
fn fleet_limits(
    settings: &Settings,
    seed: u64,
    operator: &OperatorConfig,
) -> Result<FleetLimits, SettingsError> {
    let fleet = settings.number("fleet_size", 1.0)?.max(1.0);
    Ok(FleetLimits {
        load_shedder: operator.sheds_fleet_wide().then(LoadShedder::default),
        retry_budget: operator.limits_retries_fleet_wide().then(|| FleetRetryBudget::new(fleet, seed)),
        probe_schedule: operator.limits_probes_fleet_wide().then(|| ProbeSchedule::new(fleet, seed)),
    })
}

/// Checks the settings that every deployment must state; without them each scan would fail for no visible
/// reason.
fn require_settings(settings: &Settings) -> Result<(), SettingsError> {
    let global =
        ["tick", "limits.dial_timeout", "family_info.cells", "family_info.width", "family_info.slabs"];
    global.into_iter().chain(["services.count"]).try_for_each(|path| settings.require_positive(path))?;
    let of_service = |at: usize| ["aim", "give_up"].map(|name| format!("services.{at}.{name}"));
    (0..settings.object_names("services")?.len())
        .flat_map(of_service)
        .try_for_each(|path| settings.require_positive(&path))
}

impl State {
    /// Builds the state from the settings and the operator's file.
    pub fn new(
        settings: &Settings,
        seed: u64,
        descriptors: DescriptorBudget,
        operator: &OperatorConfig,
        name: &str,
    ) -> Result<Self, SettingsError> {
        require_settings(settings)?;
        let types: Vec<_> =
            settings.object_names("services")?.into_iter().zip(settings.traffic_types()?).collect();
        if let Some((name, _)) = types.iter().find(|(_, kind)| kind.has_fetch_step) {
            return Err(SettingsError(format!(
                "settings: {name}: a second step is not supported over sockets"
            )));
        }
        let mut host = MixerHost::default();
        host.clients = Clients::new(operator.admission_policy(), descriptors.client_connections);
        host.registry.query_api = operator.dialect().clone();
        host.may_cancel = settings.is_true("limits.cancel");
        host.dial_timeout = settings.span("limits.dial_timeout")?;
        host.pool.max_links = descriptors.searcher_connections.max(1);
        host.pool.max_calls_per_link = settings.number("limits.multiplex", 1.0)?.max(1.0) as usize;
        host.pool.max_parts_per_call = settings.number("family_info.per_call", 1.0)?.max(1.0) as usize;
        host.executed_ids = ExecutedIds::new(seed, &settings.traffic_types()?);
        let areas = settings.string_list("areas");
        host.registry.costly_outside_zone =
            settings.home_zone()?.map(|zone| areas.get(usize::from(zone)).cloned().unwrap_or_default());
        let may_send_retry_after = settings.is_true("limits.retry_after");
        let rejection_retry_after =
            if may_send_retry_after { settings.span("limits.max_retry_after")? } else { Span::ZERO };
        let (customers, shards) =
            (settings.object_names("customers")?, settings.number("family_info.slabs", 0.0)? as u32);
        let indices =
            Indices::new(operator.dialect(), &types, &customers, shards, seed).map_err(SettingsError)?;
        if operator.exposes_metrics() {
            host.counters = ScanCounters::for_traffic_types(types.len());
        }
        let mut mixer = settings.build_mixer(seed)?;
        mixer.probes_bypass_queue = operator.probes_bypass_queue();
        mixer.set_fleet_policy(Box::new(fleet_limits(settings, seed, operator)?));
        Ok(Self {
            mixer,
            host,
            types,
            customers,
            shards,
            indices,
            name: name.into(),
            max_open_items: settings.number("limits.max_open", 20_000.0)? as usize,
            draining: false,
            watch_failures: 0,
            descriptors,
            admission_due: None,
            rejection_retry_after,
        })
    }

    fn is_ready(&self) -> bool {
        self.host.registry.any_ready() && !self.host.shutting_down && self.mixer.accepts_scans(self.host.now)
    }

    /// The metrics known here; the program adds those of the process.
    pub(super) fn metrics(&self) -> Metrics {
        let names = self.types.iter().map(|(name, _)| name.clone());
        Metrics {
            ready: self.is_ready(),
            searchers_listed: self.host.registry.ready_and_total().0 as u64,
            relays: self.host.counters.relays,
            memory_refusals: self.host.memory_refusals,
            allocated_bytes: self.host.allocated_bytes as u64,
            allocatable_bytes: self.host.memory.limit().unwrap_or(0) as u64,
            repeated_ids: self.host.repeated_ids,
            traffic_types: names.zip(self.host.counters.by_traffic_type().iter().cloned()).collect(),
        }
    }

    /// Starts from the list of searchers known from an earlier run, and issues the first discovery request.
    pub fn begin(&mut self, known: &ListUpdate, discovery: SocketAddr, now: Moment) -> Vec<Effect> {
        self.host.now = now;
        let known = self.host.registry.apply(known);
        self.mixer.restore_searchers(&mut self.host, &known.searchers);
        self.host.release_unready_links();
        self.host.registry.move_to(discovery);
        self.mixer.watch(&mut self.host, 0);
        self.process_pending()
    }

    /// Sets the memory that may be held; without it there is no limit.
    pub fn set_memory_budget(&mut self, budget: MemoryBudget) {
        self.host.memory = budget;
    }

    /// Sets the bytes that the whole program has allocated.
    pub fn set_allocated_bytes(&mut self, bytes: usize) {
        self.host.allocated_bytes = bytes;
    }

    /// Whether there is memory for a whole request of so many bytes.
    fn has_memory_for_scan(&mut self, bytes: usize) -> bool {
        let admits = self.host.memory.admits_scan(bytes, self.host.allocated_bytes);
        if !admits {
            self.host.memory_refusals.scans += 1;
            self.host.effects.push(Effect::ReclaimMemory);
        }
        admits
    }

    /// Whether there is memory for a part's value of so many bytes.
    fn has_memory_for_value(&mut self, bytes: usize) -> bool {
        let admits = self.host.memory.admits_value(bytes, self.host.allocated_bytes);
        if !admits {
            self.host.memory_refusals.values += 1;
            self.host.effects.push(Effect::ReclaimMemory);
        }
        admits
    }

    /// Gives up what a connection holds; never a request that was handed on.
    fn reclaim_memory(&mut self, client: ClientId, kind: HoldingKind) {
        if self.host.clients.awaits_answer(client) {
            return;
        }
        match kind {
            HoldingKind::UnfinishedRequest => {
                self.host.memory_refusals.unfinished_requests += 1;
                self.host.reply(client, Reply::Rejected(self.rejection_retry_after), true);
            }
            HoldingKind::UnreadAnswer => {
                self.host.memory_refusals.unread_answers += 1;
                self.host.effects.push(Effect::AbortClient(client));
            }
        }
    }

    /// The host, for inspection by tests.
    #[cfg(test)]
    pub fn host(&self) -> &MixerHost {
        &self.host
    }

    /// Passes finished relays and probes to the decision module until nothing is pending, and returns the
    /// effects.
    fn process_pending(&mut self) -> Vec<Effect> {
        loop {
            if let Some((ticket, outcome, elapsed)) = self.host.finished_relays.pop_front() {
                self.mixer.relay_finished(&mut self.host, ticket, outcome, elapsed);
            } else if let Some((searcher, healthy)) = self.host.probe_results.pop_front() {
                self.mixer.probe_finished(&mut self.host, searcher, healthy);
            } else if let Some(client) = self.host.resumable.pop_front() {
                self.resume_multi_search(client);
            } else if !self.host.assign_relays() {
                break;
            }
        }
        self.update_admission();
        let host = &mut self.host;
        host.effects.extend(host.timers.changed_deadline().map(Effect::SetTimer));
        std::mem::take(&mut host.effects)
    }

    /// Carries out the actions that admission control has requested since the last call.
    fn update_admission(&mut self) {
        let now = self.host.now;
        let client_limit = self.descriptors.client_limit(self.host.pool.descriptors_in_use());
        self.host.clients.set_max_clients(client_limit, now);
        for action in self.host.clients.take_actions() {
            match action {
                AdmissionAction::Admit(ClientConnectionId(id)) => self.admit(ClientId(id)),
                AdmissionAction::Reject(ClientConnectionId(id), _) => {
                    let retry_after =
                        self.host.clients.rejection_retry_after().unwrap_or(self.rejection_retry_after);
                    self.host.effects.push(Effect::RejectClient(ClientId(id), retry_after));
                }
                AdmissionAction::Evict(ClientConnectionId(id)) => {
                    self.host.effects.push(Effect::CloseClient(ClientId(id)))
                }
                AdmissionAction::SetAccepting(open) => self.host.effects.push(Effect::SetAccepting(open)),
            }
        }
        let due = self.host.clients.due(now);
        if let Some(at) = due.filter(|at| self.admission_due.is_none_or(|set| *at < set || set <= now)) {
            self.admission_due = Some(at);
            self.host.timers.set(at, Timer::AdmissionDue(at));
        }
    }

    fn admit(&mut self, client: ClientId) {
        let now = self.host.now;
        self.host.clients.admitted(client, now);
        self.host.effects.push(Effect::AdmitClient(client));
        self.start_request_timeout(client, now);
    }

    fn apply_discovery(&mut self, update: &ListUpdate) {
        let update = self.host.registry.apply(update);
        self.mixer.update_searchers(&mut self.host, update.is_full, &update.searchers);
        self.host.release_unready_links();
    }

    fn scan_requested(&mut self, client: ClientId, scan_request: ScanRequest) {
        let Some(request_start) = self.host.clients.request_start(client, self.host.now) else { return };
        self.open_scan(client, scan_request, request_start, None);
    }

    /// Handles a request of the query API; searches and edits become the same kind of scan.
    fn query_requested(&mut self, client: ClientId, request: Request) {
        let Some(request_start) = self.host.clients.request_start(client, self.host.now) else { return };
        let opaque = request.opaque_id.clone();
        let result = match request.operation {
            Operation::MultiSearch { index, searches } => {
                if !self.has_memory_for_scan(searches.held_bytes()) {
                    let reply = query::reply(Err(rejected_error()), self.rejection_retry_after, opaque);
                    return self.host.reply(client, reply, false);
                }
                let multi_search = MultiSearch::new(index, searches, opaque, request_start);
                self.host.multi_searches.insert(client, multi_search);
                return self.resume_multi_search(client);
            }
            Operation::CatNodes { json } => {
                let rows: Vec<_> = self.host.registry.rows().collect();
                return self.reply_with_table(client, &["name", "address", "state", "speaks"], rows, json);
            }
            Operation::CatShards { json } => {
                let state = if self.host.registry.any_ready() { "STARTED" } else { "UNASSIGNED" };
                let row = |shard: u32| vec![shard.to_string(), state.to_string()];
                return self.reply_with_table(
                    client,
                    &["shard", "state"],
                    (0..self.shards).map(row).collect(),
                    json,
                );
            }
            Operation::Root => Ok(root_info(&self.name)),
            Operation::Health => Ok(cluster_health(self.host.registry.ready_and_total(), self.shards)),
            _ => match self.indices.build_scan(request, &self.types, request_start) {
                Ok((scan_request, context)) => {
                    return self.open_scan(client, scan_request, request_start, Some(context))
                }
                Err(fault) => Err(fault),
            },
        };
        self.host.reply(client, query::reply(result, Span::ZERO, opaque), false);
    }

    fn reply_with_table(&mut self, client: ClientId, names: &[&str], rows: Vec<Vec<String>>, json: bool) {
        let body = cat_table(names, &rows, json);
        let work = QueryWork::default();
        let reply = Reply::QueryApi { status: 200, body, retry_after: Span::ZERO, opaque_id: None, work };
        self.host.reply(client, reply, false);
    }

    /// Opens the next scan of a multi-search request, or answers it once all of its scans have ended.
    fn resume_multi_search(&mut self, client: ClientId) {
        let now = self.host.now;
        let Some(multi_search) = self.host.multi_searches.get_mut(&client) else { return };
        let has_memory = self.host.memory.admits_scan(MULTI_SEARCH_BYTES, self.host.allocated_bytes);
        let request = match multi_search.next(has_memory) {
            NextSearch::Search(request) => *request,
            NextSearch::LaterTurn => return self.host.effects.push(Effect::ContinueMultiSearch(client)),
            NextSearch::Answered => {
                let reply = self.host.multi_searches.remove(&client).map(|answered| answered.reply(now));
                return reply.into_iter().for_each(|reply| self.host.reply(client, reply, false));
            }
        };
        match self.indices.build_scan(request, &self.types, now) {
            Ok((scan_request, context)) => self.open_scan(client, scan_request, now, Some(context)),
            Err(fault) => self.host.reply(client, query::reply(Err(fault), Span::ZERO, None), false),
        }
    }

    fn open_scan(
        &mut self,
        client: ClientId,
        mut scan_request: ScanRequest,
        request_start: Moment,
        query: Option<QueryContext>,
    ) {
        // Choose another name if a client's scan already uses the generated one, by chance or on purpose.
        while query.is_some() && self.host.is_name_used(&scan_request.request_id) {
            scan_request.request_id.push('x');
        }
        let scan = match self.validate(&scan_request, request_start) {
            Ok(scan) => {
                let single_delivery = query.as_ref().is_some_and(QueryContext::is_edit);
                ScanSpec { single_delivery, ..scan }
            }
            Err(error) => {
                self.host.repeated_ids += u64::from(error == RequestError::Conflict);
                let reply = match query {
                    Some(context) => query::reply(
                        Err(query::fault_from_request_error(error)),
                        Span::ZERO,
                        context.opaque_id(),
                    ),
                    None => Reply::InvalidRequest(error),
                };
                return self.host.reply(client, reply, false);
            }
        };
        let parts: Vec<_> = scan_request.parts.iter().map(|part| (part.shard, None)).collect();
        self.host.open_items += 1 + parts.len();
        let (name, last_failures) = (scan_request.request_id.clone(), vec![None; parts.len()]);
        let request_bytes = scan_request.text.len();
        let (idempotency_key, text) = (scan_request.idempotency_key, Rc::from(scan_request.text));
        let node_request = query.as_ref().map(|context| Rc::new(context.node_request(&text)));
        let (traffic_type, started_at) = (scan.traffic_type, request_start);
        let open = OpenScan {
            client,
            name,
            idempotency_key,
            text,
            traffic_type,
            started_at,
            parts,
            last_failures,
            answer_bytes: 0,
            query,
            node_request,
        };
        self.host.counters.scan_accepted(traffic_type);
        let id = self.host.scans.insert(open);
        self.host.open_names.insert(scan_request.request_id);
        self.host.clients.set_activity(client, ClientActivity::AwaitingAnswer(id), self.host.now);
        // The benchmark harness rejects such scans before they reach a mixer; real clients are rejected here.
        let has_room =
            self.host.open_items <= self.max_open_items && self.host.executed_ids.has_room(self.host.now);
        if !has_room || self.draining || !self.has_memory_for_scan(request_bytes) {
            return self.mixer.reject_scan(&mut self.host, id);
        }
        self.mixer.start_scan(&mut self.host, id, scan);
    }

    /// Validates a scan and translates it for the decision module.
    fn validate(&self, scan_request: &ScanRequest, request_start: Moment) -> Result<ScanSpec, RequestError> {
        let invalid = |what: String| Err(RequestError::Invalid(what));
        let Some(traffic_type) = self.types.iter().position(|(name, _)| *name == scan_request.traffic_type)
        else {
            return Err(RequestError::Path);
        };
        let customer = self.customers.iter().position(|name| *name == scan_request.customer);
        if customer.is_none() && !self.customers.is_empty() {
            return invalid("an unknown X-Tenant-Id".into());
        }
        if matches!(self.types[traffic_type].1.idempotency, Idempotency::ByKey(_))
            && scan_request.idempotency_key.is_none()
        {
            return invalid("no Idempotency-Key".into());
        }
        if self.host.is_name_used(&scan_request.request_id) {
            return Err(RequestError::Conflict);
        }
        if let Some(part) = scan_request.parts.iter().find(|part| part.shard >= self.shards) {
            return invalid(format!("no range {}", part.shard));
        }
        let shards: BTreeSet<u32> = scan_request.parts.iter().map(|part| part.shard).collect();
        if shards.len() < scan_request.parts.len() {
            return invalid("a range stands twice".into());
        }
        // Weights are written with limited precision, so their sum is only close to 1; normalize it.
        let sum: f64 = scan_request.parts.iter().map(|part| part.weight).sum();
        if (sum - 1.0).abs() > 0.01 {
            return invalid("the portions are not a whole".into());
        }
        let parts =
            scan_request.parts.iter().map(|p| PartSpec { shard: p.shard, weight: p.weight / sum }).collect();
        Ok(ScanSpec {
            traffic_type,
            customer: customer.unwrap_or(0),
            time_left: scan_request.time_left.saturating_sub(self.host.now.since(request_start)),
            work_hint: scan_request.parts.iter().filter_map(|part| part.work).reduce(|a, b| a + b),
            is_retry: scan_request.is_retry,
            single_delivery: false,
            parts,
        })
    }

    fn client_disconnected(&mut self, client: ClientId) {
        self.host.multi_searches.remove(&client);
        if let Some(ClientActivity::AwaitingAnswer(id)) =
            self.host.clients.disconnected(client, self.host.now)
        {
            self.host.close_scan(id, ScanOutcome::Failed);
            self.mixer.client_disconnected(&mut self.host, id);
        }
    }

    fn part_answered(&mut self, link_id: LinkId, id: &str, outcome: PartOutcome, value: String) {
        let found = self.host.find_relay(link_id, id);
        let Some(link) = self.host.pool.links.get_mut(&link_id) else { return };
        link.note_received(self.host.now);
        let Some((call_id, ticket)) = found else {
            // Either a late answer to a cancelled part, which is dropped; or the answer to an unknown part,
            // in which case it is unknown whose answer it corrupted.
            match link.take_cancelled(id) {
                true if outcome == PartOutcome::Rejected => self.host.part_refused(id),
                true => {}
                false => self.abort_on_invalid_data(link_id),
            }
            return;
        };
        // Nothing that arrives before the last byte of a call is written can be an answer to it.
        if link.calls.get(&call_id).is_none_or(|call| call.state != CallState::Written) {
            return self.abort_on_invalid_data(link_id);
        }
        if let Some(call) = link.calls.get_mut(&call_id) {
            call.parts.retain(|other| *other != ticket);
            if call.parts.is_empty() {
                link.calls.remove(&call_id);
            }
        }
        let relay_outcome = match outcome {
            PartOutcome::Succeeded => self.store_value(ticket, value),
            PartOutcome::Failed => RelayOutcome::Failed,
            PartOutcome::Rejected => {
                self.host.part_refused(id);
                RelayOutcome::Rejected
            }
        };
        self.host.finish_relay(ticket, relay_outcome);
    }

    /// Stores the value of a part. A value that doesn't fit into the answer fails its part.
    fn store_value(&mut self, ticket: Ticket, value: String) -> RelayOutcome {
        if !self.has_memory_for_value(value.len()) {
            return RelayOutcome::Failed;
        }
        let Some(relay) = self.host.relays.get(&ticket) else { return RelayOutcome::Failed };
        let Some(open) = self.host.scans.get_mut(relay.scan) else { return RelayOutcome::Succeeded };
        // An escaped byte may take up to six bytes; most values need no escaping.
        let escaped = value.bytes().filter(|b| *b < b' ' || matches!(b, b'"' | b'\\')).count();
        let size = open.answer_bytes + value.len() + 5 * escaped + PART_OVERHEAD_BYTES;
        if size > MAX_BODY_BYTES - PART_OVERHEAD_BYTES {
            return RelayOutcome::Failed;
        }
        let from_query_node = self.host.registry.protocol(relay.to) == SearcherProtocol::QueryApi;
        let accepts = |context: &QueryContext| {
            if from_query_node {
                context.accepts_from_node(&value)
            } else {
                context.accepts(&value)
            }
        };
        if open.query.as_ref().is_some_and(|context| !accepts(context)) {
            return RelayOutcome::Failed;
        }
        open.answer_bytes = size;
        open.parts[relay.part].1 = Some(value);
        RelayOutcome::Succeeded
    }

    fn node_version_received(&mut self, link_id: LinkId, version: String) {
        let Some(link) = self.host.pool.links.get_mut(&link_id) else { return };
        link.note_received(self.host.now);
        let to = link.to;
        if self.host.registry.record_version(to, &version) {
            let to = self.host.registry.name(to).cloned().unwrap_or_default();
            self.host.effects.push(Effect::LogNodeVersion { to, version });
        }
    }

    fn health_probe_answered(&mut self, link_id: LinkId, healthy: bool) {
        if let Some(link) = self.host.pool.links.get_mut(&link_id) {
            link.note_received(self.host.now);
            if std::mem::take(&mut link.probing) {
                self.host.probe_results.push_back((link.to, healthy));
            }
        }
    }

    /// Records that an incoming frame is incomplete, or complete after all. Searchers write a frame in one
    /// piece, so one that takes longer than the dial timeout won't be completed, and later frames couldn't be
    /// distinguished from it.
    fn frame_partially_read(&mut self, id: LinkId, partial: bool) {
        let (now, timeout) = (self.host.now, self.host.dial_timeout);
        let Some(link) = self.host.pool.links.get_mut(&id) else { return };
        link.partial_read_since = partial.then_some(now);
        if partial {
            self.host.timers.set(now + timeout, Timer::PartialReadTimeout(id, now));
        }
    }

    fn partial_read_timed_out(&mut self, id: LinkId, since: Moment) {
        if self.host.pool.links.get(&id).is_some_and(|link| link.partial_read_since == Some(since)) {
            self.abort_on_invalid_data(id);
        }
    }

    /// Records that an outgoing frame is partially written, or completely after all. A partially written
    /// frame can't be withdrawn: the searcher might receive it after the client has gone, after its
    /// deduplication window, or with less time left than the frame states.
    fn frame_partially_written(&mut self, id: LinkId, partial: bool) {
        let now = self.host.now;
        let Some(link) = self.host.pool.links.get_mut(&id) else { return };
        link.partial_write_since = partial.then_some(now);
        if partial {
            self.host.timers.set(now + PARTIAL_WRITE_TIMEOUT, Timer::PartialWriteTimeout(id, now));
        }
    }

    /// The searcher has stopped reading. The partially written call never runs; parts already written are
    /// treated as after a connection reset.
    fn partial_write_timed_out(&mut self, id: LinkId, since: Moment) {
        if self.host.pool.links.get(&id).is_some_and(|link| link.partial_write_since == Some(since)) {
            self.abort_link(id, CloseReason::ConnectionBroken);
        }
    }

    fn abort_on_invalid_data(&mut self, id: LinkId) {
        self.abort_link(id, CloseReason::InvalidData);
    }

    fn abort_link(&mut self, id: LinkId, reason: CloseReason) {
        self.link_closed(id, reason);
        self.host.pool.closing.insert(id);
        self.host.effects.push(Effect::AbortLink(id));
    }

    fn link_closed(&mut self, id: LinkId, reason: CloseReason) {
        self.host.pool.closing.remove(&id);
        self.host.pool.attempts.failed(id);
        let Some(link) = self.host.pool.links.remove(&id) else { return };
        let idle = reason == CloseReason::ClosedByPeer && link.is_idle();
        let reason = if idle { CloseReason::ClosedIdle } else { reason };
        let to = self.host.registry.name(link.to).cloned().unwrap_or_else(|| link.address.to_string());
        self.host.effects.push(Effect::LogLinkClosed { to, reason });
        for call in link.calls.into_values() {
            let relay_outcome = reason.relay_outcome(call.state == CallState::Written);
            for ticket in call.parts {
                if !(link.connected
                    && relay_outcome == RelayOutcome::Unreachable
                    && self.host.reassign_after_break(ticket))
                {
                    self.host.finish_relay(ticket, relay_outcome);
                }
            }
        }
        if link.probing {
            self.host.probe_results.push_back((link.to, false));
        }
    }

    /// Limits the time a client has from `since` to complete its request.
    fn start_request_timeout(&mut self, client: ClientId, since: Moment) {
        self.host.timers.set(since + REQUEST_TIMEOUT, Timer::RequestTimeout(client, since));
    }

    fn timer_fired(&mut self) {
        self.host.timers.fired();
        while let Some(timer) = self.host.timers.next(self.host.now) {
            match timer {
                Timer::Routing(ticket) => self.mixer.timer_fired(&mut self.host, ticket),
                Timer::RelayDeadline(ticket, deadline) => self.host.relay_deadline_passed(ticket, deadline),
                Timer::SendDeadline(ticket, started_at) => self.host.send_deadline_passed(ticket, started_at),
                Timer::RequestTimeout(client, since) => {
                    if self.host.clients.is_request_incomplete(client, since) {
                        self.host.clients.set_activity(client, ClientActivity::Closing, self.host.now);
                        self.host.effects.push(Effect::CloseClient(client));
                    }
                }
                Timer::AdmissionDue(due) => {
                    if self.admission_due == Some(due) {
                        self.admission_due = None;
                        self.host.clients.tick(self.host.now);
                    }
                }
                Timer::PartialReadTimeout(link, since) => self.partial_read_timed_out(link, since),
                Timer::PartialWriteTimeout(link, since) => self.partial_write_timed_out(link, since),
                Timer::HedgeDialDue(link) => self.host.hedge_dial(link),
                Timer::CloseListener => self.host.effects.push(Effect::CloseListener),
                Timer::BacklogGraceOver => {
                    self.draining = true;
                    self.host.clients.stop_admitting(self.host.now);
                    self.close_idle_clients(self.host.now);
                }
            }
        }
    }

    fn close_idle_clients(&mut self, by: Moment) {
        let idle = self.host.clients.close_idle(by, self.host.now);
        self.host.effects.extend(idle.into_iter().map(Effect::CloseClient));
    }

    fn shut_down(&mut self) {
        if !self.host.shutting_down {
            self.host.shutting_down = true;
            // Clients that have just connected are about to send a request.
            self.close_idle_clients(self.host.now.saturating_sub(NEW_CLIENT_GRACE));
            self.host.timers.set(self.host.now + ACCEPT_GRACE, Timer::CloseListener);
        }
    }
}

/// Applies an event at the given time and returns the effects to carry out.
pub fn reduce(state: &mut State, event: Event, now: Moment) -> Vec<Effect> {
    state.host.now = now;
    match event {
        Event::ClientAccepted(client, from) => state.host.clients.accepted(client, from, now),
        Event::RequestStarted(client, unread_for) => {
            state.host.clients.request_started(client, now.saturating_sub(unread_for), now);
            state.start_request_timeout(client, now);
        }
        Event::ScanRequested(client, scan_request) => state.scan_requested(client, scan_request),
        Event::QueryRequested(client, request) => state.query_requested(client, *request),
        Event::MultiSearchContinued(client) => state.resume_multi_search(client),
        Event::MetricsRequested(client) => {
            let metrics = state.metrics();
            state.host.reply(client, Reply::Metrics(Box::new(metrics)), false);
        }
        Event::HealthRequested(client) => {
            let ready = state.is_ready();
            state.host.reply(client, Reply::Health(ready), false);
        }
        Event::InvalidRequest(client, error, closes) => {
            state.host.reply(client, Reply::InvalidRequest(error), closes)
        }
        Event::ClientDisconnected(client) => state.client_disconnected(client),
        Event::LinkConnected(link) => state.host.link_connected(link),
        Event::NodeVersionReceived(link, version) => state.node_version_received(link, version),
        Event::CallWritten(link, call) => state.host.call_written(link, call),
        Event::CallWithdrawn(link, call) => state.host.call_withdrawn(link, call),
        Event::PartAnswered { link, id, outcome, value } => state.part_answered(link, &id, outcome, value),
        Event::HealthProbeAnswered(link, healthy) => state.health_probe_answered(link, healthy),
        Event::FramePartiallyRead(link, partial) => state.frame_partially_read(link, partial),
        Event::FramePartiallyWritten(link, partial) => state.frame_partially_written(link, partial),
        Event::LinkClosed(link, reason) => state.link_closed(link, reason),
        Event::DiscoveryUpdated(update) => {
            state.apply_discovery(&update);
            state.watch_failures = 0;
            state.host.watch_discovery();
        }
        Event::DiscoveryMoved(discovery) => {
            state.host.registry.move_to(discovery);
            state.host.watch_discovery();
        }
        Event::DiscoveryWatchFailed => {
            state.host.registry.watch_failed();
            state.watch_failures = state.watch_failures.saturating_add(1);
            state.mixer.watch(&mut state.host, state.watch_failures);
        }
        Event::TimerFired => state.timer_fired(),
        Event::ShutdownRequested => state.shut_down(),
        Event::MemoryReclaimed(client, kind) => state.reclaim_memory(client, kind),
        Event::MemoryShort => state.host.effects.push(Effect::ReclaimMemory),
        Event::OutOfResources => state.host.clients.out_of_resources(now),
        Event::AdmissionPolicyChanged(policy) => state.host.clients.set_policy(policy, now),
        Event::ListenerClosed => state.host.timers.set(now + BACKLOG_GRACE, Timer::BacklogGraceOver),
    }
    let mut effects = state.process_pending();
    if state.draining && state.host.clients.is_empty() {
        effects.push(Effect::Exit);
    }
    effects
}
