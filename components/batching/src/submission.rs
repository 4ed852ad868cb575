//! What is handed to a pool, the calls that it makes, and what comes of them.

use std::time::{Duration, Instant};

use ids::{HallName, RequestId};
use intent::Target;
use platform_adapter::calls::PieceAnswer;
use quarantine::RequestDigest;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a submission.
    pub struct JobKey;
    /// Key of a call under way.
    pub struct CallKey;
}

/// How waiting pieces are ordered and matched with workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Order {
    /// By slack, with regard to where the inputs lie.
    #[default]
    Slack,
    /// As they came, to measure against.
    Arrival,
}

/// Pieces of one stage of one request.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The request.
    pub request: RequestId,
    /// What is the same for these pieces of each attempt at the same request; a VM of an older build does
    /// not say.
    pub content: Option<RequestDigest>,
    /// Index of the stage.
    pub stage: u32,
    /// Numbers of the pieces.
    pub pieces: Vec<u32>,
    /// Secret of the request; for stages that need no results.
    pub key: Option<String>,
    /// Results that each piece needs.
    pub inputs: Vec<String>,
    /// Bytes of all of them together.
    pub input_bytes: u64,
    /// When the results are of no use.
    pub until: Instant,
    /// When the results are late.
    pub due: Instant,
    /// Urgency, 0 first.
    pub urgency: u8,
    /// About how large a result is.
    pub result_bytes: u64,
    /// Where the inputs lie or the results are wanted, if that matters.
    pub preferred_hall: Option<HallName>,
}

/// A call to be made.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its key, to tell how it ended.
    pub key: CallKey,
    /// The target.
    pub target: Target,
    /// The pieces in it: submission and number.
    pub pieces: Vec<(JobKey, u32)>,
    /// Room that its results and earlier ones take at the target, in bytes, for the log.
    pub room_used: u64,
    /// Longest time that one of its pieces waited, for the log.
    pub waited: Duration,
    /// Pieces that go on waiting, for the log.
    pub still_waiting: usize,
    /// Time within which its inputs have been fetched once it has its turn; `None` if that can't be told.
    pub fetch_time: Option<Duration>,
    /// After this time it is given up.
    pub timeout: Duration,
}

/// Results that are to be given up at their worker. Their room counts as taken until it is told how
/// that went.
#[derive(Debug, Clone)]
pub struct PendingRelease {
    /// The worker.
    pub target: Target,
    /// The results.
    pub handles: Vec<String>,
    /// Room that they take.
    pub bytes: u64,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// With an answer for each piece, in order.
    Answered(Vec<PieceAnswer>),
    /// The target was full and did not take it.
    Full,
    /// The target is gone; another one has its address.
    TargetGone,
    /// The target's hall is out of reach.
    OutOfReach,
    /// It failed or took too long.
    Failed,
}

/// Result of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// It lies at its worker under this handle.
    Stored(String),
    /// Its time was over.
    Late,
    /// An input is gone.
    InputGone,
    /// It could not be made.
    Failed,
}

impl PieceOutcome {
    /// The result's handle, if there is one.
    pub fn handle(&self) -> Option<&str> {
        match self {
            PieceOutcome::Stored(handle) => Some(handle),
            PieceOutcome::Late | PieceOutcome::InputGone | PieceOutcome::Failed => None,
        }
    }
}

/// A piece that is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finished {
    /// The submission.
    pub job: JobKey,
    /// Number of the piece.
    pub piece: u32,
    /// What became of it.
    pub outcome: PieceOutcome,
}
