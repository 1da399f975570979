//! What a mixer tells of itself, as the conductor reads it: who it is, and its sums by traffic type.

use chrono::DateTime;
use std::collections::BTreeMap;
use std::fmt;

/// What a mixer runs: digests of its program and of the settings that it has taken up.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct BuildDigests {
    pub program: String,
    pub settings: String,
}

/// One life of a mixer's process. A restarted one has another.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Incarnation(pub String);

/// Scans of one traffic type since the mixer began. Each taken one is in exactly one of the other four.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScanCounts {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    /// Given up, and those whose client left before it had its answer.
    pub failed: u64,
    pub open: u64,
    /// Those served, by how long they took at most: seconds, and how many took no longer.
    pub latency_buckets: Vec<(f64, u64)>,
}

impl ScanCounts {
    pub fn is_consistent(&self) -> bool {
        self.taken == self.served + self.refused + self.failed + self.open
    }

    pub fn ended(&self) -> u64 {
        self.served + self.refused + self.failed
    }

    /// How many were served within so long, by the nearest bound that is no shorter.
    pub fn served_within(&self, seconds: f64) -> u64 {
        let bound = self.latency_buckets.iter().find(|(bound, _)| *bound >= seconds * 0.999);
        bound.map_or(self.served, |(_, count)| *count)
    }

    /// The bound under which at least this share of the served lies; none where nothing was served.
    pub fn latency_quantile(&self, share: f64) -> Option<f64> {
        let wanted = (share * self.served as f64).ceil() as u64;
        let found = self.latency_buckets.iter().find(|(_, count)| *count >= wanted.max(1));
        found.map(|(bound, _)| *bound)
    }

    pub fn add(&mut self, other: &ScanCounts) {
        self.taken += other.taken;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.open += other.open;
        if self.latency_buckets.is_empty() {
            self.latency_buckets.clone_from(&other.latency_buckets);
        } else {
            self.latency_buckets
                .iter_mut()
                .zip(&other.latency_buckets)
                .for_each(|(mine, more)| mine.1 += more.1);
        }
    }

    /// What came since `before`, of the same incarnation: nothing of what is lower now than it was.
    pub fn since(&self, before: &ScanCounts) -> ScanCounts {
        let count = |share: &(f64, u64)| {
            let old = before.latency_buckets.iter().find(|(bound, _)| *bound == share.0);
            (share.0, share.1.saturating_sub(old.map_or(0, |(_, count)| *count)))
        };
        ScanCounts {
            taken: self.taken.saturating_sub(before.taken),
            served: self.served.saturating_sub(before.served),
            refused: self.refused.saturating_sub(before.refused),
            failed: self.failed.saturating_sub(before.failed),
            open: self.open,
            latency_buckets: self.latency_buckets.iter().map(count).collect(),
        }
    }
}

/// All that a mixer tells when it is asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsSample {
    pub build: BuildDigests,
    pub version: String,
    pub incarnation: Incarnation,
    pub pid: u32,
    /// It serves, and has not been told to end.
    pub ready: bool,
    /// Bytes resident.
    pub memory_bytes: u64,
    /// Searchers that its list has as ready.
    pub searchers_listed: u64,
    /// Parts relayed, first relays and later ones.
    pub relays: u64,
    /// Its settings file was refused when it was last read.
    pub refused_settings: bool,
    pub types: BTreeMap<String, ScanCounts>,
}

/// What is wrong with what a mixer said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SampleError(pub String);

impl fmt::Display for SampleError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

/// The most that is read of one answer, in bytes, and the most traffic types: a wrong address may say anything.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;
const MAX_TRAFFIC_TYPES: usize = 256;

impl MetricsSample {
    /// From the usual text form, as `GET /figures` has it.
    pub fn parse(text: &str) -> Result<Self, SampleError> {
        // Samples carry no time of their own; the parser's own way would ask the clock.
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let scrape = prometheus_parse::Scrape::parse_at(lines, DateTime::UNIX_EPOCH)
            .map_err(|e| SampleError(e.to_string()))?;
        let mut told = Self::default();
        let mut known = false;
        for sample in scrape.samples {
            let label = |name: &str| sample.labels.get(name).unwrap_or_default().to_owned();
            let number = match sample.value {
                prometheus_parse::Value::Counter(value)
                | prometheus_parse::Value::Gauge(value)
                | prometheus_parse::Value::Untyped(value) => value,
                prometheus_parse::Value::Histogram(ref counts) => {
                    let sums = told.of(label("type"))?;
                    sums.latency_buckets =
                        counts.iter().map(|count| (count.less_than, count.count as u64)).collect();
                    sums.latency_buckets.retain(|(bound, _)| bound.is_finite());
                    continue;
                }
                prometheus_parse::Value::Summary(_) => continue,
            };
            let whole = number.max(0.0) as u64;
            match sample.metric.trim_start_matches("fernglade_").trim_end_matches("_total") {
                "mixer_info" => {
                    known = true;
                    told.build = BuildDigests { program: label("program"), settings: label("settings") };
                    (told.version, told.incarnation) = (label("version"), Incarnation(label("incarnation")));
                    told.pid = label("process").parse().unwrap_or(0);
                }
                "ready" => told.ready = whole == 1,
                "memory_bytes" => told.memory_bytes = whole,
                "searchers_listed" => told.searchers_listed = whole,
                "relays" => told.relays = whole,
                "settings_refused" => told.refused_settings = whole == 1,
                "scans_taken" => told.of(label("type"))?.taken = whole,
                "scans_open" => told.of(label("type"))?.open = whole,
                "scans_ended" => {
                    let sums = told.of(label("type"))?;
                    match label("how").as_str() {
                        "served" => sums.served = whole,
                        "refused" => sums.refused = whole,
                        "failed" => sums.failed = whole,
                        _ => {}
                    }
                }
                _ => {}
            }
        }
        match known && !told.incarnation.0.is_empty() {
            true => Ok(told),
            false => Err(SampleError("it does not say who it is: no fernglade_mixer_info".into())),
        }
    }

    fn of(&mut self, name: String) -> Result<&mut ScanCounts, SampleError> {
        if self.types.len() >= MAX_TRAFFIC_TYPES && !self.types.contains_key(&name) {
            return Err(SampleError(format!("more than {MAX_TRAFFIC_TYPES} traffic types")));
        }
        Ok(self.types.entry(name).or_default())
    }

    /// The traffic type whose sum is wrong, if one is.
    pub fn inconsistent_type(&self) -> Option<&str> {
        self.types.iter().find(|(_, sums)| !sums.is_consistent()).map(|(name, _)| name.as_str())
    }
}
