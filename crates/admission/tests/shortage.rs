//! Tests when a failed system call is retried and when descriptors are freed.

use fernglade::Span;
use fernglade_admission::{FailureResponse, ResourceShortage};

#[test]
fn a_momentary_failure_is_retried_and_a_persistent_one_frees_descriptors() {
    let mut shortage = ResourceShortage::default();
    let pauses: Vec<FailureResponse> = (0..5).map(|_| shortage.record_failure()).collect();
    let millis = [1, 2, 4, 8, 16].map(|millis| FailureResponse::Retry(Span::from_millis(millis)));
    assert_eq!(pauses, millis);
    assert_eq!(shortage.record_failure(), FailureResponse::FreeDescriptors);
    assert!(shortage.is_persistent());
    shortage.record_success();
    assert_eq!(shortage.record_failure(), millis[0], "a success ends the run of failures");
}
