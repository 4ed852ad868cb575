//! The outcomes of a request, the reasons for a failure, and their HTTP representation.
//!
//! `docs/operators/callers.md` has a table of all combinations of outcome, reason and status.
//!
//! Used by the `daemon` crate; the `gateway` crate uses the refusals of `platform_interface`.

use std::time::Duration;

use displaydoc::Display;
use ids::{RequestId, StageName, TargetName};
use serde::{Deserialize, Serialize};

/// Response header with the name of the outcome.
pub const OUTCOME_HEADER: &str = "saddlerail-outcome";
/// Header with the request id, in requests and responses.
pub const REQUEST_ID_HEADER: &str = "saddlerail-request-id";

/// Outcome of a request: what the caller can rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The response is complete and was ready within the deadline.
    Whole,
    /// No stage ran on any VM or target; nothing is charged.
    NotRun,
    /// Some stages ran or may have run. The caller may retry the request if it is repeatable.
    Failed,
    /// A non-repeatable call may have run; it is never run again under this request id.
    Unknown,
}

impl Outcome {
    /// Name of the outcome on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Whole => "whole",
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

// The doc comments of the variants are the displayed texts, which are sent to callers.
/// Why a request got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// the request itself can't be taken
    BadRequest,
    /// no such service
    UnknownService,
    /// no such customer
    UnknownCustomer,
    /// the body is larger than the limit
    BodyTooLarge,
    /// this VM is stopping
    Stopping,
    /// this VM has no configuration in force
    NoConfiguration,
    /// the stages can't be done before the deadline
    TooLate,
    /// the queue is full
    QueueFull,
    /// no target that the selectors allow can be used
    NoTarget,
    /// a target answered with an error
    TargetFailed,
    /// the deadline passed
    DeadlinePassed,
    /// the caller closed its connection
    CallerGone,
    /// another submission holds this id
    IdTaken,
    /// the store that keeps ids of calls that may not be repeated can't be reached
    StoreOut,
}

/// A run of a stage for a request, and its cost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRun {
    /// Name of the stage.
    pub stage: StageName,
    /// Target that ran the stage.
    pub target: TargetName,
    /// Cost charged by the target, in units of its own; `None` if it is not known because there was
    /// no complete response.
    pub cost: Option<u64>,
}

/// Result of a request that got no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Outcome of the request; never `Whole`.
    pub outcome: Outcome,
    /// Reason for the refusal.
    pub reason: Reason,
    /// Human-readable details of the reason.
    pub detail: String,
    /// Time after which to retry; `None` if a retry makes no sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request of which no stage ran.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Refusal { outcome: Outcome::NotRun, reason, detail: detail.into(), retry_after: None }
    }

    /// Creates a refusal of a request of which some stages ran or may have run.
    pub fn failed(reason: Reason, detail: impl Into<String>) -> Self {
        Refusal { outcome: Outcome::Failed, reason, detail: detail.into(), retry_after: None }
    }

    /// Creates a refusal of a non-repeatable request that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Refusal { outcome: Outcome::Unknown, reason, detail: detail.into(), retry_after: None }
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// HTTP status of this refusal.
    pub fn status(&self) -> u16 {
        match (self.outcome, self.reason) {
            (_, Reason::BadRequest) => 400,
            (_, Reason::UnknownService) => 404,
            (_, Reason::UnknownCustomer) => 403,
            (_, Reason::BodyTooLarge) => 413,
            (Outcome::Unknown, Reason::IdTaken) => 409,
            (Outcome::Unknown, _) => 500,
            (Outcome::NotRun, Reason::QueueFull | Reason::TooLate) => 429,
            (Outcome::NotRun, _) => 503,
            (_, Reason::DeadlinePassed | Reason::TooLate) => 504,
            _ => 502,
        }
    }
}

/// Body of each response that is not streamed, and of the last event of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request.
    pub request_id: RequestId,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Why the response is not complete; absent if it is.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<Reason>,
    /// Human-readable details of the reason.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub detail: Option<String>,
    /// Time after which to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Runs of stages in order, including failed attempts.
    pub stages: Vec<StageRun>,
    /// Output of the last stage; absent in a stream, whose earlier events carry it.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub output: Option<serde_json::Value>,
}

impl Answer {
    /// Creates the body of a complete response.
    pub fn whole(
        request_id: RequestId,
        stages: Vec<StageRun>,
        output: Option<serde_json::Value>,
    ) -> Self {
        Answer {
            request_id,
            outcome: Outcome::Whole,
            reason: None,
            detail: None,
            retry_after_ms: None,
            stages,
            output,
        }
    }

    /// Creates the body of a refusal.
    pub fn refused(request_id: RequestId, stages: Vec<StageRun>, refusal: &Refusal) -> Self {
        let millis = |wait: Duration| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Answer {
            request_id,
            outcome: refusal.outcome,
            reason: Some(refusal.reason),
            detail: Some(format!("{}: {}", refusal.reason, refusal.detail)),
            retry_after_ms: refusal.retry_after.map(millis),
            stages,
            output: None,
        }
    }
}
