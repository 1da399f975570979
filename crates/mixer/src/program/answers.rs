//! Reads what searchers answer and dispatches an event for each answer.

use super::handle::Handle;
use crate::protocol::frame_reader::FrameReader;
use crate::protocol::frames::Frame;
use crate::protocol::http::Message;
use crate::protocol::nodes;
use crate::protocol::pending_requests::{PendingRequest, PendingRequests};
use crate::protocol::response_reader::ResponseReader;
use crate::routing::{CloseReason, Event, LinkId, SearcherProtocol};
use crate::transport::ReadBuffer;
use fernglade_admission::{PeerWork, Work};
use std::cell::RefCell;
use std::ops::ControlFlow;

/// The answers on one link.
pub struct AnswerReader<'a> {
    handle: &'a Handle,
    link: LinkId,
    pending: &'a RefCell<PendingRequests>,
    work: &'a RefCell<PeerWork>,
    parser: Parser,
    /// Bytes that were left unread after the last look at the input.
    unread_before: usize,
}

enum Parser {
    Frames(FrameReader),
    Responses(ResponseReader),
}

impl<'a> AnswerReader<'a> {
    /// A reader for a new link; `pending` are the requests written to it, `work` is what its searcher has caused.
    pub fn new(
        handle: &'a Handle,
        link: LinkId,
        protocol: SearcherProtocol,
        pending: &'a RefCell<PendingRequests>,
        work: &'a RefCell<PeerWork>,
    ) -> Self {
        let parser = match protocol {
            SearcherProtocol::Frames => Parser::Frames(FrameReader::default()),
            SearcherProtocol::QueryApi => Parser::Responses(ResponseReader::default()),
        };
        Self { handle, link, pending, work, parser, unread_before: 0 }
    }

    /// Reads the answers in `buffer`. Returns whether one has begun and is incomplete, and whether the link
    /// goes on.
    pub fn read(&mut self, buffer: &mut ReadBuffer) -> (bool, ControlFlow<CloseReason>) {
        let received = buffer.unread().len().saturating_sub(self.unread_before);
        if received > 0 {
            self.charge(&[Work::Wakeup, Work::Bytes(received)]);
        }
        let result = self.read_answers(buffer);
        self.unread_before = buffer.unread().len();
        result
    }

    fn charge(&self, work: &[Work]) {
        self.handle.limits().charge(self.work, work);
    }

    fn read_answers(&mut self, buffer: &mut ReadBuffer) -> (bool, ControlFlow<CloseReason>) {
        let (unread, is_all_received) = (buffer.unread(), buffer.holds_all_received());
        match &mut self.parser {
            Parser::Frames(reader) => {
                let batch = reader.read(unread, is_all_received);
                buffer.consume(batch.consumed);
                let is_mid_frame = !buffer.unread().is_empty();
                let mut flow = batch.frames.into_iter().try_for_each(|frame| self.handle_frame(frame));
                if let (ControlFlow::Continue(()), Some(error)) = (flow, batch.error) {
                    flow = invalid_data(error);
                }
                (is_mid_frame, flow)
            }
            Parser::Responses(reader) => {
                let expected = self.pending.borrow().expected_responses();
                let batch = reader.read(unread, is_all_received, expected);
                buffer.consume(batch.consumed);
                let steps = reader.take_steps();
                self.charge(&[Work::ParserSteps(steps)]);
                let flow = match batch.responses {
                    Ok(all) => all.iter().try_for_each(|response| self.handle_response(response)),
                    Err(error) => invalid_data(&error),
                };
                (batch.is_mid_response, flow)
            }
        }
    }

    /// The bytes that are allocated for an answer that is still arriving.
    pub fn allocated_bytes(&self) -> usize {
        match &self.parser {
            Parser::Frames(_) => 0,
            Parser::Responses(reader) => reader.allocated_bytes(),
        }
    }

    /// Handles the end of a link that the peer has closed in order, and returns the reason for its end. A
    /// response without a declared length is complete when the connection ends.
    pub fn finish(mut self) -> CloseReason {
        let response = match &mut self.parser {
            Parser::Frames(_) => None,
            Parser::Responses(reader) => reader.finish(),
        };
        let flow = response.map(|response| self.handle_response(&response));
        flow.and_then(ControlFlow::break_value).unwrap_or(CloseReason::ClosedByPeer)
    }

    fn handle_frame(&self, frame: Frame) -> ControlFlow<CloseReason> {
        let link = self.link;
        match frame {
            Frame::Part { id, outcome, value } => {
                self.handle.limits().answer_used(self.work, value.len());
                self.handle.dispatch(Event::PartAnswered { link, id, outcome, value })
            }
            Frame::ProbeResult(healthy) => {
                // A result that no probe asked for says nothing of the next one.
                let request = self.pending.borrow_mut().answered();
                if request.is_some() {
                    self.handle.limits().answer_used(self.work, 0);
                    self.handle.dispatch(Event::HealthProbeAnswered(link, healthy));
                } else {
                    self.charge(&[Work::ParserSteps(1)]);
                }
            }
            Frame::LoadReport => self.charge(&[Work::ParserSteps(1)]),
            Frame::ProtocolError(reason) => {
                log::warn!("a searcher rejected a frame: {reason:?}");
                return ControlFlow::Break(CloseReason::RejectedByPeer);
            }
        }
        ControlFlow::Continue(())
    }

    fn handle_response(&self, message: &Message) -> ControlFlow<CloseReason> {
        let (link, request) = (self.link, self.pending.borrow_mut().answered());
        let event = match request {
            Some(PendingRequest::Part(id)) => {
                let (outcome, value) = nodes::part_outcome(message);
                Event::PartAnswered { link, id, outcome, value }
            }
            Some(PendingRequest::HealthProbe) => {
                Event::HealthProbeAnswered(link, message.start_line[1] == "200")
            }
            Some(PendingRequest::Version) => Event::NodeVersionReceived(link, nodes::node_version(message)),
            None => return ControlFlow::Break(CloseReason::InvalidData),
        };
        self.handle.limits().answer_used(self.work, message.body.len());
        self.handle.dispatch(event);
        if message.keep_alive() {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(CloseReason::ClosedByPeer)
        }
    }
}

fn invalid_data(error: &str) -> ControlFlow<CloseReason> {
    log::debug!("cannot use a searcher's answer: {error}");
    ControlFlow::Break(CloseReason::InvalidData)
}
