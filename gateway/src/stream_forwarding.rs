//! Forwards a stream's events to its caller, and resumes the stream at another engine where that is
//! allowed.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use selection::{CallSize, TargetOutcome};
use slog::info;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::{Instant as TokioInstant, timeout_at};

use crate::answers::StreamCut;
use crate::app::App;
use crate::attempts::{Answer, AttemptError, Attempts, HALL_UNREACHABLE};
use crate::events::Event;
use crate::request_stages::run_stages;
use crate::requests::AcceptedRequest;
use crate::stages::StageResults;
use crate::state_handle::now;
use crate::stream_reader::{EventReader, NextEvent};
use crate::{crashes, stream_origins};

/// A stream that pauses for this many of its longest event gaps is resumed at another engine, if
/// allowed.
const STALL_GAPS: u32 = 3;
/// Shortest pause that counts as a stall, and the limit for entries without a longest event gap.
const MIN_STALL: Duration = Duration::from_millis(1200);

/// A stream that is being forwarded.
pub(crate) struct Stream {
    pub(crate) app: Rc<App>,
    pub(crate) req: Rc<AcceptedRequest>,
    pub(crate) attempts: Attempts,
    pub(crate) size: CallSize,
    pub(crate) reader: Box<EventReader>,
    pub(crate) results: Option<StageResults>,
    /// ID of the last event that was forwarded.
    pub(crate) last_event: Option<u64>,
}

/// How forwarding a stream ended.
enum ForwardEnd {
    Whole,
    CallerGone,
    Cut(String),
}

/// Forwards a stream's events until it ends.
pub(crate) async fn forward(
    mut stream: Stream,
    first: Vec<Event>,
    tx: Sender<Result<Bytes, StreamCut>>,
) {
    // The engine has fetched the stages' results before it sent the first event, so the workers
    // need not keep them.
    stream.results = None;
    let end = forward_events(&mut stream, first, &tx).await;
    let (outcome, why) = match end {
        ForwardEnd::Whole => ("whole", None),
        ForwardEnd::CallerGone => ("caller gone", None),
        ForwardEnd::Cut(why) => ("cut", Some(why)),
    };
    let req = &stream.req;
    info!(stream.app.log, "stream ended"; "request" => %req.id, "content" => %req.digest,
        "entry" => &req.entry.name, "outcome" => outcome, "why" => &why,
        "last_event" => stream.last_event,
        "took_ms" => (now() - req.arrived).as_millis());
    let customer = req.customer.as_ref().map_or("-", |name| name.as_str());
    stream.app.metrics.request_ended(&req.entry.name, customer, outcome, now() - req.arrived);
    if why.is_some() {
        // The error makes the connection close. Sending it fails if the caller is gone already.
        drop(tx.send(Err(StreamCut)).await);
        return;
    }
    if outcome == "whole" {
        crashes::request_completed(&stream.app, req);
        let took = now() - stream.attempts.started();
        stream
            .app
            .state
            .with(|shared, _| shared.record_response_time(&stream.req.entry.name, took));
        let EventReader { answer, .. } = *stream.reader;
        let Answer { parsed, connection, mut attempt, .. } = answer;
        attempt.end(TargetOutcome::Answered);
        if !parsed.closes {
            stream.app.keep_connection(connection, parsed.keep_alive);
        }
    }
}

/// Forwards the events in `first`, then those of the stream, resuming it where allowed.
async fn forward_events(
    stream: &mut Stream,
    first: Vec<Event>,
    tx: &Sender<Result<Bytes, StreamCut>>,
) -> ForwardEnd {
    for event in first {
        if !stream.forward_event(event, tx).await {
            return ForwardEnd::CallerGone;
        }
    }
    let deadline = TokioInstant::from_std(stream.req.deadline);
    let repeatable = stream.req.entry.repeatable;
    loop {
        let limit = stream.stall_limit().min(deadline);
        let next = tokio::select! {
            biased;
            () = tx.closed() => return ForwardEnd::CallerGone,
            next = timeout_at(limit, stream.reader.next(repeatable)) => next,
        };
        let why = match next {
            Ok(NextEvent::Event(event)) => {
                if !stream.forward_event(event, tx).await {
                    return ForwardEnd::CallerGone;
                }
                continue;
            }
            Ok(NextEvent::End) => return ForwardEnd::Whole,
            Ok(NextEvent::Broken(why)) => {
                crashes::check_broken_connection(
                    &stream.app,
                    &stream.req,
                    &stream.reader.answer.attempt,
                )
                .await;
                why
            }
            Ok(NextEvent::HallUnreachable) => HALL_UNREACHABLE.to_owned(),
            Err(_) if TokioInstant::now() >= deadline => {
                return ForwardEnd::Cut("the deadline has passed".into());
            }
            Err(_) => "the stream stalled".to_owned(),
        };
        stream.reader.answer.attempt.end(TargetOutcome::Failed);
        let resumed = tokio::select! {
            biased;
            () = tx.closed() => return ForwardEnd::CallerGone,
            resumed = timeout_at(deadline, stream.resume(&why)) => resumed,
        };
        match resumed {
            Ok(Ok(())) => {}
            Ok(Err(further)) => return ForwardEnd::Cut(format!("{why}; {further}")),
            Err(_) => return ForwardEnd::Cut(format!("{why}; the deadline has passed")),
        }
    }
}

impl Stream {
    /// Forwards an event, unless it was forwarded before. Returns false if the caller is gone.
    async fn forward_event(&mut self, event: Event, tx: &Sender<Result<Bytes, StreamCut>>) -> bool {
        let seen =
            matches!((event.id, self.last_event), (Some(id), Some(last_event)) if id <= last_event);
        if seen {
            return true;
        }
        self.last_event = event.id.or(self.last_event);
        tx.send(Ok(event.bytes)).await.is_ok()
    }

    /// When a pause counts as a stall, if the stream may be resumed elsewhere; otherwise the
    /// request's deadline.
    fn stall_limit(&self) -> TokioInstant {
        if !self.req.entry.repeatable {
            return TokioInstant::from_std(self.req.deadline);
        }
        let stall =
            self.req.entry.max_event_gap.map_or(MIN_STALL, |gap| (gap * STALL_GAPS).max(MIN_STALL));
        TokioInstant::now() + stall
    }

    /// Resumes the stream at another target, after the last event that was forwarded.
    async fn resume(&mut self, why: &str) -> Result<(), String> {
        let mut error = AttemptError::Lost(why.to_owned());
        loop {
            if !self.req.entry.repeatable {
                return Err("no further attempt is allowed".to_owned());
            }
            if stream_origins::is_uncertain(&self.app, &self.req) {
                return Err("the version that began it is not known".to_owned());
            }
            // Its stages would run in vain.
            if !self.attempts.has_target() {
                return Err("no target of its version could be used".to_owned());
            }
            if !self.attempts.take_retry(&error) {
                return Err("no further attempt is allowed".to_owned());
            }
            let last_event = self.last_event.ok_or("no event with an ID was forwarded")?;
            info!(self.app.log, "stream resumed at another target"; "request" => %self.req.id,
                "after" => last_event, "why" => why);
            let stages = run_stages(&self.app, &self.req, self.req.deadline, None).await;
            let results = stages.map_err(|_| "its stages could not be run again")?;
            let inputs = results.as_ref().map(StageResults::inputs).unwrap_or_default();
            let sent = self.attempts.send(Some(&self.size), &inputs, Some(last_event)).await;
            match sent.map_err(|_| "no target could be used")? {
                Ok(answer) if answer.head.status.is_success() => {
                    let mut reader = EventReader::new(&self.app, answer);
                    reader.answer.attempt.prompt_read();
                    *self.reader = reader;
                    return Ok(());
                }
                Ok(answer) => error = AttemptError::Lost(format!("status {}", answer.head.status)),
                Err(further) => error = further,
            }
        }
    }
}

/// The body of a streamed answer, fed with events by [`forward`].
pub(crate) struct EventBody {
    pub(crate) rx: Receiver<Result<Bytes, StreamCut>>,
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        self.rx.poll_recv(cx).map(|event| event.map(|event| event.map(Frame::data)))
    }
}
