//! A rolling change of program or settings in stages, stopped when a stage does worse. Pure: no sockets, clock, files or
//! processes; what mixers told, what ended and how late it is come in, and what is to be done goes out.
//!
//! Called by `crates/conductor` (the program `fernglade-rollout`), and by `tests/model.rs`, which walks the same functions
//! with crashes and lost facts anywhere. The design, with what was weighed, is docs/rollout.md.
//!
//! - [`plan`]: the operator's file
//! - [`course`]: the steps, and who is restarted beside the new ones to be held against
//! - [`machine`]: the change; events in, effects out
//! - [`judge`]: whether the new ones do worse, or all do; [`wager`] is the test under it
//! - [`told`]: what mixers tell of themselves
//! - [`journal`]: what has been decided, to go on from
//!
//! What empties each table: all are by mixer, or by zone and traffic type, and begin anew with each step.

pub mod canary_analysis;
pub mod journal;
pub mod machine;
pub mod metrics_sample;
pub mod plan;
pub mod sequential_test;
pub mod spec;
