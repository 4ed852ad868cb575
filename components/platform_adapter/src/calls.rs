//! Calls to targets, and what their answers are evidence of.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, response};
use ids::{CustomerName, RequestId, TargetName};

/// What a call tells its target beside the caller's own head.
#[derive(Debug, Clone)]
pub struct CallHead<'a> {
    /// Time until the answer is of no use.
    pub left: Duration,
    /// The lifetime that is meant; another one declines.
    pub target: &'a TargetName,
    /// On whose behalf.
    pub customer: Option<&'a CustomerName>,
    /// Urgency, 0 first.
    pub urgency: u8,
    /// Goes on after this event.
    pub last_event: Option<u64>,
    /// Results of the last stages.
    pub inputs: &'a [String],
}

/// Load as a target tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests at work.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of an answer is evidence of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The target did not run the request.
    Declined,
    /// Another lifetime stands at the address; the request did not run.
    OtherTarget,
    /// An input of the request is gone; the request did not run.
    InputGone,
    /// It is the answer to this request.
    Answered,
    /// It answers another request.
    Crossed,
    /// It is no answer of a target to a request: a success with no receipt, or recoded.
    Invalid,
}

/// What an answer says of the rate that its target takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NamedRate {
    /// It names none.
    Nothing,
    /// The requests a second that the target takes from all VMs together.
    PerSecond(f64),
    /// It names one that can't be read, which says nothing at all.
    Unreadable,
}

/// The head of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerHead {
    /// What it proves.
    pub evidence: Evidence,
    /// Load, if it is told.
    pub load: Option<Load>,
    /// Whether the target closes the connection.
    pub closes: bool,
    /// How long the target keeps the connection at rest.
    pub keep_alive: Option<Duration>,
    /// Whether the target says that it is about to end.
    pub is_leaving: bool,
    /// How long a target that turned the call away wants nothing more from this VM.
    pub retry_after: Option<Duration>,
    /// The rate that the target takes.
    pub rate: NamedRate,
}

/// A piece in a pool's call.
#[derive(Debug, Clone)]
pub struct PieceCall {
    /// The request.
    pub request: RequestId,
    /// Index of the stage.
    pub stage: u32,
    /// Number of the piece.
    pub piece: u32,
    /// Time until the result is of no use.
    pub left: Duration,
    /// Secret of the request; for stages that need no results.
    pub key: Option<String>,
    /// Results that it needs.
    pub inputs: Vec<String>,
}

/// What became of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceAnswer {
    /// Made; the result lies at its worker under this handle.
    Made(String),
    /// Its time was over before its turn.
    Late,
    /// An input is gone.
    Gone,
    /// The worker has no room for the result.
    NoRoom,
    /// It failed.
    Failed,
}

/// What a worker of a pool says of its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerReport {
    /// Whether a call is at work.
    pub is_running: bool,
    /// Calls that wait for their turn.
    pub waiting: u32,
}

impl WorkerReport {
    /// Whether each call that was at the worker had its turn. A report with no call at work says nothing of a call that
    /// was sent before it was asked for: it is older than that call, or the call has ended.
    pub fn all_calls_started(&self) -> bool {
        self.is_running && self.waiting == 0
    }
}

/// A request to a target that is no caller's.
#[derive(Debug, Clone)]
pub struct OwnCall {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'static str,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Translates calls to targets and their answers.
#[derive(Debug, Clone, Copy)]
pub struct CallAdapter {
    /// Headers of a call, from the caller's.
    pub call_headers: fn(&HeaderMap, &CallHead<'_>) -> HeaderMap,
    /// Reads the head of an answer to the request of that id.
    pub read_head: fn(&response::Parts, &RequestId) -> AnswerHead,
    /// Names of headers of an answer that the adapter does not know: a word of its target that nobody heeds may be
    /// among them.
    pub unknown_headers: fn(&response::Parts) -> Vec<String>,
    /// Headers of a target's answer as the caller gets them.
    pub answer_headers: fn(&HeaderMap) -> HeaderMap,
    /// A pool's call.
    pub pool_call: fn(&TargetName, &[PieceCall]) -> OwnCall,
    /// Reads the answer to a pool's call.
    pub read_pool_answer: fn(&[u8]) -> errors::Result<Vec<PieceAnswer>>,
    /// Asks a worker for its report.
    pub report: fn(&TargetName) -> OwnCall,
    /// Reads a worker's report.
    pub read_report: fn(&[u8]) -> errors::Result<WorkerReport>,
    /// Gives up results at their worker.
    pub release: fn(&TargetName, &[String]) -> OwnCall,
    /// The worker's address in a handle.
    pub worker_address: fn(&str) -> Option<std::net::SocketAddr>,
}
