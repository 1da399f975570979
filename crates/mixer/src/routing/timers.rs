//! What waits for its time. Each line leaves when its time comes; those of scans number as many as were
//! opened within the longest quoted time.

use super::{ClientId, LinkId};
use fernglade::{Moment, Ticket};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
pub enum Timer {
    /// The module asked to be woken.
    Wake(Ticket),
    /// A relay's time is over, if it is still the one that is due then.
    RelayDeadline(Ticket, Moment),
    /// A relay that waits to be sent by then, if it is still the one of that time, is not to be.
    SendDeadline(Ticket, Moment),
    /// What a client has been about since then is to be whole.
    RequestTimeout(ClientId, Moment),
    /// Somebody at the door may have waited long enough, if this is still what is due.
    AdmissionDue(Moment),
    /// A frame that began then is to be whole.
    PartialReadTimeout(LinkId, Moment),
    /// A frame of ours that began to be written then is to be out.
    PartialWriteTimeout(LinkId, Moment),
    /// A dial that is not up by then is late.
    HedgeDialDue(LinkId),
    CloseListener,
    BacklogGraceOver,
}

#[derive(Default)]
pub struct Timers {
    due: BTreeMap<(Moment, u64), Timer>,
    count: u64,
    reported: Option<Moment>,
}

impl Timers {
    pub fn set(&mut self, at: Moment, timer: Timer) {
        self.count += 1;
        self.due.insert((at, self.count), timer);
    }

    /// The next timer whose time has come, in the order of their times.
    pub fn next(&mut self, now: Moment) -> Option<Timer> {
        let first = self.due.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// The time to be woken at, where it is another than was reported before.
    pub fn changed_deadline(&mut self) -> Option<Moment> {
        let first = self.due.first_key_value().map(|((at, _), _)| *at);
        let changed = first != self.reported;
        self.reported = first;
        first.filter(|_| changed)
    }

    /// The program's timer has rung, and is to be set anew.
    pub fn fired(&mut self) {
        self.reported = None;
    }
}
