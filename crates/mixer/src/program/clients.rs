//! Client connections: admission, reading and answering, one request at a time per connection.

use super::accept_gate::AcceptGate;
use super::handle::Handle;
use super::identity::Identity;
use super::rejections::Rejections;
use super::requests::serve;
use crate::protocol::scans::{self, retry_later_response};
use crate::protocol::MAX_BODY_BYTES;
use crate::routing::{ClientId, Event, Reply};
use crate::transport::{sleep, Accepted, ConnectionControl, ReadBuffer, ReadPermit, Socket};
use fernglade::Span;
use fernglade_admission::{
    choose_reclaimed, ClientConnectionId, Holding, HoldingKind, PeerWork, ServedRequest, Work,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Enough for one answer.
const MAX_QUEUED_BYTES: usize = MAX_BODY_BYTES + 1024;
/// Pause after an invalid request before the next is read: at full speed a client sending only such requests
/// would take the time of others.
const INVALID_REQUEST_DELAY: Duration = Duration::from_millis(100);

/// The shortest wait of a request that was read and has to wait.
const MIN_POSTPONEMENT: Duration = Duration::from_millis(1);

/// All client connections: accepted ones awaiting admission, admitted ones, and those whose rejection is
/// being delivered.
pub struct Clients {
    /// One for each listening address.
    gates: Vec<AcceptGate>,
    last_id: Cell<u64>,
    pending: RefCell<BTreeMap<ClientId, (TcpStream, Instant)>>,
    admitted: RefCell<BTreeMap<ClientId, Rc<Connection>>>,
    rejections: Rejections,
    /// The latest retry delay sent with a rejection; reused for clients rejected when no descriptor is left.
    retry_after: Cell<Span>,
    /// Indices of the query API; the API is off if there are none.
    indices: BTreeSet<String>,
    identity: Rc<Identity>,
}

impl Clients {
    /// `max_rejections` bounds the half-closed connections whose rejection has not been read yet.
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
            last_id: Cell::new(0),
            pending: RefCell::default(),
            admitted: RefCell::default(),
            rejections: Rejections::new(max_rejections),
            retry_after: Cell::new(Span::ZERO),
        }
    }

    /// The gate of one listener, by its index.
    pub fn gate(&self, listener: usize) -> &AcceptGate {
        &self.gates[listener]
    }

    /// The rejections under way.
    pub fn rejections(&self) -> &Rejections {
        &self.rejections
    }

    /// The latest retry delay sent with a rejection.
    pub fn retry_after(&self) -> Span {
        self.retry_after.get()
    }

    /// The indices of the query API.
    pub fn indices(&self) -> &BTreeSet<String> {
        &self.indices
    }

    /// Whether metrics may be sent to this address.
    pub fn may_read_metrics(&self, from: std::net::IpAddr) -> bool {
        self.identity.may_read_metrics(from)
    }

    /// Registers an accepted connection, which waits for the decision whether to admit it.
    pub fn accepted(&self, handle: &Handle, accepted: Accepted) {
        self.last_id.set(self.last_id.get() + 1);
        let client = ClientId(self.last_id.get());
        self.pending.borrow_mut().insert(client, (accepted.stream, Instant::now()));
        handle.dispatch(Event::ClientAccepted(client, accepted.from));
    }

    /// Removes a connection that has ended and whose descriptor is closed.
    pub fn closed(&self, handle: &Handle, client: ClientId) {
        self.admitted.borrow_mut().remove(&client);
        handle.dispatch(Event::ClientDisconnected(client));
    }

    /// Resumes or pauses accepting on all listeners.
    pub fn set_accepting(&self, open: bool) {
        self.gates.iter().for_each(|gate| gate.set_open(open));
    }

    /// Stops all listeners.
    pub fn stop_listening(&self) {
        self.gates.iter().for_each(AcceptGate::stop);
    }

    /// Admits a pending connection.
    pub fn admit(self: &Rc<Self>, handle: &Handle, client: ClientId) {
        let waited = self.pending.borrow_mut().remove(&client);
        let Some((stream, since)) = waited else { return handle.dispatch(Event::ClientDisconnected(client)) };
        // Registered before its task first runs, since it may be drained before that.
        let connection = Rc::new(Connection::new());
        self.admitted.borrow_mut().insert(client, connection.clone());
        handle.limits().charge(&connection.work, &[Work::Connection]);
        let stream = Socket::new(stream);
        handle.spawn(serve(self.clone(), handle.clone(), client, stream, connection, since.elapsed()));
    }

    /// Rejects a pending connection and asks its client to retry after `pause`.
    pub fn reject(&self, client: ClientId, pause: Span) {
        self.retry_after.set(pause);
        if let Some((stream, _)) = self.pending.borrow_mut().remove(&client) {
            self.rejections.add(stream, &retry_later_response(pause, true));
        }
    }

    /// Closes a connection once the requests already received on it are answered.
    pub fn drain(&self, client: ClientId) {
        self.with(client, |connection| connection.drain());
    }

    /// Encodes and queues the reply to the current request.
    pub fn reply(&self, handle: &Handle, client: ClientId, reply: &Reply, last: bool) {
        self.with(client, |connection| {
            let last = connection.is_final_answer(last);
            handle.limits().charge(&connection.work, &work_of(reply));
            if let Some(request) = served_request(reply) {
                handle.limits().request_served(&connection.work, request);
            }
            let bytes = match reply {
                Reply::Answer { complete, values } => scans::scan_response(*complete, values, last),
                Reply::Rejected(retry_after) => retry_later_response(*retry_after, last),
                Reply::Failed => scans::failure_response(last),
                Reply::QueryApi { status, body, retry_after, opaque_id, .. } => {
                    scans::dialect_response(*status, body, *retry_after, opaque_id.as_deref(), last)
                }
                Reply::Health(ready) => scans::health_response(*ready, last),
                Reply::Metrics(metrics) => {
                    let metrics = self.identity.metrics(metrics, &handle.limits().waits());
                    scans::metrics_response(&metrics.encode(), last)
                }
                Reply::InvalidRequest(why) if !connection.draining.get() => {
                    let (response, delay) = (scans::error_response(why, last), handle.limits().error_delay());
                    if last && delay.is_zero() {
                        return connection.answer(response, last);
                    }
                    return handle.spawn(connection.clone().answer_invalid(response, last, delay));
                }
                Reply::InvalidRequest(why) => scans::error_response(why, last),
            };
            connection.answer(bytes, last);
        });
    }

    /// Closes a connection at once, with the answer that its client does not read.
    pub fn abort(&self, client: ClientId) {
        self.with(client, |connection| connection.control.abort());
    }

    /// Chooses connections that give way, as memory is short, and reports them.
    pub fn reclaim_memory(&self, handle: &Handle) {
        if !handle.limits().is_reclaim_due() {
            return;
        }
        let holdings: Vec<Holding> =
            self.admitted.borrow().iter().filter_map(|(id, connection)| connection.holding(*id)).collect();
        for Holding { connection: ClientConnectionId(id), kind, .. } in choose_reclaimed(&holdings) {
            self.with(ClientId(id), |connection| connection.lingers.set(true));
            handle.dispatch(Event::MemoryReclaimed(ClientId(id), kind));
        }
    }

    fn with(&self, client: ClientId, action: impl FnOnce(&Rc<Connection>)) {
        let connection = self.admitted.borrow().get(&client).cloned();
        if let Some(connection) = connection {
            action(&connection);
        }
    }
}

/// The state of one client's connection that is shared between its task and the hub.
pub struct Connection {
    /// Writes to the connection and closes it.
    pub control: ConnectionControl,
    /// A request is being answered.
    pub answering: Cell<bool>,
    /// The connection ends with the answer to the current request, as the client asked or because its input
    /// cannot be parsed.
    pub is_last: Cell<bool>,
    /// The connection is to be closed once the requests already received are answered.
    pub draining: Cell<bool>,
    /// More input was read than the request that is being answered.
    pub unread: Cell<bool>,
    /// The work that the client has caused on this connection.
    pub work: RefCell<PeerWork>,
    /// The bytes allocated for the request that is still arriving: what was parsed of it, and its buffer.
    pub request_bytes: Cell<usize>,
    pub buffered_bytes: Cell<usize>,
    /// When the request that is still arriving began to.
    pub request_start: Cell<Option<Instant>>,
    /// A request that was read has to wait before it is handled.
    pub postponed: Cell<bool>,
    /// When some of an answer was last written.
    written_at: Cell<Instant>,
    /// The connection is read from after its last answer, so that the client receives that.
    pub lingers: Cell<bool>,
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
            work: RefCell::default(),
            request_bytes: 0.into(),
            buffered_bytes: 0.into(),
            request_start: None.into(),
            postponed: false.into(),
            written_at: Instant::now().into(),
            lingers: false.into(),
        }
    }

    /// Whether the next request may be parsed: the one before it is answered, and that answer written.
    pub fn takes_request(&self) -> bool {
        let control = &self.control;
        !control.is_closing()
            && !self.answering.get()
            && !control.has_overflowed()
            && control.write_queue.is_empty()
    }

    /// Whether the next request that was read may be handled now, by the work that the client has caused. On a
    /// draining connection all that was read is.
    pub fn is_next_request_due(&self, handle: &Handle) -> bool {
        self.draining.get() || handle.limits().delay(&self.work, false).is_zero()
    }

    /// Whether the client's next input may be read, by the work that it has caused.
    pub fn work_permit(&self, handle: &Handle) -> ReadPermit {
        let is_awaited = self.control.is_awaited.get();
        // The end behind what is discarded must not be learnt late; how much is discarded is bounded.
        if is_awaited && self.control.has_overflowed() {
            return ReadPermit::Unlimited;
        }
        // It is looked at again, even if its time has come since: nothing else may arrive to have that done.
        if self.postponed.get() {
            return ReadPermit::Wait(handle.limits().delay(&self.work, is_awaited).max(MIN_POSTPONEMENT));
        }
        handle.limits().read_permit(&self.work, is_awaited)
    }

    /// Whether there is memory for the client's next input.
    pub fn memory_permit(&self, handle: &Handle, buffer: &ReadBuffer) -> ReadPermit {
        let (limits, held) = (handle.limits(), self.request_bytes.get());
        match limits.permit_within(limits.request_share(), held, buffer.unread().len()) {
            // What comes behind a request that is under way is not kept if there is no room for it.
            ReadPermit::Wait(_) if self.answering.get() => ReadPermit::UpTo(0),
            permit => permit,
        }
    }

    /// What the connection holds that could be given up, if anything.
    fn holding(&self, id: ClientId) -> Option<Holding> {
        let queued = self.control.write_queue.queued_bytes();
        let (kind, bytes, since) = match (self.answering.get(), queued) {
            (true, _) => return None,
            (false, 0) => (
                HoldingKind::UnfinishedRequest,
                self.request_bytes.get() + self.buffered_bytes.get(),
                self.request_start.get()?,
            ),
            (false, queued) => (HoldingKind::UnreadAnswer, queued, self.written_at.get()),
        };
        let age = Span::from_micros(since.elapsed().as_micros() as u64);
        Some(Holding { connection: ClientConnectionId(id.0), kind, bytes, age })
    }

    /// Whether the connection ends with the current answer. A draining connection stays open until everything
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
        // A request that has arrived but was not read yet is still answered.
        self.control.read_before_writing();
    }

    /// Records that some of an answer was written.
    pub fn written(&self) {
        self.written_at.set(Instant::now());
    }

    fn answer(&self, bytes: Vec<u8>, last: bool) {
        self.written();
        let queued = self.control.write_queue.push(0, bytes);
        if last || !queued {
            self.control.close();
        }
        self.finish_answer();
    }

    fn finish_answer(&self) {
        self.answering.set(false);
        self.control.is_awaited.set(false);
        self.control.recheck.notify();
    }

    /// Answers an invalid request after `delay`, and delays the next one if the client may send more.
    async fn answer_invalid(self: Rc<Self>, bytes: Vec<u8>, last: bool, delay: Duration) {
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if last {
            return self.answer(bytes, last);
        }
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

/// The work that a request has caused, by its answer, beside the reading and parsing of it.
fn work_of(reply: &Reply) -> Vec<Work> {
    match reply {
        Reply::Answer { .. } | Reply::Failed => vec![],
        Reply::QueryApi { status: 200, work, .. } if work.scans + work.local_searches > 0 => vec![
            Work::Scans(work.scans),
            Work::LocalSearches(work.local_searches),
            Work::MergedBytes(work.merged_bytes),
        ],
        _ => vec![Work::LocalAnswer],
    }
}

/// Whether a request was of use, by its answer: searchers received parts of it.
fn served_request(reply: &Reply) -> Option<ServedRequest> {
    match reply {
        Reply::Answer { .. } | Reply::Failed => Some(ServedRequest::Scan),
        Reply::QueryApi { status: 200, work, .. } if work.scans > 0 => Some(ServedRequest::Searches),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
