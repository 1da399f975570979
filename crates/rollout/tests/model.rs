//! The same transition functions under every order of a few faults: mixers and the conductor crash, facts are lost or
//! late, starts fail, verdicts fall either way. Checked by `stateright`; faults that are planted in the conductor's
//! surroundings have to be found.

use fernglade::{Moment, Span};
use fernglade_rollout::journal::Record;
use fernglade_rollout::machine::{Effect, Event, Report, Rollout, Stand};
use fernglade_rollout::metrics_sample::{BuildDigests, Incarnation};
use fernglade_rollout::spec::{steps, ChangeMethod, RolloutSpec, Side, StageSize};
use stateright::{Checker, Model, Property};
use std::sync::Arc;

const MIXERS: usize = 4;
/// Turns of a second; a change with faults is over, or held, well before.
const TURNS: u32 = 60;

/// What is wrong with the conductor's surroundings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Planted {
    Nothing,
    /// What is written is lost with the conductor: not on the disk when it is done.
    Unsynced,
    /// A step that has begun is taken for passed by the next conductor.
    Forgetful,
    /// Everybody is told to change at once.
    Impatient,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    change: Rollout,
    turn: u32,
    /// Which side each runs and in which life.
    run: [Option<(Side, u32)>; MIXERS],
    lives: u32,
    journal: Vec<Record>,
    synced: usize,
    faults: u8,
    /// Stopped by the conductor and not started yet.
    stopped: [bool; MIXERS],
    most_stopped: usize,
    /// A step began of which the one before had not passed.
    skipped: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// It dies; whoever keeps the machine starts the old again in the next turn, or nobody does.
    MixerDies(usize, bool),
    /// It says nothing in this turn.
    Silent(usize),
    ConductorDies,
    Worse,
    /// What is started in this turn does not come up.
    Stillborn,
}

struct Way {
    planted: Planted,
    faults: u8,
}

fn course(planted: Planted) -> Arc<RolloutSpec> {
    let zones: Vec<String> = ["a", "a", "b", "b"].map(String::from).to_vec();
    let makes = |program: &str| BuildDigests { program: program.into(), settings: "-".into() };
    let span = |seconds: u64| Span::of_millis(1_000 * seconds);
    Arc::new(RolloutSpec {
        names: (0..MIXERS).map(|at| format!("m{at}")).collect(),
        steps: steps(&zones, &[StageSize::Count(1)]),
        zones,
        old: makes("old"),
        new: makes("new"),
        method: ChangeMethod::Restart,
        max_unavailable: if planted == Planted::Impatient { MIXERS } else { 1 },
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

impl Way {
    fn take(&self, world: &mut World, event: Event, stillborn: bool) {
        let now = Moment::at_micros(1_000_000 * u64::from(world.turn + 1));
        for effect in world.change.handle(now, event) {
            match effect {
                Effect::Write(record) => {
                    if let Record::Step { step, .. } = record {
                        let passed = |at: usize| world.journal.contains(&Record::Passed { step: at });
                        world.skipped |= step > 0 && !passed(step - 1);
                    }
                    world.journal.push(record);
                    world.synced =
                        if self.planted == Planted::Unsynced { world.synced } else { world.journal.len() };
                }
                Effect::Stop(mixer, _) | Effect::Kill(mixer, _) => {
                    world.run[mixer] = None;
                    world.stopped[mixer] = true;
                }
                Effect::Start(mixer, side) => {
                    world.stopped[mixer] = false;
                    world.lives += 1;
                    world.run[mixer] = (!stillborn).then_some((side, world.lives));
                }
                Effect::Hand(..) | Effect::Compare(_) | Effect::Tell(_) => {}
            }
        }
        let stopped = (0..MIXERS).filter(|at| world.stopped[*at] && world.run[*at].is_none()).count();
        world.most_stopped = world.most_stopped.max(stopped);
    }

    fn turn(&self, world: &mut World, fault: &Fault) {
        world.turn += 1;
        match fault {
            Fault::None | Fault::Silent(_) | Fault::Stillborn => {}
            Fault::MixerDies(mixer, back) => {
                world.lives += 1;
                // That it is away now, or was there again, is not of the conductor's doing.
                world.stopped[*mixer] = false;
                world.run[*mixer] = back.then_some((Side::Old, world.lives));
            }
            Fault::ConductorDies => {
                world.journal.truncate(world.synced);
                let mut records = world.journal.clone();
                if self.planted == Planted::Forgetful {
                    let step = records.iter().rev().find_map(|r| match r {
                        Record::Step { step, .. } => Some(*step),
                        _ => None,
                    });
                    let count = world.change.spec().steps.len();
                    records.extend(step.filter(|at| at + 1 < count).map(|step| Record::Passed { step }));
                }
                let now = Moment::at_micros(1_000_000 * u64::from(world.turn + 1));
                world.change = Rollout::new(course(self.planted), &records, now);
            }
            Fault::Worse => self.take(world, Event::Worse("it is".into()), false),
        }
        world.faults += u8::from(*fault != Fault::None);
        let stillborn = *fault == Fault::Stillborn;
        for mixer in 0..MIXERS {
            if *fault == Fault::Silent(mixer) {
                continue;
            }
            let event = match world.run[mixer] {
                Some((side, life)) => Event::Heard(
                    mixer,
                    Report {
                        side: Some(side),
                        incarnation: Incarnation(life.to_string()),
                        ready: true,
                        memory: 1,
                        wrong_sum: None,
                        refused_settings: false,
                    },
                ),
                None => Event::Ended { mixer, crashed: false },
            };
            self.take(world, event, stillborn);
        }
        if matches!(world.change.state, Stand::Judging(_)) {
            self.take(world, Event::Fine, stillborn);
        }
        self.take(world, Event::Time { watched: true }, stillborn);
    }
}

impl Model for Way {
    type State = World;
    type Action = Fault;

    fn init_states(&self) -> Vec<World> {
        let start = Moment::at_micros(1_000_000);
        let journal = vec![Record::Begun { change: "c".into(), plan: "p".into() }];
        vec![World {
            change: Rollout::new(course(self.planted), &journal, start),
            turn: 0,
            run: [0, 1, 2, 3].map(|life| Some((Side::Old, life))),
            lives: 9,
            synced: journal.len(),
            journal,
            faults: 0,
            stopped: [false; MIXERS],
            most_stopped: 0,
            skipped: false,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Fault>) {
        if world.turn >= TURNS || world.change.is_finished() {
            return;
        }
        actions.push(Fault::None);
        // The last turns are without: what went wrong has to come to an end in them.
        if world.faults < self.faults && world.turn < TURNS / 2 {
            actions.extend([Fault::ConductorDies, Fault::Worse, Fault::Stillborn]);
            for mixer in 0..MIXERS {
                actions.extend([
                    Fault::MixerDies(mixer, false),
                    Fault::MixerDies(mixer, true),
                    Fault::Silent(mixer),
                ]);
            }
        }
    }

    fn next_state(&self, world: &World, fault: Fault) -> Option<World> {
        let mut next = world.clone();
        self.turn(&mut next, &fault);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never more stopped at once than allowed", |_, world: &World| {
                world.most_stopped <= 2
            }),
            Property::always("never a step without the verdict of the one before", |_, world: &World| {
                !world.skipped
            }),
            Property::always("nobody is new before his step", |_, world: &World| {
                let step =
                    &world.change.spec().steps[world.change.step.min(world.change.spec().steps.len() - 1)];
                let new = |at: usize| matches!(world.run[at], Some((Side::New, _)));
                (0..MIXERS).all(|at| !new(at) || step.new.contains(&at))
            }),
            Property::always("an end, or held with a reason", |_, world: &World| {
                let settled = matches!(world.change.state, Stand::Done(_) | Stand::Held(_));
                world.turn < TURNS || settled
            }),
            Property::always("all of one side at the end", |_, world: &World| match world.change.state {
                Stand::Done(side) => world.run.iter().flatten().all(|(runs, _)| *runs == side),
                _ => true,
            }),
            Property::sometimes("all new", |_, world: &World| world.change.state == Stand::Done(Side::New)),
            Property::sometimes("all old again", |_, world: &World| {
                world.change.state == Stand::Done(Side::Old)
            }),
        ]
    }
}

#[test]
fn with_two_faults_anywhere_it_keeps_to_its_promises() {
    let began = std::time::Instant::now();
    let checker = Way { planted: Planted::Nothing, faults: 2 }.checker().threads(2).spawn_bfs().join();
    println!("{} states, {:.1} s", checker.unique_state_count(), began.elapsed().as_secs_f64());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
#[ignore = "long: three faults, by `make rollout-figures`"]
fn with_three_faults_anywhere_it_keeps_to_its_promises() {
    let began = std::time::Instant::now();
    let checker = Way { planted: Planted::Nothing, faults: 3 }.checker().threads(6).spawn_bfs().join();
    println!("{} states, {:.1} s", checker.unique_state_count(), began.elapsed().as_secs_f64());
    checker.assert_properties();
}

#[test]
fn planted_faults_are_found() {
    let found = |planted, name: &'static str| {
        let checker = Way { planted, faults: 1 }.checker().threads(2).spawn_bfs().join();
        assert!(checker.discovery(name).is_some(), "{planted:?}");
    };
    found(Planted::Unsynced, "nobody is new before his step");
    found(Planted::Forgetful, "never a step without the verdict of the one before");
    found(Planted::Impatient, "never more stopped at once than allowed");
}
