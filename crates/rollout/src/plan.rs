//! The operator's plan of a rollout, parsed from JSON5. Any error rejects the whole plan.

use crate::canary_analysis::Thresholds;
use crate::metrics_sample::BuildDigests;
use crate::spec::{steps, ChangeMethod, RolloutSpec, StageSize};
use fernglade::Span;
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A plan file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the rollout, shown to the operator and written to the journal.
    pub change: String,
    /// Path of the journal. It holds one rollout at a time.
    pub journal: PathBuf,
    pub mixers: Vec<Mixer>,
    pub old: Build,
    pub new: Build,
    #[serde(default, rename = "by")]
    pub method: ChangeMethod,
    /// How much of each zone runs the new build after each stage: a number of mixers, or a share like "25%".
    pub stages: Vec<Stage>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub compare: Thresholds,
    /// Used instead of running the mixers as child processes of the conductor.
    pub commands: Option<Commands>,
}

/// One mixer of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mixer {
    pub name: String,
    pub zone: String,
    /// The address on which it listens and serves its metrics.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// The configuration file that it is started with (`ROUTER_CONFIG`).
    #[serde(default, rename = "orders")]
    pub config: PathBuf,
    /// Its operator's settings file, which a change of settings replaces.
    pub operator: Option<PathBuf>,
}

/// A program and its settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Build {
    pub program: PathBuf,
    /// The program that finally runs, if `program` only starts it. Mixers report this program's digest.
    #[serde(rename = "told_as")]
    pub reported_program: Option<PathBuf>,
    /// The file with the operator's settings; none if the build has none.
    pub operator: Option<PathBuf>,
}

/// The size of a stage, in each zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Stage {
    Count(usize),
    Share(String),
}

/// Limits and timeouts; [`RolloutSpec`] describes them.
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
        let span = Span::from_millis;
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

/// Programs with their arguments, run without a shell. The placeholders `{name}`, `{zone}`, `{at}`,
/// `{process}`, `{side}`, `{program}`, `{settings}`, `{orders}` and `{operator}` are replaced.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commands {
    pub start: Vec<String>,
    pub stop: Vec<String>,
    /// Kills a mixer that does not stop.
    pub kill: Vec<String>,
    /// Replaces the settings file and has it reloaded.
    #[serde(rename = "hand")]
    pub reload: Option<Vec<String>>,
}

/// An error in a plan, and where it is.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanError(pub String);

impl fmt::Display for PlanError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl Plan {
    /// Parses and checks a plan.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let mut reader = json5::Deserializer::from_str(text);
        let plan: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| PlanError(format!("{}: {}", error.path(), error.inner())))?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), PlanError> {
        let fail = |message: String| Err(PlanError(message));
        if self.mixers.is_empty() || self.mixers.len() > 4_096 {
            return fail("mixers: expected 1 to 4096".into());
        }
        for (at, mixer) in self.mixers.iter().enumerate() {
            let conflicts = |other: &Mixer| other.name == mixer.name || other.address == mixer.address;
            if self.mixers[..at].iter().any(conflicts) {
                return fail(format!("mixers[{at}]: another mixer has the same name or address"));
            }
            if self.method == ChangeMethod::Reload && mixer.operator.is_none() {
                return fail(format!("mixers[{at}].operator: required by \"hup\", which replaces this file"));
            }
        }
        if self.method == ChangeMethod::Reload
            && (self.new.operator.is_none() || self.old.program != self.new.program)
        {
            return fail("new: by \"hup\" only the settings change, and nothing else".into());
        }
        if self.method == ChangeMethod::Reload
            && self.commands.as_ref().is_some_and(|commands| commands.reload.is_none())
        {
            return fail("commands.hand: required by \"hup\"".into());
        }
        if self.stages.is_empty() {
            return fail("stages: expected at least one".into());
        }
        for (at, stage) in self.stages.iter().enumerate() {
            stage.size().map_err(|message| PlanError(format!("stages[{at}]: {message}")))?;
        }
        let count = self.mixers.len();
        let Limits { max_unavailable, max_unavailable_in_rollback, .. } = self.limits;
        if max_unavailable == 0
            || max_unavailable_in_rollback == 0
            || (count > 1 && max_unavailable.max(max_unavailable_in_rollback) >= count)
        {
            return fail(format!(
                "limits: most_away and undo_away must be 1 to {}, never all mixers",
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
            return fail("compare: each share must be at least 0.0001 and below 0.5".into());
        }
        Ok(())
    }

    /// Builds the input of the state machine from the plan and the digests of the two builds.
    pub fn spec(&self, old: BuildDigests, new: BuildDigests) -> Result<RolloutSpec, PlanError> {
        if old == new {
            return Err(PlanError("old and new are identical: nothing would change".into()));
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
            Self::Count(_) => Err("expected a number of mixers above 0".into()),
            Self::Share(text) => {
                let share = text.strip_suffix('%').and_then(|number| number.trim().parse::<f64>().ok());
                let share = share.filter(|share| *share > 0.0 && *share <= 100.0);
                share
                    .map(|share| StageSize::Share(share / 100.0))
                    .ok_or_else(|| format!("{text:?} is not a share such as \"25%\""))
            }
        }
    }
}

/// Deserializes a duration such as "250ms" or "2s".
pub(crate) fn deserialize_span<'de, D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
    let text = String::deserialize(from)?;
    let time = humantime::parse_duration(&text);
    time.map(|time| Span::from_micros(time.as_micros() as u64)).map_err(|_| {
        serde::de::Error::custom(format!("{text:?} is not a duration such as \"250ms\" or \"2s\""))
    })
}
