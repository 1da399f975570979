//! One premiere night through both front doors: the platform's own requests and the query dialect's. The same scans
//! at the same times before searchers that do the same have to come to the same ends, exactly: in virtual time, by a
//! seed, with nothing but events in and effects out.

use super::*;
use crate::protocol::frames::{Errand, PartEnd};
use crate::protocol::lists::{News, Row};
use crate::protocol::scans::{Ask, AskedPart};
use fernglade::{Moment, Span};
use fernglade_admission::Descriptors;
use fernglade_dialect::request::Request;
use fernglade_dialect::search::Search;
use fernglade_fronts::Readings;
use fernglade_orders::Operator;
use fernglade_standins::documents::{build_shard, AnswerMode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SETTINGS: &str =
    "services.count=3\nservices.0.name=window\nservices.0.aim=2000000\nservices.0.give_up=4000000\n\
services.0.repeat=pure\nservices.1.name=library\nservices.1.aim=2500000\nservices.1.give_up=5000000\n\
services.1.repeat=pure\nservices.2.name=fix\nservices.2.aim=2000000\nservices.2.give_up=5000000\n\
services.2.repeat=token\nservices.2.window=2500000\ncustomers.count=1\ncustomers.0.name=acme\n\
customers.0.quota_per_s=1000\nfamily_info.cells=1\nfamily_info.width=1\nfamily_info.slabs=6\n\
family_info.floor_by_class=1.0,0.5,1.0\nfamily_info.complete_from=1.0,1.0,1.0\n\
limits.attempts_cap=3\nlimits.cancel=true\nlimits.may_probe=true\nlimits.dial_timeout=250000\n\
limits.max_open=4000\nlimits.multiplex=32\ntick=5000\nfleet_size=2\n";

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

/// One line of the night: when, what, and about what.
#[derive(Clone, Debug)]
struct Line {
    at: u64,
    kind: Kind,
    shards: Vec<u32>,
    key: u32,
}

/// The recorded night: what the generator made of the first seed, one line a scan.
const RECORDED: &str = include_str!("premiere.tsv");

fn recorded() -> Vec<Line> {
    let line = |line: &str| {
        let words: Vec<&str> = line.split('\t').collect();
        let kind = match words[1] {
            "window" => Kind::Window,
            "library" => Kind::Library,
            _ => Kind::Fix,
        };
        let shards = words[2].split(',').map(|shard| shard.parse().unwrap()).collect();
        Line { at: words[0].parse().unwrap(), kind, shards, key: words[3].parse().unwrap() }
    };
    RECORDED.lines().map(line).collect()
}

/// As a line of the file.
fn written(line: &Line) -> String {
    let kind = match line.kind {
        Kind::Window => "window",
        Kind::Library => "library",
        Kind::Fix => "fix",
    };
    let shards: Vec<String> = line.shards.iter().map(u32::to_string).collect();
    format!("{}\t{kind}\t{}\t{}\n", line.at, shards.join(","), line.key)
}

/// Some hundred scans: a calm start, a burst as the episode comes out, few keys that all want.
fn night(seed: u64) -> Vec<Line> {
    let mut chance = Pcg32::seed_from_u64(seed);
    let mut at = 0;
    let line = |number: u64| {
        let burst = (120..360).contains(&number);
        at += chance.random_range(0..if burst { 4 } else { 40 });
        let kind = match chance.random_range(0..100) {
            0..55 => Kind::Window,
            55..78 => Kind::Library,
            _ => Kind::Fix,
        };
        let key = chance.random_range(0..20u32).min(chance.random_range(0..200));
        let first = key % SHARDS;
        let shards = match kind {
            Kind::Fix => vec![fix(key).shard(SHARDS)],
            Kind::Window => {
                let mut shards: Vec<u32> = (0..3).map(|n| (first + n) % SHARDS).collect();
                shards.sort_unstable();
                shards
            }
            Kind::Library => (0..SHARDS).collect(),
        };
        Line { at, kind, shards, key }
    };
    (0..480).map(line).collect()
}

fn fix(key: u32) -> fernglade_dialect::request::Edit {
    let target = format!("/cues/_update/k{key}");
    let request = Request::read(
        "POST",
        &target,
        |name| (name == "idempotency-key").then_some("k"),
        br#"{"doc":{"cue":"x"}}"#,
    );
    match request.unwrap().what {
        fernglade_dialect::request::What::Edit { edit, .. } => edit,
        _ => unreachable!("an edit"),
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Door {
    Platform,
    Dialect,
}

/// What becomes of a part, by the scan, its shard and its try: chance, but the same for both doors.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Good(u64),
    Bad(u64),
    Later(u64),
    Never,
    Broken(u64),
}

fn fate(seed: u64, scan: usize, shard: u32, tries: usize) -> Fate {
    let mut chance =
        Pcg32::seed_from_u64(seed ^ (scan as u64 * 1_000_003 + u64::from(shard) * 101 + tries as u64));
    let after = chance.random_range(5..60);
    match chance.random_range(0..100) {
        0..6 => Fate::Bad(after),
        6..9 => Fate::Later(after),
        9..12 => Fate::Never,
        12..14 => Fate::Broken(after),
        _ => Fate::Good(after),
    }
}

/// How often scans of a kind ended so, and what was sent for them.
#[derive(Clone, Debug, Default, PartialEq)]
struct Counts {
    whole: usize,
    partial: usize,
    bounced: usize,
    written_off: usize,
    relays: usize,
    further: usize,
}

enum Due {
    Asks(usize),
    Up(LinkId),
    Fate(LinkId, Errand, Fate),
    Gone(ClientId),
}

struct Night {
    door: Door,
    seed: u64,
    state: State,
    now: Moment,
    due: BTreeMap<(Moment, u64), Due>,
    count: u64,
    alarm: Option<Moment>,
    lines: Vec<Line>,
    /// Scans by the name of their first relay's part, in the order in which they came.
    names: BTreeMap<String, usize>,
    asking: Option<usize>,
    tries: BTreeMap<(usize, u32), usize>,
    kinds: BTreeMap<Kind, Counts>,
    scan_of: BTreeMap<ClientId, usize>,
    values: BTreeMap<u32, String>,
}

impl Night {
    fn new(door: Door, seed: u64) -> Self {
        let readings = Readings::parse(SETTINGS.as_bytes()).unwrap();
        let descriptors = Descriptors { fixed: 0, told: 8, links: 40, clients: 700 };
        let operator = Operator::read(INDICES).unwrap();
        let mut state = State::new(&readings, 7, descriptors, &operator, "n0").unwrap();
        let now = Moment::at_micros(1_764_000_000_000_000);
        let row = |number: u16| {
            let address: SocketAddr = ([127, 0, 0, 1], 9000 + number).into();
            Row {
                name: format!("s{number}"),
                address,
                zone: "a".into(),
                cell: 0,
                ready: true,
                gone: false,
                started: None,
            }
        };
        let known = News { version: 5, whole: true, rows: (0..5).map(row).collect() };
        let first = state.begin(&known, ([127, 0, 0, 1], 8500).into(), now);
        let lines = if seed == 1 { recorded() } else { night(seed) };
        let mut night = Self {
            door,
            seed,
            state,
            now,
            due: BTreeMap::new(),
            count: 0,
            alarm: None,
            names: BTreeMap::new(),
            asking: None,
            tries: BTreeMap::new(),
            kinds: BTreeMap::new(),
            scan_of: BTreeMap::new(),
            values: BTreeMap::new(),
            lines,
        };
        for (number, line) in night.lines.clone().iter().enumerate() {
            night.later(line.at, Due::Asks(number));
        }
        night.take(first);
        night
    }

    fn later(&mut self, millis: u64, due: Due) {
        self.count += 1;
        self.due.insert((self.now + Span::of_millis(millis), self.count), due);
    }

    fn feed(&mut self, event: Event) {
        let effects = reduce(&mut self.state, event, self.now);
        self.take(effects);
    }

    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Alarm(at) => self.alarm = Some(at),
                Effect::Dial { link, .. } => self.later(1, Due::Up(link)),
                Effect::Call { link, call, errands } => {
                    // Its last byte is written at once; what becomes of it comes later.
                    let sent: Vec<Fate> = errands.iter().map(|errand| self.sent(errand)).collect();
                    self.feed_later(link, call, errands, sent);
                }
                Effect::Reply { client, reply, .. } => {
                    self.ended(client, &reply);
                    self.later(1, Due::Gone(client));
                }
                Effect::Dismiss(client) => self.later(1, Due::Gone(client)),
                _ => {}
            }
        }
    }

    fn feed_later(&mut self, link: LinkId, call: CallId, errands: Vec<Errand>, sent: Vec<Fate>) {
        let effects = reduce(&mut self.state, Event::CallOut(link, call), self.now);
        for (errand, fate) in errands.into_iter().zip(sent) {
            match fate {
                Fate::Good(after) | Fate::Bad(after) | Fate::Later(after) | Fate::Broken(after) => {
                    self.later(after, Due::Fate(link, errand, fate));
                }
                Fate::Never => {}
            }
        }
        self.take(effects);
    }

    /// Counts a relay, and draws what becomes of it.
    fn sent(&mut self, errand: &Errand) -> Fate {
        let (name, _) = errand.id.rsplit_once('.').unwrap();
        let asking = self.asking;
        let scan = *self
            .names
            .entry(name.into())
            .or_insert_with(|| asking.expect("a scan's first parts go out as it is asked"));
        let tries = self.tries.entry((scan, errand.shard)).or_default();
        *tries += 1;
        let tries = *tries;
        let counts = self.kinds.entry(self.lines[scan].kind).or_default();
        counts.relays += 1;
        counts.further += usize::from(tries > 1);
        fate(self.seed, scan, errand.shard, tries)
    }

    fn ended(&mut self, client: ClientId, reply: &Reply) {
        let Some(scan) = self.scan_of.remove(&client) else { return };
        let counts = self.kinds.entry(self.lines[scan].kind).or_default();
        let end = match reply {
            Reply::Answer { whole: true, .. } => &mut counts.whole,
            Reply::Answer { whole: false, .. } => &mut counts.partial,
            Reply::Bounce(_) => &mut counts.bounced,
            Reply::WriteOff => &mut counts.written_off,
            Reply::Dialect { status: 200, body, .. } => {
                if body.contains("\"failed\":0") {
                    &mut counts.whole
                } else {
                    &mut counts.partial
                }
            }
            Reply::Dialect { status: 429, .. } => &mut counts.bounced,
            Reply::Dialect { .. } => &mut counts.written_off,
            other => panic!("no end of a scan: {other:?}"),
        };
        *end += 1;
    }

    fn asks(&mut self, number: usize) {
        let client = ClientId(number as u64 + 1);
        self.feed(Event::Knocked(client, [10, 0, (number >> 8) as u8, number as u8].into()));
        self.feed(Event::Stirred(client, Span::ZERO));
        self.scan_of.insert(client, number);
        let line = self.lines[number].clone();
        let event = match self.door {
            Door::Platform => Event::Asked(client, platform(number, &line)),
            Door::Dialect => Event::Queried(client, Box::new(dialect(&line))),
        };
        self.asking = Some(number);
        self.feed(event);
    }

    fn play(mut self) -> BTreeMap<Kind, Counts> {
        loop {
            let next = self.due.first_key_value().map(|((at, _), _)| *at);
            if let Some(at) = self.alarm.filter(|at| next.is_none_or(|next| *at <= next)) {
                (self.alarm, self.now) = (None, at.max(self.now));
                self.feed(Event::TimeCame);
                if next.is_none() && self.scan_of.is_empty() {
                    return self.kinds;
                }
                continue;
            }
            let Some(((at, _), due)) = self.due.pop_first() else { return self.kinds };
            self.now = at.max(self.now);
            match due {
                Due::Asks(number) => self.asks(number),
                Due::Up(link) => self.feed(Event::LinkUp(link)),
                Due::Gone(client) => self.feed(Event::ClientGone(client)),
                Due::Fate(_, _, Fate::Never) => {}
                Due::Fate(link, _, Fate::Broken(_)) => self.feed(Event::LinkEnded(link, Ending::Broke)),
                Due::Fate(link, errand, fate) => {
                    let end = match fate {
                        Fate::Good(_) => PartEnd::Honoured,
                        Fate::Later(_) => PartEnd::TurnedAway,
                        _ => PartEnd::Erred,
                    };
                    let value = self.value(&errand);
                    self.feed(Event::PartBack { link, id: errand.id, end, value });
                }
            }
        }
    }

    /// What a sound searcher gives, whichever door the part came in by.
    fn value(&mut self, errand: &Errand) -> String {
        let Ok(search) = Search::read(errand.text.as_bytes()) else { return "saved".into() };
        let give = || {
            let index = if errand.text.contains("hola") { "cues" } else { "films" };
            String::from_utf8(build_shard(errand.shard).body(index, &search, AnswerMode::Valid)).unwrap()
        };
        let key = errand.shard + if errand.text.contains("hola") { 0 } else { 1_000 };
        self.values.entry(key).or_insert_with(give).clone()
    }
}

fn platform(number: usize, line: &Line) -> Ask {
    let weight = 1.0 / line.shards.len() as f64;
    let (traffic_type, left) = match line.kind {
        Kind::Window => ("window", 4_000),
        Kind::Library => ("library", 5_000),
        Kind::Fix => ("fix", 5_000),
    };
    Ask {
        name: format!("r{number}"),
        traffic_type: traffic_type.into(),
        customer: "acme".into(),
        left: Span::of_millis(left),
        repeat: false,
        label: (line.kind == Kind::Fix).then(|| format!("k{number}")),
        text: "c41e".into(),
        parts: line.shards.iter().map(|&shard| AskedPart { shard, weight, work: None }).collect(),
    }
}

fn dialect(line: &Line) -> Request {
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
    Request::read("POST", &target, key, body.as_bytes()).unwrap()
}

#[test]
fn a_premiere_night_comes_to_the_same_ends_through_both_doors() {
    for seed in 1..=6 {
        let (platform, dialect) =
            (Night::new(Door::Platform, seed).play(), Night::new(Door::Dialect, seed).play());
        assert_eq!(platform, dialect, "seed {seed}");
        let all = platform.values().map(|c| c.whole + c.partial + c.bounced + c.written_off);
        assert_eq!(all.sum::<usize>(), 480, "one end a scan: {platform:?}");
        assert!(platform[&Kind::Library].partial > 0 && platform[&Kind::Fix].further > 0, "{platform:?}");
    }
}

#[test]
fn the_recorded_night_is_what_the_generator_makes_of_the_first_seed() {
    let made: String = night(1).iter().map(written).collect();
    assert!(made == RECORDED, "{made}");
}
