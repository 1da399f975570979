//! When a failed system call costs a client its place.

use fernglade::Span;
use fernglade_admission::{FailureResponse, ResourceShortage};

#[test]
fn a_call_that_fails_for_a_moment_is_made_again_and_one_that_goes_on_failing_makes_room() {
    let mut shortage = ResourceShortage::default();
    let pauses: Vec<FailureResponse> = (0..5).map(|_| shortage.record_failure()).collect();
    let millis = [1, 2, 4, 8, 16].map(|millis| FailureResponse::Retry(Span::of_millis(millis)));
    assert_eq!(pauses, millis);
    assert_eq!(shortage.record_failure(), FailureResponse::FreeDescriptors);
    assert!(shortage.is_persistent());
    shortage.record_success();
    assert_eq!(shortage.record_failure(), millis[0], "one that passed ends the row");
}
