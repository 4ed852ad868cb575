//! Calls to targets, and what their answers prove about whether the request ran.
//!
//! Before a request runs at a target, its stages may have to run. A stage consists of pieces, which
//! the targets of a pool, its workers, run in batches. A worker keeps the result of a piece under a
//! handle, by which other workers and targets fetch it, until the result is released.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, response};
use ids::{CustomerName, RequestId, TargetName};

/// What this system adds to the caller's head in a call to a target.
#[derive(Debug, Clone)]
pub struct CallHead<'a> {
    /// Time until the deadline.
    pub time_left: Duration,
    /// The target that the call is meant for. Another one at the same address refuses the call.
    pub target: &'a TargetName,
    /// The customer on whose behalf the call is made, if it is known.
    pub customer: Option<&'a CustomerName>,
    /// Urgency; 0 is the highest.
    pub urgency: u8,
    /// Number of the event after which a stream is resumed.
    pub last_event: Option<u64>,
    /// Handles of the last stages' results.
    pub inputs: &'a [String],
}

/// Load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of an answer proves about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The target did not run the request.
    Declined,
    /// Another target, such as a later instance, is at the address; the request did not run.
    OtherTarget,
    /// An input of the request is gone; the request did not run.
    InputGone,
    /// The answer belongs to this request.
    Answered,
    /// The answer belongs to another request, or names none.
    OtherRequest,
    /// The answer is not a target's or was altered on the way: one with a status that no final answer
    /// has, a success without a signature, or any whose body is encoded.
    Invalid,
}

/// The rate limit in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnnouncedRate {
    /// The answer has none.
    Absent,
    /// Requests a second that the target accepts from all VMs together.
    PerSecond(f64),
    /// The answer has one that can't be read, so nothing is known about the limit.
    Unreadable,
}

/// The head of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerHead {
    /// What the answer proves about the request.
    pub evidence: Evidence,
    /// Whether the answer names a request. A second copy of one that names none can't be told from the
    /// answer to the next request on the connection.
    pub names_request: bool,
    /// The target's load, if it is reported.
    pub load: Option<Load>,
    /// Whether the target closes the connection after the answer.
    pub closes: bool,
    /// For how long the target keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the target is about to stop.
    pub is_leaving: bool,
    /// For how long a target that refused the call wants no more calls from this VM.
    pub retry_after: Option<Duration>,
    /// The target's rate limit.
    pub rate: AnnouncedRate,
    /// Requests that the target may turn away in a second, for want of room, without falling over;
    /// `None` if it does not say that it is brittle.
    pub brittle: Option<u32>,
}

/// A piece in a call to a pool's worker.
#[derive(Debug, Clone)]
pub struct PieceCall {
    /// Id of the request.
    pub request: RequestId,
    /// Index of the stage.
    pub stage: u32,
    /// Number of the piece in its stage.
    pub piece: u32,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Secret of the request, for stages that need no results of other stages.
    pub key: Option<String>,
    /// Handles of the results that the piece needs.
    pub inputs: Vec<String>,
}

/// Outcome of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceAnswer {
    /// Done. The worker holds the result under this handle.
    Stored(String),
    /// The deadline passed before the piece started.
    Late,
    /// An input no longer exists.
    InputGone,
    /// The worker has no room for the result.
    NoRoom,
    /// The piece failed.
    Failed,
}

impl PieceAnswer {
    /// The handle of the result; `None` if there is none.
    pub fn handle(&self) -> Option<&str> {
        match self {
            PieceAnswer::Stored(handle) => Some(handle),
            _ => None,
        }
    }
}

/// Report of a pool's worker on its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerReport {
    /// Whether a call is running.
    pub is_running: bool,
    /// Number of calls that wait.
    pub waiting: u32,
}

impl WorkerReport {
    /// Whether every call that the worker had when it made the report has started. A report without
    /// a running call proves nothing about a call that was sent before the report was requested:
    /// the call may have reached the worker after it made the report, or may have ended already.
    pub fn all_calls_started(&self) -> bool {
        self.is_running && self.waiting == 0
    }
}

/// A request to a target that this system makes by itself, such as a call to a pool or for a
/// report.
#[derive(Debug, Clone)]
pub struct OwnCall {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL.
    pub path: &'static str,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body; empty if there is none.
    pub body: Bytes,
}

/// Translates calls to targets and their answers.
#[derive(Debug, Clone, Copy)]
pub struct CallAdapter {
    /// Returns the headers of a call, given the caller's headers.
    pub call_headers: fn(&HeaderMap, &CallHead<'_>) -> HeaderMap,
    /// Reads the head of an answer to the request with the given id.
    pub read_head: fn(&response::Parts, &RequestId) -> AnswerHead,
    /// Returns the names of an answer's headers that the adapter does not know. The target may be
    /// signaling something there that this system ignores.
    pub unknown_headers: fn(&response::Parts) -> Vec<String>,
    /// Returns the headers of the answer to the caller, given those of the target's answer.
    pub answer_headers: fn(&HeaderMap) -> HeaderMap,
    /// Builds a call that runs pieces at a pool's worker.
    pub pool_call: fn(&TargetName, &[PieceCall]) -> OwnCall,
    /// Reads the answer to such a call: the outcomes of its pieces, in order.
    pub read_pool_answer: fn(&[u8]) -> errors::Result<Vec<PieceAnswer>>,
    /// Builds a call that requests a worker's report.
    pub report: fn(&TargetName) -> OwnCall,
    /// Reads a worker's report.
    pub read_report: fn(&[u8]) -> errors::Result<WorkerReport>,
    /// Builds a call that releases results at their worker, given their handles.
    pub release: fn(&TargetName, &[String]) -> OwnCall,
    /// Returns the worker's address in a handle; `None` if the handle can't be parsed.
    pub worker_address: fn(&str) -> Option<std::net::SocketAddr>,
}
