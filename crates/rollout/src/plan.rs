//! The operator's plan of a change, from JSON5, whole or not at all.

use crate::canary_analysis::Thresholds;
use crate::metrics_sample::BuildDigests;
use crate::spec::{steps, ChangeMethod, RolloutSpec, StageSize};
use fernglade::Span;
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// For people and the journal.
    pub change: String,
    /// Where the journal lies; one change at a time.
    pub journal: PathBuf,
    pub mixers: Vec<Mixer>,
    pub old: Build,
    pub new: Build,
    #[serde(default, rename = "by")]
    pub method: ChangeMethod,
    /// How much of each zone is new after each stage, as a number of mixers or a share like "25%".
    pub stages: Vec<Stage>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub compare: Thresholds,
    /// In place of children of the conductor's own.
    pub commands: Option<Commands>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mixer {
    pub name: String,
    pub zone: String,
    /// Where it listens, and tells its figures.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// What it is started with, beside the program: the platform's orders.
    #[serde(default, rename = "orders")]
    pub config: PathBuf,
    /// Its operator's file, which a change of settings replaces.
    pub operator: Option<PathBuf>,
}

/// What a mixer is to run.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Build {
    pub program: PathBuf,
    /// The program that it ends up as, where `program` starts that: its digest is what a mixer tells.
    #[serde(rename = "told_as")]
    pub reported_program: Option<PathBuf>,
    /// The text of the operator's file; none where it has none.
    pub operator: Option<PathBuf>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Stage {
    Count(usize),
    Share(String),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    #[serde(rename = "most_away")]
    pub max_unavailable: usize,
    #[serde(rename = "undo_away")]
    pub max_unavailable_in_rollback: usize,
    #[serde(rename = "stop_within", deserialize_with = "deserialize_span")]
    pub stop_timeout: Span,
    #[serde(rename = "ready_within", deserialize_with = "deserialize_span")]
    pub ready_timeout: Span,
    #[serde(rename = "return_within", deserialize_with = "deserialize_span")]
    pub return_timeout: Span,
    #[serde(rename = "unheard_within", deserialize_with = "deserialize_span")]
    pub unreachable_after: Span,
    #[serde(rename = "settle", deserialize_with = "deserialize_span")]
    pub settle_time: Span,
    #[serde(rename = "patience", deserialize_with = "deserialize_span")]
    pub comparison_timeout: Span,
    pub memory_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        let span = Span::of_millis;
        Self {
            max_unavailable: 1,
            max_unavailable_in_rollback: 2,
            stop_timeout: span(20_000),
            ready_timeout: span(20_000),
            return_timeout: span(10_000),
            unreachable_after: span(5_000),
            settle_time: span(10_000),
            comparison_timeout: span(900_000),
            memory_mb: 512,
        }
    }
}

/// Programs and their arguments; `{name}`, `{zone}`, `{at}`, `{process}`, `{side}`, `{program}`, `{settings}`, `{orders}`
/// and `{operator}` stand for what is meant. No shell is between.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commands {
    pub start: Vec<String>,
    pub stop: Vec<String>,
    /// Ends one that does not end by itself.
    pub kill: Vec<String>,
    /// Replaces the settings and has them read again.
    #[serde(rename = "hand")]
    pub reload: Option<Vec<String>>,
}

/// What is wrong with a plan, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanError(pub String);

impl fmt::Display for PlanError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl Plan {
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let mut reader = json5::Deserializer::from_str(text);
        let plan: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| PlanError(format!("{}: {}", error.path(), error.inner())))?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), PlanError> {
        let wrong = |what: String| Err(PlanError(what));
        if self.mixers.is_empty() || self.mixers.len() > 4_096 {
            return wrong("mixers: expected 1 to 4096".into());
        }
        for (at, mixer) in self.mixers.iter().enumerate() {
            let same = |other: &Mixer| other.name == mixer.name || other.address == mixer.address;
            if self.mixers[..at].iter().any(same) {
                return wrong(format!("mixers[{at}]: another has its name or its address"));
            }
            if self.method == ChangeMethod::Reload && mixer.operator.is_none() {
                return wrong(format!(
                    "mixers[{at}].operator: a change of settings needs the file that it reads"
                ));
            }
        }
        if self.method == ChangeMethod::Reload
            && (self.new.operator.is_none() || self.old.program != self.new.program)
        {
            return wrong("new: by \"hup\" the settings change, and nothing else".into());
        }
        if self.method == ChangeMethod::Reload
            && self.commands.as_ref().is_some_and(|commands| commands.reload.is_none())
        {
            return wrong("commands.hand: expected, by \"hup\"".into());
        }
        if self.stages.is_empty() {
            return wrong("stages: expected one at least".into());
        }
        for (at, stage) in self.stages.iter().enumerate() {
            stage.size().map_err(|what| PlanError(format!("stages[{at}]: {what}")))?;
        }
        let count = self.mixers.len();
        let Limits { max_unavailable, max_unavailable_in_rollback, .. } = self.limits;
        if max_unavailable == 0
            || max_unavailable_in_rollback == 0
            || (count > 1 && max_unavailable.max(max_unavailable_in_rollback) >= count)
        {
            return wrong(format!(
                "limits: most_away and undo_away are 1 to {}, never all",
                count.max(2) - 1
            ));
        }
        let shares = [
            self.compare.loss_increase,
            self.compare.slow_increase,
            self.compare.overall_loss_increase,
            self.compare.false_stop_rate,
            self.compare.missed_rate,
        ];
        if shares.iter().any(|share| !(0.000_1..0.5).contains(share)) {
            return wrong("compare: each share is from 0.0001 to 0.5".into());
        }
        Ok(())
    }

    /// The way of the change, between what the two sides make of a mixer.
    pub fn spec(&self, old: BuildDigests, new: BuildDigests) -> Result<RolloutSpec, PlanError> {
        if old == new {
            return Err(PlanError("old and new are the same: nothing would change".into()));
        }
        let zones: Vec<String> = self.mixers.iter().map(|mixer| mixer.zone.clone()).collect();
        let sizes: Result<Vec<StageSize>, String> = self.stages.iter().map(Stage::size).collect();
        let limits = &self.limits;
        Ok(RolloutSpec {
            names: self.mixers.iter().map(|mixer| mixer.name.clone()).collect(),
            steps: steps(&zones, &sizes.map_err(PlanError)?),
            zones,
            old,
            new,
            method: self.method,
            max_unavailable: limits.max_unavailable,
            max_unavailable_in_rollback: limits.max_unavailable_in_rollback,
            stop_timeout: limits.stop_timeout,
            ready_timeout: limits.ready_timeout,
            return_timeout: limits.return_timeout,
            unreachable_after: limits.unreachable_after,
            settle_time: limits.settle_time,
            comparison_timeout: limits.comparison_timeout,
            memory_limit: limits.memory_mb << 20,
        })
    }
}

impl Stage {
    fn size(&self) -> Result<StageSize, String> {
        match self {
            Self::Count(count) if *count > 0 => Ok(StageSize::Count(*count)),
            Self::Count(_) => Err("expected a number above 0".into()),
            Self::Share(text) => {
                let share = text.strip_suffix('%').and_then(|number| number.trim().parse::<f64>().ok());
                let share = share.filter(|share| *share > 0.0 && *share <= 100.0);
                share
                    .map(|share| StageSize::Share(share / 100.0))
                    .ok_or_else(|| format!("{text:?} is no share such as \"25%\""))
            }
        }
    }
}

/// A length of time as it is said: "250ms", "2s".
pub(crate) fn deserialize_span<'de, D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
    let text = String::deserialize(from)?;
    let time = humantime::parse_duration(&text);
    time.map(|time| Span::of_micros(time.as_micros() as u64))
        .map_err(|_| serde::de::Error::custom(format!("{text:?} is no time such as \"250ms\" or \"2s\"")))
}
