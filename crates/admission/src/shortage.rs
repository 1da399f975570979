//! A system call that failed for want of descriptors or buffers: for a moment, as when other processes hold the
//! system's last ones, or lastingly. Only the second is worth a client's place.

use fernglade::Span;

/// What follows a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// It may be over in a moment: the call is made again after this pause, and nobody goes.
    TryAgain(Span),
    /// It lasts: room is to be made.
    MakeRoom,
}

/// How often in a row a call has failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    failures: u32,
}

/// The first pause; each further one is twice as long.
const FIRST_PAUSE: Span = Span::from_millis(1);
/// After so many pauses, 31 ms together, it lasts: far less than any client's time, and longer than another process
/// takes to give back what it has.
const PAUSES: u32 = 5;

impl Shortage {
    pub fn failed(&mut self) -> AfterFailure {
        let pause = FIRST_PAUSE * f64::from(1 << self.failures.min(PAUSES));
        self.failures = self.failures.saturating_add(1);
        match self.lasts() {
            true => AfterFailure::MakeRoom,
            false => AfterFailure::TryAgain(pause),
        }
    }

    pub fn passed(&mut self) {
        self.failures = 0;
    }

    pub fn lasts(&self) -> bool {
        self.failures > PAUSES
    }
}
