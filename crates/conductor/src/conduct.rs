//! The running conductor: asks everybody, takes what came into the machine, does what it says, in turns.

use crate::ask::{ask_all, Answer};
use crate::hands::{Hands, Whom};
use crate::paper::Paper;
use async_io::Timer;
use fernglade::Moment;
use fernglade_orders::digest;
use fernglade_rollout::canary_analysis::{CanaryAnalysis, Ruling};
use fernglade_rollout::journal::{last_change, Record};
use fernglade_rollout::machine::{Effect, Event, Report, Rollout, Stand};
use fernglade_rollout::metrics_sample::{BuildDigests, MetricsSample};
use fernglade_rollout::plan::{Build, Plan};
use fernglade_rollout::spec::{RolloutSpec, Side};
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often everybody is asked: short against any time of a plan, and a block of scans a turn at usual traffic.
const TURN: Duration = Duration::from_millis(250);

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    AllNew,
    AllOld,
    Held,
}

/// What a build makes of a mixer: digests of its program and its settings.
pub fn makes(build: &Build) -> Result<BuildDigests, String> {
    let read = |path: &Path| std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()));
    let settings = build.operator.as_deref().map(read).transpose()?;
    let program = read(build.reported_program.as_ref().unwrap_or(&build.program))?;
    Ok(BuildDigests { program: digest(Some(&program)), settings: digest(settings.as_deref()) })
}

pub fn course(plan: &Plan) -> Result<RolloutSpec, String> {
    plan.spec(makes(&plan.old)?, makes(&plan.new)?).map_err(|wrong| wrong.to_string())
}

struct Conductor<'a> {
    plan: &'a Plan,
    course: Arc<RolloutSpec>,
    change: Rollout,
    analysis: CanaryAnalysis,
    hands: Hands<'a>,
    paper: Paper,
    /// What each told last; none of one that has ended.
    told: Vec<Option<MetricsSample>>,
    /// Who was there last, to tell an end from a silence.
    process: Vec<Option<u32>>,
    events: VecDeque<Event>,
    began: Instant,
    /// The last line of each kind: none is said twice in a row.
    shown: String,
    said: String,
}

/// Begins the plan's change, or goes on with it.
pub fn run(plan: &Plan, digest_of_plan: &str, stop_when_held: bool) -> Result<End, String> {
    let course = Arc::new(course(plan)?);
    let mut paper = Paper::open(&plan.journal)?;
    let begun = match last_change(&paper.records) {
        Some((records, false)) => {
            let same = matches!(&records[0], Record::Begun { plan, .. } if plan == digest_of_plan);
            if !same {
                return Err("a change that has not ended stands in the journal, by another plan: run that plan, or undo it".into());
            }
            records.to_vec()
        }
        _ => {
            let record = Record::Begun { change: plan.change.clone(), plan: digest_of_plan.into() };
            paper.write(&record)?;
            vec![record]
        }
    };
    let count = plan.mixers.len();
    let change = Rollout::new(course.clone(), &begun, Moment::default());
    let mut conductor = Conductor {
        plan,
        analysis: CanaryAnalysis::new(plan.compare, course.zones.clone()),
        course,
        change,
        hands: Hands::new(plan),
        paper,
        told: vec![None; count],
        process: vec![None; count],
        events: VecDeque::new(),
        began: Instant::now(),
        shown: String::new(),
        said: String::new(),
    };
    async_io::block_on(conductor.go_on(stop_when_held))
}

impl Conductor<'_> {
    fn now(&self) -> Moment {
        Moment::at_micros(self.began.elapsed().as_micros() as u64)
    }

    async fn go_on(&mut self, stop_when_held: bool) -> Result<End, String> {
        let all: Vec<SocketAddr> = self.plan.mixers.iter().map(|mixer| mixer.address).collect();
        loop {
            let turn = Instant::now();
            let answers = ask_all(&all).await;
            self.see(answers);
            self.events.extend(self.paper.wish().map(Event::Wished));
            let watched = self.analysis.has_reference();
            self.events.push_back(Event::Time { watched });
            if matches!(self.change.state, Stand::Judging(_)) {
                let ruling = self.analysis.ruling(self.now());
                self.ruled(ruling);
            }
            self.work()?;
            self.paper.wish_done();
            self.show();
            match &self.change.state {
                Stand::Done(Side::New) => return Ok(End::AllNew),
                Stand::Done(Side::Old) => return Ok(End::AllOld),
                Stand::Held(_) if stop_when_held => return Ok(End::Held),
                _ => {}
            }
            Timer::at(turn + TURN).await;
        }
    }

    /// What everybody said, and who has ended.
    fn see(&mut self, answers: Vec<Answer>) {
        for mixer in 0..self.told.len() {
            if let Some(crashed) = self.hands.has_ended(mixer) {
                self.told[mixer] = None;
                self.events.push_back(Event::Ended { mixer, crashed });
            }
        }
        for (mixer, answer) in answers.into_iter().enumerate() {
            match answer {
                Answer::Sample(told) => {
                    self.analysis.record_sample(self.now(), mixer, &told);
                    self.events.push_back(Event::Heard(mixer, self.report(&told)));
                    self.process[mixer] = Some(told.pid);
                    self.told[mixer] = Some(*told);
                }
                // Its door is shut while it answers its last scans: it has ended once its process has.
                Answer::Nobody if self.process[mixer].is_none_or(|process| self.hands.is_gone(process)) => {
                    self.told[mixer] = None;
                    self.events.push_back(Event::Ended { mixer, crashed: false });
                }
                Answer::Nobody => {}
                Answer::Nothing(why) => {
                    let name = &self.plan.mixers[mixer].name;
                    self.paper.log(&json!({"at": self.now().micros(), "mixer": name, "silent": why}));
                }
            }
        }
    }

    fn report(&self, told: &MetricsSample) -> Report {
        Report {
            side: self.course.side(&told.build),
            incarnation: told.incarnation.clone(),
            ready: told.ready,
            memory: told.memory_bytes,
            wrong_sum: told.inconsistent_type().map(String::from),
            refused_settings: told.refused_settings,
        }
    }

    fn ruled(&mut self, ruling: Ruling) {
        self.paper.log(
            &json!({"at": self.now().micros(), "step": self.change.step, "ruling": format!("{ruling:?}")}),
        );
        self.events.push_back(match ruling {
            Ruling::Fine => Event::Fine,
            Ruling::Worse(why) => Event::Worse(why),
            Ruling::Wait(why) => Event::Unsure(why),
            Ruling::Disturbed(why) => Event::Unsure(format!("something else is wrong: {why}")),
        });
    }

    /// Until nothing is left that has come.
    fn work(&mut self) -> Result<(), String> {
        while let Some(event) = self.events.pop_front() {
            let quiet = matches!(
                event,
                Event::Heard(..)
                    | Event::Time { .. }
                    | Event::Unsure(_)
                    | Event::Ended { crashed: false, .. }
            );
            if !quiet {
                self.paper.log(&json!({"at": self.now().micros(), "event": format!("{event:?}")}));
            }
            for effect in self.change.handle(self.now(), event) {
                self.act(effect)?;
            }
        }
        Ok(())
    }

    fn act(&mut self, effect: Effect) -> Result<(), String> {
        self.paper.log(&json!({"at": self.now().micros(), "effect": format!("{effect:?}")}));
        let whom = |mixer: usize| Whom { mixer, process: self.process[mixer].unwrap_or(0) };
        let (mixer, done) = match effect {
            Effect::Write(record) => {
                if let Record::Step { step, .. } = &record {
                    let parts = self.course.cohorts(*step);
                    self.analysis.begin_step(self.now(), parts);
                }
                return self.paper.write(&record);
            }
            Effect::Compare(step) => {
                // A conductor that begins anew in the middle of a step has not begun it.
                let parts = self.course.cohorts(step);
                self.analysis.begin_comparison(self.now(), parts);
                return Ok(());
            }
            Effect::Tell(text) => {
                if self.said != text {
                    println!("{text}");
                    self.said = text;
                }
                return Ok(());
            }
            Effect::Stop(mixer, incarnation) => match self.is_still(mixer, &incarnation.0) {
                true => (mixer, self.hands.stop(whom(mixer))),
                false => return Ok(()),
            },
            Effect::Kill(mixer, incarnation) => match self.is_still(mixer, &incarnation.0) {
                true => (mixer, self.hands.kill(whom(mixer))),
                false => return Ok(()),
            },
            Effect::Start(mixer, side) => (mixer, self.hands.start(&self.paper, whom(mixer), side)),
            Effect::Hand(mixer, side) => (mixer, self.hands.hand(whom(mixer), side)),
        };
        if let Err(why) = done {
            self.events.push_back(Event::Failed(mixer, why));
        }
        Ok(())
    }

    /// Whether the life that is to be ended is the one that was heard last.
    fn is_still(&self, mixer: usize, incarnation: &str) -> bool {
        self.told[mixer].as_ref().is_some_and(|told| told.incarnation.0 == incarnation)
    }

    /// A line for people, where it is another than before.
    fn show(&mut self) {
        let line = self.change.status_line();
        if self.shown != line {
            println!("{:>6.1} s  {line}", self.now().since(Moment::default()).as_f64() / 1e6);
            self.paper.stands(&line);
            self.shown = line;
        }
    }
}

/// The steps of a plan, for people.
pub fn steps(course: &RolloutSpec) -> String {
    let names = |all: &mut dyn Iterator<Item = &usize>| {
        all.map(|at| format!("{} ({})", course.names[*at], course.zones[*at])).collect::<Vec<_>>().join(", ")
    };
    let mut text = String::new();
    for (number, step) in course.steps.iter().enumerate() {
        let changed = course.changed_in(number);
        text += &format!("step {}: new {}\n", number + 1, names(&mut changed.iter()));
        if step.compared {
            text += &format!("        beside {}, restarted with the old\n", names(&mut step.baseline.iter()));
        } else {
            text += "        nobody is left to be held against\n";
        }
    }
    let at_once = |count: usize| if count == 1 { "one mixer".into() } else { format!("{count} mixers") };
    text + &format!(
        "away at once: {}, going back {}\n",
        at_once(course.max_unavailable),
        at_once(course.max_unavailable_in_rollback)
    )
}

/// What everybody says now; whether all could be heard and run one of the two sides.
pub fn survey(plan: &Plan, course: &RolloutSpec) -> (String, bool) {
    let all: Vec<SocketAddr> = plan.mixers.iter().map(|mixer| mixer.address).collect();
    let answers = async_io::block_on(ask_all(&all));
    let (mut text, mut well) = (String::new(), true);
    for (mixer, answer) in plan.mixers.iter().zip(answers) {
        let says = match answer {
            Answer::Sample(told) => {
                let found = course.side(&told.build);
                well &= found.is_some() && told.ready;
                let side = match found {
                    Some(Side::Old) => "old",
                    Some(Side::New) => "new",
                    None => "NEITHER old nor new",
                };
                let ready = if told.ready { "ready" } else { "NOT ready" };
                format!("{side}, version {}, {} MB, {ready}", told.version, told.memory_bytes >> 20)
            }
            Answer::Nobody => {
                well = false;
                "NOBODY listens there".into()
            }
            Answer::Nothing(why) => {
                well = false;
                format!("SILENT: {why}")
            }
        };
        text += &format!("{:<16} {:<12} {says}\n", mixer.name, mixer.zone);
    }
    (text, well)
}
