//! Clients: let in, read, and answered, one request at a time on each connection.

use super::accepting::AcceptGate;
use super::handle::Handle;
use super::identity::Identity;
use super::rejections::Rejections;
use super::requests::serve;
use crate::protocol::scans::{self, bounce};
use crate::protocol::MOST_BODY;
use crate::routing::{ClientId, Event, Reply};
use crate::transport::{sleep, Accepted, ConnectionControl, Socket};
use fernglade::Span;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One answer.
const MAX_QUEUED_BYTES: usize = MOST_BODY + 1024;
/// Who asks for what makes no sense is heard again after this: at full speed it would take the time of others.
const INVALID_REQUEST_DELAY: Duration = Duration::from_millis(100);

/// All clients' connections: those that were accepted and have no place yet, those inside, and those that hear a
/// refusal.
pub struct Clients {
    /// One for each address that is listened on.
    gates: Vec<AcceptGate>,
    count: Cell<u64>,
    pending: RefCell<BTreeMap<ClientId, (TcpStream, Instant)>>,
    admitted: RefCell<BTreeMap<ClientId, Rc<Connection>>>,
    rejections: Rejections,
    /// When those refused last were to come back; for those refused where no descriptor is left.
    retry_after: Cell<Span>,
    /// Indices of the query dialect; it is not spoken where there are none.
    indices: BTreeSet<String>,
    identity: Rc<Identity>,
}

impl Clients {
    /// So many may stand half closed until they have fetched their refusal.
    pub fn new(
        listeners: usize,
        max_rejections: usize,
        indices: BTreeSet<String>,
        identity: Rc<Identity>,
    ) -> Self {
        Self {
            indices,
            identity,
            gates: (0..listeners).map(|_| AcceptGate::default()).collect(),
            count: Cell::new(0),
            pending: RefCell::default(),
            admitted: RefCell::default(),
            rejections: Rejections::new(max_rejections),
            retry_after: Cell::new(Span::ZERO),
        }
    }

    pub fn gate(&self, listener: usize) -> &AcceptGate {
        &self.gates[listener]
    }

    pub fn rejections(&self) -> &Rejections {
        &self.rejections
    }

    pub fn retry_after(&self) -> Span {
        self.retry_after.get()
    }

    pub fn indices(&self) -> &BTreeSet<String> {
        &self.indices
    }

    pub fn may_read_metrics(&self, from: std::net::IpAddr) -> bool {
        self.identity.may_read_metrics(from)
    }

    /// A connection was accepted: it waits until the house has a place for it, or none.
    pub fn accepted(&self, handle: &Handle, accepted: Accepted) {
        self.count.set(self.count.get() + 1);
        let client = ClientId(self.count.get());
        self.pending.borrow_mut().insert(client, (accepted.stream, Instant::now()));
        handle.dispatch(Event::Knocked(client, accepted.from));
    }

    /// A connection is over, its descriptor free.
    pub fn closed(&self, handle: &Handle, client: ClientId) {
        self.admitted.borrow_mut().remove(&client);
        handle.dispatch(Event::ClientGone(client));
    }

    pub fn set_accepting(&self, open: bool) {
        self.gates.iter().for_each(|gate| gate.set_open(open));
    }

    pub fn stop_listening(&self) {
        self.gates.iter().for_each(AcceptGate::stop);
    }

    /// Lets in one that waits on the porch.
    pub fn admit(self: &Rc<Self>, handle: &Handle, client: ClientId) {
        let waited = self.pending.borrow_mut().remove(&client);
        let Some((stream, since)) = waited else { return handle.dispatch(Event::ClientGone(client)) };
        // Inside from now on: it may be sent off before its task has run once.
        let connection = Rc::new(Connection::new());
        self.admitted.borrow_mut().insert(client, connection.clone());
        let stream = Socket::new(stream);
        handle.spawn(serve(self.clone(), handle.clone(), client, stream, connection, since.elapsed()));
    }

    pub fn reject(&self, client: ClientId, pause: Span) {
        self.retry_after.set(pause);
        if let Some((stream, _)) = self.pending.borrow_mut().remove(&client) {
            self.rejections.add(stream, &bounce(pause, true));
        }
    }

    pub fn drain(&self, client: ClientId) {
        self.with(client, |connection| connection.drain());
    }

    pub fn reply(&self, handle: &Handle, client: ClientId, reply: &Reply, last: bool) {
        self.with(client, |connection| {
            let last = connection.is_final_answer(last);
            let bytes = match reply {
                Reply::Answer { whole, values } => scans::answer(*whole, values, last),
                Reply::Bounce(pause) => bounce(*pause, last),
                Reply::WriteOff => scans::write_off(last),
                Reply::Dialect { status, body, pause, opaque } => {
                    scans::dialect(*status, body, *pause, opaque.as_deref(), last)
                }
                Reply::Health(ready) => scans::health(*ready, last),
                Reply::Figures(figures) => scans::figures(&self.identity.metrics(figures).text(), last),
                Reply::Refusal(why) if !last && !connection.draining.get() => {
                    return handle.spawn(connection.clone().answer_invalid(scans::refusal(why, last)));
                }
                Reply::Refusal(why) => scans::refusal(why, last),
            };
            connection.answer(bytes, last);
        });
    }

    fn with(&self, client: ClientId, action: impl FnOnce(&Rc<Connection>)) {
        let connection = self.admitted.borrow().get(&client).cloned();
        if let Some(connection) = connection {
            action(&connection);
        }
    }
}

/// One client's connection, as others see it.
pub struct Connection {
    pub control: ConnectionControl,
    /// A request is being answered.
    pub answering: Cell<bool>,
    /// The client wants no more than this answer.
    pub is_last: Cell<bool>,
    /// It is to go, once what has come from it is answered.
    pub draining: Cell<bool>,
    /// More was read than the request that is being answered.
    pub unread: Cell<bool>,
}

impl Connection {
    fn new() -> Self {
        let control = ConnectionControl::new(MAX_QUEUED_BYTES);
        Self {
            control,
            answering: false.into(),
            is_last: false.into(),
            draining: false.into(),
            unread: false.into(),
        }
    }

    /// Whether the next request may be looked at: the one before it is answered, and its answer written.
    pub fn takes_request(&self) -> bool {
        let control = &self.control;
        !control.is_closing()
            && !self.answering.get()
            && !control.has_overflowed()
            && control.write_queue.is_empty()
    }

    /// Whether the connection ends with the answer that is given now. One that is sent off stays until all that was
    /// read from it is answered.
    fn is_final_answer(&self, draining: bool) -> bool {
        if self.is_last.get() || self.control.has_overflowed() {
            return true;
        }
        self.draining.set(self.draining.get() || draining);
        self.draining.get() && !self.unread.get()
    }

    fn drain(&self) {
        self.draining.set(true);
        self.control.recheck.notify();
    }

    fn answer(&self, bytes: Vec<u8>, last: bool) {
        let queued = self.control.write_queue.push(0, bytes);
        if last || !queued {
            self.control.close();
        }
        self.finish_answer();
    }

    fn finish_answer(&self) {
        self.answering.set(false);
        self.control.recheck.notify();
    }

    /// The same for one who asked for what makes no sense, and may ask on.
    async fn answer_invalid(self: Rc<Self>, bytes: Vec<u8>) {
        if !self.control.write_queue.push(0, bytes) {
            self.control.close();
        }
        sleep(INVALID_REQUEST_DELAY).await;
        if self.control.has_overflowed() {
            self.control.close();
        }
        self.finish_answer();
    }
}

#[cfg(test)]
mod tests;
