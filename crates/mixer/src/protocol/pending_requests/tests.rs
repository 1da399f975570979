use super::{PendingRequest, PendingRequests};

fn part(id: &str) -> PendingRequest {
    PendingRequest::Part(id.into())
}

/// Guards against giving a response to a request that had not been written whole when it arrived.
#[test]
fn only_requests_written_whole_are_answered_and_in_order() {
    let mut pending = PendingRequests::default();
    pending.queued(PendingRequest::Version);
    pending.queued(part("a"));
    assert_eq!((pending.expected_responses(), pending.answered()), (0, None));
    pending.written();
    assert_eq!((pending.expected_responses(), pending.answered()), (1, Some(PendingRequest::Version)));
    assert_eq!(pending.answered(), None);
    pending.written();
    assert_eq!(pending.answered(), Some(part("a")));
    assert!(pending.is_empty());
}

#[test]
fn a_withdrawn_part_is_forgotten_and_a_written_one_is_not() {
    let mut pending = PendingRequests::default();
    pending.queued(part("a"));
    pending.queued(PendingRequest::HealthProbe);
    pending.part_withdrawn();
    pending.written();
    assert_eq!(pending.answered(), Some(PendingRequest::HealthProbe));
    pending.queued(part("b"));
    pending.written();
    pending.part_withdrawn();
    assert_eq!(pending.answered(), Some(part("b")));
}
