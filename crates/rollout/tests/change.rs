//! The change, story by story: what mixers say and what an operator wants come in, and what is ordered is looked at.

use fernglade::{Moment, Span};
use fernglade_rollout::journal::Record;
use fernglade_rollout::machine::{Effect, Event, Hold, Report, Rollout, Stand, Wish};
use fernglade_rollout::metrics_sample::{BuildDigests, Incarnation};
use fernglade_rollout::spec::{steps, ChangeMethod, RolloutSpec, Side, StageSize};
use std::sync::Arc;
use test_case::test_case;

fn course(method: ChangeMethod) -> Arc<RolloutSpec> {
    let zones: Vec<String> = ["a", "a", "a", "b", "b", "b"].map(String::from).to_vec();
    let names = (0..6).map(|at| format!("m{at}")).collect();
    let makes = |program: &str| BuildDigests { program: program.into(), settings: "-".into() };
    let span = Span::of_millis;
    Arc::new(RolloutSpec {
        names,
        steps: steps(&zones, &[StageSize::Count(1), StageSize::Share(1.0)]),
        zones,
        old: makes("old"),
        new: makes("new"),
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

/// Mixers that do as they are told, unless a story says otherwise.
struct Fleet {
    change: Rollout,
    now: Moment,
    /// Which side each runs and in which life; none while it is not there.
    run: Vec<Option<(Side, u32)>>,
    lives: u32,
    silent: Vec<usize>,
    deaf: Vec<usize>,
    stillborn: bool,
    journal: Vec<Record>,
    orders: Vec<Effect>,
    max_unavailable: usize,
}

impl Fleet {
    fn new(method: ChangeMethod) -> Self {
        let (now, course) = (Moment::at_micros(1_000_000), course(method));
        Self {
            change: Rollout::new(course, &[], now),
            now,
            run: (0..6).map(|at| Some((Side::Old, at))).collect(),
            lives: 10,
            silent: vec![],
            deaf: vec![],
            stillborn: false,
            journal: vec![],
            orders: vec![],
            max_unavailable: 0,
        }
    }

    fn report(&self, mixer: usize) -> Option<Report> {
        let (side, life) = self.run[mixer]?;
        let incarnation = Incarnation(life.to_string());
        let (wrong_sum, refused_settings) = (None, false);
        Some(Report { side: Some(side), incarnation, ready: true, memory: 1, wrong_sum, refused_settings })
    }

    fn take(&mut self, event: Event) {
        for effect in self.change.handle(self.now, event) {
            match &effect {
                Effect::Write(record) => self.journal.push(record.clone()),
                Effect::Stop(mixer, _) if self.deaf.contains(mixer) => {}
                Effect::Stop(mixer, _) | Effect::Kill(mixer, _) => self.run[*mixer] = None,
                Effect::Start(_, Side::New) if self.stillborn => {}
                Effect::Start(mixer, side) => {
                    self.lives += 1;
                    self.run[*mixer] = Some((*side, self.lives));
                }
                Effect::Hand(mixer, side) => {
                    let life = self.run[*mixer].map_or(0, |(_, life)| life);
                    self.run[*mixer] = Some((*side, life));
                }
                Effect::Compare(_) | Effect::Tell(_) => {}
            }
            if !matches!(effect, Effect::Write(_) | Effect::Tell(_)) {
                self.orders.push(effect);
            }
        }
        self.max_unavailable = self.max_unavailable.max(self.run.iter().filter(|run| run.is_none()).count());
    }

    /// A turn of the conductor's: everybody is asked, and a quarter of a second has passed.
    fn turn(&mut self) {
        self.now = self.now + Span::of_millis(250);
        for mixer in 0..6 {
            match self.report(mixer) {
                _ if self.silent.contains(&mixer) => {}
                Some(report) => self.take(Event::Heard(mixer, report)),
                None => self.take(Event::Ended { mixer, crashed: false }),
            }
        }
        self.take(Event::Time { watched: true });
    }

    fn until(&mut self, stands: impl Fn(&Stand) -> bool) {
        for _ in 0..400 {
            if stands(&self.change.state) {
                return;
            }
            self.turn();
        }
        panic!("never: {}\n{:#?}", self.change.status_line(), self.journal);
    }

    fn judging(&mut self) {
        self.until(|stand| matches!(stand, Stand::Judging(_)));
    }

    fn side(&self, side: Side) -> usize {
        self.run.iter().flatten().filter(|(runs, _)| *runs == side).count()
    }
}

#[test]
fn steps_keep_one_of_each_zone_to_be_held_against_until_the_last() {
    let course = course(ChangeMethod::Restart);
    let new: Vec<usize> = course.steps.iter().map(|step| step.new.len()).collect();
    assert_eq!(new, [2, 4, 6]);
    assert_eq!(course.steps[0].baseline, [2, 5].into());
    assert!(course.steps[1].compared && !course.steps[2].compared);
    assert_eq!(course.changed_in(1), [1, 4].into());
}

#[test_case(ChangeMethod::Restart)]
#[test_case(ChangeMethod::Reload)]
fn a_good_change_goes_through_with_as_many_away_as_may_be(method: ChangeMethod) {
    let mut fleet = Fleet::new(method);
    for _ in 0..2 {
        fleet.judging();
        fleet.take(Event::Fine);
        assert!(!matches!(fleet.change.state, Stand::Judging(_)), "one verdict is for one step");
    }
    fleet.until(|stand| *stand == Stand::Done(Side::New));
    assert_eq!(fleet.side(Side::New), 6);
    assert!(fleet.max_unavailable <= 1);
    // In the first step the twins of both zones began anew too.
    let starts =
        |side| fleet.orders.iter().filter(|o| matches!(o, Effect::Start(_, of) if *of == side)).count();
    assert_eq!(
        (starts(Side::New), starts(Side::Old)),
        if method == ChangeMethod::Restart { (6, 4) } else { (0, 0) }
    );
}

#[test]
fn a_worse_step_is_undone_and_no_other_mixer_is_touched() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.judging();
    assert_eq!(fleet.side(Side::New), 2);
    fleet.take(Event::Worse("slower".into()));
    fleet.until(|stand| *stand == Stand::Done(Side::Old));
    assert_eq!(fleet.side(Side::Old), 6);
    assert!(fleet.run[1] == Some((Side::Old, 1)) && fleet.run[4] == Some((Side::Old, 4)));
    assert!(fleet.journal.contains(&Record::Undo { why: "slower".into() }));
}

#[test]
fn no_verdict_means_wait_then_hold_and_never_go_on() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.judging();
    for _ in 0..300 {
        fleet.take(Event::Unsure("too little".into()));
        fleet.turn();
    }
    assert_eq!(fleet.change.state, Stand::Held(Hold::Unsure("too little".into())));
    assert_eq!(fleet.side(Side::New), 2);
    fleet.take(Event::Wished(Wish::Resume));
    fleet.judging();
    assert_eq!(fleet.side(Side::New), 4, "an operator took the step as passed");
}

#[test]
fn who_is_out_of_reach_stops_all_orders_and_blames_nobody() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.judging();
    fleet.silent = vec![1, 4];
    (0..20).for_each(|_| fleet.turn());
    let orders = fleet.orders.len();
    fleet.take(Event::Fine);
    (0..40).for_each(|_| fleet.turn());
    assert_eq!(fleet.orders.len(), orders, "no fact is not a bad fact, and nothing is ordered on it");
    assert!(fleet.change.rollback_reason.is_none());
    fleet.silent.clear();
    fleet.judging();
    assert_eq!(fleet.side(Side::New), 4);
}

/// A time before with a mixer missing is no time before.
#[test]
fn no_step_begins_while_one_is_out_of_reach_and_people_are_told_which() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.take(Event::Time { watched: false });
    (0..6).for_each(|at| fleet.take(Event::Heard(at, fleet.report(at).unwrap())));
    fleet.now = fleet.now + Span::of_millis(2_500);
    (0..5).for_each(|at| fleet.take(Event::Heard(at, fleet.report(at).unwrap())));
    let out = fleet.change.handle(fleet.now, Event::Time { watched: true });
    assert_eq!(out, [Effect::Tell("m5 is out of reach: nothing is ordered".into())]);
    fleet.judging();
    assert_eq!(fleet.side(Side::New), 2);
}

#[test]
fn a_new_one_that_crashes_is_the_end_of_the_change_at_once() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.judging();
    fleet.run[0] = None;
    fleet.take(Event::Ended { mixer: 0, crashed: true });
    assert_eq!(fleet.change.state, Stand::Undoing);
    fleet.until(|stand| *stand == Stand::Done(Side::Old));
}

#[test]
fn a_machine_that_restarts_with_the_old_program_is_changed_again() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.judging();
    fleet.run[0] = None;
    fleet.take(Event::Ended { mixer: 0, crashed: false });
    fleet.turn();
    fleet.run[0] = Some((Side::Old, 77));
    fleet.judging();
    assert!(fleet.change.rollback_reason.is_none());
    assert_eq!(fleet.run[0].map(|run| run.0), Some(Side::New));
}

#[test]
fn one_that_comes_back_wrong_again_and_again_is_a_persons_affair() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    for life in 100..110 {
        if matches!(fleet.change.state, Stand::Held(_)) {
            break;
        }
        fleet.until(|stand| matches!(stand, Stand::Judging(_) | Stand::Held(_)));
        fleet.run[0] = Some((Side::Old, life));
        fleet.turn();
    }
    assert!(matches!(&fleet.change.state, Stand::Held(Hold::Stuck(why)) if why.contains("m0")));
}

#[test]
fn one_that_does_not_end_is_killed_and_one_that_is_never_ready_ends_the_change() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.deaf = vec![0];
    fleet.judging();
    assert!(fleet.orders.iter().any(|order| matches!(order, Effect::Kill(0, _))));
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.stillborn = true;
    fleet.until(|stand| *stand == Stand::Done(Side::Old));
    assert_eq!(fleet.side(Side::Old), 6);
    assert!(fleet.change.rollback_reason.as_ref().is_some_and(|why| why.contains("not ready in time")));
}

#[test_case(|report: &mut Report| report.memory = 200 << 20, "memory"; "memory at its limit")]
#[test_case(|report: &mut Report| report.wrong_sum = Some("look".into()), "add up"; "a sum that does not add up")]
#[test_case(|report: &mut Report| report.refused_settings = true, "settings"; "settings refused")]
fn what_needs_no_statistics_stops_at_once(spoil: fn(&mut Report), says: &str) {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.judging();
    let mut report = fleet.report(3).unwrap();
    spoil(&mut report);
    let mut of_old = fleet.report(1).unwrap();
    spoil(&mut of_old);
    fleet.take(Event::Heard(1, of_old));
    assert!(fleet.change.rollback_reason.is_none(), "the old ones are not what is changed");
    fleet.take(Event::Heard(3, report));
    assert!(
        fleet.change.rollback_reason.as_ref().is_some_and(|why| why.contains(says)),
        "{:?}",
        fleet.change.rollback_reason
    );
}

#[test]
fn an_operators_undo_in_the_middle_of_a_step_goes_back_and_a_pause_orders_nothing() {
    let mut fleet = Fleet::new(ChangeMethod::Restart);
    fleet.until(|stand| *stand == Stand::Moving);
    fleet.turn();
    fleet.take(Event::Wished(Wish::Pause));
    let begun = fleet.journal.iter().filter(|r| matches!(r, Record::Ordered { .. })).count();
    (0..40).for_each(|_| fleet.turn());
    let after = fleet.journal.iter().filter(|r| matches!(r, Record::Ordered { .. })).count();
    assert_eq!(begun, after);
    assert!(fleet.run.iter().all(Option::is_some), "what had been stopped was started");
    fleet.take(Event::Wished(Wish::Undo));
    fleet.until(|stand| *stand == Stand::Done(Side::Old));
    assert_eq!(fleet.side(Side::Old), 6);
}

#[test]
fn a_conductor_that_begins_anew_at_any_record_comes_to_the_same_end() {
    let mut whole = Fleet::new(ChangeMethod::Restart);
    for _ in 0..2 {
        whole.judging();
        whole.take(Event::Fine);
    }
    whole.until(|stand| *stand == Stand::Done(Side::New));
    for cut in 1..whole.journal.len() {
        let mut fleet = Fleet::new(ChangeMethod::Restart);
        let mut passed = 0;
        while fleet.journal.len() < cut {
            if matches!(fleet.change.state, Stand::Judging(_)) {
                fleet.take(Event::Fine);
                passed += 1;
            } else {
                fleet.turn();
            }
        }
        // What it knew is gone; what was written, and what mixers run, is all there is.
        fleet.journal.truncate(cut);
        fleet.change = Rollout::new(course(ChangeMethod::Restart), &fleet.journal, fleet.now);
        while !fleet.change.is_finished() {
            fleet.until(|stand| matches!(stand, Stand::Judging(_) | Stand::Done(_)));
            fleet.take(Event::Fine);
            passed += 1;
            assert!(passed < 9, "cut at {cut}");
        }
        assert_eq!(fleet.side(Side::New), 6, "cut at {cut}");
        assert!(fleet.max_unavailable <= 1, "cut at {cut}: {}", fleet.max_unavailable);
    }
}
