//! One link to a searcher: dialled, then run until it ends.

use super::hub::Hub;
use crate::protocol::frames::{self, Frame, MOST_FRAME};
use crate::routing::{CallId, Ending, Event, LinkId};
use crate::transport::{dial, is_short, pump, Inbox, Line, Stop, Stream};
use async_io::Timer;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What may wait to be written to one searcher: the longest calls of one part, on a link full of them. Usual
/// calls take a hundred bytes; all links together hold no more of them than parts are open.
pub const MOST_WAITING: usize = 2 * 1024 * 1024;
/// A client that is sent off frees its place within this.
const ROOM_PAUSE: Duration = Duration::from_millis(5);
/// The tag of frames whose writing nobody waits for.
pub const UNTOLD: u64 = 0;

pub async fn serve(hub: Rc<Hub>, link: LinkId, line: Rc<Line>, to: SocketAddr, within: Duration) {
    let ending = match dial_with_room(&hub, to, within).await {
        Err(error) => not_up(&error),
        Ok(stream) => {
            hub.feed(Event::LinkUp(link));
            let mut amid = false;
            let read = |inbox: &mut Inbox| {
                let flow = read(&hub, link, inbox);
                if amid == inbox.unread().is_empty() {
                    amid = !amid;
                    hub.feed(Event::Amid(link, amid));
                }
                flow
            };
            let gone = |tag| {
                if tag != UNTOLD {
                    hub.feed(Event::CallOut(link, CallId(tag)));
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
    hub.end_link(link, ending);
}

/// Where descriptors run short an idle client goes, and its place is waited for.
async fn dial_with_room(hub: &Rc<Hub>, to: SocketAddr, within: Duration) -> io::Result<Stream> {
    let began = Instant::now();
    loop {
        let left = within.saturating_sub(began.elapsed());
        match dial(to, left).await {
            Err(error) if is_short(&error) && left > ROOM_PAUSE => {
                hub.feed(Event::Short);
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

fn read(hub: &Rc<Hub>, link: LinkId, inbox: &mut Inbox) -> ControlFlow<Ending> {
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
            Frame::Part { id, end, value } => hub.feed(Event::PartBack { link, id, end, value }),
            Frame::Check(there) => hub.feed(Event::CheckBack(link, there)),
            Frame::Report => {}
            Frame::Objection(words) => {
                log::warn!("a searcher could not use a frame of ours: {words:?}");
                return ControlFlow::Break(Ending::Objected);
            }
        }
    }
}
