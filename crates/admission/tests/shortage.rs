//! When a failed system call costs a client its place.

use fernglade::Span;
use fernglade_admission::{AfterFailure, Shortage};

#[test]
fn a_call_that_fails_for_a_moment_is_made_again_and_one_that_goes_on_failing_makes_room() {
    let mut shortage = Shortage::default();
    let pauses: Vec<AfterFailure> = (0..5).map(|_| shortage.failed()).collect();
    let millis = [1, 2, 4, 8, 16].map(|millis| AfterFailure::TryAgain(Span::from_millis(millis)));
    assert_eq!(pauses, millis);
    assert_eq!(shortage.failed(), AfterFailure::MakeRoom);
    assert!(shortage.lasts());
    shortage.passed();
    assert_eq!(shortage.failed(), millis[0], "one that passed ends the row");
}
