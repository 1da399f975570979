//! Clients: let in, read, and answered, one request at a time on each connection.

use super::accepting::Door;
use super::handle::Handle;
use super::identity::Identity;
use super::listening::serve;
use super::refusals::Refusals;
use crate::protocol::scans::{self, retry_later_response};
use crate::protocol::MAX_BODY_BYTES;
use crate::routing::{ClientId, Event, Reply};
use crate::transport::{sleep, Accepted, Line, Socket};
use fernglade::Span;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One answer.
const MOST_WAITING: usize = MAX_BODY_BYTES + 1024;
/// Who asks for what makes no sense is heard again after this: at full speed it would take the time of others.
const REST: Duration = Duration::from_millis(100);

/// All clients' connections: those that were accepted and have no place yet, those inside, and those that hear a
/// refusal.
pub struct Clients {
    /// One for each address that is listened on.
    doors: Vec<Door>,
    count: Cell<u64>,
    pending: RefCell<BTreeMap<ClientId, (TcpStream, Instant)>>,
    inside: RefCell<BTreeMap<ClientId, Rc<Connection>>>,
    refusals: Refusals,
    /// When those refused last were to come back; for those refused where no descriptor is left.
    come_back: Cell<Span>,
    /// Indices of the query dialect; it is not spoken where there are none.
    indices: BTreeSet<String>,
    who: Rc<Identity>,
}

impl Clients {
    /// So many may stand half closed until they have fetched their refusal.
    pub fn new(listeners: usize, most_told: usize, indices: BTreeSet<String>, who: Rc<Identity>) -> Self {
        Self {
            indices,
            who,
            doors: (0..listeners).map(|_| Door::default()).collect(),
            count: Cell::new(0),
            pending: RefCell::default(),
            inside: RefCell::default(),
            refusals: Refusals::new(most_told),
            come_back: Cell::new(Span::ZERO),
        }
    }

    pub fn door(&self, listener: usize) -> &Door {
        &self.doors[listener]
    }

    pub fn refusals(&self) -> &Refusals {
        &self.refusals
    }

    pub fn come_back(&self) -> Span {
        self.come_back.get()
    }

    pub fn indices(&self) -> &BTreeSet<String> {
        &self.indices
    }

    pub fn may_read_figures(&self, from: std::net::IpAddr) -> bool {
        self.who.tells_to(from)
    }

    /// A connection was accepted: it waits until the house has a place for it, or none.
    pub fn knocked(&self, handle: &Handle, accepted: Accepted) {
        self.count.set(self.count.get() + 1);
        let client = ClientId(self.count.get());
        self.pending.borrow_mut().insert(client, (accepted.stream, Instant::now()));
        handle.feed(Event::ClientAccepted(client, accepted.from));
    }

    /// A connection is over, its descriptor free.
    pub fn left(&self, handle: &Handle, client: ClientId) {
        self.inside.borrow_mut().remove(&client);
        handle.feed(Event::ClientDisconnected(client));
    }

    pub fn open_door(&self, open: bool) {
        self.doors.iter().for_each(|door| door.open(open));
    }

    pub fn shut_door(&self) {
        self.doors.iter().for_each(Door::shut);
    }

    /// Lets in one that waits on the porch.
    pub fn let_in(self: &Rc<Self>, handle: &Handle, client: ClientId) {
        let waited = self.pending.borrow_mut().remove(&client);
        let Some((stream, since)) = waited else { return handle.feed(Event::ClientDisconnected(client)) };
        // Inside from now on: it may be sent off before its task has run once.
        let connection = Rc::new(Connection::new());
        self.inside.borrow_mut().insert(client, connection.clone());
        let stream = Socket::new(stream);
        handle.spawn(serve(self.clone(), handle.clone(), client, stream, connection, since.elapsed()));
    }

    pub fn turn_away(&self, client: ClientId, pause: Span) {
        self.come_back.set(pause);
        if let Some((stream, _)) = self.pending.borrow_mut().remove(&client) {
            self.refusals.tell(stream, &retry_later_response(pause, true));
        }
    }

    pub fn dismiss(&self, client: ClientId) {
        self.with(client, |connection| connection.send_off());
    }

    pub fn reply(&self, handle: &Handle, client: ClientId, reply: &Reply, last: bool) {
        self.with(client, |connection| {
            let last = connection.ends_with_this(last);
            let bytes = match reply {
                Reply::Answer { complete, values } => scans::scan_response(*complete, values, last),
                Reply::Rejected(retry_after) => retry_later_response(*retry_after, last),
                Reply::Failed => scans::failure_response(last),
                Reply::QueryApi { status, body, retry_after, opaque_id } => {
                    scans::dialect_response(*status, body, *retry_after, opaque_id.as_deref(), last)
                }
                Reply::Health(ready) => scans::health_response(*ready, last),
                Reply::Metrics(figures) => scans::metrics_response(&self.who.tells(figures).encode(), last),
                Reply::InvalidRequest(why) if !last && !connection.sent_off.get() => {
                    return handle.spawn(connection.clone().blame(scans::error_response(why, last)));
                }
                Reply::InvalidRequest(why) => scans::error_response(why, last),
            };
            connection.answer(bytes, last);
        });
    }

    fn with(&self, client: ClientId, act: impl FnOnce(&Rc<Connection>)) {
        let connection = self.inside.borrow().get(&client).cloned();
        if let Some(connection) = connection {
            act(&connection);
        }
    }
}

/// One client's connection, as others see it.
pub struct Connection {
    pub line: Line,
    /// A request is being answered.
    pub answering: Cell<bool>,
    /// The client wants no more than this answer.
    pub is_last: Cell<bool>,
    /// It is to go, once what has come from it is answered.
    pub sent_off: Cell<bool>,
    /// More was read than the request that is being answered.
    pub unread: Cell<bool>,
}

impl Connection {
    fn new() -> Self {
        let line = Line::new(MOST_WAITING);
        Self {
            line,
            answering: false.into(),
            is_last: false.into(),
            sent_off: false.into(),
            unread: false.into(),
        }
    }

    /// Whether the next request may be looked at: the one before it is answered, and its answer written.
    pub fn takes_request(&self) -> bool {
        let line = &self.line;
        !line.is_closing() && !self.answering.get() && !line.is_flooded() && line.outbox.is_empty()
    }

    /// Whether the connection ends with the answer that is given now. One that is sent off stays until all that was
    /// read from it is answered.
    fn ends_with_this(&self, sent_off: bool) -> bool {
        if self.is_last.get() || self.line.is_flooded() {
            return true;
        }
        self.sent_off.set(self.sent_off.get() || sent_off);
        self.sent_off.get() && !self.unread.get()
    }

    fn send_off(&self) {
        self.sent_off.set(true);
        self.line.look.ring();
    }

    fn answer(&self, bytes: Vec<u8>, last: bool) {
        let room = self.line.outbox.push(0, bytes);
        if last || !room {
            self.line.close();
        }
        self.hear_on();
    }

    fn hear_on(&self) {
        self.answering.set(false);
        self.line.look.ring();
    }

    /// The same for one who asked for what makes no sense, and may ask on.
    async fn blame(self: Rc<Self>, bytes: Vec<u8>) {
        if !self.line.outbox.push(0, bytes) {
            self.line.close();
        }
        sleep(REST).await;
        if self.line.is_flooded() {
            self.line.close();
        }
        self.hear_on();
    }
}

#[cfg(test)]
mod tests;
