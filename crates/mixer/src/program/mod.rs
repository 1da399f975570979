//! The mixer program: its configuration, and the wiring of sockets to the routing state machine.

mod accept_gate;
mod accepting;
mod answers;
mod arrivals;
mod clients;
mod clock;
mod config;
mod dialing;
mod handle;
mod hub;
mod identity;
mod links;
mod log_writer;
mod peer_limits;
mod rejections;
mod requests;
mod signals;
mod startup;
mod watch;

pub use config::Config;
pub use hub::run;
pub use log_writer::LogWriter;
