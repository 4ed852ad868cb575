//! Types exchanged with a pool: submissions, the calls that it makes, and their outcomes.

use std::time::{Duration, Instant};

use eligibility::AllowedHalls;
use ids::{HallName, RequestId};
use intent::Target;
use platform_interface::calls::PieceAnswer;
use quarantine::RequestDigest;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a submission.
    pub struct JobKey;
    /// Key of a call in progress.
    pub struct CallKey;
}

/// Order of waiting pieces and how they are matched with workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PieceOrder {
    /// By slack, preferring workers in the hall of the inputs.
    #[default]
    Slack,
    /// By arrival; a baseline for comparison.
    Arrival,
}

/// Pieces of one stage of one request.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The request.
    pub request: RequestId,
    /// Digest that is the same in each submission of the same pieces, also under another request
    /// id; `None` if it comes from a VM of an older build.
    pub digest: Option<RequestDigest>,
    /// Index of the stage.
    pub stage: u32,
    /// Numbers of the pieces.
    pub pieces: Vec<u32>,
    /// Secret from the caller that is passed to the workers; only for stages without inputs.
    pub piece_key: Option<String>,
    /// Handles of the results that each piece needs.
    pub inputs: Vec<String>,
    /// Size of all inputs together, in bytes.
    pub input_bytes: u64,
    /// Deadline of the request: later results are useless and pieces are no longer started.
    pub deadline: Instant,
    /// Time by which the results are wanted. Pieces are ordered by it; later results may still be
    /// used.
    pub due: Instant,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Estimated size of a result, in bytes.
    pub result_bytes: u64,
    /// Hall where the inputs are stored or the results are wanted, if that matters.
    pub preferred_hall: Option<HallName>,
    /// Halls whose workers may run the pieces.
    pub allowed_halls: AllowedHalls,
}

/// A call to be made.
#[derive(Debug, Clone)]
pub struct Call {
    /// Key with which its end is reported.
    pub key: CallKey,
    /// The target.
    pub target: Target,
    /// The pieces: submission and number.
    pub pieces: Vec<(JobKey, u32)>,
    /// Room used at the target by the results of this call and earlier ones, in bytes, for the log.
    pub room_used: u64,
    /// Longest time that a piece of the call waited, for the log.
    pub waited: Duration,
    /// Number of pieces of the pool that still wait, for the log.
    pub still_waiting: usize,
    /// Time from the start of the call at the target until its inputs are fetched; `None` if
    /// unknown.
    pub fetch_time: Option<Duration>,
    /// Time that the call should take by the pool's configuration.
    pub expected: Duration,
    /// Time after which the call is given up.
    pub timeout: Duration,
}

/// Results to be released at a worker. Their room counts as used until
/// [`Pool::finish_release`](crate::Pool::finish_release) records the outcome.
#[derive(Debug, Clone)]
pub struct PendingRelease {
    /// The worker.
    pub target: Target,
    /// Handles of the results.
    pub handles: Vec<String>,
    /// Room that they use, in bytes.
    pub bytes: u64,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered; one answer for each piece, in order.
    Answered(Vec<PieceAnswer>),
    /// The target was full and rejected the call.
    Full,
    /// The target is gone and another one has its address.
    TargetGone,
    /// The target's hall is unreachable.
    HallUnreachable,
    /// The call failed or timed out.
    Failed,
}

/// Outcome of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The result is stored at its worker under this handle.
    Stored(String),
    /// The deadline passed before the piece started.
    Late,
    /// An input no longer exists.
    InputGone,
    /// The piece could not be made.
    Failed,
}

impl PieceOutcome {
    /// Returns the result's handle, if there is one.
    pub fn handle(&self) -> Option<&str> {
        match self {
            PieceOutcome::Stored(handle) => Some(handle),
            PieceOutcome::Late | PieceOutcome::InputGone | PieceOutcome::Failed => None,
        }
    }
}

/// A finished piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedPiece {
    /// The submission.
    pub job: JobKey,
    /// Number of the piece.
    pub piece: u32,
    /// Its outcome.
    pub outcome: PieceOutcome,
}
