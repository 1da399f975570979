//! The section `admission`: limits on client connections.

use crate::units::{connection_limit, duration, rate, share};
use fernglade::Span;
use fernglade_admission::{AdmissionPolicy, KnownNetworks};
use ipnet::IpNet;
use serde::{Deserialize, Deserializer};

/// Admission control for client connections. Every key is described in `deploy/operator.json5`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    #[serde(deserialize_with = "connection_limit")]
    per_address: Option<usize>,
    #[serde(deserialize_with = "connection_limit")]
    per_prefix: Option<usize>,
    #[serde(deserialize_with = "rate")]
    address_pace: Option<f64>,
    #[serde(deserialize_with = "rate")]
    whole_pace: Option<f64>,
    #[serde(deserialize_with = "share")]
    kept: f64,
    #[serde(deserialize_with = "networks")]
    known: Vec<IpNet>,
    #[serde(deserialize_with = "share")]
    for_open: f64,
    #[serde(deserialize_with = "duration")]
    retry_after: Option<Span>,
}

/// Deserializes a list of networks; a single address stands for a network of one.
pub fn networks<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<IpNet>, D::Error> {
    use serde::de::{Error, Unexpected};
    let network = |text: &String| {
        let parsed = text.parse().or_else(|_| text.parse().map(|address: std::net::IpAddr| address.into()));
        let expected = &"a network such as \"10.1.0.0/16\" or \"2001:db8::/48\", or an address";
        parsed.map_err(|_| Error::invalid_value(Unexpected::Str(text), expected))
    };
    Vec::<String>::deserialize(deserializer)?.iter().map(network).collect()
}

impl Admission {
    /// Checks values against each other. An error holds the key and a message.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        if self.kept > 0.0 && self.known.is_empty() {
            return Err((
                "admission.kept",
                "places are kept for known callers, but none are known: list networks in admission.known"
                    .into(),
            ));
        }
        if self.for_open >= 1.0 {
            return Err((
                "admission.for_open",
                "no client could send a request: expected a share below 1".into(),
            ));
        }
        if let (Some(per_address), Some(per_prefix)) = (self.per_address, self.per_prefix) {
            if per_address > per_prefix {
                return Err((
                    "admission.per_prefix",
                    format!("is below admission.per_address, {per_address}: expected at least as many"),
                ));
            }
        }
        Ok(())
    }

    /// The policy for the admission module.
    pub fn policy(&self) -> AdmissionPolicy {
        AdmissionPolicy {
            per_client: self.per_address,
            per_prefix: self.per_prefix,
            client_rate: self.address_pace,
            total_rate: self.whole_pace,
            reserved_share: self.kept,
            known_networks: KnownNetworks::new(self.known.clone()),
            open_scan_share: self.for_open,
            retry_after: self.retry_after,
        }
    }
}
