//! Clients: let in, read, and answered, one request at a time on each connection.

use super::hub::Hub;
use crate::protocol::http::{Fault, Reader, MOST_UNREAD};
use crate::protocol::scans::{question, Blame, Question};
use crate::protocol::MOST_BODY;
use crate::routing::{ClientId, Event};
use crate::transport::{is_short, linger, pump, Bell, Inbox, Line, Stop, Stream};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::net::TcpListener;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

/// One answer.
const MOST_WAITING: usize = MOST_BODY + 1024;
/// After a failure to accept: long enough not to spin, short against any client's time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long, and for how many bytes, a client that is still sending is read from so that its error reaches it:
/// closing upon unread bytes resets the connection, and what was written may be lost with it.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 512 * 1024);
/// Who asks for what makes no sense is heard again after this: at full speed it would take the time of others.
const REST: Duration = Duration::from_millis(100);

/// Whether clients are let in.
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
}

pub async fn let_in(hub: Rc<Hub>, listener: Async<TcpListener>) {
    let mut count = 0;
    let mut enter = |stream: Stream| {
        count += 1;
        hub.spawn(serve(hub.clone(), ClientId(count), stream));
    };
    let mut short = false;
    while !hub.door.shut.get() {
        let moved = async {
            hub.door.moved.wait().await;
            None
        };
        if hub.door.full.get() {
            moved.await;
            continue;
        }
        match future::or(moved, async { Some(listener.accept().await) }).await {
            Some(Ok((stream, _))) => {
                short = false;
                enter(stream);
                future::yield_now().await;
            }
            Some(Err(error)) => {
                if is_short(&error) {
                    if !std::mem::replace(&mut short, true) {
                        log::warn!("no client can be let in: {error}");
                    }
                    hub.feed(Event::Short);
                }
                Timer::after(ACCEPT_PAUSE).await;
            }
            None => {}
        }
    }
    // The system has taken in who stands outside: they are served.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        Async::new(stream).into_iter().for_each(&mut enter);
    }
    drop(listener);
    hub.feed(Event::DoorShut);
}

/// One client's connection, as others see it.
pub struct Talk {
    pub line: Line,
    /// A request is being answered.
    answering: Cell<bool>,
    /// The client wants no more than this answer.
    pub is_last: Cell<bool>,
}

impl Talk {
    pub fn answer(&self, bytes: Vec<u8>, last: bool) {
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
    pub async fn blame(self: Rc<Self>, bytes: Vec<u8>) {
        if !self.line.outbox.push(0, bytes) {
            self.line.close();
        }
        Timer::after(REST).await;
        self.hear_on();
    }
}

async fn serve(hub: Rc<Hub>, client: ClientId, stream: Stream) {
    if stream.get_ref().set_nodelay(true).is_err() {
        return;
    }
    let (line, answering, is_last) = (Line::new(MOST_WAITING), Cell::new(false), Cell::new(false));
    let talk = Rc::new(Talk { line, answering, is_last });
    hub.clients.borrow_mut().insert(client, talk.clone());
    hub.feed(Event::ClientCame(client));
    let mut listening = Listening { reader: Reader::default(), stirred: false, lost: false };
    let read = |inbox: &mut Inbox| listening.read(&hub, client, &talk, inbox);
    let stop = pump(&stream, &talk.line, Inbox::new(MOST_UNREAD), read, |_| ()).await;
    if matches!(stop, Stop::Closed) && listening.lost {
        linger(&stream, LINGER.0, LINGER.1).await;
    }
    hub.clients.borrow_mut().remove(&client);
    // Before the event: the last to leave may end the program.
    drop(stream);
    hub.feed(Event::ClientGone(client));
}

struct Listening {
    reader: Reader,
    /// A request has begun and was told of.
    stirred: bool,
    /// What comes can't be told apart any more.
    lost: bool,
}

impl Listening {
    fn read(&mut self, hub: &Rc<Hub>, client: ClientId, talk: &Talk, inbox: &mut Inbox) -> ControlFlow<()> {
        // One at a time: the next is looked at when this one's answer is on its way.
        while !talk.line.is_closing() && !talk.answering.get() {
            if !self.stirred && self.reader.is_amid(inbox.unread()) {
                self.stirred = true;
                hub.feed(Event::Stirred(client));
            }
            let event = match self.reader.read(inbox.unread()) {
                Ok((used, message)) => {
                    inbox.used(used);
                    let Some(message) = message else { break };
                    if !message.keeps() {
                        talk.is_last.set(true);
                    }
                    match question(&message) {
                        Ok(Question::Scan(ask)) => Event::Asked(client, ask),
                        Ok(Question::Health) => Event::HealthAsked(client),
                        Err(blame) => Event::Misasked(client, blame, false),
                    }
                }
                Err(fault) => {
                    self.lost = true;
                    Event::Misasked(client, blame(fault), true)
                }
            };
            self.stirred = false;
            talk.answering.set(true);
            hub.feed(event);
        }
        ControlFlow::Continue(())
    }
}

fn blame(fault: Fault) -> Blame {
    match fault {
        Fault::Malformed(what) => Blame::Request(what.into()),
        Fault::HeadTooLong => Blame::HeadTooLong,
        Fault::BodyTooLong => Blame::BodyTooLong,
    }
}
