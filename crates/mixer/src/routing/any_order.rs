//! Events in any order that the outside can bring about, against a world that keeps its own account of what was
//! written, to whom, and who waits. What it asserts is what is owed whatever ends, and whenever.

use super::*;
use crate::protocol::frames::{Errand, PartEnd};
use crate::protocol::lists::{News, Row};
use crate::protocol::scans::{Ask, AskedPart};
use fernglade::{Moment, Span};
use fernglade_admission::Descriptors;
use fernglade_fronts::Readings;
use fernglade_orders::Operator;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const SEARCHERS: u16 = 3;
const TYPES: [&str; 3] = ["look", "fix", "edit"];
const DISCOVERY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8500);

fn settings(cancel: bool, batch: usize) -> String {
    let kind = |(at, name): (usize, &str)| {
        let repeat = ["pure", "token", "side_effect"][at];
        format!(
            "services.{at}.name={name}\nservices.{at}.aim=600000\nservices.{at}.give_up=900000\n\
             services.{at}.repeat={repeat}\nservices.{at}.window=300000\n"
        )
    };
    let kinds: String = TYPES.into_iter().enumerate().map(kind).collect();
    format!(
        "services.count=3\n{kinds}family_info.cells=1\nfamily_info.width=1\nfamily_info.slabs=8\n\
         family_info.per_call={batch}\nfamily_info.floor_by_class=0.5,1,1\nfamily_info.complete_from=1,1,1\n\
         limits.attempts_cap=3\nlimits.cancel={cancel}\nlimits.may_probe=true\nlimits.dial_timeout=250000\n\
         limits.max_open=60\nlimits.multiplex=2\ntick=5000\nfleet_size=1\ndiscovery=pushed\n\
         invariants.drain_grace=250000\ninvariants.cold=1000000\n"
    )
}

#[derive(Default)]
struct Part {
    /// An attempt was written that may have run; and one that nobody has given up.
    may_have_run: bool,
    out: bool,
}

struct Scan {
    client: ClientId,
    kind: usize,
    parts: BTreeMap<u32, Part>,
}

#[derive(Default)]
struct Talker {
    inside: bool,
    /// The name of the scan it waits for.
    waits: Option<String>,
    /// It was sent off; and it had the last answer there is for it.
    sent_off: bool,
    ends: bool,
}

#[derive(Default)]
struct Wire {
    to: u16,
    up: bool,
    /// Handed over and not begun; begun; and the ids that are out on it.
    queue: VecDeque<(CallId, Vec<Errand>)>,
    begun: Option<(CallId, Vec<Errand>)>,
    out: Vec<String>,
    asked: bool,
    ends: bool,
}

struct World {
    state: State,
    now: Moment,
    alarm: Option<Moment>,
    cancel: bool,
    ready: [bool; SEARCHERS as usize],
    version: u64,
    clients: BTreeMap<ClientId, Talker>,
    wires: BTreeMap<LinkId, Wire>,
    scans: BTreeMap<String, Scan>,
    later: VecDeque<Event>,
    count: u64,
    left: bool,
}

fn row(number: u16, ready: bool) -> Row {
    let address = ([127, 0, 0, 1], 9000 + number).into();
    Row { name: format!("s{number}"), address, zone: "a".into(), cell: 0, ready, gone: false, started: None }
}

fn of(id: &str) -> (&str, u32) {
    let (name, shard) = id.rsplit_once('.').unwrap();
    (name, shard.parse().unwrap())
}

impl World {
    fn new(cancel: bool, batch: usize) -> Self {
        let readings = Readings::parse(settings(cancel, batch).as_bytes()).unwrap();
        let berths = Descriptors { fixed: 0, told: 2, links: 4, clients: 7 };
        let state = State::new(&readings, 7, berths, &Operator::default(), "n0").unwrap();
        let mut world = Self {
            state,
            now: Moment::from_micros(1_764_000_000_000_000),
            alarm: None,
            cancel,
            ready: [true; SEARCHERS as usize],
            version: 5,
            clients: BTreeMap::new(),
            wires: BTreeMap::new(),
            scans: BTreeMap::new(),
            later: VecDeque::new(),
            count: 0,
            left: false,
        };
        let rows = (0..SEARCHERS).map(|number| row(number, true)).collect();
        let known = News { version: 5, whole: true, rows };
        let effects = world.state.begin(&known, DISCOVERY, world.now);
        world.take(effects);
        world
    }

    fn feed(&mut self, event: Event) {
        if self.left {
            return;
        }
        let effects = reduce(&mut self.state, event, self.now);
        self.take(effects);
        while let Some(event) = self.later.pop_front() {
            let effects = reduce(&mut self.state, event, self.now);
            self.take(effects);
        }
    }

    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Alarm(at) => self.alarm = Some(at),
                Effect::LetIn(client) => {
                    self.clients.entry(client).and_modify(|c| c.inside = true).or_default().inside = true
                }
                Effect::TurnAway(client, _) => drop(self.clients.remove(&client)),
                Effect::Dismiss(client) => {
                    let talker = self.clients.get_mut(&client).expect("it is here");
                    assert!(talker.waits.is_none(), "{client:?} waits for its answer, and is sent off");
                    talker.sent_off = true;
                }
                Effect::Reply { client, reply, last } => self.answered(client, &reply, last),
                Effect::Dial { link, to, .. } => {
                    let to = to.port() - 9000;
                    assert!(self.ready[usize::from(to)], "s{to} is to get nothing new");
                    self.wires.insert(link, Wire { to, ..Wire::default() });
                }
                Effect::DialBeside(link) => {
                    assert!(self.wires.get(&link).is_some_and(|wire| !wire.up), "{link:?} is up, or over");
                }
                Effect::Call { link, call, errands } => {
                    errands.iter().for_each(|errand| self.may_go(link, &errand.id));
                    let wire = self.wires.get_mut(&link).expect("a link that is there");
                    assert!(wire.up && !wire.ends);
                    wire.queue.push_back((call, errands));
                }
                Effect::Withdraw(link, call) => {
                    let Some(wire) = self.wires.get_mut(&link) else { continue };
                    if let Some(at) = wire.queue.iter().position(|(other, _)| *other == call) {
                        wire.queue.remove(at);
                        self.later.push_back(Event::Withdrawn(link, call));
                    }
                }
                Effect::GiveUp { link, id } => {
                    assert!(self.cancel, "not where the platform lets nobody");
                    if self.wires.contains_key(&link) {
                        self.part(&id, |part| part.out = false);
                    }
                }
                Effect::Check(link) => self.wires.get_mut(&link).expect("a link").asked = true,
                Effect::HangUp(link) | Effect::Cut(link) => {
                    if let Some(wire) = self.wires.get_mut(&link) {
                        wire.ends = true;
                        wire.queue.clear();
                        // What is cut is never written on.
                        wire.begun.take_if(|_| matches!(effect, Effect::Cut(_)));
                    }
                }
                Effect::ShutDoor => self.later.push_back(Event::DoorShut),
                Effect::Leave => self.left = true,
                _ => {}
            }
        }
    }

    fn part(&mut self, id: &str, change: impl FnMut(&mut Part)) {
        let (name, shard) = of(id);
        self.scans.get_mut(name).and_then(|scan| scan.parts.get_mut(&shard)).into_iter().for_each(change);
    }

    /// Whether a part may be written now: its client waits, its searcher is ready, and no earlier attempt stands
    /// against it.
    fn may_go(&self, link: LinkId, id: &str) {
        let (name, shard) = of(id);
        let scan = &self.scans[name];
        let waits = self.clients.get(&scan.client).is_some_and(|c| c.waits.as_deref() == Some(name));
        assert!(waits, "{id} is sent on for nobody");
        assert!(self.ready[usize::from(self.wires[&link].to)], "{id} goes where nothing new may go");
        let part = &scan.parts[&shard];
        assert!(!part.out, "a second copy of {id}");
        assert!(!(part.may_have_run && scan.kind == 2), "{id} may run twice");
    }

    fn answered(&mut self, client: ClientId, reply: &Reply, last: bool) {
        let talker = self.clients.get_mut(&client).expect("nobody hears this");
        assert!(last || !talker.sent_off, "who was sent off hears that this is the last");
        talker.ends |= last;
        let name = talker.waits.take().expect("one answer, and no more");
        let scan = &self.scans[&name];
        match reply {
            Reply::Bounce(_) => {
                let ran = scan.parts.values().any(|part| part.may_have_run);
                assert!(scan.kind == 0 || !ran, "{name} may have run, and is called harmless to ask again");
            }
            Reply::Answer { whole, values } => {
                assert!(!whole || values.len() == scan.parts.len(), "{name} is not whole");
                assert!(values.len() * 2 >= scan.parts.len(), "{name} is under its floor");
                values.iter().for_each(|(shard, value)| assert_eq!(*value, format!("of {name}.{shard}")));
            }
            Reply::WriteOff => {}
            other => panic!("no end of a scan: {other:?}"),
        }
    }

    /// Puts the first bytes of the next call on the wire; what begins must still be wanted.
    fn begin(&mut self, link: LinkId) {
        let wire = self.wires.get_mut(&link).unwrap();
        if wire.begun.is_some() || wire.ends {
            return;
        }
        let Some((call, errands)) = wire.queue.pop_front() else { return };
        errands.iter().for_each(|errand| self.may_go(link, &errand.id));
        self.wires.get_mut(&link).unwrap().begun = Some((call, errands));
        self.feed(Event::HalfWritten(link, true));
    }

    fn finish(&mut self, link: LinkId) {
        let Some((call, errands)) = self.wires.get_mut(&link).and_then(|wire| wire.begun.take()) else {
            return;
        };
        for errand in &errands {
            self.part(&errand.id, |part| (part.may_have_run, part.out) = (true, true));
        }
        self.wires.get_mut(&link).unwrap().out.extend(errands.into_iter().map(|errand| errand.id));
        self.feed(Event::HalfWritten(link, false));
        self.feed(Event::CallOut(link, call));
    }

    fn part_back(&mut self, link: LinkId, which: usize, end: PartEnd, again: bool) {
        let wire = self.wires.get_mut(&link).unwrap();
        if wire.out.is_empty() || wire.ends {
            return;
        }
        let which = which % wire.out.len();
        let id = if again { wire.out[which].clone() } else { wire.out.swap_remove(which) };
        self.part(&id, |part| {
            part.out = false;
            // It never ran; whether an earlier attempt did is not for this one to say, and the others were told.
            part.may_have_run &= end != PartEnd::TurnedAway;
        });
        let value = format!("of {id}");
        self.feed(Event::PartBack { link, id, end, value });
    }

    fn end(&mut self, link: LinkId, ending: Ending) {
        let wire = self.wires.remove(&link).unwrap();
        wire.out.iter().for_each(|id| self.part(id, |part| part.out = false));
        let ending = match (wire.ends, wire.up) {
            (true, _) => Ending::HungUp,
            (false, true) => ending,
            (false, false) => {
                [Ending::Refused, Ending::NeverUp, Ending::NoWay, Ending::Short][ending as usize % 4]
            }
        };
        self.feed(Event::LinkEnded(link, ending));
    }

    fn pass(&mut self, millis: u64) {
        let until = self.now + Span::from_millis(millis);
        while let Some(at) = self.alarm.take_if(|at| *at <= until) {
            self.now = at.max(self.now);
            self.feed(Event::TimeCame);
        }
        self.now = until;
    }

    fn knock(&mut self) {
        self.count += 1;
        let client = ClientId(self.count);
        self.clients.insert(client, Talker::default());
        self.feed(Event::Knocked(client, [10, 0, 0, self.count as u8 % 3].into()));
    }

    /// A request may cross with our sending it off.
    fn ask(&mut self, client: ClientId, kind: usize, parts: u32, half: bool) {
        let talker = &self.clients[&client];
        if !talker.inside || talker.ends || talker.waits.is_some() {
            return;
        }
        self.count += 1;
        let name = format!("r{}", self.count);
        let shards = 0..parts;
        let scan =
            Scan { client, kind, parts: shards.clone().map(|shard| (shard, Part::default())).collect() };
        self.scans.insert(name.clone(), scan);
        let weight = 1.0 / f64::from(parts);
        let ask = Ask {
            name,
            traffic_type: TYPES[kind].into(),
            customer: "any".into(),
            left: Span::from_millis(900),
            repeat: false,
            label: Some("k".into()),
            text: "c41e".into(),
            parts: shards.map(|shard| AskedPart { shard, weight, work: None }).collect(),
        };
        if half {
            self.feed(Event::Stirred(client, Span::ZERO));
        }
        self.clients.get_mut(&client).unwrap().waits = Some(ask.name.clone());
        self.feed(Event::Asked(client, ask));
    }

    fn leave(&mut self, client: ClientId) {
        if self.clients.get(&client).is_some_and(|talker| talker.inside) {
            self.clients.remove(&client);
            self.feed(Event::ClientGone(client));
        }
    }

    fn list(&mut self, which: u16, how: u8) {
        self.version += 1;
        let whole = how == 0;
        let which = which % SEARCHERS;
        self.ready[usize::from(which)] ^= true;
        let all = (0..SEARCHERS).map(|number| row(number, self.ready[usize::from(number)]));
        let rows = if whole { all.collect() } else { vec![row(which, self.ready[usize::from(which)])] };
        self.feed(Event::Told(News { version: self.version, whole, rows }));
        if how == 2 {
            // What is older than that tells nothing, whatever it says.
            let rows = (0..SEARCHERS).map(|number| row(number, true)).collect();
            self.feed(Event::Told(News { version: self.version - 1, whole: false, rows }));
        }
    }

    fn step(&mut self, (what, which, how): (u8, u16, u8)) {
        if self.left {
            return;
        }
        let link = |world: &Self| {
            let at = usize::from(which) % world.wires.len().max(1);
            world.wires.keys().nth(at).copied()
        };
        let client = |world: &Self| {
            let at = usize::from(which) % world.clients.len().max(1);
            world.clients.keys().nth(at).copied()
        };
        match what {
            0 => self.knock(),
            1..=4 => {
                if let Some(client) = client(self) {
                    self.ask(client, usize::from(how % 3), 1 + u32::from(how % 5), how % 2 == 0);
                }
            }
            5 => client(self).into_iter().for_each(|client| self.leave(client)),
            6 => self.pass(u64::from(which % 300)),
            7 => self.list(which, how % 3),
            8 => self.feed(
                [Event::WatchBroke, Event::Moved(DISCOVERY), Event::Short][usize::from(how % 3)].clone(),
            ),
            _ => {
                let Some(link) = link(self) else { return };
                self.on_wire(link, what, how);
            }
        }
    }

    fn on_wire(&mut self, link: LinkId, what: u8, how: u8) {
        let wire = self.wires.get_mut(&link).unwrap();
        match what {
            9 | 10 if !wire.up && !wire.ends => {
                wire.up = true;
                self.feed(Event::LinkUp(link));
            }
            9 | 10 => self.begin(link),
            11 => self.finish(link),
            12 | 13 => {
                let ends = [PartEnd::Honoured, PartEnd::Honoured, PartEnd::Erred, PartEnd::TurnedAway];
                self.part_back(link, usize::from(how), ends[usize::from(how % 4)], false);
            }
            // Spoilt: twice the same, or of nobody.
            14 if how.is_multiple_of(4) => self.part_back(link, usize::from(how), PartEnd::Honoured, true),
            14 if std::mem::take(&mut wire.asked) => self.feed(Event::CheckBack(link, how.is_multiple_of(2))),
            14 if wire.up && !wire.ends => self.feed(Event::Amid(link, how.is_multiple_of(2))),
            15 => {
                let endings =
                    [Ending::Ended, Ending::Broke, Ending::Garbled, Ending::Objected, Ending::Stuck];
                self.end(link, endings[usize::from(how % 5)]);
            }
            _ => {}
        }
    }

    /// Stops it, and lets all that is outside come to its end.
    fn wind_up(&mut self) {
        self.feed(Event::StopAsked);
        self.pass(700);
        self.pass(3_000);
        assert!(self.clients.values().all(|talker| talker.waits.is_none()), "each had its answer in time");
        while let Some((client, _)) = self.clients.first_key_value() {
            let client = *client;
            assert!(
                self.clients[&client].inside
                    && (self.clients[&client].ends || self.clients[&client].sent_off),
                "nobody is left standing"
            );
            self.leave(client);
        }
        assert!(self.left, "it ends by itself");
        let desk = self.state.desk();
        assert!(desk.relays.is_empty() && desk.names.is_empty() && desk.held == 0, "{} held", desk.held);
        assert!(desk.batches.is_empty() && desk.landed.is_empty() && desk.checked.is_empty());
        let waited_for =
            desk.pool.links.values().flat_map(|link| link.calls.values()).flat_map(|call| &call.parts);
        assert_eq!(waited_for.count(), 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(36), ..ProptestConfig::default() })]

    /// Each scan that was taken has one answer, or its client has left; nothing is written after that but what had
    /// begun, nothing to who is not ready, no second copy, nothing twice that may not be; and nothing is left over.
    #[test]
    fn whatever_ends_and_whenever_all_that_is_owed_is_given(
        cancel in any::<bool>(), batch in 1usize..4,
        steps in proptest::collection::vec((0u8..16, any::<u16>(), any::<u8>()), 1..250),
    ) {
        let mut world = World::new(cancel, batch);
        (0..4).for_each(|_| world.knock());
        steps.into_iter().for_each(|step| world.step(step));
        world.wind_up();
    }
}
