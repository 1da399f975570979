//! The way of a change: which mixers are changed in which step, and who is restarted beside them to be held against.

use crate::canary_analysis::Cohort;
use crate::metrics_sample::BuildDigests;
use fernglade::Span;
use std::collections::{BTreeMap, BTreeSet};

/// What a mixer is wanted to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Side {
    Old,
    New,
}

/// How a mixer is changed; a plan's `by`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Deserialize)]
pub enum ChangeMethod {
    /// Told to end, waited for, started.
    #[default]
    #[serde(rename = "restart")]
    Restart,
    /// Its settings file replaced whole, and read again by it on SIGHUP.
    #[serde(rename = "hup")]
    Reload,
}

/// How much of each zone is new once a step is through.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSize {
    Count(usize),
    Share(f64),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Step {
    /// All that are new after it, those of the steps before among them.
    pub new: BTreeSet<usize>,
    /// Restarted with the old at the same time.
    pub baseline: BTreeSet<usize>,
    /// Whether somebody is left to compare with.
    pub compared: bool,
}

/// All that the machine goes by; nothing of it changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutSpec {
    pub names: Vec<String>,
    pub zones: Vec<String>,
    pub old: BuildDigests,
    pub new: BuildDigests,
    pub method: ChangeMethod,
    pub steps: Vec<Step>,
    /// How many may be away at once, those that nobody can reach among them; going on, and going back.
    pub max_unavailable: usize,
    pub max_unavailable_in_rollback: usize,
    pub stop_timeout: Span,
    pub ready_timeout: Span,
    /// How long one that has gone by itself is waited for.
    pub return_timeout: Span,
    /// How long one may say nothing before it counts as out of reach.
    pub unreachable_after: Span,
    pub settle_time: Span,
    pub comparison_timeout: Span,
    /// Bytes resident at which a new one is too large.
    pub memory_limit: u64,
}

impl RolloutSpec {
    /// Which of the two a mixer runs, if it is one of them.
    pub fn side(&self, makes: &BuildDigests) -> Option<Side> {
        let sides = [(Side::Old, &self.old), (Side::New, &self.new)];
        sides.into_iter().find(|(_, of)| *of == makes).map(|(side, _)| side)
    }

    /// What each mixer is to a step's comparison.
    pub fn cohorts(&self, step: usize) -> Vec<Cohort> {
        let (changed, baseline) = (self.changed_in(step), &self.steps[step].baseline);
        let part = |mixer: usize| match (changed.contains(&mixer), baseline.contains(&mixer)) {
            (true, _) => Cohort::Canary,
            (_, true) => Cohort::Baseline,
            _ => Cohort::Other,
        };
        (0..self.names.len()).map(part).collect()
    }

    /// Who is changed in a step, and was not before it.
    pub fn changed_in(&self, step: usize) -> BTreeSet<usize> {
        let before = step.checked_sub(1).map(|before| &self.steps[before].new);
        self.steps[step].new.iter().filter(|at| before.is_none_or(|all| !all.contains(at))).copied().collect()
    }
}

/// The steps of a change. In each zone mixers are changed in their order, and as many of the last ones that are still
/// old are their twins. Where nobody would be left to be held against, one of each zone is kept for a last step.
pub fn steps(zones: &[String], sizes: &[StageSize]) -> Vec<Step> {
    let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    zones.iter().enumerate().for_each(|(at, zone)| by_zone.entry(zone).or_default().push(at));
    let mut steps: Vec<Step> = Vec::new();
    for size in sizes {
        let mut step = Step { compared: true, ..Step::default() };
        let before = steps.last().cloned().unwrap_or_default();
        for all in by_zone.values() {
            let wanted = match size {
                StageSize::Count(count) => *count,
                StageSize::Share(share) => (share * all.len() as f64).ceil() as usize,
            };
            // Who is alone in his zone has no twin and waits for the end.
            let count = wanted.min(all.len().saturating_sub(1));
            let had = all.iter().filter(|at| before.new.contains(at)).count();
            let count = count.max(had);
            step.new.extend(&all[..count]);
            step.baseline.extend(all[count..].iter().rev().take(count - had));
        }
        if step.new != before.new {
            steps.push(step);
        }
    }
    let all: BTreeSet<usize> = (0..zones.len()).collect();
    steps.push(Step { new: all, ..Step::default() });
    steps
}
