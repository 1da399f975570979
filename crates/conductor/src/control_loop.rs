//! The control loop of the conductor: it scrapes all mixers, passes the results to the state machine as
//! events, and carries out the effects, at a fixed interval.

use crate::journal_store::JournalStore;
use crate::metrics_client::{scrape_all, ScrapeResult};
use crate::mixer_control::{MixerControl, Target};
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

/// Interval between scrapes. It is short compared with the timeouts of a plan, and at usual traffic yields
/// about one block of scans per scrape.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    AllNew,
    AllOld,
    Held,
}

/// Digests of a build's program and settings, as a mixer running it reports them.
pub fn build_digests(build: &Build) -> Result<BuildDigests, String> {
    let read = |path: &Path| std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()));
    let settings = build.operator.as_deref().map(read).transpose()?;
    let program = read(build.reported_program.as_ref().unwrap_or(&build.program))?;
    Ok(BuildDigests { program: digest(Some(&program)), settings: digest(settings.as_deref()) })
}

/// Reads the two builds and makes the input of the state machine.
pub fn load_spec(plan: &Plan) -> Result<RolloutSpec, String> {
    plan.spec(build_digests(&plan.old)?, build_digests(&plan.new)?).map_err(|error| error.to_string())
}

/// The state of a run.
struct Conductor<'a> {
    plan: &'a Plan,
    spec: Arc<RolloutSpec>,
    rollout: Rollout,
    analysis: CanaryAnalysis,
    mixer_control: MixerControl<'a>,
    journal: JournalStore,
    /// The last sample of each mixer; none once it has ended.
    samples: Vec<Option<MetricsSample>>,
    /// The last known process of each mixer, to tell a process that has ended from one that does not listen.
    pids: Vec<Option<u32>>,
    events: VecDeque<Event>,
    started: Instant,
    /// The last status line and message shown; neither is repeated.
    last_status: String,
    last_message: String,
}

/// Starts the rollout of the plan, or continues it from the journal.
pub fn run(plan: &Plan, plan_digest: &str, stop_when_held: bool) -> Result<Outcome, String> {
    let spec = Arc::new(load_spec(plan)?);
    let mut journal = JournalStore::open(&plan.journal)?;
    let records = match last_change(&journal.records) {
        Some((records, false)) => {
            let same = matches!(&records[0], Record::Begun { plan, .. } if plan == plan_digest);
            if !same {
                return Err("the journal holds a change of another plan that has not ended: run that plan, or undo it".into());
            }
            records.to_vec()
        }
        _ => {
            let record = Record::Begun { change: plan.change.clone(), plan: plan_digest.into() };
            journal.write(&record)?;
            vec![record]
        }
    };
    let count = plan.mixers.len();
    let rollout = Rollout::new(spec.clone(), &records, Moment::default());
    let mut conductor = Conductor {
        plan,
        analysis: CanaryAnalysis::new(plan.compare, spec.zones.clone()),
        spec,
        rollout,
        mixer_control: MixerControl::new(plan),
        journal,
        samples: vec![None; count],
        pids: vec![None; count],
        events: VecDeque::new(),
        started: Instant::now(),
        last_status: String::new(),
        last_message: String::new(),
    };
    async_io::block_on(conductor.run_loop(stop_when_held))
}

impl Conductor<'_> {
    fn now(&self) -> Moment {
        Moment::from_micros(self.started.elapsed().as_micros() as u64)
    }

    async fn run_loop(&mut self, stop_when_held: bool) -> Result<Outcome, String> {
        let addresses: Vec<SocketAddr> = self.plan.mixers.iter().map(|mixer| mixer.address).collect();
        loop {
            let started = Instant::now();
            let results = scrape_all(&addresses).await;
            self.process_results(results);
            self.events.extend(self.journal.take_wish().map(Event::Wished));
            let watched = self.analysis.has_reference();
            self.events.push_back(Event::Time { watched });
            if matches!(self.rollout.state, Stand::Judging(_)) {
                let ruling = self.analysis.ruling(self.now());
                self.on_ruling(ruling);
            }
            self.process_events()?;
            self.journal.clear_wish();
            self.show_status();
            match &self.rollout.state {
                Stand::Done(Side::New) => return Ok(Outcome::AllNew),
                Stand::Done(Side::Old) => return Ok(Outcome::AllOld),
                Stand::Held(_) if stop_when_held => return Ok(Outcome::Held),
                _ => {}
            }
            Timer::at(started + POLL_INTERVAL).await;
        }
    }

    /// Turns scrape results and process exits into events.
    fn process_results(&mut self, results: Vec<ScrapeResult>) {
        for mixer in 0..self.samples.len() {
            if let Some(crashed) = self.mixer_control.poll_exit(mixer) {
                self.samples[mixer] = None;
                self.events.push_back(Event::Ended { mixer, crashed });
            }
        }
        for (mixer, result) in results.into_iter().enumerate() {
            match result {
                ScrapeResult::Sample(sample) => {
                    self.analysis.record_sample(self.now(), mixer, &sample);
                    self.events.push_back(Event::Heard(mixer, self.report(&sample)));
                    self.pids[mixer] = Some(sample.pid);
                    self.samples[mixer] = Some(*sample);
                }
                // While shutting down it no longer listens but still answers its last scans, so it counts as
                // ended only once its process has exited.
                ScrapeResult::ConnectionRefused
                    if self.pids[mixer].is_none_or(|pid| self.mixer_control.has_exited(pid)) =>
                {
                    self.samples[mixer] = None;
                    self.events.push_back(Event::Ended { mixer, crashed: false });
                }
                ScrapeResult::ConnectionRefused => {}
                ScrapeResult::Failed(why) => {
                    let name = &self.plan.mixers[mixer].name;
                    self.journal
                        .append_log(&json!({"at": self.now().micros(), "mixer": name, "silent": why}));
                }
            }
        }
    }

    /// The part of a sample that the state machine uses.
    fn report(&self, sample: &MetricsSample) -> Report {
        Report {
            side: self.spec.side(&sample.build),
            incarnation: sample.incarnation.clone(),
            ready: sample.ready,
            memory: sample.memory_bytes,
            wrong_sum: sample.inconsistent_type().map(String::from),
            refused_settings: sample.refused_settings,
        }
    }

    /// Logs the result of the comparison and passes it on as an event.
    fn on_ruling(&mut self, ruling: Ruling) {
        self.journal.append_log(
            &json!({"at": self.now().micros(), "step": self.rollout.step, "ruling": format!("{ruling:?}")}),
        );
        self.events.push_back(match ruling {
            Ruling::Fine => Event::Fine,
            Ruling::Worse(why) => Event::Worse(why),
            Ruling::Wait(why) => Event::Unsure(why),
            Ruling::Disturbed(why) => Event::Unsure(format!("something else is wrong: {why}")),
        });
    }

    /// Handles all queued events, including those that the effects add. Routine events are not logged.
    fn process_events(&mut self) -> Result<(), String> {
        while let Some(event) = self.events.pop_front() {
            let is_routine = matches!(
                event,
                Event::Heard(..)
                    | Event::Time { .. }
                    | Event::Unsure(_)
                    | Event::Ended { crashed: false, .. }
            );
            if !is_routine {
                self.journal.append_log(&json!({"at": self.now().micros(), "event": format!("{event:?}")}));
            }
            for effect in self.rollout.handle(self.now(), event) {
                self.execute(effect)?;
            }
        }
        Ok(())
    }

    /// Carries out an effect. A failed order becomes an event.
    fn execute(&mut self, effect: Effect) -> Result<(), String> {
        self.journal.append_log(&json!({"at": self.now().micros(), "effect": format!("{effect:?}")}));
        let target = |mixer: usize| Target { mixer, pid: self.pids[mixer].unwrap_or(0) };
        let (mixer, result) = match effect {
            Effect::Write(record) => {
                if let Record::Step { step, .. } = &record {
                    let cohorts = self.spec.cohorts(*step);
                    self.analysis.begin_step(self.now(), cohorts);
                }
                return self.journal.write(&record);
            }
            Effect::Compare(step) => {
                // After a restart in the middle of a step, this conductor has not called `begin_step` for it.
                let cohorts = self.spec.cohorts(step);
                self.analysis.begin_comparison(self.now(), cohorts);
                return Ok(());
            }
            Effect::Tell(text) => {
                if self.last_message != text {
                    println!("{text}");
                    self.last_message = text;
                }
                return Ok(());
            }
            Effect::Stop(mixer, incarnation) => match self.is_current(mixer, &incarnation.0) {
                true => (mixer, self.mixer_control.stop(target(mixer))),
                false => return Ok(()),
            },
            Effect::Kill(mixer, incarnation) => match self.is_current(mixer, &incarnation.0) {
                true => (mixer, self.mixer_control.kill(target(mixer))),
                false => return Ok(()),
            },
            Effect::Start(mixer, side) => {
                (mixer, self.mixer_control.start(&self.journal, target(mixer), side))
            }
            Effect::Hand(mixer, side) => (mixer, self.mixer_control.reload(target(mixer), side)),
        };
        if let Err(why) = result {
            self.events.push_back(Event::Failed(mixer, why));
        }
        Ok(())
    }

    /// Whether the last sample of the mixer is of this incarnation, so that no other one is stopped.
    fn is_current(&self, mixer: usize, incarnation: &str) -> bool {
        self.samples[mixer].as_ref().is_some_and(|sample| sample.incarnation.0 == incarnation)
    }

    /// Prints and stores the status line if it has changed.
    fn show_status(&mut self) {
        let line = self.rollout.status_line();
        if self.last_status != line {
            println!("{:>6.1} s  {line}", self.now().since(Moment::default()).as_f64() / 1e6);
            self.journal.write_status(&line);
            self.last_status = line;
        }
    }
}

/// The steps of a rollout as text for the operator.
pub fn describe_steps(spec: &RolloutSpec) -> String {
    let describe = |all: &mut dyn Iterator<Item = &usize>| {
        all.map(|at| format!("{} ({})", spec.names[*at], spec.zones[*at])).collect::<Vec<_>>().join(", ")
    };
    let mut text = String::new();
    for (number, step) in spec.steps.iter().enumerate() {
        let changed = spec.changed_in(number);
        text += &format!("step {}: new {}\n", number + 1, describe(&mut changed.iter()));
        if step.compared {
            text +=
                &format!("        beside {}, restarted with the old\n", describe(&mut step.baseline.iter()));
        } else {
            text += "        nobody is left to be held against\n";
        }
    }
    let mixer_count = |count: usize| if count == 1 { "one mixer".into() } else { format!("{count} mixers") };
    text + &format!(
        "away at once: {}, going back {}\n",
        mixer_count(spec.max_unavailable),
        mixer_count(spec.max_unavailable_in_rollback)
    )
}

/// Scrapes all mixers once. Returns a report, and whether all of them are ready and run one of the two sides.
pub fn check_mixers(plan: &Plan, spec: &RolloutSpec) -> (String, bool) {
    let addresses: Vec<SocketAddr> = plan.mixers.iter().map(|mixer| mixer.address).collect();
    let results = async_io::block_on(scrape_all(&addresses));
    let (mut text, mut healthy) = (String::new(), true);
    for (mixer, result) in plan.mixers.iter().zip(results) {
        let description = match result {
            ScrapeResult::Sample(sample) => {
                let running_side = spec.side(&sample.build);
                healthy &= running_side.is_some() && sample.ready;
                let side = match running_side {
                    Some(Side::Old) => "old",
                    Some(Side::New) => "new",
                    None => "NEITHER old nor new",
                };
                let ready = if sample.ready { "ready" } else { "NOT ready" };
                format!("{side}, version {}, {} MB, {ready}", sample.version, sample.memory_bytes >> 20)
            }
            ScrapeResult::ConnectionRefused => {
                healthy = false;
                "NOBODY listens there".into()
            }
            ScrapeResult::Failed(why) => {
                healthy = false;
                format!("SILENT: {why}")
            }
        };
        text += &format!("{:<16} {:<12} {description}\n", mixer.name, mixer.zone);
    }
    (text, healthy)
}
