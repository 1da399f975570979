//! The work that a peer causes, and what each piece of it costs.

use fernglade::Span;

/// A piece of work that a peer has caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// The event loop was woken for input that completes nothing.
    Wakeup,
    /// So many bytes were read.
    Bytes(usize),
    /// The parser took so many steps: lines, chunks, or messages that nobody asked for.
    ParserSteps(usize),
    /// The body of a request was parsed, which has about so many values, and passed on.
    Request { bytes: usize, values: usize },
    /// A request was answered that no searcher received a part of.
    LocalAnswer,
    /// So many searches of one request were answered that no searcher received a part of.
    LocalSearches(usize),
    /// So many scans were answered.
    Scans(usize),
    /// Answers of shards, of so many bytes, were merged into one.
    MergedBytes(usize),
    /// A call to discovery was answered.
    DiscoveryCall,
    /// So many entries of a list were parsed.
    ListEntries(usize),
    /// A connection was admitted.
    Connection,
}

impl Work {
    /// The time until the same may be done again.
    pub(crate) fn cost(self) -> Span {
        let micros = match self {
            Work::Wakeup => 2_000,
            // 8 MB/s.
            Work::Bytes(count) => count as u64 / 8,
            Work::ParserSteps(count) => count as u64 * 30,
            Work::Request { bytes, values } => bytes as u64 / 4 + values as u64 * 2,
            Work::LocalAnswer => 8_000,
            Work::LocalSearches(count) | Work::Scans(count) => count as u64 * 1_000,
            Work::MergedBytes(count) => count as u64 / 2,
            Work::DiscoveryCall => 20_000,
            Work::ListEntries(count) => count as u64 * 30,
            Work::Connection => 4_000,
        };
        Span::from_micros(micros)
    }

    /// Whether it follows from the pieces in which input comes, and not from what the input is.
    pub(crate) fn is_of_pieces(self) -> bool {
        matches!(self, Work::Wakeup | Work::ParserSteps(_))
    }
}
