//! One link to a searcher: dialled, then run until it ends.

use super::clock::duration;
use super::handle::Handle;
use crate::protocol::frames::{self, Frame, PartRequest, MAX_FRAME_BYTES};
use crate::protocol::http::{get_request, Message, Reader};
use crate::protocol::{nodes, MAX_BODY_BYTES};
use crate::routing::{CallId, CloseReason, Event, LinkId, SearcherProtocol};
use crate::transport::{
    dial, is_local_fault, is_short, pump, sleep, Bell, Inbox, Line, Stop, Stream, Written,
};
use fernglade_admission::{FailureResponse, ResourceShortage};
use futures_lite::future;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
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
pub struct Links(RefCell<BTreeMap<LinkId, Rc<Near>>>);

/// The near end of one.
struct Near {
    line: Line,
    tongue: SearcherProtocol,
    to: SocketAddr,
    /// Rung for a further attempt while it is dialled.
    beside: Bell,
    /// What a node of the query dialect was asked and has not answered, in order.
    asked: RefCell<VecDeque<Question>>,
}

enum Question {
    Part(String),
    Check,
    Version,
}

impl Links {
    pub fn dial(
        self: &Rc<Self>,
        handle: &Handle,
        link: LinkId,
        to: SocketAddr,
        tongue: SearcherProtocol,
        within: Duration,
    ) {
        let line = Line::new(MOST_WAITING);
        let near = Rc::new(Near { line, tongue, to, beside: Bell::default(), asked: RefCell::default() });
        self.0.borrow_mut().insert(link, near.clone());
        handle.spawn(serve(self.clone(), handle.clone(), link, near, within));
    }

    pub fn dial_beside(&self, link: LinkId) {
        self.near(link).iter().for_each(|near| near.beside.ring());
    }

    pub fn call(&self, handle: &Handle, link: LinkId, call: CallId, errands: &[PartRequest]) {
        let Some(near) = self.near(link) else { return };
        match (near.tongue, errands) {
            (SearcherProtocol::Frames, errands) => {
                let (errands, size, handed_over) =
                    (errands.to_vec(), frames::estimated_call_size(errands), Instant::now());
                let word = move || frames::encode_call(&errands, handed_over.elapsed().as_millis() as u64);
                if !near.line.outbox.push_worded(call.0, size, word) {
                    self.end(handle, link, CloseReason::WriteBacklogFull);
                }
            }
            (SearcherProtocol::QueryApi, [errand]) => {
                if let Some(question) = nodes::encode_part_request(errand, &near.to.to_string()) {
                    near.asked.borrow_mut().push_back(Question::Part(errand.id.clone()));
                    self.write(handle, link, call.0, question);
                }
            }
            // All of its parts were given up before it was handed over.
            (SearcherProtocol::QueryApi, _) => {}
        }
    }

    pub fn give_up(&self, handle: &Handle, link: LinkId, id: &str) {
        self.write(handle, link, UNTOLD, frames::encode_cancel(id));
    }

    pub fn check(&self, handle: &Handle, link: LinkId) {
        let Some(near) = self.near(link) else { return };
        match near.tongue {
            SearcherProtocol::Frames => self.write(handle, link, UNTOLD, frames::encode_probe()),
            SearcherProtocol::QueryApi => {
                near.asked.borrow_mut().push_back(Question::Check);
                self.write(handle, link, UNTOLD, get_request("/_cluster/health", &near.to.to_string()));
            }
        }
    }

    /// At a node's first contact, ahead of its first part.
    pub fn ask_version(&self, handle: &Handle, link: LinkId) {
        let Some(near) = self.near(link) else { return };
        near.asked.borrow_mut().push_back(Question::Version);
        self.write(handle, link, UNTOLD, get_request("/", &near.to.to_string()));
    }

    /// Where the searcher takes nothing and the bound is reached, the link is over.
    fn write(&self, handle: &Handle, link: LinkId, tag: u64, frame: Vec<u8>) {
        if self.near(link).is_some_and(|near| !near.line.outbox.push(tag, frame)) {
            self.end(handle, link, CloseReason::WriteBacklogFull);
        }
    }

    pub fn withdraw(&self, handle: &Handle, link: LinkId, call: CallId) {
        let Some(near) = self.near(link) else { return };
        if near.line.outbox.withdraw(call.0) {
            // It was the one part asked there; a check may stand beside it.
            near.asked.borrow_mut().retain(|question| !matches!(question, Question::Part(_)));
            handle.feed(Event::CallWithdrawn(link, call));
        }
    }

    pub fn hang_up(&self, link: LinkId) {
        self.near(link).iter().for_each(|near| near.line.close());
    }

    pub fn cut(&self, link: LinkId) {
        self.near(link).iter().for_each(|near| near.line.cut());
    }

    fn near(&self, link: LinkId) -> Option<Rc<Near>> {
        self.0.borrow().get(&link).cloned()
    }

    /// Tells of a link's end, once, and lets go of its near end.
    fn end(&self, handle: &Handle, link: LinkId, ending: CloseReason) {
        let near = self.0.borrow_mut().remove(&link);
        if let Some(near) = near {
            near.line.cut();
            handle.feed(Event::LinkClosed(link, ending));
        }
    }
}

async fn serve(links: Rc<Links>, handle: Handle, link: LinkId, near: Rc<Near>, within: Duration) {
    let ending = match dial_racing(&handle, &near, within).await {
        Err(error) => not_up(&error),
        Ok(stream) => {
            handle.feed(Event::LinkConnected(link));
            let (mut amid, mut reader) = (false, Reader::for_responses(MAX_BODY_BYTES));
            let read = |inbox: &mut Inbox| {
                let (flow, is_amid) = match near.tongue {
                    SearcherProtocol::Frames => {
                        let flow = read(&handle, link, inbox);
                        (flow, !inbox.unread().is_empty())
                    }
                    SearcherProtocol::QueryApi => {
                        let flow = hear(&handle, link, &near, &mut reader, inbox);
                        (flow, reader.is_mid_message(inbox.unread()))
                    }
                };
                if amid != is_amid {
                    amid = is_amid;
                    handle.feed(Event::FramePartiallyRead(link, amid));
                }
                flow
            };
            let mut half = false;
            let written = |written| {
                let was_half = std::mem::replace(&mut half, written == Written::Part);
                if half != was_half {
                    handle.feed(Event::FramePartiallyWritten(link, half));
                }
                match written {
                    Written::Part | Written::Whole(UNTOLD) => {}
                    Written::Whole(tag) => handle.feed(Event::CallWritten(link, CallId(tag))),
                }
            };
            match pump(&stream, &near.line, Inbox::new(4 + MAX_FRAME_BYTES), read, written).await {
                Stop::Ended => {
                    // An answer of no length is whole now.
                    let flow = reader.finish().map(|message| heard(&handle, link, &near, &message));
                    flow.and_then(ControlFlow::break_value).unwrap_or(CloseReason::ClosedByPeer)
                }
                Stop::Broke => CloseReason::ConnectionBroken,
                Stop::Closed => CloseReason::ClosedLocally,
                Stop::Halted(ending) => ending,
            }
        }
    };
    links.end(&handle, link, ending);
}

type Attempt<'a> = Pin<Box<dyn Future<Output = io::Result<Stream>> + 'a>>;

/// The first connection that is up, of one attempt and those that are asked for beside it. Where nobody listens they
/// are over together; any other failure is of one attempt alone.
async fn dial_racing(handle: &Handle, near: &Near, within: Duration) -> io::Result<Stream> {
    let began = Instant::now();
    let mut attempts: Vec<Attempt> = vec![Box::pin(dial_with_room(handle, near.to, within))];
    loop {
        let beside = async {
            near.beside.wait().await;
            None
        };
        let over = async { Some(first_over(&mut attempts).await) };
        match future::or(over, beside).await {
            None => attempts.push(Box::pin(dial(near.to, within.saturating_sub(began.elapsed())))),
            Some(Ok(stream)) => return Ok(stream),
            Some(Err(error)) => {
                if attempts.is_empty() || error.kind() == io::ErrorKind::ConnectionRefused {
                    return Err(error);
                }
            }
        }
    }
}

/// Takes out the first attempt that is over.
async fn first_over(attempts: &mut Vec<Attempt<'_>>) -> io::Result<Stream> {
    poll_fn(|context| {
        for at in 0..attempts.len() {
            if let Poll::Ready(done) = attempts[at].as_mut().poll(context) {
                drop(attempts.swap_remove(at));
                return Poll::Ready(done);
            }
        }
        Poll::Pending
    })
    .await
}

/// How often a connection is tried again where this machine has no route: that may be so for good.
const ROUTE_TRIES: u32 = 4;

/// What this machine could not even try is tried again within the time. Where descriptors run short lastingly an
/// idle client goes, and its place is waited for.
async fn dial_with_room(handle: &Handle, to: SocketAddr, within: Duration) -> io::Result<Stream> {
    let (began, mut shortage, mut tries) = (Instant::now(), ResourceShortage::default(), 0);
    loop {
        let left = within.saturating_sub(began.elapsed());
        let error = match dial(to, left).await {
            Err(error) if is_local_fault(&error) && left > ROOM_PAUSE => error,
            dialled => return dialled,
        };
        tries += 1;
        if is_unroutable(&error) && tries > ROUTE_TRIES {
            return Err(error);
        }
        match shortage.record_failure() {
            FailureResponse::Retry(pause) => sleep(duration(pause)).await,
            FailureResponse::FreeDescriptors => {
                if is_short(&error) {
                    handle.feed(Event::OutOfResources);
                }
                sleep(ROOM_PAUSE).await;
            }
        }
    }
}

fn is_unroutable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NetworkUnreachable | io::ErrorKind::NetworkDown)
}

fn not_up(error: &io::Error) -> CloseReason {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => CloseReason::ConnectionRefused,
        io::ErrorKind::TimedOut => CloseReason::ConnectTimedOut,
        _ if is_unroutable(error) => CloseReason::Unreachable,
        _ if is_local_fault(error) => CloseReason::OutOfResources,
        _ => CloseReason::Unreachable,
    }
}

fn read(handle: &Handle, link: LinkId, inbox: &mut Inbox) -> ControlFlow<CloseReason> {
    loop {
        let frame = match frames::decode(inbox.unread()) {
            Ok(Some((frame, count))) => {
                inbox.used(count);
                frame
            }
            Ok(None) => return ControlFlow::Continue(()),
            Err(what) => {
                log::debug!("a searcher's frame can't be read: {what}");
                return ControlFlow::Break(CloseReason::InvalidData);
            }
        };
        match frame {
            Frame::Part { id, outcome, value } => {
                handle.feed(Event::PartAnswered { link, id, outcome, value })
            }
            Frame::ProbeResult(there) => handle.feed(Event::HealthProbeAnswered(link, there)),
            Frame::LoadReport => {}
            Frame::ProtocolError(words) => {
                log::warn!("a searcher could not use a frame of ours: {words:?}");
                return ControlFlow::Break(CloseReason::RejectedByPeer);
            }
        }
    }
}

/// Answers of a node of the query dialect, each to the question that was asked longest ago.
fn hear(
    handle: &Handle,
    link: LinkId,
    near: &Near,
    reader: &mut Reader,
    inbox: &mut Inbox,
) -> ControlFlow<CloseReason> {
    loop {
        let message = match reader.read(inbox.unread()) {
            Ok((used, message)) => {
                inbox.used(used);
                message
            }
            Err(fault) => {
                log::debug!("a node's answer can't be read: {fault:?}");
                return ControlFlow::Break(CloseReason::InvalidData);
            }
        };
        let Some(message) = message else { return ControlFlow::Continue(()) };
        heard(handle, link, near, &message)?;
    }
}

fn heard(handle: &Handle, link: LinkId, near: &Near, message: &Message) -> ControlFlow<CloseReason> {
    let question = near.asked.borrow_mut().pop_front();
    match question {
        Some(Question::Part(id)) => {
            let (outcome, value) = nodes::part_outcome(message);
            handle.feed(Event::PartAnswered { link, id, outcome, value });
        }
        Some(Question::Check) => {
            handle.feed(Event::HealthProbeAnswered(link, message.start_line[1] == "200"))
        }
        Some(Question::Version) => {
            handle.feed(Event::NodeVersionReceived(link, nodes::node_version(message)))
        }
        None => return ControlFlow::Break(CloseReason::InvalidData),
    }
    if message.keep_alive() {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(CloseReason::ClosedByPeer)
    }
}
