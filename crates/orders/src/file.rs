//! The file as a whole.

use crate::admission::{networks, Admission};
use crate::dialect::Dialect;
use fernglade_admission::HouseRules;
use ipnet::IpNet;
use serde::Deserialize;
use std::fmt;
use std::net::IpAddr;

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

/// Who may read this mixer's figures, on the listener that its clients come to.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Figures {
    #[serde(deserialize_with = "networks")]
    to: Vec<IpNet>,
}

/// What is held to a figure in sum over all mixers, each doing its part.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Fleet {
    /// Relays of lost parts, to a share of what is honoured.
    relays_in_sum: bool,
    /// How often a searcher that is down is asked.
    asks_in_sum: bool,
}

/// How scans are turned away when there is more to do than can be done.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Shedding {
    /// By the order and the level of the whole fleet, before each mixer's own limits.
    as_one: bool,
}

/// What only the operator knows of the searchers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Searchers {
    /// They answer checks at once, whatever waits there.
    checks_beside_queue: bool,
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    pub line: Option<usize>,
    /// The key's path, `admission.known[1]`; empty where the text is no JSON5.
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
    /// Whole, or not at all.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut reader = json5::Deserializer::from_str(text);
        let read: Result<Self, _> = serde_path_to_error::deserialize(&mut reader);
        let operator = read.map_err(|error| {
            let key = error.path().to_string();
            let inner = error.into_inner();
            let line = inner.position().map(|position| position.line + 1);
            // The place is told once, by line.
            let what = inner.to_string();
            let what = what.split(" at line ").next().unwrap_or_default().to_string();
            ConfigError { line, key: if key == "." { String::new() } else { key }, message: what }
        })?;
        operator.admission.check().map_err(|(key, what)| ConfigError {
            line: line_of(text, key),
            key: key.into(),
            message: what,
        })?;
        Ok(operator)
    }

    /// Names in it are checked against the deployment's settings by who uses them.
    pub fn dialect(&self) -> &Dialect {
        &self.dialect
    }

    pub fn admission_rules(&self) -> HouseRules {
        self.admission.rules()
    }

    pub fn probes_bypass_queue(&self) -> bool {
        self.searchers.checks_beside_queue
    }

    pub fn sheds_fleet_wide(&self) -> bool {
        self.shedding.as_one
    }

    pub fn limits_retries_fleet_wide(&self) -> bool {
        self.fleet.relays_in_sum
    }

    pub fn limits_probes_fleet_wide(&self) -> bool {
        self.fleet.asks_in_sum
    }

    /// Whether anybody may read the figures, and whether one from there may.
    pub fn exposes_metrics(&self) -> bool {
        !self.figures.to.is_empty()
    }

    pub fn may_read_metrics(&self, from: IpAddr) -> bool {
        self.figures.to.iter().any(|network| network.contains(&from.to_canonical()))
    }

    /// Whether all that is taken up at the start only is as in `other`: what differs can be taken up by a running mixer.
    pub fn differs_only_in_admission(&self, other: &Self) -> bool {
        let bare = |of: &Self| Self { admission: Admission::default(), ..of.clone() };
        bare(self) == bare(other)
    }
}

/// What names a program or a settings file: sixteen hex digits of its bytes; a dash where there is none.
pub fn digest(bytes: Option<&[u8]>) -> String {
    bytes.map_or_else(|| "-".into(), |bytes| format!("{:016x}", xxhash_rust::xxh3::xxh3_64(bytes)))
}

/// Where a key stands, for what is found wrong once all has been read: its last name as a word at a line's start.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let name = key.rsplit('.').next()?;
    let stands = |line: &str| {
        let rest = line.trim_start().trim_start_matches(['{', '"', '\'', ' ']).strip_prefix(name);
        rest.is_some_and(|rest| rest.trim_start_matches(['"', '\'', ' ']).starts_with(':'))
    };
    text.lines().position(stands).map(|at| at + 1)
}

#[cfg(test)]
mod tests {
    use super::OperatorConfig;
    use test_case::test_case;

    #[test]
    fn every_key_of_the_shipped_file_is_read_and_all_is_off_there() {
        let text = include_str!("../../../deploy/operator.json5");
        assert_eq!(OperatorConfig::parse(text).unwrap().admission_rules(), Default::default());
        // The same with each key's example taken out of its comment.
        let on: String = text.lines().map(|line| line.replacen("//: ", "", 1) + "\n").collect();
        let house = OperatorConfig::parse(&on).unwrap().admission_rules();
        assert!(house.per_caller.is_some() && house.per_prefix.is_some() && house.caller_pace.is_some());
        assert!(
            house.whole_pace.is_some()
                && house.kept > 0.0
                && house.for_open > 0.0
                && house.come_back.is_some()
        );
        assert!(house.known.holds("10.20.3.4".parse().unwrap()));
        let dialect = OperatorConfig::parse(&on).unwrap().dialect().clone();
        assert!(dialect.indices["cues"].partial && dialect.indices["cues"].edits.is_some());
        assert!(OperatorConfig::parse(text).unwrap().dialect().indices.is_empty());
        assert!(
            OperatorConfig::parse(&on).unwrap().probes_bypass_queue()
                && OperatorConfig::parse(&on).unwrap().sheds_fleet_wide()
        );
        assert!(
            OperatorConfig::parse(&on).unwrap().limits_retries_fleet_wide()
                && OperatorConfig::parse(&on).unwrap().limits_probes_fleet_wide()
        );
        assert!(
            !OperatorConfig::parse(text).unwrap().limits_retries_fleet_wide()
                && !OperatorConfig::parse(text).unwrap().limits_probes_fleet_wide()
        );
        assert!(!OperatorConfig::parse(text).unwrap().sheds_fleet_wide());
        let asked =
            |text: &str| OperatorConfig::parse(text).unwrap().may_read_metrics("127.0.0.9".parse().unwrap());
        assert!(asked(&on) && !asked(text));
        assert!(!OperatorConfig::parse(text).unwrap().probes_bypass_queue());
    }

    #[test_case("{\n admission: {\n  per_adress: 3 } }", 3, "admission.per_adress", "per_address"; "an unknown key")]
    #[test_case("{ admission: {\n kept: 1.5, known: ['::1'] } }", 2, "admission.kept", "a share from 0 to 1"; "a share over one")]
    #[test_case("{ admission: {\n\n per_address: 'x' } }", 3, "admission.per_address", "expected"; "a text for a number")]
    #[test_case("{ admission: { per_address: 0 } }", 1, "admission.per_address", "above 0"; "a cap of nobody")]
    #[test_case("{ admission: { known: ['10.0.0.0/8',\n 'ten'] } }", 1, "admission.known", "a network such as"; "no network")]
    #[test_case("{ admission: {\n retry_after: '3 apples' } }", 2, "admission.retry_after", "a time such as"; "no time")]
    #[test_case("{ admission: {\n kept: 0.2 } }", 2, "admission.kept", "nobody is known"; "kept for nobody")]
    #[test_case("{ admission: { per_address: 9,\n per_prefix: 3 } }", 2, "admission.per_prefix", "at least"; "a prefix below an address")]
    #[test_case("{ admission: ", 1, "", "EOF"; "half a file")]
    fn what_is_wrong_is_told_with_line_key_and_what_was_expected(
        text: &str,
        line: usize,
        key: &str,
        says: &str,
    ) {
        let wrong = OperatorConfig::parse(text).unwrap_err();
        assert!(wrong.key.starts_with(key) && wrong.message.contains(says), "{wrong}");
        assert!(wrong.line.is_none_or(|told| told.abs_diff(line) <= 1), "{wrong}");
    }
}
