//! The change itself: what has come is taken in, what is to be done goes out. It goes by what mixers say they run, not
//! by what was ordered, so that a conductor that begins anew goes on where the truth stands. docs/rollout.md has the
//! transition table; `tests/model.rs` walks it with crashes and lost facts anywhere.

use crate::journal::Record;
use crate::metrics_sample::Incarnation;
use crate::spec::{ChangeMethod, RolloutSpec, Side};
use fernglade::Moment;
use std::sync::Arc;

/// What the machine needs of what a mixer told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// None where it runs neither the old nor the new.
    pub side: Option<Side>,
    pub incarnation: Incarnation,
    pub ready: bool,
    pub memory: u64,
    /// A sum of its that is wrong.
    pub wrong_sum: Option<String>,
    pub refused_settings: bool,
}

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Wish {
    Pause,
    Resume,
    Undo,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Heard(usize, Report),
    /// Its process has ended, or nobody listens where it was; `crashed` where it is known that it ended badly.
    Ended {
        mixer: usize,
        crashed: bool,
    },
    /// It could not be started or told.
    Failed(usize, String),
    /// Time has passed; `watched` once enough is known of the time before.
    Time {
        watched: bool,
    },
    /// The comparison of the step, and what is to be said of it.
    Fine,
    Worse(String),
    Unsure(String),
    Wished(Wish),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// To be on the disk before anything after it is done.
    Write(Record),
    Stop(usize, Incarnation),
    Kill(usize, Incarnation),
    Start(usize, Side),
    Hand(usize, Side),
    /// The comparison of this step begins, or begins anew.
    Compare(usize),
    Tell(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stand {
    /// Hears everybody, and watches for the time before.
    Surveying,
    Moving,
    Settling(Moment),
    Judging(Moment),
    Undoing,
    Paused,
    /// Nothing goes on until a person says so.
    Held(Hold),
    /// The end: all of one side.
    Done(Side),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Hold {
    /// The comparison could not come to an end; to resume is to take the step as passed.
    Unsure(String),
    /// Anything else; to resume is to try again.
    Stuck(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Doing {
    Stopping { killed: bool },
    Starting,
    Handing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Order {
    side: Side,
    from: Option<Incarnation>,
    since: Moment,
    doing: Doing,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Post {
    report: Option<Report>,
    heard: Option<Moment>,
    gone: Option<Moment>,
    order: Option<Order>,
    /// How often it came back with what it is not to run.
    strayed: u8,
}

/// Who comes back with the wrong program so often is not to be chased any longer.
const MOST_STRAYED: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rollout {
    course: Arc<RolloutSpec>,
    pub step: usize,
    pub state: Stand,
    /// Whether the way back has begun: there is none forward after it.
    pub rollback_reason: Option<String>,
    /// What twins were when the step began; they have to be another by now.
    twins: Vec<(usize, Incarnation)>,
    /// The step stands in the journal.
    begun: bool,
    posts: Vec<Post>,
    began: Moment,
}

/// What goes out, in order.
type Out = Vec<Effect>;

impl Rollout {
    /// From the beginning, or from what a journal tells.
    pub fn new(course: Arc<RolloutSpec>, records: &[Record], now: Moment) -> Self {
        let posts = vec![Post::default(); course.names.len()];
        let mut change = Self {
            course,
            step: 0,
            state: Stand::Surveying,
            rollback_reason: None,
            twins: Vec::new(),
            begun: false,
            posts,
            began: now,
        };
        records.iter().for_each(|record| change.remember(record));
        change
    }

    /// What was ordered is not taken for done: only where the change stood.
    fn remember(&mut self, record: &Record) {
        match record {
            Record::Begun { .. } | Record::Ordered { .. } => {}
            Record::Step { step, twins } => {
                (self.step, self.begun) = (*step, true);
                self.twins.clone_from(twins);
            }
            // The last one passes again: what is left of it is to say that all is over.
            Record::Passed { step } if step + 1 == self.course.steps.len() => {}
            Record::Passed { step } => (self.step, self.begun) = (step + 1, false),
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

    pub fn is_finished(&self) -> bool {
        matches!(self.state, Stand::Done(_))
    }

    pub fn spec(&self) -> &RolloutSpec {
        &self.course
    }

    /// What a mixer is to run as things stand.
    pub fn desired_side(&self, mixer: usize) -> Side {
        let of_step = self.begun && self.rollback_reason.is_none();
        let before = self.step.checked_sub(1).map(|before| &self.course.steps[before].new);
        let new = match (of_step, before) {
            _ if self.rollback_reason.is_some() => false,
            (true, _) => self.course.steps[self.step].new.contains(&mixer),
            (false, Some(before)) => before.contains(&mixer),
            (false, None) => false,
        };
        if new {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Away, or not to be reached: changing, gone, or long unheard.
    pub fn unavailable_count(&self, now: Moment) -> usize {
        (0..self.posts.len()).filter(|at| self.is_away(*at, now)).count()
    }

    fn is_away(&self, mixer: usize, now: Moment) -> bool {
        let post = &self.posts[mixer];
        post.gone.is_some()
            || post.order.as_ref().is_some_and(|o| o.doing != Doing::Handing)
            || self.unheard(mixer, now)
    }

    fn unheard(&self, mixer: usize, now: Moment) -> bool {
        now.since(self.posts[mixer].heard.unwrap_or(self.began)) >= self.course.unreachable_after
    }

    fn runs(&self, mixer: usize) -> Option<Side> {
        let post = &self.posts[mixer];
        post.report.as_ref().filter(|_| post.gone.is_none()).and_then(|report| report.side)
    }

    /// It runs what it is to run, serves, and, as a twin, has begun anew.
    fn is_as_wanted(&self, mixer: usize) -> bool {
        let post = &self.posts[mixer];
        let Some(report) = post.report.as_ref().filter(|_| post.gone.is_none() && post.order.is_none())
        else {
            return false;
        };
        report.ready && report.side == Some(self.desired_side(mixer)) && !self.is_stale_twin(mixer, report)
    }

    fn is_stale_twin(&self, mixer: usize, report: &Report) -> bool {
        let twin =
            self.begun && self.rollback_reason.is_none() && self.course.method == ChangeMethod::Restart;
        let before = self.twins.iter().find(|(at, _)| *at == mixer);
        twin && before.is_some_and(|(_, incarnation)| *incarnation == report.incarnation)
    }

    /// Takes an event in, and says what is to be done.
    pub fn handle(&mut self, now: Moment, event: Event) -> Out {
        let mut out = Out::new();
        if self.is_finished() {
            return out;
        }
        match event {
            Event::Heard(mixer, report) => self.heard(now, mixer, report, &mut out),
            Event::Ended { mixer, crashed } => self.ended(now, mixer, crashed, &mut out),
            Event::Failed(mixer, why) => self.failed(mixer, &why, &mut out),
            Event::Fine if matches!(self.state, Stand::Judging(_)) => self.pass(&mut out),
            Event::Worse(why) if matches!(self.state, Stand::Judging(_) | Stand::Settling(_)) => {
                self.undo(why, &mut out)
            }
            Event::Unsure(why) => self.unsure(now, why, &mut out),
            Event::Fine | Event::Worse(_) => {}
            Event::Time { watched } => self.time(now, watched, &mut out),
            Event::Wished(wish) => self.wished(wish, &mut out),
        }
        out
    }

    fn heard(&mut self, now: Moment, mixer: usize, report: Report, out: &mut Out) {
        let post = &mut self.posts[mixer];
        let before = post.report.replace(report.clone());
        (post.gone, post.heard) = (None, Some(now));
        if post.order.is_some() {
            return self.mind_order(now, mixer, out);
        }
        let again = before.as_ref().is_some_and(|old| old.incarnation != report.incarnation);
        let (was, is) = (before.and_then(|old| old.side), report.side);
        let name = self.course.names[mixer].clone();
        if again && was == Some(Side::New) && is == Some(Side::New) && self.rollback_reason.is_none() {
            return self.undo(format!("{name} has begun anew by itself, with the new"), out);
        }
        if again && is != was {
            let post = &mut self.posts[mixer];
            post.strayed = post.strayed.saturating_add(1);
            out.push(Effect::Tell(format!("{name} came back with what it is not to run")));
            if post.strayed > MOST_STRAYED {
                return self.hold(
                    Hold::Stuck(format!(
                        "{name} keeps coming back with the wrong program: see what starts it"
                    )),
                    out,
                );
            }
        }
        if is == Some(Side::New) && self.rollback_reason.is_none() {
            let bad = match &report {
                Report { wrong_sum: Some(what), .. } => {
                    Some(format!("{name}: its scans of {what} do not add up"))
                }
                Report { memory, .. } if *memory >= self.course.memory_limit => {
                    Some(format!("{name}: {memory} bytes of memory"))
                }
                Report { refused_settings: true, .. } => Some(format!("{name} refuses its settings")),
                _ => None,
            };
            bad.into_iter().for_each(|why| self.undo(why, out));
        }
    }

    fn ended(&mut self, now: Moment, mixer: usize, crashed: bool, out: &mut Out) {
        let was_new = self.runs(mixer) == Some(Side::New);
        let post = &mut self.posts[mixer];
        post.gone.get_or_insert(now);
        post.heard = Some(now);
        let starting = post.order.as_ref().is_some_and(|order| order.doing == Doing::Starting);
        if crashed && starting {
            self.failed(mixer, "it ended as soon as it was started", out);
        } else if post.order.is_some() {
            self.mind_order(now, mixer, out);
        } else if crashed && was_new && self.rollback_reason.is_none() {
            self.undo(format!("{} has crashed", self.course.names[mixer]), out);
        }
    }

    fn failed(&mut self, mixer: usize, why: &str, out: &mut Out) {
        if let Some(order) = self.posts[mixer].order.take() {
            self.spoilt(mixer, order.side, why, out);
        }
    }

    /// What was ordered can't be had: with the new that ends the change, with the old somebody has to look.
    fn spoilt(&mut self, mixer: usize, side: Side, why: &str, out: &mut Out) {
        let name = &self.course.names[mixer];
        match side {
            Side::New => self.undo(format!("{name}: {why}"), out),
            Side::Old => {
                let what = format!("{name}: {why}, with the old: start it by hand, then resume");
                self.hold(Hold::Stuck(what), out);
            }
        }
    }

    /// How far an order has come.
    fn mind_order(&mut self, now: Moment, mixer: usize, out: &mut Out) {
        let course = self.course.clone();
        let post = &mut self.posts[mixer];
        let Some(order) = &mut post.order else { return };
        let (side, passed) = (order.side, now.since(order.since));
        let report = post.report.as_ref().filter(|_| post.gone.is_none());
        let another = report.filter(|report| order.from.as_ref() != Some(&report.incarnation));
        match order.doing {
            Doing::Stopping { killed } => {
                if post.gone.is_some() {
                    (order.doing, order.since, post.gone) = (Doing::Starting, now, Some(now));
                    out.push(Effect::Start(mixer, side));
                } else if let Some(report) = another {
                    // Somebody else started it meanwhile.
                    if report.side == Some(side) {
                        if report.ready {
                            post.order = None;
                        }
                    } else {
                        (order.from, order.since) = (Some(report.incarnation.clone()), now);
                        out.push(Effect::Stop(mixer, report.incarnation.clone()));
                    }
                } else if passed >= course.stop_timeout {
                    let from = order.from.clone().unwrap_or_default();
                    if killed {
                        post.order = None;
                        let what =
                            format!("{} does not end: end it by hand, then resume", course.names[mixer]);
                        return self.hold(Hold::Stuck(what), out);
                    }
                    (order.doing, order.since) = (Doing::Stopping { killed: true }, now);
                    out.push(Effect::Tell(format!(
                        "{} has not ended in time, and is killed",
                        course.names[mixer]
                    )));
                    out.push(Effect::Kill(mixer, from));
                }
            }
            Doing::Starting => {
                let why = match another {
                    Some(report) if report.side == Some(side) && report.ready => return post.order = None,
                    Some(report) if report.refused_settings => "it refuses its settings",
                    Some(report) if report.side.is_some() && report.side != Some(side) => {
                        "it came up with another program than it was started with"
                    }
                    _ if passed >= course.ready_timeout => "it was not ready in time",
                    _ => return,
                };
                self.failed(mixer, why, out);
            }
            Doing::Handing => {
                let why = match report {
                    Some(report) if report.side == Some(side) => return post.order = None,
                    Some(report) if report.refused_settings => "it refuses its settings",
                    _ if passed >= course.ready_timeout => "it did not take its settings up",
                    _ => return,
                };
                self.failed(mixer, why, out);
            }
        }
    }

    fn unsure(&mut self, now: Moment, why: String, out: &mut Out) {
        if let Stand::Judging(since) = self.state {
            if now.since(since) >= self.course.comparison_timeout {
                self.hold(Hold::Unsure(why), out);
            }
        }
    }

    fn time(&mut self, now: Moment, watched: bool, out: &mut Out) {
        (0..self.posts.len()).for_each(|mixer| self.mind_order(now, mixer, out));
        self.mind_gone(now, out);
        match self.state.clone() {
            Stand::Surveying => self.survey(now, watched, out),
            Stand::Moving if self.all_as_wanted() => self.state = Stand::Settling(now),
            Stand::Settling(_) | Stand::Judging(_) if !self.all_as_wanted() => self.state = Stand::Moving,
            Stand::Settling(since) if now.since(since) >= self.course.settle_time => {
                if self.course.steps[self.step].compared {
                    self.state = Stand::Judging(now);
                    out.push(Effect::Compare(self.step));
                } else {
                    self.pass(out);
                }
            }
            Stand::Undoing if self.all_as_wanted() => {
                let why = self.rollback_reason.clone().unwrap_or_default();
                self.end(Side::Old, why, out);
            }
            _ => {}
        }
        if matches!(self.state, Stand::Moving | Stand::Undoing) {
            self.order_next(now, out);
        }
    }

    fn all_as_wanted(&self) -> bool {
        (0..self.posts.len()).all(|mixer| self.is_as_wanted(mixer))
    }

    /// Who has gone by himself and does not come back.
    fn mind_gone(&mut self, now: Moment, out: &mut Out) {
        for mixer in 0..self.posts.len() {
            let post = &self.posts[mixer];
            let long = post.gone.is_some_and(|at| now.since(at) >= self.course.return_timeout);
            let was_new = post.report.as_ref().is_some_and(|report| report.side == Some(Side::New));
            if long && post.order.is_none() && was_new && self.rollback_reason.is_none() {
                return self.undo(format!("{} has gone, and not come back", self.course.names[mixer]), out);
            }
        }
    }

    /// Everybody has to be heard before anything is ordered: no fact is not a bad fact.
    fn survey(&mut self, now: Moment, watched: bool, out: &mut Out) {
        if self.waits_for_lost(now, out) {
            return;
        }
        let known = |post: &Post| post.report.is_some() || post.gone.is_some();
        if !self.posts.iter().all(known) {
            return;
        }
        let strange =
            |post: &Post| post.gone.is_none() && post.report.as_ref().is_some_and(|r| r.side.is_none());
        if let Some(mixer) = self.posts.iter().position(strange) {
            let what =
                format!("{} runs neither the old nor the new: see what it is", self.course.names[mixer]);
            return self.hold(Hold::Stuck(what), out);
        }
        if self.rollback_reason.is_some() {
            self.state = Stand::Undoing;
        } else if self.begun {
            self.state = Stand::Moving;
        } else if watched {
            self.begin_step(out);
        }
    }

    fn begin_step(&mut self, out: &mut Out) {
        let twins = self.course.steps[self.step].baseline.iter();
        let now_is = |at: &usize| Some((*at, self.posts[*at].report.as_ref()?.incarnation.clone()));
        self.twins = twins.filter_map(now_is).collect();
        self.begun = true;
        out.push(Effect::Write(Record::Step { step: self.step, twins: self.twins.clone() }));
        self.state = Stand::Moving;
    }

    fn pass(&mut self, out: &mut Out) {
        out.push(Effect::Write(Record::Passed { step: self.step }));
        self.step += 1;
        self.begun = false;
        if self.step == self.course.steps.len() {
            return self.end(Side::New, "every step has passed".into(), out);
        }
        self.state = Stand::Surveying;
    }

    fn end(&mut self, side: Side, why: String, out: &mut Out) {
        out.push(Effect::Write(Record::Ended { side, why: why.clone() }));
        self.state = Stand::Done(side);
        out.push(Effect::Tell(why));
    }

    fn undo(&mut self, why: String, out: &mut Out) {
        if self.rollback_reason.is_none() {
            out.push(Effect::Write(Record::Undo { why: why.clone() }));
            self.rollback_reason = Some(why);
            self.state = Stand::Undoing;
        }
    }

    fn hold(&mut self, hold: Hold, out: &mut Out) {
        let (why, unsure) = match &hold {
            Hold::Unsure(why) => (why.clone(), true),
            Hold::Stuck(why) => (why.clone(), false),
        };
        out.push(Effect::Write(Record::Held { why: why.clone(), unsure }));
        out.push(Effect::Tell(why));
        self.state = Stand::Held(hold);
    }

    /// Whether one is neither known to be gone nor heard; people are told which.
    fn waits_for_lost(&self, now: Moment, out: &mut Out) -> bool {
        let lost = (0..self.posts.len()).find(|at| self.posts[*at].gone.is_none() && self.unheard(*at, now));
        let told =
            lost.map(|mixer| format!("{} is out of reach: nothing is ordered", self.course.names[mixer]));
        let waits = told.is_some();
        out.extend(told.map(Effect::Tell));
        waits
    }

    /// As many as may be away; those that are gone first, as they are away already.
    fn order_next(&mut self, now: Moment, out: &mut Out) {
        if self.waits_for_lost(now, out) {
            return;
        }
        let most = if self.rollback_reason.is_some() {
            self.course.max_unavailable_in_rollback
        } else {
            self.course.max_unavailable
        };
        let mut all: Vec<usize> = (0..self.posts.len()).collect();
        all.sort_by_key(|at| self.posts[*at].gone.is_none());
        for mixer in all {
            if self.is_as_wanted(mixer) || self.posts[mixer].order.is_some() {
                continue;
            }
            let gone = self.posts[mixer].gone;
            let waits = gone.is_some_and(|at| now.since(at) < self.course.return_timeout)
                && self.rollback_reason.is_none();
            if waits || (gone.is_none() && self.unavailable_count(now) >= most) {
                continue;
            }
            self.order(now, mixer, out);
        }
    }

    fn order(&mut self, now: Moment, mixer: usize, out: &mut Out) {
        let (side, method) = (self.desired_side(mixer), self.course.method);
        let post = &mut self.posts[mixer];
        let from = post.report.as_ref().map(|report| report.incarnation.clone());
        // One that begins by itself is not to be pushed: it is as wanted once it is ready.
        let begins = post.report.as_ref().is_some_and(|r| r.side == Some(side) && !r.ready);
        if post.gone.is_none() && begins {
            return;
        }
        out.push(Effect::Write(Record::Ordered { mixer, side, from: from.clone() }));
        let (doing, effect) = match (post.gone, method) {
            (Some(_), _) => (Doing::Starting, Effect::Start(mixer, side)),
            (None, ChangeMethod::Reload) => (Doing::Handing, Effect::Hand(mixer, side)),
            (None, ChangeMethod::Restart) => {
                let from = from.clone().unwrap_or_default();
                (Doing::Stopping { killed: false }, Effect::Stop(mixer, from))
            }
        };
        post.order = Some(Order { side, from, since: now, doing });
        out.push(effect);
    }

    fn wished(&mut self, wish: Wish, out: &mut Out) {
        match (wish, self.state.clone()) {
            (Wish::Undo, _) => self.undo("an operator asked for it".into(), out),
            (Wish::Pause, Stand::Paused | Stand::Held(_)) => {}
            (Wish::Pause, _) => {
                out.push(Effect::Write(Record::Paused));
                self.state = Stand::Paused;
            }
            (Wish::Resume, Stand::Held(Hold::Unsure(_))) => {
                out.push(Effect::Write(Record::Resumed));
                self.pass(out);
            }
            (Wish::Resume, Stand::Paused | Stand::Held(Hold::Stuck(_))) => {
                out.push(Effect::Write(Record::Resumed));
                self.posts.iter_mut().for_each(|post| post.strayed = 0);
                self.state = Stand::Surveying;
            }
            (Wish::Resume, _) => {}
        }
    }

    /// For people: who runs what.
    pub fn status_line(&self) -> String {
        let count = |side| (0..self.posts.len()).filter(|at| self.runs(*at) == Some(side)).count();
        let (new, old) = (count(Side::New), count(Side::Old));
        let rest = self.posts.len() - new - old;
        let stand = match &self.state {
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
        let steps = self.course.steps.len();
        format!("step {}/{steps}, {new} new, {old} old, {rest} away: {stand}", (self.step + 1).min(steps))
    }
}
