//! Rolling change of a fleet of mixers to a new program or new settings, in steps, with automatic rollback
//! when a step performs worse. The library is pure: it uses no sockets, clock, files or processes. Metrics,
//! process exits and elapsed time come in as events, and the actions to carry out are returned.
//!
//! It is driven by `crates/conductor` (the program `fernglade-rollout`). `tests/model.rs` model-checks the
//! same functions with crashes and lost messages at any point. The design and its trade-offs are in
//! docs/rollout.md.
//!
//! - [`plan`]: the operator's plan file
//! - [`spec`]: the steps of a rollout, and which mixers form the canary and baseline cohorts of each
//! - [`machine`]: the state machine; events in, effects out
//! - [`canary_analysis`]: compares canary and baseline, and all mixers with the time before the step;
//!   [`sequential_test`] is the statistical test it uses
//! - [`metrics_sample`]: the metrics of one mixer
//! - [`journal`]: the durable record of decisions, from which an interrupted rollout continues
//!
//! Every table is keyed by mixer, or by zone and traffic type, and is reset for each step.

pub mod canary_analysis;
pub mod journal;
pub mod machine;
pub mod metrics_sample;
pub mod plan;
pub mod sequential_test;
pub mod spec;
