//! Every decision of a fernglade mixer: where each part of a scan goes, when the scan is answered, and what
//! is done when searchers fail. A front (`crates/simhost` for the simulator, `crates/mixer` on sockets) calls
//! the public functions of [`Mixer`] with what it hears; it acts by `Host`. The interface is `src/lib.rs`.
//!
//! The ordinary path is the design's (docs/design.md): all parts go out at once, each to the replica with
//! the least smoothed latency x (own parts out + 1); the scan is answered when every part has an outcome,
//! or at its one timer. Each step leaves a closure, and the step's result is handed to it.
//!
//! Beside the design stand six mechanisms:
//! 1. failures, silence and parts in vain read as latency (`ReplicaTable::note_landed`, `ReplicaTable::standing`)
//! 2. a part that failed or is late goes to another replica, in a budget, unless its scan brings searchers
//!    down; while they die, one part goes ahead (`Mixer::again`, `Mixer::hurry`, `Mixer::send_out`)
//! 3. a fresh searcher's cap, which grows with its answers, and a count of what it is sent (`slow_start.rs`,
//!    `ReplicaTable::closed`)
//! 4. a limit on what is in flight at each searcher; what finds no room is turned away, least credit first,
//!    by the fleet's one order where it is wanted (`ReplicaTable::room`, `LoadShedding`, `Mixer::send_out`, `FleetPolicy`)
//! 5. connections that lay idle too long are shut before they are used again (`ReplicaTable::note_sent`)
//! 6. an early end for a scan that can no longer be answered (`Mixer::settle`)

use crate::load_shedding::LoadShedding;
use crate::query::{Part, Scan};
use crate::replicas::{Attempt, ReplicaTable, CHECK_EVERY};
use crate::retry_budget::RetryBudget;
use crate::slow_start::StartsTold;
use crate::*;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::take;

/// What to do with a result, left behind by the step that asked for it.
type Then<R> = Box<dyn FnOnce(&mut Mixer, &mut dyn Host, R)>;

/// How long a new process waits for discovery's first word: a third of what it may take to be ready.
const FIRST_LIST: Span = Span::from_millis(3_000);

#[derive(Default)]
pub struct Mixer {
    types: Vec<TrafficType>,
    roster: ReplicaTable,
    budget: RetryBudget,
    shedding: LoadShedding,
    lead: Span,
    /// Open scans; each leaves with its final answer.
    scans: BTreeMap<ScanId, Scan>,
    /// What to do when a relay lands or a time comes; each is taken out by its one result. A wake whose
    /// scan is over stays until its time, and then finds nobody.
    landings: Slab<Then<(RelayOutcome, Span)>>,
    wakes: Slab<Then<()>>,
    /// Searchers answer checks at once, whatever waits there: the operator's word.
    pub probes_bypass_queue: bool,
    /// The drains' grace, where changes of the list are pushed to an agent on this machine.
    pub pushed_drain_grace: Option<Span>,
    /// Discovery has been heard since this mixer's start.
    has_list: bool,
    /// What is done as one of a fleet, where the operator wants it: asked before the mixer's own limits.
    fleet: Option<Box<dyn FleetPolicy>>,
}

impl Mixer {
    pub fn new(
        types: Vec<TrafficType>,
        roster: ReplicaTable,
        budget: RetryBudget,
        shedding: LoadShedding,
        tick: Span,
    ) -> Self {
        let least = types.iter().map(|t| t.target_latency).min().unwrap_or(Span::ZERO);
        // Three ticks: a late timer, the answer, the network. The design's start: a tenth of the quoted time.
        let mut mixer = Self { types, roster, budget, shedding, lead: tick * 3.0, ..Self::default() };
        (mixer.roster.typical, mixer.roster.shortest) = (least.as_f64() / 10.0, least.as_f64() / 10.0);
        mixer
    }

    /// Whether scans are taken. Where changes are pushed to an agent at hand, what that has counts as told from a new
    /// process's first moment, and the list it starts with may be old: it waits for the agent's word, and no longer
    /// than an agent that is down can be waited for. Hurts a restart while the agent is away, by that time.
    pub fn accepts_scans(&self, now: Moment) -> bool {
        let waited = now.since(self.roster.begun.unwrap_or(now));
        self.pushed_drain_grace.is_none() || self.has_list || waited >= FIRST_LIST
    }

    /// Keeps the list watched, which broke so often since it was last heard. Where changes are pushed to an
    /// agent at hand, what that has counts as told: it is asked anew at once, then by quarters of the drains'
    /// grace, so that a try in vain and the next fit in it; against all that comes between a break and the
    /// next word. Hurts an agent that is down by a call each time. Where all ask one service each has its own
    /// pause.
    pub fn watch(&mut self, host: &mut dyn Host, broke: u32) {
        let pause = match (broke, self.pushed_drain_grace) {
            (0, _) | (1, Some(_)) => Span::ZERO,
            (_, Some(grace)) => (grace * 0.25).max(Span::from_millis(20)),
            (_, None) => Span::from_millis(500 + self.roster.chance.below(500) as u64),
        };
        self.later(host, pause, |_, host| host.watch_discovery());
    }

    /// Discovery's word on searchers; with `whole` who is not in it is gone.
    pub fn update_searchers(&mut self, host: &mut dyn Host, whole: bool, listings: &[SearcherEntry]) {
        self.apply(host, whole, listings);
        self.has_list = true;
    }

    /// The list as it was had before this mixer's start: how old it is nobody knows.
    pub fn restore_searchers(&mut self, host: &mut dyn Host, listings: &[SearcherEntry]) {
        self.apply(host, true, listings);
    }

    fn apply(&mut self, host: &mut dyn Host, whole: bool, listings: &[SearcherEntry]) {
        let now = host.now();
        self.roster.begun.get_or_insert(now);
        let listed: BTreeSet<Searcher> = listings.iter().map(|told| told.searcher).collect();
        let all =
            self.roster.seats.values().filter(|_| whole).map(|s| SearcherEntry { ready: false, ..s.told });
        let mut gone: Vec<SearcherEntry> = all.filter(|told| !listed.contains(&told.searcher)).collect();
        gone.sort_by_key(|told| told.searcher);
        let list = match self.has_list {
            true => StartsTold::SinceLastList,
            false => StartsTold::First { newest: listings.iter().filter_map(|told| told.started).max() },
        };
        for told in gone.into_iter().chain(listings.iter().copied()) {
            let before = self.roster.set_home(told);
            let anew = told.started.filter(|at| before.started != Some(*at));
            let start = anew.and_then(|at| self.roster.cold.start(at, list, now));
            start.iter().for_each(|since| self.roster.renew(now, told.searcher, *since));
        }
        self.roster.let_go();
        self.roster.replicas.settle();
    }

    pub fn start_scan(&mut self, host: &mut dyn Host, id: ScanId, scan: ScanRequest) {
        let now = host.now();
        self.budget.note_taken(now, 1 + scan.parts.len());
        if !self.accepts_scans(now) {
            return host.reject(id, self.shedding.pause);
        }
        let Some(kind) = self.types.get(scan.traffic_type) else { return host.fail(id) };
        // A repeat with less left than its sort has at most has only the rest of the abandon time: its client
        // counts from its first try, and so does what the scan is worth.
        let longest = self.shedding.longest_left.entry(scan.traffic_type).or_default();
        *longest = scan.time_left.max(*longest);
        let elapsed = if scan.is_retry && scan.time_left < *longest {
            kind.client_timeout.saturating_sub(scan.time_left)
        } else {
            Span::ZERO
        };
        let quoted = kind.target_latency + scan.work_hint.unwrap_or(Span::ZERO) * kind.target_per_work;
        let late = elapsed + self.lead >= quoted;
        let quoted = if late { quoted } else { quoted.saturating_sub(elapsed) };
        let over =
            if self.shedding.over_share(now, scan.customer) { self.shedding.over_share_credit } else { 1.0 };
        let credit = kind.credit * over * if late { kind.late_credit } else { 1.0 };
        let (worth, patience) = (
            self.shedding.worth(credit, scan.parts.len()),
            quoted.min(scan.time_left).saturating_sub(self.lead),
        );
        let knock = AdmissionRequest {
            priority: worth,
            is_retry: scan.is_retry,
            parts: &scan.parts,
            cells: self.roster.cells,
        };
        let luck = match self.fleet.as_mut().and_then(|fleet| fleet.admit(now, &knock)) {
            Some(Err(share)) => return host.reject(id, self.shedding.pause * share),
            Some(Ok(stands)) => stands,
            None => self.roster.chance.below(1 << 20) as f64 / f64::from(1 << 20),
        };
        let (mut beside, home) = (BTreeMap::new(), |p: &PartRequest| p.shard % self.roster.cells);
        scan.parts.iter().for_each(|p| *beside.entry(home(p)).or_insert(0) += 1);
        let fits = |p: &&PartRequest| self.roster.room(now, patience, p.shard, worth, luck, beside[&home(p)]);
        let room: f64 = scan.parts.iter().filter(fits).map(|p| p.weight).sum();
        if patience == Span::ZERO || (late && kind.late_credit <= 0.0) || room + SLACK < kind.min_coverage {
            return host.reject(id, self.shedding.pause);
        }
        // Of two steps, the first may take half of the time.
        let wait = patience * if kind.has_fetch_step { 0.5 } else { 1.0 };
        let late = Span::from_micros(self.roster.late(kind.target_latency) as u64);
        let held = self.roster.lossy.iter().any(|lossy| self.roster.seats[lossy].seems_dead(now));
        let parts = scan.parts.iter().map(|taken| Part { taken: *taken, ..Part::default() }).collect();
        let (traffic_type, ends) = (scan.traffic_type, now + patience);
        self.scans.insert(id, Scan { traffic_type, worth, luck, ends, parts, held, ..Scan::default() });
        self.later(host, wait, move |mixer, host| {
            if mixer.scans.get(&id).is_some_and(|scan| scan.first_whole.is_none()) {
                mixer.close(host, id);
            }
        });
        let step = late * if self.probes_bypass_queue { 0.25 } else { 1.0 };
        self.later(host, step, move |mixer, host| mixer.hurry(host, id, late));
        self.send_out(host, id);
    }

    pub fn start_fetch(&mut self, host: &mut dyn Host, id: ScanId, parts: &[PartRequest]) {
        self.budget.note_taken(host.now(), parts.len());
        let Some(scan) = self.scans.get_mut(&id) else { return };
        scan.parts.extend(parts.iter().map(|taken| Part { taken: *taken, ..Part::default() }));
        let rest = scan.ends.since(host.now());
        self.later(host, rest, move |mixer, host| mixer.close(host, id));
        self.send_out(host, id);
    }

    pub fn set_fleet_policy(&mut self, fleet: Box<dyn FleetPolicy>) {
        self.fleet = Some(fleet);
    }

    pub fn reject_scan(&self, host: &mut dyn Host, id: ScanId) {
        host.reject(id, self.shedding.pause);
    }

    pub fn relay_finished(&mut self, host: &mut dyn Host, relay: Ticket, how: RelayOutcome, took: Span) {
        let then = self.landings.try_remove(relay.0 as usize).into_iter();
        then.for_each(|then| then(self, host, (how, took)));
    }

    pub fn timer_fired(&mut self, host: &mut dyn Host, ticket: Ticket) {
        self.wakes.try_remove(ticket.0 as usize).into_iter().for_each(|then| then(self, host, ()));
    }

    /// A check's result: a searcher that passed is taken for one that has just started, as a dead one has.
    pub fn probe_finished(&mut self, host: &mut dyn Host, searcher: Searcher, there: bool) {
        let now = host.now();
        let Some(seat) = self.roster.seats.get_mut(&searcher) else { return };
        seat.asked = seat.asked.map(|(at, told)| (at, told || there));
        if there && seat.down.take().is_some() {
            self.roster.renew(now, searcher, now);
        }
    }

    pub fn client_disconnected(&mut self, host: &mut dyn Host, id: ScanId) {
        self.scans.remove(&id).iter().for_each(|scan| self.call_off_all(host, scan));
    }

    fn later(&mut self, host: &mut dyn Host, wait: Span, then: impl Fn(&mut Self, &mut dyn Host) + 'static) {
        let ticket = self.wakes.insert(Box::new(move |mixer, host, ()| then(mixer, host)));
        host.set_timer(Ticket(ticket as u32), host.now() + wait);
    }

    /// All parts go out at once, heaviest first. Where a searcher is at its limit, light parts of a scan that
    /// may do without are skipped: against crowding by many. Hurts when the limit is wrong. While searchers
    /// die, one part goes ahead until it landed or is late: a scan that kills kills one. Hurts by its time.
    fn send_out(&mut self, host: &mut dyn Host, id: ScanId) {
        let now = host.now();
        let Some(scan) = self.scans.get_mut(&id) else { return };
        let unsent = |at: &usize| scan.parts[*at].tried.is_empty() && !scan.parts[*at].lost;
        let mut order: Vec<usize> = (scan.first..scan.parts.len()).filter(unsent).collect();
        order.sort_by(|a, b| scan.parts[*b].taken.weight.total_cmp(&scan.parts[*a].taken.weight));
        let sort = (scan.traffic_type, self.types[scan.traffic_type].target_latency);
        // Three quarters of the way to the floor: a quarter is for parts lost on the way.
        let mut spare = (1.0 - self.types[scan.traffic_type].min_coverage) * 0.75;
        let (worth, luck, left) = (scan.worth * order.len() as f64, scan.luck, scan.ends.since(now));
        if scan.held {
            order.truncate(1);
            let wait = Span::from_micros((2.0 * self.roster.typical) as u64);
            self.later(host, wait, move |mixer, host| mixer.send_rest(host, id));
        }
        for at in order {
            let Some(part) = self.scans.get_mut(&id).map(|scan| &mut scan.parts[at]) else { return };
            let skip = part.taken.weight <= spare
                && !self.roster.room(now, left, part.taken.shard, worth * part.taken.weight, luck, 1);
            spare -= if skip { part.taken.weight } else { 0.0 };
            match self.roster.place(now, part.taken.shard, sort, luck, &part.tried).filter(|_| !skip) {
                Some(to) => self.relay(host, id, at, to),
                None => part.lost = true,
            }
        }
        self.settle(host, id);
    }

    fn send_rest(&mut self, host: &mut dyn Host, id: ScanId) {
        if self.scans.get_mut(&id).is_some_and(|scan| take(&mut scan.held)) {
            self.send_out(host, id);
        }
    }

    fn relay(&mut self, host: &mut dyn Host, id: ScanId, at: usize, to: Searcher) {
        let now = host.now();
        let Some(scan) = self.scans.get_mut(&id) else { return };
        let (part, sort) =
            (&mut scan.parts[at], (scan.traffic_type, self.types[scan.traffic_type].target_latency));
        let ran_before = part.may_have_run;
        let leg = self.roster.note_sent(now, to, sort);
        let cell = part.taken.shard % self.roster.cells;
        self.roster.flows.entry(cell).or_default().note(now);
        if leg.stale {
            host.retire_connections(to);
        }
        let relay = Ticket(self.landings.insert(Box::new(move |mixer, host, (how, took)| {
            let died = mixer.roster.note_landed(host.now(), &leg, how, took.as_f64());
            mixer.reached_or_not(host, &leg, how);
            if let Some(fleet) = &mut mixer.fleet {
                let shortest = Span::from_micros(mixer.roster.shortest as u64);
                fleet.note_result(
                    host.now(),
                    &PartResult {
                        cell,
                        outcome: how,
                        elapsed: took,
                        target_latency: sort.1,
                        min_latency: shortest,
                    },
                );
            }
            let Some(scan) = mixer.scans.get_mut(&id).filter(|scan| at >= scan.first) else { return };
            scan.killed.extend(Some(to).filter(|to| died && !scan.killed.contains(to)));
            let part = &mut scan.parts[at];
            (part.out, part.honoured) = (None, how == RelayOutcome::Succeeded);
            if matches!(how, RelayOutcome::Rejected | RelayOutcome::Unreachable | RelayOutcome::NotSent) {
                part.may_have_run = ran_before;
            }
            part.lost = !part.honoured;
            if died && scan.held {
                return mixer.close(host, id);
            }
            if part.lost {
                mixer.again(host, id, at, how == RelayOutcome::Rejected);
            }
            mixer.send_rest(host, id);
            mixer.settle(host, id);
        })) as u32);
        part.tried.push(to);
        (part.out, part.lost) = (Some((relay, now)), false);
        part.may_have_run = ran_before.or(Some(now));
        host.relay(relay, id, at, to, scan.ends.since(now));
        // A repeat may wait for a connection, or behind others, until its label is forgotten.
        if let (Idempotency::ByKey(window), Some(first)) =
            (self.types[scan.traffic_type].idempotency, ran_before)
        {
            host.set_send_deadline(relay, (first + window).saturating_sub(self.lead));
        }
        if self.roster.seats.get(&to).is_some_and(|seat| seat.down.is_some()) {
            self.check_later(host, to, false);
        }
    }

    /// Sends a part that failed elsewhere. One that was turned away, without which its scan fails, looks for
    /// room again after an eighth of the time left: given up for one full queue, a scan throws away all that
    /// is out for it. Hurts a client that would have found room sooner by asking again.
    fn again(&mut self, host: &mut dyn Host, id: ScanId, at: usize, may_wait: bool) {
        if let Some(to) = self.another(host.now(), id, at) {
            let cell = self.scans[&id].parts[at].taken.shard % self.roster.cells;
            self.budget.note_retry(host.now());
            self.fleet.iter_mut().for_each(|fleet| fleet.note_retry(host.now(), cell));
            return self.relay(host, id, at, to);
        }
        let may = |scan: &&mut Scan| may_wait && scan.parts[at].tried.len() < self.budget.cap;
        let Some(scan) = self.scans.get_mut(&id).filter(may) else { return };
        let (part, left) = (&scan.parts[at], scan.ends.since(host.now()));
        let needed =
            (2.0 * SLACK..self.types[scan.traffic_type].min_coverage).contains(&(scan.hope() + SLACK));
        let untried = self.roster.holders(part.taken.shard).any(|s| !part.tried.contains(&s.told.searcher));
        if needed && untried && left.as_f64() > 2.0 * self.roster.shortest {
            scan.parts[at].lost = false;
            self.later(host, left * 0.125, move |mixer, host| {
                let Some(scan) = mixer.scans.get_mut(&id).filter(|scan| at >= scan.first) else { return };
                scan.parts[at].lost = true;
                mixer.again(host, id, at, true);
                mixer.settle(host, id);
            });
        }
    }

    /// A part that failed goes at once to a replica it has not been to, as rules 2 and 6 allow: against
    /// whatever loses single parts. Hurts where all fail together; so it needs room as a scan of no credit
    /// would. A scan under whose parts two died may be what kills them, and is carried no further.
    fn another(&mut self, now: Moment, id: ScanId, at: usize) -> Option<Searcher> {
        let scan = self.scans.get(&id)?;
        let (part, kind, left) = (&scan.parts[at], &self.types[scan.traffic_type], scan.ends.since(now));
        let harmless = match (kind.idempotency, part.may_have_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::ByKey(window), Some(first)) => now.since(first) + self.lead < window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        let allowed = left > Span::ZERO && self.deaths(now, scan) < 2 && part.tried.len() < self.budget.cap;
        let room = harmless && allowed && self.roster.room(now, left, part.taken.shard, 0.0, scan.luck, 1);
        let (sort, cell) = ((scan.traffic_type, kind.target_latency), part.taken.shard % self.roster.cells);
        let may = room && self.fleet.as_ref().is_none_or(|fleet| fleet.may_retry(now, cell));
        let place =
            |roster: &mut ReplicaTable| roster.place(now, part.taken.shard, sort, scan.luck, &part.tried);
        may.then(|| place(&mut self.roster)).flatten().filter(|_| self.budget.has_room(now))
    }

    /// A late part is given up for another replica, and its connection trusted no more: against parts and
    /// connections that fall silent alone. Only while as long again is left: where all are slow alike (eight
    /// times the usual is then most of the quoted time) a second copy comes too late and makes them slower.
    /// Hurts where a searcher does not stop at what is called off. Where checks pass by the queue, who of a
    /// scan's last few has told nothing for a quarter of that time is asked whether it is there. Who does not
    /// say so in as long again is down, and its parts go elsewhere: against machines cut off, whose
    /// connections stay open. Hurts who stands still for as long.
    fn hurry(&mut self, host: &mut dyn Host, id: ScanId, late: Span) {
        let (now, step) = (host.now(), late * if self.probes_bypass_queue { 0.25 } else { 1.0 });
        let every = self.asks_in(false);
        let Some(scan) = self.scans.get(&id) else { return };
        let out = |(at, part): (usize, &Part)| Some((at, part.out?, *part.tried.last()?));
        let (out, ends): (Vec<_>, _) = (scan.parts.iter().enumerate().filter_map(out).collect(), scan.ends);
        // More are out where all stand.
        let few = self.probes_bypass_queue && scan.killed.is_empty() && out.len() * 6 <= scan.parts.len();
        for (at, (relay, left), to) in out {
            let Some(seat) = self.roster.seats.get_mut(&to) else { continue };
            let waits = now.since(left) >= step && seat.heard <= left && seat.told.ready;
            let mute = seat.asked.is_some_and(|(at, told)| !told && now.since(at) >= step) && waits;
            if few && waits && seat.asked.is_none_or(|(at, _)| now.since(at) >= every) {
                seat.asked = Some((now, false));
                host.probe(to);
            } else if mute && seat.down.is_none() {
                self.check_later(host, to, true);
            }
            if (mute || now.since(left).min(ends.since(now)) >= late) && self.another(now, id, at).is_some() {
                host.retire_connections(to);
                host.cancel(relay);
            }
        }
        self.later(host, step, move |mixer, host| mixer.hurry(host, id, late));
    }

    /// Ends the scan where all parts have an outcome, enough are in, or what may be answered is out of reach.
    fn settle(&mut self, host: &mut dyn Host, id: ScanId) {
        let Some(scan) = self.scans.get(&id) else { return };
        let (step, kind) = (&scan.parts[scan.first..], &self.types[scan.traffic_type]);
        let (honoured, whole_from) = scan.reached(kind);
        let all = step.iter().all(|p| p.honoured || p.lost);
        let waits = step.is_empty() && scan.first_whole.is_some();
        if !waits && (all || honoured + SLACK >= whole_from || scan.hope() + SLACK < kind.min_coverage) {
            self.close(host, id);
        }
    }

    /// The final answer, or the first of two, from what is in: an answer where the floor is reached; a bounce
    /// where trying again is harmless and no searchers seem to die of it; else a write-off. What is still out
    /// is called off first, so that nothing is sent after it.
    fn close(&mut self, host: &mut dyn Host, id: ScanId) {
        let Some(mut scan) = self.scans.remove(&id) else { return };
        self.call_off_all(host, &scan);
        let kind = &self.types[scan.traffic_type];
        let (honoured, whole_from) = scan.reached(kind);
        let whole = honoured + SLACK >= whole_from && scan.first_whole != Some(false);
        let floor = if kind.min_coverage < kind.complete_from || scan.first_whole.is_none() {
            kind.min_coverage
        } else {
            1.0
        };
        let never_ran = scan.parts.iter().all(|p| p.may_have_run.is_none());
        let kills = self.deaths(host.now(), &scan) > usize::from(!scan.held);
        let last = !kind.has_fetch_step || scan.first_whole.is_some();
        if honoured > 0.0 && (whole || honoured + SLACK >= floor) {
            host.answer(id, whole, last);
            if !last {
                (scan.first, scan.first_whole) = (scan.parts.len(), Some(whole));
                self.scans.insert(id, scan);
            }
        } else if kind.idempotency == Idempotency::Idempotent && !kills || never_ran {
            host.reject(id, self.shedding.pause);
        } else {
            host.fail(id);
        }
    }

    fn deaths(&self, now: Moment, scan: &Scan) -> usize {
        let killed = scan.killed.iter().filter_map(|searcher| self.roster.seats.get(searcher));
        killed.filter(|seat| seat.seems_dead(now)).count()
    }

    fn call_off_all(&self, host: &mut dyn Host, scan: &Scan) {
        scan.parts.iter().filter_map(|part| part.out).for_each(|(relay, _)| host.cancel(relay));
    }

    /// The design's down mark: a connection failure sets it, a check that passes or any word from it lifts
    /// it. Parts that were out when a connection broke do not: they may have run, and count as failures.
    fn reached_or_not(&mut self, host: &mut dyn Host, leg: &Attempt, how: RelayOutcome) {
        let Some(seat) = self.roster.seats.get_mut(&leg.to) else { return };
        match how {
            RelayOutcome::Unreachable if seat.down.is_none() => self.check_later(host, leg.to, true),
            RelayOutcome::Succeeded | RelayOutcome::Failed | RelayOutcome::Rejected => {
                // What was out before the mark came back over a connection that lived on: there was no start, and
                // the one that failed was late or lost. A slow start would hurt all that need this replica.
                if leg.left < seat.down_since {
                    seat.down = None;
                }
                self.probe_finished(host, leg.to, true);
            }
            _ => {}
        }
    }

    /// How long until a searcher is asked: first after its loss, then again. All of a fleet add up there.
    fn asks_in(&mut self, first: bool) -> Span {
        self.fleet.as_mut().and_then(|fleet| fleet.probe_delay(first)).unwrap_or(CHECK_EVERY)
    }

    fn check_later(&mut self, host: &mut dyn Host, searcher: Searcher, first: bool) {
        let wait = self.asks_in(first);
        let due = host.now() + wait;
        if let Some(seat) = self.roster.seats.get_mut(&searcher) {
            if seat.down.is_none() {
                seat.down_since = host.now();
            }
            seat.down = Some(due);
        }
        self.later(host, wait, move |mixer, host| {
            let down = mixer.roster.seats.get(&searcher).is_some_and(|seat| seat.down == Some(due));
            if mixer.roster.may_check && down {
                host.probe(searcher);
                mixer.check_later(host, searcher, false);
            }
        });
    }
}

/// Sums of weights may fall short by half of the rules' figure.
const SLACK: f64 = 0.00005;
