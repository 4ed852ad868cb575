//! The callers' side: one task for each connection, one thread for each request in work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_server::{Body, BodyError, read_body};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use ids::RequestId;
use outcomes::{Reason, Refusal};
use serde::de::IgnoredAny;
use tokio::sync::{Semaphore, watch};

use crate::answer::{self, AnswerPort};
use crate::claim::refused_before_claim;
use crate::pipeline::{self, Pipeline};

/// When to ask again while as many requests as allowed are in work.
const FULL_WAIT: Duration = Duration::from_millis(200);

/// What every request needs.
pub(crate) struct CallersSide {
    pub(crate) pipeline: Pipeline,
    /// One permit for each request that may be in work.
    pub(crate) free: Arc<Semaphore>,
    /// Turns true when the time to finish is over.
    pub(crate) cut: watch::Receiver<bool>,
}

/// Answers one request.
pub(crate) async fn handle(side: Arc<CallersSide>, req: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    match take(&side, req, arrived).await {
        Ok(answer) => answer,
        Err((id, refusal)) => answer::refused(&id, Vec::new(), &refusal),
    }
}

async fn take(
    side: &Arc<CallersSide>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<Body>, (RequestId, Refusal)> {
    let limits = &side.pipeline.cfg.limits;
    let id = caller_request::request_id(req.headers()).map_err(|r| (RequestId::generate(), r))?;
    let with_id = |refusal: Refusal| (id.0.clone(), refusal);
    if !req.uri().path().starts_with(caller_request::SERVICES_PATH) {
        let refusal = Refusal::not_run(Reason::UnknownService, req.uri().path().to_owned());
        return Err(with_id(refusal));
    }
    if req.method() != Method::POST {
        let refusal = Refusal::not_run(Reason::BadRequest, "expected method POST");
        return Err(with_id(refusal));
    }
    let asked = caller_request::parse(
        req.uri().path(),
        req.headers(),
        id.clone(),
        arrived,
        limits.deadline_ms,
    )
    .map_err(with_id)?;
    let body = read_body(req.into_body(), limits.body_bytes, limits.body_wait())
        .await
        .map_err(|problem| with_id(body_refusal(problem, limits.body_bytes)))?;
    serde_json::from_slice::<IgnoredAny>(&body)
        .map_err(|e| with_id(Refusal::not_run(Reason::BadRequest, format!("body: {e}"))))?;

    let permit = Arc::clone(&side.free).try_acquire_owned().map_err(|_| {
        let detail = format!("{} requests are in work", limits.requests);
        let refusal = Refusal::not_run(Reason::QueueFull, detail).with_retry_after(FULL_WAIT);
        with_id(refused_before_claim(&asked, refusal))
    })?;
    let repeatable = asked.repeatable;
    let (port, head) = AnswerPort::new(asked.id.clone());
    let worker = Arc::clone(side);
    tokio::task::spawn_blocking(move || {
        pipeline::run(&worker.pipeline, &asked, &body, port);
        drop(permit);
    });
    let mut cut = side.cut.clone();
    tokio::select! {
        answer = head => answer.map_err(|_| with_id(stopped(repeatable))),
        _ = cut.wait_for(|cut| *cut) => Err(with_id(stopped(repeatable))),
    }
}

/// The answer to a request that was still in work when the time to finish was over.
fn stopped(repeatable: bool) -> Refusal {
    let detail = "the time to finish was over";
    if repeatable {
        Refusal::failed(Reason::Stopping, detail)
    } else {
        Refusal::unknown(Reason::Stopping, detail)
    }
}

fn body_refusal(problem: BodyError, limit: usize) -> Refusal {
    match problem {
        BodyError::TooLarge => {
            Refusal::not_run(Reason::BodyTooLarge, format!("the limit is {limit} bytes"))
        }
        BodyError::TooSlow => Refusal::not_run(Reason::BadRequest, "the body came too slowly"),
        BodyError::Broken => Refusal::not_run(Reason::BadRequest, "the body was cut"),
    }
}
