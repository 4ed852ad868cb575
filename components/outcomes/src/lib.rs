//! The four outcomes of a request and how HTTP shows them.
//!
//! `docs/operators/callers.md` gives the table of every combination.

use std::time::Duration;

use displaydoc::Display;
use ids::{RequestId, StageName, TargetName};
use serde::{Deserialize, Serialize};

/// Header that carries the outcome's name.
pub const OUTCOME_HEADER: &str = "saddlerail-outcome";
/// Header that carries the request id, in requests and answers.
pub const REQUEST_ID_HEADER: &str = "saddlerail-request-id";

/// What a caller may rely on about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer, within the deadline.
    Whole,
    /// No stage ran, here or anywhere; nothing is charged.
    NotRun,
    /// Some stages ran or may have run; the request may be repeated if it is repeatable.
    Failed,
    /// A call that may not be repeated may have run; it is never run again under this id.
    Unknown,
}

impl Outcome {
    /// The outcome's name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Whole => "whole",
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request was not answered whole.
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

/// A stage that ran for a request and what it cost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRun {
    /// The stage.
    pub stage: StageName,
    /// The target that ran it.
    pub target: TargetName,
    /// What the target charged, in its own units; `None` where no whole answer told it.
    pub cost: Option<u64>,
}

/// A request that was not answered whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What the caller may rely on; never `Whole`.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// More about the reason, for a person.
    pub detail: String,
    /// When to ask again; `None` where asking again makes no sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A request of which nothing ran.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Refusal { outcome: Outcome::NotRun, reason, detail: detail.into(), retry_after: None }
    }

    /// A request of which some stages ran or may have run.
    pub fn failed(reason: Reason, detail: impl Into<String>) -> Self {
        Refusal { outcome: Outcome::Failed, reason, detail: detail.into(), retry_after: None }
    }

    /// A request that may not be repeated and may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Refusal { outcome: Outcome::Unknown, reason, detail: detail.into(), retry_after: None }
    }

    /// The same refusal with the time after which to ask again.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The HTTP status that goes with this refusal.
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

/// Body of every answer that is no stream, and of a stream's last event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The request this answers.
    pub request_id: RequestId,
    /// What the caller may rely on.
    pub outcome: Outcome,
    /// Why it was not answered whole.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub reason: Option<Reason>,
    /// More about the reason, for a person.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub detail: Option<String>,
    /// Milliseconds after which to ask again.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// The stages that ran, in order, failed attempts included.
    pub stages: Vec<StageRun>,
    /// Output of the last stage; absent in a stream, where it went before.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub output: Option<serde_json::Value>,
}

impl Answer {
    /// The whole answer.
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

    /// The answer that tells a refusal.
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
