//! The stages of a request, run before its engine, and its size there.

use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_adapter::callers::Refusal;
use selection::{CallSize, prefix_chain};
use slog::info;

use crate::active_requests::WaitReason;
use crate::admission::InFlight;
use crate::app::App;
use crate::hub::now;
use crate::requests::AcceptedRequest;
use crate::stages::{self, Results, StagesMiss, StagesOf};
use crate::{active_requests, crashes};

/// When to come back after a piece could not be made.
const BROKEN_WAIT: Duration = Duration::from_millis(800);

/// Runs the stages; `None` if the request has none.
pub(crate) async fn run_stages(
    app: &Rc<App>,
    req: &Rc<AcceptedRequest>,
    until: Instant,
    in_flight: Option<InFlight>,
) -> Result<Option<Results>, Refusal> {
    if req.entry.stages.is_empty() || req.head.pieces.iter().all(|count| *count == 0) {
        return Ok(None);
    }
    let first_event = app.hub.with(|shared, _| shared.first_event_time(&req.service));
    let size = size_of(app, req, None);
    let of = StagesOf {
        app,
        intent: &req.intent,
        entry: &req.entry,
        head: &req.head,
        id: &req.id,
        content: req.digest,
        urgency: req.urgency,
        service: &req.service,
        size: &size,
        until,
        due: (req.arrived + req.entry.latency_goal).checked_sub(first_event).unwrap_or(req.arrived),
    };
    let began = now();
    active_requests::set_wait_reason(app, req.active_key, WaitReason::Stages);
    let results = tokio::select! {
        results = stages::run(&of, in_flight) => results,
        // It would be held until its stages are done, only to be refused then.
        refusal = crashes::until_refused(app, req, false) => return Err(refusal),
    };
    active_requests::set_wait_reason(app, req.active_key, WaitReason::Target);
    info!(app.log, "stages ended"; "request" => %req.id, "entry" => &req.entry.name,
        "missed" => results.as_ref().err().map(|miss| format!("{miss:?}")),
        "took_ms" => (now() - began).as_millis(), "at_ms" => (now() - req.arrived).as_millis());
    results.map(Some).map_err(|miss| match miss {
        StagesMiss::Late => Refusal::NotRunTimedOut,
        StagesMiss::Broken => Refusal::NotRun { retry_after: BROKEN_WAIT },
    })
}

/// The request's size for an engine, with the results of its stages where they are made.
pub(crate) fn size_of(app: &Rc<App>, req: &AcceptedRequest, results: Option<&Results>) -> CallSize {
    let engine = req.intent.services.get(&req.service).and_then(|service| service.engine);
    CallSize {
        chain: prefix_chain("", req.head.prompt.iter().map(|part| (part.id, part.tokens))),
        prompt_tokens: req.head.prompt_tokens,
        inputs: results.map(|r| r.bytes_by_hall(app, &req.entry)).unwrap_or_default(),
        memory_tokens: engine.map_or(u64::MAX, |engine| engine.memory_tokens),
    }
}
