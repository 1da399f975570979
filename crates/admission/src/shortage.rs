//! A system call that failed for want of descriptors or buffers: for a moment, as when other processes hold the
//! system's last ones, or lastingly. Only the second is worth a client's place.

use fernglade::Span;

/// What follows a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureResponse {
    /// It may be over in a moment: the call is made again after this pause, and nobody goes.
    Retry(Span),
    /// It lasts: room is to be made.
    FreeDescriptors,
}

/// How often in a row a call has failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceShortage {
    failures: u32,
}

/// The first pause; each further one is twice as long.
const FIRST_PAUSE: Span = Span::of_millis(1);
/// After so many pauses, 31 ms together, it lasts: far less than any client's time, and longer than another process
/// takes to give back what it has.
const PAUSES: u32 = 5;

impl ResourceShortage {
    pub fn record_failure(&mut self) -> FailureResponse {
        let pause = FIRST_PAUSE * f64::from(1 << self.failures.min(PAUSES));
        self.failures = self.failures.saturating_add(1);
        match self.is_persistent() {
            true => FailureResponse::FreeDescriptors,
            false => FailureResponse::Retry(pause),
        }
    }

    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    pub fn is_persistent(&self) -> bool {
        self.failures > PAUSES
    }
}
