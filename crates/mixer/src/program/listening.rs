//! One client's connection, read: a request at a time, each told of when it is whole.

use super::clients::{Clients, Connection};
use super::handle::Handle;
use crate::protocol::http::{Fault, Reader, MOST_UNREAD};
use crate::protocol::scans::{question, Blame, Question};
use crate::routing::{ClientId, Event};
use crate::transport::{linger, pump, uninterrupted, Inbox, Stop, Stream};
use fernglade::Span;
use std::io;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

/// How long, and for how many bytes, a client that is still sending is read from so that its error reaches it:
/// closing upon unread bytes resets the connection, and what was written may be lost with it.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 512 * 1024);

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
        stood: Some(waited).filter(|_| has_more(&stream)),
        stirred: false,
        lost: false,
        stream: &stream,
    };
    let read = |inbox: &mut Inbox| listening.read(&handle, client, &connection, inbox);
    let stop = pump(&stream, &connection.line, Inbox::new(MOST_UNREAD), read, |_| ()).await;
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
    /// How long the first request may have stood there, where it had begun before its client was let in.
    stood: Option<Duration>,
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
        // One at a time: the next is looked at when this one's answer is on its way.
        while !connection.line.is_closing() && !connection.answering.get() && !connection.line.is_flooded() {
            if let Some(stood) = self.stood.take() {
                self.stir(handle, client, stood);
            }
            let event = match self.reader.read(inbox.unread()) {
                Ok((used, message)) => {
                    inbox.used(used);
                    let Some(message) = message else {
                        if !self.stirred && self.reader.is_amid(inbox.unread()) {
                            self.stir(handle, client, Duration::ZERO);
                        }
                        break;
                    };
                    if !message.keeps() {
                        connection.is_last.set(true);
                    }
                    match question(&message, self.clients.indices()) {
                        Ok(Question::Query(request)) => Event::Queried(client, request),
                        Ok(Question::Scan(ask)) => Event::Asked(client, ask),
                        Ok(Question::Health) => Event::HealthAsked(client),
                        Ok(Question::Figures) if self.may_read_figures() => Event::FiguresAsked(client),
                        // As if there were nothing of that name.
                        Ok(Question::Figures) => Event::Misasked(client, Blame::Method, false),
                        Err(blame) => Event::Misasked(client, blame, false),
                    }
                }
                Err(fault) => {
                    self.lost = true;
                    Event::Misasked(client, blame(fault), true)
                }
            };
            self.stirred = false;
            // It left while this waited to be read: nobody is there to be served, and its end comes next.
            if has_left(self.stream) {
                break;
            }
            connection.answering.set(true);
            handle.feed(event);
        }
        // All that has come was looked at: a request on its way when its client was sent off has its answer first.
        if connection.sent_off.get() && !connection.answering.get() {
            connection.line.dismiss();
        }
        ControlFlow::Continue(())
    }

    /// A request has begun, and is not known to be whole.
    fn stir(&mut self, handle: &Handle, client: ClientId, stood: Duration) {
        self.stirred = true;
        handle.feed(Event::Stirred(client, Span::of_micros(stood.as_micros() as u64)));
    }

    fn may_read_figures(&self) -> bool {
        let from = self.stream.get_ref().peer_addr();
        from.is_ok_and(|from| self.clients.may_read_figures(from.ip()))
    }
}

/// Whether a connection's other side has ended it, where nothing stands unread before that end. One look at the
/// system, as a request and the end right behind it are read one after the other.
fn has_left(stream: &Stream) -> bool {
    match uninterrupted(|| stream.get_ref().peek(&mut [0])) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
    }
}

fn has_more(stream: &Stream) -> bool {
    matches!(uninterrupted(|| stream.get_ref().peek(&mut [0])), Ok(1..))
}

fn blame(fault: Fault) -> Blame {
    match fault {
        Fault::Malformed(what) => Blame::Request(what.into()),
        Fault::HeadTooLong => Blame::HeadTooLong,
        Fault::BodyTooLong => Blame::BodyTooLong,
    }
}
