//! The section `admission`.

use crate::units::{count, pace, share, span};
use fernglade::Span;
use fernglade_admission::{HouseRules, Known};
use ipnet::IpNet;
use serde::{Deserialize, Deserializer};

/// Defaults: see `deploy/operator.json5`, which names every key.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    #[serde(deserialize_with = "count")]
    per_address: Option<usize>,
    #[serde(deserialize_with = "count")]
    per_prefix: Option<usize>,
    #[serde(deserialize_with = "pace")]
    address_pace: Option<f64>,
    #[serde(deserialize_with = "pace")]
    whole_pace: Option<f64>,
    #[serde(deserialize_with = "share")]
    kept: f64,
    #[serde(deserialize_with = "networks")]
    known: Vec<IpNet>,
    #[serde(deserialize_with = "share")]
    for_open: f64,
    #[serde(deserialize_with = "span")]
    retry_after: Option<Span>,
}

/// A network, or an address alone, which is a network of one.
pub fn networks<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<IpNet>, D::Error> {
    use serde::de::{Error, Unexpected};
    let network = |text: &String| {
        let found = text.parse().or_else(|_| text.parse().map(|address: std::net::IpAddr| address.into()));
        let expected = &"a network such as \"10.1.0.0/16\" or \"2001:db8::/48\", or an address";
        found.map_err(|_| Error::invalid_value(Unexpected::Str(text), expected))
    };
    Vec::<String>::deserialize(from)?.iter().map(network).collect()
}

impl Admission {
    /// What can't hold together, by key.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        if self.kept > 0.0 && self.known.is_empty() {
            return Err((
                "admission.kept",
                "places are kept and nobody is known: name networks in admission.known".into(),
            ));
        }
        if self.for_open >= 1.0 {
            return Err(("admission.for_open", "nobody could ask: expected a share below 1".into()));
        }
        if let (Some(one), Some(all)) = (self.per_address, self.per_prefix) {
            if one > all {
                return Err((
                    "admission.per_prefix",
                    format!("is below admission.per_address, {one}: expected as many at least"),
                ));
            }
        }
        Ok(())
    }

    pub fn rules(&self) -> HouseRules {
        HouseRules {
            per_caller: self.per_address,
            per_prefix: self.per_prefix,
            caller_pace: self.address_pace,
            whole_pace: self.whole_pace,
            kept: self.kept,
            known: Known::new(self.known.clone()),
            for_open: self.for_open,
            come_back: self.retry_after,
        }
    }
}
