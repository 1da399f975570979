//! The listeners: whoever stands outside is accepted in batches, as long as the door is open.

use super::clients::Clients;
use super::clock::duration;
use super::handle::Handle;
use super::refusals::refuse_alone;
use crate::protocol::scans::retry_later_response;
use crate::routing::Event;
use crate::transport::{accept, sleep, Accepted, Bell, Direction, Reserve, Socket, Wait};
use fernglade_admission::{FailureResponse, ResourceShortage};
use futures_lite::future;
use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How many are accepted before others have a turn: some hundred microseconds' work.
const BATCH: usize = 32;
/// How long the backlog of a listener that is to be shut is looked after where accepts fail.
const LAST_ACCEPTS: Duration = Duration::from_millis(200);
/// Where not even the reserve accepts: long enough not to spin, short against any client's time.
const SHORT_PAUSE: Duration = Duration::from_millis(20);
/// A shortage that lasts is told of once in so long.
const TOLD_EVERY: Duration = Duration::from_secs(10);

/// Whether clients are accepted by one listener.
#[derive(Default)]
pub struct Door {
    full: Cell<bool>,
    shut: Cell<bool>,
    moved: Bell,
}

impl Door {
    pub fn open(&self, open: bool) {
        self.full.set(!open);
        self.moved.ring();
    }

    pub fn shut(&self) {
        self.shut.set(true);
        self.moved.ring();
    }

    /// Waits until somebody may stand outside, or the door is opened or shut.
    async fn somebody(&self, listener: &Socket<TcpListener>) {
        if self.full.get() {
            return self.moved.wait().await;
        }
        future::or(self.moved.wait(), listener.wait(Direction::Read, &mut Wait::default())).await;
    }

    fn takes_more(&self) -> bool {
        !self.full.get() && !self.shut.get()
    }
}

/// What a batch of accepts leaves of the backlog.
enum Backlog {
    /// Nobody stands there who is to be let in now.
    Emptied,
    /// Somebody may.
    Left,
}

/// One listener, and what it meets.
struct Accepting {
    clients: Rc<Clients>,
    handle: Handle,
    listener: Socket<TcpListener>,
    shortage: ResourceShortage,
    reserve: Reserve,
    told: Option<Instant>,
}

/// Accepts until the door is shut, then lets in who stands in the backlog, and closes the listener.
pub async fn accept_all(clients: Rc<Clients>, handle: Handle, which: usize, listener: Socket<TcpListener>) {
    let mut accepting = Accepting {
        clients: clients.clone(),
        handle: handle.clone(),
        listener,
        shortage: ResourceShortage::default(),
        reserve: Reserve::default(),
        told: None,
    };
    let door = clients.door(which);
    while !door.shut.get() {
        match accepting.batch(door).await {
            Backlog::Emptied => door.somebody(&accepting.listener).await,
            Backlog::Left => future::yield_now().await,
        }
    }
    accepting.empty_backlog().await;
    drop(accepting);
    handle.feed(Event::ListenerClosed);
}

impl Accepting {
    /// Nobody is accepted where the door is not open.
    async fn batch(&mut self, door: &Door) -> Backlog {
        for _ in 0..BATCH {
            if !door.takes_more() {
                return Backlog::Emptied;
            }
            match accept(self.listener.get_ref()) {
                Ok(Some(accepted)) => self.knock(accepted),
                Ok(None) => return Backlog::Emptied,
                Err(error) => {
                    self.failed(&error).await;
                    return Backlog::Left;
                }
            }
        }
        Backlog::Left
    }

    /// The system has taken in who stands outside: they are served, or told.
    async fn empty_backlog(&mut self) {
        let began = Instant::now();
        loop {
            match accept(self.listener.get_ref()) {
                Ok(Some(accepted)) => self.knock(accepted),
                Ok(None) => return,
                Err(_) if began.elapsed() > LAST_ACCEPTS => return,
                Err(error) => self.failed(&error).await,
            }
        }
    }

    fn knock(&mut self, accepted: Accepted) {
        self.shortage.record_success();
        self.clients.knocked(&self.handle, accepted);
    }

    async fn failed(&mut self, error: &io::Error) {
        match self.shortage.record_failure() {
            FailureResponse::Retry(pause) => sleep(duration(pause)).await,
            FailureResponse::FreeDescriptors => self.make_room(error).await,
        }
    }

    /// Whoever is at the door hears that there is no room, rather than waiting for what may not come.
    async fn make_room(&mut self, error: &io::Error) {
        if self.told.is_none_or(|told| told.elapsed() > TOLD_EVERY) {
            log::warn!("no client can be let in: {error}");
            self.told = Some(Instant::now());
        }
        self.handle.feed(Event::OutOfResources);
        match self.reserve.accept(self.listener.get_ref()) {
            Some(accepted) => {
                refuse_alone(accepted.stream, &retry_later_response(self.clients.come_back(), true)).await
            }
            None => sleep(SHORT_PAUSE).await,
        }
        self.reserve.restore();
    }
}
