//! The operator's file: JSON5, every key optional, everything off where it does not stand. Pure: a text in, the
//! parts' rules or one line of what is wrong out. Called by the program at its start and on SIGHUP.

mod admission;
mod dialect;
mod file;
mod units;

pub use dialect::{Dialect, Index};
pub use file::{digest, ConfigError, OperatorConfig};
