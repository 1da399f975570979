//! Scenarios for the state machine: reports of mixers and commands of an operator go in, and the orders are
//! checked.

use fernglade::{Moment, Span};
use fernglade_rollout::journal::Record;
use fernglade_rollout::machine::{Effect, Event, Hold, Report, Rollout, Stand, Wish};
use fernglade_rollout::metrics_sample::{BuildDigests, Incarnation};
use fernglade_rollout::spec::{steps, ChangeMethod, RolloutSpec, Side, StageSize};
use std::sync::Arc;
use test_case::test_case;

fn spec(method: ChangeMethod) -> Arc<RolloutSpec> {
    let zones: Vec<String> = ["a", "a", "a", "b", "b", "b"].map(String::from).to_vec();
    let names = (0..6).map(|at| format!("m{at}")).collect();
    let digests = |program: &str| BuildDigests { program: program.into(), settings: "-".into() };
    let span = Span::from_millis;
    Arc::new(RolloutSpec {
        names,
        steps: steps(&zones, &[StageSize::Count(1), StageSize::Share(1.0)]),
        zones,
        old: digests("old"),
        new: digests("new"),
        method,
        max_unavailable: 1,
        max_unavailable_in_rollback: 2,
        stop_timeout: span(3_000),
        ready_timeout: span(5_000),
        return_timeout: span(2_000),
        unreachable_after: span(2_000),
        settle_time: span(1_000),
        comparison_timeout: span(60_000),
        memory_limit: 100 << 20,
    })
}

/// Simulated mixers that carry out their orders, unless a scenario makes them fail.
struct Fleet {
    rollout: Rollout,
    now: Moment,
    /// The side and incarnation that each mixer runs; none while it is stopped.
    running: Vec<Option<(Side, u32)>>,
    last_incarnation: u32,
    unreachable: Vec<usize>,
    ignores_stop: Vec<usize>,
    new_never_starts: bool,
    journal: Vec<Record>,
    orders: Vec<Effect>,
    max_stopped: usize,
}

impl Fleet {
    fn new(method: ChangeMethod) -> Self {
        let (now, spec) = (Moment::from_micros(1_000_000), spec(method));
        Self {
            rollout: Rollout::new(spec, &[], now),
            now,
            running: (0..6).map(|at| Some((Side::Old, at))).collect(),
            last_incarnation: 10,
            unreachable: vec![],
            ignores_stop: vec![],
            new_never_starts: false,
            journal: vec![],
            orders: vec![],
            max_stopped: 0,
        }
    }

    fn report(&self, mixer: usize) -> Option<Report> {
        let (side, incarnation) = self.running[mixer]?;
        let incarnation = Incarnation(incarnation.to_string());
        let (wrong_sum, refused_settings) = (None, false);
        Some(Report { side: Some(side), incarnation, ready: true, memory: 1, wrong_sum, refused_settings })
    }

    fn apply(&mut self, event: Event) {
        for effect in self.rollout.handle(self.now, event) {
            match &effect {
                Effect::Write(record) => self.journal.push(record.clone()),
                Effect::Stop(mixer, _) if self.ignores_stop.contains(mixer) => {}
                Effect::Stop(mixer, _) | Effect::Kill(mixer, _) => self.running[*mixer] = None,
                Effect::Start(_, Side::New) if self.new_never_starts => {}
                Effect::Start(mixer, side) => {
                    self.last_incarnation += 1;
                    self.running[*mixer] = Some((*side, self.last_incarnation));
                }
                Effect::Hand(mixer, side) => {
                    let incarnation = self.running[*mixer].map_or(0, |(_, incarnation)| incarnation);
                    self.running[*mixer] = Some((*side, incarnation));
                }
                Effect::Compare(_) | Effect::Tell(_) => {}
            }
            if !matches!(effect, Effect::Write(_) | Effect::Tell(_)) {
                self.orders.push(effect);
            }
        }
        self.max_stopped = self.max_stopped.max(self.running.iter().filter(|run| run.is_none()).count());
    }

    /// One interval of the control loop: 250 ms pass and all mixers are scraped.
    fn tick(&mut self) {
        self.now = self.now + Span::from_millis(250);
        for mixer in 0..6 {
            match self.report(mixer) {
                _ if self.unreachable.contains(&mixer) => {}
                Some(report) => self.apply(Event::Heard(mixer, report)),
                None => self.apply(Event::Ended { mixer, crashed: false }),
            }
        }
        self.apply(Event::Time { watched: true });
    }

    fn run_until(&mut self, predicate: impl Fn(&Stand) -> bool) {
        for _ in 0..400 {
            if predicate(&self.rollout.state) {
                return;
            }
            self.tick();
        }
        panic!("never: {}\n{:#?}", self.rollout.status_line(), self.journal);
    }

    fn run_until_judging(&mut self) {
        self.run_until(|state| matches!(state, Stand::Judging(_)));
    }

    fn count_on(&self, side: Side) -> usize {
        self.running.iter().flatten().filter(|(runs, _)| *runs == side).count()
    }
}

#[test]
fn steps_keep_one_old_mixer_of_each_zone_for_comparison_until_the_last() {
    let spec = spec(ChangeMethod::Restart);
    let new: Vec<usize> = spec.steps.iter().map(|step| step.new.len()).collect();
    assert_eq!(new, [2, 4, 6]);
    assert_eq!(spec.steps[0].baseline, [2, 5].into());
    assert!(spec.steps[1].compared && !spec.steps[2].compared);
    assert_eq!(spec.changed_in(1), [1, 4].into());
}

#[test_case(ChangeMethod::Restart)]
#[test_case(ChangeMethod::Reload)]
fn a_good_change_completes_within_the_limit_of_unavailable_mixers(method: ChangeMethod) {
    let mut fleet = Fleet::new(method);
    for _ in 0..2 {
        fleet.run_until_judging();
        fleet.apply(Event::Fine);
        assert!(!matches!(fleet.rollout.state, Stand::Judging(_)), "a result applies to one step only");
    }
    fleet.run_until(|state| *state == Stand::Done(Side::New));
    assert_eq!(fleet.count_on(Side::New), 6);
    assert!(fleet.max_stopped <= 1);
    // In each judged step the baseline mixers of both zones are restarted too.
    let starts =
        |side| fleet.orders.iter().filter(|o| matches!(o, Effect::Start(_, of) if *of == side)).count();
    assert_eq!(
        (starts(Side::New), starts(Side::Old)),
        if method == ChangeMethod::Restart { (6, 4) } else { (0, 0) }
    );
}

#[test]
fn a_worse_step_is_rolled_back_and_no_other_mixer_is_touched() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.run_until_judging();
    assert_eq!(fleet.count_on(Side::New), 2);
    fleet.apply(Event::Worse("slower".into()));
    fleet.run_until(|state| *state == Stand::Done(Side::Old));
    assert_eq!(fleet.count_on(Side::Old), 6);
    assert!(fleet.running[1] == Some((Side::Old, 1)) && fleet.running[4] == Some((Side::Old, 4)));
    assert!(fleet.journal.contains(&Record::Undo { why: "slower".into() }));
}

#[test]
fn an_inconclusive_comparison_waits_then_holds_and_never_goes_on() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.run_until_judging();
    for _ in 0..300 {
        fleet.apply(Event::Unsure("too little".into()));
        fleet.tick();
    }
    assert_eq!(fleet.rollout.state, Stand::Held(Hold::Unsure("too little".into())));
    assert_eq!(fleet.count_on(Side::New), 2);
    fleet.apply(Event::Wished(Wish::Resume));
    fleet.run_until_judging();
    assert_eq!(fleet.count_on(Side::New), 4, "the operator took the step as passed");
}

#[test]
fn unreachable_mixers_stop_all_orders_without_a_rollback() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.run_until_judging();
    fleet.unreachable = vec![1, 4];
    (0..20).for_each(|_| fleet.tick());
    let orders = fleet.orders.len();
    fleet.apply(Event::Fine);
    (0..40).for_each(|_| fleet.tick());
    assert_eq!(fleet.orders.len(), orders, "no order is given on missing information");
    assert!(fleet.rollout.rollback_reason.is_none());
    fleet.unreachable.clear();
    fleet.run_until_judging();
    assert_eq!(fleet.count_on(Side::New), 4);
}

/// A reference window that lacks a mixer must not be used.
#[test]
fn no_step_begins_while_a_mixer_is_unreachable_and_the_operator_is_told_which() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.apply(Event::Time { watched: false });
    (0..6).for_each(|at| fleet.apply(Event::Heard(at, fleet.report(at).unwrap())));
    fleet.now = fleet.now + Span::from_millis(2_500);
    (0..5).for_each(|at| fleet.apply(Event::Heard(at, fleet.report(at).unwrap())));
    let out = fleet.rollout.handle(fleet.now, Event::Time { watched: true });
    assert_eq!(out, [Effect::Tell("m5 is out of reach: nothing is ordered".into())]);
    fleet.run_until_judging();
    assert_eq!(fleet.count_on(Side::New), 2);
}

#[test]
fn a_crash_of_a_new_mixer_rolls_back_at_once() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.run_until_judging();
    fleet.running[0] = None;
    fleet.apply(Event::Ended { mixer: 0, crashed: true });
    assert_eq!(fleet.rollout.state, Stand::Undoing);
    fleet.run_until(|state| *state == Stand::Done(Side::Old));
}

#[test]
fn a_mixer_restarted_from_outside_with_the_old_program_is_changed_again() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.run_until_judging();
    fleet.running[0] = None;
    fleet.apply(Event::Ended { mixer: 0, crashed: false });
    fleet.tick();
    fleet.running[0] = Some((Side::Old, 77));
    fleet.run_until_judging();
    assert!(fleet.rollout.rollback_reason.is_none());
    assert_eq!(fleet.running[0].map(|run| run.0), Some(Side::New));
}

#[test]
fn a_mixer_that_keeps_restarting_with_the_wrong_program_is_held_for_an_operator() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    for incarnation in 100..110 {
        if matches!(fleet.rollout.state, Stand::Held(_)) {
            break;
        }
        fleet.run_until(|state| matches!(state, Stand::Judging(_) | Stand::Held(_)));
        fleet.running[0] = Some((Side::Old, incarnation));
        fleet.tick();
    }
    assert!(matches!(&fleet.rollout.state, Stand::Held(Hold::Stuck(why)) if why.contains("m0")));
}

#[test]
fn a_mixer_that_does_not_stop_is_killed_and_one_that_is_never_ready_rolls_back() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.ignores_stop = vec![0];
    fleet.run_until_judging();
    assert!(fleet.orders.iter().any(|order| matches!(order, Effect::Kill(0, _))));
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.new_never_starts = true;
    fleet.run_until(|state| *state == Stand::Done(Side::Old));
    assert_eq!(fleet.count_on(Side::Old), 6);
    assert!(fleet.rollout.rollback_reason.as_ref().is_some_and(|why| why.contains("not ready in time")));
}

#[test_case(|report: &mut Report| report.memory = 200 << 20, "memory"; "memory at its limit")]
#[test_case(|report: &mut Report| report.wrong_sum = Some("look".into()), "add up"; "counts that do not add up")]
#[test_case(|report: &mut Report| report.refused_settings = true, "settings"; "settings refused")]
fn faults_that_need_no_statistics_roll_back_at_once(corrupt: fn(&mut Report), expected: &str) {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.run_until_judging();
    let mut report = fleet.report(3).unwrap();
    corrupt(&mut report);
    let mut old_report = fleet.report(1).unwrap();
    corrupt(&mut old_report);
    fleet.apply(Event::Heard(1, old_report));
    assert!(fleet.rollout.rollback_reason.is_none(), "faults of old mixers are not caused by the change");
    fleet.apply(Event::Heard(3, report));
    assert!(
        fleet.rollout.rollback_reason.as_ref().is_some_and(|why| why.contains(expected)),
        "{:?}",
        fleet.rollout.rollback_reason
    );
}

#[test]
fn undo_in_the_middle_of_a_step_rolls_back_and_a_pause_gives_no_orders() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.run_until(|state| *state == Stand::Moving);
    fleet.tick();
    fleet.apply(Event::Wished(Wish::Pause));
    let begun = fleet.journal.iter().filter(|r| matches!(r, Record::Ordered { .. })).count();
    (0..40).for_each(|_| fleet.tick());
    let after = fleet.journal.iter().filter(|r| matches!(r, Record::Ordered { .. })).count();
    assert_eq!(begun, after);
    assert!(fleet.running.iter().all(Option::is_some), "mixers that were stopped have been started");
    fleet.apply(Event::Wished(Wish::Undo));
    fleet.run_until(|state| *state == Stand::Done(Side::Old));
    assert_eq!(fleet.count_on(Side::Old), 6);
}

#[test]
fn a_conductor_restarted_at_any_record_reaches_the_same_end() {
    let mut uninterrupted = Fleet::new(ChangeMethod::Restart);
    for _ in 0..2 {
        uninterrupted.run_until_judging();
        uninterrupted.apply(Event::Fine);
    }
    uninterrupted.run_until(|state| *state == Stand::Done(Side::New));
    for cut in 1..uninterrupted.journal.len() {
        let mut fleet = Fleet::new(ChangeMethod::Restart);
        let mut passed = 0;
        while fleet.journal.len() < cut {
            if matches!(fleet.rollout.state, Stand::Judging(_)) {
                fleet.apply(Event::Fine);
                passed += 1;
            } else {
                fleet.tick();
            }
        }
        // A restarted conductor has only the journal and what the mixers run.
        fleet.journal.truncate(cut);
        fleet.rollout = Rollout::new(spec(ChangeMethod::Restart), &fleet.journal, fleet.now);
        while !fleet.rollout.is_finished() {
            fleet.run_until(|state| matches!(state, Stand::Judging(_) | Stand::Done(_)));
            fleet.apply(Event::Fine);
            passed += 1;
            assert!(passed < 9, "cut at {cut}");
        }
        assert_eq!(fleet.count_on(Side::New), 6, "cut at {cut}");
        assert!(fleet.max_stopped <= 1, "cut at {cut}: {}", fleet.max_stopped);
    }
}
