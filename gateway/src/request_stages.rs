//! Runs the stages of a request before its engine is called, and computes the request's size for
//! that engine.

use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_interface::callers::Refusal;
use selection::{CallSize, prefix_chain};
use slog::info;

use crate::active_requests::WaitReason;
use crate::admission::UnsubmittedPieces;
use crate::app::App;
use crate::requests::AcceptedRequest;
use crate::stages::{self, StageResults, StagesContext, StagesError};
use crate::state_handle::now;
use crate::{active_requests, crashes};

/// Retry time for the caller after a piece failed.
const FAILED_PIECE_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Runs the stages of a request until `deadline`, after which their results are of no use; `None`
/// if it has none.
///
/// # Errors
/// The refusal for the caller: the stages failed or took too long, or the request is quarantined.
pub(crate) async fn run_stages(
    app: &Rc<App>,
    req: &Rc<AcceptedRequest>,
    deadline: Instant,
    unsubmitted: Option<UnsubmittedPieces>,
) -> Result<Option<StageResults>, Refusal> {
    if req.entry.stages.is_empty() || req.head.pieces.iter().all(|count| *count == 0) {
        return Ok(None);
    }
    let first_event = app.state.with(|shared, _| shared.first_event_time(&req.service));
    let size = call_size(app, req, None);
    let ctx = StagesContext {
        app,
        intent: &req.intent,
        entry: &req.entry,
        head: &req.head,
        id: &req.id,
        digest: req.digest,
        urgency: req.urgency,
        allowed_halls: &req.allowed_halls,
        service: &req.service,
        size: &size,
        deadline,
        due: (req.arrived + req.entry.latency_goal).checked_sub(first_event).unwrap_or(req.arrived),
    };
    let started = now();
    active_requests::set_wait_reason(app, req.active_key, WaitReason::Stages);
    let results = tokio::select! {
        results = stages::run(&ctx, unsubmitted) => results,
        // Otherwise a quarantined request would wait for all of its stages and only then be
        // refused.
        refusal = crashes::until_refused(app, req, false) => return Err(refusal),
    };
    active_requests::set_wait_reason(app, req.active_key, WaitReason::Target);
    info!(app.log, "stages ended"; "request" => %req.id, "entry" => &req.entry.name,
        "missed" => results.as_ref().err().map(|error| format!("{error:?}")),
        "took_ms" => (now() - started).as_millis(), "at_ms" => (now() - req.arrived).as_millis());
    results.map(Some).map_err(|error| match error {
        StagesError::Late => Refusal::NotRunTimedOut,
        StagesError::Broken => Refusal::NotRun { retry_after: FAILED_PIECE_RETRY_AFTER },
    })
}

/// The request's size for an engine. With `results`, it includes where the results of the stages
/// are stored.
pub(crate) fn call_size(
    app: &Rc<App>,
    req: &AcceptedRequest,
    results: Option<&StageResults>,
) -> CallSize {
    let engine = req.intent.services.get(&req.service).and_then(|service| service.engine);
    CallSize {
        chain: prefix_chain("", req.head.prompt.iter().map(|part| (part.id, part.tokens))),
        prompt_tokens: req.head.prompt_tokens,
        inputs: results.map(|r| r.bytes_by_hall(app, &req.entry)).unwrap_or_default(),
        memory_tokens: engine.map_or(u64::MAX, |engine| engine.memory_tokens),
    }
}
