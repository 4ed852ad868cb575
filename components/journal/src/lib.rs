//! Bounded record of the decisions taken for each request, for `saddlerail explain`.
//!
//! A decision is written down before the call that follows from it is sent.

use std::collections::{HashMap, VecDeque};

use ids::{CustomerName, Priority, RequestId, Revision, ServiceName, StageName, TargetName};
use outcomes::{Outcome, Reason};
use serde::{Deserialize, Serialize};

/// Requests that the record holds before the oldest is dropped.
pub const MAX_RECORDS: usize = 4096;

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "end")]
pub enum AttemptEnd {
    /// Not known yet.
    Running,
    /// The target answered whole.
    Answered,
    /// Nothing was sent.
    NotSent {
        /// Why.
        problem: String,
    },
    /// The target says that it did not run the call.
    Declined {
        /// Why.
        problem: String,
    },
    /// It was sent and did not end whole; it may have run.
    Failed {
        /// Why.
        problem: String,
    },
}

/// One attempt to run a stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Attempt id sent to the target.
    pub attempt: String,
    /// The stage.
    pub stage: StageName,
    /// The chosen target.
    pub target: TargetName,
    /// Why this target and not another.
    pub why: String,
    /// Milliseconds from the request's arrival to the choice.
    pub chosen_at_ms: u64,
    /// Milliseconds that the call took, once it ended.
    pub took_ms: Option<u64>,
    /// How it ended.
    #[serde(flatten)]
    pub end: AttemptEnd,
}

/// Everything decided for one submission of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request.
    pub request_id: RequestId,
    /// The service asked for.
    pub service: ServiceName,
    /// On whose behalf.
    pub customer: CustomerName,
    /// Its priority.
    pub priority: Priority,
    /// The configuration it runs under.
    pub revision: Revision,
    /// Milliseconds from arrival to the deadline.
    pub deadline_ms: u64,
    /// Attempts in the order in which they were chosen.
    pub attempts: Vec<AttemptRecord>,
    /// How it ended, if it has.
    pub outcome: Option<Outcome>,
    /// Why it was not answered whole.
    pub reason: Option<Reason>,
    /// Milliseconds from arrival to the end.
    pub took_ms: Option<u64>,
}

/// Number of a submission within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SubmissionId(u64);

/// The latest [`MAX_RECORDS`] submissions.
#[derive(Debug, Default)]
pub struct Journal {
    records: HashMap<u64, RequestRecord>,
    order: VecDeque<u64>,
    next: u64,
}

impl Journal {
    /// Opens a record and drops the oldest if there are too many.
    pub fn open(&mut self, record: RequestRecord) -> SubmissionId {
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

    /// Writes down a choice, before its call is sent.
    pub fn record_attempt(&mut self, submission: SubmissionId, attempt: AttemptRecord) {
        if let Some(record) = self.records.get_mut(&submission.0) {
            record.attempts.push(attempt);
        }
    }

    /// Writes down how an attempt ended.
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

    /// Writes down how the request ended.
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

    /// All submissions under one request id, oldest first.
    pub fn find<'a>(&'a self, id: &'a RequestId) -> impl Iterator<Item = &'a RequestRecord> + 'a {
        let records = self.order.iter().filter_map(|number| self.records.get(number));
        records.filter(move |record| record.request_id == *id)
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
