//! Signals that the mixer is sent.
//!
//! That a signal came is kept as a flag, which its handler sets. A byte through a pair of sockets wakes the task that
//! takes the flags; nothing is read from it. So a wake that is lost, repeated or interrupted changes nothing but when
//! the flags are looked at, and that is bounded by [`CHECK_EVERY`]. Guards against writes in a handler that fail, which
//! nobody is told of: a signal that went as bytes was lost with them. Hurts an idle mixer by ten looks a second.

use crate::transport::{retry_interrupted, sleep, Direction, Socket};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long a signal whose wake was lost waits at the most.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The signals that are taken.
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

/// Signals that have come and were not taken yet.
pub struct Signals {
    pending: Vec<(Signal, Arc<AtomicBool>)>,
    wake_receiver: Socket<UnixStream>,
    /// An error of the wakes was logged; further ones are not.
    error_logged: bool,
}

impl Signals {
    /// From now on the signals do not end the process.
    pub fn new() -> io::Result<Self> {
        let (wake_receiver, wake) = UnixStream::pair()?;
        retry_interrupted(|| wake_receiver.set_nonblocking(true))?;
        // All that may fail for a moment comes before the first handler.
        let senders: Vec<_> = Signal::ALL.iter().map(|_| wake.try_clone()).collect::<io::Result<_>>()?;
        let mut pending = Vec::new();
        for (signal, sender) in Signal::ALL.into_iter().zip(senders) {
            let raised = Arc::new(AtomicBool::new(false));
            // Handlers run in this order: the flag is set before the wake.
            flag::register(signal.number(), raised.clone())?;
            pipe::register(signal.number(), sender)?;
            pending.push((signal, raised));
        }
        Ok(Self { pending, wake_receiver: Socket::new(wake_receiver), error_logged: false })
    }

    /// The next signal. One that came several times before it was taken is taken once.
    pub async fn next(&mut self) -> Signal {
        loop {
            if let Some(signal) = self.take() {
                return signal;
            }
            if let Err(error) = self.wait_for_wake().await {
                self.log_error_once(&error);
                // The wakes may stay readable: waiting for them at once would not wait.
                sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Waits for a wake, and no longer than until the flags are to be looked at anyhow.
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
