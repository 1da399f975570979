//! The memory that the program holds for its peers: how much of it one request or answer may take, and who gives
//! way when it runs short.
//!
//! Called by the mixer's tasks before they read, and by `routing` before it takes a scan or a value. The one figure
//! that everything is compared with is the number of bytes allocated by the whole program, counted where they are
//! allocated; nothing is kept here.
//!
//! Each share is a fraction of what is still free. So whoever holds much is refused first, what is left never runs
//! out, and requests and answers of the usual size are always taken.
//!
//! | what is wanted | fraction of the free bytes | if it is more |
//! | --- | --- | --- |
//! | bytes of a request that is still arriving | [`REQUEST_DIVISOR`] | it waits unread in the kernel, and those that have waited longest give way |
//! | a whole request | [`SCAN_DIVISOR`] | it is refused before any part of it is sent |
//! | an answer that is still arriving | [`ANSWER_DIVISOR`] | it waits unread in the kernel |
//! | a whole value of a part | [`ANSWER_DIVISOR`] | its part fails |

use crate::ClientConnectionId;
use fernglade::Span;

/// What every peer may hold: usual requests and answers are shorter.
const SMALL_BYTES: usize = 4 * 1024;
const REQUEST_DIVISOR: usize = 64;
const SCAN_DIVISOR: usize = 16;
const ANSWER_DIVISOR: usize = 8;
/// Code and stacks that the program may still touch after its start.
const PROGRAM_GROWTH_BYTES: usize = 2 * 1024 * 1024;
/// Five eighths of the rest may be allocated: the allocator holds more than is in use.
const ALLOCATABLE: (usize, usize) = (5, 8);
/// The least limit with which a mixer serves.
pub const MIN_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// How long a request may have been arriving before it gives way. Usual ones come in one piece.
const REQUEST_GRACE: Span = Span::from_millis(250);
/// How long a client may read nothing of its answer before it gives way: as long as a closing connection is given.
const UNREAD_GRACE: Span = Span::from_millis(2_000);
/// How many give way at once.
const MAX_RECLAIMED: usize = 16;

/// What a connection holds that can be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldingKind {
    /// A request that is still arriving.
    UnfinishedRequest,
    /// An answer that its client does not read.
    UnreadAnswer,
}

/// Memory that is held for one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    pub connection: ClientConnectionId,
    pub kind: HoldingKind,
    pub bytes: usize,
    /// Since the request began, or since its client last read some of the answer.
    pub age: Span,
}

/// The bytes that may be allocated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    usable: usize,
}

impl Default for MemoryBudget {
    /// No limit.
    fn default() -> Self {
        Self { usable: usize::MAX }
    }
}

impl MemoryBudget {
    /// Plans for a limit on resident memory, of which the program itself takes `program` bytes beside what it
    /// allocates, and for so many connections at once, each of which may hold a little. `None` for a limit too low
    /// to serve with.
    pub fn plan(limit: usize, program: usize, connections: usize) -> Option<Self> {
        let rest = limit.saturating_sub(program + PROGRAM_GROWTH_BYTES);
        let usable = (rest / ALLOCATABLE.1 * ALLOCATABLE.0).saturating_sub(connections * SMALL_BYTES);
        (limit >= MIN_LIMIT_BYTES && usable > SMALL_BYTES).then_some(Self { usable })
    }

    /// The bytes that may be allocated in all; `None` without a limit.
    pub fn limit(&self) -> Option<usize> {
        Some(self.usable).filter(|usable| *usable < usize::MAX)
    }

    fn share(&self, allocated: usize, divisor: usize) -> usize {
        (self.usable.saturating_sub(allocated) / divisor).max(SMALL_BYTES)
    }

    /// How much may be held for one request that is still arriving.
    pub fn request_share(&self, allocated: usize) -> usize {
        self.share(allocated, REQUEST_DIVISOR)
    }

    /// How much may be held for one answer that is still arriving.
    pub fn answer_share(&self, allocated: usize) -> usize {
        self.share(allocated, ANSWER_DIVISOR)
    }

    /// Whether a whole request of so many bytes is taken.
    pub fn admits_scan(&self, bytes: usize, allocated: usize) -> bool {
        bytes <= self.share(allocated, SCAN_DIVISOR)
    }

    /// Whether a part's value of so many bytes is taken.
    pub fn admits_value(&self, bytes: usize, allocated: usize) -> bool {
        bytes <= self.share(allocated, ANSWER_DIVISOR)
    }
}

/// Which connections give way when memory is short: those that hold most for unfinished requests, and only where
/// there is none of these, those that hold most of unread answers. Never one whose request was handed on, nor one
/// that holds no more than anyone may.
pub fn choose_reclaimed(holdings: &[Holding]) -> Vec<Holding> {
    let of_kind = |kind: HoldingKind, grace: Span| {
        let gives_way = move |holding: &&Holding| {
            holding.kind == kind && holding.age >= grace && holding.bytes > SMALL_BYTES
        };
        let mut found: Vec<Holding> = holdings.iter().filter(gives_way).copied().collect();
        found.sort_unstable_by_key(|holding| std::cmp::Reverse((holding.bytes, holding.age)));
        found.truncate(MAX_RECLAIMED);
        found
    };
    let unfinished = of_kind(HoldingKind::UnfinishedRequest, REQUEST_GRACE);
    if unfinished.is_empty() {
        of_kind(HoldingKind::UnreadAnswer, UNREAD_GRACE)
    } else {
        unfinished
    }
}

#[cfg(test)]
mod tests;
