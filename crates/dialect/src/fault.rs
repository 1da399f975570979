//! What is wrong with a request or an answer, in the dialect's words.

use serde_json::{json, Value};

/// Exception types, as the API names them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Parsing,
    IllegalArgument,
    IndexNotFound,
    MethodNotAllowed,
    TooLarge,
    RejectedExecution,
    SearchPhase,
    ProcessCluster,
}

impl Kind {
    pub fn word(self) -> &'static str {
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

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub kind: Kind,
    pub reason: String,
}

impl Fault {
    pub fn new(kind: Kind, reason: impl Into<String>) -> Self {
        Self { kind, reason: reason.into() }
    }

    pub fn parsing(reason: impl Into<String>) -> Self {
        Self::new(Kind::Parsing, reason)
    }

    pub fn argument(reason: impl Into<String>) -> Self {
        Self::new(Kind::IllegalArgument, reason)
    }

    /// The whole body of an error's answer.
    pub fn body(&self) -> Value {
        let cause = json!({"type": self.kind.word(), "reason": self.reason});
        json!({
            "error": {"root_cause": [cause], "type": self.kind.word(), "reason": self.reason},
            "status": self.kind.status(),
        })
    }
}
