//! The settings that a mixer gets at its start, as `path=value` lines, and the mixer's components built from
//! them.

use fernglade::choice::Mixer;
use fernglade::load_shedding::LoadShedding;
use fernglade::replicas::ReplicaTable;
use fernglade::retry_budget::RetryBudget;
use fernglade::slow_start::SlowStart;
use fernglade::{Idempotency, Span, TrafficType};
use std::collections::BTreeMap;
use std::fmt;

/// Describes a setting that cannot be used, with its path.
#[derive(Debug, PartialEq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Settings by path, unparsed.
pub struct Settings(BTreeMap<String, String>);

impl Settings {
    /// Parses `path=value` lines; empty lines are skipped.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsError> {
        let text =
            std::str::from_utf8(text).map_err(|e| SettingsError(format!("settings: not text: {e}")))?;
        let lines = text.lines().filter(|line| !line.is_empty());
        let pair = |line: &str| {
            let no_value = || SettingsError(format!("settings: a line without a value: {line:.60}"));
            line.split_once('=').map(|(path, value)| (path.into(), value.into())).ok_or_else(no_value)
        };
        Ok(Self(lines.map(pair).collect::<Result<_, _>>()?))
    }

    /// Settings from paths and values of the same form that were read elsewhere.
    pub fn from_pairs(pairs: BTreeMap<String, String>) -> Self {
        Self(pairs)
    }

    /// The number at `path`, or `default` if it is missing or empty.
    pub fn number(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        self.0.get(path).filter(|v| !v.is_empty()).map_or(Ok(default), |v| parse_number(path, v))
    }

    /// Refuses a missing, zero or negative number, for settings that have no sensible default.
    pub fn require_positive(&self, path: &str) -> Result<(), SettingsError> {
        let is_positive = self.number(path, 0.0)? > 0.0;
        is_positive
            .then_some(())
            .ok_or_else(|| SettingsError(format!("settings: {path}: a number above 0 has to be stated")))
    }

    /// The time at `path`, stated in microseconds; zero if it is missing.
    pub fn span(&self, path: &str) -> Result<Span, SettingsError> {
        Ok(Span::from_micros(self.number(path, 0.0)? as u64))
    }

    /// The mixer's own zone if traffic to other zones has a cost, otherwise `None`.
    pub fn home_zone(&self) -> Result<Option<u8>, SettingsError> {
        let (cost, zone) = (self.number("deductions.cross_zone", 0.0)?, self.number("zone", 0.0)?);
        Ok((cost > 0.0).then_some(zone as u8))
    }

    /// Whether the value at `path` is `true`.
    pub fn is_true(&self, path: &str) -> bool {
        self.equals(path, "true")
    }

    /// Whether the value at `path` is `expected`.
    pub fn equals(&self, path: &str, expected: &str) -> bool {
        self.0.get(path).is_some_and(|value| value == expected)
    }

    /// The names of the objects in a list, in order.
    pub fn object_names(&self, path: &str) -> Result<Vec<String>, SettingsError> {
        let name = |i| self.0.get(&format!("{path}.{i}.name")).cloned().unwrap_or_default();
        Ok((0..self.object_count(path)?).map(name).collect())
    }

    /// The items of a comma-separated list.
    pub fn string_list(&self, path: &str) -> Vec<String> {
        self.0.get(path).into_iter().flat_map(|v| v.split(',')).map(String::from).collect()
    }

    /// The items of a comma-separated list of numbers.
    fn number_list(&self, path: &str) -> Result<Vec<f64>, SettingsError> {
        let values = self.0.get(path).filter(|v| !v.is_empty()).into_iter();
        values.flat_map(|v| v.split(',')).map(|v| parse_number(path, v)).collect()
    }

    /// The length of a list of objects.
    fn object_count(&self, path: &str) -> Result<usize, SettingsError> {
        let count = self.number(&format!("{path}.count"), 0.0)?;
        if count > u16::MAX.into() {
            return Err(SettingsError(format!("settings: {path}.count: {count} is too many")));
        }
        Ok(count as usize)
    }

    /// The traffic types, in the order in which the settings list them.
    pub fn traffic_types(&self) -> Result<Vec<TrafficType>, SettingsError> {
        let (min_coverage_by_type, complete_from_by_type) =
            (self.number_list("family_info.floor_by_class")?, self.number_list("family_info.complete_from")?);
        let fetch_parts = self.number_list("family_info.fetch_parts")?;
        let traffic_type = |i: usize| {
            let path = |name: &str| format!("services.{i}.{name}");
            let complete_from = complete_from_by_type.get(i).copied().unwrap_or(1.0);
            let repeat = self.0.get(&path("repeat")).map(String::as_str);
            let idempotency = match repeat {
                Some("pure") => Idempotency::Idempotent,
                Some("token") => Idempotency::ByKey(self.span(&path("window"))?),
                Some("side_effect") | None => Idempotency::NonIdempotent,
                Some(other) => {
                    return Err(SettingsError(format!(
                        "settings: {}: unknown word {other:.40}",
                        path("repeat")
                    )))
                }
            };
            Ok(TrafficType {
                target_latency: self.span(&path("aim"))?,
                target_per_work: self.number(&path("aim_stretch"), 0.0)?,
                client_timeout: self.span(&path("give_up"))?,
                credit: self.number(&path("points"), 1.0)?,
                late_credit: self.number(&path("late_worth"), 0.0)?,
                idempotency,
                min_coverage: min_coverage_by_type.get(i).copied().unwrap_or(complete_from),
                complete_from,
                has_fetch_step: fetch_parts.get(i).is_some_and(|parts| *parts > 0.0),
            })
        };
        (0..self.object_count("services")?).map(traffic_type).collect()
    }

    /// Builds a mixer from the settings. `seed` makes its random choices reproducible.
    pub fn build_mixer(&self, seed: u64) -> Result<Mixer, SettingsError> {
        let fleet = self.number("fleet_size", 1.0)?.max(1.0);
        let slow_start = SlowStart {
            mixers: fleet,
            initial_share: self.number("invariants.cold_from", 1.0)?,
            warm_up: self.span("invariants.cold")?,
            overload_factor: self.number("invariants.fall_multiple", 1.0)?,
            overload_window: self.span("invariants.fall")?,
        };
        let replicas = ReplicaTable::new(
            seed,
            self.number("family_info.cells", 1.0)? as u32,
            self.number("family_info.width", 1.0)? as u32,
            self.number("family_info.per_call", 1.0)? as usize,
            self.is_true("limits.may_probe"),
            slow_start,
        );
        let idle_timeout = self.span("limits.idle_close")?;
        let replicas =
            if idle_timeout > Span::ZERO { replicas.with_idle_close(idle_timeout) } else { replicas };
        let retry_ratio = self.number("invariants.further_ratio", -1.0)?;
        let free_retries = self.number("invariants.free_resends", 0.0)?;
        let window = self.span("invariants.resend_span")?;
        let has_budget = retry_ratio >= 0.0 && window > Span::ZERO;
        let max_attempts = self.number("limits.attempts_cap", 1.0)? as usize;
        let dial_timeout = self.span("limits.dial_timeout")?;
        let budget =
            RetryBudget::new(max_attempts, has_budget.then_some((free_retries, retry_ratio, window)))
                .with_send_delay(dial_timeout);
        let quota = |i| self.number(&format!("customers.{i}.quota_per_s"), f64::MAX);
        let shedding = LoadShedding::new(
            fleet as usize,
            &(0..self.object_count("customers")?).map(quota).collect::<Result<Vec<_>, _>>()?,
            self.number("over_share_worth", 1.0)?,
            self.equals("worth_by", "work"),
            if self.is_true("limits.retry_after") {
                self.span("limits.max_retry_after")?
            } else {
                Span::ZERO
            },
        );
        let mut mixer = Mixer::new(self.traffic_types()?, replicas, budget, shedding, self.span("tick")?);
        let drain_grace = self.span("invariants.drain_grace")?;
        mixer.pushed_drain_grace = self.equals("discovery", "pushed").then_some(drain_grace);
        Ok(mixer)
    }
}

/// Parses a finite number.
fn parse_number(path: &str, value: &str) -> Result<f64, SettingsError> {
    let number = value.parse().ok().filter(|n: &f64| n.is_finite());
    number.ok_or_else(|| SettingsError(format!("settings: {path}: not a number: {value:.40}")))
}
