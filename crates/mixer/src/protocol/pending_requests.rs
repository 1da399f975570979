//! Which request a response belongs to, on a connection whose responses carry no ids: the oldest one that was
//! written whole and has no response yet.

use std::collections::VecDeque;

/// A request to a searcher whose answer is awaited.
#[derive(Clone, Debug, PartialEq)]
pub enum PendingRequest {
    /// A part, by its id.
    Part(String),
    HealthProbe,
    Version,
}

/// The requests on one connection, in the order in which they are written and answered.
#[derive(Default)]
pub struct PendingRequests {
    /// Queued for writing; their last byte has not been written, so no response can be theirs.
    unwritten: VecDeque<PendingRequest>,
    /// Written whole and not answered yet.
    unanswered: VecDeque<PendingRequest>,
}

impl PendingRequests {
    /// Adds a request that is queued for writing.
    pub fn queued(&mut self, request: PendingRequest) {
        self.unwritten.push_back(request);
    }

    /// Records that the last byte of the oldest queued request was written.
    pub fn written(&mut self) {
        self.unanswered.extend(self.unwritten.pop_front());
    }

    /// Removes the part that was withdrawn before any of it was written.
    pub fn part_withdrawn(&mut self) {
        self.unwritten.retain(|request| !matches!(request, PendingRequest::Part(_)));
    }

    /// Removes and returns the request that the next response belongs to, if there is one.
    pub fn answered(&mut self) -> Option<PendingRequest> {
        self.unanswered.pop_front()
    }

    /// How many responses may arrive.
    pub fn expected_responses(&self) -> usize {
        self.unanswered.len()
    }

    /// Whether no request is queued or awaits its response.
    pub fn is_empty(&self) -> bool {
        self.unwritten.is_empty() && self.unanswered.is_empty()
    }
}

#[cfg(test)]
mod tests;
