//! Which links a full pool keeps.

use super::{Call, Pool, Stand};
use crate::routing::{CallId, Tongue};
use fernglade::{Moment, Searcher, Span};
use std::net::SocketAddr;

/// Links that a pool may hold: what 256 descriptors leave.
const MOST: usize = 92;
/// Searchers are called one after another, so far apart.
const STEP: Span = Span::from_millis(2);

/// Calls searchers over links of a pool, and counts those for which it had to dial.
struct Caller {
    pool: Pool,
    now: Moment,
    dials: usize,
}

impl Caller {
    fn new() -> Self {
        let pool = Pool { most: MOST, per_link: 1, per_call: 1, ..Pool::default() };
        Self { pool, now: Moment::from_micros(1), dials: 0 }
    }

    /// A call that is answered at once.
    fn call(&mut self, searcher: u32) {
        self.now = self.now + STEP;
        let (to, address) = (Searcher(searcher), SocketAddr::from(([127, 0, 0, 1], 1)));
        let found = self.pool.with_room(to, address);
        let id = found.unwrap_or_else(|| {
            self.dials += 1;
            let cleared = self.pool.make_room(self.now);
            self.pool.closing.retain(|id| !cleared.contains(id));
            self.pool.open(to, address, Tongue::Frames).expect("idle links make room")
        });
        let call = Call { parts: Vec::new(), stand: Stand::Out, left: self.now, given_up: Vec::new() };
        let link = self.pool.links.get_mut(&id).expect("it is in the pool");
        link.up = true;
        link.carry(CallId(0), call);
        link.calls.clear();
    }

    /// The share of calls dialled for, of all that `searchers` get.
    fn share_dialled(&mut self, searchers: impl Iterator<Item = u32>) -> f64 {
        self.dials = 0;
        let calls = searchers.map(|searcher| self.call(searcher)).count();
        self.dials as f64 / calls as f64
    }
}

fn by_turns(searchers: u32, rounds: u32) -> impl Iterator<Item = u32> {
    (0..rounds).flat_map(move |_| 0..searchers)
}

/// What happens: a mixer calls 128 searchers by turns and may hold 92 links. Why it went wrong: once full, the pool let
/// all idle links go, so that each searcher's link was gone before its next turn. What showed it: 3,840 connections
/// accepted for 3,840 parts, where 8 cells take 8 to 41. No pool can keep more than 91 links of the 127 that the other
/// turns need; twice the dials of one that knows the future are borne.
#[test]
fn searchers_called_by_turns_keep_their_links() {
    let mut caller = Caller::new();
    caller.share_dialled(by_turns(128, 20));
    let least = (128 - MOST) as f64 / 127.0;
    let share = caller.share_dialled(by_turns(128, 20));
    assert!(share <= 2.0 * least, "{share:.2} of the calls dialled for, at least {least:.2}");
}

#[test]
fn what_is_called_often_keeps_its_link_beside_what_is_called_once() {
    let mut caller = Caller::new();
    // Of three calls two go to one of twenty searchers, the third to one of four hundred.
    let calls = |from: u32| {
        (from..from + 2_000).flat_map(|turn| [turn % 20, (turn + 7) % 20, 100 + turn.wrapping_mul(37) % 400])
    };
    caller.share_dialled(calls(0));
    let share = caller.share_dialled(calls(2_000));
    assert!(
        share <= 0.35,
        "{share:.2} of the calls dialled for: a third goes to searchers that are called once"
    );
}

#[test]
fn links_that_nobody_needs_any_more_give_way() {
    let mut caller = Caller::new();
    caller.share_dialled(by_turns(80, 40));
    // Eighty others from now on, for 32 s.
    caller.share_dialled(by_turns(80, 200).map(|searcher| 1_000 + searcher));
    let share = caller.share_dialled(by_turns(80, 20).map(|searcher| 1_000 + searcher));
    assert_eq!(share, 0.0, "all eighty fit");
}

#[test]
fn a_pool_with_room_lets_nothing_go() {
    let mut caller = Caller::new();
    caller.share_dialled(by_turns(MOST as u32 - 1, 1));
    assert!(caller.pool.make_room(caller.now).is_empty());
}

#[test]
fn busy_links_stay() {
    let mut caller = Caller::new();
    caller.share_dialled(by_turns(MOST as u32, 1));
    for link in caller.pool.links.values_mut() {
        link.checking = true;
    }
    assert!(caller.pool.make_room(caller.now).is_empty());
}
