//! One client's connection, read: a request at a time, each told of when it is whole.

use super::arrivals::Arrivals;
use super::clients::{Clients, Connection};
use super::handle::Handle;
use crate::protocol::http::{Fault, Message, Reader, MOST_UNREAD};
use crate::protocol::scans::{question, Blame, Question};
use crate::routing::{ClientId, Event};
use crate::transport::{
    drain_socket, linger, retry_interrupted, run_connection, CloseReason, ReadBuffer, Stream,
};
use fernglade::Span;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long, and for how many bytes, a client that is still sending is read from so that its error reaches it:
/// closing upon unread bytes resets the connection, and what was written may be lost with it.
const LINGER_LIMITS: (Duration, usize) = (Duration::from_millis(500), 512 * 1024);

/// A whole request that stood for less is as good as just come.
const MIN_REPORTED_AGE: Duration = Duration::from_millis(1);

/// Reads and writes until the connection is over.
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
        stream: &stream,
    };
    let read = |buffer: &mut ReadBuffer| requests.read(&handle, client, &connection, buffer);
    let written = |_| connection.control.recheck_if(connection.unread.get());
    let reason =
        run_connection(&stream, &connection.control, ReadBuffer::new(MOST_UNREAD), read, written).await;
    // What else has come was not read, and is its client's to send again: it stays unread.
    if matches!(reason, CloseReason::ClosedLocally)
        && (requests.unparsable || connection.control.has_overflowed())
    {
        linger(&stream, LINGER_LIMITS.0, LINGER_LIMITS.1).await;
    }
    // Before it is told: the last to leave may end the program.
    drop(stream);
    clients.closed(&handle, client);
}

struct RequestReader<'a> {
    clients: Rc<Clients>,
    stream: &'a Stream,
    reader: Reader,
    arrivals: Arrivals,
    /// How long the first request may have stood there, where it had begun before its client was let in.
    unread_since_accept: Option<Duration>,
    /// When the first byte came of the request that is being read.
    request_start: Option<Instant>,
    /// A request has begun and was told of.
    start_reported: bool,
    /// What comes can't be told apart any more.
    unparsable: bool,
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
        // One at a time: the next is looked at when this one's answer has been written.
        while connection.takes_request() {
            let request_start = self.request_start.or(self.arrivals.oldest());
            let event = match self.reader.read(buffer.unread()) {
                Ok((used, message)) => {
                    buffer.consume(used);
                    self.arrivals.consume(used);
                    let Some(message) = message else {
                        self.request_start = request_start.filter(|_| self.reader.is_amid(buffer.unread()));
                        self.report_start(handle, client);
                        break;
                    };
                    if !message.keeps() {
                        connection.is_last.set(true);
                    }
                    self.event(client, &message)
                }
                Err(fault) => {
                    self.unparsable = true;
                    connection.is_last.set(true);
                    Event::Misasked(client, parse_error(fault), true)
                }
            };
            // It left while this waited to be read: nobody is there to be served, and its end comes next.
            if drain_socket(self.stream, &connection.control, buffer) {
                break;
            }
            self.record_arrivals(buffer);
            self.request_start = request_start.filter(|at| at.elapsed() >= MIN_REPORTED_AGE);
            self.report_start(handle, client);
            (self.request_start, self.start_reported) = (None, false);
            connection.answering.set(true);
            connection.unread.set(!buffer.unread().is_empty());
            handle.dispatch(event);
        }
        let unread = !buffer.unread().is_empty();
        connection.unread.set(unread);
        // What was read is looked at once the answer before it is written: a request on its way when its client was
        // sent off has its answer first.
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

    fn event(&self, client: ClientId, message: &Message) -> Event {
        match question(message, self.clients.indices()) {
            Ok(Question::Query(request)) => Event::Queried(client, request),
            Ok(Question::Scan(ask)) => Event::Asked(client, ask),
            Ok(Question::Health) => Event::HealthAsked(client),
            Ok(Question::Figures) if self.may_read_metrics() => Event::FiguresAsked(client),
            // As if there were nothing of that name.
            Ok(Question::Figures) => Event::Misasked(client, Blame::Method, false),
            Err(parse_error) => Event::Misasked(client, parse_error, false),
        }
    }

    /// Notes when the bytes came that were not there before.
    fn record_arrivals(&mut self, buffer: &ReadBuffer) {
        let unread = buffer.unread().len();
        let unread_since_accept = if unread > 0 { self.unread_since_accept.take() } else { None };
        let now = Instant::now();
        self.arrivals.record(unread, now.checked_sub(unread_since_accept.unwrap_or_default()).unwrap_or(now));
    }

    /// Tells once of the request that has begun, and since when it has stood there.
    fn report_start(&mut self, handle: &Handle, client: ClientId) {
        let Some(request_start) = self.request_start.filter(|_| !self.start_reported) else { return };
        self.start_reported = true;
        handle.dispatch(Event::Stirred(client, Span::of_micros(request_start.elapsed().as_micros() as u64)));
    }

    fn may_read_metrics(&self) -> bool {
        let from = self.stream.get_ref().peer_addr();
        from.is_ok_and(|from| self.clients.may_read_metrics(from.ip()))
    }
}

/// Whether bytes have come that were not taken from the system.
fn has_unread_bytes(stream: &Stream) -> bool {
    matches!(retry_interrupted(|| stream.get_ref().peek(&mut [0])), Ok(1..))
}

fn parse_error(fault: Fault) -> Blame {
    match fault {
        Fault::Malformed(what) => Blame::Request(what.into()),
        Fault::HeadTooLong => Blame::HeadTooLong,
        Fault::BodyTooLong => Blame::BodyTooLong,
    }
}
