//! API errors: the exception type, the reason and the HTTP status code.

use serde_json::{json, Value};

/// Exception types, as the API names them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    Parsing,
    IllegalArgument,
    IndexNotFound,
    MethodNotAllowed,
    TooLarge,
    RejectedExecution,
    SearchPhase,
    ProcessCluster,
}

impl ErrorKind {
    /// The exception type as written in a response.
    pub fn type_name(self) -> &'static str {
        match self {
            Self::Parsing => "parsing_exception",
            Self::IllegalArgument => "illegal_argument_exception",
            Self::IndexNotFound => "index_not_found_exception",
            Self::MethodNotAllowed => "method_not_allowed_exception",
            Self::TooLarge => "content_too_long_exception",
            Self::RejectedExecution => "rejected_execution_exception",
            Self::SearchPhase => "search_phase_execution_exception",
            Self::ProcessCluster => "process_cluster_event_exception",
        }
    }

    /// The HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            Self::Parsing | Self::IllegalArgument => 400,
            Self::IndexNotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::TooLarge => 413,
            Self::RejectedExecution => 429,
            Self::ProcessCluster => 502,
            Self::SearchPhase => 503,
        }
    }
}

/// An error of the API, as reported to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiError {
    pub kind: ErrorKind,
    pub reason: String,
}

impl ApiError {
    /// An error of the given kind.
    pub fn new(kind: ErrorKind, reason: impl Into<String>) -> Self {
        Self { kind, reason: reason.into() }
    }

    /// A `parsing_exception`.
    pub fn parsing(reason: impl Into<String>) -> Self {
        Self::new(ErrorKind::Parsing, reason)
    }

    /// An `illegal_argument_exception`.
    pub fn illegal_argument(reason: impl Into<String>) -> Self {
        Self::new(ErrorKind::IllegalArgument, reason)
    }

    /// The body of the error response.
    pub fn body(&self) -> Value {
        let cause = json!({"type": self.kind.type_name(), "reason": self.reason});
        json!({
            "error": {"root_cause": [cause], "type": self.kind.type_name(), "reason": self.reason},
            "status": self.kind.status(),
        })
    }
}
