//! Signals sent to the mixer.
//!
//! The signal handler sets a flag; a byte through a socket pair wakes the task that checks the flags and
//! carries no information of its own. A wake-up that is lost, repeated or interrupted therefore only changes
//! when the flags are checked, which happens at least every [`CHECK_INTERVAL`]. This guards against failing
//! writes in the handler, which cannot be reported: when the bytes themselves carried the signal, it was lost
//! with them. The cost is ten checks a second in an idle mixer.

use crate::transport::{retry_interrupted, sleep, Direction, Socket};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Upper bound on the delay of a signal whose wake-up was lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The signals that are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Terminate,
    Interrupt,
    HangUp,
}

impl Signal {
    const ALL: [Self; 3] = [Self::Terminate, Self::Interrupt, Self::HangUp];

    fn number(self) -> i32 {
        match self {
            Self::Terminate => SIGTERM,
            Self::Interrupt => SIGINT,
            Self::HangUp => SIGHUP,
        }
    }
}

/// Signals that have arrived and were not taken yet.
pub struct Signals {
    pending: Vec<(Signal, Arc<AtomicBool>)>,
    wake_receiver: Socket<UnixStream>,
    /// A wake-up error has been logged; further ones are not.
    error_logged: bool,
}

impl Signals {
    /// Installs the handlers. From then on these signals no longer end the process.
    pub fn new() -> io::Result<Self> {
        let (wake_receiver, wake) = UnixStream::pair()?;
        retry_interrupted(|| wake_receiver.set_nonblocking(true))?;
        // Everything that can fail transiently precedes the first handler.
        let senders: Vec<_> = Signal::ALL.iter().map(|_| wake.try_clone()).collect::<io::Result<_>>()?;
        let mut pending = Vec::new();
        for (signal, sender) in Signal::ALL.into_iter().zip(senders) {
            let raised = Arc::new(AtomicBool::new(false));
            // Handlers run in order of registration: the flag is set before the wake-up is sent.
            flag::register(signal.number(), raised.clone())?;
            pipe::register(signal.number(), sender)?;
            pending.push((signal, raised));
        }
        Ok(Self { pending, wake_receiver: Socket::new(wake_receiver), error_logged: false })
    }

    /// Waits for the next signal. One that arrives several times before it is taken is reported once.
    pub async fn next(&mut self) -> Signal {
        loop {
            if let Some(signal) = self.take() {
                return signal;
            }
            if let Err(error) = self.wait_for_wake().await {
                self.log_error_once(&error);
                // The socket may stay readable, so waiting on it again at once would spin.
                sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Waits for a wake-up, at most until the next regular check of the flags.
    async fn wait_for_wake(&self) -> io::Result<()> {
        let wake = async {
            let read = |mut socket: &UnixStream| retry_interrupted(|| socket.read(&mut [0; 64]));
            self.wake_receiver.when_ready(Direction::Read, read).await.map(drop)
        };
        let check = async {
            sleep(CHECK_INTERVAL).await;
            Ok(())
        };
        future::or(wake, check).await
    }

    fn take(&self) -> Option<Signal> {
        let raised = self.pending.iter().find(|(_, raised)| raised.swap(false, Ordering::SeqCst));
        raised.map(|(signal, _)| *signal)
    }

    fn log_error_once(&mut self, error: &io::Error) {
        let unexpected = error.kind() != io::ErrorKind::WouldBlock;
        if unexpected && !std::mem::replace(&mut self.error_logged, true) {
            log::warn!("signal wake-ups fail, signals are now polled every {CHECK_INTERVAL:?}: {error}");
        }
    }
}
