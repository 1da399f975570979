//! Why a link was closed, and what that means for the parts sent over it.

use fernglade::RelayOutcome;

/// Why a link was closed, or why it could not be connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Nothing listens at the address.
    ConnectionRefused,
    /// The connection was not established within the dial timeout.
    ConnectTimedOut,
    /// There is no route to the address.
    Unreachable,
    /// This process had no descriptor or memory left for the connection.
    OutOfResources,
    /// The peer closed the connection while no call was outstanding.
    ClosedIdle,
    /// The peer closed the connection.
    ClosedByPeer,
    /// The connection failed, for example by a reset.
    ConnectionBroken,
    /// Incoming data is malformed or answers no known part.
    InvalidData,
    /// The searcher reported that it could not parse what was sent.
    RejectedByPeer,
    /// The searcher does not read, and the backlog of unwritten bytes has reached its limit.
    WriteBacklogFull,
    /// This side closed the connection.
    ClosedLocally,
}

impl CloseReason {
    /// The outcome of a part whose link closed for this reason; `written` states whether the last byte of its
    /// call had been written.
    pub fn relay_outcome(self, written: bool) -> RelayOutcome {
        match (self, written) {
            (CloseReason::OutOfResources, _)
            | (CloseReason::WriteBacklogFull | CloseReason::ClosedLocally, false) => RelayOutcome::NotSent,
            (CloseReason::ConnectionRefused | CloseReason::ConnectTimedOut | CloseReason::Unreachable, _)
            | (_, false) => RelayOutcome::Unreachable,
            (CloseReason::ClosedLocally, true) => RelayOutcome::Cancelled,
            (CloseReason::WriteBacklogFull, true) => RelayOutcome::TimedOut,
            // The searcher is alive and responds: the part failed and may have run, but this isn't a lost
            // connection.
            (CloseReason::InvalidData | CloseReason::RejectedByPeer, true) => RelayOutcome::Failed,
            (CloseReason::ClosedIdle | CloseReason::ClosedByPeer | CloseReason::ConnectionBroken, true) => {
                RelayOutcome::ConnectionLost
            }
        }
    }
}
