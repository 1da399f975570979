//! Clients: let in, read, and answered, one request at a time on each connection.

use super::handle::Handle;
use super::identity::Identity;
use crate::protocol::http::{Fault, Reader, MOST_UNREAD};
use crate::protocol::scans::{self, bounce, question, Blame, Question};
use crate::protocol::MOST_BODY;
use crate::routing::{ClientId, Event, Reply};
use crate::transport::{accept, is_short, linger, pump, Accepted, Bell, Inbox, Line, Reserve, Stop, Stream};
use async_io::{Async, Timer};
use fernglade::Span;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One answer.
const MOST_WAITING: usize = MOST_BODY + 1024;
/// After a failure to accept: long enough not to spin, short against any client's time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long, and for how many bytes, a client that is still sending is read from so that its error reaches it:
/// closing upon unread bytes resets the connection, and what was written may be lost with it.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 512 * 1024);
/// Who asks for what makes no sense is heard again after this: at full speed it would take the time of others.
const REST: Duration = Duration::from_millis(100);

/// How many are accepted before others have a turn: some hundred microseconds' work.
const BATCH: usize = 32;
/// How long one who is turned away may take to fetch its refusal, while there is room for more of them.
const TELLING: Duration = Duration::from_millis(500);
/// How often those who are being told are looked at.
const TELLING_TURN: Duration = Duration::from_millis(5);

/// Whether clients are accepted.
#[derive(Default)]
struct Door {
    full: Cell<bool>,
    shut: Cell<bool>,
    moved: Bell,
}

impl Door {
    fn open(&self, open: bool) {
        self.full.set(!open);
        self.moved.ring();
    }

    fn shut(&self) {
        self.shut.set(true);
        self.moved.ring();
    }
}

/// All clients' connections: those that were accepted and have no place yet, those inside, and those that hear a
/// refusal.
pub struct Clients {
    /// One for each address that is listened on.
    doors: Vec<Door>,
    count: Cell<u64>,
    porch: RefCell<BTreeMap<ClientId, (TcpStream, Instant)>>,
    inside: RefCell<BTreeMap<ClientId, Rc<Talk>>>,
    teller: Teller,
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
            porch: RefCell::default(),
            inside: RefCell::default(),
            teller: Teller::new(most_told),
            come_back: Cell::new(Span::ZERO),
        }
    }

    pub fn open_door(&self, open: bool) {
        self.doors.iter().for_each(|door| door.open(open));
    }

    pub fn shut_door(&self) {
        self.doors.iter().for_each(Door::shut);
    }

    /// Lets in one that waits on the porch.
    pub fn let_in(self: &Rc<Self>, handle: &Handle, client: ClientId) {
        let waited = self.porch.borrow_mut().remove(&client);
        match waited.map(|(stream, since)| (Async::new(stream), since)) {
            Some((Ok(stream), since)) => {
                // Inside from now on: it may be sent off before its task has run once.
                let talk = Rc::new(Talk::new());
                self.inside.borrow_mut().insert(client, talk.clone());
                handle.spawn(serve(self.clone(), handle.clone(), client, stream, talk, since.elapsed()));
            }
            _ => handle.feed(Event::ClientGone(client)),
        }
    }

    pub fn turn_away(&self, client: ClientId, pause: Span) {
        self.come_back.set(pause);
        if let Some((stream, _)) = self.porch.borrow_mut().remove(&client) {
            self.teller.tell(stream, &bounce(pause, true));
        }
    }

    pub fn dismiss(&self, client: ClientId) {
        self.with(client, |talk| talk.send_off());
    }

    pub fn reply(&self, handle: &Handle, client: ClientId, reply: &Reply, last: bool) {
        self.with(client, |talk| {
            let last = last || talk.is_last.get() || talk.sent_off.get() || talk.line.is_flooded();
            let bytes = match reply {
                Reply::Answer { whole, values } => scans::answer(*whole, values, last),
                Reply::Bounce(pause) => bounce(*pause, last),
                Reply::WriteOff => scans::write_off(last),
                Reply::Dialect { status, body, pause, opaque } => {
                    scans::dialect(*status, body, *pause, opaque.as_deref(), last)
                }
                Reply::Health(ready) => scans::health(*ready, last),
                Reply::Figures(figures) => scans::figures(&self.who.tells(figures).text(), last),
                Reply::Refusal(why) if !last => {
                    return handle.spawn(talk.clone().blame(scans::refusal(why, last)));
                }
                Reply::Refusal(why) => scans::refusal(why, last),
            };
            talk.answer(bytes, last);
        });
    }

    fn with(&self, client: ClientId, act: impl FnOnce(&Rc<Talk>)) {
        let talk = self.inside.borrow().get(&client).cloned();
        if let Some(talk) = talk {
            act(&talk);
        }
    }
}

/// Accepts whoever stands outside, in batches, as long as the door is open.
pub async fn accept_all(clients: Rc<Clients>, handle: Handle, which: usize, listener: Async<TcpListener>) {
    let (mut short, mut reserve) = (false, Reserve::default());
    let door = &clients.doors[which];
    let knock = |accepted: Accepted| {
        clients.count.set(clients.count.get() + 1);
        let client = ClientId(clients.count.get());
        clients.porch.borrow_mut().insert(client, (accepted.stream, Instant::now()));
        handle.feed(Event::Knocked(client, accepted.from));
    };
    while !door.shut.get() {
        let moved = async {
            door.moved.wait().await;
            false
        };
        if door.full.get() {
            moved.await;
            continue;
        }
        if !future::or(moved, async { listener.readable().await.is_ok() }).await {
            continue;
        }
        for _ in 0..BATCH {
            match accept(listener.get_ref()) {
                Ok(Some(accepted)) => {
                    short = false;
                    knock(accepted);
                }
                Ok(None) => break,
                Err(error) => {
                    if is_short(&error) {
                        if !std::mem::replace(&mut short, true) {
                            log::warn!("no client can be let in: {error}");
                        }
                        handle.feed(Event::Short);
                        // Whoever is at the door hears so, rather than waiting for what may not come.
                        if let Some(accepted) = reserve.accept(listener.get_ref()) {
                            refuse(&accepted.stream, &bounce(clients.come_back.get(), true));
                        }
                        reserve.restore();
                    }
                    Timer::after(ACCEPT_PAUSE).await;
                    break;
                }
            }
            if door.full.get() || door.shut.get() {
                break;
            }
        }
        future::yield_now().await;
    }
    // The system has taken in who stands outside: they are served.
    while let Ok(Some(accepted)) = accept(listener.get_ref()) {
        knock(accepted);
    }
    drop(listener);
    handle.feed(Event::DoorShut);
}

/// What has come is thrown away, as far as it is here, and the refusal written: closing upon unread bytes would
/// reset the connection, and what was written might be lost with it. False where neither can be done.
fn refuse(mut stream: &TcpStream, refusal: &[u8]) -> bool {
    waste(stream) && stream.write(refusal).is_ok_and(|count| count == refusal.len()) && {
        let _ = stream.shutdown(Shutdown::Write);
        true
    }
}

/// Throws away a little of what has come; false once there is no more to come.
fn waste(mut stream: &TcpStream) -> bool {
    match stream.read(&mut [0; 4096]) {
        Ok(count) => count > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}

/// Those who were turned away and may not have fetched the refusal yet: so many at most, past which the one told
/// longest goes. One task looks after all of them.
struct Teller {
    told: RefCell<VecDeque<(TcpStream, Instant)>>,
    most: usize,
    bell: Bell,
}

impl Teller {
    fn new(most: usize) -> Self {
        Self { told: RefCell::default(), most: most.max(1), bell: Bell::default() }
    }

    fn tell(&self, stream: TcpStream, refusal: &[u8]) {
        if refuse(&stream, refusal) {
            let mut told = self.told.borrow_mut();
            if told.len() == self.most {
                told.pop_front();
            }
            told.push_back((stream, Instant::now()));
            self.bell.ring();
        }
    }
}

/// Returns once all refusals are fetched, or have had their time: the program's end would cut them off.
pub async fn all_told(clients: &Clients) {
    while !clients.teller.told.borrow().is_empty() {
        Timer::after(TELLING_TURN).await;
    }
}

/// Lets go of those who have fetched their refusal, and of who takes too long.
pub async fn tell_all(clients: Rc<Clients>) {
    let teller = &clients.teller;
    loop {
        if teller.told.borrow().is_empty() {
            teller.bell.wait().await;
        }
        Timer::after(TELLING_TURN).await;
        teller.told.borrow_mut().retain(|(stream, since)| since.elapsed() < TELLING && waste(stream));
    }
}

/// One client's connection, as others see it.
struct Talk {
    line: Line,
    /// A request is being answered.
    answering: Cell<bool>,
    /// The client wants no more than this answer.
    is_last: Cell<bool>,
    /// It is to go, once what has come from it is answered.
    sent_off: Cell<bool>,
}

impl Talk {
    fn new() -> Self {
        let line = Line::new(MOST_WAITING);
        Self { line, answering: false.into(), is_last: false.into(), sent_off: false.into() }
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
        Timer::after(REST).await;
        if self.line.is_flooded() {
            self.line.close();
        }
        self.hear_on();
    }
}

async fn serve(
    clients: Rc<Clients>,
    handle: Handle,
    client: ClientId,
    stream: Stream,
    talk: Rc<Talk>,
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
    let read = |inbox: &mut Inbox| listening.read(&handle, client, &talk, inbox);
    let stop = pump(&stream, &talk.line, Inbox::new(MOST_UNREAD), read, |_| ()).await;
    if matches!(stop, Stop::Closed) && (listening.lost || talk.line.is_flooded()) {
        linger(&stream, LINGER.0, LINGER.1).await;
    }
    clients.inside.borrow_mut().remove(&client);
    // Before the event: the last to leave may end the program.
    drop(stream);
    handle.feed(Event::ClientGone(client));
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
    fn read(&mut self, handle: &Handle, client: ClientId, talk: &Talk, inbox: &mut Inbox) -> ControlFlow<()> {
        // One at a time: the next is looked at when this one's answer is on its way.
        while !talk.line.is_closing() && !talk.answering.get() && !talk.line.is_flooded() {
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
                        talk.is_last.set(true);
                    }
                    match question(&message, &self.clients.indices) {
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
            talk.answering.set(true);
            handle.feed(event);
        }
        // All that has come was looked at: a request on its way when its client was sent off has its answer first.
        if talk.sent_off.get() && !talk.answering.get() {
            talk.line.dismiss();
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
        from.is_ok_and(|from| self.clients.who.tells_to(from.ip()))
    }
}

/// Whether a connection's other side has ended it, where nothing stands unread before that end. One look at the
/// system, as a request and the end right behind it are read one after the other.
fn has_left(stream: &Stream) -> bool {
    match stream.get_ref().peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

fn has_more(stream: &Stream) -> bool {
    matches!(stream.get_ref().peek(&mut [0]), Ok(1..))
}

fn blame(fault: Fault) -> Blame {
    match fault {
        Fault::Malformed(what) => Blame::Request(what.into()),
        Fault::HeadTooLong => Blame::HeadTooLong,
        Fault::BodyTooLong => Blame::BodyTooLong,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_executor::LocalExecutor;

    /// A client, and its connection on the porch.
    fn on_the_porch() -> (Rc<Clients>, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let clients = Rc::new(Clients::new(1, 2, BTreeSet::new(), Rc::default()));
        let accepted = accept(&listener).unwrap().unwrap();
        clients.porch.borrow_mut().insert(ClientId(7), (accepted.stream, Instant::now()));
        (clients, client)
    }

    #[test]
    fn one_who_is_sent_off_before_its_task_has_run_goes() {
        let (executor, (clients, mut client)) = (Rc::new(LocalExecutor::new()), on_the_porch());
        let gone = Rc::new(Cell::new(false));
        let tells = gone.clone();
        let tell = move |event| tells.set(matches!(event, Event::ClientGone(ClientId(7))));
        let handle = Handle::new(executor.clone(), tell);
        clients.let_in(&handle, ClientId(7));
        clients.dismiss(ClientId(7));
        let over = async {
            while !gone.get() {
                future::yield_now().await;
            }
        };
        async_io::block_on(executor.run(over));
        assert_eq!(client.read(&mut [0]).unwrap(), 0);
    }

    /// The program's end would reset a connection on which something came after its refusal, and the refusal with it.
    #[test]
    fn the_program_stays_until_refusals_are_fetched() {
        let ((clients, mut client), over) = (on_the_porch(), Cell::new(false));
        clients.turn_away(ClientId(7), Span::ZERO);
        let ends = async {
            all_told(&clients).await;
            over.set(true);
        };
        let fetches = async {
            client.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
            Timer::after(TELLING_TURN * 3).await;
            assert!(!over.get(), "nobody has fetched it");
            let mut told = String::new();
            client.read_to_string(&mut told).unwrap();
            assert!(told.starts_with("HTTP/1.1 503 "), "{told}");
            drop(client);
        };
        let both = async {
            future::zip(ends, fetches).await;
        };
        async_io::block_on(future::or(both, tell_all(clients.clone())));
        assert!(over.get());
    }
}
