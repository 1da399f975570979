//! The rule checker: it finds no violation in a valid trace, and reports one inserted fault of each kind by
//! its rule.

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
    Moment::from_micros(millis * 1000)
}

#[derive(Default)]
struct TraceBuilder(Vec<TraceEntry>);

impl TraceBuilder {
    fn at(&mut self, millis: u64, event: TraceEvent) -> &mut Self {
        self.0.push(TraceEntry { at: at(millis), event });
        self
    }

    fn scan_sent(&mut self, millis: u64, scan: u32, traffic_type: usize) -> &mut Self {
        let timeout = Span::from_millis(if traffic_type == TAG { 9_000 } else { 1_000 });
        self.at(
            millis,
            TraceEvent::ScanSent {
                scan,
                first_try: scan,
                mixer: 0,
                traffic_type,
                shards: vec![0, 1],
                timeout,
            },
        )
    }

    fn relayed(&mut self, millis: u64, scan: u32, shard: u32, searcher: usize) -> &mut Self {
        self.at(
            millis,
            TraceEvent::PartRelayed {
                mixer: 0,
                searcher,
                part: Part { scan, shard },
                earliest_write: at(millis),
            },
        )
    }

    fn back(
        &mut self,
        millis: u64,
        scan: u32,
        shard: u32,
        searcher: usize,
        outcome: PartOutcome,
    ) -> &mut Self {
        self.at(millis, TraceEvent::PartAnswered { mixer: 0, searcher, part: Part { scan, shard }, outcome })
    }

    fn answered(&mut self, millis: u64, scan: u32, status: u16, complete: bool, shards: &[u32]) -> &mut Self {
        let values = shards.iter().map(|shard| (*shard, value_of(Part { scan, shard: *shard }))).collect();
        self.at(
            millis,
            TraceEvent::ScanAnswered { scan, mixer: 0, status, complete, values, retry_after: None },
        )
    }

    fn rules(&mut self) -> Vec<Rule> {
        // A late event, so that scans that are never answered are past their deadlines.
        self.0.sort_by_key(|entry| entry.at);
        self.at(30_000, TraceEvent::ProbeReceived { mixer: 0, searcher: 0 });
        let violations = check_rules(&Scenario::parse(DAY).expect("a sound day"), &self.0);
        violations.into_iter().map(|violation| violation.rule).collect()
    }
}

/// A successful scan of each type. Of the first, one part is rejected and sent to another searcher.
fn valid_trace() -> TraceBuilder {
    let mut trace = TraceBuilder::default();
    trace.scan_sent(100, 1, LOOK).relayed(101, 1, 0, 0).relayed(101, 1, 1, 1).back(
        102,
        1,
        0,
        0,
        PartOutcome::Rejected,
    );
    trace.relayed(103, 1, 0, 2).back(120, 1, 0, 2, PartOutcome::Succeeded).back(
        121,
        1,
        1,
        1,
        PartOutcome::Succeeded,
    );
    trace.answered(122, 1, 200, true, &[0, 1]);
    trace.scan_sent(200, 2, FIX).relayed(201, 2, 0, 0).relayed(201, 2, 1, 1);
    trace.back(220, 2, 0, 0, PartOutcome::Succeeded).back(221, 2, 1, 1, PartOutcome::Succeeded).answered(
        222,
        2,
        200,
        true,
        &[0, 1],
    );
    trace.scan_sent(300, 3, TAG).relayed(301, 3, 0, 0).relayed(301, 3, 1, 1).back(
        330,
        3,
        1,
        1,
        PartOutcome::Succeeded,
    );
    trace.relayed(900, 3, 0, 2).back(930, 3, 0, 2, PartOutcome::Succeeded).answered(
        931,
        3,
        200,
        true,
        &[0, 1],
    );
    trace
}

#[test]
fn a_sound_trace_is_found_sound() {
    assert_eq!(valid_trace().rules(), []);
}

#[test_case(Rule::Effect, |trace| trace.relayed(210, 2, 0, 2); "a second relay of an edit that may have run")]
#[test_case(Rule::Answer, |trace| trace.scan_sent(400, 9, LOOK).relayed(401, 9, 0, 0); "a scan unanswered")]
#[test_case(Rule::Answer, |trace| trace.answered(140, 1, 200, true, &[0, 1]); "a second answer")]
#[test_case(Rule::Answer, |trace| trace.relayed(400, 1, 1, 2); "a relay after the final answer")]
#[test_case(Rule::Answer, |trace| trace.scan_sent(400, 9, LOOK).at(450, TraceEvent::ScanDropped { scan: 9, mixer: 0 }); "a connection ended in place of an answer")]
#[test_case(Rule::Answer, |trace| trace.scan_sent(400, 9, LOOK).answered(1_800, 9, 503, false, &[]); "an answer long after its time")]
#[test_case(Rule::Answer, |trace| trace.relayed(400, 77, 0, 0); "a part that nobody asked for")]
#[test_case(Rule::Crash, |trace| trace.at(5_000, TraceEvent::MixerExited { mixer: 1, expected: false }); "a mixer that ended by itself")]
#[test_case(Rule::Cold, |trace| trace.at(5_000, TraceEvent::SearcherCollapsed { searcher: 1 }); "a cold searcher toppled")]
fn a_planted_fault_is_named(rule: Rule, insert_fault: fn(&mut TraceBuilder) -> &mut TraceBuilder) {
    let mut trace = valid_trace();
    insert_fault(&mut trace);
    assert_eq!(trace.rules(), [rule]);
}

#[test_case(false, &[Rule::Drain]; "a relay half a second after the grace")]
#[test_case(true, &[]; "by a mixer that stood still meanwhile and could not read it")]
fn a_searcher_that_drains_is_left_alone(stalled: bool, rules: &[Rule]) {
    let mut trace = TraceBuilder::default();
    trace.at(100, TraceEvent::DiscoverySent { mixer: 0, searcher: 0, ready: false });
    if stalled {
        trace
            .at(90, TraceEvent::MixerStalled { mixer: 0, stalled: true })
            .at(950, TraceEvent::MixerStalled { mixer: 0, stalled: false });
    }
    trace.scan_sent(960, 1, LOOK).relayed(980, 1, 0, 0).back(990, 1, 0, 0, PartOutcome::Succeeded);
    trace.answered(1_000, 1, 200, false, &[0]);
    assert_eq!(trace.rules(), rules);
}

/// A call read late from a blocked link may have been written before the final answer, which is no violation;
/// one read as it arrived was written after it.
#[test_case(190, &[]; "it waited")]
#[test_case(400, &[Rule::Answer]; "it was written then")]
fn what_a_cut_link_held_back_was_sent_when_it_was_written(written: u64, rules: &[Rule]) {
    let mut trace = TraceBuilder::default();
    trace.scan_sent(100, 1, LOOK).relayed(101, 1, 1, 1).back(110, 1, 1, 1, PartOutcome::Succeeded);
    trace.answered(200, 1, 200, false, &[1]);
    let part = Part { scan: 1, shard: 0 };
    trace.at(400, TraceEvent::PartRelayed { mixer: 0, searcher: 0, part, earliest_write: at(written) });
    assert_eq!(trace.rules(), rules);
}

#[test_case(503, &[Rule::Effect]; "bounced though it may have run")]
#[test_case(500, &[]; "written off, which promises nothing")]
fn an_edit_is_bounced_only_where_nothing_ran(status: u16, rules: &[Rule]) {
    let mut trace = TraceBuilder::default();
    trace.scan_sent(100, 1, FIX).relayed(101, 1, 0, 0).relayed(101, 1, 1, 1).back(
        103,
        1,
        1,
        1,
        PartOutcome::Rejected,
    );
    trace.answered(600, 1, status, false, &[]);
    assert_eq!(trace.rules(), rules);
}

#[test]
fn an_edit_that_was_turned_away_everywhere_may_be_bounced() {
    let mut trace = TraceBuilder::default();
    trace.scan_sent(100, 1, FIX).relayed(101, 1, 0, 0).back(103, 1, 0, 0, PartOutcome::Rejected);
    assert_eq!(trace.answered(600, 1, 503, false, &[]).rules(), []);
}

#[test_case(1_200, &[]; "inside its window")]
#[test_case(1_800, &[Rule::Effect]; "past its window")]
fn a_labelled_part_goes_again_inside_its_window(millis: u64, rules: &[Rule]) {
    let mut trace = TraceBuilder::default();
    trace.scan_sent(100, 1, TAG).relayed(101, 1, 0, 0).relayed(101, 1, 1, 1).back(
        110,
        1,
        1,
        1,
        PartOutcome::Succeeded,
    );
    trace.relayed(millis, 1, 0, 2).back(millis + 10, 1, 0, 2, PartOutcome::Succeeded);
    assert_eq!(trace.answered(millis + 20, 1, 200, true, &[0, 1]).rules(), rules);
}

#[test_case(false, &[0], &[]; "half will do where it is not called whole")]
#[test_case(true, &[0], &[Rule::Honest]; "called whole with half")]
#[test_case(false, &[], &[Rule::Honest]; "under its floor")]
#[test_case(true, &[0, 1], &[Rule::Honest]; "with a value that no searcher made")]
fn answers_are_honest(complete: bool, shards: &[u32], rules: &[Rule]) {
    let mut trace = TraceBuilder::default();
    trace.scan_sent(100, 1, LOOK).relayed(101, 1, 0, 0).relayed(101, 1, 1, 1).back(
        110,
        1,
        0,
        0,
        PartOutcome::Succeeded,
    );
    assert_eq!(trace.answered(200, 1, 200, complete, shards).rules(), rules);
}

/// Each of three mixers keeps its own retry budget: two free retries and a fifth of what it received (three a
/// scan). Together they exceed the budget of the whole fleet.
#[test]
fn a_budget_that_is_kept_by_each_can_be_exceeded_in_sum() {
    let mut trace = TraceBuilder::default();
    for number in 0..30 {
        let (mixer, millis) = (number as usize % 3, 100 + 350 * u64::from(number / 3));
        let (scan, timeout) = (number, Span::from_millis(1_000));
        trace.at(
            millis,
            TraceEvent::ScanSent {
                scan,
                first_try: scan,
                mixer,
                traffic_type: LOOK,
                shards: vec![0, 1],
                timeout,
            },
        );
        for (after, searcher) in [(1, 0), (2, 1)].into_iter().take(if number < 15 { 2 } else { 1 }) {
            let part = Part { scan, shard: 0 };
            trace.at(
                millis + after,
                TraceEvent::PartRelayed { mixer, searcher, part, earliest_write: at(millis + after) },
            );
            trace.at(
                millis + after,
                TraceEvent::PartAnswered {
                    mixer,
                    searcher,
                    part,
                    outcome: if after == 1 { PartOutcome::Failed } else { PartOutcome::Succeeded },
                },
            );
        }
        let part = Part { scan, shard: 1 };
        trace.at(
            millis + 3,
            TraceEvent::PartRelayed { mixer, searcher: 2, part, earliest_write: at(millis + 3) },
        );
        trace.at(
            millis + 4,
            TraceEvent::PartAnswered { mixer, searcher: 2, part, outcome: PartOutcome::Succeeded },
        );
        let (values, retry_after) = (vec![(1, value_of(part))], None);
        trace.at(
            millis + 5,
            TraceEvent::ScanAnswered { scan, mixer, status: 200, complete: false, values, retry_after },
        );
    }
    // 60 parts were requested and 75 relays sent; 74 are allowed.
    assert_eq!(trace.rules(), [Rule::Sum]);
}

#[test]
fn a_mixer_that_spends_more_than_its_budget_is_named() {
    let mut trace = valid_trace();
    trace.scan_sent(2_000, 5, LOOK).relayed(2_001, 5, 0, 0);
    for again in 0..6 {
        trace.relayed(2_010 + again, 5, 0, 1);
    }
    trace.answered(2_100, 5, 503, false, &[]);
    let rules = trace.rules();
    assert!(rules.contains(&Rule::Budget), "{rules:?}");
}
