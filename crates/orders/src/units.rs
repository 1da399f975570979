//! Deserializers for values with units, shares and limits.

use fernglade::Span;
use serde::de::{Error, Unexpected};
use serde::{Deserialize, Deserializer};

/// A duration with units: "250ms", "2s", "1m 30s".
pub fn duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Span>, D::Error> {
    let text = String::deserialize(deserializer)?;
    let duration = humantime::parse_duration(&text);
    let duration = duration
        .map_err(|_| Error::invalid_value(Unexpected::Str(&text), &"a time such as \"250ms\" or \"2s\""))?;
    Ok(Some(Span::from_micros(duration.as_micros().min(u128::from(u64::MAX)) as u64)))
}

/// A share from 0 to 1.
pub fn share<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let share = f64::deserialize(deserializer)?;
    if (0.0..=1.0).contains(&share) {
        return Ok(share);
    }
    Err(Error::invalid_value(Unexpected::Float(share), &"a share from 0 to 1"))
}

/// A limit on connections of at least one.
pub fn connection_limit<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<usize>, D::Error> {
    match u32::deserialize(deserializer)? {
        0 => Err(Error::invalid_value(
            Unexpected::Unsigned(0),
            &"a whole number above 0 (leave the key out for no cap)",
        )),
        limit => Ok(Some(limit as usize)),
    }
}

/// A positive rate per second.
pub fn rate<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    let rate = f64::deserialize(deserializer)?;
    if rate > 0.0 && rate.is_finite() {
        return Ok(Some(rate));
    }
    Err(Error::invalid_value(
        Unexpected::Float(rate),
        &"a number a second above 0 (leave the key out for no limit)",
    ))
}
