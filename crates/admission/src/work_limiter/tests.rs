use super::*;

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
        assert_eq!(limiter.delay(&usual, false, now).wait, Span::ZERO);
    }
    assert!(limiter.delay(&noisy, false, START + Span::from_millis(10_000)).wait > Span::ZERO);
    assert!(limiter.delay(&PeerWork::default(), false, START).wait == Span::ZERO, "nor is a new one");
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
    assert_eq!(limiter.error_delay(START), MAX_TOTAL_DELAY);
}

#[test]
fn answers_that_were_asked_for_cost_their_sender_nothing() {
    let mut limiter = WorkLimiter::default();
    let mut searcher = PeerWork::default();
    for step in 0..10_000 {
        let now = START + Span::from_millis(step);
        (0..8).for_each(|_| limiter.charge(&mut searcher, &[Work::Wakeup], now));
        limiter.charge(&mut searcher, &[Work::Bytes(60_000)], now);
        limiter.answer_used(&mut searcher, 60_000);
        assert_eq!((searcher.debt.owed(now), limiter.total.owed(now)), (Span::ZERO, Span::ZERO));
    }
}

/// Guards against learning late of the end of a client whose parts are out.
#[test]
fn a_peer_with_something_under_way_waits_for_a_short_time_only() {
    let mut limiter = WorkLimiter::default();
    let mut peer = PeerWork::default();
    (0..10_000).for_each(|_| limiter.charge(&mut peer, &[Work::Wakeup, Work::Bytes(1 << 20)], START));
    assert_eq!(limiter.delay(&peer, true, START).wait, MAX_AWAITED_DELAY);
    assert!(limiter.delay(&peer, false, START).wait > Span::from_millis(1_000));
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
    let (mut limiter, mut discovery) = (WorkLimiter::default(), PeerWork::default());
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
