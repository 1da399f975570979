//! Replays the same scans through the platform's API and through the query API, against searchers that behave
//! the same. Both runs must end exactly alike. Time is virtual and all randomness comes from a seed.
//!
//! An edit through the query API must reach one searcher only, whatever its traffic type allows. So its equal
//! on the platform's side is a scan of a type that must not run twice, as long as no searcher rejects it.

use super::*;
use crate::protocol::discovery::{ListUpdate, SearcherEntry};
use crate::protocol::frames::{PartOutcome, PartRequest};
use crate::protocol::scans::{ScanPart, ScanRequest};
use fernglade::{Moment, Span};
use fernglade_admission::DescriptorBudget;
use fernglade_dialect::request::Request;
use fernglade_dialect::search::Search;
use fernglade_fronts::Settings;
use fernglade_orders::OperatorConfig;
use fernglade_standins::documents::{build_shard, AnswerMode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SETTINGS: &str =
    "services.count=3\nservices.0.name=window\nservices.0.aim=2000000\nservices.0.give_up=4000000\n\
services.0.repeat=pure\nservices.1.name=library\nservices.1.aim=2500000\nservices.1.give_up=5000000\n\
services.1.repeat=pure\nservices.2.name=fix\nservices.2.aim=2000000\nservices.2.give_up=5000000\n\
services.2.repeat=token\nservices.2.window=2500000\n\
customers.count=1\ncustomers.0.name=acme\n\
customers.0.quota_per_s=1000\nfamily_info.cells=1\nfamily_info.width=1\nfamily_info.slabs=6\n\
family_info.floor_by_class=1.0,0.5,1.0\nfamily_info.complete_from=1.0,1.0,1.0\n\
limits.attempts_cap=3\nlimits.cancel=true\nlimits.may_probe=true\nlimits.dial_timeout=250000\n\
limits.max_open=4000\nlimits.multiplex=32\ntick=5000\nfleet_size=2\n";

/// The traffic type of edits in [`SETTINGS`], and the one that they are replayed with through the platform's
/// API.
const KEYED_EDITS: &str = "services.2.repeat=token\nservices.2.window=2500000\n";
const IRREVERSIBLE_EDITS: &str = "services.2.repeat=side_effect\n";

const INDICES: &str = "{ dialect: { indices: {
  cues: { searches: 'window', edits: 'fix', customer: 'acme' },
  films: { searches: 'library', customer: 'acme', partial: true } } } }";

const SHARDS: u32 = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Window,
    Library,
    Fix,
}

/// One scan of a replay: when it is sent, its kind, its shards and its key.
#[derive(Clone, Debug)]
struct ScanLine {
    at: u64,
    kind: Kind,
    shards: Vec<u32>,
    key: u32,
}

/// The recorded scans, as generated from the first seed, one per line.
const RECORDED_SCANS: &str = include_str!("premiere.tsv");

fn recorded_scans() -> Vec<ScanLine> {
    let line = |line: &str| {
        let words: Vec<&str> = line.split('\t').collect();
        let kind = match words[1] {
            "window" => Kind::Window,
            "library" => Kind::Library,
            _ => Kind::Fix,
        };
        let shards = words[2].split(',').map(|shard| shard.parse().unwrap()).collect();
        ScanLine { at: words[0].parse().unwrap(), kind, shards, key: words[3].parse().unwrap() }
    };
    RECORDED_SCANS.lines().map(line).collect()
}

/// Formats a scan as a line of the file.
fn to_tsv(line: &ScanLine) -> String {
    let kind = match line.kind {
        Kind::Window => "window",
        Kind::Library => "library",
        Kind::Fix => "fix",
    };
    let shards: Vec<String> = line.shards.iter().map(u32::to_string).collect();
    format!("{}\t{kind}\t{}\t{}\n", line.at, shards.join(","), line.key)
}

/// Some hundred scans: a calm start, a burst as an episode is released, and a few keys in high demand.
fn generate_scans(seed: u64) -> Vec<ScanLine> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut at = 0;
    let line = |number: u64| {
        let burst = (120..360).contains(&number);
        at += rng.random_range(0..if burst { 4 } else { 40 });
        let kind = match rng.random_range(0..100) {
            0..55 => Kind::Window,
            55..78 => Kind::Library,
            _ => Kind::Fix,
        };
        let key = rng.random_range(0..20u32).min(rng.random_range(0..200));
        let first = key % SHARDS;
        let shards = match kind {
            Kind::Fix => vec![edit_for(key).shard(SHARDS)],
            Kind::Window => {
                let mut shards: Vec<u32> = (0..3).map(|n| (first + n) % SHARDS).collect();
                shards.sort_unstable();
                shards
            }
            Kind::Library => (0..SHARDS).collect(),
        };
        ScanLine { at, kind, shards, key }
    };
    (0..480).map(line).collect()
}

fn edit_for(key: u32) -> fernglade_dialect::request::Edit {
    let target = format!("/cues/_update/k{key}");
    let request = Request::parse(
        "POST",
        &target,
        |name| (name == "idempotency-key").then_some("k"),
        br#"{"doc":{"cue":"x"}}"#,
    );
    match request.unwrap().operation {
        fernglade_dialect::request::Operation::Edit { edit, .. } => edit,
        _ => unreachable!("an edit"),
    }
}

#[derive(Clone, Copy, PartialEq)]
enum ClientApi {
    Platform,
    QueryApi,
}

/// What happens to a part, drawn from the scan, shard and attempt so that it is the same for both APIs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SimulatedOutcome {
    Answered(u64),
    Erred(u64),
    TurnedAway(u64),
    Unanswered,
    LinkBroken(u64),
}

fn draw_outcome(seed: u64, scan: usize, shard: u32, attempts: usize) -> SimulatedOutcome {
    let mut rng =
        Pcg32::seed_from_u64(seed ^ (scan as u64 * 1_000_003 + u64::from(shard) * 101 + attempts as u64));
    let after = rng.random_range(5..60);
    match rng.random_range(0..100) {
        0..6 => SimulatedOutcome::Erred(after),
        6..9 => SimulatedOutcome::TurnedAway(after),
        9..12 => SimulatedOutcome::Unanswered,
        12..14 => SimulatedOutcome::LinkBroken(after),
        _ => SimulatedOutcome::Answered(after),
    }
}

/// How the scans of one kind ended, and how many relays were sent for them.
#[derive(Clone, Debug, Default, PartialEq)]
struct Counts {
    complete: usize,
    partial: usize,
    rejected: usize,
    failed: usize,
    relays: usize,
    further: usize,
}

enum ScheduledEvent {
    SendScan(usize),
    LinkConnected(LinkId),
    PartOutcome(LinkId, PartRequest, SimulatedOutcome),
    ClientDisconnected(ClientId),
}

struct Replay {
    api: ClientApi,
    seed: u64,
    /// Whether searchers reject edits at times.
    rejects_edits: bool,
    state: State,
    now: Moment,
    scheduled: BTreeMap<(Moment, u64), ScheduledEvent>,
    count: u64,
    timer: Option<Moment>,
    scans: Vec<ScanLine>,
    attempts: BTreeMap<(usize, u32), usize>,
    counts: BTreeMap<Kind, Counts>,
    scans_by_client: BTreeMap<ClientId, usize>,
    values: BTreeMap<u32, String>,
}

impl Replay {
    fn new(api: ClientApi, seed: u64, rejects_edits: bool) -> Self {
        let settings = match api {
            ClientApi::Platform => SETTINGS.replace(KEYED_EDITS, IRREVERSIBLE_EDITS),
            ClientApi::QueryApi => SETTINGS.into(),
        };
        let settings = Settings::parse(settings.as_bytes()).unwrap();
        let descriptors = DescriptorBudget {
            reserved: 0,
            rejections: 8,
            searcher_connections: 40,
            client_connections: 700,
        };
        let operator = OperatorConfig::parse(INDICES).unwrap();
        let mut state = State::new(&settings, 7, descriptors, &operator, "n0").unwrap();
        let now = Moment::from_micros(1_764_000_000_000_000);
        let searcher_entry = |number: u16| {
            let address: SocketAddr = ([127, 0, 0, 1], 9000 + number).into();
            SearcherEntry {
                name: format!("s{number}"),
                address,
                zone: "a".into(),
                cell: 0,
                ready: true,
                removed: false,
                started_at: None,
            }
        };
        let known = ListUpdate { version: 5, is_full: true, entries: (0..5).map(searcher_entry).collect() };
        let first = state.begin(&known, ([127, 0, 0, 1], 8500).into(), now);
        let scans = if seed == 1 { recorded_scans() } else { generate_scans(seed) };
        let mut replay = Self {
            api,
            seed,
            rejects_edits,
            state,
            now,
            scheduled: BTreeMap::new(),
            count: 0,
            timer: None,
            attempts: BTreeMap::new(),
            counts: BTreeMap::new(),
            scans_by_client: BTreeMap::new(),
            values: BTreeMap::new(),
            scans,
        };
        for (number, line) in replay.scans.clone().iter().enumerate() {
            replay.schedule(line.at, ScheduledEvent::SendScan(number));
        }
        replay.apply(first);
        replay
    }

    fn schedule(&mut self, millis: u64, due: ScheduledEvent) {
        self.count += 1;
        self.scheduled.insert((self.now + Span::from_millis(millis), self.count), due);
    }

    fn feed(&mut self, event: Event) {
        let effects = reduce(&mut self.state, event, self.now);
        self.apply(effects);
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SetTimer(at) => self.timer = Some(at),
                Effect::Dial { link, .. } => self.schedule(1, ScheduledEvent::LinkConnected(link)),
                Effect::Call { link, call, part_requests } => {
                    // The last byte is written at once; the outcome is scheduled for later.
                    let outcomes: Vec<SimulatedOutcome> =
                        part_requests.iter().map(|part_request| self.relay_sent(part_request)).collect();
                    self.call_written(link, call, part_requests, outcomes);
                }
                Effect::Reply { client, reply, .. } => {
                    self.count_reply(client, &reply);
                    self.schedule(1, ScheduledEvent::ClientDisconnected(client));
                }
                Effect::CloseClient(client) => self.schedule(1, ScheduledEvent::ClientDisconnected(client)),
                _ => {}
            }
        }
    }

    fn call_written(
        &mut self,
        link: LinkId,
        call: CallId,
        part_requests: Vec<PartRequest>,
        outcomes: Vec<SimulatedOutcome>,
    ) {
        let effects = reduce(&mut self.state, Event::CallWritten(link, call), self.now);
        for (part_request, outcome) in part_requests.into_iter().zip(outcomes) {
            match outcome {
                SimulatedOutcome::Answered(after)
                | SimulatedOutcome::Erred(after)
                | SimulatedOutcome::TurnedAway(after)
                | SimulatedOutcome::LinkBroken(after) => {
                    self.schedule(after, ScheduledEvent::PartOutcome(link, part_request, outcome));
                }
                SimulatedOutcome::Unanswered => {}
            }
        }
        self.apply(effects);
    }

    /// Counts a relay and draws its outcome.
    fn relay_sent(&mut self, part_request: &PartRequest) -> SimulatedOutcome {
        let (name, _) = part_request.id.rsplit_once('.').unwrap();
        let scan = self.scan_number(name);
        assert!(self.scans[scan].shards.contains(&part_request.shard), "{}", part_request.id);
        let attempts = self.attempts.entry((scan, part_request.shard)).or_default();
        *attempts += 1;
        let attempts = *attempts;
        let counts = self.counts.entry(self.scans[scan].kind).or_default();
        counts.relays += 1;
        counts.further += usize::from(attempts > 1);
        let outcome = draw_outcome(self.seed, scan, part_request.shard, attempts);
        match (outcome, self.scans[scan].kind) {
            (SimulatedOutcome::TurnedAway(after), Kind::Fix) if !self.rejects_edits => {
                SimulatedOutcome::Erred(after)
            }
            _ => outcome,
        }
    }

    /// The scan with this name: the client's through the platform's API, one numbered in the order of the
    /// requests through the query API.
    fn scan_number(&self, name: &str) -> usize {
        match self.api {
            ClientApi::Platform => name.strip_prefix('r').unwrap().parse().unwrap(),
            ClientApi::QueryApi => name.rsplit('-').next().unwrap().parse::<usize>().unwrap() - 1,
        }
    }

    fn count_reply(&mut self, client: ClientId, reply: &Reply) {
        let Some(scan) = self.scans_by_client.remove(&client) else { return };
        let counts = self.counts.entry(self.scans[scan].kind).or_default();
        let end = match reply {
            Reply::Answer { complete: true, .. } => &mut counts.complete,
            Reply::Answer { complete: false, .. } => &mut counts.partial,
            Reply::Rejected(_) => &mut counts.rejected,
            Reply::Failed => &mut counts.failed,
            Reply::QueryApi { status: 200, body, .. } => {
                if body.contains("\"failed\":0") {
                    &mut counts.complete
                } else {
                    &mut counts.partial
                }
            }
            Reply::QueryApi { status: 429, .. } => &mut counts.rejected,
            Reply::QueryApi { .. } => &mut counts.failed,
            other => panic!("not the end of a scan: {other:?}"),
        };
        *end += 1;
    }

    fn send_scan(&mut self, number: usize) {
        let client = ClientId(number as u64 + 1);
        self.feed(Event::ClientAccepted(client, [10, 0, (number >> 8) as u8, number as u8].into()));
        self.feed(Event::RequestStarted(client, Span::ZERO));
        self.scans_by_client.insert(client, number);
        let line = self.scans[number].clone();
        let event = match self.api {
            ClientApi::Platform => Event::ScanRequested(client, platform_request(number, &line)),
            ClientApi::QueryApi => Event::QueryRequested(client, Box::new(query_api_request(&line))),
        };
        self.feed(event);
    }

    fn run(mut self) -> BTreeMap<Kind, Counts> {
        loop {
            let next = self.scheduled.first_key_value().map(|((at, _), _)| *at);
            if let Some(at) = self.timer.filter(|at| next.is_none_or(|next| *at <= next)) {
                (self.timer, self.now) = (None, at.max(self.now));
                self.feed(Event::TimerFired);
                if next.is_none() && self.scans_by_client.is_empty() {
                    return self.counts;
                }
                continue;
            }
            let Some(((at, _), due)) = self.scheduled.pop_first() else { return self.counts };
            self.now = at.max(self.now);
            match due {
                ScheduledEvent::SendScan(number) => self.send_scan(number),
                ScheduledEvent::LinkConnected(link) => self.feed(Event::LinkConnected(link)),
                ScheduledEvent::ClientDisconnected(client) => self.feed(Event::ClientDisconnected(client)),
                ScheduledEvent::PartOutcome(_, _, SimulatedOutcome::Unanswered) => {}
                ScheduledEvent::PartOutcome(link, _, SimulatedOutcome::LinkBroken(_)) => {
                    self.feed(Event::LinkClosed(link, CloseReason::ConnectionBroken))
                }
                ScheduledEvent::PartOutcome(link, part_request, simulated) => {
                    let outcome = match simulated {
                        SimulatedOutcome::Answered(_) => PartOutcome::Succeeded,
                        SimulatedOutcome::TurnedAway(_) => PartOutcome::Rejected,
                        _ => PartOutcome::Failed,
                    };
                    let value = self.value(&part_request);
                    self.feed(Event::PartAnswered { link, id: part_request.id, outcome, value });
                }
            }
        }
    }

    /// The answer of a healthy searcher, whichever API the part came through.
    fn value(&mut self, part_request: &PartRequest) -> String {
        let Ok(search) = Search::parse(part_request.text.as_bytes()) else { return "saved".into() };
        let give = || {
            let index = if part_request.text.contains("hola") { "cues" } else { "films" };
            String::from_utf8(build_shard(part_request.shard).body(index, &search, AnswerMode::Valid))
                .unwrap()
        };
        let key = part_request.shard + if part_request.text.contains("hola") { 0 } else { 1_000 };
        self.values.entry(key).or_insert_with(give).clone()
    }
}

fn platform_request(number: usize, line: &ScanLine) -> ScanRequest {
    let weight = 1.0 / line.shards.len() as f64;
    let (traffic_type, time_left_ms) = match line.kind {
        Kind::Window => ("window", 4_000),
        Kind::Library => ("library", 5_000),
        Kind::Fix => ("fix", 5_000),
    };
    ScanRequest {
        request_id: format!("r{number}"),
        traffic_type: traffic_type.into(),
        customer: "acme".into(),
        time_left: Span::from_millis(time_left_ms),
        is_retry: false,
        idempotency_key: (line.kind == Kind::Fix).then(|| format!("k{number}")),
        text: "c41e".into(),
        parts: line.shards.iter().map(|&shard| ScanPart { shard, weight, work: None }).collect(),
    }
}

fn query_api_request(line: &ScanLine) -> Request {
    let shards: Vec<String> = line.shards.iter().map(u32::to_string).collect();
    let key = |name: &str| (name == "idempotency-key").then_some("k");
    let (target, body) = match line.kind {
        Kind::Window => {
            let target = format!("/cues/_search?preference=_shards:{}", shards.join(","));
            (target, r#"{"query":{"match":{"cue":"hola"}}}"#)
        }
        Kind::Library => ("/films/_search".into(), r#"{"query":{"match":{"cue":"noche"}}}"#),
        Kind::Fix => (format!("/cues/_update/k{}", line.key), r#"{"doc":{"cue":"x"}}"#),
    };
    Request::parse("POST", &target, key, body.as_bytes()).unwrap()
}

fn all_scans(counts: &BTreeMap<Kind, Counts>) -> usize {
    counts.values().map(|c| c.complete + c.partial + c.rejected + c.failed).sum()
}

#[test]
fn a_release_peak_ends_alike_through_both_apis() {
    for seed in 1..=6 {
        let platform = Replay::new(ClientApi::Platform, seed, false).run();
        let query_api = Replay::new(ClientApi::QueryApi, seed, false).run();
        assert_eq!(platform, query_api, "seed {seed}");
        assert_eq!(all_scans(&platform), 480, "every scan ends once: {platform:?}");
        let edits = &platform[&Kind::Fix];
        assert!(platform[&Kind::Library].partial > 0 && edits.failed > 0, "{platform:?}");
        assert!(platform[&Kind::Window].further > 0 && edits.further == 0, "{platform:?}");
    }
}

/// An edit that a searcher has rejected is not sent to another one; its client is told that it may retry.
#[test]
fn edits_through_the_query_api_reach_one_searcher_though_it_rejects_them() {
    for seed in 1..=6 {
        let query_api = Replay::new(ClientApi::QueryApi, seed, true).run();
        let edits = &query_api[&Kind::Fix];
        assert_eq!((all_scans(&query_api), edits.further), (480, 0), "seed {seed}: {query_api:?}");
        assert!(edits.rejected > 0 && query_api[&Kind::Window].further > 0, "{query_api:?}");
    }
}

#[test]
fn the_recorded_scans_match_the_generator_for_the_first_seed() {
    let made: String = generate_scans(1).iter().map(to_tsv).collect();
    assert!(made == RECORDED_SCANS, "{made}");
}
