//! The metrics of one mixer as the conductor scrapes them: identity, health, and scan counts by traffic type.

use chrono::DateTime;
use std::collections::BTreeMap;
use std::fmt;

/// Identifies what a mixer runs: digests of its program and of the settings in force.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct BuildDigests {
    pub program: String,
    pub settings: String,
}

/// Identifies one run of a mixer's process; it changes with each restart.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Incarnation(pub String);

/// Scans of one traffic type since the mixer started. Each scan taken is in exactly one of the other four
/// counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScanCounts {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    /// Abandoned by the mixer, or by the client before it had its answer.
    pub failed: u64,
    pub open: u64,
    /// Cumulative latency histogram of the served scans: upper bound in seconds, and number of scans within
    /// it.
    pub latency_buckets: Vec<(f64, u64)>,
}

impl ScanCounts {
    /// Whether every scan taken is accounted for.
    pub fn is_consistent(&self) -> bool {
        self.taken == self.served + self.refused + self.failed + self.open
    }

    /// The number of completed scans, with any outcome.
    pub fn ended(&self) -> u64 {
        self.served + self.refused + self.failed
    }

    /// The number of scans served within this time, taken at the smallest bucket bound that is not below it.
    pub fn served_within(&self, seconds: f64) -> u64 {
        let bound = self.latency_buckets.iter().find(|(bound, _)| *bound >= seconds * 0.999);
        bound.map_or(self.served, |(_, count)| *count)
    }

    /// The smallest bucket bound that covers at least this share of the served scans; none if nothing was
    /// served.
    pub fn latency_quantile(&self, share: f64) -> Option<f64> {
        let wanted = (share * self.served as f64).ceil() as u64;
        let found = self.latency_buckets.iter().find(|(_, count)| *count >= wanted.max(1));
        found.map(|(bound, _)| *bound)
    }

    /// Adds the counts of another mixer or interval.
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
                .for_each(|(own, more)| own.1 += more.1);
        }
    }

    /// The increase since `before`, a sample of the same incarnation. A count that has fallen gives zero.
    pub fn since(&self, before: &ScanCounts) -> ScanCounts {
        let since_before = |bucket: &(f64, u64)| {
            let old = before.latency_buckets.iter().find(|(bound, _)| *bound == bucket.0);
            (bucket.0, bucket.1.saturating_sub(old.map_or(0, |(_, count)| *count)))
        };
        ScanCounts {
            taken: self.taken.saturating_sub(before.taken),
            served: self.served.saturating_sub(before.served),
            refused: self.refused.saturating_sub(before.refused),
            failed: self.failed.saturating_sub(before.failed),
            open: self.open,
            latency_buckets: self.latency_buckets.iter().map(since_before).collect(),
        }
    }
}

/// All metrics of one scrape that the conductor uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsSample {
    pub build: BuildDigests,
    pub version: String,
    pub incarnation: Incarnation,
    pub pid: u32,
    /// It serves and is not shutting down.
    pub ready: bool,
    /// Resident memory.
    pub memory_bytes: u64,
    /// Ready searchers on its list.
    pub searchers_listed: u64,
    /// Relays sent, including repeated ones.
    pub relays: u64,
    /// The settings file was rejected when it was last read.
    pub refused_settings: bool,
    pub types: BTreeMap<String, ScanCounts>,
}

/// Why a mixer's metrics could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SampleError(pub String);

impl fmt::Display for SampleError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

/// Limit of a response in bytes. A wrong address may return anything.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Limit of traffic types in one response.
const MAX_TRAFFIC_TYPES: usize = 256;

impl MetricsSample {
    /// Parses the Prometheus text format of `GET /figures`.
    pub fn parse(text: &str) -> Result<Self, SampleError> {
        // The samples have no timestamps, and the parser would otherwise read the clock.
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let scrape = prometheus_parse::Scrape::parse_at(lines, DateTime::UNIX_EPOCH)
            .map_err(|e| SampleError(e.to_string()))?;
        let mut metrics = Self::default();
        let mut identified = false;
        for sample in scrape.samples {
            let label = |name: &str| sample.labels.get(name).unwrap_or_default().to_owned();
            let number = match sample.value {
                prometheus_parse::Value::Counter(value)
                | prometheus_parse::Value::Gauge(value)
                | prometheus_parse::Value::Untyped(value) => value,
                prometheus_parse::Value::Histogram(ref buckets) => {
                    let counts = metrics.counts_mut(label("type"))?;
                    counts.latency_buckets =
                        buckets.iter().map(|bucket| (bucket.less_than, bucket.count as u64)).collect();
                    counts.latency_buckets.retain(|(bound, _)| bound.is_finite());
                    continue;
                }
                prometheus_parse::Value::Summary(_) => continue,
            };
            let integer = number.max(0.0) as u64;
            match sample.metric.trim_start_matches("fernglade_").trim_end_matches("_total") {
                "mixer_info" => {
                    identified = true;
                    metrics.build = BuildDigests { program: label("program"), settings: label("settings") };
                    (metrics.version, metrics.incarnation) =
                        (label("version"), Incarnation(label("incarnation")));
                    metrics.pid = label("process").parse().unwrap_or(0);
                }
                "ready" => metrics.ready = integer == 1,
                "memory_bytes" => metrics.memory_bytes = integer,
                "searchers_listed" => metrics.searchers_listed = integer,
                "relays" => metrics.relays = integer,
                "settings_refused" => metrics.refused_settings = integer == 1,
                "scans_taken" => metrics.counts_mut(label("type"))?.taken = integer,
                "scans_open" => metrics.counts_mut(label("type"))?.open = integer,
                "scans_ended" => {
                    let counts = metrics.counts_mut(label("type"))?;
                    match label("how").as_str() {
                        "served" => counts.served = integer,
                        "refused" => counts.refused = integer,
                        "failed" => counts.failed = integer,
                        _ => {}
                    }
                }
                _ => {}
            }
        }
        match identified && !metrics.incarnation.0.is_empty() {
            true => Ok(metrics),
            false => Err(SampleError("it does not say who it is: no fernglade_mixer_info".into())),
        }
    }

    /// The counts of a traffic type, added if missing.
    fn counts_mut(&mut self, name: String) -> Result<&mut ScanCounts, SampleError> {
        if self.types.len() >= MAX_TRAFFIC_TYPES && !self.types.contains_key(&name) {
            return Err(SampleError(format!("more than {MAX_TRAFFIC_TYPES} traffic types")));
        }
        Ok(self.types.entry(name).or_default())
    }

    /// A traffic type whose scan counts do not add up, if any.
    pub fn inconsistent_type(&self) -> Option<&str> {
        self.types.iter().find(|(_, counts)| !counts.is_consistent()).map(|(name, _)| name.as_str())
    }
}
