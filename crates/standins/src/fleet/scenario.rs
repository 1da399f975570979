//! A day: who is there, what is asked, and what goes wrong when. Read from JSON5, whole or not at all.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::time::Duration;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long scans come; what is still open then is waited for.
    #[serde(deserialize_with = "time")]
    pub lasts: Duration,
    pub mixers: Mixers,
    pub searchers: Searchers,
    pub types: Vec<TrafficType>,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub budget: Budget,
    #[serde(default)]
    pub troubles: Vec<Fault>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mixers {
    pub count: usize,
    /// What they are told that their number is, where that is wrong.
    pub told: Option<f64>,
    /// The share of all scans that the first one has; the others have the rest alike.
    pub first: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Searchers {
    pub cells: u32,
    pub replicas: u32,
    #[serde(default = "four")]
    pub shards_per_cell: u32,
    #[serde(default = "two")]
    pub cores: usize,
    /// How many parts may wait; more are turned away.
    #[serde(default = "twenty")]
    pub queue: usize,
    /// The share of its speed that it starts with, and how long it takes to reach all of it.
    #[serde(default = "third")]
    pub cold_from: f64,
    #[serde(default = "six", deserialize_with = "time")]
    pub cold: Duration,
    /// Sent more than so many times what it can do for so long while it is cold, it topples.
    #[serde(default = "multiple")]
    pub fall_multiple: f64,
    #[serde(default = "fall", deserialize_with = "time")]
    pub fall: Duration,
    /// What a new connection costs it.
    #[serde(default = "handshake", deserialize_with = "time")]
    pub handshake: Duration,
    /// How late a change of the list is told, at the earliest and at the latest.
    #[serde(default = "notice", deserialize_with = "times")]
    pub notice: (Duration, Duration),
    /// How long after it is told that a searcher drains a mixer may still send there.
    #[serde(default = "grace", deserialize_with = "time")]
    pub drain_grace: Duration,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficType {
    pub name: String,
    /// First tries a second, of all mixers together.
    pub rate: f64,
    pub parts: usize,
    /// What a part takes of a core: the mean, and the spread about it (a standard deviation, as a share of it).
    #[serde(deserialize_with = "time")]
    pub work: Duration,
    #[serde(default = "spread")]
    pub spread: f64,
    #[serde(deserialize_with = "time")]
    pub quoted: Duration,
    #[serde(deserialize_with = "time")]
    pub abandon: Duration,
    #[serde(default = "one")]
    pub credit: f64,
    pub repeat: Idempotency,
    /// How long a label is known, for labelled ones.
    #[serde(default, deserialize_with = "time")]
    pub window: Duration,
    #[serde(default = "one")]
    pub floor: f64,
}

/// What may happen to a part that is sent twice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub enum Idempotency {
    #[serde(rename = "redoable")]
    Idempotent,
    #[serde(rename = "labelled")]
    ByKey,
    #[serde(rename = "irreversible")]
    NonIdempotent,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often one asks, the first time included.
    pub tries: usize,
    /// How long it waits before it asks again, where it is not told.
    #[serde(deserialize_with = "time")]
    pub backoff: Duration,
    /// The share of them who keep to what they are told.
    pub honour: f64,
}

/// Rule 6, for each mixer, and for all of them together.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    pub share: f64,
    pub free: f64,
    #[serde(deserialize_with = "time")]
    pub window: Duration,
    /// Relays over parts asked, of all mixers over the whole day.
    pub in_sum: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub what: FaultKind,
    #[serde(deserialize_with = "time")]
    pub at: Duration,
    #[serde(default, deserialize_with = "time")]
    pub lasts: Duration,
    #[serde(default)]
    pub mixers: Selection,
    #[serde(default)]
    pub searchers: Selection,
    /// How many times slower, or oftener.
    #[serde(default = "one")]
    pub times: f64,
    #[serde(default, deserialize_with = "time")]
    pub by: Duration,
    /// The share of answers.
    #[serde(default = "one")]
    pub share: f64,
    /// The traffic type that is meant, if not all are.
    pub of: Option<String>,
}

/// What goes wrong, and how it is brought about.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Links are reset, once; new ones come up.
    Reset,
    /// Links stay open and silent both ways, and new ones never come up: a partition of those named.
    Cut,
    /// What mixers write is not read; what searchers write still comes.
    #[serde(rename = "deaf-there")]
    BlockRequests,
    /// What searchers write does not come back.
    #[serde(rename = "deaf-back")]
    BlockResponses,
    /// Every answer takes longer by so much.
    Lag,
    /// A share of the answers never comes.
    LoseAnswers,
    /// Mixers stand still (SIGSTOP), and go on.
    Stall,
    /// Mixers are killed (SIGKILL); after `lasts` they are back with nothing.
    Kill,
    /// Mixers are told to end (SIGTERM); after `lasts` they are back.
    Term,
    /// Searchers die; after `lasts` they are back, cold.
    Crash,
    /// Searchers take so many times as long.
    Slow,
    /// Searchers take work and answer nothing.
    Hang,
    /// Searchers turn every part away, unseen.
    Full,
    /// Searchers are told to be draining, and are ready again after `lasts`.
    Drain,
    /// The list comes later by so much.
    LateList,
    /// So many times the scans come.
    Burst,
}

/// Some of them: a share of all, drawn by the seed, or by number.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Selection {
    Indices(Vec<usize>),
    Share(f64),
}

impl Default for Selection {
    fn default() -> Self {
        Self::Share(1.0)
    }
}

impl Selection {
    pub fn of(&self, count: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
        match self {
            Self::Indices(these) => these.clone(),
            Self::Share(share) => {
                let mut all: Vec<usize> = (0..count).collect();
                all.shuffle(rng);
                all.truncate((share * count as f64).round() as usize);
                all.sort_unstable();
                all
            }
        }
    }

    fn check(&self, count: usize) -> Result<(), String> {
        match self {
            Self::Indices(these) => match these.iter().find(|at| **at >= count) {
                Some(at) => Err(format!("there is no number {at}, {count} are there")),
                None => Ok(()),
            },
            Self::Share(share) if (0.0..=1.0).contains(share) => Ok(()),
            Self::Share(share) => Err(format!("{share} is no share from 0 to 1")),
        }
    }
}

/// What is wrong with a day, and where.
#[derive(Debug, PartialEq)]
pub struct ScenarioError(pub String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl Scenario {
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let mut reader = json5::Deserializer::from_str(text);
        let day: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| ScenarioError(format!("{}: {}", error.path(), error.inner())))?;
        day.check()?;
        Ok(day)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let wrong = |place: String, what: &str| Err(ScenarioError(format!("{place}: {what}")));
        // An address of loopback's for each pair, and a descriptor for each end, have to be there.
        if !(1..=64).contains(&self.mixers.count) {
            return wrong("mixers.count".into(), "expected 1 to 64");
        }
        if !(1..=256).contains(&self.searcher_count()) {
            return wrong("searchers".into(), "expected 1 to 256, cells times replicas");
        }
        if self.lasts > Duration::from_secs(900) {
            return wrong("lasts".into(), "expected 15 minutes at the most");
        }
        for (at, traffic_type) in self.types.iter().enumerate() {
            if traffic_type.parts == 0 || traffic_type.parts > self.shard_count() as usize {
                return wrong(format!("types[{at}].parts"), "expected 1 to as many as there are shards");
            }
            if traffic_type.work.is_zero()
                || traffic_type.rate < 0.0
                || traffic_type.quoted > traffic_type.abandon
            {
                return wrong(
                    format!("types[{at}]"),
                    "expected some work, and a quoted time within the abandon time",
                );
            }
        }
        for (at, fault) in self.troubles.iter().enumerate() {
            let place = |key: &str| format!("troubles[{at}].{key}");
            let within = |what: Result<(), String>, key| {
                what.map_err(|what| ScenarioError(format!("{}: {what}", place(key))))
            };
            within(fault.mixers.check(self.mixers.count), "mixers")?;
            within(fault.searchers.check(self.searcher_count()), "searchers")?;
            let known = |name: &String| self.types.iter().any(|traffic_type| traffic_type.name == *name);
            if fault.of.as_ref().is_some_and(|name| !known(name)) {
                return wrong(place("of"), "there is no such traffic type");
            }
        }
        Ok(())
    }

    pub fn shard_count(&self) -> u32 {
        self.searchers.cells * self.searchers.shards_per_cell
    }

    /// How many searchers there are.
    pub fn searcher_count(&self) -> usize {
        (self.searchers.cells * self.searchers.replicas) as usize
    }

    pub fn cell(&self, searcher: usize) -> u32 {
        searcher as u32 / self.searchers.replicas
    }

    /// The work that comes a second over the work that can be done, with everybody well and no scan coming again.
    pub fn load(&self) -> f64 {
        let asked = |traffic_type: &TrafficType| {
            traffic_type.rate * traffic_type.parts as f64 * traffic_type.work.as_secs_f64()
        };
        self.types.iter().map(asked).sum::<f64>() / (self.searcher_count() * self.searchers.cores) as f64
    }

    /// The same day with so much load in place of its own.
    pub fn with_load(&self, load: f64) -> Self {
        let times = load / self.load();
        let mut day = self.clone();
        day.types.iter_mut().for_each(|traffic_type| traffic_type.rate *= times);
        day
    }

    /// Every first try of the day, in order: when, at which mixer, of which traffic type, from which shard on.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let lasts = self.lasts.as_secs_f64();
        let mut all = Vec::new();
        for (traffic_type, told) in self.types.iter().enumerate() {
            let most = told.rate * self.bursts(told).map(|burst| burst.times).fold(1.0, f64::max);
            if most <= 0.0 {
                continue;
            }
            let mut at = 0.0;
            // Thinned from the highest rate: as many of the draws hold as the rate at that time asks for.
            loop {
                at -= (1.0 - rng.random::<f64>()).ln() / most;
                if at >= lasts {
                    break;
                }
                let during = |burst: &&Fault| {
                    let begins = burst.at.as_secs_f64();
                    (begins..begins + burst.lasts.as_secs_f64()).contains(&at)
                };
                let rate =
                    told.rate * self.bursts(told).filter(during).map(|burst| burst.times).product::<f64>();
                let (mixer, first) = (self.mixer(&mut rng), rng.random_range(0..self.shard_count()));
                if rng.random::<f64>() * most < rate {
                    all.push(Arrival { at: Duration::from_secs_f64(at), mixer, traffic_type, first });
                }
            }
        }
        all.sort_by_key(|arrival| arrival.at);
        all
    }

    fn bursts<'a>(&'a self, traffic_type: &'a TrafficType) -> impl Iterator<Item = &'a Fault> {
        let bursts = self.troubles.iter().filter(|fault| fault.what == FaultKind::Burst);
        bursts.filter(|fault| fault.of.as_ref().is_none_or(|name| *name == traffic_type.name))
    }

    pub fn mixer(&self, rng: &mut Pcg64Mcg) -> usize {
        let count = self.mixers.count;
        match self.mixers.first {
            Some(share) if count > 1 && !rng.random_bool(share.clamp(0.0, 1.0)) => rng.random_range(1..count),
            Some(_) => 0,
            None => rng.random_range(0..count),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: Duration,
    pub mixer: usize,
    pub traffic_type: usize,
    pub first: u32,
}

impl Default for Clients {
    fn default() -> Self {
        Self { tries: 3, backoff: Duration::from_millis(200), honour: 0.7 }
    }
}

/// The module's own figures, where a deployment states none.
impl Default for Budget {
    fn default() -> Self {
        Self { share: 0.2, free: 20.0, window: Duration::from_secs(10), in_sum: 1.2 }
    }
}

/// A length of time as it is said: "250ms", "2s".
fn time<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    said(&String::deserialize(from)?)
}

fn times<'de, D: Deserializer<'de>>(from: D) -> Result<(Duration, Duration), D::Error> {
    let (least, most) = <(String, String)>::deserialize(from)?;
    Ok((said(&least)?, said(&most)?))
}

fn said<E: serde::de::Error>(text: &str) -> Result<Duration, E> {
    humantime::parse_duration(text)
        .map_err(|_| E::custom(format!("{text:?} is no time such as \"250ms\" or \"2s\"")))
}

fn one() -> f64 {
    1.0
}
fn two() -> usize {
    2
}
fn four() -> u32 {
    4
}
fn twenty() -> usize {
    20
}
fn third() -> f64 {
    1.0 / 3.0
}
fn six() -> Duration {
    Duration::from_secs(6)
}
fn multiple() -> f64 {
    2.5
}
fn fall() -> Duration {
    Duration::from_secs(2)
}
fn handshake() -> Duration {
    Duration::from_micros(500)
}
fn notice() -> (Duration, Duration) {
    (Duration::from_millis(100), Duration::from_millis(600))
}
fn grace() -> Duration {
    Duration::from_millis(250)
}
fn spread() -> f64 {
    0.4
}
