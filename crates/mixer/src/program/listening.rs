//! One client's connection, read: a request at a time, each told of when it is whole.

use super::arrivals::Arrivals;
use super::clients::{Clients, Connection};
use super::handle::Handle;
use crate::protocol::http::{Message, ParseError, Reader, MAX_UNREAD_BYTES};
use crate::protocol::scans::{parse_request, ClientRequest, RequestError};
use crate::routing::{ClientId, Event};
use crate::transport::{linger, pump, take_rest, uninterrupted, Inbox, Stop, Stream};
use fernglade::Span;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long, and for how many bytes, a client that is still sending is read from so that its error reaches it:
/// closing upon unread bytes resets the connection, and what was written may be lost with it.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 512 * 1024);

/// A whole request that stood for less is as good as just come.
const STOOD_LONG: Duration = Duration::from_millis(1);

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
    let mut listening = Listening {
        clients: clients.clone(),
        reader: Reader::default(),
        arrivals: Arrivals::default(),
        stood: Some(waited).filter(|_| has_more(&stream)),
        begun: None,
        stirred: false,
        lost: false,
        stream: &stream,
    };
    let read = |inbox: &mut Inbox| listening.read(&handle, client, &connection, inbox);
    let written = |_| connection.line.look_again(connection.unread.get());
    let stop = pump(&stream, &connection.line, Inbox::new(MAX_UNREAD_BYTES), read, written).await;
    // What else has come was not read, and is its client's to send again: it stays unread.
    if matches!(stop, Stop::Closed) && (listening.lost || connection.line.is_flooded()) {
        linger(&stream, LINGER.0, LINGER.1).await;
    }
    // Before it is told: the last to leave may end the program.
    drop(stream);
    clients.left(&handle, client);
}

struct Listening<'a> {
    clients: Rc<Clients>,
    stream: &'a Stream,
    reader: Reader,
    arrivals: Arrivals,
    /// How long the first request may have stood there, where it had begun before its client was let in.
    stood: Option<Duration>,
    /// When the first byte came of the request that is being read.
    begun: Option<Instant>,
    /// A request has begun and was told of.
    stirred: bool,
    /// What comes can't be told apart any more.
    lost: bool,
}

impl Listening<'_> {
    fn read(
        &mut self,
        handle: &Handle,
        client: ClientId,
        connection: &Connection,
        inbox: &mut Inbox,
    ) -> ControlFlow<()> {
        self.note_arrivals(inbox);
        // One at a time: the next is looked at when this one's answer has been written.
        while connection.takes_request() {
            let begun = self.begun.or(self.arrivals.oldest());
            let event = match self.reader.read(inbox.unread()) {
                Ok((used, message)) => {
                    inbox.used(used);
                    self.arrivals.used(used);
                    let Some(message) = message else {
                        self.begun = begun.filter(|_| self.reader.is_mid_message(inbox.unread()));
                        self.tell_begun(handle, client);
                        break;
                    };
                    if !message.keep_alive() {
                        connection.is_last.set(true);
                    }
                    self.event(client, &message)
                }
                Err(fault) => {
                    self.lost = true;
                    connection.is_last.set(true);
                    Event::InvalidRequest(client, blame(fault), true)
                }
            };
            // It left while this waited to be read: nobody is there to be served, and its end comes next.
            if take_rest(self.stream, &connection.line, inbox) {
                break;
            }
            self.note_arrivals(inbox);
            self.begun = begun.filter(|at| at.elapsed() >= STOOD_LONG);
            self.tell_begun(handle, client);
            (self.begun, self.stirred) = (None, false);
            connection.answering.set(true);
            connection.unread.set(!inbox.unread().is_empty());
            handle.feed(event);
        }
        let unread = !inbox.unread().is_empty();
        connection.unread.set(unread);
        // What was read is looked at once the answer before it is written: a request on its way when its client was
        // sent off has its answer first.
        if connection.sent_off.get() && unread {
            connection.line.seal();
        }
        let looked_at = !connection.answering.get() && (!unread || connection.line.outbox.is_empty());
        if connection.sent_off.get() && looked_at {
            connection.line.dismiss();
        }
        ControlFlow::Continue(())
    }

    fn event(&self, client: ClientId, message: &Message) -> Event {
        match parse_request(message, self.clients.indices()) {
            Ok(ClientRequest::Query(request)) => Event::QueryRequested(client, request),
            Ok(ClientRequest::Scan(ask)) => Event::ScanRequested(client, ask),
            Ok(ClientRequest::Health) => Event::HealthRequested(client),
            Ok(ClientRequest::Metrics) if self.may_read_figures() => Event::MetricsRequested(client),
            // As if there were nothing of that name.
            Ok(ClientRequest::Metrics) => Event::InvalidRequest(client, RequestError::Method, false),
            Err(blame) => Event::InvalidRequest(client, blame, false),
        }
    }

    /// Notes when the bytes came that were not there before.
    fn note_arrivals(&mut self, inbox: &Inbox) {
        let unread = inbox.unread().len();
        let stood = if unread > 0 { self.stood.take() } else { None };
        let now = Instant::now();
        self.arrivals.note(unread, now.checked_sub(stood.unwrap_or_default()).unwrap_or(now));
    }

    /// Tells once of the request that has begun, and since when it has stood there.
    fn tell_begun(&mut self, handle: &Handle, client: ClientId) {
        let Some(begun) = self.begun.filter(|_| !self.stirred) else { return };
        self.stirred = true;
        handle.feed(Event::RequestStarted(client, Span::from_micros(begun.elapsed().as_micros() as u64)));
    }

    fn may_read_figures(&self) -> bool {
        let from = self.stream.get_ref().peer_addr();
        from.is_ok_and(|from| self.clients.may_read_figures(from.ip()))
    }
}

/// Whether bytes have come that were not taken from the system.
fn has_more(stream: &Stream) -> bool {
    matches!(uninterrupted(|| stream.get_ref().peek(&mut [0])), Ok(1..))
}

fn blame(fault: ParseError) -> RequestError {
    match fault {
        ParseError::Malformed(what) => RequestError::Invalid(what.into()),
        ParseError::HeadTooLong => RequestError::HeadTooLong,
        ParseError::BodyTooLong => RequestError::BodyTooLong,
    }
}
