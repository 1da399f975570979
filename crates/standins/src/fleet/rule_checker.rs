//! The six rules and the sums, from what passed on the links alone. Pure.

use super::scenario::{Idempotency, Scenario, TrafficType};
use super::trace::{value_of, Part, PartOutcome, TraceEntry, TraceEvent};
use fernglade::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: one final answer a scan, in time, and nothing sent after it.
    Answer,
    /// 2: no effect twice.
    Effect,
    /// 3: nothing to a searcher that drains or is gone.
    Drain,
    /// 4: no cold searcher is toppled.
    Cold,
    /// 5: no answer under the floor, or called whole that is not, or with what no searcher made.
    Honest,
    /// 6: relays beyond each part's first, by mixer.
    Budget,
    /// The same over the whole fleet and day.
    Sum,
    /// A mixer ended that nobody had told to.
    Crash,
}

/// A rule that was broken: when, and what was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Moment,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{:?} at {:.3} s: {}", self.rule, self.at.micros() as f64 / 1e6, self.what)
    }
}

/// The rules' own slack on sockets (50 ms), and what a machine that plays everybody at once may be late.
pub const SLACK: Span = Span::of_millis(350);
/// The order of two links is known only so well: each is read by a task of its own.
const ORDER: Span = Span::of_millis(100);

struct Scan<'a> {
    traffic_type: &'a TrafficType,
    mixer: usize,
    at: Moment,
    due: Moment,
    shards: Vec<u32>,
    ended: Option<Moment>,
}

#[derive(Default)]
struct Attempts(Vec<(Moment, usize, Option<PartOutcome>)>);

impl Attempts {
    /// The first that may have run: all but those turned away unseen.
    fn may_have_run(&self) -> Option<Moment> {
        self.0.iter().find(|(_, _, end)| *end != Some(PartOutcome::Rejected)).map(|(at, ..)| *at)
    }
}

/// A mixer's budget, as its rule counts it.
#[derive(Default)]
struct RetryBudget {
    taken: VecDeque<(Moment, usize)>,
    further: VecDeque<Moment>,
}

struct RuleChecker<'a> {
    day: &'a Scenario,
    scans: BTreeMap<u32, Scan<'a>>,
    attempts: BTreeMap<Part, Attempts>,
    purses: BTreeMap<usize, RetryBudget>,
    /// Who was told that a searcher is not to be sent to any more, and when.
    told: BTreeMap<(usize, usize), Moment>,
    /// When each mixer last stood still or was not there, and whether it does now.
    away: BTreeMap<usize, (Moment, bool)>,
    asked: usize,
    relayed: usize,
    violations: Vec<Violation>,
}

/// Every rule that was broken, in order.
pub fn check_rules(day: &Scenario, trace: &[TraceEntry]) -> Vec<Violation> {
    let mut checker = RuleChecker {
        day,
        scans: BTreeMap::new(),
        attempts: BTreeMap::new(),
        purses: BTreeMap::new(),
        told: BTreeMap::new(),
        away: BTreeMap::new(),
        asked: 0,
        relayed: 0,
        violations: Vec::new(),
    };
    for passed in trace {
        checker.hear(passed.at, &passed.event);
    }
    checker.close(trace.last().map_or(Moment::default(), |passed| passed.at));
    checker.violations.sort_by_key(|breach| breach.at);
    checker.violations
}

impl<'a> RuleChecker<'a> {
    fn breach(&mut self, rule: Rule, at: Moment, what: String) {
        self.violations.push(Violation { rule, at, what });
    }

    fn hear(&mut self, at: Moment, event: &TraceEvent) {
        match event {
            TraceEvent::ScanSent { scan, mixer, traffic_type, shards, left, .. } => {
                let (traffic_type, shards) = (&self.day.types[*traffic_type], shards.clone());
                self.asked += shards.len();
                self.purses.entry(*mixer).or_default().taken.push_back((at, 1 + shards.len()));
                self.scans.insert(
                    *scan,
                    Scan { traffic_type, mixer: *mixer, at, due: at + *left, shards, ended: None },
                );
            }
            TraceEvent::ScanUnread { scan } => drop(self.scans.remove(scan)),
            TraceEvent::ScanAnswered { scan, status, whole, values, .. } => {
                self.answered(at, *scan, *status, *whole, values)
            }
            TraceEvent::ScanDropped { scan, mixer } => {
                if !self.was_away(*mixer, at) {
                    self.breach(Rule::Answer, at, format!("scan {scan}: mixer {mixer} ended the connection"));
                }
                self.scans.get_mut(scan).into_iter().for_each(|scan| scan.ended = Some(at));
            }
            TraceEvent::PartRelayed { mixer, searcher, part, written } => {
                self.relayed(*written, at, *mixer, *searcher, *part);
            }
            TraceEvent::PartAnswered { searcher, part, end, .. } => {
                let attempts = self.attempts.entry(*part).or_default();
                let open = attempts.0.iter_mut().rev().find(|(_, to, end)| to == searcher && end.is_none());
                open.into_iter().for_each(|attempt| attempt.2 = Some(*end));
            }
            TraceEvent::DiscoverySent { mixer, searcher, ready: true } => {
                self.told.remove(&(*mixer, *searcher));
            }
            TraceEvent::DiscoverySent { mixer, searcher, ready: false } => {
                self.told.entry((*mixer, *searcher)).or_insert(at);
            }
            TraceEvent::SearcherCollapsed { searcher } => {
                self.breach(Rule::Cold, at, format!("searcher {searcher} toppled"))
            }
            TraceEvent::MixerStalled { mixer, still } => drop(self.away.insert(*mixer, (at, *still))),
            TraceEvent::MixerExited { mixer, asked } => {
                if !asked {
                    self.breach(Rule::Crash, at, format!("mixer {mixer} ended by itself"));
                }
                self.away.insert(*mixer, (at, true));
                self.told.retain(|(of, _), _| of != mixer);
            }
            TraceEvent::MixerStarted { mixer } => {
                self.away.insert(*mixer, (at, false));
                self.purses.remove(mixer);
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

    /// Whether a mixer stands still or is not there, or was so since then.
    fn was_away(&self, mixer: usize, since: Moment) -> bool {
        self.away.get(&mixer).is_some_and(|(at, still)| *still || *at >= since)
    }

    fn answered(&mut self, at: Moment, id: u32, status: u16, whole: bool, values: &[(u32, String)]) {
        let Some(scan) = self.scans.get_mut(&id) else {
            return self.breach(Rule::Answer, at, format!("scan {id}: an answer to nobody"));
        };
        let twice = scan.ended.replace(at).is_some();
        let (asked, due, mixer, traffic_type, shards) =
            (scan.at, scan.due, scan.mixer, scan.traffic_type, scan.shards.clone());
        if twice {
            self.breach(Rule::Answer, at, format!("scan {id}: a second answer"));
        }
        if at > due + SLACK && !self.was_away(mixer, asked) {
            let late = at.since(due).micros() / 1000;
            self.breach(Rule::Answer, at, format!("scan {id}: answered {late} ms after its time"));
        }
        match status {
            200 => self.honest(at, id, traffic_type, &shards, whole, values),
            429 | 503 if traffic_type.repeat == Idempotency::NonIdempotent => {
                let ran = |shard: &u32| {
                    self.attempts.get(&Part { scan: id, shard: *shard }).and_then(Attempts::may_have_run)
                };
                if let Some(shard) = shards.iter().find(|shard| ran(shard).is_some()) {
                    self.breach(
                        Rule::Effect,
                        at,
                        format!("scan {id}: bounced, and shard {shard} may have run"),
                    );
                }
            }
            _ => {}
        }
    }

    fn honest(
        &mut self,
        at: Moment,
        id: u32,
        traffic_type: &TrafficType,
        shards: &[u32],
        whole: bool,
        values: &[(u32, String)],
    ) {
        let came = |shard: &u32| {
            let attempts = self.attempts.get(&Part { scan: id, shard: *shard });
            attempts.is_some_and(|all| all.0.iter().any(|(.., end)| *end == Some(PartOutcome::Succeeded)))
        };
        let mut seen = std::collections::BTreeSet::new();
        let bad = values.iter().find(|(shard, value)| {
            let part = Part { scan: id, shard: *shard };
            !shards.contains(shard) || *value != value_of(part) || !came(shard) || !seen.insert(*shard)
        });
        if let Some((shard, value)) = bad {
            self.breach(Rule::Honest, at, format!("scan {id}: shard {shard} answered with {value:?}"));
        }
        let share = values.len() as f64 / shards.len() as f64;
        if share + 1e-4 < traffic_type.floor {
            self.breach(Rule::Honest, at, format!("scan {id}: answered with {share:.3}, under its floor"));
        }
        if whole && values.len() < shards.len() {
            self.breach(Rule::Honest, at, format!("scan {id}: called whole with {share:.3}"));
        }
    }

    /// What is sent counts from when it may have been written at the earliest: a breach is what can be proved.
    fn relayed(&mut self, at: Moment, read: Moment, mixer: usize, searcher: usize, part: Part) {
        self.relayed += 1;
        let late = self.told.get(&(mixer, searcher)).copied().filter(|told| {
            let grace = Span::of_micros(self.day.searchers.drain_grace.as_micros() as u64);
            at > *told + grace + SLACK && !self.was_away(mixer, *told)
        });
        if let Some(told) = late {
            let after = at.since(told).micros() / 1000;
            let what =
                format!("mixer {mixer} sent to searcher {searcher} {after} ms after it was told not to");
            self.breach(Rule::Drain, at, what);
        }
        let Some(scan) = self.scans.get(&part.scan) else {
            return self.breach(Rule::Answer, at, format!("{part:?} sent, and nobody asked"));
        };
        let (traffic_type, ended) = (scan.traffic_type, scan.ended);
        if ended.is_some_and(|ended| at > ended + ORDER) && !self.was_away(mixer, scan.at) {
            self.breach(Rule::Answer, at, format!("{part:?} sent after the final answer"));
        }
        let attempts = self.attempts.entry(part).or_default();
        let (number, ran) = (attempts.0.len(), attempts.may_have_run());
        attempts.0.push((read, searcher, None));
        if number == 0 {
            return;
        }
        let window = Span::of_micros(traffic_type.window.as_micros() as u64);
        match (traffic_type.repeat, ran) {
            (Idempotency::NonIdempotent, Some(_)) => {
                self.breach(
                    Rule::Effect,
                    at,
                    format!("{part:?} of {} sent again, and it may have run", traffic_type.name),
                );
            }
            (Idempotency::ByKey, Some(ran)) if at > ran + window + SLACK => {
                self.breach(
                    Rule::Effect,
                    at,
                    format!("{part:?} of {} sent again past its window", traffic_type.name),
                );
            }
            _ => {}
        }
        self.spend(read, mixer);
    }

    /// A relay beyond a part's first.
    fn spend(&mut self, at: Moment, mixer: usize) {
        let budget = &self.day.budget;
        let window = Span::of_micros(budget.window.as_micros() as u64);
        let purse = self.purses.entry(mixer).or_default();
        purse.further.push_back(at);
        while purse.further.front().is_some_and(|then| at.since(*then) > window) {
            purse.further.pop_front();
        }
        while purse.taken.front().is_some_and(|(then, _)| at.since(*then) > window + SLACK) {
            purse.taken.pop_front();
        }
        let taken: usize = purse.taken.iter().map(|(_, count)| count).sum();
        let may = budget.free + budget.share * taken as f64;
        let further = purse.further.len();
        if further as f64 > may {
            self.breach(
                Rule::Budget,
                at,
                format!("mixer {mixer}: {further} further relays, {may:.1} allowed"),
            );
        }
    }

    fn close(&mut self, end: Moment) {
        let open: Vec<_> = self.scans.iter().filter(|(_, scan)| scan.ended.is_none()).collect();
        let lost = |(id, scan): (&u32, &Scan)| {
            let due = scan.due + SLACK;
            let lost = due < end && !self.was_away(scan.mixer, scan.at);
            lost.then(|| Violation {
                rule: Rule::Answer,
                at: due,
                what: format!("scan {id}: never answered"),
            })
        };
        let lost: Vec<Violation> = open.into_iter().filter_map(lost).collect();
        self.violations.extend(lost);
        let most = self.day.budget.in_sum * self.asked as f64 + self.day.budget.free;
        if self.relayed as f64 > most {
            let what = format!("{} parts sent of {} asked, by all mixers", self.relayed, self.asked);
            self.breach(Rule::Sum, end, what);
        }
    }
}
