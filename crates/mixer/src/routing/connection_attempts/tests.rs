use super::*;

const DIAL_TIMEOUT: Span = Span::from_millis(250);

fn at(millis: u64) -> Moment {
    Moment::default() + Span::from_millis(millis)
}

fn link(number: u64) -> LinkId {
    LinkId(number)
}

/// Guards against hedging dials that connect in time.
#[test]
fn a_dial_that_connects_in_time_is_not_hedged() {
    let mut attempts = ConnectionAttempts::default();
    for number in 0..100 {
        let hedge_at = attempts.start(link(number), at(number * 10), DIAL_TIMEOUT);
        attempts.connected(link(number), at(number * 10 + 3));
        assert_eq!(attempts.hedge_decision(link(number), hedge_at, DIAL_TIMEOUT, true), HedgeDecision::Stop);
    }
    assert_eq!(attempts.hedges_in_flight(), 0);
}

/// Guards against never hedging a slow dial, and against hedging it without limit.
#[test]
fn a_slow_dial_is_hedged_twice_at_most() {
    let mut attempts = ConnectionAttempts::default();
    let mut hedge_at = attempts.start(link(1), at(0), DIAL_TIMEOUT);
    assert!(hedge_at < at(250 / 4), "{hedge_at:?}");
    for hedges in 1..=2 {
        let HedgeDecision::Start(recheck_at) = attempts.hedge_decision(link(1), hedge_at, DIAL_TIMEOUT, true)
        else {
            panic!("no attempt starts")
        };
        assert!(recheck_at > hedge_at);
        assert_eq!(attempts.hedges_in_flight(), hedges);
        hedge_at = recheck_at;
    }
    assert_eq!(attempts.hedge_decision(link(1), hedge_at, DIAL_TIMEOUT, true), HedgeDecision::Stop);
    attempts.connected(link(1), hedge_at);
    assert_eq!(attempts.hedges_in_flight(), 0);
}

/// A searcher accepts no connections: hedged attempts must not multiply the dials made to it.
#[test]
fn hedged_attempts_are_limited_to_a_fraction_of_dials() {
    let mut attempts = ConnectionAttempts::default();
    let mut started = 0;
    for number in 0..1000 {
        let hedge_at = attempts.start(link(number), at(number), DIAL_TIMEOUT);
        started += usize::from(matches!(
            attempts.hedge_decision(link(number), hedge_at, DIAL_TIMEOUT, true),
            HedgeDecision::Start(_)
        ));
        attempts.failed(link(number));
    }
    assert!(started as f64 <= 1000.0 * HEDGES_PER_DIAL + MAX_HEDGE_BUDGET && started > 400, "{started}");
}

/// Guards against spending the last descriptor on a hedged attempt.
#[test]
fn no_attempt_starts_without_a_free_descriptor() {
    let mut attempts = ConnectionAttempts::default();
    let hedge_at = attempts.start(link(1), at(0), DIAL_TIMEOUT);
    let HedgeDecision::Wait(recheck_at) = attempts.hedge_decision(link(1), hedge_at, DIAL_TIMEOUT, false)
    else {
        panic!("an attempt starts")
    };
    assert!(matches!(
        attempts.hedge_decision(link(1), recheck_at, DIAL_TIMEOUT, true),
        HedgeDecision::Start(_)
    ));
}

/// Guards against treating all connections to a distant searcher as slow, and against waiting as long for a
/// near one.
#[test]
fn the_hedge_delay_follows_the_connect_times() {
    let hedge_delay = |connect_times: u64| {
        let mut attempts = ConnectionAttempts::default();
        for number in 0..20 {
            attempts.start(link(number), at(0), DIAL_TIMEOUT);
            attempts.connected(link(number), at(if number % 3 == 0 { 200 } else { connect_times }));
        }
        attempts.start(link(99), at(0), DIAL_TIMEOUT).since(at(0))
    };
    assert_eq!(hedge_delay(10), Span::from_millis(40));
    assert_eq!(hedge_delay(0), Span::from_micros(250_000 / 32));
    assert_eq!(hedge_delay(100), Span::from_micros(250_000 / 4));
}
