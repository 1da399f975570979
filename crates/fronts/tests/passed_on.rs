//! Settings must reach the mixer module. A short scenario is run with a setting and without it, and the mixer
//! has to act differently. This guards against a setting that is parsed and then not passed on.

use fernglade::choice::Mixer;
use fernglade::{
    Host, ListedSearcher, Moment, PartSpec, RelayOutcome, ScanId, ScanSpec, Searcher, Span, Ticket,
};
use fernglade_fronts::Settings;
use std::collections::VecDeque;
use test_case::test_case;

const BASE_SETTINGS: &str = "services.count=1\nservices.0.aim=2000000\nservices.0.give_up=4000000\n\
services.0.repeat=pure\nfamily_info.cells=1\nfamily_info.width=1\nfamily_info.floor_by_class=1.0\n\
family_info.complete_from=1.0\nlimits.attempts_cap=3\ntick=5000\nfleet_size=2";

/// A host that records the mixer's actions as text, and its outstanding relays and timers.
#[derive(Default)]
struct RecordingHost {
    now: Moment,
    actions: Vec<String>,
    in_flight: VecDeque<Ticket>,
    timers: Vec<(Moment, Ticket)>,
}

impl Host for RecordingHost {
    fn now(&self) -> Moment {
        self.now
    }
    fn relay(&mut self, ticket: Ticket, _: ScanId, part: usize, to: Searcher, _: Span) {
        self.actions.push(format!("part {part} to {}", to.0));
        self.in_flight.push_back(ticket);
    }
    fn cancel(&mut self, _: Ticket) {}
    fn answer(&mut self, _: ScanId, complete: bool, last: bool) {
        self.actions.push(format!("answers, complete {complete}, last {last}"));
    }
    fn reject(&mut self, _: ScanId, pause: Span) {
        self.actions.push(format!("rejects, retry after {} ms", pause.micros() / 1_000));
    }
    fn fail(&mut self, _: ScanId) {
        self.actions.push("fails".into());
    }
    fn set_timer(&mut self, ticket: Ticket, at: Moment) {
        self.timers.push((at, ticket));
    }
    fn probe(&mut self, searcher: Searcher) {
        self.actions.push(format!("probes {}", searcher.0));
    }
    fn retire_connections(&mut self, _: Searcher) {}
    fn watch_discovery(&mut self) {}
}

/// A mixer with the given settings and three searchers.
struct Scenario {
    mixer: Mixer,
    host: RecordingHost,
    scans: u32,
}

impl Scenario {
    fn with(settings: &str) -> Self {
        let parsed = Settings::parse(format!("{BASE_SETTINGS}\n{settings}").as_bytes()).unwrap();
        let mut mixer = parsed.build_mixer(7).unwrap();
        let mut host = RecordingHost { now: Moment::from_micros(100_000_000), ..RecordingHost::default() };
        let of =
            |number| ListedSearcher { searcher: Searcher(number), ready: true, ..ListedSearcher::default() };
        mixer.update_searchers(&mut host, true, &[of(0), of(1), of(2)]);
        Self { mixer, host, scans: 0 }
    }

    fn start_scan(&mut self, parts: usize) {
        self.scans += 1;
        let part = PartSpec { shard: 0, weight: 1.0 / parts as f64 };
        let (time_left, parts) = (Span::from_millis(4_000), vec![part; parts]);
        let scan = ScanSpec {
            traffic_type: 0,
            customer: 0,
            time_left,
            work_hint: None,
            is_retry: false,
            single_delivery: false,
            parts,
        };
        self.mixer.start_scan(&mut self.host, ScanId { slot: self.scans, generation: 1 }, scan);
    }

    /// Ends every relay in flight, and those sent in reaction, with the given result after 20 ms each.
    fn finish_relays(&mut self, outcome: RelayOutcome) {
        while let Some(ticket) = self.host.in_flight.pop_front() {
            self.host.now = self.host.now + Span::from_millis(20);
            self.mixer.relay_finished(&mut self.host, ticket, outcome, Span::from_millis(20));
        }
    }

    /// Advances the clock and fires the timers that are due.
    fn advance(&mut self, span: Span) {
        let end = self.host.now + span;
        let next = |timers: &[(Moment, Ticket)]| (0..timers.len()).min_by_key(|index| timers[*index].0);
        while let Some(next) = next(&self.host.timers).filter(|next| self.host.timers[*next].0 <= end) {
            let (at, ticket) = self.host.timers.swap_remove(next);
            self.host.now = at;
            self.mixer.timer_fired(&mut self.host, ticket);
        }
        self.host.now = end;
    }
}

/// Runs one scan and returns the mixer's actions. Of several parts the first relay of the last one succeeds;
/// every other relay ends with `outcome`. Then six seconds pass.
fn run_scan(settings: &str, parts: usize, outcome: RelayOutcome) -> Vec<String> {
    let mut scenario = Scenario::with(settings);
    scenario.start_scan(parts);
    let last = if parts > 1 { scenario.host.in_flight.pop_back() } else { None };
    scenario.finish_relays(outcome);
    scenario.host.in_flight.extend(last);
    scenario.finish_relays(RelayOutcome::Succeeded);
    scenario.advance(Span::from_millis(6_000));
    scenario.host.actions
}

fn count_relays(actions: &[String]) -> usize {
    actions.iter().filter(|action| action.starts_with("part 0")).count()
}

#[test_case("", 3; "base settings")]
#[test_case("limits.attempts_cap=1", 1; "one attempt per part")]
#[test_case("invariants.further_ratio=0\ninvariants.free_resends=0\ninvariants.resend_span=2000000", 1; "empty retry budget")]
#[test_case("invariants.further_ratio=0\ninvariants.free_resends=1\ninvariants.resend_span=2000000", 2; "a budget of one retry in two seconds")]
#[test_case("services.0.repeat=side_effect", 1; "a scan with side effects runs once")]
#[test_case("services.0.repeat=token\nservices.0.window=10000", 1; "the window of an idempotency key is over")]
#[test_case("services.0.repeat=token\nservices.0.window=2000000", 3; "the window of an idempotency key is open")]
fn a_failed_part_is_retried_as_often_as_settings_allow(settings: &str, attempts: usize) {
    let actions = run_scan(settings, 2, RelayOutcome::Failed);
    assert_eq!(count_relays(&actions), attempts, "{actions:?}");
}

#[test_case("", RelayOutcome::Failed, "rejects, retry after 0 ms"; "no pause")]
#[test_case("limits.retry_after=true\nlimits.max_retry_after=1500000", RelayOutcome::Failed, "rejects, retry after 1500 ms"; "the longest pause")]
#[test_case("services.0.repeat=side_effect", RelayOutcome::Failed, "fails"; "a part that may have run is not retried")]
#[test_case("services.0.repeat=side_effect", RelayOutcome::Rejected, "rejects, retry after 0 ms"; "a part that never ran may be retried")]
#[test_case("family_info.floor_by_class=0.4\nfamily_info.complete_from=0.9", RelayOutcome::Failed, "answers, complete false, last true"; "half exceeds the minimum coverage")]
#[test_case("family_info.floor_by_class=0.4\nfamily_info.complete_from=0.5", RelayOutcome::Failed, "answers, complete true, last true"; "half counts as complete")]
#[test_case("family_info.floor_by_class=0.4\nfamily_info.complete_from=0.5\nfamily_info.fetch_parts=3", RelayOutcome::Failed, "answers, complete true, last false"; "a fetch step follows")]
fn a_scan_ends_as_its_traffic_type_requires(settings: &str, outcome: RelayOutcome, expected: &str) {
    // For a scan that never ran there must not be a second part that succeeds.
    let parts = if outcome == RelayOutcome::Rejected { 1 } else { 2 };
    let actions = run_scan(&format!("{settings}\nlimits.attempts_cap=1"), parts, outcome);
    assert!(actions.iter().any(|action| action == expected), "{actions:?}");
}

#[test_case("limits.may_probe=true", true; "probes allowed")]
#[test_case("", false; "probes not allowed")]
fn an_unreachable_searcher_is_probed(settings: &str, is_probed: bool) {
    let actions = run_scan(settings, 2, RelayOutcome::Unreachable);
    assert_eq!(actions.iter().any(|action| action.starts_with("probes")), is_probed, "{actions:?}");
}

/// Two searchers that have just started replace the three. Bounds how many of forty scans in four seconds
/// they get.
#[test_case("", 40, 40; "no slow start configured")]
#[test_case("fleet_size=160\ninvariants.cold_from=0.5\ninvariants.cold=18000000\ninvariants.fall_multiple=3\ninvariants.fall=1500000", 1, 20; "one of 160 mixers")]
fn cold_searchers_get_their_share(settings: &str, min: usize, max: usize) {
    let mut scenario = Scenario::with(settings);
    for _ in 0..30 {
        scenario.start_scan(1);
        scenario.finish_relays(RelayOutcome::Succeeded);
    }
    let started = Some(scenario.host.now);
    let of = |number| ListedSearcher {
        searcher: Searcher(number),
        ready: true,
        started,
        ..ListedSearcher::default()
    };
    scenario.mixer.update_searchers(&mut scenario.host, true, &[of(3), of(4)]);
    scenario.host.actions.clear();
    for _ in 0..40 {
        scenario.start_scan(1);
        scenario.finish_relays(RelayOutcome::Succeeded);
        scenario.advance(Span::from_millis(80));
    }
    let sent = count_relays(&scenario.host.actions);
    assert!((min..=max).contains(&sent), "{sent}");
}

#[test]
fn a_pushed_list_has_the_drain_grace() {
    let of = |settings: &str| {
        let parsed = Settings::parse(format!("{BASE_SETTINGS}\n{settings}").as_bytes()).unwrap();
        parsed.build_mixer(7).unwrap().pushed_drain_grace
    };
    assert_eq!(of("discovery=pushed\ninvariants.drain_grace=250000"), Some(Span::from_millis(250)));
    assert_eq!(of("discovery=on_request\ninvariants.drain_grace=250000"), None);
}

#[test]
fn an_unknown_repeat_setting_is_rejected_with_its_path() {
    let settings = Settings::parse(format!("{BASE_SETTINGS}\nservices.0.repeat=perhaps").as_bytes()).unwrap();
    let error = settings.build_mixer(7).err().map(|error| error.to_string()).unwrap_or_default();
    assert!(error.contains("services.0.repeat") && error.contains("perhaps"), "{error}");
}
