//! The mixer's configuration, from environment variables and the files that they and the command line name.

use super::startup::retry_transient;
use crate::protocol::discovery::{parse_known, ListUpdate};
use crate::protocol::json::Json;
use fernglade_admission::{DescriptorBudget, MIN_LIMIT_BYTES};
use fernglade_fronts::Settings;
use fernglade_orders::{digest, OperatorConfig};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// More than any list of searchers needs; guards against a path that names some other large file.
const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;

/// The configuration that a mixer starts from.
pub struct Config {
    /// This mixer's name.
    pub name: String,
    /// The address on which clients are served.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The seed of every random choice.
    pub seed: u64,
    /// How the file descriptors are shared out.
    pub descriptors: DescriptorBudget,
    /// The limit on resident memory in bytes, if one is stated.
    pub memory_limit: Option<usize>,
    /// The operator's file; empty if none is named.
    pub operator: OperatorConfig,
    /// The digest of the text of the operator's file.
    pub settings: String,
    /// The path of the operator's file.
    pub operator_file: Option<PathBuf>,
    /// The list of searchers known at start.
    pub known: ListUpdate,
    /// The routing settings as flattened pairs of path and value.
    pub routing_settings: Settings,
}

impl Config {
    /// Reads the file that `ROUTER_CONFIG` names, the other variables, which override it one by one, and the
    /// operator's file, if there is one. Any error rejects the whole configuration.
    ///
    /// For use at start: files that are unavailable for a moment are retried.
    pub fn read(operator: Option<&Path>, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        Self::read_with(&|path| retry_transient(|| read_file(path)), operator, variable)
    }

    /// The same, with files read by `read_bytes`.
    fn read_with(
        read_bytes: &dyn Fn(&Path) -> io::Result<Vec<u8>>,
        operator: Option<&Path>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, String> {
        let read = |path: &Path| read_bytes(path).map_err(|error| error.to_string());
        let path = variable("ROUTER_CONFIG")
            .ok_or("ROUTER_CONFIG is not set; it must name the JSON configuration file")?;
        let within = |error: String| format!("{path}: {error}");
        let json = Json::parse_file(&read(Path::new(&path)).map_err(within)?).map_err(within)?;
        let mut config = Self::from_json(&json, variable).map_err(within)?;
        if let Some(file) = operator {
            let parsed = read(file)
                .and_then(parse_operator_file)
                .map_err(|error| format!("{}: {error}", file.display()))?;
            (config.operator, config.settings) = parsed;
            config.operator_file = Some(file.into());
        }
        Ok(config)
    }

    /// Reads the files again after they were replaced. The file's discovery address now takes precedence over
    /// the environment's, which is as old as the process.
    pub fn reload(operator: Option<&Path>) -> Result<Self, String> {
        Self::read_with(&read_file, operator, |name| {
            std::env::var(name).ok().filter(|_| name != "ROUTER_DISCOVERY")
        })
    }

    fn from_json(json: &Json, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let text = |name: &str, variable_name: &str| {
            let given =
                variable(variable_name).or_else(|| json.get(name).and_then(Json::as_str).map(String::from));
            given.ok_or_else(|| format!("{name} is missing and {variable_name} is not set"))
        };
        let address = |name: &str, variable_name: &str| {
            let given = text(name, variable_name)?;
            given.parse::<SocketAddr>().map_err(|_| format!("{name} is not an address and port: {given:.60}"))
        };
        let seed =
            json.get("seed").and_then(Json::as_str).and_then(|seed| u64::from_str_radix(seed, 16).ok());
        let sockets = json.get("limits").and_then(|limits| limits.get("sockets")).and_then(Json::as_u64);
        let memory_mb = json.get("limits").and_then(|limits| limits.get("memory_mb")).and_then(Json::as_f64);
        let known = json.get("known").map_or(Ok(ListUpdate::default()), parse_known);
        let settings = json.get("settings").filter(|settings| matches!(settings, Json::Object(_)));
        let mut pairs = BTreeMap::new();
        flatten(settings.ok_or("settings is missing or not an object")?, String::new(), &mut pairs);
        Ok(Self {
            name: text("name", "ROUTER_NAME")?,
            listen: address("listen", "ROUTER_LISTEN")?,
            discovery: address("discovery", "ROUTER_DISCOVERY")?,
            seed: seed.ok_or("seed is not a string of hex digits")?,
            descriptors: plan_descriptors(sockets.unwrap_or(1024) as usize, descriptor_limit())?,
            memory_limit: memory_mb.map(memory_limit).transpose()?,
            operator: OperatorConfig::default(),
            settings: digest(None),
            operator_file: None,
            known: known.map_err(|error| format!("known: {error}"))?,
            routing_settings: Settings::from_pairs(pairs),
        })
    }
}

fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let file = std::fs::metadata(path)?;
    if !file.is_file() || file.len() > MAX_FILE_BYTES {
        return Err(io::Error::other(format!("not a file of at most {MAX_FILE_BYTES} bytes")));
    }
    std::fs::read(path)
}

fn parse_operator_file(file: Vec<u8>) -> Result<(OperatorConfig, String), String> {
    let text = String::from_utf8(file).map_err(|_| "not UTF-8 text")?;
    let operator = OperatorConfig::parse(&text).map_err(|error| error.to_string())?;
    Ok((operator, digest(Some(text.as_bytes()))))
}

/// The limit on memory in bytes. One that is too low to serve with is a configuration error.
fn memory_limit(megabytes: f64) -> Result<usize, String> {
    let bytes = (megabytes * f64::from(1 << 20)) as usize;
    match bytes < MIN_LIMIT_BYTES {
        true => Err(format!(
            "limits.memory_mb: {megabytes} is too low, at least {} are needed",
            MIN_LIMIT_BYTES >> 20
        )),
        false => Ok(bytes),
    }
}

/// The number of descriptors that the system allows this process.
fn descriptor_limit() -> Option<usize> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.and_then(|most| usize::try_from(most).ok())
}

/// A stated limit that is too low is a configuration error; the system's limit is taken as it is.
fn plan_descriptors(stated: usize, limit: Option<usize>) -> Result<DescriptorBudget, String> {
    if stated < 64 {
        return Err(format!("limits.sockets: {stated} is too low, at least 64 are needed"));
    }
    DescriptorBudget::plan(stated, limit).ok_or_else(|| {
        format!("the system allows only {} descriptors, too few to serve requests", limit.unwrap_or(0))
    })
}

/// Flattens nested JSON to `path=value` pairs: lists of plain values are joined by commas, and lists of
/// objects have their length under `.count`.
fn flatten(json: &Json, path: String, into: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match json {
        Json::Object(fields) => fields.iter().for_each(|(name, value)| flatten(value, below(name), into)),
        Json::Array(items) if items.iter().any(|item| matches!(item, Json::Object(_))) => {
            into.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(at, item)| flatten(item, below(&at.to_string()), into));
        }
        Json::Array(items) => {
            let values: Vec<String> = items.iter().map(plain).collect();
            into.insert(path, values.join(","));
        }
        other => drop(into.insert(path, plain(other))),
    }
}

fn plain(json: &Json) -> String {
    match json {
        Json::Bool(value) => value.to_string(),
        Json::Number(digits) => digits.clone(),
        Json::String(text) => text.clone(),
        Json::Null | Json::Array(_) | Json::Object(_) => String::new(),
    }
}

#[cfg(test)]
mod tests;
