//! The operator's file as a whole.

use crate::admission::{networks, Admission};
use crate::dialect::Dialect;
use fernglade_admission::AdmissionPolicy;
use ipnet::IpNet;
use serde::Deserialize;
use std::fmt;
use std::net::IpAddr;

/// The operator's configuration.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    admission: Admission,
    dialect: Dialect,
    searchers: Searchers,
    shedding: Shedding,
    fleet: Fleet,
    figures: Figures,
}

/// Access to this mixer's metrics, which are served on the client listeners.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Figures {
    /// Networks that may read the metrics.
    #[serde(deserialize_with = "networks")]
    to: Vec<IpNet>,
}

/// Limits that apply to the sum over all mixers of the fleet, each mixer keeping to its share.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Fleet {
    /// Limits retries of failed parts to a share of the successful ones.
    relays_in_sum: bool,
    /// Limits how often a searcher that is down is probed.
    asks_in_sum: bool,
}

/// Load shedding.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Shedding {
    /// Sheds by an order and a level common to the whole fleet, before each mixer's own limits apply.
    as_one: bool,
}

/// Properties of the searchers that the mixer cannot discover.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Searchers {
    /// Searchers answer health probes at once, without queueing them behind other work.
    checks_beside_queue: bool,
}

/// An error in the file and its place.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// Counted from 1, if known.
    pub line: Option<usize>,
    /// Path of the key, such as `admission.known[1]`; empty if the text is not valid JSON5.
    pub key: String,
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(to, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(to, "{}: ", self.key)?;
        }
        to.write_str(&self.message)
    }
}

impl OperatorConfig {
    /// Parses and checks a whole file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut deserializer = json5::Deserializer::from_str(text);
        let parsed: Result<Self, _> = serde_path_to_error::deserialize(&mut deserializer);
        let config = parsed.map_err(|error| {
            let key = error.path().to_string();
            let inner = error.into_inner();
            let line = inner.position().map(|position| position.line + 1);
            // The position is reported separately, as the line.
            let message = inner.to_string();
            let message = message.split(" at line ").next().unwrap_or_default().to_string();
            ConfigError { line, key: if key == "." { String::new() } else { key }, message }
        })?;
        config.admission.check().map_err(|(key, message)| ConfigError {
            line: line_of(text, key),
            key: key.into(),
            message,
        })?;
        Ok(config)
    }

    /// The query API. Its users check the names in it against the deployment's settings.
    pub fn dialect(&self) -> &Dialect {
        &self.dialect
    }

    /// The policy of admission control.
    pub fn admission_policy(&self) -> AdmissionPolicy {
        self.admission.policy()
    }

    /// Whether searchers answer health probes ahead of queued work.
    pub fn probes_bypass_queue(&self) -> bool {
        self.searchers.checks_beside_queue
    }

    /// Whether load is shed by an order and a level common to the fleet.
    pub fn sheds_fleet_wide(&self) -> bool {
        self.shedding.as_one
    }

    /// Whether the retry budget applies to the sum over the fleet.
    pub fn limits_retries_fleet_wide(&self) -> bool {
        self.fleet.relays_in_sum
    }

    /// Whether the limit on health probes applies to the sum over the fleet.
    pub fn limits_probes_fleet_wide(&self) -> bool {
        self.fleet.asks_in_sum
    }

    /// Whether the metrics are exposed to any network.
    pub fn exposes_metrics(&self) -> bool {
        !self.figures.to.is_empty()
    }

    /// Whether a client at `address` may read the metrics.
    pub fn may_read_metrics(&self, address: IpAddr) -> bool {
        self.figures.to.iter().any(|network| network.contains(&address.to_canonical()))
    }

    /// Whether the two differ in nothing but admission control, the only section that a running mixer can
    /// reload.
    pub fn differs_only_in_admission(&self, other: &Self) -> bool {
        let without_admission = |config: &Self| Self { admission: Admission::default(), ..config.clone() };
        without_admission(self) == without_admission(other)
    }
}

/// The 64-bit hash of a program or a settings file as sixteen hex digits, or a dash if there is none.
pub fn digest(bytes: Option<&[u8]>) -> String {
    bytes.map_or_else(|| "-".into(), |bytes| format!("{:016x}", xxhash_rust::xxh3::xxh3_64(bytes)))
}

/// The line of a key, for errors found after parsing: the first line that starts with the last segment of its
/// path.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let name = key.rsplit('.').next()?;
    let starts_with_name = |line: &str| {
        let rest = line.trim_start().trim_start_matches(['{', '"', '\'', ' ']).strip_prefix(name);
        rest.is_some_and(|rest| rest.trim_start_matches(['"', '\'', ' ']).starts_with(':'))
    };
    text.lines().position(starts_with_name).map(|index| index + 1)
}

#[cfg(test)]
mod tests {
    use super::OperatorConfig;
    use test_case::test_case;

    #[test]
    fn the_shipped_file_is_all_off_and_its_examples_set_every_key() {
        let text = include_str!("../../../deploy/operator.json5");
        assert_eq!(OperatorConfig::parse(text).unwrap().admission_policy(), Default::default());
        // The same file with each key's example uncommented.
        let examples: String = text.lines().map(|line| line.replacen("//: ", "", 1) + "\n").collect();
        let policy = OperatorConfig::parse(&examples).unwrap().admission_policy();
        assert!(policy.per_client.is_some() && policy.per_prefix.is_some() && policy.client_rate.is_some());
        assert!(
            policy.total_rate.is_some()
                && policy.reserved_share > 0.0
                && policy.open_scan_share > 0.0
                && policy.retry_after.is_some()
        );
        assert!(policy.known_networks.contains("10.20.3.4".parse().unwrap()));
        let dialect = OperatorConfig::parse(&examples).unwrap().dialect().clone();
        assert!(dialect.indices["cues"].partial && dialect.indices["cues"].edits.is_some());
        assert!(OperatorConfig::parse(text).unwrap().dialect().indices.is_empty());
        assert!(
            OperatorConfig::parse(&examples).unwrap().probes_bypass_queue()
                && OperatorConfig::parse(&examples).unwrap().sheds_fleet_wide()
        );
        assert!(
            OperatorConfig::parse(&examples).unwrap().limits_retries_fleet_wide()
                && OperatorConfig::parse(&examples).unwrap().limits_probes_fleet_wide()
        );
        assert!(
            !OperatorConfig::parse(text).unwrap().limits_retries_fleet_wide()
                && !OperatorConfig::parse(text).unwrap().limits_probes_fleet_wide()
        );
        assert!(!OperatorConfig::parse(text).unwrap().sheds_fleet_wide());
        let may_read =
            |text: &str| OperatorConfig::parse(text).unwrap().may_read_metrics("127.0.0.9".parse().unwrap());
        assert!(may_read(&examples) && !may_read(text));
        assert!(!OperatorConfig::parse(text).unwrap().probes_bypass_queue());
    }

    #[test_case("{\n admission: {\n  per_adress: 3 } }", 3, "admission.per_adress", "per_address"; "an unknown key")]
    #[test_case("{ admission: {\n kept: 1.5, known: ['::1'] } }", 2, "admission.kept", "a share from 0 to 1"; "a share over one")]
    #[test_case("{ admission: {\n\n per_address: 'x' } }", 3, "admission.per_address", "expected"; "a string for a number")]
    #[test_case("{ admission: { per_address: 0 } }", 1, "admission.per_address", "above 0"; "a limit of zero")]
    #[test_case("{ admission: { known: ['10.0.0.0/8',\n 'ten'] } }", 1, "admission.known", "a network such as"; "not a network")]
    #[test_case("{ admission: {\n retry_after: '3 apples' } }", 2, "admission.retry_after", "a time such as"; "not a duration")]
    #[test_case("{ admission: {\n kept: 0.2 } }", 2, "admission.kept", "none are known"; "kept without known callers")]
    #[test_case("{ admission: { per_address: 9,\n per_prefix: 3 } }", 2, "admission.per_prefix", "at least"; "a prefix limit below the address limit")]
    #[test_case("{ admission: ", 1, "", "EOF"; "a truncated file")]
    fn errors_name_the_line_the_key_and_what_was_expected(
        text: &str,
        line: usize,
        key: &str,
        expected: &str,
    ) {
        let error = OperatorConfig::parse(text).unwrap_err();
        assert!(error.key.starts_with(key) && error.message.contains(expected), "{error}");
        assert!(error.line.is_none_or(|reported| reported.abs_diff(line) <= 1), "{error}");
    }
}
