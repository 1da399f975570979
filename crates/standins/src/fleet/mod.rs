//! A fleet under faults: several processes of the built mixer on loopback, scripted searchers, an agent of discovery
//! for each mixer and clients that come again, with a link of ours between any two that can be cut, stalled or slowed.
//! One JSON5 file and a seed say what happens; a judge reads what passed on the links, never the mixers' own counts.
//!
//! - [`day`]: the file, its checks and its draws
//! - [`post`]: what a searcher has room for: cores, a queue, a cold start, the point at which it topples
//! - [`way`]: the link between a mixer and a searcher, and its faults
//! - [`trace`]: what passed, and when
//! - [`judge`]: the six rules and the sums, from the trace alone
//! - [`figures`]: what was served, sent, asked and dialled, second by second
//! - [`play`]: starts, runs and ends it all; one thread, bounded in time
//!
//! The tasks of `play`: [`agent`] (discovery), [`attend`] (searchers), [`callers`] (clients), [`herd`] (processes).

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
