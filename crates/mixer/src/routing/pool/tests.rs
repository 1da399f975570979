//! Tests which links a full pool keeps.

use super::{Call, CallState, LinkPool};
use crate::routing::{CallId, SearcherProtocol};
use fernglade::{Moment, Searcher, Span};
use std::net::SocketAddr;

/// Capacity of the pool: what is left of 256 descriptors.
const MAX_LINKS: usize = 92;
/// Time between two calls.
const CALL_INTERVAL: Span = Span::from_millis(2);

/// Calls searchers over a pool and counts the calls that needed a new connection.
struct Caller {
    pool: LinkPool,
    now: Moment,
    dials: usize,
}

impl Caller {
    fn new() -> Self {
        let pool = LinkPool {
            max_links: MAX_LINKS,
            max_calls_per_link: 1,
            max_parts_per_call: 1,
            ..LinkPool::default()
        };
        Self { pool, now: Moment::from_micros(1), dials: 0 }
    }

    /// Makes a call that is answered at once.
    fn call(&mut self, searcher: u32) {
        self.now = self.now + CALL_INTERVAL;
        let (to, address) = (Searcher(searcher), SocketAddr::from(([127, 0, 0, 1], 1)));
        let found = self.pool.find_available(to, address);
        let id = found.unwrap_or_else(|| {
            self.dials += 1;
            let evicted = self.pool.evict_idle(self.now);
            self.pool.closing.retain(|id| !evicted.contains(id));
            self.pool.open(to, address, SearcherProtocol::Frames).expect("idle links are evicted")
        });
        let call =
            Call { parts: Vec::new(), state: CallState::Written, sent_at: self.now, cancelled: Vec::new() };
        let link = self.pool.links.get_mut(&id).expect("the link is in the pool");
        link.connected = true;
        link.add_call(CallId(0), call);
        link.calls.clear();
    }

    /// The fraction of calls to `searchers` that needed a new connection.
    fn dialled_fraction(&mut self, searchers: impl Iterator<Item = u32>) -> f64 {
        self.dials = 0;
        let calls = searchers.map(|searcher| self.call(searcher)).count();
        self.dials as f64 / calls as f64
    }
}

fn in_turn(searchers: u32, rounds: u32) -> impl Iterator<Item = u32> {
    (0..rounds).flat_map(move |_| 0..searchers)
}

/// A mixer calls 128 searchers in turn with a pool of 92 links. The pool used to evict all idle links once
/// full, so that each searcher's link was gone before its next turn: 3,840 connections were accepted for
/// 3,840 parts, where 8 cells take 8 to 41. No pool can keep more than 91 links of the 127 that the other
/// turns need; up to twice the dials of a pool that knows the future are allowed.
#[test]
fn searchers_called_in_turn_keep_their_links() {
    let mut caller = Caller::new();
    caller.dialled_fraction(in_turn(128, 20));
    let minimum = (128 - MAX_LINKS) as f64 / 127.0;
    let fraction = caller.dialled_fraction(in_turn(128, 20));
    assert!(
        fraction <= 2.0 * minimum,
        "{fraction:.2} of the calls needed a new connection, at minimum {minimum:.2}"
    );
}

#[test]
fn often_called_searchers_keep_their_links_beside_those_called_once() {
    let mut caller = Caller::new();
    // Two of three calls go to one of twenty searchers, the third to one of four hundred.
    let calls = |from: u32| {
        (from..from + 2_000).flat_map(|turn| [turn % 20, (turn + 7) % 20, 100 + turn.wrapping_mul(37) % 400])
    };
    caller.dialled_fraction(calls(0));
    let fraction = caller.dialled_fraction(calls(2_000));
    assert!(
        fraction <= 0.35,
        "{fraction:.2} of the calls needed a new connection; a third goes to searchers called once"
    );
}

#[test]
fn links_no_longer_needed_are_evicted() {
    let mut caller = Caller::new();
    caller.dialled_fraction(in_turn(80, 40));
    // Eighty other searchers from now on, for 32 s.
    caller.dialled_fraction(in_turn(80, 200).map(|searcher| 1_000 + searcher));
    let fraction = caller.dialled_fraction(in_turn(80, 20).map(|searcher| 1_000 + searcher));
    assert_eq!(fraction, 0.0, "the pool has room for all eighty");
}

#[test]
fn a_pool_with_room_evicts_nothing() {
    let mut caller = Caller::new();
    caller.dialled_fraction(in_turn(MAX_LINKS as u32 - 1, 1));
    assert!(caller.pool.evict_idle(caller.now).is_empty());
}

#[test]
fn busy_links_stay() {
    let mut caller = Caller::new();
    caller.dialled_fraction(in_turn(MAX_LINKS as u32, 1));
    for link in caller.pool.links.values_mut() {
        link.probing = true;
    }
    assert!(caller.pool.evict_idle(caller.now).is_empty());
}
