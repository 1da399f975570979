//! The listeners: whoever stands outside is accepted in batches, as long as the door is open.

use super::clients::Clients;
use super::clock::duration;
use super::handle::Handle;
use super::rejections::reject_alone;
use crate::protocol::scans::bounce;
use crate::routing::Event;
use crate::transport::{
    accept, sleep, Accepted, Direction, Notify, RecheckBackoff, ReserveDescriptor, Socket,
};
use fernglade_admission::{AfterFailure, Shortage};
use futures_lite::future;
use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How many are accepted before others have a turn: some hundred microseconds' work.
const BATCH_SIZE: usize = 32;
/// How long the backlog of a listener that is to be shut is looked after where accepts fail.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Where not even the reserve accepts: long enough not to spin, short against any client's time.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(20);
/// A shortage that lasts is told of once in so long.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// Whether clients are accepted by one listener.
#[derive(Default)]
pub struct AcceptGate {
    full: Cell<bool>,
    stopped: Cell<bool>,
    changed: Notify,
}

impl AcceptGate {
    pub fn set_open(&self, open: bool) {
        self.full.set(!open);
        self.changed.notify();
    }

    pub fn stop(&self) {
        self.stopped.set(true);
        self.changed.notify();
    }

    /// Waits until somebody may stand outside, or the door is opened or shut.
    async fn wait_for_connection(&self, listener: &Socket<TcpListener>) {
        if self.full.get() {
            return self.changed.wait().await;
        }
        future::or(self.changed.wait(), listener.wait(Direction::Read, &mut RecheckBackoff::default())).await;
    }

    fn accepts(&self) -> bool {
        !self.full.get() && !self.stopped.get()
    }
}

/// What a batch of accepts leaves of the backlog.
enum Backlog {
    /// Nobody stands there who is to be let in now.
    Emptied,
    /// Somebody may.
    MayHaveMore,
}

/// One listener, and what it meets.
struct Acceptor {
    clients: Rc<Clients>,
    handle: Handle,
    listener: Socket<TcpListener>,
    shortage: Shortage,
    reserve: ReserveDescriptor,
    warned_at: Option<Instant>,
}

/// Accepts until the door is shut, then lets in who stands in the backlog, and closes the listener.
pub async fn accept_all(clients: Rc<Clients>, handle: Handle, which: usize, listener: Socket<TcpListener>) {
    let mut acceptor = Acceptor {
        clients: clients.clone(),
        handle: handle.clone(),
        listener,
        shortage: Shortage::default(),
        reserve: ReserveDescriptor::default(),
        warned_at: None,
    };
    let gate = clients.gate(which);
    while !gate.stopped.get() {
        match acceptor.batch(gate).await {
            Backlog::Emptied => gate.wait_for_connection(&acceptor.listener).await,
            Backlog::MayHaveMore => future::yield_now().await,
        }
    }
    acceptor.drain_backlog().await;
    drop(acceptor);
    handle.dispatch(Event::DoorShut);
}

impl Acceptor {
    /// Nobody is accepted where the door is not open.
    async fn batch(&mut self, gate: &AcceptGate) -> Backlog {
        for _ in 0..BATCH_SIZE {
            if !gate.accepts() {
                return Backlog::Emptied;
            }
            match accept(self.listener.get_ref()) {
                Ok(Some(accepted)) => self.hand_over(accepted),
                Ok(None) => return Backlog::Emptied,
                Err(error) => {
                    self.accept_failed(&error).await;
                    return Backlog::MayHaveMore;
                }
            }
        }
        Backlog::MayHaveMore
    }

    /// The system has taken in who stands outside: they are served, or told.
    async fn drain_backlog(&mut self) {
        let began = Instant::now();
        loop {
            match accept(self.listener.get_ref()) {
                Ok(Some(accepted)) => self.hand_over(accepted),
                Ok(None) => return,
                Err(_) if began.elapsed() > BACKLOG_DRAIN_TIMEOUT => return,
                Err(error) => self.accept_failed(&error).await,
            }
        }
    }

    fn hand_over(&mut self, accepted: Accepted) {
        self.shortage.passed();
        self.clients.accepted(&self.handle, accepted);
    }

    async fn accept_failed(&mut self, error: &io::Error) {
        match self.shortage.failed() {
            AfterFailure::TryAgain(pause) => sleep(duration(pause)).await,
            AfterFailure::MakeRoom => self.reject_for_shortage(error).await,
        }
    }

    /// Whoever is at the door hears that there is no room, rather than waiting for what may not come.
    async fn reject_for_shortage(&mut self, error: &io::Error) {
        if self.warned_at.is_none_or(|warned_at| warned_at.elapsed() > WARNING_INTERVAL) {
            log::warn!("no client can be let in: {error}");
            self.warned_at = Some(Instant::now());
        }
        self.handle.dispatch(Event::Short);
        match self.reserve.accept(self.listener.get_ref()) {
            Some(accepted) => reject_alone(accepted.stream, &bounce(self.clients.retry_after(), true)).await,
            None => sleep(SHORTAGE_PAUSE).await,
        }
        self.reserve.restore();
    }
}
