//! Model checking of the state machine with `stateright`, over every order of a few faults: mixers and the
//! conductor crash, scrapes fail, starts fail, and comparisons go either way. Bugs injected around the state
//! machine have to be found.

use fernglade::{Moment, Span};
use fernglade_rollout::journal::Record;
use fernglade_rollout::machine::{Effect, Event, Report, Rollout, Stand};
use fernglade_rollout::metrics_sample::{BuildDigests, Incarnation};
use fernglade_rollout::spec::{steps, ChangeMethod, RolloutSpec, Side, StageSize};
use stateright::{Checker, Model, Property};
use std::sync::Arc;

const MIXERS: usize = 4;
/// Limit of ticks of one second. A rollout with faults is finished or held well before.
const MAX_TICKS: u32 = 60;

/// A bug injected around the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum InjectedBug {
    None,
    /// The journal is not durable: records are lost when the conductor restarts.
    JournalNotSynced,
    /// A restarted conductor takes a step that has begun as passed.
    StepTakenAsPassed,
    /// All mixers are ordered to change at once.
    NoUnavailabilityLimit,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    rollout: Rollout,
    tick: u32,
    /// The side and incarnation that each mixer runs.
    running: [Option<(Side, u32)>; MIXERS],
    last_incarnation: u32,
    journal: Vec<Record>,
    synced: usize,
    faults: u8,
    /// Stopped by the conductor and not started yet.
    stopped: [bool; MIXERS],
    max_stopped: usize,
    /// A step began before the previous one had passed.
    step_skipped: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// The mixer crashes. If the flag is set, it is restarted from outside with the old build.
    MixerCrashes(usize, bool),
    /// The mixer does not answer in this tick.
    MixerUnreachable(usize),
    ConductorRestarts,
    Worse,
    /// Mixers started in this tick do not come up.
    StartFails,
}

struct RolloutModel {
    bug: InjectedBug,
    faults: u8,
}

fn spec(bug: InjectedBug) -> Arc<RolloutSpec> {
    let zones: Vec<String> = ["a", "a", "b", "b"].map(String::from).to_vec();
    let digests = |program: &str| BuildDigests { program: program.into(), settings: "-".into() };
    let span = |seconds: u64| Span::from_millis(1_000 * seconds);
    Arc::new(RolloutSpec {
        names: (0..MIXERS).map(|at| format!("m{at}")).collect(),
        steps: steps(&zones, &[StageSize::Count(1)]),
        zones,
        old: digests("old"),
        new: digests("new"),
        method: ChangeMethod::Restart,
        max_unavailable: if bug == InjectedBug::NoUnavailabilityLimit { MIXERS } else { 1 },
        max_unavailable_in_rollback: 2,
        stop_timeout: span(3),
        ready_timeout: span(3),
        return_timeout: span(2),
        unreachable_after: span(2),
        settle_time: span(1),
        comparison_timeout: span(20),
        memory_limit: 1 << 30,
    })
}

impl RolloutModel {
    fn apply(&self, world: &mut World, event: Event, start_fails: bool) {
        let now = Moment::from_micros(1_000_000 * u64::from(world.tick + 1));
        for effect in world.rollout.handle(now, event) {
            match effect {
                Effect::Write(record) => {
                    if let Record::Step { step, .. } = record {
                        let passed = |at: usize| world.journal.contains(&Record::Passed { step: at });
                        world.step_skipped |= step > 0 && !passed(step - 1);
                    }
                    world.journal.push(record);
                    world.synced = if self.bug == InjectedBug::JournalNotSynced {
                        world.synced
                    } else {
                        world.journal.len()
                    };
                }
                Effect::Stop(mixer, _) | Effect::Kill(mixer, _) => {
                    world.running[mixer] = None;
                    world.stopped[mixer] = true;
                }
                Effect::Start(mixer, side) => {
                    world.stopped[mixer] = false;
                    world.last_incarnation += 1;
                    world.running[mixer] = (!start_fails).then_some((side, world.last_incarnation));
                }
                Effect::Hand(..) | Effect::Compare(_) | Effect::Tell(_) => {}
            }
        }
        let stopped = (0..MIXERS).filter(|at| world.stopped[*at] && world.running[*at].is_none()).count();
        world.max_stopped = world.max_stopped.max(stopped);
    }

    fn tick(&self, world: &mut World, fault: &Fault) {
        world.tick += 1;
        match fault {
            Fault::None | Fault::MixerUnreachable(_) | Fault::StartFails => {}
            Fault::MixerCrashes(mixer, restarted) => {
                world.last_incarnation += 1;
                // It is unavailable, or back again, for a reason other than an order.
                world.stopped[*mixer] = false;
                world.running[*mixer] = restarted.then_some((Side::Old, world.last_incarnation));
            }
            Fault::ConductorRestarts => {
                world.journal.truncate(world.synced);
                let mut records = world.journal.clone();
                if self.bug == InjectedBug::StepTakenAsPassed {
                    let step = records.iter().rev().find_map(|r| match r {
                        Record::Step { step, .. } => Some(*step),
                        _ => None,
                    });
                    let count = world.rollout.spec().steps.len();
                    records.extend(step.filter(|at| at + 1 < count).map(|step| Record::Passed { step }));
                }
                let now = Moment::from_micros(1_000_000 * u64::from(world.tick + 1));
                world.rollout = Rollout::new(spec(self.bug), &records, now);
            }
            Fault::Worse => self.apply(world, Event::Worse("it is".into()), false),
        }
        world.faults += u8::from(*fault != Fault::None);
        let start_fails = *fault == Fault::StartFails;
        for mixer in 0..MIXERS {
            if *fault == Fault::MixerUnreachable(mixer) {
                continue;
            }
            let event = match world.running[mixer] {
                Some((side, incarnation)) => Event::Heard(
                    mixer,
                    Report {
                        side: Some(side),
                        incarnation: Incarnation(incarnation.to_string()),
                        ready: true,
                        memory: 1,
                        wrong_sum: None,
                        refused_settings: false,
                    },
                ),
                None => Event::Ended { mixer, crashed: false },
            };
            self.apply(world, event, start_fails);
        }
        if matches!(world.rollout.state, Stand::Judging(_)) {
            self.apply(world, Event::Fine, start_fails);
        }
        self.apply(world, Event::Time { watched: true }, start_fails);
    }
}

impl Model for RolloutModel {
    type State = World;
    type Action = Fault;

    fn init_states(&self) -> Vec<World> {
        let start = Moment::from_micros(1_000_000);
        let journal = vec![Record::Begun { change: "c".into(), plan: "p".into() }];
        vec![World {
            rollout: Rollout::new(spec(self.bug), &journal, start),
            tick: 0,
            running: [0, 1, 2, 3].map(|incarnation| Some((Side::Old, incarnation))),
            last_incarnation: 9,
            synced: journal.len(),
            journal,
            faults: 0,
            stopped: [false; MIXERS],
            max_stopped: 0,
            step_skipped: false,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Fault>) {
        if world.tick >= MAX_TICKS || world.rollout.is_finished() {
            return;
        }
        actions.push(Fault::None);
        // No faults in the second half of the ticks, in which the rollout has to finish or hold.
        if world.faults < self.faults && world.tick < MAX_TICKS / 2 {
            actions.extend([Fault::ConductorRestarts, Fault::Worse, Fault::StartFails]);
            for mixer in 0..MIXERS {
                actions.extend([
                    Fault::MixerCrashes(mixer, false),
                    Fault::MixerCrashes(mixer, true),
                    Fault::MixerUnreachable(mixer),
                ]);
            }
        }
    }

    fn next_state(&self, world: &World, fault: Fault) -> Option<World> {
        let mut next = world.clone();
        self.tick(&mut next, &fault);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the limit of stopped mixers is kept", |_, world: &World| {
                world.max_stopped <= 2
            }),
            Property::always("no step begins before the previous one has passed", |_, world: &World| {
                !world.step_skipped
            }),
            Property::always("no mixer is new before its step", |_, world: &World| {
                let step =
                    &world.rollout.spec().steps[world.rollout.step.min(world.rollout.spec().steps.len() - 1)];
                let new = |at: usize| matches!(world.running[at], Some((Side::New, _)));
                (0..MIXERS).all(|at| !new(at) || step.new.contains(&at))
            }),
            Property::always("the rollout ends or is held", |_, world: &World| {
                let ended_or_held = matches!(world.rollout.state, Stand::Done(_) | Stand::Held(_));
                world.tick < MAX_TICKS || ended_or_held
            }),
            Property::always("all mixers run one side at the end", |_, world: &World| {
                match world.rollout.state {
                    Stand::Done(side) => world.running.iter().flatten().all(|(runs, _)| *runs == side),
                    _ => true,
                }
            }),
            Property::sometimes("all new", |_, world: &World| world.rollout.state == Stand::Done(Side::New)),
            Property::sometimes("all old again", |_, world: &World| {
                world.rollout.state == Stand::Done(Side::Old)
            }),
        ]
    }
}

#[test]
fn the_properties_hold_with_two_faults_at_any_point() {
    let began = std::time::Instant::now();
    let checker = RolloutModel { bug: InjectedBug::None, faults: 2 }.checker().threads(2).spawn_bfs().join();
    println!("{} states, {:.1} s", checker.unique_state_count(), began.elapsed().as_secs_f64());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
#[ignore = "long: three faults, by `make rollout-figures`"]
fn the_properties_hold_with_three_faults_at_any_point() {
    let began = std::time::Instant::now();
    let checker = RolloutModel { bug: InjectedBug::None, faults: 3 }.checker().threads(6).spawn_bfs().join();
    println!("{} states, {:.1} s", checker.unique_state_count(), began.elapsed().as_secs_f64());
    checker.assert_properties();
}

#[test]
fn injected_bugs_are_found() {
    let found = |bug, name: &'static str| {
        let checker = RolloutModel { bug, faults: 1 }.checker().threads(2).spawn_bfs().join();
        assert!(checker.discovery(name).is_some(), "{bug:?}");
    };
    found(InjectedBug::JournalNotSynced, "no mixer is new before its step");
    found(InjectedBug::StepTakenAsPassed, "no step begins before the previous one has passed");
    found(InjectedBug::NoUnavailabilityLimit, "the limit of stopped mixers is kept");
}
