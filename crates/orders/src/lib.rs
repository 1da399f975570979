//! The operator's configuration file: JSON5, every key is optional, and what is not set is off. Parsing takes
//! a text and returns the configuration or a one-line error, without I/O. The program calls it at startup and
//! on SIGHUP.

mod admission;
mod dialect;
mod file;
mod units;

pub use dialect::{Dialect, Index};
pub use file::{digest, ConfigError, OperatorConfig};
