//! What the mixer is told at its start: the environment, and the file that it names.

use super::startup::retry_transient;
use crate::protocol::json::Json;
use crate::protocol::lists::{news, News};
use fernglade_admission::Descriptors;
use fernglade_fronts::Readings;
use fernglade_orders::{digest, Operator};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// More than any list of searchers needs; a wrong path may name anything.
const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub descriptors: Descriptors,
    /// What the operator's own file says; nothing where none is named.
    pub operator: Operator,
    /// The digest of the text that it was read from.
    pub settings: String,
    /// Where that file is.
    pub operator_file: Option<PathBuf>,
    pub known: News,
    pub readings: Readings,
}

impl Config {
    /// From `ROUTER_CONFIG` and, where they are set, the other variables, which are read one by one; and from the
    /// operator's file, if there is one. Whole or not at all.
    ///
    /// At the start: files that can't be had for a moment are tried for again.
    pub fn read(operator: Option<&Path>, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        Self::read_with(&|path| retry_transient(|| read_file(path)), operator, variable)
    }

    /// The same, with files read by `contents`.
    fn read_with(
        read_file: &dyn Fn(&Path) -> io::Result<Vec<u8>>,
        operator: Option<&Path>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, String> {
        let read_file = |path: &Path| read_file(path).map_err(|error| error.to_string());
        let path = variable("ROUTER_CONFIG")
            .ok_or("ROUTER_CONFIG is not set: it names the JSON file to start from")?;
        let within = |error: String| format!("{path}: {error}");
        let json = Json::parse(&read_file(Path::new(&path)).map_err(within)?).map_err(within)?;
        let mut config = Self::from_json(&json, variable).map_err(within)?;
        if let Some(file) = operator {
            let read = read_file(file)
                .and_then(parse_operator_file)
                .map_err(|error| format!("{}: {error}", file.display()))?;
            (config.operator, config.settings) = read;
            config.operator_file = Some(file.into());
        }
        Ok(config)
    }

    /// The file once more, after it was replaced. Its word on discovery now stands above the environment's,
    /// which is as old as the program.
    pub fn reload(operator: Option<&Path>) -> Result<Self, String> {
        Self::read_with(&read_file, operator, |name| {
            std::env::var(name).ok().filter(|_| name != "ROUTER_DISCOVERY")
        })
    }

    fn from_json(json: &Json, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let text = |name: &str, variable_name: &str| {
            let given =
                variable(variable_name).or_else(|| json.get(name).and_then(Json::text).map(String::from));
            given.ok_or_else(|| format!("no {name}, and {variable_name} is not set"))
        };
        let address = |name: &str, variable_name: &str| {
            let given = text(name, variable_name)?;
            given.parse::<SocketAddr>().map_err(|_| format!("{name} is no address and port: {given:.60}"))
        };
        let seed = json.get("seed").and_then(Json::text).and_then(|seed| u64::from_str_radix(seed, 16).ok());
        let sockets = json.get("limits").and_then(|limits| limits.get("sockets")).and_then(Json::whole);
        let known = json.get("known").map_or(Ok(News::default()), news);
        let settings = json.get("settings").filter(|settings| matches!(settings, Json::Object(_)));
        let mut pairs = BTreeMap::new();
        flatten(settings.ok_or("no settings")?, String::new(), &mut pairs);
        Ok(Self {
            name: text("name", "ROUTER_NAME")?,
            listen: address("listen", "ROUTER_LISTEN")?,
            discovery: address("discovery", "ROUTER_DISCOVERY")?,
            seed: seed.ok_or("seed is not a text of hex digits")?,
            descriptors: plan_descriptors(sockets.unwrap_or(1024) as usize, descriptor_limit())?,
            operator: Operator::default(),
            settings: digest(None),
            operator_file: None,
            known: known.map_err(|error| format!("known: {error}"))?,
            readings: Readings::of(pairs),
        })
    }
}

fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let file = std::fs::metadata(path)?;
    if !file.is_file() || file.len() > MAX_FILE_BYTES {
        return Err(io::Error::other(format!("no file of at most {MAX_FILE_BYTES} bytes")));
    }
    std::fs::read(path)
}

fn parse_operator_file(file: Vec<u8>) -> Result<(Operator, String), String> {
    let text = String::from_utf8(file).map_err(|_| "no UTF-8 text")?;
    let operator = Operator::read(&text).map_err(|wrong| wrong.to_string())?;
    Ok((operator, digest(Some(text.as_bytes()))))
}

/// How many descriptors the system lets this process have.
fn descriptor_limit() -> Option<usize> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.and_then(|most| usize::try_from(most).ok())
}

/// What is stated too low is a mistake in the orders; what the system allows is taken as it is.
fn plan_descriptors(stated: usize, descriptor_limit: Option<usize>) -> Result<Descriptors, String> {
    if stated < 64 {
        return Err(format!("limits.sockets: {stated} is too few, 64 are needed"));
    }
    Descriptors::plan(stated, descriptor_limit).ok_or_else(|| {
        format!("the system allows {} descriptors, too few to serve", descriptor_limit.unwrap_or(0))
    })
}

/// Nested JSON as `path=value` lines have it: lists of plain values joined by commas, lists of objects with
/// their length under `.count`.
fn flatten(json: &Json, path: String, into: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match json {
        Json::Object(fields) => fields.iter().for_each(|(name, value)| flatten(value, below(name), into)),
        Json::List(items) if items.iter().any(|item| matches!(item, Json::Object(_))) => {
            into.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(at, item)| flatten(item, below(&at.to_string()), into));
        }
        Json::List(items) => {
            let words: Vec<String> = items.iter().map(plain).collect();
            into.insert(path, words.join(","));
        }
        other => drop(into.insert(path, plain(other))),
    }
}

fn plain(json: &Json) -> String {
    match json {
        Json::Bool(value) => value.to_string(),
        Json::Number(digits) => digits.clone(),
        Json::Text(text) => text.clone(),
        Json::Null | Json::List(_) | Json::Object(_) => String::new(),
    }
}

#[cfg(test)]
mod tests;
