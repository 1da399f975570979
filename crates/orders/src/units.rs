//! Values with a unit in them, and shares.

use fernglade::Span;
use serde::de::{Error, Unexpected};
use serde::{Deserialize, Deserializer};

/// A length of time as it is said: "250ms", "2s", "1m 30s".
pub fn span<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Span>, D::Error> {
    let text = String::deserialize(from)?;
    let time = humantime::parse_duration(&text);
    let time = time
        .map_err(|_| Error::invalid_value(Unexpected::Str(&text), &"a time such as \"250ms\" or \"2s\""))?;
    Ok(Some(Span::from_micros(time.as_micros().min(u128::from(u64::MAX)) as u64)))
}

/// From nothing to all of it.
pub fn share<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let share = f64::deserialize(from)?;
    if (0.0..=1.0).contains(&share) {
        return Ok(share);
    }
    Err(Error::invalid_value(Unexpected::Float(share), &"a share from 0 to 1"))
}

/// A number of connections; at least one.
pub fn count<'de, D: Deserializer<'de>>(from: D) -> Result<Option<usize>, D::Error> {
    match u32::deserialize(from)? {
        0 => Err(Error::invalid_value(
            Unexpected::Unsigned(0),
            &"a whole number above 0 (leave the key out for no cap)",
        )),
        count => Ok(Some(count as usize)),
    }
}

/// So many a second.
pub fn pace<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    let pace = f64::deserialize(from)?;
    if pace > 0.0 && pace.is_finite() {
        return Ok(Some(pace));
    }
    Err(Error::invalid_value(
        Unexpected::Float(pace),
        &"a number a second above 0 (leave the key out for no limit)",
    ))
}
