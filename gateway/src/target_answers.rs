//! Reads the answers of targets whole, for callers.

use std::sync::Arc;

use http::response::Parts;
use selection::TargetOutcome;
use slog::info;
use tokio::time::Instant;

use crate::answer_memory::WholeBody;
use crate::attempts::{Answer, AttemptError, Attempts};
use crate::bounded_reads::{ReadBounds, ReadError, Unread, read_body};
use crate::crashes;

/// Reads an answer to its end. Its size is bounded by the memory of all answers.
///
/// # Errors
/// `Lost` if the answer broke off, is too long, or has no end by `until`.
pub(crate) async fn read_whole(
    attempts: &Attempts,
    answer: Answer,
    until: Instant,
) -> Result<(Parts, WholeBody), AttemptError> {
    let (app, req) = (attempts.app(), attempts.req());
    let Answer { head, parsed, body, connection, mut attempt } = answer;
    if head.status.is_server_error() {
        // What the head says of the target holds whether or not the body arrives.
        attempt.end(TargetOutcome::OwnFailure);
    }
    match read_body(body, &app.answer_memory, ReadBounds { max_bytes: None, until }).await {
        Ok(body) => {
            body.set_reader(Arc::clone(&req.unread));
            if !parsed.closes {
                app.keep_connection(connection, parsed.keep_alive);
            }
            // A target that answers with an error of its own has survived the request as well.
            crashes::request_completed(app, req);
            attempt.end(TargetOutcome::Answered);
            Ok((head, body))
        }
        Err(Unread { error, bytes }) => {
            let target = &attempt.pick.target;
            info!(app.log, "answer not read to its end"; "request" => %req.id,
                "target" => %target.id, "status" => head.status.as_u16(),
                "why" => %error, "bytes" => bytes);
            app.metrics.answer_not_read(target.service.as_str(), error.name());
            if matches!(error, ReadError::BrokenOff(_)) {
                crashes::check_broken_connection(app, req, &attempt).await;
            }
            attempt.end(TargetOutcome::Failed);
            attempts.set_may_have_run();
            Err(AttemptError::Lost(error.to_string()))
        }
    }
}
