//! One link to a searcher: dialled, then run until it ends.

use super::handle::Handle;
use crate::protocol::frames::{self, Errand, Frame, MOST_FRAME};
use crate::routing::{CallId, Ending, Event, LinkId};
use crate::transport::{dial, is_short, pump, Inbox, Line, Stop, Stream};
use async_io::Timer;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What may wait to be written to one searcher: the longest calls of one part, on a link full of them. Usual
/// calls take a hundred bytes; all links together hold no more of them than parts are open.
const MOST_WAITING: usize = 2 * 1024 * 1024;
/// A client that is sent off frees its place within this.
const ROOM_PAUSE: Duration = Duration::from_millis(5);
/// The tag of frames whose writing nobody waits for.
const UNTOLD: u64 = 0;

/// The near ends of all links to searchers.
#[derive(Default)]
pub struct Links(RefCell<BTreeMap<LinkId, Rc<Line>>>);

impl Links {
    pub fn dial(self: &Rc<Self>, handle: &Handle, link: LinkId, to: SocketAddr, within: Duration) {
        let line = Rc::new(Line::new(MOST_WAITING));
        self.0.borrow_mut().insert(link, line.clone());
        handle.spawn(serve(self.clone(), handle.clone(), link, line, to, within));
    }

    pub fn call(&self, handle: &Handle, link: LinkId, call: CallId, errands: &[Errand]) {
        self.write(handle, link, call.0, frames::call(errands));
    }

    pub fn give_up(&self, handle: &Handle, link: LinkId, id: &str) {
        self.write(handle, link, UNTOLD, frames::give_up(id));
    }

    pub fn check(&self, handle: &Handle, link: LinkId) {
        self.write(handle, link, UNTOLD, frames::check());
    }

    /// Where the searcher takes nothing and the bound is reached, the link is over.
    fn write(&self, handle: &Handle, link: LinkId, tag: u64, frame: Vec<u8>) {
        if self.line(link).is_some_and(|line| !line.outbox.push(tag, frame)) {
            self.end(handle, link, Ending::Stuck);
        }
    }

    pub fn withdraw(&self, handle: &Handle, link: LinkId, call: CallId) {
        if self.line(link).is_some_and(|line| line.outbox.withdraw(call.0)) {
            handle.feed(Event::Withdrawn(link, call));
        }
    }

    pub fn hang_up(&self, link: LinkId) {
        self.line(link).iter().for_each(|line| line.close());
    }

    pub fn cut(&self, link: LinkId) {
        self.line(link).iter().for_each(|line| line.cut());
    }

    fn line(&self, link: LinkId) -> Option<Rc<Line>> {
        self.0.borrow().get(&link).cloned()
    }

    /// Tells of a link's end, once, and lets go of its near end.
    fn end(&self, handle: &Handle, link: LinkId, ending: Ending) {
        let line = self.0.borrow_mut().remove(&link);
        if let Some(line) = line {
            line.cut();
            handle.feed(Event::LinkEnded(link, ending));
        }
    }
}

async fn serve(
    links: Rc<Links>,
    handle: Handle,
    link: LinkId,
    line: Rc<Line>,
    to: SocketAddr,
    within: Duration,
) {
    let ending = match dial_with_room(&handle, to, within).await {
        Err(error) => not_up(&error),
        Ok(stream) => {
            handle.feed(Event::LinkUp(link));
            let mut amid = false;
            let read = |inbox: &mut Inbox| {
                let flow = read(&handle, link, inbox);
                if amid == inbox.unread().is_empty() {
                    amid = !amid;
                    handle.feed(Event::Amid(link, amid));
                }
                flow
            };
            let gone = |tag| {
                if tag != UNTOLD {
                    handle.feed(Event::CallOut(link, CallId(tag)));
                }
            };
            match pump(&stream, &line, Inbox::new(4 + MOST_FRAME), read, gone).await {
                Stop::Ended => Ending::Ended,
                Stop::Broke => Ending::Broke,
                Stop::Closed => Ending::HungUp,
                Stop::Halted(ending) => ending,
            }
        }
    };
    links.end(&handle, link, ending);
}

/// Where descriptors run short an idle client goes, and its place is waited for.
async fn dial_with_room(handle: &Handle, to: SocketAddr, within: Duration) -> io::Result<Stream> {
    let began = Instant::now();
    loop {
        let left = within.saturating_sub(began.elapsed());
        match dial(to, left).await {
            Err(error) if is_short(&error) && left > ROOM_PAUSE => {
                handle.feed(Event::Short);
                Timer::after(ROOM_PAUSE).await;
            }
            dialled => return dialled,
        }
    }
}

fn not_up(error: &io::Error) -> Ending {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Ending::Refused,
        io::ErrorKind::TimedOut => Ending::NeverUp,
        _ if is_short(error) => Ending::Short,
        _ => Ending::NoWay,
    }
}

fn read(handle: &Handle, link: LinkId, inbox: &mut Inbox) -> ControlFlow<Ending> {
    loop {
        let frame = match frames::next(inbox.unread()) {
            Ok(Some((frame, count))) => {
                inbox.used(count);
                frame
            }
            Ok(None) => return ControlFlow::Continue(()),
            Err(what) => {
                log::debug!("a searcher's frame can't be read: {what}");
                return ControlFlow::Break(Ending::Garbled);
            }
        };
        match frame {
            Frame::Part { id, end, value } => handle.feed(Event::PartBack { link, id, end, value }),
            Frame::Check(there) => handle.feed(Event::CheckBack(link, there)),
            Frame::Report => {}
            Frame::Objection(words) => {
                log::warn!("a searcher could not use a frame of ours: {words:?}");
                return ControlFlow::Break(Ending::Objected);
            }
        }
    }
}
