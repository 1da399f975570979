//! Pending timers. A timer is removed only when it fires, so there are as many scan timers as scans were
//! opened within the longest time limit.

use super::{ClientId, LinkId};
use fernglade::{Moment, Ticket};
use std::collections::BTreeMap;

/// What to do when a timer fires. Most carry the time or the id they were set for, to detect that they are
/// outdated.
#[derive(Clone, Copy, Debug)]
pub enum Timer {
    /// A timer that the decision module set.
    Routing(Ticket),
    /// A relay has timed out, if its deadline is still this one.
    RelayDeadline(Ticket, Moment),
    /// A relay started at that time must not be sent any more, if it still waits to be sent.
    SendDeadline(Ticket, Moment),
    /// The time limit for a client's request, or its first request, that began at that time.
    RequestTimeout(ClientId, Moment),
    /// A client may have waited long enough for admission, if this is still the time that is due.
    AdmissionDue(Moment),
    /// An incoming frame that began at that time must be complete by now.
    PartialReadTimeout(LinkId, Moment),
    /// An outgoing frame that began at that time must be written by now.
    PartialWriteTimeout(LinkId, Moment),
    /// A dial that is still not connected may need a hedged attempt.
    HedgeDialDue(LinkId),
    /// The listener is to be closed during shutdown.
    CloseListener,
    /// Clients from the listen backlog have had their time to send a request.
    BacklogGraceOver,
}

/// The pending timers in the order of their times.
#[derive(Default)]
pub struct Timers {
    due: BTreeMap<(Moment, u64), Timer>,
    count: u64,
    reported: Option<Moment>,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Moment, timer: Timer) {
        self.count += 1;
        self.due.insert((at, self.count), timer);
    }

    /// Removes and returns the earliest timer that is due.
    pub fn next(&mut self, now: Moment) -> Option<Timer> {
        let first = self.due.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }

    /// The number of pending timers.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// The time of the earliest timer, if it differs from what was last reported.
    pub fn changed_deadline(&mut self) -> Option<Moment> {
        let first = self.due.first_key_value().map(|((at, _), _)| *at);
        let changed = first != self.reported;
        self.reported = first;
        first.filter(|_| changed)
    }

    /// The program's timer has fired and has to be set again.
    pub fn fired(&mut self) {
        self.reported = None;
    }
}
