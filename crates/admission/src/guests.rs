//! Who is in the house, and the orders in which they are looked for. Bounded by the descriptors of clients.

use crate::{ClientConnectionId, ClientKey, Prefix};
use fernglade::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// What a guest inside is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Nothing whole has come from it, or what was asked was answered.
    Idle,
    /// A request is half said.
    ReceivingRequest,
    /// A scan of its is open.
    ScanOpen,
    /// It was asked to leave, or its connection ends with what is being written to it.
    Closing,
}

#[derive(Clone, Copy, Debug)]
pub struct Line {
    pub caller: ClientKey,
    pub address: Option<IpAddr>,
    pub known: bool,
    /// None on the porch: accepted, and not let in yet.
    pub inside: Option<Activity>,
    /// When it came, or fell idle, or began to ask.
    pub since: Moment,
}

impl Line {
    /// Inside with no scan open, and staying: one who could make room.
    pub fn is_still(&self) -> bool {
        matches!(self.inside, Some(Activity::Idle | Activity::ReceivingRequest))
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Connections held, wherever they stand.
    pub held: usize,
    /// Still ones, unknown and known: a /64 may be known in part.
    pub still: [usize; 2],
}

#[derive(Default)]
pub struct Guests {
    lines: BTreeMap<ClientConnectionId, Line>,
    callers: BTreeMap<ClientKey, Tally>,
    prefixes: BTreeMap<Prefix, usize>,
    /// By whether they are known: still ones by since when; callers by how many still ones they have; each
    /// caller's still ones by since when.
    still: [BTreeSet<(Moment, ClientConnectionId)>; 2],
    ranks: [BTreeSet<(usize, ClientKey)>; 2],
    of: [BTreeSet<(ClientKey, Moment, ClientConnectionId)>; 2],
    /// In the order in which they came.
    porch: BTreeSet<(Moment, ClientConnectionId)>,
    /// Inside, leaving, known and inside.
    pub inside: usize,
    pub leaving: usize,
    pub known_inside: usize,
}

impl Guests {
    pub fn get(&self, guest: ClientConnectionId) -> Option<&Line> {
        self.lines.get(&guest)
    }

    pub fn lines(&self) -> impl Iterator<Item = (ClientConnectionId, &Line)> {
        self.lines.iter().map(|(guest, line)| (*guest, line))
    }

    pub fn tally(&self, caller: ClientKey) -> Tally {
        self.callers.get(&caller).copied().unwrap_or_default()
    }

    pub fn of_prefix(&self, caller: ClientKey) -> usize {
        caller.prefix().and_then(|prefix| self.prefixes.get(&prefix).copied()).unwrap_or(0)
    }

    pub fn porch(&self) -> impl Iterator<Item = (Moment, ClientConnectionId)> + '_ {
        self.porch.iter().copied()
    }

    pub fn on_porch(&self) -> usize {
        self.porch.len()
    }

    pub fn still_inside(&self) -> usize {
        self.still[0].len() + self.still[1].len()
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Lines of all tables; nothing is left of those who have gone.
    pub fn table_entries(&self) -> usize {
        let by_known =
            |known: usize| self.still[known].len() + self.ranks[known].len() + self.of[known].len();
        self.lines.len()
            + self.callers.len()
            + self.prefixes.len()
            + self.porch.len()
            + by_known(0)
            + by_known(1)
    }

    /// The one still longest, of all.
    pub fn longest(&self, known: bool) -> Option<(Moment, ClientConnectionId)> {
        self.still[usize::from(known)].first().copied()
    }

    /// The caller with most still ones, and its longest.
    pub fn greatest(&self, known: bool) -> Option<(usize, Moment, ClientConnectionId)> {
        let (count, caller) = *self.ranks[usize::from(known)].last()?;
        let (_, since, guest) = self.longest_of(caller, known)?;
        Some((count, since, guest))
    }

    pub fn longest_of(
        &self,
        caller: ClientKey,
        known: bool,
    ) -> Option<(ClientKey, Moment, ClientConnectionId)> {
        let first = (caller, Moment::default(), ClientConnectionId(0));
        self.of[usize::from(known)].range(first..).next().copied().filter(|(of, ..)| *of == caller)
    }

    pub fn insert(&mut self, guest: ClientConnectionId, line: Line) {
        debug_assert!(!self.lines.contains_key(&guest));
        self.callers.entry(line.caller).or_default().held += 1;
        if let Some(prefix) = line.caller.prefix() {
            *self.prefixes.entry(prefix).or_default() += 1;
        }
        self.lines.insert(guest, line);
        self.count(guest, line, true);
    }

    /// Changes a line; its caller stays.
    pub fn change(&mut self, guest: ClientConnectionId, change: impl FnOnce(&mut Line)) {
        let Some(before) = self.lines.get(&guest).copied() else { return };
        let mut after = before;
        change(&mut after);
        debug_assert_eq!(before.caller, after.caller);
        self.count(guest, before, false);
        self.lines.insert(guest, after);
        self.count(guest, after, true);
    }

    pub fn remove(&mut self, guest: ClientConnectionId) -> Option<Line> {
        let line = self.lines.remove(&guest)?;
        self.count(guest, line, false);
        if let Some(tally) = self.callers.get_mut(&line.caller) {
            tally.held -= 1;
            if tally.held == 0 {
                self.callers.remove(&line.caller);
            }
        }
        if let Some((prefix, count)) =
            line.caller.prefix().and_then(|p| Some((p, self.prefixes.get_mut(&p)?)))
        {
            *count -= 1;
            if *count == 0 {
                self.prefixes.remove(&prefix);
            }
        }
        Some(line)
    }

    /// Puts a line into the orders that it belongs to, or takes it out of them.
    fn count(&mut self, guest: ClientConnectionId, line: Line, more: bool) {
        let step = |count: &mut usize| *count = if more { *count + 1 } else { *count - 1 };
        match line.inside {
            None if more => drop(self.porch.insert((line.since, guest))),
            None => drop(self.porch.remove(&(line.since, guest))),
            Some(standing) => {
                step(&mut self.inside);
                if standing == Activity::Closing {
                    step(&mut self.leaving);
                }
                if line.known {
                    step(&mut self.known_inside);
                }
            }
        }
        if line.is_still() {
            self.count_still(guest, line, more);
        }
    }

    fn count_still(&mut self, guest: ClientConnectionId, line: Line, more: bool) {
        let known = usize::from(line.known);
        let Some(tally) = self.callers.get_mut(&line.caller) else { return };
        let before = tally.still[known];
        let after = if more { before + 1 } else { before - 1 };
        tally.still[known] = after;
        let ranks = &mut self.ranks[known];
        ranks.remove(&(before, line.caller));
        if after > 0 {
            ranks.insert((after, line.caller));
        }
        if more {
            self.still[known].insert((line.since, guest));
            self.of[known].insert((line.caller, line.since, guest));
        } else {
            self.still[known].remove(&(line.since, guest));
            self.of[known].remove(&(line.caller, line.since, guest));
        }
    }
}
