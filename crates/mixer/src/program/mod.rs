//! The program: what it is told at start, and the wiring of sockets to the state machine.

mod accepting;
mod arrivals;
mod clients;
mod clock;
mod handle;
mod hub;
mod identity;
mod links;
mod listening;
mod log_writer;
mod orders;
mod refusals;
mod signals;
mod startup;
mod watch;

pub use hub::run;
pub use log_writer::LogWriter;
pub use orders::Orders;
