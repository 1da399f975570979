//! Makes every decision of a fernglade mixer: which searcher each part of a scan is sent to, when the scan is
//! answered, and how searcher failures are handled.
//!
//! A host (`crates/simhost` for the simulator, `crates/mixer` on sockets) reports events by calling the
//! public methods of [`Mixer`]; the mixer acts through the [`Host`] trait. The shared types are in
//! `src/lib.rs`.
//!
//! The basic algorithm is that of docs/design.md: all parts are sent at once, each to the replica with the
//! least smoothed latency x (own parts in flight + 1). The scan is answered when every part has an outcome,
//! or when its single timer fires. Asynchronous steps are continued by callbacks: each relay and each timer
//! stores a closure, which is called with the result.
//!
//! Six mechanisms are added to the basic algorithm:
//! 1. Failures, timeouts and parts that were sent for nothing count as latency
//!    (`ReplicaTable::note_finished`, `ReplicaTable::effective_latency`).
//! 2. A part that failed or is late is sent to another replica within a retry budget, unless its scan seems
//!    to crash searchers. While searchers are crashing, one part of each scan is sent first as a canary
//!    (`Mixer::retry_part`, `Mixer::check_late_parts`, `Mixer::send_parts`).
//! 3. Slow start: a searcher that has just started has a limit on parts in flight that grows with its
//!    answers, and a count of the parts it is sent (`slow_start.rs`, `ReplicaTable::held_back`).
//! 4. Each searcher has a concurrency limit. What finds no capacity is rejected, least valuable first, in an
//!    order that the whole fleet shares if the operator enables it (`ReplicaTable::has_capacity`,
//!    `LoadShedding`, `Mixer::send_parts`, `FleetPolicy`).
//! 5. Connections that have been idle for too long are closed before they are used again
//!    (`ReplicaTable::note_sent`).
//! 6. A scan that can no longer be answered ends early (`Mixer::finish_if_decided`).

use crate::load_shedding::LoadShedding;
use crate::query::{Part, Scan};
use crate::replicas::{Attempt, ReplicaTable, PROBE_INTERVAL};
use crate::retry_budget::RetryBudget;
use crate::slow_start::ListKind;
use crate::*;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::take;

/// Continues an asynchronous step with its result.
type Callback<R> = Box<dyn FnOnce(&mut Mixer, &mut dyn Host, R)>;

/// How long a new process waits for its first update from discovery: a third of the time it may take to
/// become ready.
const DISCOVERY_WAIT: Span = Span::from_millis(3_000);

/// The state of a mixer's decisions: open scans, replicas and the limits that apply to them.
#[derive(Default)]
pub struct Mixer {
    types: Vec<TrafficType>,
    replicas: ReplicaTable,
    retry_budget: RetryBudget,
    shedding: LoadShedding,
    timer_margin: Span,
    /// Open scans, each removed by its final answer.
    scans: BTreeMap<ScanId, Scan>,
    /// Callbacks for relays in flight and for timers, each removed when it is called. The timer of a finished
    /// scan stays until it fires and then does nothing.
    relay_callbacks: Slab<Callback<(RelayOutcome, Span)>>,
    timer_callbacks: Slab<Callback<()>>,
    /// Whether searchers answer health probes at once even when they have a queue; set by the operator.
    pub probes_bypass_queue: bool,
    /// The grace period of draining searchers, if list changes are pushed to an agent on this machine.
    pub pushed_drain_grace: Option<Span>,
    /// Whether discovery has sent a list since this mixer started.
    has_discovery: bool,
    /// Decisions taken as one of a fleet, if the operator enables them; consulted before the mixer's own
    /// limits.
    fleet_policy: Option<Box<dyn FleetPolicy>>,
}

impl Mixer {
    /// Creates a mixer that knows of no searchers yet. `tick` is the resolution of the host's timers.
    pub fn new(
        types: Vec<TrafficType>,
        replicas: ReplicaTable,
        retry_budget: RetryBudget,
        shedding: LoadShedding,
        tick: Span,
    ) -> Self {
        let least = types.iter().map(|t| t.target_latency).min().unwrap_or(Span::ZERO);
        // Three ticks cover a late timer, sending the answer, and the network. The design initialises the
        // latencies to a tenth of the target latency.
        let mut mixer =
            Self { types, replicas, retry_budget, shedding, timer_margin: tick * 3.0, ..Self::default() };
        (mixer.replicas.mean_latency, mixer.replicas.min_latency) =
            (least.as_f64() / 10.0, least.as_f64() / 10.0);
        mixer
    }

    /// Whether scans are accepted.
    ///
    /// Where list changes are pushed to a local agent, the mixer is held to what the agent knows from its
    /// first moment, while the list that it starts with may be outdated. So it waits for the agent's first
    /// update, but no longer than `DISCOVERY_WAIT`, as the agent may be down. A restart while the agent is
    /// away is delayed by that time.
    pub fn accepts_scans(&self, now: Moment) -> bool {
        let waited = now.since(self.replicas.first_listed.unwrap_or(now));
        self.pushed_drain_grace.is_none() || self.has_discovery || waited >= DISCOVERY_WAIT
    }

    /// Schedules the next attempt to watch the list of searchers after `failures` failures since the last
    /// update.
    ///
    /// Where changes are pushed to a local agent, the mixer is held to what the agent knows. It retries at
    /// once the first time and then at quarters of the drain grace period, so that a failed attempt and the
    /// next one fit into it. An agent that is down gets a call each time. Where all mixers use one central
    /// service, the delay is random so that their requests do not coincide.
    pub fn watch(&mut self, host: &mut dyn Host, failures: u32) {
        let delay = match (failures, self.pushed_drain_grace) {
            (0, _) | (1, Some(_)) => Span::ZERO,
            (_, Some(grace)) => (grace * 0.25).max(Span::from_millis(20)),
            (_, None) => Span::from_millis(500 + self.replicas.rng.below(500) as u64),
        };
        self.schedule(host, delay, |_, host| host.watch_discovery());
    }

    /// Applies an update from discovery. With `full_list`, searchers that are not in it have been removed.
    pub fn update_searchers(&mut self, host: &mut dyn Host, full_list: bool, entries: &[ListedSearcher]) {
        self.apply_entries(host, full_list, entries);
        self.has_discovery = true;
    }

    /// Applies a list of unknown age that was stored before this mixer started.
    pub fn restore_searchers(&mut self, host: &mut dyn Host, entries: &[ListedSearcher]) {
        self.apply_entries(host, true, entries);
    }

    /// Applies list entries, starts the slow start of searchers that have newly started, and removes departed
    /// ones.
    fn apply_entries(&mut self, host: &mut dyn Host, full_list: bool, entries: &[ListedSearcher]) {
        let now = host.now();
        self.replicas.first_listed.get_or_insert(now);
        let listed: BTreeSet<Searcher> = entries.iter().map(|entry| entry.searcher).collect();
        let all = self
            .replicas
            .states
            .values()
            .filter(|_| full_list)
            .map(|s| ListedSearcher { ready: false, ..s.entry });
        let mut removed: Vec<ListedSearcher> =
            all.filter(|entry| !listed.contains(&entry.searcher)).collect();
        removed.sort_by_key(|entry| entry.searcher);
        let list = match self.has_discovery {
            true => ListKind::Update,
            false => ListKind::Initial { newest: entries.iter().filter_map(|entry| entry.started).max() },
        };
        for entry in removed.into_iter().chain(entries.iter().copied()) {
            let previous = self.replicas.apply_entry(entry);
            let new_start = entry.started.filter(|at| previous.started != Some(*at));
            let start = new_start.and_then(|at| self.replicas.slow_start.latest_start(at, list, now));
            start.iter().for_each(|since| self.replicas.begin_slow_start(now, entry.searcher, *since));
        }
        self.replicas.remove_departed();
        self.replicas.replica_sets.rebuild();
    }

    /// Admits or rejects a scan; sends the parts of an admitted one and sets its timers.
    pub fn start_scan(&mut self, host: &mut dyn Host, id: ScanId, scan: ScanSpec) {
        let now = host.now();
        self.retry_budget.note_requests(now, 1 + scan.parts.len());
        if !self.accepts_scans(now) {
            return host.reject(id, self.shedding.retry_after);
        }
        let Some(kind) = self.types.get(scan.traffic_type) else { return host.fail(id) };
        // A retry with less time left than the longest of its traffic type is assumed to have used up part of
        // the client's timeout: the client counts from its first attempt, and so does the value of the
        // answer.
        let longest = self.shedding.longest_time_left.entry(scan.traffic_type).or_default();
        *longest = scan.time_left.max(*longest);
        let elapsed = if scan.is_retry && scan.time_left < *longest {
            kind.client_timeout.saturating_sub(scan.time_left)
        } else {
            Span::ZERO
        };
        let target = kind.target_latency + scan.work_hint.unwrap_or(Span::ZERO) * kind.target_per_work;
        let is_late = elapsed + self.timer_margin >= target;
        let target = if is_late { target } else { target.saturating_sub(elapsed) };
        let quota_factor = if self.shedding.is_over_quota(now, scan.customer) {
            self.shedding.over_quota_factor
        } else {
            1.0
        };
        let credit = kind.credit * quota_factor * if is_late { kind.late_credit } else { 1.0 };
        let (priority, timeout) = (
            self.shedding.priority(credit, scan.parts.len()),
            target.min(scan.time_left).saturating_sub(self.timer_margin),
        );
        let request = AdmissionRequest {
            priority,
            is_retry: scan.is_retry,
            parts: &scan.parts,
            cells: self.replicas.cells,
        };
        let rank = match self.fleet_policy.as_mut().and_then(|policy| policy.admit(now, &request)) {
            Some(Err(share)) => return host.reject(id, self.shedding.retry_after * share),
            Some(Ok(position)) => position,
            None => self.replicas.rng.below(1 << 20) as f64 / f64::from(1 << 20),
        };
        let (mut parts_per_cell, cell_of) = (BTreeMap::new(), |p: &PartSpec| p.shard % self.replicas.cells);
        scan.parts.iter().for_each(|p| *parts_per_cell.entry(cell_of(p)).or_insert(0) += 1);
        let fits = |p: &&PartSpec| {
            self.replicas.has_capacity(now, timeout, p.shard, priority, rank, parts_per_cell[&cell_of(p)])
        };
        let capacity: f64 = scan.parts.iter().filter(fits).map(|p| p.weight).sum();
        if timeout == Span::ZERO
            || (is_late && kind.late_credit <= 0.0)
            || capacity + WEIGHT_TOLERANCE < kind.min_coverage
        {
            return host.reject(id, self.shedding.retry_after);
        }
        // With a fetch step, the first step may use half of the time.
        let wait = timeout * if kind.has_fetch_step { 0.5 } else { 1.0 };
        let late_after = Span::from_micros(self.replicas.late_after(kind.target_latency) as u64);
        let awaits_canary =
            self.replicas.suspects.iter().any(|suspect| self.replicas.states[suspect].seems_dead(now));
        let parts = scan.parts.iter().map(|request| Part { request: *request, ..Part::default() }).collect();
        let (traffic_type, deadline) = (scan.traffic_type, now + timeout);
        let idempotency = if scan.single_delivery { Idempotency::SingleDelivery } else { kind.idempotency };
        self.scans.insert(
            id,
            Scan {
                traffic_type,
                idempotency,
                priority,
                rank,
                deadline,
                parts,
                awaits_canary,
                ..Scan::default()
            },
        );
        self.schedule(host, wait, move |mixer, host| {
            if mixer.scans.get(&id).is_some_and(|scan| scan.first_step_complete.is_none()) {
                mixer.finish(host, id);
            }
        });
        let check_interval = late_after * if self.probes_bypass_queue { 0.25 } else { 1.0 };
        self.schedule(host, check_interval, move |mixer, host| mixer.check_late_parts(host, id, late_after));
        self.send_parts(host, id);
    }

    /// Starts the fetch step of a scan with the parts to fetch.
    pub fn start_fetch(&mut self, host: &mut dyn Host, id: ScanId, parts: &[PartSpec]) {
        self.retry_budget.note_requests(host.now(), parts.len());
        let Some(scan) = self.scans.get_mut(&id) else { return };
        scan.parts.extend(parts.iter().map(|request| Part { request: *request, ..Part::default() }));
        let time_left = scan.deadline.since(host.now());
        self.schedule(host, time_left, move |mixer, host| mixer.finish(host, id));
        self.send_parts(host, id);
    }

    /// Sets the policy that is consulted before the mixer's own limits.
    pub fn set_fleet_policy(&mut self, policy: Box<dyn FleetPolicy>) {
        self.fleet_policy = Some(policy);
    }

    /// Rejects a scan with the usual pause, without considering it.
    pub fn reject_scan(&self, host: &mut dyn Host, id: ScanId) {
        host.reject(id, self.shedding.retry_after);
    }

    /// Handles the outcome of a relay.
    pub fn relay_finished(
        &mut self,
        host: &mut dyn Host,
        relay: Ticket,
        outcome: RelayOutcome,
        elapsed: Span,
    ) {
        let callback = self.relay_callbacks.try_remove(relay.0 as usize).into_iter();
        callback.for_each(|callback| callback(self, host, (outcome, elapsed)));
    }

    /// Handles a timer set by [`Host::set_timer`].
    pub fn timer_fired(&mut self, host: &mut dyn Host, ticket: Ticket) {
        self.timer_callbacks
            .try_remove(ticket.0 as usize)
            .into_iter()
            .for_each(|callback| callback(self, host, ()));
    }

    /// Handles the result of a health probe. A searcher that was down and passes is treated as freshly
    /// started, as a crashed one has been restarted.
    pub fn probe_finished(&mut self, host: &mut dyn Host, searcher: Searcher, alive: bool) {
        let now = host.now();
        let Some(state) = self.replicas.states.get_mut(&searcher) else { return };
        state.last_probe = state.last_probe.map(|(at, replied)| (at, replied || alive));
        if alive && state.next_probe.take().is_some() {
            self.replicas.begin_slow_start(now, searcher, now);
        }
    }

    /// Drops the scan of a client that has disconnected and cancels its relays.
    pub fn client_disconnected(&mut self, host: &mut dyn Host, id: ScanId) {
        self.scans.remove(&id).iter().for_each(|scan| self.cancel_all(host, scan));
    }

    /// Calls `callback` after `wait`.
    fn schedule(
        &mut self,
        host: &mut dyn Host,
        wait: Span,
        callback: impl Fn(&mut Self, &mut dyn Host) + 'static,
    ) {
        let ticket = self.timer_callbacks.insert(Box::new(move |mixer, host, ()| callback(mixer, host)));
        host.set_timer(Ticket(ticket as u32), host.now() + wait);
    }

    /// Sends all parts at once, those of the largest weight first.
    ///
    /// If a searcher is at its concurrency limit, parts of low weight that the scan can do without are
    /// skipped, which protects against overload; if the limit is wrong, they are skipped needlessly.
    ///
    /// While searchers are crashing, one part is sent first as a canary, and the others wait until it has
    /// finished or twice the mean latency has passed. A scan that crashes searchers then crashes only one.
    /// This delays every scan by that time.
    fn send_parts(&mut self, host: &mut dyn Host, id: ScanId) {
        let now = host.now();
        let Some(scan) = self.scans.get_mut(&id) else { return };
        let unsent = |index: &usize| scan.parts[*index].tried.is_empty() && !scan.parts[*index].failed;
        let mut order: Vec<usize> = (scan.step_start..scan.parts.len()).filter(unsent).collect();
        order.sort_by(|a, b| scan.parts[*b].request.weight.total_cmp(&scan.parts[*a].request.weight));
        let class = (scan.traffic_type, self.types[scan.traffic_type].target_latency);
        // At most three quarters of the weight above the minimum coverage is skipped; a quarter is left for
        // parts that fail later.
        let mut skippable = (1.0 - self.types[scan.traffic_type].min_coverage) * 0.75;
        let (priority, rank, time_left) =
            (scan.priority * order.len() as f64, scan.rank, scan.deadline.since(now));
        if scan.awaits_canary {
            order.truncate(1);
            let wait = Span::from_micros((2.0 * self.replicas.mean_latency) as u64);
            self.schedule(host, wait, move |mixer, host| mixer.send_remaining(host, id));
        }
        for index in order {
            let Some(part) = self.scans.get_mut(&id).map(|scan| &mut scan.parts[index]) else { return };
            let skip = part.request.weight <= skippable
                && !self.replicas.has_capacity(
                    now,
                    time_left,
                    part.request.shard,
                    priority * part.request.weight,
                    rank,
                    1,
                );
            skippable -= if skip { part.request.weight } else { 0.0 };
            match self.replicas.choose(now, part.request.shard, class, rank, &part.tried).filter(|_| !skip) {
                Some(to) => self.relay(host, id, index, to),
                None => part.failed = true,
            }
        }
        self.finish_if_decided(host, id);
    }

    /// Sends the parts that waited for the canary.
    fn send_remaining(&mut self, host: &mut dyn Host, id: ScanId) {
        if self.scans.get_mut(&id).is_some_and(|scan| take(&mut scan.awaits_canary)) {
            self.send_parts(host, id);
        }
    }

    /// Sends one part to a searcher and registers the callback that handles its outcome.
    fn relay(&mut self, host: &mut dyn Host, id: ScanId, index: usize, to: Searcher) {
        let now = host.now();
        let Some(scan) = self.scans.get_mut(&id) else { return };
        let (part, class) =
            (&mut scan.parts[index], (scan.traffic_type, self.types[scan.traffic_type].target_latency));
        let ran_before = part.may_have_run;
        let attempt = self.replicas.note_sent(now, to, class);
        let cell = part.request.shard % self.replicas.cells;
        self.replicas.send_rates.entry(cell).or_default().note(now);
        if attempt.retired {
            host.retire_connections(to);
        }
        let relay = Ticket(self.relay_callbacks.insert(Box::new(move |mixer, host, (outcome, elapsed)| {
            let died = mixer.replicas.note_finished(host.now(), &attempt, outcome, elapsed.as_f64());
            mixer.update_reachability(host, &attempt, outcome);
            if let Some(policy) = &mut mixer.fleet_policy {
                let min_latency = Span::from_micros(mixer.replicas.min_latency as u64);
                policy.note_result(
                    host.now(),
                    &PartResult { cell, outcome, elapsed, target_latency: class.1, min_latency },
                );
            }
            let Some(scan) = mixer.scans.get_mut(&id).filter(|scan| index >= scan.step_start) else { return };
            scan.suspects.extend(Some(to).filter(|to| died && !scan.suspects.contains(to)));
            let part = &mut scan.parts[index];
            (part.in_flight, part.succeeded) = (None, outcome == RelayOutcome::Succeeded);
            if matches!(outcome, RelayOutcome::Rejected | RelayOutcome::Unreachable | RelayOutcome::NotSent) {
                part.may_have_run = ran_before;
            }
            part.was_rejected |= outcome == RelayOutcome::Rejected;
            part.failed = !part.succeeded;
            if died && scan.awaits_canary {
                return mixer.finish(host, id);
            }
            if part.failed {
                mixer.retry_part(host, id, index, outcome == RelayOutcome::Rejected);
            }
            mixer.send_remaining(host, id);
            mixer.finish_if_decided(host, id);
        })) as u32);
        part.tried.push(to);
        (part.in_flight, part.failed) = (Some((relay, now)), false);
        part.may_have_run = ran_before.or(Some(now));
        host.relay(relay, id, index, to, scan.deadline.since(now));
        // A retry may wait for a connection or behind other parts until the searchers have forgotten its
        // idempotency key.
        if let (Idempotency::ByKey(window), Some(first)) = (scan.idempotency, ran_before) {
            host.set_send_deadline(relay, (first + window).saturating_sub(self.timer_margin));
        }
        if self.replicas.states.get(&to).is_some_and(|state| state.next_probe.is_some()) {
            self.schedule_probe(host, to, false);
        }
    }

    /// Sends a failed part to another replica.
    ///
    /// A rejected part that its scan cannot be answered without is retried again after an eighth of the
    /// remaining time: failing the scan for one full queue would waste all its other parts in flight. The
    /// cost is borne by clients that would have found capacity sooner by retrying.
    fn retry_part(&mut self, host: &mut dyn Host, id: ScanId, index: usize, may_wait: bool) {
        if let Some(to) = self.choose_retry(host.now(), id, index) {
            let cell = self.scans[&id].parts[index].request.shard % self.replicas.cells;
            self.retry_budget.note_retry(host.now());
            self.fleet_policy.iter_mut().for_each(|policy| policy.note_retry(host.now(), cell));
            return self.relay(host, id, index, to);
        }
        let can_wait = |scan: &&mut Scan| {
            let (part, margin) = (&scan.parts[index], self.timer_margin);
            may_wait
                && part.tried.len() < self.retry_budget.max_attempts
                && part.may_be_sent_again(scan.idempotency, host.now(), margin)
        };
        let Some(scan) = self.scans.get_mut(&id).filter(can_wait) else { return };
        let (part, time_left) = (&scan.parts[index], scan.deadline.since(host.now()));
        let needed = (2.0 * WEIGHT_TOLERANCE..self.types[scan.traffic_type].min_coverage)
            .contains(&(scan.reachable_coverage() + WEIGHT_TOLERANCE));
        let untried =
            self.replicas.replicas_of(part.request.shard).any(|s| !part.tried.contains(&s.entry.searcher));
        if needed && untried && time_left.as_f64() > 2.0 * self.replicas.min_latency {
            scan.parts[index].failed = false;
            self.schedule(host, time_left * 0.125, move |mixer, host| {
                let Some(scan) = mixer.scans.get_mut(&id).filter(|scan| index >= scan.step_start) else {
                    return;
                };
                scan.parts[index].failed = true;
                mixer.retry_part(host, id, index, true);
                mixer.finish_if_decided(host, id);
            });
        }
    }

    /// Chooses another replica for a failed part, if rules 2 and 6 (idempotency and the retry budget) allow
    /// it.
    ///
    /// Guards against any loss of single parts. Retries do harm when all searchers fail together, so a retry
    /// needs as much free capacity as a scan of no value. A scan during which two searchers seemed to crash
    /// may be the cause of it and is not retried.
    fn choose_retry(&mut self, now: Moment, id: ScanId, index: usize) -> Option<Searcher> {
        let scan = self.scans.get(&id)?;
        let (part, kind, time_left) =
            (&scan.parts[index], &self.types[scan.traffic_type], scan.deadline.since(now));
        let safe = part.may_be_sent_again(scan.idempotency, now, self.timer_margin);
        let allowed = time_left > Span::ZERO
            && self.suspected_deaths(now, scan) < 2
            && part.tried.len() < self.retry_budget.max_attempts;
        let has_capacity = safe
            && allowed
            && self.replicas.has_capacity(now, time_left, part.request.shard, 0.0, scan.rank, 1);
        let (class, cell) =
            ((scan.traffic_type, kind.target_latency), part.request.shard % self.replicas.cells);
        let permitted =
            has_capacity && self.fleet_policy.as_ref().is_none_or(|policy| policy.may_retry(now, cell));
        let choose = |replicas: &mut ReplicaTable| {
            replicas.choose(now, part.request.shard, class, scan.rank, &part.tried)
        };
        permitted
            .then(|| choose(&mut self.replicas))
            .flatten()
            .filter(|_| self.retry_budget.allows_retry(now))
    }

    /// Gives up late parts for another replica and retires their connections. Guards against single parts and
    /// connections that get no answer.
    ///
    /// A part is given up only while as much time is left as it takes to be late. If all searchers are
    /// equally slow (eight times the mean is then most of the target latency), a second copy comes too late
    /// and adds load. Searchers that do not stop at a cancellation do the work twice.
    ///
    /// If probes bypass the searchers' queues, the searcher of one of a scan's last few parts is probed when
    /// it has sent nothing for a quarter of that time. If it does not reply within as long again, it counts
    /// as down and its parts are sent elsewhere. Guards against machines that are cut off while their
    /// connections stay open. A searcher that pauses for that long counts as down, too.
    fn check_late_parts(&mut self, host: &mut dyn Host, id: ScanId, late_after: Span) {
        let (now, check_interval) =
            (host.now(), late_after * if self.probes_bypass_queue { 0.25 } else { 1.0 });
        let probe_interval = self.probe_delay(false);
        let Some(scan) = self.scans.get(&id) else { return };
        let outstanding = |(index, part): (usize, &Part)| Some((index, part.in_flight?, *part.tried.last()?));
        let (outstanding, deadline): (Vec<_>, _) =
            (scan.parts.iter().enumerate().filter_map(outstanding).collect(), scan.deadline);
        // If more parts are outstanding, all searchers are stalled.
        let few_outstanding =
            self.probes_bypass_queue && scan.suspects.is_empty() && outstanding.len() * 6 <= scan.parts.len();
        for (index, (relay, sent_at), to) in outstanding {
            let Some(state) = self.replicas.states.get_mut(&to) else { continue };
            let unanswered =
                now.since(sent_at) >= check_interval && state.last_heard <= sent_at && state.entry.ready;
            let unresponsive =
                state.last_probe.is_some_and(|(at, replied)| !replied && now.since(at) >= check_interval)
                    && unanswered;
            if few_outstanding
                && unanswered
                && state.last_probe.is_none_or(|(at, _)| now.since(at) >= probe_interval)
            {
                state.last_probe = Some((now, false));
                host.probe(to);
            } else if unresponsive && state.next_probe.is_none() {
                self.schedule_probe(host, to, true);
            }
            if (unresponsive || now.since(sent_at).min(deadline.since(now)) >= late_after)
                && self.choose_retry(now, id, index).is_some()
            {
                host.retire_connections(to);
                host.cancel(relay);
            }
        }
        self.schedule(host, check_interval, move |mixer, host| mixer.check_late_parts(host, id, late_after));
    }

    /// Finishes the scan if all its parts have an outcome, if enough have succeeded, or if the minimum
    /// coverage is out of reach.
    fn finish_if_decided(&mut self, host: &mut dyn Host, id: ScanId) {
        let Some(scan) = self.scans.get(&id) else { return };
        let (step_parts, kind) = (&scan.parts[scan.step_start..], &self.types[scan.traffic_type]);
        let (covered, complete_from) = scan.coverage(kind);
        let all_decided = step_parts.iter().all(|p| p.succeeded || p.failed);
        let awaits_fetch = step_parts.is_empty() && scan.first_step_complete.is_some();
        if !awaits_fetch
            && (all_decided
                || covered + WEIGHT_TOLERANCE >= complete_from
                || scan.reachable_coverage() + WEIGHT_TOLERANCE < kind.min_coverage)
        {
            self.finish(host, id);
        }
    }

    /// Ends the scan, or its first step, with what has arrived: an answer if the minimum coverage is reached;
    /// a rejection if a retry is safe and the scan does not seem to crash searchers; otherwise a failure.
    /// Relays still in flight are cancelled first, so that nothing is sent after the answer.
    fn finish(&mut self, host: &mut dyn Host, id: ScanId) {
        let Some(mut scan) = self.scans.remove(&id) else { return };
        self.cancel_all(host, &scan);
        let kind = &self.types[scan.traffic_type];
        let (covered, complete_from) = scan.coverage(kind);
        let complete = covered + WEIGHT_TOLERANCE >= complete_from && scan.first_step_complete != Some(false);
        let min_coverage = if kind.min_coverage < kind.complete_from || scan.first_step_complete.is_none() {
            kind.min_coverage
        } else {
            1.0
        };
        let never_ran = scan.parts.iter().all(|p| p.may_have_run.is_none());
        let seems_harmful = self.suspected_deaths(host.now(), &scan) > usize::from(!scan.awaits_canary);
        let last = !kind.has_fetch_step || scan.first_step_complete.is_some();
        if covered > 0.0 && (complete || covered + WEIGHT_TOLERANCE >= min_coverage) {
            host.answer(id, complete, last);
            if !last {
                (scan.step_start, scan.first_step_complete) = (scan.parts.len(), Some(complete));
                self.scans.insert(id, scan);
            }
        } else if scan.idempotency == Idempotency::Idempotent && !seems_harmful || never_ran {
            host.reject(id, self.shedding.retry_after);
        } else {
            host.fail(id);
        }
    }

    /// Returns how many of the searchers that a part of this scan was lost at still seem to be dead.
    fn suspected_deaths(&self, now: Moment, scan: &Scan) -> usize {
        let suspects = scan.suspects.iter().filter_map(|searcher| self.replicas.states.get(searcher));
        suspects.filter(|state| state.seems_dead(now)).count()
    }

    /// Cancels all relays of a scan that are in flight.
    fn cancel_all(&self, host: &mut dyn Host, scan: &Scan) {
        scan.parts.iter().filter_map(|part| part.in_flight).for_each(|(relay, _)| host.cancel(relay));
    }

    /// Updates the design's down mark. A failed connection attempt sets it; a passed probe or any reply from
    /// the searcher clears it. Parts in flight on a connection that broke do not set it: they may have run,
    /// and count as failures.
    fn update_reachability(&mut self, host: &mut dyn Host, attempt: &Attempt, outcome: RelayOutcome) {
        let Some(state) = self.replicas.states.get_mut(&attempt.to) else { return };
        match outcome {
            RelayOutcome::Unreachable if state.next_probe.is_none() => {
                self.schedule_probe(host, attempt.to, true)
            }
            RelayOutcome::Succeeded | RelayOutcome::Failed | RelayOutcome::Rejected => {
                // A reply to a relay sent before the mark shows that the searcher did not restart and that
                // the failed connection was late or lost. A slow start here would hurt all scans that need
                // this replica.
                if attempt.sent_at < state.down_since {
                    state.next_probe = None;
                }
                self.probe_finished(host, attempt.to, true);
            }
            _ => {}
        }
    }

    /// Returns the delay before a searcher that is down is probed: the first time after its loss, or later
    /// ones. The probes of all mixers add up at the searcher.
    fn probe_delay(&mut self, first: bool) -> Span {
        self.fleet_policy.as_mut().and_then(|policy| policy.probe_delay(first)).unwrap_or(PROBE_INTERVAL)
    }

    /// Marks a searcher as down and schedules its next probe.
    fn schedule_probe(&mut self, host: &mut dyn Host, searcher: Searcher, first: bool) {
        let wait = self.probe_delay(first);
        let due = host.now() + wait;
        if let Some(state) = self.replicas.states.get_mut(&searcher) {
            if state.next_probe.is_none() {
                state.down_since = host.now();
            }
            state.next_probe = Some(due);
        }
        self.schedule(host, wait, move |mixer, host| {
            let down =
                mixer.replicas.states.get(&searcher).is_some_and(|state| state.next_probe == Some(due));
            if mixer.replicas.may_probe && down {
                host.probe(searcher);
                mixer.schedule_probe(host, searcher, false);
            }
        });
    }
}

/// Tolerance for rounding in sums of weights: half of what the rules allow.
const WEIGHT_TOLERANCE: f64 = 0.00005;
