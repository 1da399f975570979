//! Byte streams over TCP: accept and dial, one buffer a connection for what comes, one bounded queue for what
//! goes. Nothing here knows what the bytes mean.

mod bell;
mod inbox;
mod net;
mod outbox;
mod pump;
mod reactor;
mod socket;
mod system;

pub use bell::Bell;
pub use inbox::Inbox;
pub use net::{accept, dial, in_time, is_local_fault, is_short, listen, Accepted, Reserve, Stream};
pub use outbox::{Outbox, Written};
pub use pump::{linger, pump, take_rest, Line, Stop};
pub use reactor::{sleep, sleep_until, Direction, Reactor};
pub use socket::{Socket, Wait};
pub use system::{read, uninterrupted, write_all};
