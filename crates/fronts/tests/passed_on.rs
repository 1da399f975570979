//! That what an operator states reaches the module: one small scene, played with a setting and without, which differ
//! by what the mixer does.

use fernglade::choice::Mixer;
use fernglade::{
    Host, ListedSearcher, Moment, PartSpec, RelayOutcome, ScanId, ScanSpec, Searcher, Span, Ticket,
};
use fernglade_fronts::Readings;
use std::collections::VecDeque;
use test_case::test_case;

const PLAIN: &str = "services.count=1\nservices.0.aim=2000000\nservices.0.give_up=4000000\n\
services.0.repeat=pure\nfamily_info.cells=1\nfamily_info.width=1\nfamily_info.floor_by_class=1.0\n\
family_info.complete_from=1.0\nlimits.attempts_cap=3\ntick=5000\nfleet_size=2";

/// What the mixer did, in words; and its relays that are still out.
#[derive(Default)]
struct Scene {
    now: Moment,
    did: Vec<String>,
    out: VecDeque<Ticket>,
    wakes: Vec<(Moment, Ticket)>,
}

impl Host for Scene {
    fn now(&self) -> Moment {
        self.now
    }
    fn relay(&mut self, ticket: Ticket, _: ScanId, part: usize, to: Searcher, _: Span) {
        self.did.push(format!("part {part} to {}", to.0));
        self.out.push_back(ticket);
    }
    fn cancel(&mut self, _: Ticket) {}
    fn answer(&mut self, _: ScanId, whole: bool, last: bool) {
        self.did.push(format!("answers, whole {whole}, last {last}"));
    }
    fn reject(&mut self, _: ScanId, pause: Span) {
        self.did.push(format!("bounces, come back after {} ms", pause.micros() / 1_000));
    }
    fn fail(&mut self, _: ScanId) {
        self.did.push("writes off".into());
    }
    fn set_timer(&mut self, ticket: Ticket, at: Moment) {
        self.wakes.push((at, ticket));
    }
    fn probe(&mut self, searcher: Searcher) {
        self.did.push(format!("checks {}", searcher.0));
    }
    fn retire_connections(&mut self, _: Searcher) {}
    fn watch_discovery(&mut self) {}
}

/// A mixer by these settings, before three searchers.
struct Play {
    mixer: Mixer,
    scene: Scene,
    scans: u32,
}

impl Play {
    fn by(settings: &str) -> Self {
        let readings = Readings::parse(format!("{PLAIN}\n{settings}").as_bytes()).unwrap();
        let mut mixer = readings.mixer(7).unwrap();
        let mut scene = Scene { now: Moment::from_micros(100_000_000), ..Scene::default() };
        let of =
            |number| ListedSearcher { searcher: Searcher(number), ready: true, ..ListedSearcher::default() };
        mixer.update_searchers(&mut scene, true, &[of(0), of(1), of(2)]);
        Self { mixer, scene, scans: 0 }
    }

    fn scan(&mut self, parts: usize) {
        self.scans += 1;
        let part = PartSpec { shard: 0, weight: 1.0 / parts as f64 };
        let (left, parts) = (Span::from_millis(4_000), vec![part; parts]);
        let scan = ScanSpec {
            traffic_type: 0,
            customer: 0,
            time_left: left,
            work_hint: None,
            is_retry: false,
            parts,
        };
        self.mixer.start_scan(&mut self.scene, ScanId { slot: self.scans, generation: 1 }, scan);
    }

    /// What is out ends in this way, twenty milliseconds after it went; and so does what goes out for it.
    fn land(&mut self, how: RelayOutcome) {
        while let Some(ticket) = self.scene.out.pop_front() {
            self.scene.now = self.scene.now + Span::from_millis(20);
            self.mixer.relay_finished(&mut self.scene, ticket, how, Span::from_millis(20));
        }
    }

    fn pass(&mut self, span: Span) {
        let end = self.scene.now + span;
        let next = |wakes: &[(Moment, Ticket)]| (0..wakes.len()).min_by_key(|at| wakes[*at].0);
        while let Some(next) = next(&self.scene.wakes).filter(|next| self.scene.wakes[*next].0 <= end) {
            let (at, ticket) = self.scene.wakes.swap_remove(next);
            self.scene.now = at;
            self.mixer.timer_fired(&mut self.scene, ticket);
        }
        self.scene.now = end;
    }
}

/// A scan of so many parts, of which the last is honoured, if it has another; all else ends so. Then six seconds pass.
fn played(settings: &str, parts: usize, how: RelayOutcome) -> Vec<String> {
    let mut play = Play::by(settings);
    play.scan(parts);
    let sound = if parts > 1 { play.scene.out.pop_back() } else { None };
    play.land(how);
    play.scene.out.extend(sound);
    play.land(RelayOutcome::Succeeded);
    play.pass(Span::from_millis(6_000));
    play.scene.did
}

fn relays(did: &[String]) -> usize {
    did.iter().filter(|what| what.starts_with("part 0")).count()
}

#[test_case("", 3; "as stated before")]
#[test_case("limits.attempts_cap=1", 1; "a part has one relay")]
#[test_case("invariants.further_ratio=0\ninvariants.free_resends=0\ninvariants.resend_span=2000000", 1; "no budget at all")]
#[test_case("invariants.further_ratio=0\ninvariants.free_resends=1\ninvariants.resend_span=2000000", 2; "one further relay in two seconds")]
#[test_case("services.0.repeat=side_effect", 1; "what has an effect runs once")]
#[test_case("services.0.repeat=token\nservices.0.window=10000", 1; "a label's window is over")]
#[test_case("services.0.repeat=token\nservices.0.window=2000000", 3; "a label's window holds")]
fn a_failed_part_goes_out_as_often_as_settings_let_it(settings: &str, times: usize) {
    let did = played(settings, 2, RelayOutcome::Failed);
    assert_eq!(relays(&did), times, "{did:?}");
}

#[test_case("", RelayOutcome::Failed, "bounces, come back after 0 ms"; "no pause is asked for")]
#[test_case("limits.retry_after=true\nlimits.max_retry_after=1500000", RelayOutcome::Failed, "bounces, come back after 1500 ms"; "the longest pause")]
#[test_case("services.0.repeat=side_effect", RelayOutcome::Failed, "writes off"; "what may have run is not asked for again")]
#[test_case("services.0.repeat=side_effect", RelayOutcome::Rejected, "bounces, come back after 0 ms"; "what never ran may be")]
#[test_case("family_info.floor_by_class=0.4\nfamily_info.complete_from=0.9", RelayOutcome::Failed, "answers, whole false, last true"; "half is more than the floor")]
#[test_case("family_info.floor_by_class=0.4\nfamily_info.complete_from=0.5", RelayOutcome::Failed, "answers, whole true, last true"; "half is whole")]
#[test_case("family_info.floor_by_class=0.4\nfamily_info.complete_from=0.5\nfamily_info.fetch_parts=3", RelayOutcome::Failed, "answers, whole true, last false"; "a step that fetches follows")]
fn a_scan_ends_as_its_traffic_type_says(settings: &str, how: RelayOutcome, says: &str) {
    // Where nothing ran, nothing of a second part has run either.
    let parts = if how == RelayOutcome::Rejected { 1 } else { 2 };
    let did = played(&format!("{settings}\nlimits.attempts_cap=1"), parts, how);
    assert!(did.iter().any(|what| what == says), "{did:?}");
}

#[test_case("limits.may_probe=true", true; "by a probe")]
#[test_case("", false; "by no probe where none is allowed")]
fn who_could_not_be_reached_is_checked(settings: &str, checks: bool) {
    let did = played(settings, 2, RelayOutcome::Unreachable);
    assert_eq!(did.iter().any(|what| what.starts_with("checks")), checks, "{did:?}");
}

/// Two that have just started take the place of the three: how many of forty scans in four seconds they get.
#[test_case("", 40, 40; "nothing is said of cold ones")]
#[test_case("fleet_size=160\ninvariants.cold_from=0.5\ninvariants.cold=18000000\ninvariants.fall_multiple=3\ninvariants.fall=1500000", 1, 20; "one of 160 mixers")]
fn cold_searchers_get_their_share(settings: &str, least: usize, most: usize) {
    let mut play = Play::by(settings);
    for _ in 0..30 {
        play.scan(1);
        play.land(RelayOutcome::Succeeded);
    }
    let started = Some(play.scene.now);
    let of = |number| ListedSearcher {
        searcher: Searcher(number),
        ready: true,
        started,
        ..ListedSearcher::default()
    };
    play.mixer.update_searchers(&mut play.scene, true, &[of(3), of(4)]);
    play.scene.did.clear();
    for _ in 0..40 {
        play.scan(1);
        play.land(RelayOutcome::Succeeded);
        play.pass(Span::from_millis(80));
    }
    let sent = relays(&play.scene.did);
    assert!((least..=most).contains(&sent), "{sent}");
}

#[test]
fn a_pushed_list_comes_with_the_grace_of_its_drains() {
    let of = |settings: &str| {
        let readings = Readings::parse(format!("{PLAIN}\n{settings}").as_bytes()).unwrap();
        readings.mixer(7).unwrap().pushed_drain_grace
    };
    assert_eq!(of("discovery=pushed\ninvariants.drain_grace=250000"), Some(Span::from_millis(250)));
    assert_eq!(of("discovery=on_request\ninvariants.drain_grace=250000"), None);
}

#[test]
fn an_unknown_effect_is_refused_by_its_line() {
    let readings = Readings::parse(format!("{PLAIN}\nservices.0.repeat=perhaps").as_bytes()).unwrap();
    let said = readings.mixer(7).err().map(|misread| misread.to_string()).unwrap_or_default();
    assert!(said.contains("services.0.repeat") && said.contains("perhaps"), "{said}");
}
