//! Serves requests whose answer is a single body, not a stream of events.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use platform_interface::callers::Refusal;
use selection::TargetOutcome;

use crate::answers::{AnswerBody, refusal, whole};
use crate::app::App;
use crate::attempts::{Answer, AttemptError, AttemptState, Attempts};
use crate::crashes;
use crate::overlapping_attempts::{Attempted, Attempting, OverlapRules, first_answer};
use crate::requests::AcceptedRequest;
use crate::state_handle::now;

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
    let reply_by = tokio::time::Instant::from_std(req.deadline - REPLY_MARGIN);
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
            Box::pin(async move { try_targets(app, attempts, &state).await })
        };
        let error = match first_answer(&attempts, &rules, begin).await {
            Ok(Ok(answer)) => return answer,
            Ok(Err(error)) => error,
            Err(reason) => return (refusal(app, reason, Some(&req.id)), outcome_of(reason)),
        };
        let expired = tokio::time::Instant::now() >= reply_by;
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
        Refusal::NoEntry | Refusal::UnknownKey | Refusal::TooLarge | Refusal::Malformed => {
            "refused"
        }
    }
}

/// An answer and its outcome for the log and metrics.
type Served = (Response<AnswerBody>, &'static str);

/// Sends the request to one target, and again after a server error if a retry is allowed.
async fn try_targets(
    app: &Rc<App>,
    attempts: &Attempts,
    state: &AttemptState,
) -> Attempted<Served> {
    let answer = match attempts.send(state, None, &[], None).await? {
        Ok(answer) => answer,
        Err(error) => return Ok(Err(error)),
    };
    let Answer { head, parsed, body, connection, mut attempt } = answer;
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            crashes::check_broken_connection(app, attempts.req(), &attempt).await;
            attempt.end(TargetOutcome::Failed);
            attempts.set_may_have_run();
            return Ok(Err(AttemptError::Lost(e.to_string())));
        }
    };
    if !parsed.closes {
        app.keep_connection(connection, parsed.keep_alive);
    }
    // A target that answers with an error of its own has survived the request as well.
    crashes::request_completed(app, attempts.req());
    let took = now() - attempt.sent_at();
    app.state.with(|shared, _| shared.record_response_time(&attempts.req().entry.name, took));
    let own_failure = head.status.is_server_error();
    attempt.end(if own_failure { TargetOutcome::OwnFailure } else { TargetOutcome::Answered });
    if own_failure {
        attempts.set_may_have_run();
        let error = AttemptError::Lost(format!("status {}", head.status.as_u16()));
        if attempts.take_retry(&error) {
            return Box::pin(try_targets(app, attempts, state)).await;
        }
    }
    let mut answer = Response::new(whole(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = (app.adapter.calls.answer_headers)(&head.headers);
    Ok(Ok((answer, if own_failure { "failed" } else { "whole" })))
}
