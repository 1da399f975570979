//! Links to searchers: each is dialled, then served by one task until it ends.

use super::dialing::{dial_failure, race_dials};
use super::handle::Handle;
use crate::protocol::frame_reader::FrameReader;
use crate::protocol::frames::{self, Frame, PartRequest, MAX_FRAME_BYTES};
use crate::protocol::http::{get_request, Message, Reader};
use crate::protocol::{nodes, MAX_BODY_BYTES};
use crate::routing::{CallId, CloseReason, Event, LinkId, SearcherProtocol};
use crate::transport::{run_connection, ConnectionControl, Notify, ReadBuffer, StreamEnd, WriteProgress};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bound on the bytes queued for one searcher: the longest calls of one part, on a full link. Usual calls
/// take a hundred bytes; all links together hold no more of them than there are open parts.
const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;
/// The tag of frames whose completion is not reported.
const UNTRACKED: u64 = 0;

/// The local ends of all links to searchers.
#[derive(Default)]
pub struct Links(RefCell<BTreeMap<LinkId, Rc<LinkHandle>>>);

/// The local end of one link.
struct LinkHandle {
    control: ConnectionControl,
    protocol: SearcherProtocol,
    to: SocketAddr,
    /// Notified to start a hedged attempt while the link is being dialled.
    hedged_attempt: Notify,
    /// Requests to a node of the query API that are not answered yet, in order.
    unanswered: RefCell<VecDeque<PendingRequest>>,
}

enum PendingRequest {
    Part(String),
    HealthProbe,
    Version,
}

impl Links {
    /// Starts dialing a searcher; the link is served once it is connected.
    pub fn dial(
        self: &Rc<Self>,
        handle: &Handle,
        link: LinkId,
        to: SocketAddr,
        protocol: SearcherProtocol,
        within: Duration,
    ) {
        let control = ConnectionControl::new(MAX_QUEUED_BYTES);
        let link_handle = Rc::new(LinkHandle {
            control,
            protocol,
            to,
            hedged_attempt: Notify::default(),
            unanswered: RefCell::default(),
        });
        self.0.borrow_mut().insert(link, link_handle.clone());
        handle.spawn(serve(self.clone(), handle.clone(), link, link_handle, within));
    }

    /// Starts a hedged connection attempt for a link being dialled.
    pub fn hedge_dial(&self, link: LinkId) {
        self.link_handle(link).iter().for_each(|link_handle| link_handle.hedged_attempt.notify());
    }

    /// Queues a call with one or more parts.
    pub fn call(&self, handle: &Handle, link: LinkId, call: CallId, requests: &[PartRequest]) {
        let Some(link_handle) = self.link_handle(link) else { return };
        match (link_handle.protocol, requests) {
            (SearcherProtocol::Frames, requests) => {
                let (requests, size, queued_at) =
                    (requests.to_vec(), frames::estimated_call_size(requests), Instant::now());
                let encode = move || frames::encode_call(&requests, queued_at.elapsed().as_millis() as u64);
                if !link_handle.control.write_queue.push_deferred(call.0, size, encode) {
                    self.end(handle, link, CloseReason::WriteBacklogFull);
                }
            }
            (SearcherProtocol::QueryApi, [request]) => {
                if let Some(encoded) = nodes::encode_part_request(request, &link_handle.to.to_string()) {
                    link_handle.unanswered.borrow_mut().push_back(PendingRequest::Part(request.id.clone()));
                    self.write(handle, link, call.0, encoded);
                }
            }
            // Every part of the call was cancelled before it was handed over.
            (SearcherProtocol::QueryApi, _) => {}
        }
    }

    /// Cancels a part: notifies the searcher that its answer is no longer needed.
    pub fn cancel_part(&self, handle: &Handle, link: LinkId, id: &str) {
        self.write(handle, link, UNTRACKED, frames::encode_cancel(id));
    }

    /// Sends a health probe.
    pub fn probe_health(&self, handle: &Handle, link: LinkId) {
        let Some(link_handle) = self.link_handle(link) else { return };
        match link_handle.protocol {
            SearcherProtocol::Frames => self.write(handle, link, UNTRACKED, frames::encode_probe()),
            SearcherProtocol::QueryApi => {
                link_handle.unanswered.borrow_mut().push_back(PendingRequest::HealthProbe);
                self.write(
                    handle,
                    link,
                    UNTRACKED,
                    get_request("/_cluster/health", &link_handle.to.to_string()),
                );
            }
        }
    }

    /// Requests a node's version at the first contact, ahead of its first part.
    pub fn request_version(&self, handle: &Handle, link: LinkId) {
        let Some(link_handle) = self.link_handle(link) else { return };
        link_handle.unanswered.borrow_mut().push_back(PendingRequest::Version);
        self.write(handle, link, UNTRACKED, get_request("/", &link_handle.to.to_string()));
    }

    /// Queues a frame. A full queue means that the searcher does not read, and ends the link.
    fn write(&self, handle: &Handle, link: LinkId, tag: u64, frame: Vec<u8>) {
        if self.link_handle(link).is_some_and(|link_handle| !link_handle.control.write_queue.push(tag, frame))
        {
            self.end(handle, link, CloseReason::WriteBacklogFull);
        }
    }

    /// Withdraws a call if none of its bytes has been written.
    pub fn withdraw(&self, handle: &Handle, link: LinkId, call: CallId) {
        let Some(link_handle) = self.link_handle(link) else { return };
        if link_handle.control.write_queue.withdraw(call.0) {
            // It was the only part requested on this link; a health probe may be outstanding as well.
            link_handle.unanswered.borrow_mut().retain(|request| !matches!(request, PendingRequest::Part(_)));
            handle.dispatch(Event::CallWithdrawn(link, call));
        }
    }

    /// Closes a link once its queued frames are written.
    pub fn close(&self, link: LinkId) {
        self.link_handle(link).iter().for_each(|link_handle| link_handle.control.close());
    }

    /// Closes a link at once.
    pub fn abort(&self, link: LinkId) {
        self.link_handle(link).iter().for_each(|link_handle| link_handle.control.abort());
    }

    fn link_handle(&self, link: LinkId) -> Option<Rc<LinkHandle>> {
        self.0.borrow().get(&link).cloned()
    }

    /// Removes a link and reports its end once.
    fn end(&self, handle: &Handle, link: LinkId, reason: CloseReason) {
        let link_handle = self.0.borrow_mut().remove(&link);
        if let Some(link_handle) = link_handle {
            link_handle.control.abort();
            handle.dispatch(Event::LinkClosed(link, reason));
        }
    }
}

async fn serve(
    links: Rc<Links>,
    handle: Handle,
    link: LinkId,
    link_handle: Rc<LinkHandle>,
    within: Duration,
) {
    let reason = match race_dials(&handle, link_handle.to, &link_handle.hedged_attempt, within).await {
        Err(error) => dial_failure(&error),
        Ok(stream) => {
            handle.dispatch(Event::LinkConnected(link));
            let (mut mid_response, mut reader) = (false, Reader::for_responses(MAX_BODY_BYTES));
            let mut frame_reader = FrameReader::default();
            let on_read = |buffer: &mut ReadBuffer| {
                let (flow, now_mid_response) = match link_handle.protocol {
                    SearcherProtocol::Frames => {
                        let flow = read_frames(&handle, link, &mut frame_reader, buffer);
                        (flow, !buffer.unread().is_empty())
                    }
                    SearcherProtocol::QueryApi => {
                        let flow = read_responses(&handle, link, &link_handle, &mut reader, buffer);
                        (flow, reader.is_mid_message(buffer.unread()))
                    }
                };
                if mid_response != now_mid_response {
                    mid_response = now_mid_response;
                    handle.dispatch(Event::FramePartiallyRead(link, mid_response));
                }
                flow
            };
            let mut partially_written = false;
            let on_progress = |progress| {
                let was_partial =
                    std::mem::replace(&mut partially_written, progress == WriteProgress::Partial);
                if partially_written != was_partial {
                    handle.dispatch(Event::FramePartiallyWritten(link, partially_written));
                }
                match progress {
                    WriteProgress::Partial | WriteProgress::Complete(UNTRACKED) => {}
                    WriteProgress::Complete(tag) => handle.dispatch(Event::CallWritten(link, CallId(tag))),
                }
            };
            match run_connection(
                &stream,
                &link_handle.control,
                ReadBuffer::new(4 + MAX_FRAME_BYTES),
                on_read,
                on_progress,
            )
            .await
            {
                StreamEnd::PeerClosed => {
                    // A response without a declared length is complete when the connection ends.
                    let flow =
                        reader.finish().map(|message| handle_response(&handle, link, &link_handle, &message));
                    flow.and_then(ControlFlow::break_value).unwrap_or(CloseReason::ClosedByPeer)
                }
                StreamEnd::Failed => CloseReason::ConnectionBroken,
                StreamEnd::ClosedLocally => CloseReason::ClosedLocally,
                StreamEnd::Stopped(reason) => reason,
            }
        }
    };
    links.end(&handle, link, reason);
}

/// Reads the frames of a searcher. Frames behind which something unreadable stands are not reported.
fn read_frames(
    handle: &Handle,
    link: LinkId,
    reader: &mut FrameReader,
    buffer: &mut ReadBuffer,
) -> ControlFlow<CloseReason> {
    let batch = reader.read(buffer.unread(), buffer.holds_all_received());
    buffer.consume(batch.consumed);
    for frame in batch.frames {
        handle_frame(handle, link, frame)?;
    }
    match batch.error {
        None => ControlFlow::Continue(()),
        Some(error) => {
            log::debug!("cannot parse a searcher's frame: {error}");
            ControlFlow::Break(CloseReason::InvalidData)
        }
    }
}

fn handle_frame(handle: &Handle, link: LinkId, frame: Frame) -> ControlFlow<CloseReason> {
    match frame {
        Frame::Part { id, outcome, value } => {
            handle.dispatch(Event::PartAnswered { link, id, outcome, value })
        }
        Frame::ProbeResult(healthy) => handle.dispatch(Event::HealthProbeAnswered(link, healthy)),
        Frame::LoadReport => {}
        Frame::ProtocolError(reason) => {
            log::warn!("a searcher rejected a frame: {reason:?}");
            return ControlFlow::Break(CloseReason::RejectedByPeer);
        }
    }
    ControlFlow::Continue(())
}

/// Reads responses of a query API node; each belongs to the oldest unanswered request.
fn read_responses(
    handle: &Handle,
    link: LinkId,
    link_handle: &LinkHandle,
    reader: &mut Reader,
    buffer: &mut ReadBuffer,
) -> ControlFlow<CloseReason> {
    loop {
        let message = match reader.read(buffer.unread()) {
            Ok((used, message)) => {
                buffer.consume(used);
                message
            }
            Err(error) => {
                log::debug!("cannot parse a node's response: {error:?}");
                return ControlFlow::Break(CloseReason::InvalidData);
            }
        };
        let Some(message) = message else { return ControlFlow::Continue(()) };
        handle_response(handle, link, link_handle, &message)?;
    }
}

fn handle_response(
    handle: &Handle,
    link: LinkId,
    link_handle: &LinkHandle,
    message: &Message,
) -> ControlFlow<CloseReason> {
    let request = link_handle.unanswered.borrow_mut().pop_front();
    match request {
        Some(PendingRequest::Part(id)) => {
            let (outcome, value) = nodes::part_outcome(message);
            handle.dispatch(Event::PartAnswered { link, id, outcome, value });
        }
        Some(PendingRequest::HealthProbe) => {
            handle.dispatch(Event::HealthProbeAnswered(link, message.start_line[1] == "200"))
        }
        Some(PendingRequest::Version) => {
            handle.dispatch(Event::NodeVersionReceived(link, nodes::node_version(message)))
        }
        None => return ControlFlow::Break(CloseReason::InvalidData),
    }
    if message.keep_alive() {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(CloseReason::ClosedByPeer)
    }
}
