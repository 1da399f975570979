//! The operator's plan of a change, from JSON5, whole or not at all.

use crate::course::{steps, Course, Means, Size};
use crate::judge::Scales;
use crate::told::Makes;
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
    #[serde(default)]
    pub by: Means,
    /// How much of each zone is new after each stage, as a number of mixers or a share like "25%".
    pub stages: Vec<Stage>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub compare: Scales,
    /// In place of children of the conductor's own.
    pub commands: Option<Commands>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mixer {
    pub name: String,
    pub zone: String,
    /// Where it listens, and tells its figures.
    pub at: SocketAddr,
    /// What it is started with, beside the program: the platform's orders.
    #[serde(default)]
    pub orders: PathBuf,
    /// Its operator's file, which a change of settings replaces.
    pub operator: Option<PathBuf>,
}

/// What a mixer is to run.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Build {
    pub program: PathBuf,
    /// The program that it ends up as, where `program` starts that: its digest is what a mixer tells.
    pub told_as: Option<PathBuf>,
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
    pub most_away: usize,
    pub undo_away: usize,
    #[serde(deserialize_with = "span")]
    pub stop_within: Span,
    #[serde(deserialize_with = "span")]
    pub ready_within: Span,
    #[serde(deserialize_with = "span")]
    pub return_within: Span,
    #[serde(deserialize_with = "span")]
    pub unheard_within: Span,
    #[serde(deserialize_with = "span")]
    pub settle: Span,
    #[serde(deserialize_with = "span")]
    pub patience: Span,
    pub memory_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        let span = Span::from_millis;
        Self {
            most_away: 1,
            undo_away: 2,
            stop_within: span(20_000),
            ready_within: span(20_000),
            return_within: span(10_000),
            unheard_within: span(5_000),
            settle: span(10_000),
            patience: span(900_000),
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
    pub hand: Option<Vec<String>>,
}

/// What is wrong with a plan, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong(pub String);

impl fmt::Display for Wrong {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl Plan {
    pub fn read(text: &str) -> Result<Self, Wrong> {
        let mut reader = json5::Deserializer::from_str(text);
        let plan: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| Wrong(format!("{}: {}", error.path(), error.inner())))?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), Wrong> {
        let wrong = |what: String| Err(Wrong(what));
        if self.mixers.is_empty() || self.mixers.len() > 4_096 {
            return wrong("mixers: expected 1 to 4096".into());
        }
        for (at, mixer) in self.mixers.iter().enumerate() {
            let same = |other: &Mixer| other.name == mixer.name || other.at == mixer.at;
            if self.mixers[..at].iter().any(same) {
                return wrong(format!("mixers[{at}]: another has its name or its address"));
            }
            if self.by == Means::Hand && mixer.operator.is_none() {
                return wrong(format!(
                    "mixers[{at}].operator: a change of settings needs the file that it reads"
                ));
            }
        }
        if self.by == Means::Hand && (self.new.operator.is_none() || self.old.program != self.new.program) {
            return wrong("new: by \"hup\" the settings change, and nothing else".into());
        }
        if self.by == Means::Hand && self.commands.as_ref().is_some_and(|commands| commands.hand.is_none()) {
            return wrong("commands.hand: expected, by \"hup\"".into());
        }
        if self.stages.is_empty() {
            return wrong("stages: expected one at least".into());
        }
        for (at, stage) in self.stages.iter().enumerate() {
            stage.size().map_err(|what| Wrong(format!("stages[{at}]: {what}")))?;
        }
        let count = self.mixers.len();
        let Limits { most_away, undo_away, .. } = self.limits;
        if most_away == 0 || undo_away == 0 || (count > 1 && most_away.max(undo_away) >= count) {
            return wrong(format!(
                "limits: most_away and undo_away are 1 to {}, never all",
                count.max(2) - 1
            ));
        }
        let shares = [
            self.compare.lost,
            self.compare.slower,
            self.compare.fall,
            self.compare.false_stop,
            self.compare.missed,
        ];
        if shares.iter().any(|share| !(0.000_1..0.5).contains(share)) {
            return wrong("compare: each share is from 0.0001 to 0.5".into());
        }
        Ok(())
    }

    /// The way of the change, between what the two sides make of a mixer.
    pub fn course(&self, old: Makes, new: Makes) -> Result<Course, Wrong> {
        if old == new {
            return Err(Wrong("old and new are the same: nothing would change".into()));
        }
        let zones: Vec<String> = self.mixers.iter().map(|mixer| mixer.zone.clone()).collect();
        let sizes: Result<Vec<Size>, String> = self.stages.iter().map(Stage::size).collect();
        let limits = &self.limits;
        Ok(Course {
            names: self.mixers.iter().map(|mixer| mixer.name.clone()).collect(),
            steps: steps(&zones, &sizes.map_err(Wrong)?),
            zones,
            old,
            new,
            means: self.by,
            most_away: limits.most_away,
            undo_away: limits.undo_away,
            stop_within: limits.stop_within,
            ready_within: limits.ready_within,
            return_within: limits.return_within,
            unheard_within: limits.unheard_within,
            settle: limits.settle,
            patience: limits.patience,
            memory: limits.memory_mb << 20,
        })
    }
}

impl Stage {
    fn size(&self) -> Result<Size, String> {
        match self {
            Self::Count(count) if *count > 0 => Ok(Size::Count(*count)),
            Self::Count(_) => Err("expected a number above 0".into()),
            Self::Share(text) => {
                let share = text.strip_suffix('%').and_then(|number| number.trim().parse::<f64>().ok());
                let share = share.filter(|share| *share > 0.0 && *share <= 100.0);
                share
                    .map(|share| Size::Share(share / 100.0))
                    .ok_or_else(|| format!("{text:?} is no share such as \"25%\""))
            }
        }
    }
}

/// A length of time as it is said: "250ms", "2s".
pub(crate) fn span<'de, D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
    let text = String::deserialize(from)?;
    let time = humantime::parse_duration(&text);
    time.map(|time| Span::from_micros(time.as_micros() as u64))
        .map_err(|_| serde::de::Error::custom(format!("{text:?} is no time such as \"250ms\" or \"2s\"")))
}
