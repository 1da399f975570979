use super::*;

const DIAL_TIMEOUT: Span = Span::of_millis(250);

fn at(millis: u64) -> Moment {
    Moment::default() + Span::of_millis(millis)
}

fn link(number: u64) -> LinkId {
    LinkId(number)
}

/// A race where connections come up in time.
#[test]
fn what_comes_up_in_time_has_nothing_beside_it() {
    let mut attempts = ConnectionAttempts::default();
    for number in 0..100 {
        let hedge_at = attempts.start(link(number), at(number * 10), DIAL_TIMEOUT);
        attempts.connected(link(number), at(number * 10 + 3));
        assert_eq!(attempts.hedge_decision(link(number), hedge_at, DIAL_TIMEOUT, true), HedgeDecision::Stop);
    }
    assert_eq!(attempts.hedges_in_flight(), 0);
}

/// A dial that waits for one attempt alone, or makes them without end.
#[test]
fn a_late_dial_has_two_further_attempts_and_no_more() {
    let mut attempts = ConnectionAttempts::default();
    let mut hedge_at = attempts.start(link(1), at(0), DIAL_TIMEOUT);
    assert!(hedge_at < at(250 / 4), "{hedge_at:?}");
    for beside in 1..=2 {
        let HedgeDecision::Start(recheck_at) = attempts.hedge_decision(link(1), hedge_at, DIAL_TIMEOUT, true)
        else {
            panic!("none begins")
        };
        assert!(recheck_at > hedge_at);
        assert_eq!(attempts.hedges_in_flight(), beside);
        hedge_at = recheck_at;
    }
    assert_eq!(attempts.hedge_decision(link(1), hedge_at, DIAL_TIMEOUT, true), HedgeDecision::Stop);
    attempts.connected(link(1), hedge_at);
    assert_eq!(attempts.hedges_in_flight(), 0);
}

/// A searcher that takes no connections, dialled by everybody and more by each further attempt.
#[test]
fn further_attempts_are_a_share_of_dials() {
    let mut attempts = ConnectionAttempts::default();
    let mut begun = 0;
    for number in 0..1000 {
        let hedge_at = attempts.start(link(number), at(number), DIAL_TIMEOUT);
        begun += usize::from(matches!(
            attempts.hedge_decision(link(number), hedge_at, DIAL_TIMEOUT, true),
            HedgeDecision::Start(_)
        ));
        attempts.failed(link(number));
    }
    assert!(begun as f64 <= 1000.0 * HEDGES_PER_DIAL + MAX_HEDGE_BUDGET && begun > 400, "{begun}");
}

/// The last descriptor given to a second attempt at what the first may bring.
#[test]
fn none_begins_where_no_descriptor_is_left() {
    let mut attempts = ConnectionAttempts::default();
    let hedge_at = attempts.start(link(1), at(0), DIAL_TIMEOUT);
    let HedgeDecision::Wait(recheck_at) = attempts.hedge_decision(link(1), hedge_at, DIAL_TIMEOUT, false)
    else {
        panic!("one begins")
    };
    assert!(matches!(
        attempts.hedge_decision(link(1), recheck_at, DIAL_TIMEOUT, true),
        HedgeDecision::Start(_)
    ));
}

/// Attempts far away that are all taken for late, or near ones that are waited for as long.
#[test]
fn what_is_late_follows_what_dials_take() {
    let hedge_delay = |connect_times: u64| {
        let mut attempts = ConnectionAttempts::default();
        for number in 0..20 {
            attempts.start(link(number), at(0), DIAL_TIMEOUT);
            attempts.connected(link(number), at(if number % 3 == 0 { 200 } else { connect_times }));
        }
        attempts.start(link(99), at(0), DIAL_TIMEOUT).since(at(0))
    };
    assert_eq!(hedge_delay(10), Span::of_millis(40));
    assert_eq!(hedge_delay(0), Span::of_micros(250_000 / 32));
    assert_eq!(hedge_delay(100), Span::of_micros(250_000 / 4));
}
