//! Records how often each limit made a peer wait, and for how long.

use fernglade::Span;

/// The limit that made a peer wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Accepting of connections: pending ones wait in the backlog.
    Accepting,
    /// What one client's own work has cost: its input waits.
    ClientWork,
    /// What the unsound work of all clients has cost: the input of those that caused much of it waits.
    AllClientsWork,
    /// The same: the error response to an unsound request waits.
    ErrorResponse,
    /// What one searcher's work has cost: its input waits.
    SearcherWork,
    /// What discovery's work has cost: the next call to it, or its input, waits.
    DiscoveryWork,
}

impl Limit {
    /// Every limit.
    pub const ALL: [Self; 6] = [
        Self::Accepting,
        Self::ClientWork,
        Self::AllClientsWork,
        Self::ErrorResponse,
        Self::SearcherWork,
        Self::DiscoveryWork,
    ];

    /// The name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepting => "accepting",
            Self::ClientWork => "client work",
            Self::AllClientsWork => "work of all clients",
            Self::ErrorResponse => "error response",
            Self::SearcherWork => "searcher work",
            Self::DiscoveryWork => "discovery work",
        }
    }
}

/// The waits that one limit has caused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// How many there were.
    pub count: u64,
    /// How long they were together.
    pub total: Span,
    /// How long the longest was.
    pub longest: Span,
}

/// The waits that all limits have caused.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitRecord {
    by_limit: [Waits; Limit::ALL.len()],
}

impl WaitRecord {
    /// Records a wait; one of no length is none.
    pub fn record(&mut self, limit: Limit, wait: Span) {
        if wait == Span::ZERO {
            return;
        }
        let waits = &mut self.by_limit[limit as usize];
        waits.count += 1;
        waits.total = waits.total + wait;
        waits.longest = waits.longest.max(wait);
    }

    /// The waits that a limit has caused.
    pub fn of(&self, limit: Limit) -> Waits {
        self.by_limit[limit as usize]
    }
}

#[cfg(test)]
mod tests;
