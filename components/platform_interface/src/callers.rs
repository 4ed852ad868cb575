//! Heads of callers' requests, and refusals.

use std::time::Duration;

use http::HeaderMap;
use http::request;
use ids::RequestId;

/// A part of a prompt, which other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; equal parts have equal ids.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The head of a caller's request. A value that the caller does not give, or that can't be read, is
/// `None`, 0 or empty.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of the request; a caller's retry of the same request has a new one.
    pub id: Option<RequestId>,
    /// Time for which the caller waits, counted from when it sent the request.
    pub time_left: Option<Duration>,
    /// The customer's key.
    pub key: Option<String>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Highest number of tokens of the answer.
    pub answer_tokens: u64,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Number of the last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the caller the first event of the stream that it resumes.
    pub resumes: Option<RequestId>,
    /// Number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// Secret that is passed to the workers of stages that need no results of other stages.
    pub piece_key: Option<String>,
}

/// Why a caller gets no answer from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request has not run and will not. The caller may repeat it after the given time.
    NotRun {
        /// Time until the caller may repeat the request.
        retry_after: Duration,
    },
    /// The request resumes a stream that no target can go on with. It has not run, and repeating it
    /// is of no use.
    NotResumable,
    /// The request has not run, and its deadline has passed.
    NotRunTimedOut,
    /// The request may have run, and its answer is lost.
    Failed,
    /// The request may have run, and its deadline has passed.
    TimedOut,
    /// No entry serves the host and path.
    NoEntry,
    /// The customer's key is not known.
    UnknownKey,
    /// The body exceeds the size limit.
    TooLarge,
    /// The head exceeds the size limit.
    HeadTooLarge,
    /// The request can't be parsed.
    Malformed,
}

/// Translates callers' requests and the answers to them.
#[derive(Debug, Clone, Copy)]
pub struct CallerAdapter {
    /// Reads the head of a request.
    pub read: fn(&request::Parts) -> CallerHead,
    /// Returns the status and headers of a refusal, with the request's id if it is known.
    pub refuse: fn(Refusal, Option<&RequestId>) -> (http::StatusCode, HeaderMap),
}
