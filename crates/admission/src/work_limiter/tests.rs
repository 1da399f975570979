use super::*;
use proptest::prelude::*;

const START: Moment = Moment::from_micros(1_000_000_000);

/// How often a peer causes this work within `millis`, when it waits as it is told and otherwise never rests.
fn done_within(millis: u64, work: Work, peers: usize) -> usize {
    let mut limiter = WorkLimiter::default();
    let mut states: Vec<(PeerWork, Moment)> = (0..peers).map(|_| (PeerWork::default(), START)).collect();
    let mut done = 0;
    for step in 0..millis * 10 {
        let now = START + Span::from_micros(step * 100);
        for (peer, next) in states.iter_mut().filter(|(_, next)| *next <= now) {
            limiter.charge(peer, &[work], now);
            done += 1;
            *next = now + limiter.delay(peer, false, now).wait;
        }
    }
    done
}

#[test]
fn one_peers_work_is_bounded() {
    assert!((2_100..=2_200).contains(&done_within(4_000, Work::Wakeup, 1)));
    assert!((530..=545).contains(&done_within(4_000, Work::LocalAnswer, 1)));
    assert!((4_250..=4_350).contains(&done_within(4_000, Work::Scans(1), 1)));
}

/// Guards against a peer that divides its work among many connections.
#[test]
fn the_work_of_many_peers_is_bounded_in_sum() {
    let of_one = done_within(4_000, Work::Wakeup, 1);
    let of_hundred = done_within(4_000, Work::Wakeup, 100);
    assert!(of_hundred < 6 * of_one, "{of_one} {of_hundred}");
}

#[test]
fn a_peer_that_asks_one_request_after_another_is_not_delayed_by_others() {
    let mut limiter = WorkLimiter::default();
    let (mut noisy, mut usual) = (PeerWork::default(), PeerWork::default());
    for step in 0..1_000 {
        let now = START + Span::from_millis(step * 10);
        (0..100).for_each(|_| limiter.charge(&mut noisy, &[Work::LocalAnswer], now));
        limiter.charge(&mut usual, &[Work::Bytes(400), Work::Scans(1)], now);
        assert_eq!(limiter.delay(&mut usual, false, now).wait, Span::ZERO);
    }
    assert!(limiter.delay(&mut noisy, false, START + Span::from_millis(10_000)).wait > Span::ZERO);
    assert!(limiter.delay(&mut PeerWork::default(), false, START).wait == Span::ZERO, "nor is a new one");
}

#[test]
fn connections_are_accepted_at_a_bounded_rate_after_a_burst() {
    let mut limiter = WorkLimiter::default();
    assert!((0..100).all(|_| limiter.connection_accepted(false, START) == Span::ZERO));
    assert_eq!(limiter.connection_accepted(false, START), ACCEPT_COST);
    assert_eq!(limiter.connection_accepted(false, START + Span::from_millis(1)), Span::ZERO);
}

#[test]
fn an_error_response_is_held_back_for_a_bounded_time() {
    let mut limiter = WorkLimiter::default();
    assert_eq!(limiter.error_delay(START), Span::ZERO);
    (0..100_000).for_each(|_| limiter.charge(&mut PeerWork::default(), &[Work::LocalAnswer], START));
    assert_eq!(limiter.error_delay(START), MAX_WAIT);
}

#[test]
fn answers_that_were_asked_for_cost_their_sender_nothing() {
    let mut limiter = WorkLimiter::default();
    let mut searcher = PeerWork::new(PeerKind::Searcher);
    for step in 0..10_000 {
        let now = START + Span::from_millis(step);
        (0..8).for_each(|_| limiter.charge(&mut searcher, &[Work::Wakeup], now));
        limiter.charge(&mut searcher, &[Work::Bytes(60_000)], now);
        limiter.answer_used(&mut searcher, 60_000);
        assert_eq!((searcher.debt.owed(now), limiter.all_clients.owed(now)), (Span::ZERO, Span::ZERO));
    }
}

/// Guards against learning late of the end of a client whose parts are out.
#[test]
fn a_peer_with_something_under_way_waits_for_a_short_time_only() {
    let mut limiter = WorkLimiter::default();
    let mut peer = PeerWork::default();
    (0..10_000).for_each(|_| limiter.charge(&mut peer, &[Work::Wakeup, Work::Bytes(1 << 20)], START));
    assert_eq!(limiter.delay(&mut peer, true, START).wait, MAX_AWAITED_WAIT);
    let mut idle = PeerWork::default();
    (0..10_000).for_each(|_| limiter.charge(&mut idle, &[Work::Wakeup, Work::Bytes(1 << 20)], START));
    assert_eq!(limiter.delay(&mut idle, false, START).wait, MAX_WAIT);
    assert_eq!(limiter.delay(&mut idle, true, START).wait, MAX_AWAITED_WAIT, "also once it waits");
}

/// Guards against long bodies, requests of many searches and long lists that cost no more than short ones.
#[test]
fn work_of_one_piece_costs_by_its_size() {
    let per_second = |work: Work| done_within(4_000, work, 1) / 4;
    assert!(per_second(Work::Request { bytes: 64_000, values: 32_000 }) <= 20);
    assert!(per_second(Work::Scans(100)) <= 12 && per_second(Work::LocalSearches(100)) <= 12);
    assert!(per_second(Work::MergedBytes(256_000)) <= 12);
    assert!(per_second(Work::Request { bytes: 300, values: 12 }) > 1_000, "a usual one costs little");
}

/// A watch of discovery goes on if the next call comes within 0.2 s of the last answer.
#[test]
fn a_call_to_discovery_waits_for_a_bounded_time() {
    let (mut limiter, mut discovery) = (WorkLimiter::default(), PeerWork::new(PeerKind::Discovery));
    limiter.charge(&mut discovery, &[Work::DiscoveryCall, Work::ListEntries(200)], START);
    assert_eq!(limiter.call_delay(&discovery, START), Span::ZERO);
    limiter.charge(&mut discovery, &[Work::ListEntries(8_000)], START);
    assert_eq!(limiter.call_delay(&discovery, START), Span::ZERO, "nor after one of the longest lists");
    limiter.charge(&mut discovery, &[Work::ListEntries(8_000)], START);
    assert!(limiter.call_delay(&discovery, START) > Span::ZERO);
    limiter.charge(&mut discovery, &[Work::ListEntries(8_000); 10], START);
    assert_eq!(limiter.call_delay(&discovery, START), MAX_CALL_DELAY);
}

#[test]
fn connections_whose_peers_have_left_are_accepted_faster() {
    let mut limiter = WorkLimiter::default();
    assert!((0..400).all(|_| limiter.connection_accepted(true, START) == Span::ZERO));
    assert_eq!(limiter.connection_accepted(true, START), LEFT_ACCEPT_COST);
}

/// Guards against a pause that grows with the number of connections that were accepted before.
#[test]
fn the_pause_between_accepts_is_bounded_however_many_were_accepted() {
    let mut limiter = WorkLimiter::default();
    let longest = (0..100_000).map(|_| limiter.connection_accepted(false, START)).max();
    assert_eq!(longest, Some(MAX_ACCEPT_PAUSE));
    let later = START + MAX_ACCEPT_DEBT;
    assert_eq!(limiter.connection_accepted(false, later), Span::ZERO);
}

/// Guards against a wait that follows a wait before anything was read.
#[test]
fn a_peer_that_has_waited_is_read_from_until_it_causes_further_work() {
    let (mut limiter, mut peer) = (WorkLimiter::default(), PeerWork::default());
    (0..10_000).for_each(|_| limiter.charge(&mut peer, &[Work::LocalAnswer], START));
    assert_eq!(limiter.delay(&mut peer, false, START).wait, MAX_WAIT);
    let halfway = START + MAX_WAIT * 0.5;
    assert_eq!(
        limiter.delay(&mut peer, false, halfway).wait,
        MAX_WAIT * 0.5,
        "asking again prolongs nothing"
    );
    let resumed = START + MAX_WAIT;
    assert_eq!(limiter.delay(&mut peer, false, resumed).wait, Span::ZERO);
    // The rest of a long request, read in one turn.
    for _ in 0..4 {
        limiter.charge(&mut peer, &[Work::ParserSteps(1), Work::Bytes(16 * 1_024)], resumed);
        assert_eq!(limiter.delay(&mut peer, false, resumed).wait, Span::ZERO);
    }
    limiter.charge(&mut peer, &[Work::LocalAnswer], resumed);
    assert!(limiter.delay(&mut peer, false, resumed).wait > Span::ZERO);
}

/// Guards against a turn that a peer prolongs by input that completes nothing.
#[test]
fn a_turn_ends_after_the_longest_request() {
    let (mut limiter, mut peer) = (WorkLimiter::default(), PeerWork::default());
    (0..10_000).for_each(|_| limiter.charge(&mut peer, &[Work::LocalAnswer], START));
    let resumed = START + limiter.delay(&mut peer, false, START).wait;
    let reads = (0..1_000).take_while(|_| {
        limiter.charge(&mut peer, &[Work::Bytes(16 * 1_024)], resumed);
        limiter.delay(&mut peer, false, resumed).wait == Span::ZERO
    });
    assert_eq!(reads.count(), 5);
}

/// Guards against work of bad clients that a client pays for whose requests are served.
#[test]
fn long_requests_that_are_served_do_not_wait_beside_any_flood() {
    let (mut limiter, mut usual) = (WorkLimiter::default(), PeerWork::default());
    for step in 0..60_000 {
        let now = START + Span::from_millis(step);
        for _ in 0..10 {
            limiter.charge(&mut PeerWork::default(), &[Work::Connection, Work::LocalAnswer], now);
        }
        for _ in 0..4 {
            limiter.charge(&mut usual, &[Work::ParserSteps(1), Work::Bytes(12_000)], now);
            assert_eq!(limiter.delay(&mut usual, false, now).wait, Span::ZERO);
        }
        limiter.charge(&mut usual, &[Work::Request { bytes: 48_000, values: 10 }], now);
        limiter.request_served(&mut usual, ServedRequest::Scan);
        assert_eq!(limiter.delay(&mut usual, false, now).wait, Span::ZERO);
    }
}

/// Guards against sound work that takes noise off the debt of all clients.
#[test]
fn requests_that_are_served_leave_the_debt_of_others_as_it_is() {
    let (mut limiter, mut noisy) = (WorkLimiter::default(), PeerWork::default());
    (0..10_000).for_each(|_| limiter.charge(&mut noisy, &[Work::LocalAnswer], START));
    let owed = limiter.all_clients.owed(START);
    for _ in 0..1_000 {
        let mut usual = PeerWork::default();
        limiter.charge(&mut usual, &[Work::Connection, Work::Bytes(48_000)], START);
        limiter.request_served(&mut usual, ServedRequest::Scan);
    }
    assert_eq!((owed, limiter.all_clients.owed(START)), (MAX_OWED_BY_ALL, MAX_OWED_BY_ALL));
}

/// The longest that anything may wait: a client's close has to be heeded within this time (STANDING).
const LONGEST_WAIT_OF_THE_PAGES: Span = Span::from_millis(100);

fn any_work() -> impl Strategy<Value = Work> {
    prop_oneof![
        Just(Work::Wakeup),
        (1..2_000_000_usize).prop_map(Work::Bytes),
        (1..50_000_usize).prop_map(Work::ParserSteps),
        (1..65_536_usize, 0..32_768_usize).prop_map(|(bytes, values)| Work::Request { bytes, values }),
        Just(Work::LocalAnswer),
        (1..100_usize).prop_map(Work::LocalSearches),
        (1..100_usize).prop_map(Work::Scans),
        (1..4_000_000_usize).prop_map(Work::MergedBytes),
        Just(Work::DiscoveryCall),
        (1..8_192_usize).prop_map(Work::ListEntries),
        Just(Work::Connection),
    ]
}

/// What happens in a series, and how long after the step before it.
#[derive(Clone, Debug)]
enum Step {
    Accepts(bool, usize),
    NoiseOfOne(usize, Work, usize),
    NoiseOfANewClient(Work),
}

fn any_step() -> impl Strategy<Value = (Step, u64)> {
    let step = prop_oneof![
        (any::<bool>(), 1..10_000_usize).prop_map(|(has_left, count)| Step::Accepts(has_left, count)),
        (0..3_usize, any_work(), 1..300_usize)
            .prop_map(|(peer, work, count)| Step::NoiseOfOne(peer, work, count)),
        any_work().prop_map(Step::NoiseOfANewClient),
    ];
    (step, 0..300_000_u64)
}

proptest! {
    /// Guards against any series of work and accepts, minutes long, that makes a sound client wait for others, or
    /// anyone for longer than the pages allow.
    #[test]
    fn no_series_makes_a_sound_client_wait(steps in proptest::collection::vec(any_step(), 1_000)) {
        let kinds = [PeerKind::Client, PeerKind::Searcher, PeerKind::Discovery];
        let mut noisy = kinds.map(PeerWork::new);
        let (mut limiter, mut sound, mut now) = (WorkLimiter::default(), PeerWork::default(), START);
        for (step, micros) in steps {
            now = now + Span::from_micros(micros);
            match step {
                Step::Accepts(has_left, count) => for _ in 0..count {
                    prop_assert!(limiter.connection_accepted(has_left, now) <= Span::from_millis(1));
                },
                Step::NoiseOfOne(peer, work, count) => {
                    let peer = &mut noisy[peer];
                    (0..count).for_each(|_| limiter.charge(peer, &[work], now));
                    let wait = limiter.delay(peer, false, now).wait;
                    prop_assert!(wait <= LONGEST_WAIT_OF_THE_PAGES);
                    now = now + wait;
                    prop_assert_eq!(limiter.delay(peer, false, now).wait, Span::ZERO);
                }
                Step::NoiseOfANewClient(work) => limiter.charge(&mut PeerWork::default(), &[work], now),
            }
            prop_assert!(limiter.error_delay(now) <= LONGEST_WAIT_OF_THE_PAGES);
            // A long request in four reads, served at once.
            for _ in 0..4 {
                limiter.charge(&mut sound, &[Work::ParserSteps(2), Work::Bytes(16_000), Work::Wakeup], now);
                prop_assert_eq!(limiter.delay(&mut sound, false, now).wait, Span::ZERO);
            }
            limiter.charge(&mut sound, &[Work::Request { bytes: 64_000, values: 20 }], now);
            limiter.request_served(&mut sound, ServedRequest::Scan);
            prop_assert_eq!(limiter.delay(&mut sound, false, now).wait, Span::ZERO);
        }
    }
}
