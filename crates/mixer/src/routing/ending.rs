//! The ways in which a connection ends, and what each means for the parts on it.

use fernglade::RelayOutcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nobody listens there.
    Refused,
    /// It was not up within the time given.
    NeverUp,
    /// There is no way there.
    NoWay,
    /// We had no descriptor or memory for it.
    Short,
    /// The other side closed it while nothing was out on it.
    ClosedIdle,
    /// The other side closed it.
    Ended,
    /// It broke.
    Broke,
    /// What came over it can't be read, or belongs to nobody.
    Garbled,
    /// The searcher could not use what we sent, and said so.
    Objected,
    /// It takes no more bytes, and what waits for it is at its bound.
    Stuck,
    /// We closed it.
    HungUp,
}

impl Ending {
    /// How a part lands whose connection ended so; `out` tells whether its call's last byte was written.
    pub fn landing(self, out: bool) -> RelayOutcome {
        match (self, out) {
            (Ending::Short, _) | (Ending::Stuck | Ending::HungUp, false) => RelayOutcome::NotSent,
            (Ending::Refused | Ending::NeverUp | Ending::NoWay, _) | (_, false) => RelayOutcome::Unreachable,
            (Ending::HungUp, true) => RelayOutcome::Cancelled,
            (Ending::Stuck, true) => RelayOutcome::TimedOut,
            // It is there, and talks: a failed part that may have run, and no connection that dropped.
            (Ending::Garbled | Ending::Objected, true) => RelayOutcome::Failed,
            (Ending::ClosedIdle | Ending::Ended | Ending::Broke, true) => RelayOutcome::ConnectionLost,
        }
    }
}
