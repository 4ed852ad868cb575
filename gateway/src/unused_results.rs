//! Results of a pool's calls that nobody uses: another call has finished the piece before, or the
//! request has ended. They are released, since they would use their workers' room.

use std::collections::BTreeSet;
use std::rc::Rc;

use batching::{CallEnd, FinishedPiece, PendingRelease};
use platform_interface::calls::PieceAnswer;

use crate::app::App;
use crate::releases;

/// Handles of the results that a call made.
pub(crate) fn results_of(end: &CallEnd) -> Vec<String> {
    let CallEnd::Answered(answers) = end else { return Vec::new() };
    let handle = |answer: &PieceAnswer| match answer {
        PieceAnswer::Stored(handle) => Some(handle.clone()),
        _ => None,
    };
    answers.iter().filter_map(handle).collect()
}

/// Counts the results of a call that finished no piece, and releases those that its pool does not
/// release since it no longer has the worker.
pub(crate) fn release(
    app: &Rc<App>,
    made: Vec<String>,
    finished: &[FinishedPiece],
    pending_releases: &[PendingRelease],
) {
    let used: BTreeSet<&str> =
        finished.iter().filter_map(|finished| finished.outcome.handle()).collect();
    let mut unused = made;
    unused.retain(|handle| !used.contains(handle.as_str()));
    if unused.is_empty() {
        return;
    }
    app.metrics.results_given_up("late_answer", unused.len());
    let released: BTreeSet<&String> =
        pending_releases.iter().flat_map(|pending| &pending.handles).collect();
    unused.retain(|handle| !released.contains(handle));
    drop(releases::release_as_owner(app, unused));
}
