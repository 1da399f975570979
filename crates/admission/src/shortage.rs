//! Handles system calls that fail for lack of descriptors or buffers. The shortage may be momentary, as when
//! other processes hold the system's last ones, or persistent. Only a persistent one justifies closing a
//! client's connection.

use fernglade::Span;

/// How to respond to a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureResponse {
    /// The shortage may be momentary: retry after this pause, and close nothing.
    Retry(Span),
    /// The shortage is persistent: free descriptors.
    FreeDescriptors,
}

/// Counts how often in a row a call has failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceShortage {
    failures: u32,
}

/// The first pause; each further one is twice as long.
const FIRST_PAUSE: Span = Span::from_millis(1);
/// After this many pauses, 31 ms in total, the shortage is persistent: far less than any client's timeout,
/// and longer than another process takes to release its descriptors.
const PAUSES: u32 = 5;

impl ResourceShortage {
    /// Records a failed call and says how to respond.
    pub fn record_failure(&mut self) -> FailureResponse {
        let pause = FIRST_PAUSE * f64::from(1 << self.failures.min(PAUSES));
        self.failures = self.failures.saturating_add(1);
        match self.is_persistent() {
            true => FailureResponse::FreeDescriptors,
            false => FailureResponse::Retry(pause),
        }
    }

    /// Records a successful call, which ends the run of failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Whether the shortage is persistent.
    pub fn is_persistent(&self) -> bool {
        self.failures > PAUSES
    }
}
