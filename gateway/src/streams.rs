//! Serves requests whose answer is a stream of events: runs the stages, then tries engines until
//! the first event arrives.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Response;
use platform_interface::callers::Refusal;
use selection::CallSize;
use slog::info;
use tokio::task::spawn_local;
use tokio::time::Instant as TokioInstant;

use crate::answers::{AnswerBody, refusal, whole};
use crate::app::App;
use crate::attempts::{AttemptError, AttemptState, Attempts, HALL_UNREACHABLE};
use crate::event_queue::event_queue;
use crate::events::Event;
use crate::missing_inputs::Cause;
use crate::overlapping_attempts::{Attempted, Attempting, OverlapRules, first_answer};
use crate::request_stages::{call_size, run_stages};
use crate::requests::AcceptedRequest;
use crate::shutdown::RETRY_ELSEWHERE_AFTER;
use crate::stages::StageResults;
use crate::state_handle::now;
use crate::stream_forwarding::{Stream, forward};
use crate::stream_reader::{EventReader, NextEvent};
use crate::stream_takeover::OVERLAP;
use crate::target_answers::read_whole;
use crate::whole_answers::outcome_of;
use crate::{active_requests, admission, crashes, stream_origins};

/// If the first event does not arrive within this many latency goals, another target is tried as
/// well where that is allowed.
const FIRST_EVENT_LATENCY_GOALS: u32 = 1;
/// Callers abandon a stream after a pause of this many latency goals; work for it is useless then.
const CALLER_TIMEOUT_LATENCY_GOALS: u32 = 4;
/// Shortest pause after which callers abandon a stream.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after which callers abandon a stream, in longest event gaps.
const CALLER_TIMEOUT_EVENT_GAPS: u32 = 8;
/// A refusal at the deadline is sent this much earlier so that it still reaches the caller in time.
const REPLY_MARGIN: Duration = Duration::from_millis(20);

/// A value that is kept alive for as long as a stream runs.
pub(crate) type Guard = Box<dyn std::any::Any>;

/// Answers a request. Returns the answer and the outcome for the log and metrics. `guard` is
/// dropped when the stream ends.
pub(crate) async fn answer(
    app: &Rc<App>,
    req: &Rc<AcceptedRequest>,
    guard: Guard,
) -> (Response<AnswerBody>, &'static str) {
    match start_stream(app, req).await {
        Ok(Started::Stream(stream, head)) => {
            active_requests::update(app, req.active_key, |request| request.head_sent = true);
            let (tx, body) = event_queue();
            spawn_local(async move {
                forward(*stream, tx).await;
                drop(guard);
            });
            (head.map(|()| body.boxed_unsync()), "stream begun")
        }
        Ok(Started::Whole(answer)) => (answer, "failed"),
        Err(rejection) => (refusal(app, rejection, Some(&req.id)), outcome_of(rejection)),
    }
}

/// A stream that has started, or the answer given instead.
enum Started {
    /// A stream, and the head of its answer.
    Stream(Box<Stream>, Response<()>),
    /// The target gave an answer that is no stream.
    Whole(Response<AnswerBody>),
}

/// Runs the stages and tries targets until the first event has arrived.
async fn start_stream(app: &Rc<App>, req: &Rc<AcceptedRequest>) -> Result<Started, Refusal> {
    let deadline = stream_deadline(req);
    let mut attempts = Attempts::new(app, req);
    bind_to_origin(app, req, &mut attempts).await?;
    let unsubmitted = admission::admit(app, req)?;
    let mut results = run_stages(app, req, deadline, Some(unsubmitted)).await?;
    loop {
        let size = call_size(app, req, results.as_ref());
        let inputs = results.as_ref().map(StageResults::inputs).unwrap_or_default();
        let rules = overlap_rules(req, deadline);
        let until = rules.until;
        let begin = |state: Rc<AttemptState>| -> Attempting<'_, Reply> {
            let (attempts, size, inputs) = (&attempts, &size, &inputs);
            Box::pin(async move { first_event(attempts, &state, size, inputs, until).await })
        };
        let attempting = first_answer(&attempts, &rules, begin);
        let error = match release_once_fetched(attempting, req, results.as_mut()).await {
            Ok(Ok(Reply::Stream(reader, first))) => {
                app.state.with(|shared, now| {
                    let took = now - reader.answer.attempt.sent_at();
                    shared.record_first_event_time(&req.service, took);
                });
                let target = &reader.answer.attempt.pick.target;
                if !first.is_empty() {
                    stream_origins::stream_begun(app, req, target);
                }
                attempts.bind(target.version.clone());
                let head = answer_head(app, &reader.answer.head);
                let stream = Stream::new(attempts, size, reader, first, results);
                return Ok(Started::Stream(Box::new(stream), head));
            }
            Ok(Ok(Reply::Whole(answer))) => return Ok(Started::Whole(answer)),
            Ok(Err(error)) => error,
            Err(rejection) => return Err(rejection),
        };
        let expired = now() >= deadline;
        if expired || !attempts.take_retry(&error) {
            return Err(if expired { timeout_refusal(&attempts) } else { attempts.refusal() });
        }
        if error == AttemptError::InputGone {
            record_input_gone(app, req, results.as_ref());
            let rerun = run_stages(app, req, deadline, None).await;
            results = rerun.map_err(|refusal| attempts.adjust_refusal(refusal))?;
        }
    }
}

/// Binds the attempts at a stream that the caller takes up to the version that began it.
///
/// # Errors
/// The refusal for the caller, if this VM does not know that version or no target has it.
async fn bind_to_origin(
    app: &Rc<App>,
    req: &AcceptedRequest,
    attempts: &mut Attempts,
) -> Result<(), Refusal> {
    if req.head.last_event.is_none() || !stream_origins::is_resumable(req) {
        return Ok(());
    }
    let Some(version) = stream_origins::origin(app, req).await else {
        return Err(Refusal::NotRun { retry_after: RETRY_ELSEWHERE_AFTER });
    };
    attempts.bind(version);
    if attempts.has_target() { Ok(()) } else { Err(attempts.no_target()) }
}

/// Waits for an attempt. Once its engine has had time to fetch the results of the stages, workers
/// keep these only while they have room to spare: results of a megabyte and more would otherwise
/// occupy it for as long as a prompt is read.
async fn release_once_fetched<T>(
    attempting: impl Future<Output = T>,
    req: &AcceptedRequest,
    results: Option<&mut StageResults>,
) -> T {
    let mut attempting = std::pin::pin!(attempting);
    let Some(results) = results else { return attempting.await };
    tokio::select! {
        attempted = &mut attempting => return attempted,
        () = tokio::time::sleep(results.fetch_time(req)) => results.release_if_scarce(),
    }
    attempting.await
}

/// Logs and counts why the stages of a request run again.
fn record_input_gone(app: &App, req: &AcceptedRequest, results: Option<&StageResults>) {
    let cause = results.map_or(Cause::Unknown, |results| results.missing_input_cause(app));
    info!(app.log, "stages made anew"; "request" => %req.id,
        "why" => "an input was gone when the engine asked for it", "cause" => cause.name());
    app.metrics.inputs_gone(cause.name());
}

/// The refusal when the deadline has passed.
fn timeout_refusal(attempts: &Attempts) -> Refusal {
    if attempts.may_have_run() { Refusal::TimedOut } else { Refusal::NotRunTimedOut }
}

/// When the caller abandons a stream that has not started.
fn stream_deadline(req: &AcceptedRequest) -> Instant {
    let by_latency_goal =
        (req.entry.latency_goal * CALLER_TIMEOUT_LATENCY_GOALS).max(MIN_CALLER_TIMEOUT);
    let by_gap =
        req.entry.max_event_gap.map_or(Duration::ZERO, |gap| gap * CALLER_TIMEOUT_EVENT_GAPS);
    (req.arrived + by_latency_goal.max(by_gap)).min(req.deadline) - REPLY_MARGIN
}

/// When another target is tried beside one that sends no event.
fn overlap_rules(req: &AcceptedRequest, deadline: Instant) -> OverlapRules {
    let may_retry = req.entry.repeatable && req.entry.max_attempts > 1;
    OverlapRules {
        retry_after: may_retry.then(|| req.entry.latency_goal * FIRST_EVENT_LATENCY_GOALS),
        overlap: Some(OVERLAP),
        until: TokioInstant::from_std(deadline),
        awaited: "no event in time",
    }
}

/// What a target answered.
enum Reply {
    /// A stream, with its first event if it has any.
    Stream(Box<EventReader>, Vec<Event>),
    /// An answer with another status than success, which is no stream, read to its end.
    Whole(Response<AnswerBody>),
}

/// Sends the request and reads its answer up to the first event.
async fn first_event(
    attempts: &Attempts,
    state: &AttemptState,
    size: &CallSize,
    inputs: &[String],
    until: TokioInstant,
) -> Attempted<Reply> {
    let last_event = attempts.req().head.last_event;
    let answer = match attempts.send(state, Some(size), inputs, last_event).await? {
        Ok(answer) => answer,
        Err(error) => return Ok(Err(error)),
    };
    if !answer.head.status.is_success() {
        let read = read_whole(attempts, answer, until).await;
        let app = attempts.app();
        return Ok(
            read.map(|(head, body)| Reply::Whole(answer_head(app, &head).map(|()| whole(body))))
        );
    }
    let mut reader = EventReader::new(attempts.app(), answer);
    let next = tokio::select! {
        next = reader.next(false) => next,
        // The engine has begun to run the request, but not crashed yet.
        refusal = crashes::until_refused(attempts.app(), attempts.req(), true) => {
            return Err(refusal);
        }
    };
    match next {
        NextEvent::Event(event) => {
            reader.answer.attempt.prompt_read();
            Ok(Ok(Reply::Stream(Box::new(reader), vec![event])))
        }
        // A stream without events is an answer too, if it was read to its end.
        NextEvent::End => Ok(Ok(Reply::Stream(Box::new(reader), Vec::new()))),
        NextEvent::Broken(why) => {
            info!(attempts.app().log, "answer not read to its end";
                "request" => %attempts.req().id,
                "target" => %reader.answer.attempt.pick.target.id, "why" => &why);
            crashes::check_broken_connection(
                attempts.app(),
                attempts.req(),
                &reader.answer.attempt,
            )
            .await;
            Ok(Err(reader.fail(attempts, why)))
        }
        NextEvent::HallUnreachable => Ok(Err(reader.fail(attempts, HALL_UNREACHABLE.to_owned()))),
    }
}

/// The head of an answer to the caller.
fn answer_head(app: &App, head: &http::response::Parts) -> Response<()> {
    let mut answer = Response::new(());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = (app.adapter.calls.answer_headers)(&head.headers);
    answer
}
