//! What the program measures for the limits on its peers: the time, how much work each of them causes, and the bytes
//! that are allocated. The limits themselves are decided by [`fernglade_admission::WorkLimiter`] and
//! [`fernglade_admission::MemoryBudget`].

use super::clock::{duration, Clock};
use crate::transport::ReadPermit;
use fernglade::Span;
use fernglade_admission::{
    AcceptBatches, Delay, Limit, MemoryBudget, NextAccept, PeerWork, ServedRequest, WaitRecord, Work,
    WorkLimiter,
};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// How long input waits until it is looked again whether there is memory for it.
const MEMORY_PAUSE: Duration = Duration::from_millis(10);
/// Least time between two rounds in which connections are chosen to give way.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(10);
/// Least time between two log lines about a lasting shortage.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// A wait that is worth a line in the log, if there was none for a while.
const LOGGED_WAIT: Span = Span::from_millis(50);

/// The limits that all peers share.
pub struct PeerLimits {
    clock: Clock,
    work: RefCell<WorkLimiter>,
    memory: MemoryBudget,
    reclaimed_at: Cell<Option<Instant>>,
    warned_at: Cell<Option<Instant>>,
    wait_logged_at: Cell<Option<Instant>>,
}

impl PeerLimits {
    /// Limits that no peer has made use of yet.
    pub fn new(clock: Clock, memory: MemoryBudget) -> Self {
        Self {
            clock,
            work: RefCell::default(),
            memory,
            reclaimed_at: Cell::new(None),
            warned_at: Cell::new(None),
            wait_logged_at: Cell::new(None),
        }
    }

    /// How much may be held for one request that is still arriving.
    pub fn request_share(&self) -> usize {
        self.memory.request_share(allocated_bytes())
    }

    /// How much may be held for one answer that is still arriving.
    pub fn answer_share(&self) -> usize {
        self.memory.answer_share(allocated_bytes())
    }

    /// Whether connections are to be chosen now that give way, as memory is short; false if they just were.
    pub fn is_reclaim_due(&self) -> bool {
        if is_due(&self.warned_at, WARNING_INTERVAL) {
            let (allocated, usable) = (allocated_bytes(), self.memory.limit().unwrap_or(0));
            log::warn!("memory is short: {allocated} of {usable} bytes are allocated");
        }
        is_due(&self.reclaimed_at, RECLAIM_INTERVAL)
    }

    /// Records a connection that a listener has accepted, whose peer may have left already, and returns what happens
    /// before the next one is accepted.
    pub fn connection_accepted(&self, batches: &mut AcceptBatches, has_left: bool) -> NextAccept {
        let now = self.clock.now();
        let pause = self.work.borrow_mut().connection_accepted(has_left, now);
        batches.accepted(pause, now)
    }

    /// Records that a listener pauses, and returns for how long.
    pub fn accept_pause_begins(&self, pause: Span) -> Duration {
        self.wait_begins(Limit::Accepting, pause)
    }

    /// Records work that a peer has caused.
    pub fn charge(&self, peer: &RefCell<PeerWork>, work: &[Work]) {
        self.work.borrow_mut().charge(&mut peer.borrow_mut(), work, self.clock.now());
    }

    /// Records that an answer of so many bytes was used.
    pub fn answer_used(&self, peer: &RefCell<PeerWork>, bytes: usize) {
        self.work.borrow_mut().answer_used(&mut peer.borrow_mut(), bytes);
    }

    /// Records that a client's request was of use.
    pub fn request_served(&self, peer: &RefCell<PeerWork>, request: ServedRequest) {
        self.work.borrow_mut().request_served(&mut peer.borrow_mut(), request);
    }

    /// Whether the peer's next input may be read. `is_awaited` states that something is under way for it.
    pub fn read_permit(&self, peer: &RefCell<PeerWork>, is_awaited: bool) -> ReadPermit {
        match self.delay(peer, is_awaited) {
            Duration::ZERO => ReadPermit::Unlimited,
            delay => ReadPermit::Wait(delay),
        }
    }

    /// The permit to read as much as fits into a share of the memory, of which some is held already.
    pub fn permit_within(&self, share: usize, held: usize, buffered: usize) -> ReadPermit {
        match share.saturating_sub(held) {
            left if left > buffered => ReadPermit::UpTo(left),
            _ => ReadPermit::Wait(MEMORY_PAUSE),
        }
    }

    /// How long the peer has to wait until more is done for it.
    pub fn delay(&self, peer: &RefCell<PeerWork>, is_awaited: bool) -> Duration {
        if peer.borrow().owes_little() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let Delay { wait, begins_for } =
            self.work.borrow_mut().delay(&mut peer.borrow_mut(), is_awaited, now);
        match begins_for {
            Some(limit) => self.wait_begins(limit, wait),
            None => duration(wait),
        }
    }

    /// How long the next call to a peer has to wait, as its answers have cost more than its share.
    pub fn call_delay(&self, peer: &RefCell<PeerWork>) -> Duration {
        let wait = self.work.borrow().call_delay(&peer.borrow(), self.clock.now());
        self.wait_begins(Limit::DiscoveryWork, wait)
    }

    /// How long the response to an unsound request is held back.
    pub fn error_delay(&self) -> Duration {
        let wait = self.work.borrow().error_delay(self.clock.now());
        self.wait_begins(Limit::ErrorResponse, wait)
    }

    /// How often each limit made a peer wait.
    pub fn waits(&self) -> WaitRecord {
        *self.work.borrow().waits()
    }

    /// Records a wait, and logs a long one once in a while.
    fn wait_begins(&self, limit: Limit, wait: Span) -> Duration {
        self.work.borrow_mut().wait_begins(limit, wait);
        if wait >= LOGGED_WAIT && is_due(&self.wait_logged_at, WARNING_INTERVAL) {
            let waits = self.waits().of(limit);
            log::info!(
                "limit on {}: a wait of {} ms; {} waits since the start, {} ms together, {} ms the longest",
                limit.name(),
                wait.micros() / 1_000,
                waits.count,
                waits.total.micros() / 1_000,
                waits.longest.micros() / 1_000,
            );
        }
        duration(wait)
    }
}

/// Whether an interval has passed since `last`, which is then set to now.
fn is_due(last: &Cell<Option<Instant>>, interval: Duration) -> bool {
    let due = last.get().is_none_or(|at| at.elapsed() >= interval);
    if due {
        last.set(Some(Instant::now()));
    }
    due
}

/// The bytes that the whole program has allocated.
pub fn allocated_bytes() -> usize {
    crate::ALLOCATOR.allocated()
}
