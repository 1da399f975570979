//! What an instance is told at its start: `path=value` lines, and the parts of the mixer made from them.

use crate::wire::Malformed;
use fernglade::choice::{ColdCare, Door, Mixer, RelayBudget, Roster};
use fernglade::{Effect, Span, TrafficType};
use std::collections::BTreeMap;

pub struct Readings<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Readings<'a> {
    pub fn parse(text: &'a [u8]) -> Result<Self, Malformed> {
        let text = std::str::from_utf8(text).map_err(|e| Malformed(format!("settings: not text: {e}")))?;
        let lines = text.lines().filter(|line| !line.is_empty());
        let pair = |line: &'a str| {
            let no_value = || Malformed(format!("settings: a line without a value: {line:.60}"));
            line.split_once('=').ok_or_else(no_value)
        };
        Ok(Self(lines.map(pair).collect::<Result<_, _>>()?))
    }

    fn number(&self, path: &str, absent: f64) -> Result<f64, Malformed> {
        self.0.get(path).filter(|v| !v.is_empty()).map_or(Ok(absent), |v| decimal(path, v))
    }

    fn span(&self, path: &str) -> Result<Span, Malformed> {
        Ok(Span::of_micros(self.number(path, 0.0)? as u64))
    }

    /// The own zone, where crossing to others has a price.
    pub fn dear_outside(&self) -> Result<Option<u8>, Malformed> {
        let (price, zone) = (self.number("deductions.cross_zone", 0.0)?, self.number("zone", 0.0)?);
        Ok((price > 0.0).then_some(zone as u8))
    }

    pub fn yes(&self, path: &str) -> bool {
        self.0.get(path) == Some(&"true")
    }

    pub fn says(&self, path: &str, word: &str) -> bool {
        self.0.get(path) == Some(&word)
    }

    fn list(&self, path: &str) -> Result<Vec<f64>, Malformed> {
        let values = self.0.get(path).filter(|v| !v.is_empty()).into_iter();
        values.flat_map(|v| v.split(',')).map(|v| decimal(path, v)).collect()
    }

    fn count(&self, path: &str) -> Result<usize, Malformed> {
        let count = self.number(&format!("{path}.count"), 0.0)?;
        if count > u16::MAX.into() {
            return Err(Malformed(format!("settings: {path}.count: {count} is too many")));
        }
        Ok(count as usize)
    }

    fn traffic_types(&self) -> Result<Vec<TrafficType>, Malformed> {
        let (floors, wholes) =
            (self.list("family_info.floor_by_class")?, self.list("family_info.complete_from")?);
        let seconds = self.list("family_info.fetch_parts")?;
        let one = |i: usize| {
            let at = |name: &str| format!("services.{i}.{name}");
            let whole_from = wholes.get(i).copied().unwrap_or(1.0);
            let word = self.0.get(at("repeat").as_str()).copied();
            let effect = match word {
                Some("pure") => Effect::Redoable,
                Some("token") => Effect::Labelled(self.span(&at("window"))?),
                Some("side_effect") | None => Effect::Irreversible,
                Some(other) => {
                    return Err(Malformed(format!("settings: {}: unknown word {other:.40}", at("repeat"))))
                }
            };
            Ok(TrafficType {
                quoted: self.span(&at("aim"))?,
                stretch: self.number(&at("aim_stretch"), 0.0)?,
                abandon: self.span(&at("give_up"))?,
                credit: self.number(&at("points"), 1.0)?,
                late_credit: self.number(&at("late_worth"), 0.0)?,
                effect,
                floor: floors.get(i).copied().unwrap_or(whole_from),
                whole_from,
                second_step: seconds.get(i).is_some_and(|parts| *parts > 0.0),
            })
        };
        (0..self.count("services")?).map(one).collect()
    }

    pub fn mixer(&self, seed: u64) -> Result<Mixer, Malformed> {
        let fleet = self.number("fleet_size", 1.0)?.max(1.0);
        let cold = ColdCare {
            fleet,
            from: self.number("invariants.cold_from", 1.0)?,
            cold: self.span("invariants.cold")?,
            multiple: self.number("invariants.fall_multiple", 1.0)?,
            fall: self.span("invariants.fall")?,
        };
        let roster = Roster::new(
            seed,
            self.number("family_info.cells", 1.0)? as u32,
            self.number("family_info.width", 1.0)? as u32,
            self.number("family_info.per_call", 1.0)? as usize,
            self.yes("limits.may_probe"),
            cold,
        );
        let share = self.number("invariants.further_ratio", -1.0)?;
        let few = self.number("invariants.free_resends", 0.0)?;
        let window = self.span("invariants.resend_span")?;
        let stated = share >= 0.0 && window > Span::ZERO;
        let cap = self.number("limits.attempts_cap", 1.0)? as usize;
        let budget = RelayBudget::new(cap, stated.then_some((few, share, window)));
        let quota = |i| self.number(&format!("customers.{i}.quota_per_s"), f64::MAX);
        let door = Door::new(
            fleet as usize,
            &(0..self.count("customers")?).map(quota).collect::<Result<Vec<_>, _>>()?,
            self.number("over_share_worth", 1.0)?,
            self.says("worth_by", "work"),
            if self.yes("limits.retry_after") { self.span("limits.max_retry_after")? } else { Span::ZERO },
        );
        Ok(Mixer::new(self.traffic_types()?, roster, budget, door, self.span("tick")?))
    }
}

fn decimal(path: &str, value: &str) -> Result<f64, Malformed> {
    let number = value.parse().ok().filter(|n: &f64| n.is_finite());
    number.ok_or_else(|| Malformed(format!("settings: {path}: not a number: {value:.40}")))
}
