//! Serves requests whose answer is a single body, not a stream of events.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use platform_interface::callers::Refusal;
use selection::TargetOutcome;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::answers::{AnswerBody, refusal, whole};
use crate::app::App;
use crate::attempts::{Answer, AttemptError, AttemptState, Attempts};
use crate::bounded_reads::{ReadError, discard};
use crate::crashes;
use crate::overlapping_attempts::{Attempted, Attempting, OverlapRules, first_answer};
use crate::requests::AcceptedRequest;
use crate::state_handle::now;
use crate::target_answers::read_whole;

/// A repeatable request is sent to another target as well if no answer arrived within this many latency
/// goals.
const ATTEMPT_LATENCY_GOALS: u32 = 3;
/// A refusal at the deadline is sent this much earlier so that it still reaches the caller in time.
const REPLY_MARGIN: Duration = Duration::from_millis(20);

/// Answers a request. Returns the answer and the outcome for the log and metrics.
pub(crate) async fn answer(
    app: &Rc<App>,
    req: &Rc<AcceptedRequest>,
) -> (Response<AnswerBody>, &'static str) {
    let attempts = Attempts::new(app, req);
    let reply_by = Instant::from_std(req.deadline - REPLY_MARGIN);
    let may_retry = req.entry.repeatable && req.entry.max_attempts > 1;
    let rules = OverlapRules {
        retry_after: may_retry.then(|| req.entry.latency_goal * ATTEMPT_LATENCY_GOALS),
        overlap: None,
        until: reply_by,
        awaited: "no answer in time",
    };
    loop {
        let begin = |state: Rc<AttemptState>| -> Attempting<'_, Served> {
            let attempts = &attempts;
            Box::pin(async move { try_targets(app, attempts, &state, reply_by).await })
        };
        let error = match first_answer(&attempts, &rules, begin).await {
            Ok(Ok(answer)) => return answer,
            Ok(Err(error)) => error,
            Err(reason) => return (refusal(app, reason, Some(&req.id)), outcome_of(reason)),
        };
        let expired = Instant::now() >= reply_by;
        if expired || !attempts.take_retry(&error) {
            let reason = match (expired, attempts.may_have_run()) {
                (true, true) => Refusal::TimedOut,
                (true, false) => Refusal::NotRunTimedOut,
                (false, _) => attempts.refusal(),
            };
            return (refusal(app, reason, Some(&req.id)), outcome_of(reason));
        }
    }
}

/// Name of a refusal's outcome in the log and metrics.
pub(crate) fn outcome_of(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NotRun { .. } | Refusal::NotResumable | Refusal::NotRunTimedOut => "not run",
        Refusal::Failed | Refusal::TimedOut => "unknown",
        Refusal::NoEntry
        | Refusal::UnknownKey
        | Refusal::TooLarge
        | Refusal::HeadTooLarge
        | Refusal::Malformed => "refused",
    }
}

/// An answer and its outcome for the log and metrics.
type Served = (Response<AnswerBody>, &'static str);

/// Sends the request to one target, and again after a server error if a retry is allowed.
async fn try_targets(
    app: &Rc<App>,
    attempts: &Attempts,
    state: &AttemptState,
    until: Instant,
) -> Attempted<Served> {
    let answer = match attempts.send(state, None, &[], None).await? {
        Ok(answer) => answer,
        Err(error) => return Ok(Err(error)),
    };
    let sent_at = answer.attempt.sent_at();
    let own_failure = answer.head.status.is_server_error();
    if own_failure {
        attempts.set_may_have_run();
        let error = AttemptError::Lost(format!("status {}", answer.head.status.as_u16()));
        if attempts.take_retry(&error) {
            leave_failure(attempts, answer);
            return Box::pin(try_targets(app, attempts, state, until)).await;
        }
    }
    let (head, body) = match read_whole(attempts, answer, until).await {
        Ok(answer) => answer,
        Err(error) => return Ok(Err(error)),
    };
    let took = now() - sent_at;
    app.state.with(|shared, _| shared.record_response_time(&attempts.req().entry.name, took));
    let mut answer = Response::new(whole(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = (app.adapter.calls.answer_headers)(&head.headers);
    Ok(Ok((answer, if own_failure { "failed" } else { "whole" })))
}

/// Leaves a failure for which another target is tried. The head has said all; the body only shows
/// whether the target survived the request, and is read in the background.
fn leave_failure(attempts: &Attempts, answer: Answer) {
    let (app, req) = (Rc::clone(attempts.app()), Rc::clone(attempts.req()));
    let Answer { parsed, body, connection, mut attempt, .. } = answer;
    attempt.end(TargetOutcome::OwnFailure);
    spawn_local(async move {
        match discard(body).await {
            Ok(()) => {
                crashes::request_completed(&app, &req);
                if !parsed.closes {
                    app.keep_connection(connection, parsed.keep_alive);
                }
            }
            Err(ReadError::BrokenOff(_)) => {
                crashes::check_broken_connection(&app, &req, &attempt).await;
            }
            Err(ReadError::TooLong | ReadError::TooLate) => {}
        }
    });
}
