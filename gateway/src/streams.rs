//! Requests whose answer is a stream of events: stages first, then an engine, up to its first event.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use platform_adapter::callers::Refusal;
use selection::{CallSize, TargetOutcome};
use slog::info;
use tokio::sync::mpsc::channel;
use tokio::task::spawn_local;
use tokio::time::{Instant as TokioInstant, timeout_at};

use crate::answers::{AnswerBody, refusal, whole};
use crate::app::App;
use crate::attempts::{Answer, AttemptError, Attempts, OUT_OF_REACH};
use crate::events::Event;
use crate::hub::now;
use crate::missing_inputs::Cause;
use crate::request_stages::{run_stages, size_of};
use crate::requests::AcceptedRequest;
use crate::stages::Results;
use crate::stream_forwarding::{Events, Stream, pass_on};
use crate::stream_reader::{Next, Reader};
use crate::whole_answers::outcome_of;
use crate::{active_requests, admission, crashes};

/// Events that wait for a caller that reads slowly.
const EVENTS_WAITING: usize = 64;
/// A first event that does not come within this many aims is asked for elsewhere, if it may be.
const FIRST_EVENT_AIMS: u32 = 1;
/// A caller gives a stream up after a pause of this many aims; work for it is of no use then.
const GIVE_UP_AIMS: u32 = 4;
/// The same, at least.
const GIVE_UP: Duration = Duration::from_secs(2);
/// The same, in longest gaps.
const GIVE_UP_GAPS: u32 = 8;
/// The answer at the very end of its time is told this much before.
const MARGIN: Duration = Duration::from_millis(20);

/// What is held for as long as a stream runs.
pub(crate) type Held = Box<dyn std::any::Any>;

/// Answers a request; tells how it ended.
pub(crate) async fn answer(
    app: &Rc<App>,
    req: &Rc<AcceptedRequest>,
    held: Held,
) -> (Response<AnswerBody>, &'static str) {
    match begin(app, req).await {
        Ok(Begun::Stream(stream, first)) => {
            active_requests::note(app, req.active_key, |work| work.head_sent = true);
            let mut answer = Response::new(whole(Bytes::new()));
            let head = &stream.reader.answer.head;
            *answer.status_mut() = head.status;
            *answer.headers_mut() = (app.adapter.calls.answer_headers)(&head.headers);
            let (tx, rx) = channel(EVENTS_WAITING);
            spawn_local(async move {
                pass_on(*stream, first, tx).await;
                drop(held);
            });
            *answer.body_mut() = Events { rx }.boxed_unsync();
            (answer, "stream begun")
        }
        Ok(Begun::Whole(answer)) => (answer, "failed"),
        Err(told) => (refusal(app, told, Some(&req.id)), outcome_of(told)),
    }
}

enum Begun {
    Stream(Box<Stream>, Vec<Event>),
    /// The target answered with something that is no stream.
    Whole(Response<AnswerBody>),
}

/// Runs the stages and tries targets until the first event is here.
async fn begin(app: &Rc<App>, req: &Rc<AcceptedRequest>) -> Result<Begun, Refusal> {
    let until = useful_until(req);
    let in_flight = admission::admit(app, req)?;
    let mut tries = Attempts::new(app, req);
    let mut results = run_stages(app, req, until, Some(in_flight)).await?;
    loop {
        let size = size_of(app, req, results.as_ref());
        let inputs = results.as_ref().map(Results::inputs).unwrap_or_default();
        let limit = first_event_limit(req, until);
        let trying = first_event(&mut tries, &size, &inputs);
        let trying = spare_once_fetched(trying, req, results.as_mut());
        let missed = match timeout_at(limit, trying).await {
            Ok(Ok(Ok(First::Stream(reader, first)))) => {
                app.hub.with(|shared, now| {
                    shared.record_first_event_time(&req.service, now - tries.began());
                });
                let (app, req) = (Rc::clone(app), Rc::clone(req));
                let stream = Stream { app, req, tries, size, reader, results, last: None };
                return Ok(Begun::Stream(Box::new(stream), first));
            }
            Ok(Ok(Ok(First::Whole(answer)))) => return whole_answer(app, req, *answer).await,
            Ok(Ok(Err(missed))) => missed,
            Ok(Err(told)) => return Err(told),
            Err(_) => {
                tries.was_silent();
                AttemptError::Lost("no event in time".to_owned())
            }
        };
        let over = now() >= until;
        if over || !tries.may_go_on(&missed) {
            return Err(if over { in_time(&tries) } else { tries.refusal() });
        }
        if missed == AttemptError::InputGone {
            tell_input_gone(app, req, results.as_ref());
            let remade = run_stages(app, req, until, None).await;
            results = remade.map_err(|refusal| tries.truthful(refusal))?;
        }
    }
}

/// Waits for a try. Once its engine has had time to fetch the results of the stages, they are kept only
/// as long as there is room: results of a megabyte and more take it for as long as a prompt is read.
async fn spare_once_fetched<T>(
    trying: impl Future<Output = T>,
    req: &AcceptedRequest,
    results: Option<&mut Results>,
) -> T {
    let mut trying = std::pin::pin!(trying);
    let Some(results) = results else { return trying.await };
    tokio::select! {
        tried = &mut trying => return tried,
        () = tokio::time::sleep(results.fetch_time(req)) => results.spare(),
    }
    trying.await
}

/// Logs and counts why the stages of a request are made anew.
fn tell_input_gone(app: &App, req: &AcceptedRequest, results: Option<&Results>) {
    let cause = results.map_or(Cause::Unknown, |results| results.cause_of_gone(app));
    info!(app.log, "stages made anew"; "request" => %req.id,
        "why" => "the engine found an input gone", "cause" => cause.name());
    app.metrics.inputs_gone(cause.name());
}

fn in_time(tries: &Attempts) -> Refusal {
    if tries.may_have_run() { Refusal::TimedOut } else { Refusal::NotRunTimedOut }
}

/// When the caller gives up a stream that has not begun.
fn useful_until(req: &AcceptedRequest) -> Instant {
    let by_aim = (req.entry.latency_goal * GIVE_UP_AIMS).max(GIVE_UP);
    let by_gap = req.entry.max_event_gap.map_or(Duration::ZERO, |gap| gap * GIVE_UP_GAPS);
    (req.arrived + by_aim.max(by_gap)).min(req.deadline) - MARGIN
}

fn first_event_limit(req: &AcceptedRequest, until: Instant) -> TokioInstant {
    let patient = now() + req.entry.latency_goal * FIRST_EVENT_AIMS;
    let impatient = req.entry.repeatable && req.entry.max_attempts > 1;
    TokioInstant::from_std(if impatient { patient.min(until) } else { until })
}

enum First {
    Stream(Box<Reader>, Vec<Event>),
    Whole(Box<Answer>),
}

/// Sends the request and reads up to its first event.
async fn first_event(
    tries: &mut Attempts,
    size: &CallSize,
    inputs: &[String],
) -> Result<Result<First, AttemptError>, Refusal> {
    let last_event = tries.req().head.last_event;
    let answer = match tries.send(Some(size), inputs, last_event).await? {
        Ok(answer) => answer,
        Err(missed) => return Ok(Err(missed)),
    };
    if !answer.head.status.is_success() {
        return Ok(Ok(First::Whole(Box::new(answer))));
    }
    let mut reader = Reader::new(tries.app(), answer);
    match reader.next(tries.req().entry.repeatable).await {
        Next::Event(event) => {
            reader.answer.attempt.prompt_read();
            Ok(Ok(First::Stream(Box::new(reader), vec![event])))
        }
        // A stream with no event is an answer too, if it was read to its end.
        Next::End => Ok(Ok(First::Stream(Box::new(reader), Vec::new()))),
        Next::Broken(why) => {
            crashes::check_broken_connection(tries.app(), tries.req(), &reader.answer.attempt)
                .await;
            Ok(Err(reader.lost(tries, why)))
        }
        Next::OutOfReach => Ok(Err(reader.lost(tries, OUT_OF_REACH.to_owned()))),
    }
}

/// Passes on an answer that is no stream.
async fn whole_answer(
    app: &Rc<App>,
    req: &AcceptedRequest,
    answer: Answer,
) -> Result<Begun, Refusal> {
    let Answer { head, read, body, carrier, mut attempt } = answer;
    let Ok(body) = body.collect().await else {
        crashes::check_broken_connection(app, req, &attempt).await;
        return Err(Refusal::Failed);
    };
    if !read.closes {
        app.rest(carrier, read.keep_alive);
    }
    crashes::request_completed(app, req);
    attempt.end(if head.status.is_server_error() {
        TargetOutcome::OwnFailure
    } else {
        TargetOutcome::Answered
    });
    let mut answer = Response::new(whole(body.to_bytes()));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = (app.adapter.calls.answer_headers)(&head.headers);
    Ok(Begun::Whole(answer))
}
