//! State machine of a rollout: it consumes events and returns the effects to carry out.
//!
//! Decisions depend on what the mixers report to be running, not on what was ordered, so a restarted
//! conductor continues from the actual state of the fleet. docs/rollout.md has the transition table;
//! `tests/model.rs` model-checks the machine with crashes and lost messages at any point.

use crate::journal::Record;
use crate::metrics_sample::Incarnation;
use crate::spec::{ChangeMethod, RolloutSpec, Side};
use fernglade::Moment;
use std::sync::Arc;

/// The part of a mixer's metrics that the state machine needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// None if the mixer runs neither the old nor the new build.
    pub side: Option<Side>,
    pub incarnation: Incarnation,
    pub ready: bool,
    pub memory: u64,
    /// The traffic type whose scan counters do not add up, if any.
    pub wrong_sum: Option<String>,
    pub refused_settings: bool,
}

/// A command from the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Wish {
    Pause,
    Resume,
    Undo,
}

/// An input to the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A mixer answered with its metrics.
    Heard(usize, Report),
    /// The mixer's process has ended, or nothing listens on its address. `crashed` is set only if the exit
    /// status is known and was a failure.
    Ended {
        mixer: usize,
        crashed: bool,
    },
    /// The mixer could not be started or stopped, or its reload could not be triggered.
    Failed(usize, String),
    /// Periodic tick. `watched` is set once the reference window has been observed.
    Time {
        watched: bool,
    },
    /// Results of the step's comparison; the text is the reason.
    Fine,
    Worse(String),
    Unsure(String),
    Wished(Wish),
}

/// An action for the caller to carry out, in the order returned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Must be durable before any later effect is carried out.
    Write(Record),
    Stop(usize, Incarnation),
    Kill(usize, Incarnation),
    Start(usize, Side),
    /// Replace the settings file of a running mixer and have it reloaded.
    Hand(usize, Side),
    /// Start, or restart, the comparison of this step.
    Compare(usize),
    /// Show a message to the operator.
    Tell(String),
}

/// The state of the rollout. The `Moment` is when the state was entered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stand {
    /// Waits until every mixer has reported and the reference window has been observed.
    Surveying,
    /// Changes mixers until all of them run what the step requires.
    Moving,
    /// Waits for the changed mixers to warm up.
    Settling(Moment),
    /// Compares the canaries with the baseline.
    Judging(Moment),
    /// Returns all mixers to the old side.
    Undoing,
    Paused,
    /// Waits for an operator's command.
    Held(Hold),
    /// Finished: every mixer runs this side.
    Done(Side),
}

/// Why the rollout waits for an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Hold {
    /// The comparison was inconclusive; resuming takes the step as passed.
    Unsure(String),
    /// Any other reason; resuming tries again.
    Stuck(String),
}

/// How far a pending order has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum OrderPhase {
    Stopping { killed: bool },
    Starting,
    Reloading,
}

/// An order that the mixer has not completed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingOrder {
    side: Side,
    /// The incarnation that ran when the order was given.
    from: Option<Incarnation>,
    /// Start of the current phase.
    since: Moment,
    phase: OrderPhase,
}

/// What is known of one mixer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct MixerState {
    report: Option<Report>,
    last_heard: Option<Moment>,
    /// When its process was found to have ended; none while it runs.
    gone_since: Option<Moment>,
    order: Option<PendingOrder>,
    /// How many times it restarted by itself with a different side than before.
    wrong_restarts: u8,
}

/// A mixer that restarts with the wrong program more often than this puts the rollout on hold: something else
/// keeps starting it, and changing it again would not help.
const MAX_WRONG_RESTARTS: u8 = 3;

/// The state machine of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rollout {
    spec: Arc<RolloutSpec>,
    pub step: usize,
    pub state: Stand,
    /// Why the rollout is being rolled back, if it is. A rollback is never reversed.
    pub rollback_reason: Option<String>,
    /// The incarnations of the baseline mixers when the step began. They must be restarted, so each has to
    /// report another incarnation.
    baseline_before: Vec<(usize, Incarnation)>,
    /// The start of the step is recorded in the journal.
    step_begun: bool,
    mixers: Vec<MixerState>,
    started_at: Moment,
}

/// Effects in the order in which they must be carried out.
type Effects = Vec<Effect>;

impl Rollout {
    /// Starts a new rollout, or restores one from the journal's records.
    pub fn new(spec: Arc<RolloutSpec>, records: &[Record], now: Moment) -> Self {
        let mixers = vec![MixerState::default(); spec.names.len()];
        let mut rollout = Self {
            spec,
            step: 0,
            state: Stand::Surveying,
            rollback_reason: None,
            baseline_before: Vec::new(),
            step_begun: false,
            mixers,
            started_at: now,
        };
        records.iter().for_each(|record| rollout.replay(record));
        rollout
    }

    /// Restores the progress of the rollout. Orders are not replayed, as an order may not have been carried
    /// out.
    fn replay(&mut self, record: &Record) {
        match record {
            Record::Begun { .. } | Record::Ordered { .. } => {}
            Record::Step { step, twins } => {
                (self.step, self.step_begun) = (*step, true);
                self.baseline_before.clone_from(twins);
            }
            // The last step is passed again, which writes the missing `Ended` record.
            Record::Passed { step } if step + 1 == self.spec.steps.len() => {}
            Record::Passed { step } => (self.step, self.step_begun) = (step + 1, false),
            Record::Undo { why } => {
                (self.rollback_reason, self.state) = (Some(why.clone()), Stand::Surveying);
            }
            Record::Held { why, unsure: true } => self.state = Stand::Held(Hold::Unsure(why.clone())),
            Record::Held { why, unsure: false } => self.state = Stand::Held(Hold::Stuck(why.clone())),
            Record::Paused => self.state = Stand::Paused,
            Record::Resumed => self.state = Stand::Surveying,
            Record::Ended { side, .. } => self.state = Stand::Done(*side),
        }
    }

    /// Whether every mixer runs one side and nothing is left to do.
    pub fn is_finished(&self) -> bool {
        matches!(self.state, Stand::Done(_))
    }

    pub fn spec(&self) -> &RolloutSpec {
        &self.spec
    }

    /// The side that a mixer should run in the current state.
    pub fn desired_side(&self, mixer: usize) -> Side {
        let step_active = self.step_begun && self.rollback_reason.is_none();
        let before = self.step.checked_sub(1).map(|before| &self.spec.steps[before].new);
        let new = match (step_active, before) {
            _ if self.rollback_reason.is_some() => false,
            (true, _) => self.spec.steps[self.step].new.contains(&mixer),
            (false, Some(before)) => before.contains(&mixer),
            (false, None) => false,
        };
        if new {
            Side::New
        } else {
            Side::Old
        }
    }

    /// The number of mixers that are restarting, have ended or are unreachable.
    pub fn unavailable_count(&self, now: Moment) -> usize {
        (0..self.mixers.len()).filter(|at| self.is_unavailable(*at, now)).count()
    }

    fn is_unavailable(&self, mixer: usize, now: Moment) -> bool {
        let mixer_state = &self.mixers[mixer];
        mixer_state.gone_since.is_some()
            || mixer_state.order.as_ref().is_some_and(|o| o.phase != OrderPhase::Reloading)
            || self.is_unreachable(mixer, now)
    }

    fn is_unreachable(&self, mixer: usize, now: Moment) -> bool {
        now.since(self.mixers[mixer].last_heard.unwrap_or(self.started_at)) >= self.spec.unreachable_after
    }

    fn running_side(&self, mixer: usize) -> Option<Side> {
        let mixer_state = &self.mixers[mixer];
        mixer_state
            .report
            .as_ref()
            .filter(|_| mixer_state.gone_since.is_none())
            .and_then(|report| report.side)
    }

    /// Whether the mixer runs the desired side, is ready and, if it is in the baseline, has been restarted.
    fn is_as_desired(&self, mixer: usize) -> bool {
        let mixer_state = &self.mixers[mixer];
        let Some(report) = mixer_state
            .report
            .as_ref()
            .filter(|_| mixer_state.gone_since.is_none() && mixer_state.order.is_none())
        else {
            return false;
        };
        report.ready
            && report.side == Some(self.desired_side(mixer))
            && !self.is_baseline_not_restarted(mixer, report)
    }

    fn is_baseline_not_restarted(&self, mixer: usize, report: &Report) -> bool {
        let must_restart =
            self.step_begun && self.rollback_reason.is_none() && self.spec.method == ChangeMethod::Restart;
        let before = self.baseline_before.iter().find(|(at, _)| *at == mixer);
        must_restart && before.is_some_and(|(_, incarnation)| *incarnation == report.incarnation)
    }

    /// Handles an event and returns the resulting effects.
    pub fn handle(&mut self, now: Moment, event: Event) -> Effects {
        let mut effects = Effects::new();
        if self.is_finished() {
            return effects;
        }
        match event {
            Event::Heard(mixer, report) => self.on_report(now, mixer, report, &mut effects),
            Event::Ended { mixer, crashed } => self.on_ended(now, mixer, crashed, &mut effects),
            Event::Failed(mixer, why) => self.fail_order(mixer, &why, &mut effects),
            Event::Fine if matches!(self.state, Stand::Judging(_)) => self.pass_step(&mut effects),
            Event::Worse(why) if matches!(self.state, Stand::Judging(_) | Stand::Settling(_)) => {
                self.roll_back(why, &mut effects)
            }
            Event::Unsure(why) => self.on_unsure(now, why, &mut effects),
            Event::Fine | Event::Worse(_) => {}
            Event::Time { watched } => self.on_time(now, watched, &mut effects),
            Event::Wished(wish) => self.on_wish(wish, &mut effects),
        }
        effects
    }

    fn on_report(&mut self, now: Moment, mixer: usize, report: Report, effects: &mut Effects) {
        let mixer_state = &mut self.mixers[mixer];
        let before = mixer_state.report.replace(report.clone());
        (mixer_state.gone_since, mixer_state.last_heard) = (None, Some(now));
        if mixer_state.order.is_some() {
            return self.advance_order(now, mixer, effects);
        }
        let restarted = before.as_ref().is_some_and(|old| old.incarnation != report.incarnation);
        let (was, is) = (before.and_then(|old| old.side), report.side);
        let name = self.spec.names[mixer].clone();
        if restarted && was == Some(Side::New) && is == Some(Side::New) && self.rollback_reason.is_none() {
            return self.roll_back(format!("{name} has begun anew by itself, with the new"), effects);
        }
        if restarted && is != was {
            let mixer_state = &mut self.mixers[mixer];
            mixer_state.wrong_restarts = mixer_state.wrong_restarts.saturating_add(1);
            effects.push(Effect::Tell(format!("{name} came back with what it is not to run")));
            if mixer_state.wrong_restarts > MAX_WRONG_RESTARTS {
                return self.hold(
                    Hold::Stuck(format!(
                        "{name} keeps coming back with the wrong program: see what starts it"
                    )),
                    effects,
                );
            }
        }
        if is == Some(Side::New) && self.rollback_reason.is_none() {
            let reason = match &report {
                Report { wrong_sum: Some(traffic_type), .. } => {
                    Some(format!("{name}: its scans of {traffic_type} do not add up"))
                }
                Report { memory, .. } if *memory >= self.spec.memory_limit => {
                    Some(format!("{name}: {memory} bytes of memory"))
                }
                Report { refused_settings: true, .. } => Some(format!("{name} refuses its settings")),
                _ => None,
            };
            reason.into_iter().for_each(|why| self.roll_back(why, effects));
        }
    }

    fn on_ended(&mut self, now: Moment, mixer: usize, crashed: bool, effects: &mut Effects) {
        let was_new = self.running_side(mixer) == Some(Side::New);
        let mixer_state = &mut self.mixers[mixer];
        mixer_state.gone_since.get_or_insert(now);
        mixer_state.last_heard = Some(now);
        let starting = mixer_state.order.as_ref().is_some_and(|order| order.phase == OrderPhase::Starting);
        if crashed && starting {
            self.fail_order(mixer, "it ended as soon as it was started", effects);
        } else if mixer_state.order.is_some() {
            self.advance_order(now, mixer, effects);
        } else if crashed && was_new && self.rollback_reason.is_none() {
            self.roll_back(format!("{} has crashed", self.spec.names[mixer]), effects);
        }
    }

    fn fail_order(&mut self, mixer: usize, why: &str, effects: &mut Effects) {
        if let Some(order) = self.mixers[mixer].order.take() {
            self.on_order_failure(mixer, order.side, why, effects);
        }
    }

    /// Handles an order that failed. A failure of the new side rolls the change back; a failure of the old
    /// side needs an operator.
    fn on_order_failure(&mut self, mixer: usize, side: Side, why: &str, effects: &mut Effects) {
        let name = &self.spec.names[mixer];
        match side {
            Side::New => self.roll_back(format!("{name}: {why}"), effects),
            Side::Old => {
                let reason = format!("{name}: {why}, with the old: start it by hand, then resume");
                self.hold(Hold::Stuck(reason), effects);
            }
        }
    }

    /// Advances the mixer's pending order according to its last report and the time elapsed.
    fn advance_order(&mut self, now: Moment, mixer: usize, effects: &mut Effects) {
        let spec = self.spec.clone();
        let mixer_state = &mut self.mixers[mixer];
        let Some(order) = &mut mixer_state.order else { return };
        let (side, elapsed) = (order.side, now.since(order.since));
        let report = mixer_state.report.as_ref().filter(|_| mixer_state.gone_since.is_none());
        let restarted = report.filter(|report| order.from.as_ref() != Some(&report.incarnation));
        match order.phase {
            OrderPhase::Stopping { killed } => {
                if mixer_state.gone_since.is_some() {
                    (order.phase, order.since, mixer_state.gone_since) =
                        (OrderPhase::Starting, now, Some(now));
                    effects.push(Effect::Start(mixer, side));
                } else if let Some(report) = restarted {
                    // It was restarted from outside in the meantime.
                    if report.side == Some(side) {
                        if report.ready {
                            mixer_state.order = None;
                        }
                    } else {
                        (order.from, order.since) = (Some(report.incarnation.clone()), now);
                        effects.push(Effect::Stop(mixer, report.incarnation.clone()));
                    }
                } else if elapsed >= spec.stop_timeout {
                    let from = order.from.clone().unwrap_or_default();
                    if killed {
                        mixer_state.order = None;
                        let reason =
                            format!("{} does not end: end it by hand, then resume", spec.names[mixer]);
                        return self.hold(Hold::Stuck(reason), effects);
                    }
                    (order.phase, order.since) = (OrderPhase::Stopping { killed: true }, now);
                    effects.push(Effect::Tell(format!(
                        "{} has not ended in time, and is killed",
                        spec.names[mixer]
                    )));
                    effects.push(Effect::Kill(mixer, from));
                }
            }
            OrderPhase::Starting => {
                let why = match restarted {
                    Some(report) if report.side == Some(side) && report.ready => {
                        return mixer_state.order = None
                    }
                    Some(report) if report.refused_settings => "it refuses its settings",
                    Some(report) if report.side.is_some() && report.side != Some(side) => {
                        "it came up with another program than it was started with"
                    }
                    _ if elapsed >= spec.ready_timeout => "it was not ready in time",
                    _ => return,
                };
                self.fail_order(mixer, why, effects);
            }
            OrderPhase::Reloading => {
                let why = match report {
                    Some(report) if report.side == Some(side) => return mixer_state.order = None,
                    Some(report) if report.refused_settings => "it refuses its settings",
                    _ if elapsed >= spec.ready_timeout => "it did not take its settings up",
                    _ => return,
                };
                self.fail_order(mixer, why, effects);
            }
        }
    }

    fn on_unsure(&mut self, now: Moment, why: String, effects: &mut Effects) {
        if let Stand::Judging(since) = self.state {
            if now.since(since) >= self.spec.comparison_timeout {
                self.hold(Hold::Unsure(why), effects);
            }
        }
    }

    fn on_time(&mut self, now: Moment, watched: bool, effects: &mut Effects) {
        (0..self.mixers.len()).for_each(|mixer| self.advance_order(now, mixer, effects));
        self.check_gone(now, effects);
        match self.state.clone() {
            Stand::Surveying => self.survey(now, watched, effects),
            Stand::Moving if self.all_as_desired() => self.state = Stand::Settling(now),
            Stand::Settling(_) | Stand::Judging(_) if !self.all_as_desired() => self.state = Stand::Moving,
            Stand::Settling(since) if now.since(since) >= self.spec.settle_time => {
                if self.spec.steps[self.step].compared {
                    self.state = Stand::Judging(now);
                    effects.push(Effect::Compare(self.step));
                } else {
                    self.pass_step(effects);
                }
            }
            Stand::Undoing if self.all_as_desired() => {
                let why = self.rollback_reason.clone().unwrap_or_default();
                self.finish(Side::Old, why, effects);
            }
            _ => {}
        }
        if matches!(self.state, Stand::Moving | Stand::Undoing) {
            self.issue_orders(now, effects);
        }
    }

    fn all_as_desired(&self) -> bool {
        (0..self.mixers.len()).all(|mixer| self.is_as_desired(mixer))
    }

    /// Rolls back if a new mixer has ended without an order and did not return in time.
    fn check_gone(&mut self, now: Moment, effects: &mut Effects) {
        for mixer in 0..self.mixers.len() {
            let mixer_state = &self.mixers[mixer];
            let overdue = mixer_state.gone_since.is_some_and(|at| now.since(at) >= self.spec.return_timeout);
            let was_new = mixer_state.report.as_ref().is_some_and(|report| report.side == Some(Side::New));
            if overdue && mixer_state.order.is_none() && was_new && self.rollback_reason.is_none() {
                return self
                    .roll_back(format!("{} has gone, and not come back", self.spec.names[mixer]), effects);
            }
        }
    }

    /// Waits until every mixer has reported or is known to have ended: no order is given on missing
    /// information.
    fn survey(&mut self, now: Moment, watched: bool, effects: &mut Effects) {
        if self.waits_for_unreachable(now, effects) {
            return;
        }
        let is_known =
            |mixer_state: &MixerState| mixer_state.report.is_some() || mixer_state.gone_since.is_some();
        if !self.mixers.iter().all(is_known) {
            return;
        }
        let runs_neither = |mixer_state: &MixerState| {
            mixer_state.gone_since.is_none() && mixer_state.report.as_ref().is_some_and(|r| r.side.is_none())
        };
        if let Some(mixer) = self.mixers.iter().position(runs_neither) {
            let reason =
                format!("{} runs neither the old nor the new: see what it is", self.spec.names[mixer]);
            return self.hold(Hold::Stuck(reason), effects);
        }
        if self.rollback_reason.is_some() {
            self.state = Stand::Undoing;
        } else if self.step_begun {
            self.state = Stand::Moving;
        } else if watched {
            self.begin_step(effects);
        }
    }

    fn begin_step(&mut self, effects: &mut Effects) {
        let baseline = self.spec.steps[self.step].baseline.iter();
        let current_incarnation =
            |at: &usize| Some((*at, self.mixers[*at].report.as_ref()?.incarnation.clone()));
        self.baseline_before = baseline.filter_map(current_incarnation).collect();
        self.step_begun = true;
        effects.push(Effect::Write(Record::Step { step: self.step, twins: self.baseline_before.clone() }));
        self.state = Stand::Moving;
    }

    fn pass_step(&mut self, effects: &mut Effects) {
        effects.push(Effect::Write(Record::Passed { step: self.step }));
        self.step += 1;
        self.step_begun = false;
        if self.step == self.spec.steps.len() {
            return self.finish(Side::New, "every step has passed".into(), effects);
        }
        self.state = Stand::Surveying;
    }

    fn finish(&mut self, side: Side, why: String, effects: &mut Effects) {
        effects.push(Effect::Write(Record::Ended { side, why: why.clone() }));
        self.state = Stand::Done(side);
        effects.push(Effect::Tell(why));
    }

    fn roll_back(&mut self, why: String, effects: &mut Effects) {
        if self.rollback_reason.is_none() {
            effects.push(Effect::Write(Record::Undo { why: why.clone() }));
            self.rollback_reason = Some(why);
            self.state = Stand::Undoing;
        }
    }

    fn hold(&mut self, hold: Hold, effects: &mut Effects) {
        let (why, unsure) = match &hold {
            Hold::Unsure(why) => (why.clone(), true),
            Hold::Stuck(why) => (why.clone(), false),
        };
        effects.push(Effect::Write(Record::Held { why: why.clone(), unsure }));
        effects.push(Effect::Tell(why));
        self.state = Stand::Held(hold);
    }

    /// Whether some mixer is unreachable without being known to have ended. Its name is reported to the
    /// operator.
    fn waits_for_unreachable(&self, now: Moment, effects: &mut Effects) -> bool {
        let unreachable = (0..self.mixers.len())
            .find(|at| self.mixers[*at].gone_since.is_none() && self.is_unreachable(*at, now));
        let message = unreachable
            .map(|mixer| format!("{} is out of reach: nothing is ordered", self.spec.names[mixer]));
        let waits = message.is_some();
        effects.extend(message.map(Effect::Tell));
        waits
    }

    /// Gives orders up to the limit of unavailable mixers. Mixers that have ended come first, as changing
    /// them makes no further mixer unavailable.
    fn issue_orders(&mut self, now: Moment, effects: &mut Effects) {
        if self.waits_for_unreachable(now, effects) {
            return;
        }
        let limit = if self.rollback_reason.is_some() {
            self.spec.max_unavailable_in_rollback
        } else {
            self.spec.max_unavailable
        };
        let mut candidates: Vec<usize> = (0..self.mixers.len()).collect();
        candidates.sort_by_key(|at| self.mixers[*at].gone_since.is_none());
        for mixer in candidates {
            if self.is_as_desired(mixer) || self.mixers[mixer].order.is_some() {
                continue;
            }
            let gone = self.mixers[mixer].gone_since;
            let awaiting_return = gone.is_some_and(|at| now.since(at) < self.spec.return_timeout)
                && self.rollback_reason.is_none();
            if awaiting_return || (gone.is_none() && self.unavailable_count(now) >= limit) {
                continue;
            }
            self.issue_order(now, mixer, effects);
        }
    }

    fn issue_order(&mut self, now: Moment, mixer: usize, effects: &mut Effects) {
        let (side, method) = (self.desired_side(mixer), self.spec.method);
        let mixer_state = &mut self.mixers[mixer];
        let from = mixer_state.report.as_ref().map(|report| report.incarnation.clone());
        // It is already starting with the desired side and needs no order, only time to become ready.
        let is_starting = mixer_state.report.as_ref().is_some_and(|r| r.side == Some(side) && !r.ready);
        if mixer_state.gone_since.is_none() && is_starting {
            return;
        }
        effects.push(Effect::Write(Record::Ordered { mixer, side, from: from.clone() }));
        let (phase, effect) = match (mixer_state.gone_since, method) {
            (Some(_), _) => (OrderPhase::Starting, Effect::Start(mixer, side)),
            (None, ChangeMethod::Reload) => (OrderPhase::Reloading, Effect::Hand(mixer, side)),
            (None, ChangeMethod::Restart) => {
                let from = from.clone().unwrap_or_default();
                (OrderPhase::Stopping { killed: false }, Effect::Stop(mixer, from))
            }
        };
        mixer_state.order = Some(PendingOrder { side, from, since: now, phase });
        effects.push(effect);
    }

    fn on_wish(&mut self, wish: Wish, effects: &mut Effects) {
        match (wish, self.state.clone()) {
            (Wish::Undo, _) => self.roll_back("an operator asked for it".into(), effects),
            (Wish::Pause, Stand::Paused | Stand::Held(_)) => {}
            (Wish::Pause, _) => {
                effects.push(Effect::Write(Record::Paused));
                self.state = Stand::Paused;
            }
            (Wish::Resume, Stand::Held(Hold::Unsure(_))) => {
                effects.push(Effect::Write(Record::Resumed));
                self.pass_step(effects);
            }
            (Wish::Resume, Stand::Paused | Stand::Held(Hold::Stuck(_))) => {
                effects.push(Effect::Write(Record::Resumed));
                self.mixers.iter_mut().for_each(|mixer_state| mixer_state.wrong_restarts = 0);
                self.state = Stand::Surveying;
            }
            (Wish::Resume, _) => {}
        }
    }

    /// One line for the operator: how many mixers run which side, and the state of the rollout.
    pub fn status_line(&self) -> String {
        let count = |side| (0..self.mixers.len()).filter(|at| self.running_side(*at) == Some(side)).count();
        let (new, old) = (count(Side::New), count(Side::Old));
        let rest = self.mixers.len() - new - old;
        let state = match &self.state {
            Stand::Surveying => "looks".to_string(),
            Stand::Moving => "changes mixers".into(),
            Stand::Settling(_) => "lets them settle".into(),
            Stand::Judging(_) => "compares".into(),
            Stand::Undoing => format!("goes back: {}", self.rollback_reason.as_deref().unwrap_or_default()),
            Stand::Paused => "paused".into(),
            Stand::Held(Hold::Unsure(why) | Hold::Stuck(why)) => format!("HELD: {why}"),
            Stand::Done(Side::New) => "done: all new".into(),
            Stand::Done(Side::Old) => {
                format!("done: all old: {}", self.rollback_reason.as_deref().unwrap_or_default())
            }
        };
        let steps = self.spec.steps.len();
        format!("step {}/{steps}, {new} new, {old} old, {rest} away: {state}", (self.step + 1).min(steps))
    }
}
