//! Events in, effects out: one story for each way a relay, a link, a client or the list can go.

use super::*;
use crate::protocol::frames::{Errand, PartEnd};
use crate::protocol::lists::{News, Row};
use crate::protocol::scans::{Ask, AskedPart, Blame};
use fernglade::{Landing, Moment, Span};
use fernglade_admission::Descriptors;
use fernglade_fronts::Readings;
use fernglade_orders::Operator;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use test_case::test_case;

const SETTINGS: &str =
    "services.count=2\nservices.0.name=look\nservices.0.aim=2000000\nservices.0.give_up=4000000\n\
services.0.repeat=pure\nservices.1.name=fix\nservices.1.aim=2000000\nservices.1.give_up=4000000\n\
services.1.repeat=token\nservices.1.window=2500000\ncustomers.count=1\ncustomers.0.name=acme\n\
customers.0.quota_per_s=1000\nfamily_info.cells=1\nfamily_info.width=1\nfamily_info.slabs=8\n\
limits.attempts_cap=3\nlimits.cancel=true\nlimits.may_probe=true\nlimits.dial_timeout=250000\n\
limits.max_open=40\nlimits.multiplex=32\ntick=5000\nfleet_size=2\n";

const DISCOVERY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8500);

fn watch(after: Option<u64>) -> Effect {
    Effect::Watch { at: DISCOVERY, after, waits: true }
}

fn look(after: Option<u64>) -> Effect {
    Effect::Watch { at: DISCOVERY, after, waits: false }
}

struct Play {
    state: State,
    now: Moment,
    alarm: Option<Moment>,
    effects: Vec<Effect>,
    clients: u64,
}

/// A call that was handed over to be written.
#[derive(Clone, Debug)]
struct Handed {
    link: LinkId,
    call: CallId,
    errands: Vec<Errand>,
}

fn row(number: u16, ready: bool) -> Row {
    let address = ([127, 0, 0, 1], 9000 + number).into();
    Row { name: format!("s{number}"), address, zone: "a".into(), cell: 0, ready, gone: false, started: None }
}

fn news(version: u64, whole: bool, rows: Vec<Row>) -> News {
    News { version, whole, rows }
}

/// So many inside; the porch takes an eighth beside them, one at least.
fn berths(clients: usize, links: usize) -> Descriptors {
    Descriptors { fixed: 0, told: 2, links, clients: clients + (clients / 7).max(1) }
}

/// So many searchers that hold every shard; the last reading of a name stands.
fn play_with(searchers: u16, more: &str, descriptors: Descriptors) -> Play {
    let readings = Readings::parse(format!("{SETTINGS}{more}").as_bytes()).unwrap();
    let state = State::new(&readings, 7, descriptors, &Operator::default(), "n0").unwrap();
    let now = Moment::at_micros(1_764_000_000_000_000);
    let mut play = Play { state, now, alarm: None, effects: Vec::new(), clients: 0 };
    let known = news(5, true, (0..searchers).map(|number| row(number, true)).collect());
    let effects = play.state.begin(&known, DISCOVERY, now);
    play.take(effects);
    play
}

fn play(searchers: u16) -> Play {
    play_with(searchers, "", berths(10, 10))
}

fn ask(name: &str, traffic_type: &str, shards: &[u32]) -> Ask {
    let weight = 1.0 / shards.len() as f64;
    Ask {
        name: name.into(),
        traffic_type: traffic_type.into(),
        customer: "acme".into(),
        left: Span::of_millis(4000),
        repeat: false,
        label: Some("k1".into()),
        text: "c41e".into(),
        parts: shards.iter().map(|&shard| AskedPart { shard, weight, work: None }).collect(),
    }
}

impl Play {
    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Alarm(at) => self.alarm = Some(at),
                other => self.effects.push(other),
            }
        }
    }

    fn feed(&mut self, event: Event) {
        let effects = reduce(&mut self.state, event, self.now);
        self.take(effects);
    }

    fn pass(&mut self, millis: u64) {
        let until = self.now + Span::of_millis(millis);
        while let Some(at) = self.alarm.take_if(|at| *at <= until) {
            self.now = at.max(self.now);
            self.feed(Event::TimeCame);
        }
        self.now = until;
    }

    fn come(&mut self) -> ClientId {
        self.clients += 1;
        let client = ClientId(self.clients);
        self.feed(Event::Knocked(client, [10, 0, 0, 1].into()));
        client
    }

    fn ask(&mut self, ask: Ask) -> ClientId {
        let client = self.come();
        self.feed(Event::Stirred(client, Span::ZERO));
        self.feed(Event::Asked(client, ask));
        client
    }

    /// Takes out the effects that fit.
    fn took<T>(&mut self, fits: impl Fn(&Effect) -> Option<T>) -> Vec<T> {
        let found = self.effects.iter().filter_map(&fits).collect();
        self.effects.retain(|effect| fits(effect).is_none());
        found
    }

    fn dials(&mut self) -> Vec<(LinkId, u16)> {
        self.took(|effect| match effect {
            Effect::Dial { link, to, .. } => Some((*link, to.port() - 9000)),
            _ => None,
        })
    }

    fn handed(&mut self) -> Vec<Handed> {
        self.took(|effect| match effect {
            Effect::Call { link, call, errands } => {
                Some(Handed { link: *link, call: *call, errands: errands.clone() })
            }
            _ => None,
        })
    }

    /// Every link that was dialled comes up, and its calls are handed over.
    fn connect(&mut self) -> Vec<Handed> {
        self.dials().into_iter().for_each(|(link, _)| self.feed(Event::LinkUp(link)));
        self.handed()
    }

    /// And their last bytes are written.
    fn send(&mut self) -> Vec<Handed> {
        let handed = self.connect();
        handed.iter().for_each(|h| self.feed(Event::CallOut(h.link, h.call)));
        handed
    }

    fn back(&mut self, link: LinkId, id: &str, end: PartEnd, value: &str) {
        self.feed(Event::PartBack { link, id: id.into(), end, value: value.into() });
    }

    fn replies(&mut self) -> Vec<(ClientId, Reply, bool)> {
        self.took(|effect| match effect {
            Effect::Reply { client, reply, last } => Some((*client, reply.clone(), *last)),
            _ => None,
        })
    }

    fn did(&mut self, effect: &Effect) -> bool {
        !self.took(|other| (other == effect).then_some(())).is_empty()
    }
}

#[test]
fn a_scan_is_answered_from_the_values_of_its_parts() {
    let mut play = play(2);
    let client = play.ask(ask("a", "fix", &[3, 1]));
    let handed = play.send();
    let mut ids = Vec::new();
    for Handed { link, errands, .. } in &handed {
        let errand = &errands[0];
        assert_eq!((errand.waits_ms, errand.label.as_deref(), &*errand.text), (1985, Some("k1"), "c41e"));
        ids.push(errand.id.clone());
        play.back(*link, &errand.id, PartEnd::Honoured, &format!("v{}", errand.shard));
    }
    assert!(ids.contains(&"a.3".to_string()) && ids.contains(&"a.1".to_string()));
    let values = vec![(3, "v3".to_string()), (1, "v1".to_string())];
    assert_eq!(play.replies(), [(client, Reply::Answer { whole: true, values }, false)]);
}

#[test_case(Ending::Refused, false, Landing::Unreached)]
#[test_case(Ending::NeverUp, false, Landing::Unreached)]
#[test_case(Ending::NoWay, false, Landing::Unreached)]
#[test_case(Ending::Short, false, Landing::Unsent; "a shortage of ours says nothing of the searcher")]
#[test_case(Ending::Ended, true, Landing::Dropped)]
#[test_case(Ending::Ended, false, Landing::Unreached; "broken before its last byte, it never ran")]
#[test_case(Ending::ClosedIdle, true, Landing::Dropped)]
#[test_case(Ending::Broke, true, Landing::Dropped)]
#[test_case(Ending::Broke, false, Landing::Unreached)]
#[test_case(Ending::Garbled, true, Landing::Erred; "it talks, so it has not died")]
#[test_case(Ending::Objected, true, Landing::Erred)]
#[test_case(Ending::Stuck, true, Landing::Silent)]
#[test_case(Ending::Stuck, false, Landing::Unsent)]
#[test_case(Ending::HungUp, true, Landing::CalledOff)]
#[test_case(Ending::HungUp, false, Landing::Unsent)]
fn each_ending_means_one_landing(ending: Ending, out: bool, landing: Landing) {
    assert_eq!(ending.landing(out), landing);
}

#[test_case(Ending::Refused; "refused")]
#[test_case(Ending::NeverUp; "never up")]
fn a_part_that_reached_nobody_goes_to_another_and_the_searcher_is_checked(ending: Ending) {
    let mut play = play(2);
    play.ask(ask("a", "look", &[0]));
    let (link, first) = play.dials()[0];
    play.feed(Event::LinkEnded(link, ending));
    let (second, other) = play.dials()[0];
    assert_ne!(first, other);
    play.feed(Event::LinkUp(second));
    let handed = play.handed();
    play.feed(Event::CallOut(second, handed[0].call));
    play.back(second, "a.0", PartEnd::Honoured, "v");
    assert!(matches!(play.replies()[0].1, Reply::Answer { whole: true, .. }));
    play.pass(5_100);
    let (check, to) = play.dials()[0];
    assert_eq!(to, first);
    play.feed(Event::LinkUp(check));
    assert!(play.did(&Effect::Check(check)));
    play.feed(Event::CheckBack(check, true));
    play.pass(10_000);
    assert!(play.dials().is_empty() && !play.did(&Effect::Check(check)), "it passed");
}

#[test]
fn parts_on_a_link_that_breaks_are_told_apart_by_their_last_byte() {
    let mut play = play(2);
    let client = play.ask(ask("a", "fix", &[0]));
    let (link, first) = play.dials()[0];
    play.feed(Event::LinkUp(link));
    play.feed(Event::LinkEnded(link, Ending::Broke));
    let (link, to) = play.dials()[0];
    assert_eq!(to, first, "it never ran, and goes on over a new link");
    play.feed(Event::LinkUp(link));
    play.feed(Event::LinkEnded(link, Ending::Ended));
    let (link, to) = play.dials()[0];
    assert_ne!(to, first, "twice is enough: it goes to the other");
    play.feed(Event::LinkUp(link));
    let handed = play.handed().pop().unwrap();
    assert_eq!(handed.errands[0].id, "a.0");
    play.feed(Event::CallOut(link, handed.call));
    play.feed(Event::LinkEnded(link, Ending::Broke));
    assert_eq!(play.replies(), [(client, Reply::WriteOff, false)], "it may have run: no bounce");
}

#[test]
fn late_answers_are_passed_over() {
    let mut play = play(1);
    let client = play.ask(ask("a", "look", &[0, 1]));
    let link = play.send()[0].link;
    play.back(link, "a.0", PartEnd::Honoured, "v0");
    assert!(play.replies().is_empty());
    play.pass(2_000);
    assert_eq!(play.replies().len(), 1, "ended by its one timer");
    assert!(play.did(&Effect::GiveUp { link, id: "a.1".into() }));
    play.back(link, "a.1", PartEnd::Honoured, "late");
    play.feed(Event::CheckBack(link, true));
    assert!(play.replies().is_empty() && play.dials().is_empty());
    play.ask(ask("c", "look", &[2]));
    assert_eq!(play.handed()[0].link, link, "the link goes on");
    play.feed(Event::ClientGone(client));
}

/// An answer under another id once left its part waiting for the timer.
#[test_case("b.0"; "never asked for")]
#[test_case("a.1"; "answered before")]
fn an_answer_that_belongs_to_nobody_fails_what_waits_on_its_link(id: &str) {
    let mut play = play(2);
    let client = play.ask(ask("a", "look", &[0, 1, 2]));
    let handed = play.send();
    let link = handed[0].link;
    let here: Vec<_> = handed.iter().filter(|h| h.link == link).map(|h| h.errands[0].id.clone()).collect();
    play.back(handed.iter().find(|h| h.errands[0].id == "a.1").unwrap().link, "a.1", PartEnd::Honoured, "v");
    play.back(link, id, PartEnd::Honoured, "of whom?");
    assert!(play.did(&Effect::Cut(link)));
    let again: Vec<_> = play.send().into_iter().map(|h| h.errands[0].id.clone()).collect();
    assert!(again.iter().all(|id| id != "a.1" && here.contains(id)) && !again.is_empty(), "{again:?}");
    play.ask(ask("c", "look", &[4, 5, 6, 7]));
    assert_eq!(play.send().len(), 4, "nobody has died: no part goes ahead of the others");
    play.feed(Event::ClientGone(client));
}

#[test]
fn what_follows_a_good_answer_ends_the_link_and_harms_nobody() {
    let mut play = play(1);
    play.ask(ask("a", "look", &[0]));
    let link = play.send()[0].link;
    play.back(link, "a.0", PartEnd::Honoured, "v");
    play.back(link, "a.0", PartEnd::Honoured, "v");
    assert!(matches!(play.replies()[..], [(_, Reply::Answer { whole: true, .. }, _)]));
    assert!(play.did(&Effect::Cut(link)));
    play.ask(ask("b", "look", &[0]));
    assert_ne!(play.send()[0].link, link);
}

#[test]
fn a_link_that_stayed_mute_while_a_part_was_waited_for_gets_no_more() {
    let mut play = play(1);
    play.ask(ask("a", "look", &[0]));
    let mute = play.send()[0].link;
    play.pass(2_000);
    assert!(play.did(&Effect::HangUp(mute)));
    play.ask(ask("b", "look", &[0]));
    let new = play.send()[0].link;
    assert_ne!(new, mute, "its searcher is reached anew");
    play.pass(100);
    play.back(new, "b.0", PartEnd::Honoured, "v");
    play.pass(5_000);
    let gone = play.ask(ask("c", "look", &[0]));
    assert_eq!(play.send()[0].link, new);
    play.pass(100);
    play.feed(Event::ClientGone(gone));
    play.pass(5_000);
    play.ask(ask("d", "look", &[0]));
    assert_eq!(play.send()[0].link, new, "nobody waited until the time was up");
}

#[test]
fn a_late_part_goes_to_another_searcher_and_its_link_gets_no_more() {
    let mut play = play(2);
    // Usual answers take a few milliseconds: a late part has time to go elsewhere.
    for number in 0..60 {
        let client = play.ask(ask(&format!("r{number}"), "look", &[0]));
        let sent = play.send()[0].clone();
        play.pass(5);
        play.back(sent.link, &sent.errands[0].id, PartEnd::Honoured, "v");
        play.feed(Event::ClientGone(client));
    }
    play.replies();
    let client = play.ask(ask("a", "look", &[0]));
    let first = play.send()[0].link;
    play.pass(600);
    assert!(play.did(&Effect::GiveUp { link: first, id: "a.0".into() }));
    assert!(play.did(&Effect::HangUp(first)));
    let second = play.send()[0].clone();
    assert_eq!((second.errands[0].id.as_str(), second.link == first), ("a.0", false));
    play.back(first, "a.0", PartEnd::Honoured, "late");
    assert!(play.replies().is_empty());
    play.back(second.link, "a.0", PartEnd::Honoured, "v");
    let values = vec![(0, "v".to_string())];
    assert_eq!(play.replies(), [(client, Reply::Answer { whole: true, values }, false)]);
}

#[test]
fn a_frame_that_stays_half_said_fails_all_parts_on_its_link_at_once() {
    let mut play = play(2);
    let client = play.ask(ask("a", "fix", &[0]));
    let link = play.send()[0].link;
    play.feed(Event::Amid(link, true));
    play.pass(200);
    play.feed(Event::Amid(link, false));
    play.pass(1_000);
    assert!(!play.did(&Effect::Cut(link)), "its rest came");
    play.feed(Event::Amid(link, true));
    play.ask(ask("b", "look", &[1, 2, 3]));
    assert!(play.send().iter().all(|handed| handed.link != link), "nothing new behind it");
    play.pass(260);
    assert!(play.did(&Effect::Cut(link)));
    let again = play.send().pop().expect("it goes to the other searcher");
    assert_eq!(again.errands[0].id, "a.0");
    play.feed(Event::LinkEnded(link, Ending::HungUp));
    play.back(again.link, "a.0", PartEnd::Honoured, "v");
    assert!(matches!(play.replies()[..], [(to, Reply::Answer { whole: true, .. }, _)] if to == client));
}

/// A searcher that stops reading amid a call: the call goes on later than its client, its window or its time allow.
#[test]
fn a_call_that_stays_half_written_is_ended_and_goes_elsewhere() {
    let mut play = play(2);
    let client = play.ask(ask("a", "fix", &[0]));
    let handed = play.connect().remove(0);
    play.feed(Event::HalfWritten(handed.link, true));
    play.pass(95);
    play.feed(Event::HalfWritten(handed.link, false));
    play.feed(Event::HalfWritten(handed.link, true));
    play.pass(95);
    assert!(!play.did(&Effect::Cut(handed.link)), "its rest has gone, and another frame begun");
    play.pass(10);
    assert!(play.did(&Effect::Cut(handed.link)));
    let again = play.send().pop().expect("it has not run");
    assert!(again.link != handed.link && again.errands[0].id == "a.0", "{again:?}");
    play.feed(Event::LinkEnded(handed.link, Ending::HungUp));
    play.back(again.link, "a.0", PartEnd::Honoured, "v");
    assert!(matches!(play.replies()[..], [(to, Reply::Answer { whole: true, .. }, _)] if to == client));
}

#[test]
fn a_part_given_up_before_it_was_written_is_never_written() {
    let mut play = play(1);
    let client = play.ask(ask("a", "look", &[0]));
    let (link, _) = play.dials()[0];
    play.feed(Event::ClientGone(client));
    play.feed(Event::LinkUp(link));
    assert!(play.handed().is_empty(), "given up while the link was dialled");
    let client = play.ask(ask("b", "look", &[0]));
    let call = play.handed()[0].call;
    play.feed(Event::ClientGone(client));
    assert!(play.did(&Effect::Withdraw(link, call)));
    play.feed(Event::Withdrawn(link, call));
    let harmless = |effect: &Effect| matches!(effect, Effect::Watch { .. } | Effect::LetIn(_));
    assert!(play.effects.iter().all(harmless), "{:?}", play.effects);
}

#[test]
fn a_part_given_up_while_it_is_written_is_told_after_its_last_byte() {
    let mut play = play(1);
    let client = play.ask(ask("a", "look", &[0]));
    let Handed { link, call, .. } = play.connect()[0].clone();
    play.feed(Event::ClientGone(client));
    let give_up = Effect::GiveUp { link, id: "a.0".into() };
    assert!(play.did(&Effect::Withdraw(link, call)) && !play.did(&give_up));
    play.feed(Event::CallOut(link, call));
    assert!(play.did(&give_up));
}

#[test]
fn a_call_taken_back_goes_anew_with_the_parts_still_wanted() {
    let mut play = play_with(1, "family_info.per_call=2\n", berths(10, 10));
    let client = play.ask(ask("a", "look", &[0, 1]));
    let handed = play.connect();
    assert_eq!((handed.len(), handed[0].errands.len()), (1, 2), "both share a call");
    play.feed(Event::Told(news(6, false, vec![row(0, false), row(1, true)])));
    let Handed { link, call, .. } = handed[0].clone();
    assert!(play.did(&Effect::Withdraw(link, call)), "a drain acts at once");
    play.feed(Event::Withdrawn(link, call));
    let again = play.send();
    assert_eq!(again[0].errands.len(), 2);
    assert_ne!(again[0].link, link);
    play.back(again[0].link, "a.0", PartEnd::Honoured, "v");
    play.back(again[0].link, "a.1", PartEnd::Honoured, "v");
    assert!(matches!(&play.replies()[0], (c, Reply::Answer { whole: true, .. }, _) if *c == client));
}

#[test]
fn a_searcher_that_drains_finishes_what_it_has_and_gets_nothing_new() {
    let mut play = play(2);
    play.ask(ask("a", "look", &[0, 1]));
    let handed = play.send();
    play.feed(Event::Told(news(6, false, vec![row(0, false)])));
    play.ask(ask("b", "look", &[0, 1, 2]));
    let mut new = play.handed();
    let drained = handed.iter().find(|h| !new.iter().any(|n| n.link == h.link)).expect("one gets nothing");
    assert_eq!(new.len(), 3);
    new.extend(handed.clone());
    for Handed { link, errands, .. } in &new {
        play.back(*link, &errands[0].id, PartEnd::Honoured, "v");
    }
    assert_eq!(play.replies().len(), 2);
    play.feed(Event::Told(news(7, false, vec![])));
    assert!(play.did(&Effect::HangUp(drained.link)), "idle, its link is let go");
}

#[test]
fn a_link_carries_so_many_calls_and_no_more_are_opened_than_there_are_berths_for() {
    let mut play = play_with(1, "limits.multiplex=2\n", berths(10, 2));
    for name in ["a", "b", "c"] {
        play.ask(ask(name, "look", &[0]));
    }
    assert_eq!(play.dials().len(), 2);
    for name in ["d", "e", "f"] {
        play.ask(ask(name, "look", &[0]));
    }
    assert!(play.dials().is_empty());
}

#[test]
fn where_links_run_short_idle_ones_make_room() {
    let mut play = play_with(2, "", berths(10, 1));
    play.ask(ask("a", "look", &[0]));
    let first = play.send()[0].link;
    play.back(first, "a.0", PartEnd::Erred, "");
    assert!(play.did(&Effect::HangUp(first)));
    assert_eq!(play.dials().len(), 1, "the other searcher is reached");
}

#[test]
fn where_nothing_may_be_called_off_no_searcher_is_told_so() {
    let mut play = play_with(1, "limits.cancel=false\n", berths(10, 10));
    play.ask(ask("a", "look", &[0]));
    play.send();
    play.pass(3_000);
    assert!(matches!(play.replies()[0].1, Reply::Bounce(_)));
    assert!(!play.effects.iter().any(|effect| matches!(effect, Effect::GiveUp { .. })));
    assert!(play.state.desk().relays.is_empty());
}

#[test]
fn a_new_address_under_the_same_name_is_dialled_and_the_old_link_is_let_go() {
    let mut play = play(1);
    play.ask(ask("a", "look", &[0]));
    let link = play.send()[0].link;
    play.back(link, "a.0", PartEnd::Honoured, "v");
    let moved = Row { address: ([127, 0, 0, 1], 9500).into(), ..row(0, true) };
    play.feed(Event::Told(news(6, false, vec![moved])));
    assert!(play.did(&Effect::HangUp(link)));
    play.ask(ask("b", "look", &[0]));
    assert_eq!(play.dials()[0].1, 500);
}

#[test]
fn the_watch_goes_on_from_what_was_told_and_begins_anew_where_that_goes_back() {
    let mut play = play(1);
    play.pass(0);
    assert!(play.did(&look(None)), "what was known may be old");
    play.feed(Event::Told(news(6, true, vec![row(0, true)])));
    assert!(play.did(&watch(Some(6))));
    play.feed(Event::Told(news(4, false, vec![])));
    assert!(play.did(&watch(None)));
    play.feed(Event::Told(news(4, true, vec![row(0, true)])));
    assert!(play.did(&watch(Some(4))));
    play.feed(Event::WatchBroke);
    play.pass(400);
    assert!(!play.did(&look(Some(4))), "not at once, where all mixers ask one service");
    play.pass(600);
    assert!(play.did(&look(Some(4))));
}

/// It once took half a second and more to ask again, twice the grace for drains that counted as told meanwhile.
#[test]
fn a_watch_that_breaks_is_opened_anew_within_the_grace_for_drains() {
    let mut play = play_with(1, "discovery=pushed\ninvariants.drain_grace=250000\n", berths(10, 10));
    play.feed(Event::Told(news(6, true, vec![row(0, true)])));
    play.effects.clear();
    play.feed(Event::WatchBroke);
    play.pass(0);
    assert!(play.did(&look(Some(6))), "at once, and for what is there, as who is silent may be so on");
    for _ in 0..3 {
        play.feed(Event::WatchBroke);
        play.pass(0);
        assert!(play.effects.is_empty(), "an agent that is down is not asked without pause");
        play.pass(63);
        assert!(play.did(&look(Some(6))));
    }
    play.feed(Event::Told(news(6, false, vec![])));
    assert!(play.did(&watch(Some(6))), "it is heard again");
    play.feed(Event::WatchBroke);
    play.pass(0);
    assert!(play.did(&look(Some(6))));
}

/// A list of changes from before the drain once had its searcher ready again until the whole list came.
#[test]
fn changes_older_than_what_was_told_change_nothing() {
    let mut play = play(2);
    play.feed(Event::Told(news(8, false, vec![row(0, false)])));
    play.feed(Event::Told(news(7, false, vec![row(0, true), Row { gone: true, ..row(1, false) }])));
    assert!(play.did(&look(None)) || play.did(&watch(None)), "the whole list is asked for");
    play.ask(ask("a", "look", &[0, 1, 2, 3]));
    assert!(play.dials().iter().all(|(_, to)| *to == 1));
}

/// Where nothing may be called off, what stood on a link that was not up yet, or behind others there, was once
/// written after its client had left.
#[test]
fn what_was_not_written_is_taken_back_also_where_nothing_may_be_called_off() {
    let mut play = play_with(1, "limits.cancel=false\n", berths(10, 10));
    let held = play.ask(ask("a", "look", &[0]));
    let (link, _) = play.dials()[0];
    play.feed(Event::ClientGone(held));
    play.feed(Event::LinkUp(link));
    assert!(play.handed().is_empty(), "its client has left");
    let handed = play.ask(ask("b", "look", &[0]));
    let call = play.handed()[0].call;
    play.feed(Event::ClientGone(handed));
    assert!(play.did(&Effect::Withdraw(link, call)));
    play.feed(Event::Withdrawn(link, call));
    let begun = play.ask(ask("c", "look", &[0]));
    let call = play.handed()[0].call;
    play.feed(Event::ClientGone(begun));
    assert!(play.did(&Effect::Withdraw(link, call)));
    play.feed(Event::CallOut(link, call));
    assert_eq!(play.state.desk().relays.len(), 1, "it had begun, and is waited for to its time");
    play.pass(2_000);
    assert!(play.state.desk().relays.is_empty() && play.state.desk().held == 0);
    assert!(play.took(|effect| matches!(effect, Effect::GiveUp { .. }).then_some(())).is_empty());
}

#[test]
fn a_call_behind_a_dial_to_where_its_searcher_is_no_more_goes_to_where_it_is() {
    let mut play = play(1);
    play.ask(ask("a", "look", &[0]));
    let (old, _) = play.dials()[0];
    let moved = Row { address: ([127, 0, 0, 1], 9500).into(), ..row(0, true) };
    play.feed(Event::Told(news(6, false, vec![moved])));
    assert_eq!(play.dials()[0].1, 500);
    play.feed(Event::LinkUp(old));
    assert!(play.handed().is_empty());
}

/// What stood unread while its client waited to be let in counts from when it may have come.
#[test]
fn the_time_for_which_a_request_stood_unread_is_taken_off_its_time() {
    let mut play = play(1);
    let client = play.come();
    play.feed(Event::Stirred(client, Span::of_millis(300)));
    play.feed(Event::Asked(client, Ask { left: Span::of_millis(800), ..ask("a", "look", &[0]) }));
    assert_eq!(play.send()[0].errands[0].waits_ms, 800 - 300 - 15);
}

/// Half a request at the last call once became a scan that nobody might be there to answer.
#[test]
fn what_becomes_whole_after_the_last_call_is_bounced_at_once() {
    let mut play = play(1);
    let half = play.come();
    play.feed(Event::Stirred(half, Span::ZERO));
    play.feed(Event::StopAsked);
    play.pass(600);
    assert!(play.did(&Effect::ShutDoor));
    play.feed(Event::DoorShut);
    play.pass(60);
    assert!(!play.did(&Effect::Dismiss(half)), "its last byte may be on the way");
    play.feed(Event::Asked(half, ask("a", "look", &[0])));
    assert_eq!(play.replies(), [(half, Reply::Bounce(Span::ZERO), true)]);
    assert!(play.dials().is_empty());
    play.feed(Event::ClientGone(half));
    assert!(play.did(&Effect::Leave));
}

#[test]
fn discovery_that_has_moved_is_asked_for_the_whole_list_at_once() {
    let mut play = play(1);
    play.feed(Event::Told(news(6, true, vec![row(0, true)])));
    play.effects.clear();
    let at = ([127, 0, 0, 2], 8500).into();
    play.feed(Event::Moved(at));
    assert_eq!(play.effects, [Effect::Watch { at, after: None, waits: false }]);
    play.feed(Event::Told(news(2, true, vec![row(0, true)])));
    assert!(play.did(&Effect::Watch { at, after: Some(2), waits: true }), "and watched from there");
}

#[test]
fn searchers_that_come_and_go_all_day_leave_nothing_behind() {
    let mut play = play(1);
    let mut before = 0;
    for number in 1..200 {
        let gone = Row { gone: true, ..row(number - 1, false) };
        let changes = if number % 10 == 0 {
            news(5 + u64::from(number), true, vec![row(number, true)])
        } else {
            news(5 + u64::from(number), false, vec![row(number, true), gone])
        };
        play.feed(Event::Told(changes));
        let client = play.ask(ask(&format!("r{number}"), "look", &[0]));
        let handed = play.send().pop().expect("the new one is asked");
        play.back(handed.link, &handed.errands[0].id, PartEnd::Honoured, "v");
        play.feed(Event::ClientGone(client));
        play.pass(50);
        let desk = play.state.desk();
        assert!(desk.roll.len() == 1 && desk.pool.links.len() <= 2, "{} links", desk.pool.links.len());
        before = before.max(desk.alarms.len());
        play.effects.clear();
    }
    assert!(before < 200, "{before} alarms");
}

fn wrong(what: &str) -> Blame {
    Blame::Request(what.into())
}

#[test_case(ask("a", "nothing", &[0]), Blame::Path; "unknown traffic type")]
#[test_case(Ask { customer: "b".into(), ..ask("a", "look", &[0]) }, wrong("an unknown X-Tenant-Id"); "customer")]
#[test_case(Ask { label: None, ..ask("a", "fix", &[0]) }, wrong("no Idempotency-Key"); "no label")]
#[test_case(ask("a", "look", &[8]), wrong("no range 8"); "unknown shard")]
#[test_case(ask("a", "look", &[1, 1]), wrong("a range stands twice"); "a part twice")]
#[test_case(ask("a", "look", &[]), wrong("the portions are not a whole"); "no parts")]
#[test_case(ask("open", "look", &[0]), Blame::Conflict; "a name that is open")]
fn a_senseless_scan_is_blamed_at_once(asked: Ask, blame: Blame) {
    let mut play = play(1);
    play.ask(ask("open", "look", &[0]));
    let client = play.ask(asked);
    assert_eq!(play.replies(), [(client, Reply::Refusal(blame), false)]);
}

#[test]
fn rounded_portions_still_make_a_whole() {
    let mut play = play(1);
    let mut thirds = ask("a", "look", &[0, 1, 2]);
    thirds.parts.iter_mut().for_each(|part| part.weight = 0.333);
    play.ask(thirds);
    for Handed { link, errands, .. } in play.send() {
        play.back(link, &errands[0].id, PartEnd::Honoured, "v");
    }
    assert!(matches!(play.replies()[0].1, Reply::Answer { whole: true, .. }));
}

#[test]
fn a_value_that_no_answer_has_room_for_is_as_good_as_none() {
    let mut play = play(1);
    play.ask(ask("a", "look", &[0]));
    let link = play.send()[0].link;
    play.back(link, "a.0", PartEnd::Honoured, &"\"".repeat(12_000));
    assert_eq!(play.replies()[0].1, Reply::Bounce(Span::ZERO));
}

#[test]
fn over_the_scans_and_parts_that_may_be_open_a_scan_is_bounced() {
    let mut play = play(3);
    for name in ["a", "b", "c", "d"] {
        play.ask(ask(name, "look", &[0, 1, 2, 3, 4, 5, 6]));
    }
    let held = play.state.desk().held;
    assert!(held <= 40);
    play.ask(ask("over", "look", &[0, 1, 2, 3, 4, 5, 6, 7]));
    assert!(matches!(play.replies().last(), Some((_, Reply::Bounce(_), _))));
    assert_eq!(play.state.desk().held, held);
}

#[test]
fn where_berths_run_short_the_longest_idle_client_goes_and_busy_ones_stay() {
    let mut play = play_with(1, "", berths(2, 2));
    let first = play.come();
    play.pass(150);
    let busy = play.ask(ask("a", "look", &[0]));
    assert!(!play.did(&Effect::Dismiss(first)), "nobody waits yet");
    let third = play.come();
    assert!(
        play.did(&Effect::Dismiss(first)) && !play.did(&Effect::LetIn(third)),
        "it is to have that place"
    );
    play.feed(Event::ClientGone(first));
    assert!(play.did(&Effect::LetIn(third)));
    play.feed(Event::Stirred(third, Span::ZERO));
    play.feed(Event::Asked(third, ask("b", "look", &[0])));
    let fourth = play.come();
    assert!(!play.did(&Effect::Dismiss(busy)) && !play.did(&Effect::Dismiss(third)), "scans are open");
    assert!(play.did(&Effect::Door(false)), "one waits, and no more");
    play.pass(410);
    assert!(play.did(&Effect::TurnAway(fourth, Span::ZERO)), "it has waited long enough");
    assert!(play.did(&Effect::Door(true)));
    play.come();
    assert!(play.did(&Effect::Door(false)));
    play.pass(100);
    assert!(play.did(&Effect::Door(true)), "the others hear that there is no place");
    let sixth = play.come();
    assert!(play.did(&Effect::TurnAway(sixth, Span::ZERO)));
}

#[test]
fn where_descriptors_run_short_all_the_same_an_idle_client_goes() {
    let mut play = play(2);
    let idle = play.come();
    play.ask(ask("a", "look", &[0]));
    play.pass(150);
    play.feed(Event::Short);
    assert!(play.did(&Effect::Dismiss(idle)));
    play.feed(Event::Short);
    assert!(
        play.took(|effect| matches!(effect, Effect::Dismiss(_)).then_some(())).is_empty(),
        "it is on its way"
    );
    play.feed(Event::ClientGone(idle));
    let other = play.come();
    play.pass(300);
    play.feed(Event::Short);
    assert!(play.did(&Effect::Dismiss(other)));
    play.feed(Event::Short);
    assert!(
        play.took(|effect| matches!(effect, Effect::Dismiss(_)).then_some(())).is_empty(),
        "none is idle"
    );
}

/// When what stirs after so long, and does not become whole, is dropped: counted from its connection, where it
/// is the first there, and from its own first byte where it is not.
#[test_case(None, false, 2_000; "says nothing")]
#[test_case(Some(1_900), false, 2_000; "begins late")]
#[test_case(Some(1_000), true, 3_000; "half a request after a whole one")]
#[test_case(None, true, u64::MAX; "has asked and keeps its connection")]
fn a_connection_owes_whole_requests_in_time(stirs: Option<u64>, has_asked: bool, dropped: u64) {
    let mut play = play(1);
    let client = play.come();
    if has_asked {
        play.feed(Event::Stirred(client, Span::ZERO));
        play.feed(Event::HealthAsked(client));
        assert_eq!(play.replies(), [(client, Reply::Health(true), false)]);
    }
    for at in (100..=6_000).step_by(100) {
        play.pass(100);
        if stirs == Some(at) {
            play.feed(Event::Stirred(client, Span::ZERO));
        }
        assert_eq!(play.did(&Effect::Dismiss(client)), at == dropped, "after {at}");
    }
}

/// Connections that said nothing once kept usual clients outside, and so did those that had been answered.
#[test]
fn a_crowd_that_says_nothing_makes_room_for_who_asks() {
    let mut play = play_with(1, "", berths(4, 2));
    let crowd: Vec<ClientId> = (0..4).map(|_| play.come()).collect();
    let usual = play.come();
    play.pass(90);
    assert!(!play.did(&Effect::Dismiss(crowd[0])), "it may be about to ask");
    play.pass(20);
    assert!(play.did(&Effect::Dismiss(crowd[0])));
    play.feed(Event::ClientGone(crowd[0]));
    assert!(play.did(&Effect::LetIn(usual)));
    play.feed(Event::Stirred(usual, Span::ZERO));
    play.feed(Event::Asked(usual, ask("a", "look", &[0])));
    play.come();
    assert!(play.did(&Effect::Dismiss(crowd[1])), "at once, for the next who waits");
    let link = play.send()[0].link;
    play.back(link, "a.0", PartEnd::Honoured, "v");
    assert!(
        matches!(play.replies()[..], [(to, Reply::Answer { .. }, true)] if to == usual),
        "it frees its place"
    );
    crowd.iter().for_each(|client| play.feed(Event::ClientGone(*client)));
    play.feed(Event::ClientGone(usual));
    let usual = play.ask(ask("b", "look", &[0]));
    play.handed();
    play.back(link, "b.0", PartEnd::Honoured, "v");
    assert!(
        matches!(play.replies()[..], [(to, Reply::Answer { .. }, false)] if to == usual),
        "alone, it stays"
    );
}

#[test]
fn nothing_can_be_served_before_a_searcher_is_listed() {
    let mut play = play(0);
    let client = play.come();
    play.feed(Event::Stirred(client, Span::ZERO));
    play.feed(Event::HealthAsked(client));
    assert_eq!(play.replies(), [(client, Reply::Health(false), false)]);
}

#[test]
fn told_to_stop_it_serves_who_still_comes_and_leaves_when_all_is_answered() {
    let mut play = play(1);
    let idle = play.come();
    play.pass(150);
    let new = play.come();
    let busy = play.ask(ask("a", "look", &[0]));
    let link = play.send()[0].link;
    play.feed(Event::StopAsked);
    assert!(play.did(&Effect::Dismiss(idle)));
    assert!(!play.did(&Effect::Dismiss(new)), "it is about to ask");
    play.feed(Event::ClientGone(new));
    play.feed(Event::ClientGone(idle));
    play.pass(300);
    let late = play.ask(ask("b", "look", &[1]));
    assert_eq!(play.handed().len(), 1);
    play.pass(350);
    assert!(play.did(&Effect::ShutDoor));
    play.feed(Event::DoorShut);
    let waiting = play.come();
    play.pass(60);
    assert!(play.did(&Effect::Dismiss(waiting)));
    play.feed(Event::ClientGone(waiting));
    for (id, client) in [("a.0", busy), ("b.1", late)] {
        assert!(!play.did(&Effect::Leave), "a scan is open");
        play.back(link, id, PartEnd::Honoured, "v");
        assert!(matches!(play.replies()[..], [(to, Reply::Answer { .. }, true)] if to == client));
        play.feed(Event::ClientGone(client));
    }
    assert!(play.did(&Effect::Leave));
}

#[test]
fn checks_that_nobody_answers_leave_no_links_behind() {
    let mut play = play(2);
    play.ask(ask("a", "look", &[0]));
    let (link, _) = play.dials()[0];
    play.feed(Event::LinkEnded(link, Ending::Refused));
    play.send();
    let mut checks = 0;
    for _ in 0..50 {
        play.pass(5_000);
        for (link, _) in play.dials() {
            play.feed(Event::LinkUp(link));
            checks += usize::from(play.did(&Effect::Check(link)));
        }
    }
    assert!(checks > 40 && play.state.desk().pool.links.len() <= 3, "{checks} checks");
}

#[test]
fn a_mute_searcher_holds_nothing_up_and_nothing_grows_for_it() {
    let mut play = play(2);
    for round in 0..200 {
        let client = play.ask(ask(&format!("r{round}"), "look", &[0]));
        play.send();
        play.pass(2_000);
        assert_eq!(play.replies().len(), 1);
        play.feed(Event::ClientGone(client));
        play.effects.clear();
    }
    let desk = play.state.desk();
    assert!(desk.relays.is_empty() && desk.names.is_empty() && desk.held == 0);
    assert!(desk.pool.links.values().all(|link| link.calls.is_empty()) && desk.pool.links.len() <= 2);
}

/// Before so many searchers, with the index `cues` of the query dialect.
fn play_in_dialect(searchers: u16) -> Play {
    let readings = Readings::parse(SETTINGS.as_bytes()).unwrap();
    let operator =
        Operator::read("{ dialect: { indices: { cues: { searches: 'look', customer: 'acme' } } } }").unwrap();
    let state = State::new(&readings, 7, berths(10, 10), &operator, "n0").unwrap();
    let now = Moment::at_micros(1_764_000_000_000_000);
    let mut play = Play { state, now, alarm: None, effects: Vec::new(), clients: 0 };
    let known = news(5, true, (0..searchers).map(|number| row(number, true)).collect());
    let effects = play.state.begin(&known, DISCOVERY, now);
    play.take(effects);
    play
}

/// A search of the query dialect whose first node fails, with the other told to drain meanwhile: nothing goes there.
#[test]
fn a_drain_told_between_two_relays_of_a_search_is_kept() {
    let mut play = play_in_dialect(2);
    let client = play.come();
    play.feed(Event::Stirred(client, Span::ZERO));
    let request = fernglade_dialect::request::Request::parse(
        "GET",
        "/cues/_search?preference=_shards:2",
        |_| None,
        b"",
    );
    play.feed(Event::Queried(client, Box::new(request.unwrap())));
    let dialled = play.dials();
    let (link, first) = dialled[0];
    play.feed(Event::LinkUp(link));
    let sent = play.handed()[0].clone();
    play.feed(Event::CallOut(link, sent.call));
    let other = 1 - first;
    play.feed(Event::Told(news(6, false, vec![row(other, false)])));
    play.back(link, &sent.errands[0].id, PartEnd::Honoured, "no answer of this dialect");
    assert!(play.dials().is_empty() && play.handed().is_empty(), "the other drains");
    let ends = play.replies();
    assert!(matches!(&ends[..], [(to, Reply::Dialect { status: 429, .. }, _)] if *to == client), "{ends:?}");
}

/// A request of the platform's front that bears the name the next search would have.
#[test]
fn a_search_whose_name_is_taken_by_the_other_front_has_another() {
    let mut play = play_in_dialect(1);
    play.ask(ask("q7-1", "look", &[0]));
    let client = play.come();
    play.feed(Event::Stirred(client, Span::ZERO));
    let request = fernglade_dialect::request::Request::parse(
        "GET",
        "/cues/_search?preference=_shards:0",
        |_| None,
        b"",
    );
    play.feed(Event::Queried(client, Box::new(request.unwrap())));
    assert!(play.replies().is_empty(), "both are open");
    let ids: Vec<String> =
        play.connect().iter().flat_map(|h| &h.errands).map(|errand| errand.id.clone()).collect();
    assert_eq!(ids, ["q7-1.0", "q7-1x.0"]);
}

mod windows;
