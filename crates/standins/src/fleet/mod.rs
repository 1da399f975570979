//! A fleet under faults: several processes of the built mixer on loopback, scripted searchers, one discovery
//! agent per mixer, and clients that retry. Every link between a mixer and a searcher passes through this
//! process, so that it can be cut, stalled or slowed down. A JSON5 file, the scenario, and a seed determine
//! what happens. A checker reads what passed on the links, never the mixers' own counters.
//!
//! - [`scenario`]: the file, its checks and its random draws
//! - [`searcher_model`]: a searcher's capacity: cores, a queue, a cold start, the point at which it collapses
//! - [`link`]: the link between a mixer and a searcher, and its faults
//! - [`trace`]: what passed on the links, and when
//! - [`rule_checker`]: the platform's six rules and the fleet's totals, from the trace alone
//! - [`statistics`]: what was served, sent, probed and dialled, second by second
//! - [`runner`]: starts, runs and stops everything; one thread, bounded in time
//!
//! The tasks of `runner` are in `agent` (discovery), `searcher_tasks`, `client_tasks` and `mixer_processes`.

mod agent;
mod client_tasks;
pub mod link;
mod mixer_processes;
pub mod rule_checker;
pub mod runner;
pub mod scenario;
pub mod searcher_model;
mod searcher_tasks;
pub mod statistics;
pub mod trace;

pub use rule_checker::{check_rules, Rule, Violation};
pub use runner::{run, RunResult};
pub use scenario::Scenario;
pub use statistics::RunStatistics;
