//! Byte streams over TCP: accepting and dialing, with one read buffer and one bounded write queue per
//! connection. Nothing here interprets the bytes.

mod connection;
mod net;
mod notify;
mod reactor;
mod read_buffer;
mod socket;
mod system;
mod write_queue;

pub use connection::{
    drain_socket, has_unread_input, linger, run_connection, ConnectionControl, ReadPermit, StreamEnd,
};
pub use net::{
    accept, dial, is_local_error, is_resource_shortage, listen, timeout, Accepted, ReserveDescriptor, Stream,
    LISTEN_BACKLOG,
};
pub use notify::Notify;
pub use reactor::{sleep, sleep_until, Direction, Reactor};
pub use read_buffer::ReadBuffer;
pub use socket::{RecheckBackoff, Socket};
pub use system::{read, read_now, retry_interrupted, write_all};
pub use write_queue::{WriteProgress, WriteQueue};
