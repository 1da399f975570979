use super::*;

const WITHIN: Span = Span::from_millis(250);

fn at(millis: u64) -> Moment {
    Moment::default() + Span::from_millis(millis)
}

fn link(number: u64) -> LinkId {
    LinkId(number)
}

/// A race where connections come up in time.
#[test]
fn what_comes_up_in_time_has_nothing_beside_it() {
    let mut attempts = ConnectionAttempts::default();
    for number in 0..100 {
        let late = attempts.begin(link(number), at(number * 10), WITHIN);
        attempts.up(link(number), at(number * 10 + 3));
        assert_eq!(attempts.late(link(number), late, WITHIN, true), Late::Nothing);
    }
    assert_eq!(attempts.beside(), 0);
}

/// A dial that waits for one attempt alone, or makes them without end.
#[test]
fn a_late_dial_has_two_further_attempts_and_no_more() {
    let mut attempts = ConnectionAttempts::default();
    let mut late = attempts.begin(link(1), at(0), WITHIN);
    assert!(late < at(250 / 4), "{late:?}");
    for beside in 1..=2 {
        let Late::Begin(again) = attempts.late(link(1), late, WITHIN, true) else { panic!("none begins") };
        assert!(again > late);
        assert_eq!(attempts.beside(), beside);
        late = again;
    }
    assert_eq!(attempts.late(link(1), late, WITHIN, true), Late::Nothing);
    attempts.up(link(1), late);
    assert_eq!(attempts.beside(), 0);
}

/// A searcher that takes no connections, dialled by everybody and more by each further attempt.
#[test]
fn further_attempts_are_a_share_of_dials() {
    let mut attempts = ConnectionAttempts::default();
    let mut begun = 0;
    for number in 0..1000 {
        let late = attempts.begin(link(number), at(number), WITHIN);
        begun += usize::from(matches!(attempts.late(link(number), late, WITHIN, true), Late::Begin(_)));
        attempts.ended(link(number));
    }
    assert!(begun as f64 <= 1000.0 * SHARE + MOST_SAVED && begun > 400, "{begun}");
}

/// The last descriptor given to a second attempt at what the first may bring.
#[test]
fn none_begins_where_no_descriptor_is_left() {
    let mut attempts = ConnectionAttempts::default();
    let late = attempts.begin(link(1), at(0), WITHIN);
    let Late::Wait(again) = attempts.late(link(1), late, WITHIN, false) else { panic!("one begins") };
    assert!(matches!(attempts.late(link(1), again, WITHIN, true), Late::Begin(_)));
}

/// Attempts far away that are all taken for late, or near ones that are waited for as long.
#[test]
fn what_is_late_follows_what_dials_take() {
    let late_after = |took: u64| {
        let mut attempts = ConnectionAttempts::default();
        for number in 0..20 {
            attempts.begin(link(number), at(0), WITHIN);
            attempts.up(link(number), at(if number % 3 == 0 { 200 } else { took }));
        }
        attempts.begin(link(99), at(0), WITHIN).since(at(0))
    };
    assert_eq!(late_after(10), Span::from_millis(40));
    assert_eq!(late_after(0), Span::from_micros(250_000 / 32));
    assert_eq!(late_after(100), Span::from_micros(250_000 / 4));
}
