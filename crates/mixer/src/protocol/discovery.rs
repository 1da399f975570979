//! The list of searchers, as discovery and the configuration file provide it.

use super::json::{Json, ListParser};
use fernglade::Moment;
use std::net::SocketAddr;

/// One searcher on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct SearcherEntry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    /// The searcher accepts new work.
    pub ready: bool,
    /// The searcher has left the list.
    pub removed: bool,
    /// Start of the searcher's process in Unix time, if known.
    pub started_at: Option<Moment>,
}

/// A full list of searchers, or the changes since an earlier version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListUpdate {
    pub version: u64,
    /// `entries` is the full list; searchers missing from it are gone.
    pub is_full: bool,
    pub entries: Vec<SearcherEntry>,
}

/// Searchers on one list, and known at once: more than twice as many as the largest fleet has.
pub const MAX_SEARCHERS: usize = 8 * 1024;

/// Length of a searcher's name: it is kept as long as the searcher is listed.
const MAX_NAME_BYTES: usize = 256;

/// Parses an update from discovery, some entries at a time: a list may be long, and others wait meanwhile. Errors
/// name the field, and for an entry its index.
pub struct UpdateParser<'a> {
    items: ListParser<'a>,
    entries: Vec<SearcherEntry>,
}

impl<'a> UpdateParser<'a> {
    /// A parser of a whole answer.
    pub fn new(body: &'a [u8]) -> Result<Self, String> {
        Ok(Self { items: ListParser::new(body, "instances")?, entries: Vec::new() })
    }

    /// Parses up to `count` further entries, and returns whether there may be more.
    pub fn parse_some(&mut self, count: usize) -> Result<bool, String> {
        for _ in 0..count {
            let Some(entry) = self.items.next_item()? else { return Ok(false) };
            if self.entries.len() == MAX_SEARCHERS {
                return Err(format!("instances has more than {MAX_SEARCHERS} entries"));
            }
            let parsed = parse_entry(&entry);
            self.entries.push(parsed.map_err(|error| format!("instances[{}]: {error}", self.entries.len()))?);
        }
        Ok(true)
    }

    /// The update, once all of it was parsed.
    pub fn finish(self) -> Result<ListUpdate, String> {
        let json = self.items.into_object();
        list_of(&json)?;
        update_from(&json, self.entries)
    }
}

/// Parses the list in the configuration file.
pub fn parse_known(json: &Json) -> Result<ListUpdate, String> {
    let entry = |(index, json)| parse_entry(json).map_err(|error| format!("instances[{index}]: {error}"));
    update_from(json, list_of(json)?.iter().enumerate().map(entry).collect::<Result<_, _>>()?)
}

fn list_of(json: &Json) -> Result<&[Json], String> {
    let instances = json.get("instances").ok_or("no instances")?;
    Ok(instances.as_array().ok_or("instances is not a list")?)
}

fn update_from(json: &Json, entries: Vec<SearcherEntry>) -> Result<ListUpdate, String> {
    let field = |name: &str| json.get(name).ok_or_else(|| format!("no {name}"));
    let version = field("generation")?.as_u64().ok_or("generation is not a whole number")?;
    let is_full = field("reset")?.as_bool().ok_or("reset is not a boolean")?;
    Ok(ListUpdate { version, is_full, entries })
}

fn parse_entry(json: &Json) -> Result<SearcherEntry, String> {
    let text = |name: &str| {
        let value = json.get(name).and_then(Json::as_str).filter(|text| !text.is_empty());
        value.ok_or_else(|| format!("no {name}"))
    };
    let (name, address) = (text("instanceId")?, text("hostPort")?);
    if name.len() > MAX_NAME_BYTES {
        return Err(format!("instanceId has more than {MAX_NAME_BYTES} bytes"));
    }
    let cell = json.get("cell").and_then(Json::as_u64).and_then(|cell| u32::try_from(cell).ok());
    // A fractional start time is accepted: ignoring it would treat a searcher that has just started as warmed
    // up.
    let started_ms =
        json.get("startedAtMs").and_then(Json::as_f64).filter(|ms| *ms > 0.0).map(|ms| ms as u64);
    Ok(SearcherEntry {
        name: name.into(),
        address: address.parse().map_err(|_| format!("hostPort is not an address: {address:.60}"))?,
        zone: json.get("zone").and_then(Json::as_str).unwrap_or_default().into(),
        cell: cell.ok_or("no cell")?,
        // Any other state, known or not, takes no new work.
        ready: text("lifecycle")? == "SERVING",
        removed: text("lifecycle")? == "DELETED",
        started_at: started_ms.map(|ms| Moment::from_micros(ms.saturating_mul(1000))),
    })
}

/// Path that returns the full list at once.
pub fn full_list_path() -> String {
    "/v1/servers".into()
}

/// Path that returns changes after `version`, and may be held for up to `wait_ms` until there are any.
pub fn watch_path(version: u64, wait_ms: u64) -> String {
    format!("/v1/servers?after={version}&wait_ms={wait_ms}")
}

#[cfg(test)]
mod tests;
