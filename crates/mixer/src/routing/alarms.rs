//! What waits for its time. Each line leaves when its time comes; those of scans number as many as were
//! opened within the longest quoted time.

use super::{ClientId, LinkId};
use fernglade::{Moment, Ticket};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
pub enum Alarm {
    /// The module asked to be woken.
    Wake(Ticket),
    /// A relay's time is over, if it is still the one that is due then.
    Overdue(Ticket, Moment),
    /// A relay that waits to be sent by then, if it is still the one of that time, is not to be.
    BeginBy(Ticket, Moment),
    /// What a client has been about since then is to be whole.
    HalfAsked(ClientId, Moment),
    /// Somebody at the door may have waited long enough, if this is still what is due.
    Door(Moment),
    /// A frame that began then is to be whole.
    HalfSaid(LinkId, Moment),
    /// A frame of ours that began to be written then is to be out.
    HalfWritten(LinkId, Moment),
    /// A dial that is not up by then is late.
    DialLate(LinkId),
    ShutDoor,
    LastCall,
}

#[derive(Default)]
pub struct Alarms {
    due: BTreeMap<(Moment, u64), Alarm>,
    count: u64,
    told: Option<Moment>,
}

impl Alarms {
    pub fn set(&mut self, at: Moment, alarm: Alarm) {
        self.count += 1;
        self.due.insert((at, self.count), alarm);
    }

    /// The next alarm whose time has come, in the order of their times.
    pub fn next(&mut self, now: Moment) -> Option<Alarm> {
        let first = self.due.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// The time to be woken at, where it is another than was told before.
    pub fn changed(&mut self) -> Option<Moment> {
        let first = self.due.first_key_value().map(|((at, _), _)| *at);
        let changed = first != self.told;
        self.told = first;
        first.filter(|_| changed)
    }

    /// The program's alarm has rung, and is to be set anew.
    pub fn rang(&mut self) {
        self.told = None;
    }
}
