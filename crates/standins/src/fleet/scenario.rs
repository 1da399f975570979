//! A scenario: the fleet, its load, and which faults occur when. Read from a JSON5 file, which must be valid
//! as a whole. The keys of the file are the names of the fields.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Deserializer};
use std::fmt;
use std::time::Duration;

/// A whole scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long new scans arrive. Scans still open at the end are waited for.
    #[serde(deserialize_with = "time")]
    pub lasts: Duration,
    /// The mixers.
    pub mixers: Mixers,
    /// The searchers.
    pub searchers: Searchers,
    /// The traffic types.
    pub types: Vec<TrafficType>,
    /// How clients retry.
    #[serde(default)]
    pub clients: Clients,
    /// The retry budget that the checker applies.
    #[serde(default)]
    pub budget: Budget,
    /// The faults.
    #[serde(default)]
    pub troubles: Vec<Fault>,
}

/// The mixers of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mixers {
    /// How many there are.
    pub count: usize,
    /// The fleet size in their configuration, if it is to be wrong.
    pub told: Option<f64>,
    /// The share of all scans that the first mixer receives; the others share the rest evenly.
    pub first: Option<f64>,
}

/// The searchers of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Searchers {
    /// Number of cells.
    pub cells: u32,
    /// Searchers in each cell.
    pub replicas: u32,
    /// Shards held by each cell.
    #[serde(default = "four")]
    pub shards_per_cell: u32,
    /// Parts that a searcher works on at the same time.
    #[serde(default = "two")]
    pub cores: usize,
    /// Parts that may wait; further ones are rejected.
    #[serde(default = "twenty")]
    pub queue: usize,
    /// The share of its full speed with which a searcher starts.
    #[serde(default = "third")]
    pub cold_from: f64,
    /// How long a started searcher takes to reach full speed.
    #[serde(default = "six", deserialize_with = "time")]
    pub cold: Duration,
    /// A cold searcher collapses when the work it receives during `fall` exceeds its capacity by this factor.
    #[serde(default = "multiple")]
    pub fall_multiple: f64,
    /// The window over which `fall_multiple` is measured.
    #[serde(default = "fall", deserialize_with = "time")]
    pub fall: Duration,
    /// Work of a core for each new connection.
    #[serde(default = "handshake", deserialize_with = "time")]
    pub handshake: Duration,
    /// The shortest and longest delay after which discovery reports a change.
    #[serde(default = "notice", deserialize_with = "times")]
    pub notice: (Duration, Duration),
    /// How long a mixer may still send to a searcher after discovery reported that it drains.
    #[serde(default = "grace", deserialize_with = "time")]
    pub drain_grace: Duration,
}

/// A traffic type.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficType {
    /// Its name, which is also the path of its requests.
    pub name: String,
    /// First tries per second, over all mixers.
    pub rate: f64,
    /// Parts in each scan.
    pub parts: usize,
    /// Mean time of a core that a part takes.
    #[serde(deserialize_with = "time")]
    pub work: Duration,
    /// Standard deviation of that time, as a share of the mean.
    #[serde(default = "spread")]
    pub spread: f64,
    /// The target latency: a scan served within it earns its credit.
    #[serde(deserialize_with = "time")]
    pub quoted: Duration,
    /// How long a client waits in all, over its tries.
    #[serde(deserialize_with = "time")]
    pub abandon: Duration,
    /// The value of one served scan.
    #[serde(default = "one")]
    pub credit: f64,
    /// Whether a part may be sent again.
    pub repeat: Idempotency,
    /// How long searchers remember an idempotency key, for types that use one.
    #[serde(default, deserialize_with = "time")]
    pub window: Duration,
    /// The least share of a scan's parts with which it may be answered.
    #[serde(default = "one")]
    pub floor: f64,
}

/// Whether a part may be sent to more than one searcher.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub enum Idempotency {
    /// It may be repeated at any time.
    #[serde(rename = "redoable")]
    Idempotent,
    /// Repeats are recognized by their idempotency key, for a limited time.
    #[serde(rename = "labelled")]
    ByKey,
    /// It must not be repeated once it may have run.
    #[serde(rename = "irreversible")]
    NonIdempotent,
}

/// How clients retry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Tries per scan, the first one included.
    pub tries: usize,
    /// How long a client waits before a retry if no `Retry-After` states it.
    #[serde(deserialize_with = "time")]
    pub backoff: Duration,
    /// The share of clients that obey `Retry-After`.
    pub honour: f64,
}

/// The retry budget of rule 6, for each mixer and for the whole fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// Retries allowed as a share of the scans and parts received within `window`.
    pub share: f64,
    /// Retries allowed within `window` beyond that share.
    pub free: f64,
    /// The window over which a mixer's budget is measured.
    #[serde(deserialize_with = "time")]
    pub window: Duration,
    /// Allowed relays per requested part, over all mixers and the whole run.
    pub in_sum: f64,
}

/// A fault, its time and the processes it affects.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    pub what: FaultKind,
    /// When it begins, from the start of the run.
    #[serde(deserialize_with = "time")]
    pub at: Duration,
    /// How long it lasts. At zero it is never undone.
    #[serde(default, deserialize_with = "time")]
    pub lasts: Duration,
    /// The mixers affected.
    #[serde(default)]
    pub mixers: Selection,
    /// The searchers affected.
    #[serde(default)]
    pub searchers: Selection,
    /// The factor of `slow` and `burst`.
    #[serde(default = "one")]
    pub times: f64,
    /// The delay of `lag` and `late-list`.
    #[serde(default, deserialize_with = "time")]
    pub by: Duration,
    /// The share of answers that `lose-answers` drops.
    #[serde(default = "one")]
    pub share: f64,
    /// The traffic type of a `burst`; all types if absent.
    pub of: Option<String>,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Connections are reset, once; new ones can be established.
    Reset,
    /// A network partition: connections stay open and pass nothing either way, and no new one is established.
    Cut,
    /// What mixers write is not read; what searchers write still arrives.
    #[serde(rename = "deaf-there")]
    BlockRequests,
    /// What searchers write does not arrive; what mixers write is still read.
    #[serde(rename = "deaf-back")]
    BlockResponses,
    /// Every answer is delayed by `by`.
    Lag,
    /// A share of the answers is lost.
    LoseAnswers,
    /// Mixers are suspended (SIGSTOP), and resumed after `lasts`.
    Stall,
    /// Mixers are killed (SIGKILL), and restarted without any state after `lasts`.
    Kill,
    /// Mixers receive SIGTERM, and are restarted after `lasts`.
    Term,
    /// Searchers crash, and restart cold after `lasts`.
    Crash,
    /// Searchers are slower by the factor `times`.
    Slow,
    /// Searchers accept work and answer nothing, health probes included.
    Hang,
    /// Searchers reject every part without running it.
    Full,
    /// Discovery reports searchers as draining, and as serving again after `lasts`.
    Drain,
    /// Discovery reports changes later by `by`.
    LateList,
    /// The rate of scans is multiplied by `times`.
    Burst,
}

/// Selects mixers or searchers by index, or a random share of them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Selection {
    /// Those with these indices.
    Indices(Vec<usize>),
    /// A share of all, drawn by the seed.
    Share(f64),
}

impl Default for Selection {
    fn default() -> Self {
        Self::Share(1.0)
    }
}

impl Selection {
    /// The indices selected among `count`.
    pub fn select(&self, count: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
        match self {
            Self::Indices(indices) => indices.clone(),
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
            Self::Indices(indices) => match indices.iter().find(|index| **index >= count) {
                Some(index) => Err(format!("index {index} does not exist, there are {count}")),
                None => Ok(()),
            },
            Self::Share(share) if (0.0..=1.0).contains(share) => Ok(()),
            Self::Share(share) => Err(format!("{share} is not a share from 0 to 1")),
        }
    }
}

/// What is wrong with a scenario file, and at which key.
#[derive(Debug, PartialEq)]
pub struct ScenarioError(pub String);

impl fmt::Display for ScenarioError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl Scenario {
    /// Parses and checks the text of a scenario file.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let mut reader = json5::Deserializer::from_str(text);
        let scenario: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| ScenarioError(format!("{}: {}", error.path(), error.inner())))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let error = |path: String, what: &str| Err(ScenarioError(format!("{path}: {what}")));
        // Each mixer-searcher pair needs a listener and a descriptor for each end of its connections.
        if !(1..=64).contains(&self.mixers.count) {
            return error("mixers.count".into(), "expected 1 to 64");
        }
        if !(1..=256).contains(&self.searcher_count()) {
            return error("searchers".into(), "expected 1 to 256, cells times replicas");
        }
        if self.lasts > Duration::from_secs(900) {
            return error("lasts".into(), "expected 15 minutes at the most");
        }
        for (at, traffic_type) in self.types.iter().enumerate() {
            if traffic_type.parts == 0 || traffic_type.parts > self.shard_count() as usize {
                return error(format!("types[{at}].parts"), "expected 1 to as many as there are shards");
            }
            if traffic_type.work.is_zero()
                || traffic_type.rate < 0.0
                || traffic_type.quoted > traffic_type.abandon
            {
                return error(
                    format!("types[{at}]"),
                    "expected some work, and a quoted time within the abandon time",
                );
            }
        }
        for (at, fault) in self.troubles.iter().enumerate() {
            let path = |key: &str| format!("troubles[{at}].{key}");
            let with_path = |result: Result<(), String>, key| {
                result.map_err(|what| ScenarioError(format!("{}: {what}", path(key))))
            };
            with_path(fault.mixers.check(self.mixers.count), "mixers")?;
            with_path(fault.searchers.check(self.searcher_count()), "searchers")?;
            let exists = |name: &String| self.types.iter().any(|traffic_type| traffic_type.name == *name);
            if fault.of.as_ref().is_some_and(|name| !exists(name)) {
                return error(path("of"), "there is no such traffic type");
            }
        }
        Ok(())
    }

    /// Number of shards.
    pub fn shard_count(&self) -> u32 {
        self.searchers.cells * self.searchers.shards_per_cell
    }

    /// Number of searchers.
    pub fn searcher_count(&self) -> usize {
        (self.searchers.cells * self.searchers.replicas) as usize
    }

    /// The cell that a searcher belongs to.
    pub fn cell(&self, searcher: usize) -> u32 {
        searcher as u32 / self.searchers.replicas
    }

    /// The offered work over the capacity of all searchers, without faults and retries.
    pub fn load(&self) -> f64 {
        let offered = |traffic_type: &TrafficType| {
            traffic_type.rate * traffic_type.parts as f64 * traffic_type.work.as_secs_f64()
        };
        self.types.iter().map(offered).sum::<f64>() / (self.searcher_count() * self.searchers.cores) as f64
    }

    /// The same scenario with its rates scaled to a given load.
    pub fn with_load(&self, load: f64) -> Self {
        let factor = load / self.load();
        let mut scenario = self.clone();
        scenario.types.iter_mut().for_each(|traffic_type| traffic_type.rate *= factor);
        scenario
    }

    /// The first try of every scan, in order of time.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let lasts = self.lasts.as_secs_f64();
        let mut all = Vec::new();
        for (index, traffic_type) in self.types.iter().enumerate() {
            let highest_rate =
                traffic_type.rate * self.bursts(traffic_type).map(|burst| burst.times).fold(1.0, f64::max);
            if highest_rate <= 0.0 {
                continue;
            }
            let mut at = 0.0;
            // Poisson arrivals by thinning: draw at the highest rate, and keep each with the ratio of the
            // current rate to the highest one.
            loop {
                at -= (1.0 - rng.random::<f64>()).ln() / highest_rate;
                if at >= lasts {
                    break;
                }
                let during = |burst: &&Fault| {
                    let begins = burst.at.as_secs_f64();
                    (begins..begins + burst.lasts.as_secs_f64()).contains(&at)
                };
                let rate = traffic_type.rate
                    * self.bursts(traffic_type).filter(during).map(|burst| burst.times).product::<f64>();
                let (mixer, first_shard) =
                    (self.choose_mixer(&mut rng), rng.random_range(0..self.shard_count()));
                if rng.random::<f64>() * highest_rate < rate {
                    all.push(Arrival {
                        at: Duration::from_secs_f64(at),
                        mixer,
                        traffic_type: index,
                        first_shard,
                    });
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

    /// Draws the mixer that a scan goes to.
    pub fn choose_mixer(&self, rng: &mut Pcg64Mcg) -> usize {
        let count = self.mixers.count;
        match self.mixers.first {
            Some(share) if count > 1 && !rng.random_bool(share.clamp(0.0, 1.0)) => rng.random_range(1..count),
            Some(_) => 0,
            None => rng.random_range(0..count),
        }
    }
}

/// The first try of a scan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// The index of the mixer that receives it.
    pub mixer: usize,
    /// The index of its traffic type.
    pub traffic_type: usize,
    /// The first of its shards, which are consecutive.
    pub first_shard: u32,
}

impl Default for Clients {
    fn default() -> Self {
        Self { tries: 3, backoff: Duration::from_millis(200), honour: 0.7 }
    }
}

/// The defaults of the mixer module.
impl Default for Budget {
    fn default() -> Self {
        Self { share: 0.2, free: 20.0, window: Duration::from_secs(10), in_sum: 1.2 }
    }
}

/// Parses a duration such as "250ms" or "2s".
fn time<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    parse_duration(&String::deserialize(from)?)
}

/// Parses a pair of durations.
fn times<'de, D: Deserializer<'de>>(from: D) -> Result<(Duration, Duration), D::Error> {
    let (least, most) = <(String, String)>::deserialize(from)?;
    Ok((parse_duration(&least)?, parse_duration(&most)?))
}

fn parse_duration<E: serde::de::Error>(text: &str) -> Result<Duration, E> {
    humantime::parse_duration(text)
        .map_err(|_| E::custom(format!("{text:?} is not a duration such as \"250ms\" or \"2s\"")))
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
