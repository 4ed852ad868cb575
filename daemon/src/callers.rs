//! HTTP server for callers: one async task per connection and one thread per request in progress.

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
use crate::claims::refusal_before_claim;
use crate::pipeline::{self, Pipeline};

/// Retry delay sent to callers while the limit of concurrent requests is reached.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// State shared by all caller requests.
pub(crate) struct CallerServer {
    pub(crate) pipeline: Pipeline,
    /// One permit for each request that may be in progress.
    pub(crate) permits: Arc<Semaphore>,
    /// Becomes true when the shutdown deadline has passed and open requests are aborted.
    pub(crate) abort: watch::Receiver<bool>,
}

/// Handles one HTTP request of a caller.
pub(crate) async fn handle(server: Arc<CallerServer>, req: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    match process(&server, req, arrived).await {
        Ok(answer) => answer,
        Err((id, refusal)) => answer::refused_response(&id, Vec::new(), &refusal),
    }
}

/// Validates the request, runs it on its own thread and waits for the head of the response.
async fn process(
    server: &Arc<CallerServer>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<Body>, (RequestId, Refusal)> {
    let limits = &server.pipeline.cfg.limits;
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
    let parsed = caller_request::parse(
        req.uri().path(),
        req.headers(),
        id.clone(),
        arrived,
        limits.deadline_ms,
    )
    .map_err(with_id)?;
    let (head, body) = req.into_parts();
    let body = read_body(&head.extensions, body, limits.body_bytes, limits.body_wait())
        .await
        .map_err(|problem| with_id(body_refusal(problem, limits.body_bytes)))?;
    serde_json::from_slice::<IgnoredAny>(&body)
        .map_err(|e| with_id(Refusal::not_run(Reason::BadRequest, format!("body: {e}"))))?;

    let permit = Arc::clone(&server.permits).try_acquire_owned().map_err(|_| {
        let detail = format!("{} requests are in work", limits.requests);
        let refusal =
            Refusal::not_run(Reason::QueueFull, detail).with_retry_after(FULL_RETRY_AFTER);
        with_id(refusal_before_claim(&parsed, refusal))
    })?;
    let repeatable = parsed.repeatable;
    let (port, head) = AnswerPort::new(parsed.id.clone());
    let request_server = Arc::clone(server);
    tokio::task::spawn_blocking(move || {
        pipeline::run(&request_server.pipeline, &parsed, &body, port);
        drop(permit);
    });
    let mut abort = server.abort.clone();
    tokio::select! {
        answer = head => answer.map_err(|_| with_id(shutdown_refusal(repeatable))),
        _ = abort.wait_for(|abort| *abort) => Err(with_id(shutdown_refusal(repeatable))),
    }
}

/// The refusal of a request that was still in progress at the shutdown deadline.
///
/// Its outcome is unknown unless the request may be repeated.
fn shutdown_refusal(repeatable: bool) -> Refusal {
    let detail = "the time to finish was over";
    if repeatable {
        Refusal::failed(Reason::Stopping, detail)
    } else {
        Refusal::unknown(Reason::Stopping, detail)
    }
}

/// The refusal of a request whose body could not be read.
fn body_refusal(problem: BodyError, limit: usize) -> Refusal {
    match problem {
        BodyError::TooLarge => {
            Refusal::not_run(Reason::BodyTooLarge, format!("the limit is {limit} bytes"))
        }
        BodyError::NoRoom => {
            Refusal::not_run(Reason::QueueFull, "the bodies of other requests take all room")
                .with_retry_after(FULL_RETRY_AFTER)
        }
        BodyError::TooSlow => Refusal::not_run(Reason::BadRequest, "the body came too slowly"),
        BodyError::Broken => Refusal::not_run(Reason::BadRequest, "the body was cut"),
    }
}
