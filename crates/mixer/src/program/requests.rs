//! Reads one client's connection: parses requests one at a time and dispatches an event for each complete
//! one.

use super::arrivals::Arrivals;
use super::clients::{Clients, Connection};
use super::handle::Handle;
use crate::protocol::http::{may_begin_request, Message, ParseError, Reader, MAX_UNREAD_BYTES};
use crate::protocol::json;
use crate::protocol::scans::{parse_request, ClientRequest, RequestError};
use crate::routing::{ClientId, Event};
use crate::transport::{
    drain_socket, linger, retry_interrupted, run_connection, ReadBuffer, ReadPermit, Stream, StreamEnd,
};
use fernglade::Span;
use fernglade_admission::Work;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long, and for how many bytes, a client that is still sending is read from so that the error response
/// reaches it: closing a socket with unread input resets the connection and may destroy what was written.
const LINGER_LIMITS: (Duration, usize) = (Duration::from_millis(500), 512 * 1024);

/// A complete request that has waited for less counts as just arrived.
const MIN_REPORTED_AGE: Duration = Duration::from_millis(1);

/// Serves one connection until it ends.
pub async fn serve(
    clients: Rc<Clients>,
    handle: Handle,
    client: ClientId,
    stream: Stream,
    connection: Rc<Connection>,
    waited: Duration,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut requests = RequestReader {
        clients: clients.clone(),
        reader: Reader::default(),
        arrivals: Arrivals::default(),
        unread_since_accept: Some(waited).filter(|_| has_unread_bytes(&stream)),
        request_start: None,
        start_reported: false,
        unparsable: false,
        unread_before: 0,
        discarded_before: 0,
        stream: &stream,
    };
    let permit = |buffer: &ReadBuffer| {
        let permit = connection.work_permit(&handle);
        if permit != ReadPermit::Unlimited {
            return permit;
        }
        let permit = connection.memory_permit(&handle, buffer);
        if matches!(permit, ReadPermit::Wait(_)) {
            clients.reclaim_memory(&handle);
        }
        permit
    };
    let on_read = |buffer: &mut ReadBuffer| requests.read(&handle, client, &connection, buffer);
    let on_progress = |_| {
        connection.written();
        connection.control.recheck_if(connection.unread.get());
    };
    let reason = run_connection(
        &stream,
        &connection.control,
        ReadBuffer::new(MAX_UNREAD_BYTES),
        permit,
        on_read,
        on_progress,
    )
    .await;
    // Further input is left unread, as its client must send it again.
    if matches!(reason, StreamEnd::ClosedLocally)
        && (requests.unparsable || connection.lingers.get() || connection.control.has_overflowed())
    {
        // What is held of a request is given up first.
        drop(requests);
        linger(&stream, LINGER_LIMITS.0, LINGER_LIMITS.1).await;
    }
    // Closed before the event is dispatched: the last client to leave may end the program.
    drop(stream);
    clients.closed(&handle, client);
}

/// What one look at the input has brought.
struct ReadSummary {
    /// Bytes that were not there before.
    received: usize,
    /// A request was completed.
    completed: bool,
    /// Nothing more had been received.
    emptied: bool,
}

struct RequestReader<'a> {
    clients: Rc<Clients>,
    stream: &'a Stream,
    reader: Reader,
    arrivals: Arrivals,
    /// How long the first request may have been waiting, if it had begun to arrive before its client was
    /// admitted.
    unread_since_accept: Option<Duration>,
    /// When the first byte of the current request arrived.
    request_start: Option<Instant>,
    /// The start of the current request has been reported.
    start_reported: bool,
    /// The input can no longer be split into requests.
    unparsable: bool,
    /// Bytes that were left unread after the last look at the input.
    unread_before: usize,
    /// Bytes that had been discarded by then.
    discarded_before: usize,
}

impl RequestReader<'_> {
    fn read(
        &mut self,
        handle: &Handle,
        client: ClientId,
        connection: &Connection,
        buffer: &mut ReadBuffer,
    ) -> ControlFlow<()> {
        self.record_arrivals(buffer);
        let received = buffer.unread().len() - self.unread_before.min(buffer.unread().len());
        let mut completed = false;
        // One at a time: the next request is parsed when the answer to this one has been written.
        connection.postponed.set(false);
        while connection.takes_request() {
            if !connection.is_next_request_due(handle) {
                connection.postponed.set(!buffer.unread().is_empty());
                break;
            }
            let request_start = self.request_start.or(self.arrivals.oldest());
            let event = match self.reader.read(buffer.unread()) {
                Ok((used, message)) => {
                    buffer.consume(used);
                    self.arrivals.consume(used);
                    let Some(message) = message else {
                        self.request_start =
                            request_start.filter(|_| self.reader.is_mid_message(buffer.unread()));
                        self.report_start(handle, client);
                        break;
                    };
                    if !message.keep_alive() {
                        connection.is_last.set(true);
                    }
                    let body = &message.body;
                    let work = Work::Request { bytes: body.len(), values: json::estimated_values(body) };
                    handle.limits().charge(&connection.work, &[work]);
                    self.event(client, &message)
                }
                Err(error) => self.unparsable_input(client, connection, parse_error(error)),
            };
            // The client left while the request waited to be parsed: there is no one to answer, and the next
            // read reports the end.
            let may_be_sent_on = match &event {
                Event::ScanRequested(..) => true,
                Event::QueryRequested(_, request) => request.operation.has_parts(),
                _ => false,
            };
            if may_be_sent_on && drain_socket(self.stream, &connection.control, buffer) {
                break;
            }
            self.record_arrivals(buffer);
            // A request whose length is too small looks complete: the rest of its body stands behind it.
            let event = match may_begin_request(buffer.unread()) {
                true => event,
                false => {
                    let error = RequestError::Invalid("the bytes behind it are no request".into());
                    self.unparsable_input(client, connection, error)
                }
            };
            completed = true;
            self.request_start = request_start.filter(|at| at.elapsed() >= MIN_REPORTED_AGE);
            self.report_start(handle, client);
            (self.request_start, self.start_reported) = (None, false);
            connection.answering.set(true);
            connection.control.is_awaited.set(may_be_sent_on);
            connection.unread.set(!buffer.unread().is_empty());
            handle.dispatch(event);
        }
        self.unread_before = buffer.unread().len();
        let read = ReadSummary { received, completed, emptied: buffer.holds_all_received() };
        self.charge(handle, connection, &read);
        connection.request_bytes.set(self.reader.allocated_bytes());
        connection.buffered_bytes.set(buffer.allocated_bytes());
        connection.request_start.set(self.request_start);
        let unread = !buffer.unread().is_empty();
        connection.unread.set(unread);
        // Input already read is parsed once the answer before it is written: a request in flight when its
        // client began to drain is answered first.
        if connection.draining.get() && unread {
            connection.control.stop_reading();
        }
        let all_examined =
            !connection.answering.get() && (!unread || connection.control.write_queue.is_empty());
        if connection.draining.get() && all_examined {
            connection.control.close_promptly();
        }
        ControlFlow::Continue(())
    }

    /// Records the work that this look at the input was; a completed request is recorded with its answer, and reads of
    /// what had come together are one wakeup.
    fn charge(&mut self, handle: &Handle, connection: &Connection, read: &ReadSummary) {
        let limits = handle.limits();
        let discarded = connection.control.discarded();
        let received = read.received + discarded - std::mem::replace(&mut self.discarded_before, discarded);
        let steps = self.reader.take_steps();
        let work = [Work::ParserSteps(steps), Work::Bytes(received), Work::Wakeup];
        match (received, read.completed || !read.emptied) {
            (0, _) => {}
            (_, true) => limits.charge(&connection.work, &work[..2]),
            (_, false) => limits.charge(&connection.work, &work),
        }
    }

    /// Ends the connection with an error, as its further input can't be split into requests.
    fn unparsable_input(&mut self, client: ClientId, connection: &Connection, error: RequestError) -> Event {
        self.unparsable = true;
        connection.is_last.set(true);
        Event::InvalidRequest(client, error, true)
    }

    fn event(&self, client: ClientId, message: &Message) -> Event {
        match parse_request(message, self.clients.indices()) {
            Ok(ClientRequest::Query(request)) => Event::QueryRequested(client, request),
            Ok(ClientRequest::Scan(ask)) => Event::ScanRequested(client, ask),
            Ok(ClientRequest::Health) => Event::HealthRequested(client),
            Ok(ClientRequest::Metrics) if self.may_read_metrics() => Event::MetricsRequested(client),
            // Answered as if the path did not exist.
            Ok(ClientRequest::Metrics) => Event::InvalidRequest(client, RequestError::Method, false),
            Err(error) => Event::InvalidRequest(client, error, false),
        }
    }

    /// Records the arrival time of bytes that were not there before.
    fn record_arrivals(&mut self, buffer: &ReadBuffer) {
        let unread = buffer.unread().len();
        let unread_since_accept = if unread > 0 { self.unread_since_accept.take() } else { None };
        let now = Instant::now();
        self.arrivals.record(unread, now.checked_sub(unread_since_accept.unwrap_or_default()).unwrap_or(now));
    }

    /// Reports once that a request has begun, and for how long it has waited.
    fn report_start(&mut self, handle: &Handle, client: ClientId) {
        let Some(request_start) = self.request_start.filter(|_| !self.start_reported) else { return };
        self.start_reported = true;
        handle.dispatch(Event::RequestStarted(
            client,
            Span::from_micros(request_start.elapsed().as_micros() as u64),
        ));
    }

    fn may_read_metrics(&self) -> bool {
        let from = self.stream.get_ref().peer_addr();
        from.is_ok_and(|from| self.clients.may_read_metrics(from.ip()))
    }
}

/// Whether bytes have arrived that were not read from the socket yet.
fn has_unread_bytes(stream: &Stream) -> bool {
    matches!(retry_interrupted(|| stream.get_ref().peek(&mut [0])), Ok(1..))
}

fn parse_error(error: ParseError) -> RequestError {
    match error {
        ParseError::Malformed(reason) => RequestError::Invalid(reason.into()),
        ParseError::HeadTooLong => RequestError::HeadTooLong,
        ParseError::BodyTooLong => RequestError::BodyTooLong,
    }
}
