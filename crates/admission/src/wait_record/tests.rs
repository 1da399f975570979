use super::*;

/// Guards against waits that are counted for another limit, and against counting peers that do not wait.
#[test]
fn waits_are_recorded_by_their_limit() {
    let mut record = WaitRecord::default();
    for limit in Limit::ALL {
        record.record(limit, Span::ZERO);
        assert_eq!(record.of(limit), Waits::default());
        record.record(limit, Span::from_millis(3));
        record.record(limit, Span::from_millis(2));
        let expected = Waits { count: 2, total: Span::from_millis(5), longest: Span::from_millis(3) };
        assert_eq!(record.of(limit), expected, "{}", limit.name());
    }
}
