//! What the mixer is told at its start: the environment, and the file that it names.

use super::startup::made_in_time;
use crate::protocol::discovery::{parse_update, ListUpdate};
use crate::protocol::json::Json;
use fernglade_admission::DescriptorBudget;
use fernglade_fronts::Settings;
use fernglade_orders::{digest, OperatorConfig};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// More than any list of searchers needs; a wrong path may name anything.
const MOST_ORDERS: u64 = 8 * 1024 * 1024;

pub struct Orders {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub descriptors: DescriptorBudget,
    /// What the operator's own file says; nothing where none is named.
    pub operator: OperatorConfig,
    /// The digest of the text that it was read from.
    pub settings: String,
    /// Where that file is.
    pub operator_file: Option<PathBuf>,
    pub known: ListUpdate,
    pub readings: Settings,
}

impl Orders {
    /// From `ROUTER_CONFIG` and, where they are set, the other variables, which are read one by one; and from the
    /// operator's file, if there is one. Whole or not at all.
    ///
    /// At the start: files that can't be had for a moment are tried for again.
    pub fn read(operator: Option<&Path>, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        Self::read_by(&|path| made_in_time(|| contents(path)), operator, variable)
    }

    /// The same, with files read by `contents`.
    fn read_by(
        contents: &dyn Fn(&Path) -> io::Result<Vec<u8>>,
        operator: Option<&Path>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, String> {
        let contents = |path: &Path| contents(path).map_err(|error| error.to_string());
        let path = variable("ROUTER_CONFIG")
            .ok_or("ROUTER_CONFIG is not set: it names the JSON file to start from")?;
        let within = |what: String| format!("{path}: {what}");
        let json = Json::parse(&contents(Path::new(&path)).map_err(within)?).map_err(within)?;
        let mut orders = Self::from_json(&json, variable).map_err(within)?;
        if let Some(file) = operator {
            let read =
                contents(file).and_then(operators).map_err(|what| format!("{}: {what}", file.display()))?;
            (orders.operator, orders.settings) = read;
            orders.operator_file = Some(file.into());
        }
        Ok(orders)
    }

    /// The file once more, after it was replaced. Its word on discovery now stands above the environment's,
    /// which is as old as the program.
    pub fn read_again(operator: Option<&Path>) -> Result<Self, String> {
        Self::read_by(&contents, operator, |name| {
            std::env::var(name).ok().filter(|_| name != "ROUTER_DISCOVERY")
        })
    }

    fn from_json(json: &Json, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let text = |name: &str, variable_name: &str| {
            let given =
                variable(variable_name).or_else(|| json.get(name).and_then(Json::as_str).map(String::from));
            given.ok_or_else(|| format!("no {name}, and {variable_name} is not set"))
        };
        let address = |name: &str, variable_name: &str| {
            let given = text(name, variable_name)?;
            given.parse::<SocketAddr>().map_err(|_| format!("{name} is no address and port: {given:.60}"))
        };
        let seed =
            json.get("seed").and_then(Json::as_str).and_then(|seed| u64::from_str_radix(seed, 16).ok());
        let sockets = json.get("limits").and_then(|limits| limits.get("sockets")).and_then(Json::as_u64);
        let known = json.get("known").map_or(Ok(ListUpdate::default()), parse_update);
        let settings = json.get("settings").filter(|settings| matches!(settings, Json::Object(_)));
        let mut pairs = BTreeMap::new();
        flatten(settings.ok_or("no settings")?, String::new(), &mut pairs);
        Ok(Self {
            name: text("name", "ROUTER_NAME")?,
            listen: address("listen", "ROUTER_LISTEN")?,
            discovery: address("discovery", "ROUTER_DISCOVERY")?,
            seed: seed.ok_or("seed is not a text of hex digits")?,
            descriptors: descriptors(sockets.unwrap_or(1024) as usize, allowed())?,
            operator: OperatorConfig::default(),
            settings: digest(None),
            operator_file: None,
            known: known.map_err(|what| format!("known: {what}"))?,
            readings: Settings::from_pairs(pairs),
        })
    }
}

fn contents(path: &Path) -> io::Result<Vec<u8>> {
    let file = std::fs::metadata(path)?;
    if !file.is_file() || file.len() > MOST_ORDERS {
        return Err(io::Error::other(format!("no file of at most {MOST_ORDERS} bytes")));
    }
    std::fs::read(path)
}

fn operators(file: Vec<u8>) -> Result<(OperatorConfig, String), String> {
    let text = String::from_utf8(file).map_err(|_| "no UTF-8 text")?;
    let operator = OperatorConfig::parse(&text).map_err(|wrong| wrong.to_string())?;
    Ok((operator, digest(Some(text.as_bytes()))))
}

/// How many descriptors the system lets this process have.
fn allowed() -> Option<usize> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.and_then(|most| usize::try_from(most).ok())
}

/// What is stated too low is a mistake in the orders; what the system allows is taken as it is.
fn descriptors(stated: usize, allowed: Option<usize>) -> Result<DescriptorBudget, String> {
    if stated < 64 {
        return Err(format!("limits.sockets: {stated} is too few, 64 are needed"));
    }
    DescriptorBudget::plan(stated, allowed)
        .ok_or_else(|| format!("the system allows {} descriptors, too few to serve", allowed.unwrap_or(0)))
}

/// Nested JSON as `path=value` lines have it: lists of plain values joined by commas, lists of objects with
/// their length under `.count`.
fn flatten(json: &Json, path: String, into: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match json {
        Json::Object(fields) => fields.iter().for_each(|(name, value)| flatten(value, below(name), into)),
        Json::Array(items) if items.iter().any(|item| matches!(item, Json::Object(_))) => {
            into.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(at, item)| flatten(item, below(&at.to_string()), into));
        }
        Json::Array(items) => {
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
        Json::String(text) => text.clone(),
        Json::Null | Json::Array(_) | Json::Object(_) => String::new(),
    }
}

#[cfg(test)]
mod tests;
