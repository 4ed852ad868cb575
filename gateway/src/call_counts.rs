//! Summarizes how a pool's call ended, for logs and metrics.

use batching::CallEnd;
use platform_interface::calls::PieceAnswer;

/// Number of a call's pieces by outcome, for the log.
#[derive(Default)]
pub(crate) struct PieceCounts {
    pub(crate) made: usize,
    pub(crate) failed: usize,
    pub(crate) no_room: usize,
    pub(crate) input_gone: usize,
    pub(crate) late: usize,
}

impl PieceCounts {
    pub(crate) fn of(end: &CallEnd) -> Self {
        let mut counts = PieceCounts::default();
        let CallEnd::Answered(answers) = end else { return counts };
        for answer in answers {
            *match answer {
                PieceAnswer::Stored(_) => &mut counts.made,
                PieceAnswer::Failed => &mut counts.failed,
                PieceAnswer::NoRoom => &mut counts.no_room,
                PieceAnswer::InputGone => &mut counts.input_gone,
                PieceAnswer::Late => &mut counts.late,
            } += 1;
        }
        counts
    }
}

/// Name of a call's end in logs and metrics.
pub(crate) fn end_name(end: &CallEnd) -> &'static str {
    match end {
        CallEnd::Answered(_) => "answered",
        CallEnd::Full => "full",
        CallEnd::TargetGone => "target gone",
        CallEnd::HallUnreachable => "out of reach",
        CallEnd::Failed => "failed",
    }
}
