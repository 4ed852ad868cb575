//! Requests with one whole answer.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use platform_adapter::callers::Refusal;
use selection::TargetOutcome;
use tokio::time::timeout_at;

use crate::answers::{AnswerBody, refusal, whole};
use crate::app::App;
use crate::attempts::{Answer, AttemptError, Attempts};
use crate::crashes;
use crate::hub::now;
use crate::requests::AcceptedRequest;

/// A repeatable request that is not answered within this many aims is sent to another target.
const PATIENCE: u32 = 3;
/// The answer at the very end of its time is told this much before, so that it still counts.
const MARGIN: Duration = Duration::from_millis(20);

/// Answers a request; tells how it ended.
pub(crate) async fn answer(
    app: &Rc<App>,
    req: &Rc<AcceptedRequest>,
) -> (Response<AnswerBody>, &'static str) {
    let mut tries = Attempts::new(app, req);
    loop {
        let last = tokio::time::Instant::from_std(req.deadline - MARGIN);
        let patient = tokio::time::Instant::from_std(now() + req.entry.latency_goal * PATIENCE);
        let impatient = req.entry.repeatable && req.entry.max_attempts > 1 && patient < last;
        let limit = if impatient { patient } else { last };
        let missed = match timeout_at(limit, one_try(app, &mut tries)).await {
            Ok(Ok(Ok(answer))) => return answer,
            Ok(Ok(Err(missed))) => missed,
            Ok(Err(told)) => return (refusal(app, told, Some(&req.id)), outcome_of(told)),
            Err(_) => {
                tries.was_silent();
                AttemptError::Lost("no answer in time".to_owned())
            }
        };
        let over = tokio::time::Instant::now() >= last;
        if over || !tries.may_go_on(&missed) {
            let told = match (over, tries.may_have_run()) {
                (true, true) => Refusal::TimedOut,
                (true, false) => Refusal::NotRunTimedOut,
                (false, _) => tries.refusal(),
            };
            return (refusal(app, told, Some(&req.id)), outcome_of(told));
        }
    }
}

/// Name of a refusal for logs and metrics.
pub(crate) fn outcome_of(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NotRun { .. } | Refusal::NotRunTimedOut => "not run",
        Refusal::Failed | Refusal::TimedOut => "unknown",
        Refusal::NoEntry | Refusal::UnknownKey | Refusal::TooLarge | Refusal::Malformed => {
            "refused"
        }
    }
}

type Served = (Response<AnswerBody>, &'static str);

async fn one_try(
    app: &Rc<App>,
    tries: &mut Attempts,
) -> Result<Result<Served, AttemptError>, Refusal> {
    let answer = match tries.send(None, &[], None).await? {
        Ok(answer) => answer,
        Err(missed) => return Ok(Err(missed)),
    };
    let Answer { head, read, body, carrier, mut attempt } = answer;
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            crashes::check_broken_connection(app, tries.req(), &attempt).await;
            attempt.end(TargetOutcome::Failed);
            tries.set_may_have_run();
            return Ok(Err(AttemptError::Lost(e.to_string())));
        }
    };
    if !read.closes {
        app.rest(carrier, read.keep_alive);
    }
    // It also lives on after a failure of its own.
    crashes::request_completed(app, tries.req());
    let took = now() - tries.began();
    app.hub.with(|shared, _| shared.record_response_time(&tries.req().entry.name, took));
    let own_failure = head.status.is_server_error();
    attempt.end(if own_failure { TargetOutcome::OwnFailure } else { TargetOutcome::Answered });
    if own_failure {
        tries.set_may_have_run();
        let again = AttemptError::Lost(format!("status {}", head.status.as_u16()));
        if tries.may_go_on(&again) {
            return Box::pin(one_try(app, tries)).await;
        }
    }
    let mut answer = Response::new(whole(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = (app.adapter.calls.answer_headers)(&head.headers);
    Ok(Ok((answer, if own_failure { "failed" } else { "whole" })))
}
