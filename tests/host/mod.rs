//! One tiny fake host, and a mixer of three searchers that hold every shard.

use fernglade::choice::Mixer;
use fernglade::load_shedding::LoadShedding;
use fernglade::replicas::ReplicaTable;
use fernglade::retry_budget::RetryBudget;
use fernglade::slow_start::SlowStart;
use fernglade::{
    Host, Idempotency, Moment, PartRequest, RelayOutcome, ScanId, ScanRequest, Searcher, SearcherEntry, Span,
    Ticket, TrafficType,
};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Whole,
    Partial,
    FirstStep,
    Bounced,
    WrittenOff,
}

#[derive(Clone, Copy, Debug)]
pub struct Relay {
    pub ticket: Ticket,
    pub scan: ScanId,
    pub part: usize,
    pub to: u32,
    pub at: Moment,
    pub patience: Span,
    pub landed: bool,
}

#[derive(Default)]
pub struct Fake {
    pub now: Moment,
    pub relays: Vec<Relay>,
    pub called_off: Vec<Ticket>,
    pub endings: Vec<(ScanId, Ending)>,
    /// What those bounced were told to wait, in order.
    pub pauses: Vec<Span>,
    pub checks: Vec<u32>,
    pub hung_up: Vec<u32>,
    pub watches: usize,
    wakes: Vec<(Moment, Ticket)>,
}

impl Host for Fake {
    fn now(&self) -> Moment {
        self.now
    }
    fn relay(&mut self, ticket: Ticket, scan: ScanId, part: usize, to: Searcher, patience: Span) {
        assert!(self.ending(scan).is_none(), "rule 1: a part sent after the final answer");
        self.relays.push(Relay { ticket, scan, part, to: to.0, at: self.now, patience, landed: false });
    }
    fn cancel(&mut self, relay: Ticket) {
        if !self.called_off.contains(&relay) {
            self.called_off.push(relay);
        }
    }
    fn answer(&mut self, scan: ScanId, whole: bool, last: bool) {
        let ending = if whole { Ending::Whole } else { Ending::Partial };
        self.end(scan, if last { ending } else { Ending::FirstStep });
    }
    fn reject(&mut self, scan: ScanId, pause: Span) {
        self.pauses.push(pause);
        self.end(scan, Ending::Bounced);
    }
    fn fail(&mut self, scan: ScanId) {
        self.end(scan, Ending::WrittenOff);
    }
    fn set_timer(&mut self, ticket: Ticket, at: Moment) {
        self.wakes.push((at, ticket));
    }
    fn probe(&mut self, searcher: Searcher) {
        self.checks.push(searcher.0);
    }
    fn retire_connections(&mut self, searcher: Searcher) {
        self.hung_up.push(searcher.0);
    }
    fn watch_discovery(&mut self) {
        self.watches += 1;
    }
}

impl Fake {
    fn end(&mut self, scan: ScanId, ending: Ending) {
        assert!(self.ending(scan).is_none(), "rule 1: a second final answer");
        self.endings.push((scan, ending));
    }
    pub fn ending(&self, scan: ScanId) -> Option<Ending> {
        let last = |(id, ending): &&(ScanId, Ending)| *id == scan && *ending != Ending::FirstStep;
        self.endings.iter().find(last).map(|(_, ending)| *ending)
    }
}

/// When every story begins.
const BEGAN: Moment = Moment::from_micros(100_000_000);

pub struct Story {
    pub mixer: Mixer,
    pub host: Fake,
    scans: u32,
}

pub fn whole_only() -> TrafficType {
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

pub fn story(kind: TrafficType) -> Story {
    story_with(kind, RetryBudget::new(3, None), true)
}

pub fn story_with(kind: TrafficType, budget: RetryBudget, may_check: bool) -> Story {
    story_of(vec![kind], budget, may_check)
}

pub fn mixer(types: Vec<TrafficType>, fleet: f64, budget: RetryBudget, may_check: bool) -> Mixer {
    mixer_of(types, fleet, budget, may_check, 1, 7)
}

/// One of many, by its seed, before so many cells.
pub fn mixer_of(
    types: Vec<TrafficType>,
    fleet: f64,
    budget: RetryBudget,
    may_check: bool,
    cells: u32,
    seed: u64,
) -> Mixer {
    let (cold, fall) = (Span::from_millis(18_000), Span::from_millis(2_000));
    let cold = SlowStart {
        mixers: fleet,
        initial_share: 0.2,
        warm_up: cold,
        overload_factor: 2.0,
        overload_window: fall,
    };
    let roster = ReplicaTable::new(seed, cells, 1, 1, may_check, cold);
    let door = LoadShedding::new(fleet as usize, &[1000.0], 0.1, true, Span::from_millis(500));
    Mixer::new(types, roster, budget, door, Span::from_millis(5))
}

pub fn story_of(types: Vec<TrafficType>, budget: RetryBudget, may_check: bool) -> Story {
    let mut story = bare(mixer(types, 2.0, budget, may_check));
    story.list(true, &[(0, true), (1, true), (2, true)], None);
    story
}

/// A mixer that knows of nobody yet.
pub fn bare(mixer: Mixer) -> Story {
    Story { mixer, host: Fake { now: BEGAN, ..Fake::default() }, scans: 0 }
}

impl Story {
    /// Replicas of every cell, numbered through: `fresh` of each started now.
    pub fn list_cells(&mut self, cells: u32, replicas: u32, fresh: u32) {
        let line = |id: u32| SearcherEntry {
            searcher: Searcher(id),
            cell: id / replicas,
            ready: true,
            started: Some(self.host.now).filter(|_| id % replicas < fresh),
            ..SearcherEntry::default()
        };
        let lines: Vec<SearcherEntry> = (0..cells * replicas).map(line).collect();
        self.mixer.update_searchers(&mut self.host, true, &lines);
    }

    pub fn list(&mut self, whole: bool, searchers: &[(u32, bool)], started: Option<Moment>) {
        let line = |&(id, ready): &(u32, bool)| SearcherEntry {
            searcher: Searcher(id),
            ready,
            started,
            ..SearcherEntry::default()
        };
        let lines: Vec<SearcherEntry> = searchers.iter().map(line).collect();
        self.mixer.update_searchers(&mut self.host, whole, &lines);
    }

    /// A scan of so many parts of one weight.
    pub fn scan(&mut self, parts: u32) -> ScanId {
        self.scan_weighing(&vec![1.0 / f64::from(parts); parts as usize], 4000, false)
    }

    pub fn scan_weighing(&mut self, weights: &[f64], left: u64, repeat: bool) -> ScanId {
        self.scan_of(0, weights, left, repeat)
    }

    pub fn scan_of(&mut self, traffic_type: usize, weights: &[f64], left: u64, repeat: bool) -> ScanId {
        let id = ScanId { slot: self.scans, generation: 1 };
        self.scans += 1;
        let taken = |(shard, weight): (usize, &f64)| PartRequest { shard: shard as u32, weight: *weight };
        let parts = weights.iter().enumerate().map(taken).collect();
        let left = Span::from_millis(left);
        let scan = ScanRequest {
            traffic_type,
            customer: 0,
            time_left: left,
            work_hint: None,
            is_retry: repeat,
            parts,
        };
        self.mixer.start_scan(&mut self.host, id, scan);
        id
    }

    /// Relays of a scan that have not landed.
    pub fn out(&self, scan: ScanId) -> Vec<Relay> {
        self.host.relays.iter().filter(|r| r.scan == scan && !r.landed).copied().collect()
    }

    pub fn land(&mut self, relay: Relay, how: RelayOutcome) {
        self.host
            .relays
            .iter_mut()
            .filter(|r| !r.landed && r.ticket == relay.ticket)
            .for_each(|r| r.landed = true);
        let took = self.host.now.since(relay.at);
        self.mixer.relay_finished(&mut self.host, relay.ticket, how, took);
    }

    pub fn land_all(&mut self, scan: ScanId, how: RelayOutcome) {
        for relay in self.out(scan) {
            self.land(relay, how);
        }
    }

    /// The same until so many milliseconds after its beginning, if that is to come.
    pub fn pass_until(&mut self, millis: u64) {
        let until = BEGAN + Span::from_millis(millis);
        self.pass(until.since(self.host.now).micros() / 1000);
    }

    /// Lets time go by, and the timers ring.
    pub fn pass(&mut self, millis: u64) {
        let until = self.host.now + Span::from_millis(millis);
        while let Some(due) = self.host.wakes.iter().filter(|(at, _)| *at <= until).min().copied() {
            self.host.wakes.retain(|wake| *wake != due);
            self.host.now = due.0.max(self.host.now);
            self.mixer.timer_fired(&mut self.host, due.1);
        }
        self.host.now = until;
    }

    /// Scans that all go well, so that every searcher is known to answer in so many milliseconds.
    pub fn settle_in(&mut self, millis: u64) {
        for _ in 0..20 {
            let id = self.scan(3);
            self.pass(millis);
            self.land_all(id, RelayOutcome::Succeeded);
        }
    }
}
