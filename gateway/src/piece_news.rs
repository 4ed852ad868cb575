//! What a request hears of the pieces that it submitted, and where it is told.

use batching::Made;
use tokio::sync::mpsc::UnboundedSender;

use crate::links::ToDialer;

/// A stage of a request, and how often it had been submitted before: news of an earlier time that
/// is still on its way says nothing of a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StageTurn {
    /// Index of the stage.
    pub(crate) stage: u32,
    /// Times that it was submitted, this one included.
    pub(crate) turn: u32,
}

/// What a request hears of the pieces that it submitted.
#[derive(Debug)]
pub(crate) enum PieceNews {
    /// A piece of a stage is done.
    Done {
        /// The stage.
        of: StageTurn,
        /// Number of the piece.
        piece: u32,
        /// What became of it.
        made: Made,
    },
    /// The inputs of the stage were fetched and may be given up.
    Fetched {
        /// The stage.
        of: StageTurn,
    },
    /// The VM that fills the calls is gone; what is not done has to be submitted again.
    OwnerLost {
        /// The stage.
        of: StageTurn,
    },
}

/// Who gets the results of a submission.
pub(crate) enum Sink {
    /// A request of this VM.
    Here(UnboundedSender<PieceNews>, StageTurn),
    /// A peer, by its number for the submission.
    Peer(ToDialer, u64),
}
