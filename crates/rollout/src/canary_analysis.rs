//! Canary analysis: decides whether the changed mixers perform worse than the unchanged ones. Pure: metrics
//! come in, a ruling comes out.
//!
//! Two comparisons are made. Canaries are compared with baseline mixers of the same zone and traffic type
//! over the same time; the baseline was restarted with the old build when the canaries were changed. And all
//! mixers are compared with the time before the step, as the new build may harm the old mixers through the
//! searchers that both use.
//!
//! Observations are made in blocks: once both cohorts have completed a fixed number of scans, their shares
//! are compared. Shares are clipped to a range around the recent share of the baseline, in the same way for
//! both cohorts. A single bad block of a few scans then does not outweigh hundreds of good ones, and the
//! sequential test can bet higher (docs/rollout.md).

use crate::metrics_sample::{MetricsSample, ScanCounts};
use crate::sequential_test::SequentialTest;
use fernglade::{Moment, Span};
use std::collections::BTreeMap;

/// Completed scans of each cohort in a block. With fewer, nearly all blocks are uninformative; with more, the
/// bets on each block are smaller.
const BLOCK_SCANS: u64 = 20;

/// Minimum distance from the typical share at which a block's share is clipped: two scans of a block of
/// twenty.
const MIN_CLIP: f64 = 0.1;

/// Clipping distance of the tests for harm: three times the effect to detect, or a clipped block could not
/// show it.
fn clip_for_harm(effect: f64) -> f64 {
    (3.0 * effect).max(MIN_CLIP)
}

/// Clipping distance of the tests for the absence of harm. A block need show only slightly more than the
/// effect to detect; the narrower range allows higher bets and an earlier decision.
fn clip_for_no_harm(effect: f64) -> f64 {
    (1.25 * effect).max(MIN_CLIP)
}

/// A scan is slow if it takes longer than this quantile of the latencies in the reference window. The
/// quantile is far enough from both ends that a shift of all latencies by 5% moves many scans across it.
const SLOW_QUANTILE: f64 = 0.7;

/// Time over which scans are counted before the rate is taken as the load. The overall loss is not judged
/// before that.
const LOAD_WINDOW: Span = Span::from_millis(5_000);

/// The differences to detect and the error rates allowed: `compare` in a plan, with these defaults.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Thresholds {
    /// Increase in the share of scans not served.
    #[serde(rename = "lost")]
    pub loss_increase: f64,
    /// Increase in the share of served scans that are slow.
    #[serde(rename = "slower")]
    pub slow_increase: f64,
    /// Increase in the share of scans not served by any mixer, compared with the time before the step.
    #[serde(rename = "fall")]
    pub overall_loss_increase: f64,
    /// Probability that a change that is not worse is stopped.
    #[serde(rename = "false_stop")]
    pub false_stop_rate: f64,
    /// Probability that a change that is worse by these amounts goes on.
    #[serde(rename = "missed")]
    pub missed_rate: f64,
    /// Length of the reference window before a step.
    #[serde(rename = "before", deserialize_with = "crate::plan::deserialize_span")]
    pub reference_window: Span,
}

impl Default for Thresholds {
    fn default() -> Self {
        let reference_window = Span::from_millis(30_000);
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

/// The role of a mixer in the comparison of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cohort {
    /// Changed in this step.
    Canary,
    /// Restarted with the old build at the same time, as the control group.
    Baseline,
    /// Not touched in this step.
    Other,
}

/// The result of the comparison so far. The text is the reason.
#[derive(Clone, Debug, PartialEq)]
pub enum Ruling {
    /// Not enough observations.
    Wait(String),
    /// Another cause disturbs the comparison; it neither stops the change nor lets it go on.
    Disturbed(String),
    Fine,
    Worse(String),
}

/// Scan counts of both cohorts that do not make a full block yet.
#[derive(Clone, Debug, Default)]
struct CohortCounts {
    canary: ScanCounts,
    baseline: ScanCounts,
}

/// The comparison of one traffic type in one zone.
#[derive(Clone, Debug)]
struct Stratum {
    pending: CohortCounts,
    /// Moving average of the baseline's loss, from the blocks before the current one.
    typical_loss: f64,
    /// Tests that the canaries are worse, and tests that they are not.
    more_loss: SequentialTest,
    more_slow: SequentialTest,
    no_more_loss: SequentialTest,
    no_more_slow: SequentialTest,
}

impl Default for Stratum {
    fn default() -> Self {
        let test = || SequentialTest::new(MIN_CLIP);
        let (pending, typical_loss) = (CohortCounts::default(), 0.0);
        Self {
            pending,
            typical_loss,
            more_loss: test(),
            more_slow: test(),
            no_more_loss: test(),
            no_more_slow: test(),
        }
    }
}

/// One traffic type over all zones, to detect a loss common to all mixers.
#[derive(Clone, Debug)]
struct TypeTotals {
    counts: ScanCounts,
    loss_test: SequentialTest,
}

impl Default for TypeTotals {
    fn default() -> Self {
        Self { counts: ScanCounts::default(), loss_test: SequentialTest::new(MIN_CLIP) }
    }
}

/// What was measured in the reference window before the step.
#[derive(Clone, Debug, Default)]
struct Reference {
    /// By traffic type: the share served, scans per second, and the latency above which a scan is slow, in
    /// seconds.
    types: BTreeMap<String, (f64, f64, Option<f64>)>,
    /// The number of ready searchers on each mixer's list.
    listed: BTreeMap<usize, u64>,
}

/// Scans of a mixer over all its incarnations, and the seconds over which they were observed.
#[derive(Clone, Debug, Default)]
struct ObservedWork {
    types: BTreeMap<String, ScanCounts>,
    seconds: f64,
}

/// The last sample of a mixer, its total work, and the totals at the last two snapshots. The reference window
/// starts at the earlier snapshot.
#[derive(Clone, Debug, Default)]
struct MixerHistory {
    last: Option<(MetricsSample, Moment)>,
    total: ObservedWork,
    last_snapshot: ObservedWork,
    previous_snapshot: ObservedWork,
}

impl MixerHistory {
    /// Records a sample. Scans since the previous sample count even if the mixer was restarted in between:
    /// otherwise a conductor restarted while mixers are being changed would underestimate the load. They do
    /// not count if the mixer was unreachable for long.
    fn record(&mut self, now: Moment, sample: &MetricsSample) {
        let Some((before, at)) = self.last.replace((sample.clone(), now)) else { return };
        let gap = now.since(at);
        if gap >= LOAD_WINDOW {
            return;
        }
        self.total.seconds += gap.as_f64() / 1e6;
        for (name, counts) in &sample.types {
            let same = before.incarnation == sample.incarnation;
            let start = before.types.get(name).filter(|_| same).cloned().unwrap_or_default();
            self.total.types.entry(name.clone()).or_default().add(&counts.since(&start));
        }
    }
}

/// The comparison of the current step, and the measurements that it needs.
pub struct CanaryAnalysis {
    thresholds: Thresholds,
    zones: Vec<String>,
    cohorts: Vec<Cohort>,
    history: Vec<MixerHistory>,
    snapshot_times: (Option<Moment>, Option<Moment>),
    reference: Reference,
    strata: BTreeMap<(String, String), Stratum>,
    totals: BTreeMap<String, TypeTotals>,
    /// Scans taken by all mixers since `started_at`, to measure the load.
    scans_taken: u64,
    started_at: Moment,
    disturbance: Option<String>,
}

/// Limits a share to the clipping distance around `center`.
fn clip_share(share: f64, center: f64, clip: f64) -> f64 {
    share.clamp((center - clip).max(0.0), (center + clip).min(1.0))
}

/// Width of the range that `clip_share` allows.
fn clip_range(center: f64, clip: f64) -> f64 {
    (center + clip).min(1.0) - (center - clip).max(0.0)
}

/// The share of completed scans that were not served.
fn loss_share(counts: &ScanCounts) -> f64 {
    1.0 - counts.served as f64 / counts.ended().max(1) as f64
}

impl CanaryAnalysis {
    /// `zones` holds the zone of each mixer, in the order of the plan.
    pub fn new(thresholds: Thresholds, zones: Vec<String>) -> Self {
        let (cohorts, history) =
            (vec![Cohort::Other; zones.len()], vec![MixerHistory::default(); zones.len()]);
        Self {
            thresholds,
            zones,
            cohorts,
            history,
            snapshot_times: (None, None),
            reference: Reference::default(),
            strata: BTreeMap::new(),
            totals: BTreeMap::new(),
            scans_taken: 0,
            started_at: Moment::default(),
            disturbance: None,
        }
    }

    /// Whether a full reference window has been observed.
    pub fn has_reference(&self) -> bool {
        self.snapshot_times.1.is_some()
    }

    /// Starts a step: takes the reference from the time before it and discards the previous step's
    /// comparison.
    pub fn begin_step(&mut self, now: Moment, cohorts: Vec<Cohort>) {
        let reference = self.measure_reference();
        if !reference.types.is_empty() {
            self.reference = reference;
        }
        self.reset_comparison(now);
        self.cohorts = cohorts;
    }

    /// Starts the comparison of a step, after the changed mixers have settled. If the step was started by an
    /// earlier run of the conductor, the reference is taken from what has been observed since.
    pub fn begin_comparison(&mut self, now: Moment, cohorts: Vec<Cohort>) {
        if self.reference.types.is_empty() {
            self.reference = self.measure_reference();
        }
        self.cohorts = cohorts;
        self.reset_comparison(now);
    }

    /// Discards all observations of the comparison.
    fn reset_comparison(&mut self, now: Moment) {
        (self.strata, self.totals) = (BTreeMap::new(), BTreeMap::new());
        (self.scans_taken, self.started_at, self.disturbance) = (0, now, None);
        // Each traffic type in the reference has to be observed again before the step can pass.
        self.totals = self.reference.types.keys().map(|name| (name.clone(), TypeTotals::default())).collect();
    }

    /// Summarizes the reference window.
    fn measure_reference(&self) -> Reference {
        let (mut all, mut listed) = (BTreeMap::<String, (ScanCounts, f64)>::new(), BTreeMap::new());
        for (mixer, history) in self.history.iter().enumerate() {
            let Some((last, _)) = &history.last else { continue };
            listed.insert(mixer, last.searchers_listed);
            // For a mixer that was unreachable for part of the window, the rate is that of the rest of the
            // window; if it was unreachable for all of it, the rate over its whole history.
            let heard_in_window = history.total.seconds > history.previous_snapshot.seconds;
            let window_start =
                if heard_in_window { &history.previous_snapshot } else { &ObservedWork::default() };
            let seconds = (history.total.seconds - window_start.seconds).max(1e-3);
            for (name, counts) in &history.total.types {
                let delta = counts.since(window_start.types.get(name).unwrap_or(&ScanCounts::default()));
                let (sum, rate) = all.entry(name.clone()).or_default();
                sum.add(&delta);
                *rate += delta.taken as f64 / seconds;
            }
        }
        let summary = |(counts, rate): &(ScanCounts, f64)| {
            (1.0 - loss_share(counts), *rate, counts.latency_quantile(SLOW_QUANTILE))
        };
        let observed = all.iter().filter(|(_, (counts, _))| counts.ended() > 0);
        Reference { types: observed.map(|(name, sums)| (name.clone(), summary(sums))).collect(), listed }
    }

    /// Records a mixer's metrics. The first sample of an incarnation is only the starting point of the
    /// comparison.
    pub fn record_sample(&mut self, now: Moment, mixer: usize, sample: &MetricsSample) {
        self.rotate_snapshots(now);
        let history = &mut self.history[mixer];
        let before = history.last.clone();
        history.record(now, sample);
        let same = |old: &(MetricsSample, Moment)| old.0.incarnation == sample.incarnation;
        let Some((before, at)) = before.filter(same) else { return };
        if self.cohorts[mixer] != Cohort::Canary {
            self.check_searcher_list(mixer, sample.searchers_listed);
        }
        for (name, counts) in &sample.types {
            let delta = counts.since(before.types.get(name).unwrap_or(&ScanCounts::default()));
            // Scans from a long time without contact say nothing about the current load.
            self.scans_taken += if now.since(at) < LOAD_WINDOW { delta.taken } else { 0 };
            self.add_counts(mixer, name, &delta);
        }
        self.check_load(now);
    }

    /// Takes a new snapshot of each mixer's total work once per reference window.
    fn rotate_snapshots(&mut self, now: Moment) {
        let due = self.snapshot_times.0.is_none_or(|at| now.since(at) >= self.thresholds.reference_window);
        if due {
            self.snapshot_times = (Some(now), self.snapshot_times.0);
            for mixer in &mut self.history {
                mixer.previous_snapshot = std::mem::replace(&mut mixer.last_snapshot, mixer.total.clone());
            }
        }
    }

    /// Reports a disturbance if fewer searchers are ready than in the reference window.
    fn check_searcher_list(&mut self, mixer: usize, listed: u64) {
        let before = self.reference.listed.get(&mixer).copied().unwrap_or(listed);
        if listed < before {
            let reason = format!("searchers have left the list: {listed} where {before} were");
            self.disturbance = Some(reason);
        }
    }

    /// Reports a disturbance if the load is more than a third above the reference: the loss would not be
    /// comparable.
    fn check_load(&mut self, now: Moment) {
        let seconds = now.since(self.started_at).as_f64() / 1e6;
        let before: f64 = self.reference.types.values().map(|summary| summary.1).sum();
        let rate = self.scans_taken as f64 / seconds.max(1e-3);
        if now.since(self.started_at) >= LOAD_WINDOW && before > 0.0 && rate > before * 4.0 / 3.0 {
            self.disturbance = Some(format!("{rate:.0} scans a second where {before:.0} were"));
        }
    }

    /// Adds scans of one mixer and traffic type, and makes an observation once a block is full.
    fn add_counts(&mut self, mixer: usize, name: &str, delta: &ScanCounts) {
        let slow_bound = self.reference.types.get(name).and_then(|summary| summary.2);
        let served_before = self.reference.types.get(name).map(|summary| summary.0);
        let total = self.totals.entry(name.to_owned()).or_default();
        match self.cohorts[mixer] {
            Cohort::Other => total.counts.add(delta),
            Cohort::Canary | Cohort::Baseline => {
                let stratum = self.strata.entry((self.zones[mixer].clone(), name.to_owned())).or_default();
                let pending = &mut stratum.pending;
                match self.cohorts[mixer] {
                    Cohort::Canary => pending.canary.add(delta),
                    _ => pending.baseline.add(delta),
                }
                if pending.canary.ended() >= BLOCK_SCANS && pending.baseline.ended() >= BLOCK_SCANS {
                    let block = std::mem::take(pending);
                    compare_block(&self.thresholds, stratum, &block, slow_bound);
                }
                // With no untouched mixers, the overall loss is measured on the compared ones.
                if self.cohorts.contains(&Cohort::Other) {
                    return;
                }
                total.counts.add(delta);
            }
        }
        if total.counts.ended() >= BLOCK_SCANS {
            let counts = std::mem::take(&mut total.counts);
            let typical_loss = 1.0 - served_before.unwrap_or(1.0);
            // Only twice the threshold: these mixers have no control group, and a burst in one zone must not
            // weigh more.
            let (threshold, clip) = (
                self.thresholds.overall_loss_increase,
                (2.0 * self.thresholds.overall_loss_increase).max(MIN_CLIP),
            );
            let excess = clip_share(loss_share(&counts), typical_loss, clip) - typical_loss - threshold;
            total.loss_test.observe(excess, clip_range(typical_loss, clip) + threshold);
        }
    }

    /// The current result. A disturbance is reported once, and the observations made during it are discarded.
    pub fn ruling(&mut self, now: Moment) -> Ruling {
        if let Some(reason) = self.disturbance.take() {
            self.reset_comparison(now);
            return Ruling::Disturbed(reason);
        }
        if let Some(reason) = self.regression_reason(now.since(self.started_at) >= LOAD_WINDOW) {
            return Ruling::Worse(reason);
        }
        match self.inconclusive_reason() {
            Some(reason) => Ruling::Wait(reason),
            None => Ruling::Fine,
        }
    }

    /// Why the canaries are not known to be as good yet, if so. Each zone and traffic type has to be shown
    /// separately, or a loss in one zone would be hidden by the others.
    fn inconclusive_reason(&self) -> Option<String> {
        if self.strata.is_empty() {
            return Some("no scan has been compared".into());
        }
        let unseen = |name: &&String| !self.strata.keys().any(|(_, seen)| seen == *name);
        if let Some(name) = self.totals.keys().find(unseen) {
            return Some(format!("{name}: asked before the step, and not since"));
        }
        let required_wealth = 1.0 / self.thresholds.missed_rate;
        let is_inconclusive = |stratum: &Stratum| {
            stratum.no_more_loss.wealth() < required_wealth || stratum.no_more_slow.wealth() < required_wealth
        };
        let ((zone, name), stratum) = self.strata.iter().find(|(_, stratum)| is_inconclusive(stratum))?;
        let seen = stratum.no_more_loss.observations() as u64 * BLOCK_SCANS;
        Some(format!("{name} in zone {zone}: some {seen} scans of each side compared, not enough to go on"))
    }

    /// Why the change is worse, if it is. The mean wealth of several tests is itself a valid test statistic,
    /// so the error rate does not grow with the number of zones and traffic types.
    fn regression_reason(&self, load_is_known: bool) -> Option<String> {
        let required_wealth = 1.0 / self.thresholds.false_stop_rate;
        let results = self.strata.iter().flat_map(|((zone, name), stratum)| {
            let result = |test: &SequentialTest, reason: &str| {
                let by = test.mean();
                (test.wealth(), format!("{name} in zone {zone}: {reason} by some {by:.3}"))
            };
            [result(&stratum.more_loss, "more is not served,"), result(&stratum.more_slow, "more is slow,")]
        });
        let results: Vec<(f64, String)> = results.collect();
        let mean = results.iter().map(|result| result.0).sum::<f64>() / results.len().max(1) as f64;
        let worst = results.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, reason)) = worst.filter(|_| mean >= required_wealth) {
            return Some(reason);
        }
        let wealths = self.totals.values().map(|total| total.loss_test.wealth());
        let mean = wealths.clone().sum::<f64>() / self.totals.len().max(1) as f64;
        let worst =
            self.totals.iter().max_by(|a, b| a.1.loss_test.wealth().total_cmp(&b.1.loss_test.wealth()));
        let reason = |(name, total): (&String, &TypeTotals)| {
            let by = total.loss_test.mean() + self.thresholds.overall_loss_increase;
            format!("{name}: all mixers serve less than before the stage, by some {by:.3} of what is asked")
        };
        worst.filter(|_| mean >= required_wealth && load_is_known).map(reason)
    }
}

/// Feeds one full block of both cohorts to the tests of a stratum.
fn compare_block(
    thresholds: &Thresholds,
    stratum: &mut Stratum,
    block: &CohortCounts,
    slow_bound: Option<f64>,
) {
    let (typical_loss, clip_harm) = (stratum.typical_loss, clip_for_harm(thresholds.loss_increase));
    let increase = clip_share(loss_share(&block.canary), typical_loss, clip_harm)
        - clip_share(loss_share(&block.baseline), typical_loss, clip_harm);
    // The tests for harm look for more than half of the threshold; the tests for no harm need less than all
    // of it.
    stratum.more_loss.observe(
        increase - thresholds.loss_increase / 2.0,
        clip_range(typical_loss, clip_harm) + thresholds.loss_increase / 2.0,
    );
    let clip_no_harm = clip_for_no_harm(thresholds.loss_increase);
    let increase = clip_share(loss_share(&block.canary), typical_loss, clip_no_harm)
        - clip_share(loss_share(&block.baseline), typical_loss, clip_no_harm);
    stratum.no_more_loss.observe(thresholds.loss_increase - increase, clip_range(typical_loss, clip_no_harm));
    stratum.typical_loss += (loss_share(&block.baseline) - typical_loss) / 8.0;
    let Some(bound) = slow_bound else { return };
    let slow = |counts: &ScanCounts| 1.0 - counts.served_within(bound) as f64 / counts.served.max(1) as f64;
    let (typical_slow, clip) = (1.0 - SLOW_QUANTILE, clip_for_harm(thresholds.slow_increase));
    let increase = clip_share(slow(&block.canary), typical_slow, clip)
        - clip_share(slow(&block.baseline), typical_slow, clip);
    stratum.more_slow.observe(
        increase - thresholds.slow_increase / 2.0,
        clip_range(typical_slow, clip) + thresholds.slow_increase / 2.0,
    );
    let clip = clip_for_no_harm(thresholds.slow_increase);
    let increase = clip_share(slow(&block.canary), typical_slow, clip)
        - clip_share(slow(&block.baseline), typical_slow, clip);
    stratum.no_more_slow.observe(thresholds.slow_increase - increase, clip_range(typical_slow, clip));
}
