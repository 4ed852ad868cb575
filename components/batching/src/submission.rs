//! What is handed to a pool, the calls that it makes, and what comes of them.

use std::time::{Duration, Instant};

use doors::calls::PieceAnswer;
use ids::{HallName, RequestId};
use intent::Target;
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
    pub near: Option<HallName>,
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
    pub fetch: Option<Duration>,
    /// After this time it is given up.
    pub patience: Duration,
}

/// Results that are to be given up at their worker. Their room counts as taken until it is told how
/// that went.
#[derive(Debug, Clone)]
pub struct GivenUp {
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
pub enum Made {
    /// It lies at its worker under this handle.
    At(String),
    /// Its time was over.
    Late,
    /// An input is gone.
    Gone,
    /// It could not be made.
    Broken,
}

impl Made {
    /// The result's handle, if there is one.
    pub fn handle(&self) -> Option<&str> {
        match self {
            Made::At(handle) => Some(handle),
            Made::Late | Made::Gone | Made::Broken => None,
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
    pub made: Made,
}
