//! Links to searchers: each is dialled, then served by one task until it ends.

use super::answers::AnswerReader;
use super::dialing::{dial_failure, race_dials};
use super::handle::Handle;
use crate::protocol::frames::{self, PartRequest, MAX_FRAME_BYTES};
use crate::protocol::http::get_request;
use crate::protocol::nodes;
use crate::protocol::pending_requests::{PendingRequest, PendingRequests};
use crate::routing::{CallId, CloseReason, Event, LinkId, SearcherProtocol};
use crate::transport::{
    run_connection, ConnectionControl, Notify, ReadBuffer, ReadPermit, StreamEnd, WriteProgress,
};
use fernglade_admission::{PeerKind, PeerWork};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bound on the bytes queued for one searcher: the longest calls of one part, on a full link. Usual calls
/// take a hundred bytes; all links together hold no more of them than there are open parts.
const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;
/// The tags of frames that are not calls; calls are numbered from 1.
const CANCELLATION: u64 = 0;
const NO_CALL: u64 = u64::MAX;

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
    /// Requests whose answers carry no id: all requests to a node of the query API, and health probes.
    pending: RefCell<PendingRequests>,
    /// The work that the searcher has caused on this link.
    work: RefCell<PeerWork>,
    /// The bytes allocated for an answer that is still arriving, beside the read buffer.
    answer_bytes: Cell<usize>,
}

impl LinkHandle {
    /// Queues a request whose answer carries no id. What has already arrived is read before it is written, if
    /// nothing else is pending, as it can't be its answer.
    fn write_request(&self, tag: u64, request: PendingRequest, frame: Vec<u8>) -> bool {
        if self.pending.borrow().is_empty() {
            self.control.read_before_writing();
        }
        self.pending.borrow_mut().queued(request);
        self.control.write_queue.push(tag, frame)
    }

    /// Records that the last byte of a frame was written.
    fn frame_written(&self, handle: &Handle, link: LinkId, tag: u64) {
        let carries_no_id = tag == NO_CALL || self.protocol == SearcherProtocol::QueryApi;
        if carries_no_id {
            self.pending.borrow_mut().written();
        }
        if tag != NO_CALL && tag != CANCELLATION {
            handle.dispatch(Event::CallWritten(link, CallId(tag)));
        }
    }
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
            pending: RefCell::default(),
            work: PeerWork::new(PeerKind::Searcher).into(),
            answer_bytes: Cell::new(0),
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
                let fitted = link_handle.control.write_queue.push_deferred(call.0, size, encode);
                self.end_if_full(handle, link, fitted);
            }
            (SearcherProtocol::QueryApi, [request]) => {
                if let Some(encoded) = nodes::encode_part_request(request, &link_handle.to.to_string()) {
                    self.write_request(
                        handle,
                        link,
                        call.0,
                        PendingRequest::Part(request.id.clone()),
                        encoded,
                    );
                }
            }
            // Every part of the call was cancelled before it was handed over.
            (SearcherProtocol::QueryApi, _) => {}
        }
    }

    /// Cancels a part: notifies the searcher that its answer is no longer needed.
    pub fn cancel_part(&self, handle: &Handle, link: LinkId, id: &str) {
        let frame = frames::encode_cancel(id);
        let fits = |link_handle: Rc<LinkHandle>| link_handle.control.write_queue.push(CANCELLATION, frame);
        self.end_if_full(handle, link, self.link_handle(link).is_none_or(fits));
    }

    /// Sends a health probe.
    pub fn probe_health(&self, handle: &Handle, link: LinkId) {
        let Some(link_handle) = self.link_handle(link) else { return };
        let frame = match link_handle.protocol {
            SearcherProtocol::Frames => frames::encode_probe(),
            SearcherProtocol::QueryApi => get_request("/_cluster/health", &link_handle.to.to_string()),
        };
        self.write_request(handle, link, NO_CALL, PendingRequest::HealthProbe, frame);
    }

    /// Requests a node's version at the first contact, ahead of its first part.
    pub fn request_version(&self, handle: &Handle, link: LinkId) {
        let Some(link_handle) = self.link_handle(link) else { return };
        let frame = get_request("/", &link_handle.to.to_string());
        self.write_request(handle, link, NO_CALL, PendingRequest::Version, frame);
    }

    /// Queues a request whose answer carries no id.
    fn write_request(
        &self,
        handle: &Handle,
        link: LinkId,
        tag: u64,
        request: PendingRequest,
        frame: Vec<u8>,
    ) {
        let Some(link_handle) = self.link_handle(link) else { return };
        self.end_if_full(handle, link, link_handle.write_request(tag, request, frame));
    }

    /// Ends a link whose write queue did not take a frame: the searcher does not read.
    fn end_if_full(&self, handle: &Handle, link: LinkId, fitted: bool) {
        if !fitted {
            self.end(handle, link, CloseReason::WriteBacklogFull);
        }
    }

    /// Withdraws a call if none of its bytes has been written.
    pub fn withdraw(&self, handle: &Handle, link: LinkId, call: CallId) {
        let Some(link_handle) = self.link_handle(link) else { return };
        if link_handle.control.write_queue.withdraw(call.0) {
            link_handle.pending.borrow_mut().part_withdrawn();
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
            let (pending, work) = (&link_handle.pending, &link_handle.work);
            let mut reader = AnswerReader::new(&handle, link, link_handle.protocol, pending, work);
            let permit = |buffer: &ReadBuffer| {
                let limits = handle.limits();
                let permit = limits.read_permit(work, false);
                if permit != ReadPermit::Unlimited {
                    return permit;
                }
                let held = link_handle.answer_bytes.get();
                let permit = limits.permit_within(limits.answer_share(), held, buffer.unread().len());
                if matches!(permit, ReadPermit::Wait(_)) {
                    handle.dispatch(Event::MemoryShort);
                }
                permit
            };
            let mut was_mid_answer = false;
            let on_read = |buffer: &mut ReadBuffer| {
                let (is_mid_answer, flow) = reader.read(buffer);
                link_handle.answer_bytes.set(reader.allocated_bytes());
                if std::mem::replace(&mut was_mid_answer, is_mid_answer) != is_mid_answer {
                    handle.dispatch(Event::FramePartiallyRead(link, is_mid_answer));
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
                if let WriteProgress::Complete(tag) = progress {
                    link_handle.frame_written(&handle, link, tag);
                }
            };
            match run_connection(
                &stream,
                &link_handle.control,
                ReadBuffer::new(4 + MAX_FRAME_BYTES),
                permit,
                on_read,
                on_progress,
            )
            .await
            {
                StreamEnd::PeerClosed => reader.finish(),
                StreamEnd::Failed => CloseReason::ConnectionBroken,
                StreamEnd::ClosedLocally => CloseReason::ClosedLocally,
                StreamEnd::Stopped(reason) => reason,
            }
        }
    };
    links.end(&handle, link, reason);
}
