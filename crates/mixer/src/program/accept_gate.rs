//! Controls whether a listener accepts clients: pauses and the stop are heard whatever its task waits for.

use crate::transport::{sleep, Direction, Notify, RecheckBackoff, Socket};
use futures_lite::future;
use std::cell::Cell;
use std::net::TcpListener;
use std::time::Duration;

/// Controls whether one listener accepts clients.
#[derive(Default)]
pub struct AcceptGate {
    paused: Cell<bool>,
    stopped: Cell<bool>,
    changed: Notify,
}

impl AcceptGate {
    /// Resumes or pauses accepting.
    pub fn set_open(&self, open: bool) {
        self.paused.set(!open);
        self.changed.notify();
    }

    /// Stops accepting for good; the backlog is drained after that.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.changed.notify();
    }

    /// Whether accepting was stopped for good.
    pub fn is_stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Whether connections are accepted now.
    pub fn accepts(&self) -> bool {
        !self.paused.get() && !self.stopped.get()
    }

    /// Waits until a connection may be pending, or the state of the gate changes.
    pub async fn wait_for_connection(&self, listener: &Socket<TcpListener>) {
        if self.paused.get() {
            return self.changed.wait().await;
        }
        future::or(self.changed.wait(), listener.wait(Direction::Read, &mut RecheckBackoff::default())).await;
    }

    /// Waits for a span of time, or until the state of the gate changes.
    pub async fn wait_for(&self, pause: Duration) {
        future::or(self.changed.wait(), sleep(pause)).await;
    }
}
