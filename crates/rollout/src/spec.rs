//! What a rollout does: the builds, the steps with the mixers changed in each, and the limits.

use crate::canary_analysis::Cohort;
use crate::metrics_sample::BuildDigests;
use fernglade::Span;
use std::collections::{BTreeMap, BTreeSet};

/// Which of the two builds a mixer runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Side {
    Old,
    New,
}

/// How a mixer is changed; `by` in a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Deserialize)]
pub enum ChangeMethod {
    /// Stop the process, wait until it has ended, start the other build.
    #[default]
    #[serde(rename = "restart")]
    Restart,
    /// Replace the settings file atomically and have the running process reload it on SIGHUP.
    #[serde(rename = "hup")]
    Reload,
}

/// How many mixers of each zone run the new build once a step has passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSize {
    Count(usize),
    Share(f64),
}

/// One step of a rollout. Mixers are referred to by their index in the plan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Step {
    /// All mixers that run the new build after the step, including those of earlier steps.
    pub new: BTreeSet<usize>,
    /// Restarted with the old build during the step, as the control group.
    pub baseline: BTreeSet<usize>,
    /// Whether the step is judged by a comparison. The last step has no unchanged mixers left to compare
    /// with.
    pub compared: bool,
}

/// The immutable input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutSpec {
    pub names: Vec<String>,
    pub zones: Vec<String>,
    pub old: BuildDigests,
    pub new: BuildDigests,
    pub method: ChangeMethod,
    pub steps: Vec<Step>,
    /// The number of mixers that may be unavailable at once, including unreachable ones.
    pub max_unavailable: usize,
    /// The same limit during a rollback.
    pub max_unavailable_in_rollback: usize,
    pub stop_timeout: Span,
    pub ready_timeout: Span,
    /// How long to wait for a mixer that has ended by itself to return.
    pub return_timeout: Span,
    /// How long a mixer may be silent before it counts as unreachable.
    pub unreachable_after: Span,
    pub settle_time: Span,
    pub comparison_timeout: Span,
    /// Resident memory, in bytes, at which a mixer with the new build is rolled back.
    pub memory_limit: u64,
}

impl RolloutSpec {
    /// Which side has these digests, if either.
    pub fn side(&self, digests: &BuildDigests) -> Option<Side> {
        let sides = [(Side::Old, &self.old), (Side::New, &self.new)];
        sides.into_iter().find(|(_, build)| *build == digests).map(|(side, _)| side)
    }

    /// The role of each mixer in the comparison of a step.
    pub fn cohorts(&self, step: usize) -> Vec<Cohort> {
        let (changed, baseline) = (self.changed_in(step), &self.steps[step].baseline);
        let cohort = |mixer: usize| match (changed.contains(&mixer), baseline.contains(&mixer)) {
            (true, _) => Cohort::Canary,
            (_, true) => Cohort::Baseline,
            _ => Cohort::Other,
        };
        (0..self.names.len()).map(cohort).collect()
    }

    /// The mixers changed in a step, without those of earlier steps.
    pub fn changed_in(&self, step: usize) -> BTreeSet<usize> {
        let before = step.checked_sub(1).map(|before| &self.steps[before].new);
        self.steps[step].new.iter().filter(|at| before.is_none_or(|new| !new.contains(at))).copied().collect()
    }
}

/// Computes the steps of a rollout. In each zone mixers are changed in the order of the plan, and as many of
/// the last mixers that are still old form the baseline. One mixer of each zone is kept old for a last step,
/// so that there is something to compare with.
pub fn steps(zones: &[String], sizes: &[StageSize]) -> Vec<Step> {
    let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    zones.iter().enumerate().for_each(|(at, zone)| by_zone.entry(zone).or_default().push(at));
    let mut steps: Vec<Step> = Vec::new();
    for size in sizes {
        let mut step = Step { compared: true, ..Step::default() };
        let before = steps.last().cloned().unwrap_or_default();
        for mixers in by_zone.values() {
            let requested = match size {
                StageSize::Count(count) => *count,
                StageSize::Share(share) => (share * mixers.len() as f64).ceil() as usize,
            };
            // The only mixer of a zone has no baseline and is changed in the last step.
            let count = requested.min(mixers.len().saturating_sub(1));
            let already_new = mixers.iter().filter(|at| before.new.contains(at)).count();
            let count = count.max(already_new);
            step.new.extend(&mixers[..count]);
            step.baseline.extend(mixers[count..].iter().rev().take(count - already_new));
        }
        if step.new != before.new {
            steps.push(step);
        }
    }
    let all: BTreeSet<usize> = (0..zones.len()).collect();
    steps.push(Step { new: all, ..Step::default() });
    steps
}
