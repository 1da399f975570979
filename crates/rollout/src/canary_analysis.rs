//! Whether the new ones do worse: against twins of the same zone and traffic type at the same time, which were restarted
//! when they were; and whether all do worse than before the stage, as new ones may harm the old through the searchers
//! that both use. Pure: what mixers told comes in, a ruling goes out.
//!
//! What is compared comes in blocks: as soon as both sides have ended so many scans, the shares of the two are held
//! against each other. Shares are clipped near to what the old ones had of late, the same way on both sides, so that one
//! bad block of a few scans does not count for hundreds of good ones, and a gambler may bet high (docs/rollout.md).

use crate::metrics_sample::{MetricsSample, ScanCounts};
use crate::sequential_test::SequentialTest;
use fernglade::{Moment, Span};
use std::collections::BTreeMap;

/// Ended scans of each side that make a block: fewer, and nearly all blocks say nothing; more, and each is bet on less.
const BLOCK: u64 = 20;

/// How far from the old ones' usual share a block's may lie: two scans of a block of twenty; and three times what is
/// looked for, or a clipped block could not show it.
const CLIP: f64 = 0.1;

fn clip(looked_for: f64) -> f64 {
    (3.0 * looked_for).max(CLIP)
}

/// To show that the new ones are as good a block need show no more than what is looked for, and a little; then bets
/// are higher, and it is known sooner.
fn clip_as_good(looked_for: f64) -> f64 {
    (1.25 * looked_for).max(CLIP)
}

/// Slow is who takes longer than this share of the old ones' scans did before: far enough from both ends that a shift
/// of all times by a twentieth moves many across.
const USUAL: f64 = 0.7;

/// How long scans are counted until they tell a load; what all lose is not judged before that.
const LOAD_SEEN: Span = Span::of_millis(5_000);

/// How much worse is worse, and how sure one has to be. A plan's `compare`, with these defaults.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Thresholds {
    /// More of the scans not served: that share of all.
    #[serde(rename = "lost")]
    pub loss_increase: f64,
    /// More of the served ones slower than the old ones usually are: that share of them.
    #[serde(rename = "slower")]
    pub slow_increase: f64,
    /// All do worse than before the stage, by that share of all scans.
    #[serde(rename = "fall")]
    pub overall_loss_increase: f64,
    /// The chance that a change no worse is stopped, and that one as bad as that goes on.
    #[serde(rename = "false_stop")]
    pub false_stop_rate: f64,
    #[serde(rename = "missed")]
    pub missed_rate: f64,
    /// How long the time before a stage is.
    #[serde(rename = "before", deserialize_with = "crate::plan::deserialize_span")]
    pub reference_window: Span,
}

impl Default for Thresholds {
    fn default() -> Self {
        let reference_window = Span::of_millis(30_000);
        Self {
            loss_increase: 0.01,
            slow_increase: 0.04,
            overall_loss_increase: 0.05,
            false_stop_rate: 0.01,
            missed_rate: 0.05,
            reference_window,
        }
    }
}

/// What a mixer is to the step that is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cohort {
    /// Changed in this step.
    Canary,
    /// Restarted with the old, at the same time.
    Baseline,
    /// Neither.
    Other,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Ruling {
    /// Too little is known.
    Wait(String),
    /// Something else is wrong, which neither stops nor lets on.
    Disturbed(String),
    Fine,
    Worse(String),
}

#[derive(Clone, Debug, Default)]
struct Pool {
    new: ScanCounts,
    old: ScanCounts,
}

/// One zone's scans of one traffic type.
#[derive(Clone, Debug)]
struct Stratum {
    open: Pool,
    /// What the old ones lose usually; known before the next block.
    usual: f64,
    /// Bets that the new ones are worse, and bets that they are not.
    lost: SequentialTest,
    slower: SequentialTest,
    as_good: SequentialTest,
    as_quick: SequentialTest,
}

impl Default for Stratum {
    fn default() -> Self {
        let bet = || SequentialTest::new(CLIP);
        let (open, usual) = (Pool::default(), 0.0);
        Self { open, usual, lost: bet(), slower: bet(), as_good: bet(), as_quick: bet() }
    }
}

/// One traffic type over all zones: whether all fall.
#[derive(Clone, Debug)]
struct Whole {
    others: ScanCounts,
    falls: SequentialTest,
}

impl Default for Whole {
    fn default() -> Self {
        Self { others: ScanCounts::default(), falls: SequentialTest::new(CLIP) }
    }
}

/// How it was before the stage.
#[derive(Clone, Debug, Default)]
struct Before {
    /// By traffic type: the share served, scans taken a second, and the time under which most were served.
    types: BTreeMap<String, (f64, f64, Option<f64>)>,
    /// What each mixer's list had ready.
    listed: BTreeMap<usize, u64>,
}

/// What a mixer did in all its lives, and for how long it was heard meanwhile.
#[derive(Clone, Debug, Default)]
struct Work {
    types: BTreeMap<String, ScanCounts>,
    seconds: f64,
}

/// What each mixer told last, and its work by now and by the two last turns of the time before.
#[derive(Clone, Debug, Default)]
struct Known {
    last: Option<(MetricsSample, Moment)>,
    work: Work,
    newer: Work,
    older: Work,
}

impl Known {
    /// Takes in what it told. What it did since it was last heard counts, in a new life too, or a conductor that begins
    /// anew while mixers are changed takes the load for less than it is; not so where it was long unheard.
    fn note(&mut self, now: Moment, told: &MetricsSample) {
        let Some((before, at)) = self.last.replace((told.clone(), now)) else { return };
        let gap = now.since(at);
        if gap >= LOAD_SEEN {
            return;
        }
        self.work.seconds += gap.as_f64() / 1e6;
        for (name, sums) in &told.types {
            let same = before.incarnation == told.incarnation;
            let begun = before.types.get(name).filter(|_| same).cloned().unwrap_or_default();
            self.work.types.entry(name.clone()).or_default().add(&sums.since(&begun));
        }
    }
}

pub struct CanaryAnalysis {
    scales: Thresholds,
    zones: Vec<String>,
    cohorts: Vec<Cohort>,
    known: Vec<Known>,
    turned: (Option<Moment>, Option<Moment>),
    before: Before,
    strata: BTreeMap<(String, String), Stratum>,
    wholes: BTreeMap<String, Whole>,
    /// Taken by all since the step began, and since when; for the load.
    taken: u64,
    since: Moment,
    disturbed: Option<String>,
}

/// The same clip for both sides, about what is usual.
fn clipped(share: f64, usual: f64, clip: f64) -> f64 {
    share.clamp((usual - clip).max(0.0), (usual + clip).min(1.0))
}

fn width(usual: f64, clip: f64) -> f64 {
    (usual + clip).min(1.0) - (usual - clip).max(0.0)
}

fn lost(sums: &ScanCounts) -> f64 {
    1.0 - sums.served as f64 / sums.ended().max(1) as f64
}

impl CanaryAnalysis {
    /// The zones of all mixers, in their order.
    pub fn new(scales: Thresholds, zones: Vec<String>) -> Self {
        let (cohorts, known) = (vec![Cohort::Other; zones.len()], vec![Known::default(); zones.len()]);
        Self {
            scales,
            zones,
            cohorts,
            known,
            turned: (None, None),
            before: Before::default(),
            strata: BTreeMap::new(),
            wholes: BTreeMap::new(),
            taken: 0,
            since: Moment::default(),
            disturbed: None,
        }
    }

    /// Whether enough has been seen for a time before.
    pub fn has_reference(&self) -> bool {
        self.turned.1.is_some()
    }

    /// A step begins, and what is then is what it is held against. What was known of others is forgotten.
    pub fn begin_step(&mut self, now: Moment, cohorts: Vec<Cohort>) {
        let before = self.look_back();
        if !before.types.is_empty() {
            self.before = before;
        }
        self.restart(now);
        self.cohorts = cohorts;
    }

    /// The comparison of a step begins: all have settled. One that was not begun here is held against what is known.
    pub fn begin_comparison(&mut self, now: Moment, cohorts: Vec<Cohort>) {
        if self.before.types.is_empty() {
            self.before = self.look_back();
        }
        self.cohorts = cohorts;
        self.restart(now);
    }

    /// What is compared is compared from here on.
    fn restart(&mut self, now: Moment) {
        (self.strata, self.wholes) = (BTreeMap::new(), BTreeMap::new());
        (self.taken, self.since, self.disturbed) = (0, now, None);
        // A traffic type that was there before has to be seen.
        self.wholes = self.before.types.keys().map(|name| (name.clone(), Whole::default())).collect();
    }

    fn look_back(&self) -> Before {
        let (mut all, mut listed) = (BTreeMap::<String, (ScanCounts, f64)>::new(), BTreeMap::new());
        for (mixer, known) in self.known.iter().enumerate() {
            let Some((last, _)) = &known.last else { continue };
            listed.insert(mixer, last.searchers_listed);
            // Who could not be heard for a part of the time took as much then as else; for all of it, as ever.
            let heard_of_late = known.work.seconds > known.older.seconds;
            let then = if heard_of_late { &known.older } else { &Work::default() };
            let seconds = (known.work.seconds - then.seconds).max(1e-3);
            for (name, sums) in &known.work.types {
                let more = sums.since(then.types.get(name).unwrap_or(&ScanCounts::default()));
                let (pool, rate) = all.entry(name.clone()).or_default();
                pool.add(&more);
                *rate += more.taken as f64 / seconds;
            }
        }
        let line = |(sums, rate): &(ScanCounts, f64)| (1.0 - lost(sums), *rate, sums.latency_quantile(USUAL));
        let seen = all.iter().filter(|(_, (sums, _))| sums.ended() > 0);
        Before { types: seen.map(|(name, known)| (name.clone(), line(known))).collect(), listed }
    }

    /// What a mixer told. Of another incarnation than before, what is compared begins from nothing.
    pub fn record_sample(&mut self, now: Moment, mixer: usize, told: &MetricsSample) {
        self.turn(now);
        let known = &mut self.known[mixer];
        let before = known.last.clone();
        known.note(now, told);
        let same = |old: &(MetricsSample, Moment)| old.0.incarnation == told.incarnation;
        let Some((before, at)) = before.filter(same) else { return };
        if self.cohorts[mixer] != Cohort::Canary {
            self.mind_list(mixer, told.searchers_listed);
        }
        for (name, sums) in &told.types {
            let more = sums.since(before.types.get(name).unwrap_or(&ScanCounts::default()));
            // What it did while it was long unheard is not the load of now.
            self.taken += if now.since(at) < LOAD_SEEN { more.taken } else { 0 };
            self.pool(mixer, name, &more);
        }
        self.mind_load(now);
    }

    /// Every so long the last turn becomes the one before it.
    fn turn(&mut self, now: Moment) {
        let due = self.turned.0.is_none_or(|at| now.since(at) >= self.scales.reference_window);
        if due {
            self.turned = (Some(now), self.turned.0);
            for known in &mut self.known {
                known.older = std::mem::replace(&mut known.newer, known.work.clone());
            }
        }
    }

    fn mind_list(&mut self, mixer: usize, listed: u64) {
        let before = self.before.listed.get(&mixer).copied().unwrap_or(listed);
        if listed < before {
            let what = format!("searchers have left the list: {listed} where {before} were");
            self.disturbed = Some(what);
        }
    }

    /// A third more than before is another day.
    fn mind_load(&mut self, now: Moment) {
        let seconds = now.since(self.since).as_f64() / 1e6;
        let before: f64 = self.before.types.values().map(|line| line.1).sum();
        let rate = self.taken as f64 / seconds.max(1e-3);
        if now.since(self.since) >= LOAD_SEEN && before > 0.0 && rate > before * 4.0 / 3.0 {
            self.disturbed = Some(format!("{rate:.0} scans a second where {before:.0} were"));
        }
    }

    fn pool(&mut self, mixer: usize, name: &str, more: &ScanCounts) {
        let slow_past = self.before.types.get(name).and_then(|line| line.2);
        let served_before = self.before.types.get(name).map(|line| line.0);
        let whole = self.wholes.entry(name.to_owned()).or_default();
        match self.cohorts[mixer] {
            Cohort::Other => whole.others.add(more),
            Cohort::Canary | Cohort::Baseline => {
                let stratum = self.strata.entry((self.zones[mixer].clone(), name.to_owned())).or_default();
                let pool = &mut stratum.open;
                match self.cohorts[mixer] {
                    Cohort::Canary => pool.new.add(more),
                    _ => pool.old.add(more),
                }
                if pool.new.ended() >= BLOCK && pool.old.ended() >= BLOCK {
                    let block = std::mem::take(pool);
                    compare(&self.scales, stratum, &block, slow_past);
                }
                // Where nobody stands beside them, all are who may fall.
                if self.cohorts.contains(&Cohort::Other) {
                    return;
                }
                whole.others.add(more);
            }
        }
        if whole.others.ended() >= BLOCK {
            let others = std::mem::take(&mut whole.others);
            let usual = 1.0 - served_before.unwrap_or(1.0);
            // Twice: the others have nobody beside them, and a burst of a zone's own is not to count for more.
            let (fall, clip) =
                (self.scales.overall_loss_increase, (2.0 * self.scales.overall_loss_increase).max(CLIP));
            let falls = clipped(lost(&others), usual, clip) - usual - fall;
            whole.falls.observe(falls, width(usual, clip) + fall);
        }
    }

    /// What is to be said now. A disturbance is told once, and what was seen in it is thrown away.
    pub fn ruling(&mut self, now: Moment) -> Ruling {
        if let Some(what) = self.disturbed.take() {
            self.restart(now);
            return Ruling::Disturbed(what);
        }
        if let Some(what) = self.worse(now.since(self.since) >= LOAD_SEEN) {
            return Ruling::Worse(what);
        }
        match self.unsure() {
            Some(what) => Ruling::Wait(what),
            None => Ruling::Fine,
        }
    }

    /// Where it is not known yet that the new ones are as good: each zone and traffic type has to be, or what one zone
    /// loses hides behind the others.
    fn unsure(&self) -> Option<String> {
        if self.strata.is_empty() {
            return Some("no scan has been compared".into());
        }
        let unseen = |name: &&String| !self.strata.keys().any(|(_, seen)| seen == *name);
        if let Some(name) = self.wholes.keys().find(unseen) {
            return Some(format!("{name}: asked before the step, and not since"));
        }
        let sure = 1.0 / self.scales.missed_rate;
        let unsure = |at: &Stratum| at.as_good.wealth() < sure || at.as_quick.wealth() < sure;
        let ((zone, name), at) = self.strata.iter().find(|(_, at)| unsure(at))?;
        let seen = at.as_good.observations() as u64 * BLOCK;
        Some(format!("{name} in zone {zone}: some {seen} scans of each side compared, not enough to go on"))
    }

    /// The mean of fair gamblers' fortunes is a fair gambler's: however many there are, all together are wrong no
    /// oftener than one.
    fn worse(&self, load_is_known: bool) -> Option<String> {
        let sure = 1.0 / self.scales.false_stop_rate;
        let bets = self.strata.iter().flat_map(|((zone, name), stratum)| {
            let bet = |wager: &SequentialTest, what: &str| {
                let by = wager.mean();
                (wager.wealth(), format!("{name} in zone {zone}: {what} by some {by:.3}"))
            };
            [bet(&stratum.lost, "more is not served,"), bet(&stratum.slower, "more is slow,")]
        });
        let bets: Vec<(f64, String)> = bets.collect();
        let mean = bets.iter().map(|bet| bet.0).sum::<f64>() / bets.len().max(1) as f64;
        let worst = bets.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, what)) = worst.filter(|_| mean >= sure) {
            return Some(what);
        }
        let falls = self.wholes.values().map(|whole| whole.falls.wealth());
        let mean = falls.clone().sum::<f64>() / self.wholes.len().max(1) as f64;
        let worst = self.wholes.iter().max_by(|a, b| a.1.falls.wealth().total_cmp(&b.1.falls.wealth()));
        let told = |(name, whole): (&String, &Whole)| {
            let by = whole.falls.mean() + self.scales.overall_loss_increase;
            format!("{name}: all mixers serve less than before the stage, by some {by:.3} of what is asked")
        };
        worst.filter(|_| mean >= sure && load_is_known).map(told)
    }
}

/// One block of both sides.
fn compare(scales: &Thresholds, stratum: &mut Stratum, block: &Pool, slow_past: Option<f64>) {
    let (usual, clip_lost) = (stratum.usual, clip(scales.loss_increase));
    let more = clipped(lost(&block.new), usual, clip_lost) - clipped(lost(&block.old), usual, clip_lost);
    // Half of what is worse is no reason to stop yet, and all of it no reason to go on.
    stratum
        .lost
        .observe(more - scales.loss_increase / 2.0, width(usual, clip_lost) + scales.loss_increase / 2.0);
    let clip_good = clip_as_good(scales.loss_increase);
    let more = clipped(lost(&block.new), usual, clip_good) - clipped(lost(&block.old), usual, clip_good);
    stratum.as_good.observe(scales.loss_increase - more, width(usual, clip_good));
    stratum.usual += (lost(&block.old) - usual) / 8.0;
    let Some(past) = slow_past else { return };
    let slow = |sums: &ScanCounts| 1.0 - sums.served_within(past) as f64 / sums.served.max(1) as f64;
    let (usual, clip) = (1.0 - USUAL, clip(scales.slow_increase));
    let more = clipped(slow(&block.new), usual, clip) - clipped(slow(&block.old), usual, clip);
    stratum
        .slower
        .observe(more - scales.slow_increase / 2.0, width(usual, clip) + scales.slow_increase / 2.0);
    let clip = clip_as_good(scales.slow_increase);
    let more = clipped(slow(&block.new), usual, clip) - clipped(slow(&block.old), usual, clip);
    stratum.as_quick.observe(scales.slow_increase - more, width(usual, clip));
}
