//! Looks for a target that takes over a stream whose own target is silent or gone.

use std::time::Duration;

use selection::CallSize;
use tokio::time::sleep;

use crate::attempts::{AttemptError, AttemptState, Attempts};
use crate::connections::SentMark;
use crate::request_stages::run_stages;
use crate::stages::StageResults;
use crate::stream_origins;
use crate::stream_reader::EventReader;

/// Longest time for which the silent target of a stream is kept after the call to another one may
/// have been sent. Two targets must not work on a stream for longer than 400 ms; the rest is left
/// for the news that the connection was closed.
pub(crate) const OVERLAP: Duration = Duration::from_millis(250);

/// Why no other target takes over a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotTakenOver {
    /// Another target may do so later.
    ForNow(&'static str),
    /// None ever will.
    ForGood(&'static str),
}

impl NotTakenOver {
    /// The reason, for the log.
    pub(crate) fn why(self) -> &'static str {
        let (NotTakenOver::ForNow(why) | NotTakenOver::ForGood(why)) = self;
        why
    }
}

/// Asks further targets to go on with a stream after `last_event`, until one does; `why` tells what
/// became of its own target. A retry is taken from the budget right before a call is sent.
///
/// # Errors
/// [`NotTakenOver`] if no target does.
pub(crate) async fn find_successor(
    attempts: &Attempts,
    state: &AttemptState,
    size: &CallSize,
    last_event: Option<u64>,
    why: &str,
) -> Result<Box<EventReader>, NotTakenOver> {
    let last_event =
        last_event.ok_or(NotTakenOver::ForGood("no event with an ID was forwarded"))?;
    let mut error = AttemptError::Lost(why.to_owned());
    let mut results = None;
    loop {
        check_search(attempts, &error)?;
        if results.is_none() || error == AttemptError::InputGone {
            let req = attempts.req();
            let stages = run_stages(attempts.app(), req, req.deadline, None).await;
            let failed = NotTakenOver::ForGood("its stages could not be run again");
            results = Some(stages.map_err(|_| failed)?);
        }
        let inputs = results.as_ref().and_then(Option::as_ref).map(StageResults::inputs);
        if !attempts.take_retry(&error) {
            return Err(NotTakenOver::ForNow("no retry is left in the budget"));
        }
        let sent =
            attempts.send(state, Some(size), &inputs.unwrap_or_default(), Some(last_event)).await;
        match sent.map_err(|_| NotTakenOver::ForNow("no target could be used"))? {
            Ok(answer) if answer.head.status.is_success() => {
                return Ok(Box::new(EventReader::new(attempts.app(), answer)));
            }
            Ok(answer) => {
                error = AttemptError::Lost(format!("status {}", answer.head.status));
                state.reset();
            }
            Err(further) => error = further,
        }
    }
}

/// Checks whether it is worth running the stages again after an attempt that ended with `error`.
fn check_search(attempts: &Attempts, error: &AttemptError) -> Result<(), NotTakenOver> {
    if !attempts.is_allowed_after(error) {
        return Err(NotTakenOver::ForGood("no further attempt is allowed"));
    }
    if stream_origins::is_uncertain(attempts.app(), attempts.req()) {
        return Err(NotTakenOver::ForGood("the version that began it is not known"));
    }
    if !attempts.has_target() {
        return Err(NotTakenOver::ForNow("no target of its version could be used"));
    }
    if !attempts.may_retry(error) {
        return Err(NotTakenOver::ForNow("no retry is left in the budget"));
    }
    Ok(())
}

/// Waits until the call with this mark may have been sent for `overlap`.
pub(crate) async fn overlap_end(mark: &SentMark, overlap: Duration) {
    loop {
        mark.until(true).await;
        tokio::select! {
            () = sleep(overlap) => return,
            () = mark.until(false) => {}
        }
    }
}
