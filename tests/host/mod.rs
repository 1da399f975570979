//! A fake host, and a mixer with three searchers that each hold every shard.

use fernglade::choice::Mixer;
use fernglade::load_shedding::LoadShedding;
use fernglade::replicas::ReplicaTable;
use fernglade::retry_budget::RetryBudget;
use fernglade::slow_start::SlowStart;
use fernglade::{
    Host, Idempotency, ListedSearcher, Moment, PartSpec, RelayOutcome, ScanId, ScanSpec, Searcher, Span,
    Ticket, TrafficType,
};

/// How a scan was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Complete,
    Partial,
    FirstStep,
    Rejected,
    Failed,
}

/// A relay that the mixer sent.
#[derive(Clone, Copy, Debug)]
pub struct Relay {
    pub ticket: Ticket,
    pub scan: ScanId,
    pub part: usize,
    pub to: u32,
    pub at: Moment,
    pub timeout: Span,
    pub finished: bool,
}

/// Records what the mixer does and supplies the time.
#[derive(Default)]
pub struct FakeHost {
    pub now: Moment,
    pub relays: Vec<Relay>,
    pub cancelled: Vec<Ticket>,
    pub endings: Vec<(ScanId, Ending)>,
    /// The pauses that rejected clients were sent, in order.
    pub pauses: Vec<Span>,
    pub probes: Vec<u32>,
    pub retired: Vec<u32>,
    pub watches: usize,
    timers: Vec<(Moment, Ticket)>,
}

impl Host for FakeHost {
    fn now(&self) -> Moment {
        self.now
    }
    fn relay(&mut self, ticket: Ticket, scan: ScanId, part: usize, to: Searcher, timeout: Span) {
        assert!(self.ending(scan).is_none(), "rule 1: a part sent after the final answer");
        self.relays.push(Relay { ticket, scan, part, to: to.0, at: self.now, timeout, finished: false });
    }
    fn cancel(&mut self, relay: Ticket) {
        if !self.cancelled.contains(&relay) {
            self.cancelled.push(relay);
        }
    }
    fn answer(&mut self, scan: ScanId, complete: bool, last: bool) {
        let ending = if complete { Ending::Complete } else { Ending::Partial };
        self.end(scan, if last { ending } else { Ending::FirstStep });
    }
    fn reject(&mut self, scan: ScanId, pause: Span) {
        self.pauses.push(pause);
        self.end(scan, Ending::Rejected);
    }
    fn fail(&mut self, scan: ScanId) {
        self.end(scan, Ending::Failed);
    }
    fn set_timer(&mut self, ticket: Ticket, at: Moment) {
        self.timers.push((at, ticket));
    }
    fn probe(&mut self, searcher: Searcher) {
        self.probes.push(searcher.0);
    }
    fn retire_connections(&mut self, searcher: Searcher) {
        self.retired.push(searcher.0);
    }
    fn watch_discovery(&mut self) {
        self.watches += 1;
    }
}

impl FakeHost {
    fn end(&mut self, scan: ScanId, ending: Ending) {
        assert!(self.ending(scan).is_none(), "rule 1: a second final answer");
        self.endings.push((scan, ending));
    }
    pub fn ending(&self, scan: ScanId) -> Option<Ending> {
        let last = |(id, ending): &&(ScanId, Ending)| *id == scan && *ending != Ending::FirstStep;
        self.endings.iter().find(last).map(|(_, ending)| *ending)
    }
}

/// The time at which every scenario starts.
const START: Moment = Moment::from_micros(100_000_000);

/// A mixer with its fake host.
pub struct Scenario {
    pub mixer: Mixer,
    pub host: FakeHost,
    scans: u32,
    /// Whether the parts of the scans must reach one searcher at most.
    pub single_delivery: bool,
}

/// A traffic type whose scans are answered only from all parts.
pub fn complete_only() -> TrafficType {
    TrafficType {
        target_latency: Span::from_millis(2000),
        target_per_work: 0.0,
        client_timeout: Span::from_millis(4000),
        credit: 1.0,
        late_credit: 0.1,
        idempotency: Idempotency::Idempotent,
        min_coverage: 1.0,
        complete_from: 1.0,
        has_fetch_step: false,
    }
}

/// A scenario with one traffic type and three searchers.
pub fn scenario(traffic_type: TrafficType) -> Scenario {
    scenario_with(traffic_type, RetryBudget::new(3, None), true)
}

pub fn scenario_with(traffic_type: TrafficType, budget: RetryBudget, may_probe: bool) -> Scenario {
    scenario_of(vec![traffic_type], budget, may_probe)
}

pub fn mixer(traffic_types: Vec<TrafficType>, mixers: f64, budget: RetryBudget, may_probe: bool) -> Mixer {
    mixer_of(traffic_types, mixers, budget, may_probe, 1, 7)
}

/// A mixer in a fleet of `mixers`, distinguished by its seed, in a deployment of `cells` cells.
pub fn mixer_of(
    traffic_types: Vec<TrafficType>,
    mixers: f64,
    budget: RetryBudget,
    may_probe: bool,
    cells: u32,
    seed: u64,
) -> Mixer {
    let (warm_up, overload_window) = (Span::from_millis(18_000), Span::from_millis(2_000));
    let slow_start = SlowStart { mixers, initial_share: 0.2, warm_up, overload_factor: 2.0, overload_window };
    let replicas = ReplicaTable::new(seed, cells, 1, 1, may_probe, slow_start);
    let shedding = LoadShedding::new(mixers as usize, &[1000.0], 0.1, true, Span::from_millis(500));
    Mixer::new(traffic_types, replicas, budget, shedding, Span::from_millis(5))
}

pub fn scenario_of(traffic_types: Vec<TrafficType>, budget: RetryBudget, may_probe: bool) -> Scenario {
    let mut scenario = without_searchers(mixer(traffic_types, 2.0, budget, may_probe));
    scenario.list(true, &[(0, true), (1, true), (2, true)], None);
    scenario
}

/// A scenario whose mixer has no list of searchers yet.
pub fn without_searchers(mixer: Mixer) -> Scenario {
    Scenario { mixer, host: FakeHost { now: START, ..FakeHost::default() }, scans: 0, single_delivery: false }
}

impl Scenario {
    /// Lists `replicas` searchers for each cell, numbered consecutively; the first `fresh` of each cell
    /// started now.
    pub fn list_cells(&mut self, cells: u32, replicas: u32, fresh: u32) {
        let entry = |id: u32| ListedSearcher {
            searcher: Searcher(id),
            cell: id / replicas,
            ready: true,
            started: Some(self.host.now).filter(|_| id % replicas < fresh),
            ..ListedSearcher::default()
        };
        let entries: Vec<ListedSearcher> = (0..cells * replicas).map(entry).collect();
        self.mixer.update_searchers(&mut self.host, true, &entries);
    }

    pub fn list(&mut self, full_list: bool, searchers: &[(u32, bool)], started: Option<Moment>) {
        let entry = |&(id, ready): &(u32, bool)| ListedSearcher {
            searcher: Searcher(id),
            ready,
            started,
            ..ListedSearcher::default()
        };
        let entries: Vec<ListedSearcher> = searchers.iter().map(entry).collect();
        self.mixer.update_searchers(&mut self.host, full_list, &entries);
    }

    /// Starts a scan of `parts` parts of equal weight.
    pub fn scan(&mut self, parts: u32) -> ScanId {
        self.scan_with_weights(&vec![1.0 / f64::from(parts); parts as usize], 4000, false)
    }

    pub fn scan_with_weights(&mut self, weights: &[f64], time_left: u64, is_retry: bool) -> ScanId {
        self.scan_of_type(0, weights, time_left, is_retry)
    }

    pub fn scan_of_type(
        &mut self,
        traffic_type: usize,
        weights: &[f64],
        time_left: u64,
        is_retry: bool,
    ) -> ScanId {
        let id = ScanId { slot: self.scans, generation: 1 };
        self.scans += 1;
        let request = |(shard, weight): (usize, &f64)| PartSpec { shard: shard as u32, weight: *weight };
        let parts = weights.iter().enumerate().map(request).collect();
        let time_left = Span::from_millis(time_left);
        let scan = ScanSpec {
            traffic_type,
            customer: 0,
            time_left,
            work_hint: None,
            is_retry,
            single_delivery: self.single_delivery,
            parts,
        };
        self.mixer.start_scan(&mut self.host, id, scan);
        id
    }

    /// Returns the relays of a scan that have not finished.
    pub fn in_flight(&self, scan: ScanId) -> Vec<Relay> {
        self.host.relays.iter().filter(|r| r.scan == scan && !r.finished).copied().collect()
    }

    /// Ends a relay with this outcome and reports it to the mixer.
    pub fn finish(&mut self, relay: Relay, outcome: RelayOutcome) {
        self.host
            .relays
            .iter_mut()
            .filter(|r| !r.finished && r.ticket == relay.ticket)
            .for_each(|r| r.finished = true);
        let elapsed = self.host.now.since(relay.at);
        self.mixer.relay_finished(&mut self.host, relay.ticket, outcome, elapsed);
    }

    /// Ends all relays of a scan that are in flight.
    pub fn finish_all(&mut self, scan: ScanId, outcome: RelayOutcome) {
        for relay in self.in_flight(scan) {
            self.finish(relay, outcome);
        }
    }

    /// Advances the time to `millis` after the start, if that is in the future.
    pub fn advance_to(&mut self, millis: u64) {
        let until = START + Span::from_millis(millis);
        self.advance(until.since(self.host.now).micros() / 1000);
    }

    /// Advances the time and fires the timers that become due.
    pub fn advance(&mut self, millis: u64) {
        let until = self.host.now + Span::from_millis(millis);
        while let Some(due) = self.host.timers.iter().filter(|(at, _)| *at <= until).min().copied() {
            self.host.timers.retain(|timer| *timer != due);
            self.host.now = due.0.max(self.host.now);
            self.mixer.timer_fired(&mut self.host, due.1);
        }
        self.host.now = until;
    }

    /// Runs scans whose parts all succeed after `millis`, so that every searcher is known to answer in that
    /// time.
    pub fn warm_up(&mut self, millis: u64) {
        for _ in 0..20 {
            let id = self.scan(3);
            self.advance(millis);
            self.finish_all(id, RelayOutcome::Succeeded);
        }
    }
}
