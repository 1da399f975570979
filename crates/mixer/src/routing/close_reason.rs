//! The ways in which a connection ends, and what each means for the parts on it.

use fernglade::Landing;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Nobody listens there.
    ConnectionRefused,
    /// It was not up within the time given.
    ConnectTimedOut,
    /// There is no way there.
    Unreachable,
    /// We had no descriptor or memory for it.
    OutOfResources,
    /// The other side closed it while nothing was out on it.
    ClosedIdle,
    /// The other side closed it.
    ClosedByPeer,
    /// It broke.
    ConnectionBroken,
    /// What came over it can't be read, or belongs to nobody.
    ProtocolError,
    /// The searcher could not use what we sent, and said so.
    RejectedByPeer,
    /// It takes no more bytes, and what waits for it is at its bound.
    WriteBacklogFull,
    /// We closed it.
    ClosedLocally,
}

impl CloseReason {
    /// How a part lands whose connection ended so; `out` tells whether its call's last byte was written.
    pub fn landing(self, written: bool) -> Landing {
        match (self, written) {
            (CloseReason::OutOfResources, _)
            | (CloseReason::WriteBacklogFull | CloseReason::ClosedLocally, false) => Landing::Unsent,
            (CloseReason::ConnectionRefused | CloseReason::ConnectTimedOut | CloseReason::Unreachable, _)
            | (_, false) => Landing::Unreached,
            (CloseReason::ClosedLocally, true) => Landing::CalledOff,
            (CloseReason::WriteBacklogFull, true) => Landing::Silent,
            // It is there, and talks: a failed part that may have run, and no connection that dropped.
            (CloseReason::ProtocolError | CloseReason::RejectedByPeer, true) => Landing::Erred,
            (CloseReason::ClosedIdle | CloseReason::ClosedByPeer | CloseReason::ConnectionBroken, true) => {
                Landing::Dropped
            }
        }
    }
}
