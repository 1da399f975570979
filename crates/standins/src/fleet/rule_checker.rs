//! Checks the platform's six rules and the fleet's totals against a trace. Does no I/O.

use super::scenario::{Idempotency, Scenario, TrafficType};
use super::trace::{value_of, Part, PartOutcome, TraceEntry, TraceEvent};
use fernglade::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// A rule of the platform, by its number, or a check beyond them. `fernglade-fleet` prints the names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: each scan gets one final answer, in time, and no part is sent after it.
    Answer,
    /// 2: no part that must not be repeated runs twice.
    Effect,
    /// 3: nothing is sent to a searcher that drains or has left the list.
    Drain,
    /// 4: no cold searcher collapses under too much work.
    Cold,
    /// 5: no answer has fewer parts than the floor, claims to be complete when it is not, or has a value that
    /// no searcher sent.
    Honest,
    /// 6: each mixer keeps its retry budget.
    Budget,
    /// The whole fleet keeps its retry budget over the run.
    Sum,
    /// No mixer exits unless its shutdown was requested.
    Crash,
}

/// A violation of a rule: when, and what happened.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was violated, from the start of the run.
    pub at: Moment,
    /// What happened.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{:?} at {:.3} s: {}", self.rule, self.at.micros() as f64 / 1e6, self.what)
    }
}

/// How late something may be: the rules' tolerance on sockets (50 ms), and delays of a machine that runs the
/// whole fleet.
pub const TOLERANCE: Span = Span::from_millis(350);
/// How far the recorded order of events on two links may be wrong, as each link is read by its own task.
const ORDER_TOLERANCE: Span = Span::from_millis(100);

/// A try of a scan.
struct Scan<'a> {
    traffic_type: &'a TrafficType,
    mixer: usize,
    at: Moment,
    due: Moment,
    shards: Vec<u32>,
    ended: Option<Moment>,
}

/// The relays of a part: when each was read, by which searcher, and its outcome so far.
#[derive(Default)]
struct Attempts(Vec<(Moment, usize, Option<PartOutcome>)>);

impl Attempts {
    /// The time of the first relay that may have run, i.e. that was not rejected.
    fn may_have_run(&self) -> Option<Moment> {
        self.0.iter().find(|(_, _, outcome)| *outcome != Some(PartOutcome::Rejected)).map(|(at, ..)| *at)
    }
}

/// The retry budget of a mixer: what counts towards it within the window.
#[derive(Default)]
struct RetryBudget {
    /// Scans received, with their cost: one each and one for each part.
    received: VecDeque<(Moment, usize)>,
    /// Relays beyond the first of each part.
    retries: VecDeque<Moment>,
}

struct RuleChecker<'a> {
    scenario: &'a Scenario,
    scans: BTreeMap<u32, Scan<'a>>,
    attempts: BTreeMap<Part, Attempts>,
    retry_budgets: BTreeMap<usize, RetryBudget>,
    /// When each mixer received the update that a searcher is no longer ready.
    not_ready_since: BTreeMap<(usize, usize), Moment>,
    /// When each mixer was last suspended, resumed, stopped or started, and whether it is away now.
    away: BTreeMap<usize, (Moment, bool)>,
    requested_parts: usize,
    relayed_parts: usize,
    violations: Vec<Violation>,
}

/// Returns all violations, in order of time.
pub fn check_rules(scenario: &Scenario, trace: &[TraceEntry]) -> Vec<Violation> {
    let mut checker = RuleChecker {
        scenario,
        scans: BTreeMap::new(),
        attempts: BTreeMap::new(),
        retry_budgets: BTreeMap::new(),
        not_ready_since: BTreeMap::new(),
        away: BTreeMap::new(),
        requested_parts: 0,
        relayed_parts: 0,
        violations: Vec::new(),
    };
    for entry in trace {
        checker.handle(entry.at, &entry.event);
    }
    checker.finish(trace.last().map_or(Moment::default(), |entry| entry.at));
    checker.violations.sort_by_key(|violation| violation.at);
    checker.violations
}

impl<'a> RuleChecker<'a> {
    fn report(&mut self, rule: Rule, at: Moment, what: String) {
        self.violations.push(Violation { rule, at, what });
    }

    fn handle(&mut self, at: Moment, event: &TraceEvent) {
        match event {
            TraceEvent::ScanSent { scan, mixer, traffic_type, shards, timeout, .. } => {
                let (traffic_type, shards) = (&self.scenario.types[*traffic_type], shards.clone());
                self.requested_parts += shards.len();
                self.retry_budgets.entry(*mixer).or_default().received.push_back((at, 1 + shards.len()));
                self.scans.insert(
                    *scan,
                    Scan { traffic_type, mixer: *mixer, at, due: at + *timeout, shards, ended: None },
                );
            }
            TraceEvent::ScanUnread { scan } => drop(self.scans.remove(scan)),
            TraceEvent::ScanAnswered { scan, status, complete, values, .. } => {
                self.answered(at, *scan, *status, *complete, values)
            }
            TraceEvent::ScanDropped { scan, mixer } => {
                if !self.was_away(*mixer, at) {
                    self.report(
                        Rule::Answer,
                        at,
                        format!("scan {scan}: mixer {mixer} closed the connection without an answer"),
                    );
                }
                self.scans.get_mut(scan).into_iter().for_each(|scan| scan.ended = Some(at));
            }
            TraceEvent::PartRelayed { mixer, searcher, part, earliest_write } => {
                self.part_relayed(*earliest_write, at, *mixer, *searcher, *part);
            }
            TraceEvent::PartAnswered { searcher, part, outcome, .. } => {
                let attempts = self.attempts.entry(*part).or_default();
                let open =
                    attempts.0.iter_mut().rev().find(|(_, to, outcome)| to == searcher && outcome.is_none());
                open.into_iter().for_each(|attempt| attempt.2 = Some(*outcome));
            }
            TraceEvent::DiscoverySent { mixer, searcher, ready: true } => {
                self.not_ready_since.remove(&(*mixer, *searcher));
            }
            TraceEvent::DiscoverySent { mixer, searcher, ready: false } => {
                self.not_ready_since.entry((*mixer, *searcher)).or_insert(at);
            }
            TraceEvent::SearcherCollapsed { searcher } => {
                self.report(Rule::Cold, at, format!("searcher {searcher} collapsed"))
            }
            TraceEvent::MixerStalled { mixer, stalled } => drop(self.away.insert(*mixer, (at, *stalled))),
            TraceEvent::MixerExited { mixer, expected } => {
                if !expected {
                    self.report(Rule::Crash, at, format!("mixer {mixer} exited without being told to"));
                }
                self.away.insert(*mixer, (at, true));
                self.not_ready_since.retain(|(of, _), _| of != mixer);
            }
            TraceEvent::MixerStarted { mixer } => {
                self.away.insert(*mixer, (at, false));
                self.retry_budgets.remove(mixer);
            }
            TraceEvent::MixerUnreachable { .. }
            | TraceEvent::LinkOpened { .. }
            | TraceEvent::PartCancelled { .. }
            | TraceEvent::ProbeReceived { .. } => {}
            TraceEvent::SearcherStarted { .. }
            | TraceEvent::SearcherStopped { .. }
            | TraceEvent::Fault { .. } => {}
        }
    }

    /// Whether a mixer is suspended or not running, or was so since `since`.
    fn was_away(&self, mixer: usize, since: Moment) -> bool {
        self.away.get(&mixer).is_some_and(|(at, is_away)| *is_away || *at >= since)
    }

    fn answered(&mut self, at: Moment, id: u32, status: u16, complete: bool, values: &[(u32, String)]) {
        let Some(scan) = self.scans.get_mut(&id) else {
            return self.report(Rule::Answer, at, format!("scan {id}: an answer without a request"));
        };
        let twice = scan.ended.replace(at).is_some();
        let (sent_at, due, mixer, traffic_type, shards) =
            (scan.at, scan.due, scan.mixer, scan.traffic_type, scan.shards.clone());
        if twice {
            self.report(Rule::Answer, at, format!("scan {id}: a second answer"));
        }
        if at > due + TOLERANCE && !self.was_away(mixer, sent_at) {
            let late = at.since(due).micros() / 1000;
            self.report(Rule::Answer, at, format!("scan {id}: answered {late} ms after its deadline"));
        }
        match status {
            200 => self.check_answer(at, id, traffic_type, &shards, complete, values),
            429 | 503 if traffic_type.repeat == Idempotency::NonIdempotent => {
                let ran = |shard: &u32| {
                    self.attempts.get(&Part { scan: id, shard: *shard }).and_then(Attempts::may_have_run)
                };
                if let Some(shard) = shards.iter().find(|shard| ran(shard).is_some()) {
                    self.report(
                        Rule::Effect,
                        at,
                        format!("scan {id}: rejected, but shard {shard} may have run"),
                    );
                }
            }
            _ => {}
        }
    }

    /// Checks the content of a successful answer.
    fn check_answer(
        &mut self,
        at: Moment,
        id: u32,
        traffic_type: &TrafficType,
        shards: &[u32],
        complete: bool,
        values: &[(u32, String)],
    ) {
        let was_served = |shard: &u32| {
            let attempts = self.attempts.get(&Part { scan: id, shard: *shard });
            attempts
                .is_some_and(|all| all.0.iter().any(|(.., outcome)| *outcome == Some(PartOutcome::Succeeded)))
        };
        let mut seen = std::collections::BTreeSet::new();
        let bad = values.iter().find(|(shard, value)| {
            let part = Part { scan: id, shard: *shard };
            !shards.contains(shard) || *value != value_of(part) || !was_served(shard) || !seen.insert(*shard)
        });
        if let Some((shard, value)) = bad {
            self.report(Rule::Honest, at, format!("scan {id}: shard {shard} answered with {value:?}"));
        }
        let share = values.len() as f64 / shards.len() as f64;
        if share + 1e-4 < traffic_type.floor {
            self.report(Rule::Honest, at, format!("scan {id}: answered with {share:.3}, below its floor"));
        }
        if complete && values.len() < shards.len() {
            self.report(Rule::Honest, at, format!("scan {id}: claims to be complete with {share:.3}"));
        }
    }

    /// Checks a relay at the earliest time at which the mixer may have written it, so that only proven
    /// violations count.
    fn part_relayed(&mut self, at: Moment, read: Moment, mixer: usize, searcher: usize, part: Part) {
        self.relayed_parts += 1;
        let late = self.not_ready_since.get(&(mixer, searcher)).copied().filter(|notified_at| {
            let grace = Span::from_micros(self.scenario.searchers.drain_grace.as_micros() as u64);
            at > *notified_at + grace + TOLERANCE && !self.was_away(mixer, *notified_at)
        });
        if let Some(notified_at) = late {
            let after = at.since(notified_at).micros() / 1000;
            let what = format!(
                "mixer {mixer} sent to searcher {searcher} {after} ms after it was told that it drains"
            );
            self.report(Rule::Drain, at, what);
        }
        let Some(scan) = self.scans.get(&part.scan) else {
            return self.report(Rule::Answer, at, format!("{part:?} sent without a request"));
        };
        let (traffic_type, ended) = (scan.traffic_type, scan.ended);
        if ended.is_some_and(|ended| at > ended + ORDER_TOLERANCE) && !self.was_away(mixer, scan.at) {
            self.report(Rule::Answer, at, format!("{part:?} sent after the final answer"));
        }
        let attempts = self.attempts.entry(part).or_default();
        let (number, ran) = (attempts.0.len(), attempts.may_have_run());
        attempts.0.push((read, searcher, None));
        if number == 0 {
            return;
        }
        let window = Span::from_micros(traffic_type.window.as_micros() as u64);
        match (traffic_type.repeat, ran) {
            (Idempotency::NonIdempotent, Some(_)) => {
                self.report(
                    Rule::Effect,
                    at,
                    format!("{part:?} of {} sent again, though it may have run", traffic_type.name),
                );
            }
            (Idempotency::ByKey, Some(ran)) if at > ran + window + TOLERANCE => {
                self.report(
                    Rule::Effect,
                    at,
                    format!("{part:?} of {} sent again after its window", traffic_type.name),
                );
            }
            _ => {}
        }
        self.count_retry(read, mixer);
    }

    /// Counts a retry against the budget of its mixer.
    fn count_retry(&mut self, at: Moment, mixer: usize) {
        let budget = &self.scenario.budget;
        let window = Span::from_micros(budget.window.as_micros() as u64);
        let budget_use = self.retry_budgets.entry(mixer).or_default();
        budget_use.retries.push_back(at);
        while budget_use.retries.front().is_some_and(|then| at.since(*then) > window) {
            budget_use.retries.pop_front();
        }
        while budget_use.received.front().is_some_and(|(then, _)| at.since(*then) > window + TOLERANCE) {
            budget_use.received.pop_front();
        }
        let received: usize = budget_use.received.iter().map(|(_, count)| count).sum();
        let allowed = budget.free + budget.share * received as f64;
        let retries = budget_use.retries.len();
        if retries as f64 > allowed {
            self.report(Rule::Budget, at, format!("mixer {mixer}: {retries} retries, {allowed:.1} allowed"));
        }
    }

    /// Checks at the end of the trace what was never answered, and the total of relays.
    fn finish(&mut self, end: Moment) {
        let open: Vec<_> = self.scans.iter().filter(|(_, scan)| scan.ended.is_none()).collect();
        let lost = |(id, scan): (&u32, &Scan)| {
            let due = scan.due + TOLERANCE;
            let lost = due < end && !self.was_away(scan.mixer, scan.at);
            lost.then(|| Violation {
                rule: Rule::Answer,
                at: due,
                what: format!("scan {id}: never answered"),
            })
        };
        let lost: Vec<Violation> = open.into_iter().filter_map(lost).collect();
        self.violations.extend(lost);
        let allowed = self.scenario.budget.in_sum * self.requested_parts as f64 + self.scenario.budget.free;
        if self.relayed_parts as f64 > allowed {
            let what = format!(
                "{} parts sent for {} requested, over all mixers",
                self.relayed_parts, self.requested_parts
            );
            self.report(Rule::Sum, end, what);
        }
    }
}
