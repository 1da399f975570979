//! What an instance is told at its start: `path=value` lines, and the parts of the mixer made from them.

use fernglade::choice::Mixer;
use fernglade::load_shedding::LoadShedding;
use fernglade::replicas::ReplicaTable;
use fernglade::retry_budget::RetryBudget;
use fernglade::slow_start::SlowStart;
use fernglade::{Idempotency, Span, TrafficType};
use std::collections::BTreeMap;
use std::fmt;

/// What in the readings can't be used, and where it stands.
#[derive(Debug, PartialEq)]
pub struct Misread(pub String);

impl fmt::Display for Misread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

pub struct Readings(BTreeMap<String, String>);

impl Readings {
    /// From `path=value` lines.
    pub fn parse(text: &[u8]) -> Result<Self, Misread> {
        let text = std::str::from_utf8(text).map_err(|e| Misread(format!("settings: not text: {e}")))?;
        let lines = text.lines().filter(|line| !line.is_empty());
        let pair = |line: &str| {
            let no_value = || Misread(format!("settings: a line without a value: {line:.60}"));
            line.split_once('=').map(|(path, value)| (path.into(), value.into())).ok_or_else(no_value)
        };
        Ok(Self(lines.map(pair).collect::<Result<_, _>>()?))
    }

    /// From paths and values that were read elsewhere, in the same form.
    pub fn of(pairs: BTreeMap<String, String>) -> Self {
        Self(pairs)
    }

    pub fn number(&self, path: &str, absent: f64) -> Result<f64, Misread> {
        self.0.get(path).filter(|v| !v.is_empty()).map_or(Ok(absent), |v| decimal(path, v))
    }

    /// What nothing sensible stands in for, where it is missing: a number above nothing.
    pub fn must_state(&self, path: &str) -> Result<(), Misread> {
        let stated = self.number(path, 0.0)? > 0.0;
        stated
            .then_some(())
            .ok_or_else(|| Misread(format!("settings: {path}: a number above 0 has to be stated")))
    }

    pub fn span(&self, path: &str) -> Result<Span, Misread> {
        Ok(Span::from_micros(self.number(path, 0.0)? as u64))
    }

    /// The own zone, where crossing to others has a price.
    pub fn dear_outside(&self) -> Result<Option<u8>, Misread> {
        let (price, zone) = (self.number("deductions.cross_zone", 0.0)?, self.number("zone", 0.0)?);
        Ok((price > 0.0).then_some(zone as u8))
    }

    pub fn yes(&self, path: &str) -> bool {
        self.says(path, "true")
    }

    pub fn says(&self, path: &str, word: &str) -> bool {
        self.0.get(path).is_some_and(|value| value == word)
    }

    /// The names of a list of objects, in its order.
    pub fn names(&self, path: &str) -> Result<Vec<String>, Misread> {
        let name = |i| self.0.get(&format!("{path}.{i}.name")).cloned().unwrap_or_default();
        Ok((0..self.count(path)?).map(name).collect())
    }

    /// A list of plain words.
    pub fn words(&self, path: &str) -> Vec<String> {
        self.0.get(path).into_iter().flat_map(|v| v.split(',')).map(String::from).collect()
    }

    fn list(&self, path: &str) -> Result<Vec<f64>, Misread> {
        let values = self.0.get(path).filter(|v| !v.is_empty()).into_iter();
        values.flat_map(|v| v.split(',')).map(|v| decimal(path, v)).collect()
    }

    fn count(&self, path: &str) -> Result<usize, Misread> {
        let count = self.number(&format!("{path}.count"), 0.0)?;
        if count > u16::MAX.into() {
            return Err(Misread(format!("settings: {path}.count: {count} is too many")));
        }
        Ok(count as usize)
    }

    pub fn traffic_types(&self) -> Result<Vec<TrafficType>, Misread> {
        let (floors, wholes) =
            (self.list("family_info.floor_by_class")?, self.list("family_info.complete_from")?);
        let seconds = self.list("family_info.fetch_parts")?;
        let one = |i: usize| {
            let at = |name: &str| format!("services.{i}.{name}");
            let complete_from = wholes.get(i).copied().unwrap_or(1.0);
            let word = self.0.get(&at("repeat")).map(String::as_str);
            let idempotency = match word {
                Some("pure") => Idempotency::Idempotent,
                Some("token") => Idempotency::ByKey(self.span(&at("window"))?),
                Some("side_effect") | None => Idempotency::NonIdempotent,
                Some(other) => {
                    return Err(Misread(format!("settings: {}: unknown word {other:.40}", at("repeat"))))
                }
            };
            Ok(TrafficType {
                target_latency: self.span(&at("aim"))?,
                target_per_work: self.number(&at("aim_stretch"), 0.0)?,
                client_timeout: self.span(&at("give_up"))?,
                credit: self.number(&at("points"), 1.0)?,
                late_credit: self.number(&at("late_worth"), 0.0)?,
                idempotency,
                min_coverage: floors.get(i).copied().unwrap_or(complete_from),
                complete_from,
                has_fetch_step: seconds.get(i).is_some_and(|parts| *parts > 0.0),
            })
        };
        (0..self.count("services")?).map(one).collect()
    }

    pub fn mixer(&self, seed: u64) -> Result<Mixer, Misread> {
        let fleet = self.number("fleet_size", 1.0)?.max(1.0);
        let cold = SlowStart {
            mixers: fleet,
            initial_share: self.number("invariants.cold_from", 1.0)?,
            warm_up: self.span("invariants.cold")?,
            overload_factor: self.number("invariants.fall_multiple", 1.0)?,
            overload_window: self.span("invariants.fall")?,
        };
        let roster = ReplicaTable::new(
            seed,
            self.number("family_info.cells", 1.0)? as u32,
            self.number("family_info.width", 1.0)? as u32,
            self.number("family_info.per_call", 1.0)? as usize,
            self.yes("limits.may_probe"),
            cold,
        );
        let idle = self.span("limits.idle_close")?;
        let roster = if idle > Span::ZERO { roster.with_idle_close(idle) } else { roster };
        let share = self.number("invariants.further_ratio", -1.0)?;
        let few = self.number("invariants.free_resends", 0.0)?;
        let window = self.span("invariants.resend_span")?;
        let stated = share >= 0.0 && window > Span::ZERO;
        let cap = self.number("limits.attempts_cap", 1.0)? as usize;
        let held = self.span("limits.dial_timeout")?;
        let budget = RetryBudget::new(cap, stated.then_some((few, share, window))).with_send_delay(held);
        let quota = |i| self.number(&format!("customers.{i}.quota_per_s"), f64::MAX);
        let shedding = LoadShedding::new(
            fleet as usize,
            &(0..self.count("customers")?).map(quota).collect::<Result<Vec<_>, _>>()?,
            self.number("over_share_worth", 1.0)?,
            self.says("worth_by", "work"),
            if self.yes("limits.retry_after") { self.span("limits.max_retry_after")? } else { Span::ZERO },
        );
        let mut mixer = Mixer::new(self.traffic_types()?, roster, budget, shedding, self.span("tick")?);
        let grace = self.span("invariants.drain_grace")?;
        mixer.pushed_drain_grace = self.says("discovery", "pushed").then_some(grace);
        Ok(mixer)
    }
}

fn decimal(path: &str, value: &str) -> Result<f64, Misread> {
    let number = value.parse().ok().filter(|n: &f64| n.is_finite());
    number.ok_or_else(|| Misread(format!("settings: {path}: not a number: {value:.40}")))
}
