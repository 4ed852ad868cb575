//! Bounded in-memory log of the decisions made for each request, read by `saddlerail explain`.
//!
//! A decision is recorded before the resulting call is sent.

use std::collections::{HashMap, VecDeque};

use ids::{CustomerName, Priority, RequestId, Revision, ServiceName, StageName, TargetName};
use outcomes::{Outcome, Reason};
use serde::{Deserialize, Serialize};

/// Maximum number of records; further ones replace the oldest.
pub const MAX_RECORDS: usize = 4096;

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "end")]
pub enum AttemptEnd {
    /// The attempt has not ended.
    Running,
    /// The target sent a complete response.
    Answered,
    /// The call was not sent.
    NotSent {
        /// Why.
        problem: String,
    },
    /// The target declined the call without running it.
    Declined {
        /// Why.
        problem: String,
    },
    /// The call was sent and got no complete response; it may have run.
    Failed {
        /// Why.
        problem: String,
    },
}

/// One attempt to run a stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Id of the attempt, as sent to the target.
    pub attempt: String,
    /// Name of the stage.
    pub stage: StageName,
    /// Selected target.
    pub target: TargetName,
    /// Why this target was selected.
    pub why: String,
    /// Time from the request's arrival to the selection, in milliseconds.
    pub chosen_at_ms: u64,
    /// Duration of the call, in milliseconds; `None` while it is running.
    pub took_ms: Option<u64>,
    /// Result of the attempt.
    #[serde(flatten)]
    pub end: AttemptEnd,
}

/// Decisions and result of one submission of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Id of the request.
    pub request_id: RequestId,
    /// Requested service.
    pub service: ServiceName,
    /// Customer on whose behalf the request was made.
    pub customer: CustomerName,
    /// Priority of the request.
    pub priority: Priority,
    /// Revision of the configuration under which the request runs.
    pub revision: Revision,
    /// Time from arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Attempts, in the order of their selection.
    pub attempts: Vec<AttemptRecord>,
    /// Outcome of the request; `None` while it is running.
    pub outcome: Option<Outcome>,
    /// Why there was no complete response.
    pub reason: Option<Reason>,
    /// Time from arrival to the end, in milliseconds; `None` while the request is running.
    pub took_ms: Option<u64>,
}

/// Identifies a submission within this process. One request id may be submitted several times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SubmissionId(u64);

/// Records of the latest [`MAX_RECORDS`] submissions.
#[derive(Debug, Default)]
pub struct Journal {
    records: HashMap<u64, RequestRecord>,
    order: VecDeque<u64>,
    next: u64,
}

impl Journal {
    /// Adds the record of a new submission, and removes the oldest record if there are more than
    /// [`MAX_RECORDS`].
    pub fn add(&mut self, record: RequestRecord) -> SubmissionId {
        let number = self.next;
        self.next += 1;
        self.records.insert(number, record);
        self.order.push_back(number);
        if self.order.len() > MAX_RECORDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
        SubmissionId(number)
    }

    /// Records an attempt before its call is sent.
    pub fn record_attempt(&mut self, submission: SubmissionId, attempt: AttemptRecord) {
        if let Some(record) = self.records.get_mut(&submission.0) {
            record.attempts.push(attempt);
        }
    }

    /// Records the result of an attempt.
    pub fn record_attempt_end(
        &mut self,
        submission: SubmissionId,
        attempt: &str,
        took_ms: u64,
        end: AttemptEnd,
    ) {
        let record = self.records.get_mut(&submission.0);
        let found = record.and_then(|r| r.attempts.iter_mut().rfind(|a| a.attempt == attempt));
        if let Some(attempt) = found {
            attempt.took_ms = Some(took_ms);
            attempt.end = end;
        }
    }

    /// Records the result of a request.
    pub fn record_end(
        &mut self,
        submission: SubmissionId,
        outcome: Outcome,
        reason: Option<Reason>,
        took_ms: u64,
    ) {
        if let Some(record) = self.records.get_mut(&submission.0) {
            record.outcome = Some(outcome);
            record.reason = reason;
            record.took_ms = Some(took_ms);
        }
    }

    /// Records of all submissions with the request id, oldest first.
    pub fn find<'a>(&'a self, id: &'a RequestId) -> impl Iterator<Item = &'a RequestRecord> + 'a {
        let records = self.order.iter().filter_map(|number| self.records.get(number));
        records.filter(move |record| record.request_id == *id)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
