//! The judge itself: a sound trace is found sound, and one planted fault of each kind is named.

use fernglade::{Moment, Span};
use fernglade_standins::fleet::trace::{value_of, Part, PartOutcome, TraceEntry, TraceEvent};
use fernglade_standins::fleet::{check_rules, Rule, Scenario};
use test_case::test_case;

const DAY: &str = r#"{
  lasts: "10s", mixers: { count: 3 }, searchers: { cells: 1, replicas: 3 },
  budget: { free: 2, share: 0.2, in_sum: 1.2 },
  types: [
    { name: "look", rate: 1, parts: 2, work: "1ms", quoted: "500ms", abandon: "1s", repeat: "redoable", floor: 0.5 },
    { name: "fix", rate: 1, parts: 2, work: "1ms", quoted: "500ms", abandon: "1s", repeat: "irreversible" },
    { name: "tag", rate: 1, parts: 2, work: "1ms", quoted: "500ms", abandon: "9s", repeat: "labelled", window: "1s" },
  ],
}"#;

const LOOK: usize = 0;
const FIX: usize = 1;
const TAG: usize = 2;

fn at(millis: u64) -> Moment {
    Moment::at_micros(millis * 1000)
}

#[derive(Default)]
struct Tale(Vec<TraceEntry>);

impl Tale {
    fn at(&mut self, millis: u64, event: TraceEvent) -> &mut Self {
        self.0.push(TraceEntry { at: at(millis), event });
        self
    }

    fn asked(&mut self, millis: u64, scan: u32, traffic_type: usize) -> &mut Self {
        let left = Span::of_millis(if traffic_type == TAG { 9_000 } else { 1_000 });
        self.at(
            millis,
            TraceEvent::ScanSent { scan, first: scan, mixer: 0, traffic_type, shards: vec![0, 1], left },
        )
    }

    fn relayed(&mut self, millis: u64, scan: u32, shard: u32, searcher: usize) -> &mut Self {
        self.at(
            millis,
            TraceEvent::PartRelayed { mixer: 0, searcher, part: Part { scan, shard }, written: at(millis) },
        )
    }

    fn back(&mut self, millis: u64, scan: u32, shard: u32, searcher: usize, end: PartOutcome) -> &mut Self {
        self.at(millis, TraceEvent::PartAnswered { mixer: 0, searcher, part: Part { scan, shard }, end })
    }

    fn answered(&mut self, millis: u64, scan: u32, status: u16, whole: bool, shards: &[u32]) -> &mut Self {
        let values = shards.iter().map(|shard| (*shard, value_of(Part { scan, shard: *shard }))).collect();
        self.at(millis, TraceEvent::ScanAnswered { scan, mixer: 0, status, whole, values, pause: None })
    }

    fn rules(&mut self) -> Vec<Rule> {
        // The day goes on, so that what is never answered is past its time.
        self.0.sort_by_key(|passed| passed.at);
        self.at(30_000, TraceEvent::ProbeReceived { mixer: 0, searcher: 0 });
        let violations = check_rules(&Scenario::parse(DAY).expect("a sound day"), &self.0);
        violations.into_iter().map(|violation| violation.rule).collect()
    }
}

/// A scan of each type that goes well; of the first, one part is turned away and goes to another searcher.
fn sound() -> Tale {
    let mut tale = Tale::default();
    tale.asked(100, 1, LOOK).relayed(101, 1, 0, 0).relayed(101, 1, 1, 1).back(
        102,
        1,
        0,
        0,
        PartOutcome::Rejected,
    );
    tale.relayed(103, 1, 0, 2).back(120, 1, 0, 2, PartOutcome::Succeeded).back(
        121,
        1,
        1,
        1,
        PartOutcome::Succeeded,
    );
    tale.answered(122, 1, 200, true, &[0, 1]);
    tale.asked(200, 2, FIX).relayed(201, 2, 0, 0).relayed(201, 2, 1, 1);
    tale.back(220, 2, 0, 0, PartOutcome::Succeeded).back(221, 2, 1, 1, PartOutcome::Succeeded).answered(
        222,
        2,
        200,
        true,
        &[0, 1],
    );
    tale.asked(300, 3, TAG).relayed(301, 3, 0, 0).relayed(301, 3, 1, 1).back(
        330,
        3,
        1,
        1,
        PartOutcome::Succeeded,
    );
    tale.relayed(900, 3, 0, 2).back(930, 3, 0, 2, PartOutcome::Succeeded).answered(
        931,
        3,
        200,
        true,
        &[0, 1],
    );
    tale
}

#[test]
fn a_sound_trace_is_found_sound() {
    assert_eq!(sound().rules(), []);
}

#[test_case(Rule::Effect, |tale| tale.relayed(210, 2, 0, 2); "a second relay of an edit that may have run")]
#[test_case(Rule::Answer, |tale| tale.asked(400, 9, LOOK).relayed(401, 9, 0, 0); "a scan unanswered")]
#[test_case(Rule::Answer, |tale| tale.answered(140, 1, 200, true, &[0, 1]); "a second answer")]
#[test_case(Rule::Answer, |tale| tale.relayed(400, 1, 1, 2); "a relay after the final answer")]
#[test_case(Rule::Answer, |tale| tale.asked(400, 9, LOOK).at(450, TraceEvent::ScanDropped { scan: 9, mixer: 0 }); "a connection ended in place of an answer")]
#[test_case(Rule::Answer, |tale| tale.asked(400, 9, LOOK).answered(1_800, 9, 503, false, &[]); "an answer long after its time")]
#[test_case(Rule::Answer, |tale| tale.relayed(400, 77, 0, 0); "a part that nobody asked for")]
#[test_case(Rule::Crash, |tale| tale.at(5_000, TraceEvent::MixerExited { mixer: 1, asked: false }); "a mixer that ended by itself")]
#[test_case(Rule::Cold, |tale| tale.at(5_000, TraceEvent::SearcherCollapsed { searcher: 1 }); "a cold searcher toppled")]
fn a_planted_fault_is_named(rule: Rule, plant: fn(&mut Tale) -> &mut Tale) {
    let mut tale = sound();
    plant(&mut tale);
    assert_eq!(tale.rules(), [rule]);
}

#[test_case(false, &[Rule::Drain]; "a relay half a second after the grace")]
#[test_case(true, &[]; "by a mixer that stood still meanwhile and could not read it")]
fn a_searcher_that_drains_is_left_alone(stalled: bool, rules: &[Rule]) {
    let mut tale = Tale::default();
    tale.at(100, TraceEvent::DiscoverySent { mixer: 0, searcher: 0, ready: false });
    if stalled {
        tale.at(90, TraceEvent::MixerStalled { mixer: 0, still: true })
            .at(950, TraceEvent::MixerStalled { mixer: 0, still: false });
    }
    tale.asked(960, 1, LOOK).relayed(980, 1, 0, 0).back(990, 1, 0, 0, PartOutcome::Succeeded);
    tale.answered(1_000, 1, 200, false, &[0]);
    assert_eq!(tale.rules(), rules);
}

/// A call that lay in a link which nobody read may have been written before the final answer; one that was read as it
/// came was not.
#[test_case(190, &[]; "it waited")]
#[test_case(400, &[Rule::Answer]; "it was written then")]
fn what_a_cut_link_held_back_was_sent_when_it_was_written(written: u64, rules: &[Rule]) {
    let mut tale = Tale::default();
    tale.asked(100, 1, LOOK).relayed(101, 1, 1, 1).back(110, 1, 1, 1, PartOutcome::Succeeded);
    tale.answered(200, 1, 200, false, &[1]);
    let part = Part { scan: 1, shard: 0 };
    tale.at(400, TraceEvent::PartRelayed { mixer: 0, searcher: 0, part, written: at(written) });
    assert_eq!(tale.rules(), rules);
}

#[test_case(503, &[Rule::Effect]; "bounced though it may have run")]
#[test_case(500, &[]; "written off, which promises nothing")]
fn an_edit_is_bounced_only_where_nothing_ran(status: u16, rules: &[Rule]) {
    let mut tale = Tale::default();
    tale.asked(100, 1, FIX).relayed(101, 1, 0, 0).relayed(101, 1, 1, 1).back(
        103,
        1,
        1,
        1,
        PartOutcome::Rejected,
    );
    tale.answered(600, 1, status, false, &[]);
    assert_eq!(tale.rules(), rules);
}

#[test]
fn an_edit_that_was_turned_away_everywhere_may_be_bounced() {
    let mut tale = Tale::default();
    tale.asked(100, 1, FIX).relayed(101, 1, 0, 0).back(103, 1, 0, 0, PartOutcome::Rejected);
    assert_eq!(tale.answered(600, 1, 503, false, &[]).rules(), []);
}

#[test_case(1_200, &[]; "inside its window")]
#[test_case(1_800, &[Rule::Effect]; "past its window")]
fn a_labelled_part_goes_again_inside_its_window(millis: u64, rules: &[Rule]) {
    let mut tale = Tale::default();
    tale.asked(100, 1, TAG).relayed(101, 1, 0, 0).relayed(101, 1, 1, 1).back(
        110,
        1,
        1,
        1,
        PartOutcome::Succeeded,
    );
    tale.relayed(millis, 1, 0, 2).back(millis + 10, 1, 0, 2, PartOutcome::Succeeded);
    assert_eq!(tale.answered(millis + 20, 1, 200, true, &[0, 1]).rules(), rules);
}

#[test_case(false, &[0], &[]; "half will do where it is not called whole")]
#[test_case(true, &[0], &[Rule::Honest]; "called whole with half")]
#[test_case(false, &[], &[Rule::Honest]; "under its floor")]
#[test_case(true, &[0, 1], &[Rule::Honest]; "with a value that no searcher made")]
fn answers_are_honest(whole: bool, shards: &[u32], rules: &[Rule]) {
    let mut tale = Tale::default();
    tale.asked(100, 1, LOOK).relayed(101, 1, 0, 0).relayed(101, 1, 1, 1).back(
        110,
        1,
        0,
        0,
        PartOutcome::Succeeded,
    );
    assert_eq!(tale.answered(200, 1, 200, whole, shards).rules(), rules);
}

/// Each of three mixers stays within its own budget, of two free relays and a fifth of what it took (three a scan).
/// Together they send far more than the whole fleet may.
#[test]
fn a_budget_that_is_kept_by_each_can_be_exceeded_in_sum() {
    let mut tale = Tale::default();
    for number in 0..30 {
        let (mixer, millis) = (number as usize % 3, 100 + 350 * u64::from(number / 3));
        let (scan, left) = (number, Span::of_millis(1_000));
        tale.at(
            millis,
            TraceEvent::ScanSent { scan, first: scan, mixer, traffic_type: LOOK, shards: vec![0, 1], left },
        );
        for (after, searcher) in [(1, 0), (2, 1)].into_iter().take(if number < 15 { 2 } else { 1 }) {
            let part = Part { scan, shard: 0 };
            tale.at(
                millis + after,
                TraceEvent::PartRelayed { mixer, searcher, part, written: at(millis + after) },
            );
            tale.at(
                millis + after,
                TraceEvent::PartAnswered {
                    mixer,
                    searcher,
                    part,
                    end: if after == 1 { PartOutcome::Failed } else { PartOutcome::Succeeded },
                },
            );
        }
        let part = Part { scan, shard: 1 };
        tale.at(millis + 3, TraceEvent::PartRelayed { mixer, searcher: 2, part, written: at(millis + 3) });
        tale.at(
            millis + 4,
            TraceEvent::PartAnswered { mixer, searcher: 2, part, end: PartOutcome::Succeeded },
        );
        let (values, pause) = (vec![(1, value_of(part))], None);
        tale.at(
            millis + 5,
            TraceEvent::ScanAnswered { scan, mixer, status: 200, whole: false, values, pause },
        );
    }
    // 60 parts were asked for, and 75 sent: 74 are allowed.
    assert_eq!(tale.rules(), [Rule::Sum]);
}

#[test]
fn a_mixer_that_spends_more_than_its_budget_is_named() {
    let mut tale = sound();
    tale.asked(2_000, 5, LOOK).relayed(2_001, 5, 0, 0);
    for again in 0..6 {
        tale.relayed(2_010 + again, 5, 0, 1);
    }
    tale.answered(2_100, 5, 503, false, &[]);
    let rules = tale.rules();
    assert!(rules.contains(&Rule::Budget), "{rules:?}");
}
