//! A stream's events passed on to its caller, and taken up at another engine where that is allowed.

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

use crate::answers::Cut;
use crate::app::App;
use crate::attempts::{Answer, AttemptError, Attempts, OUT_OF_REACH};
use crate::crashes;
use crate::events::Event;
use crate::hub::now;
use crate::request_stages::run_stages;
use crate::requests::AcceptedRequest;
use crate::stages::Results;
use crate::stream_reader::{Next, Reader};

/// A stream that pauses for this many of its longest gaps is taken up elsewhere, if it may be.
const STALL_GAPS: u32 = 3;
/// The same, where no gap is given, and at least.
const STALL: Duration = Duration::from_millis(1200);

/// A stream that is being passed on.
pub(crate) struct Stream {
    pub(crate) app: Rc<App>,
    pub(crate) req: Rc<AcceptedRequest>,
    pub(crate) tries: Attempts,
    pub(crate) size: CallSize,
    pub(crate) reader: Box<Reader>,
    pub(crate) results: Option<Results>,
    /// Number of the last event that was passed on.
    pub(crate) last: Option<u64>,
}

/// How the passing on of a stream ended.
enum Passed {
    Whole,
    CallerGone,
    Cut(String),
}

/// Passes a stream's events on until it ends.
pub(crate) async fn pass_on(mut stream: Stream, first: Vec<Event>, tx: Sender<Result<Bytes, Cut>>) {
    // The results were fetched before the first event came.
    stream.results = None;
    let passed = pass_events(&mut stream, first, &tx).await;
    let (outcome, why) = match passed {
        Passed::Whole => ("whole", None),
        Passed::CallerGone => ("caller gone", None),
        Passed::Cut(why) => ("cut", Some(why)),
    };
    let req = &stream.req;
    info!(stream.app.log, "stream ended"; "request" => %req.id, "content" => %req.digest, "entry" => &req.entry.name,
        "outcome" => outcome, "why" => &why, "last_event" => stream.last,
        "took_ms" => (now() - req.arrived).as_millis());
    let customer = req.customer.as_ref().map_or("-", |name| name.as_str());
    stream.app.metrics.request_ended(&req.entry.name, customer, outcome, now() - req.arrived);
    if why.is_some() {
        // A caller that is gone needs no word.
        drop(tx.send(Err(Cut)).await);
        return;
    }
    if outcome == "whole" {
        crashes::request_completed(&stream.app, req);
        let took = now() - stream.tries.began();
        stream.app.hub.with(|shared, _| shared.record_response_time(&stream.req.entry.name, took));
        let Reader { answer, .. } = *stream.reader;
        let Answer { read, carrier, mut attempt, .. } = answer;
        attempt.end(TargetOutcome::Answered);
        if !read.closes {
            stream.app.rest(carrier, read.keep_alive);
        }
    }
}

async fn pass_events(
    stream: &mut Stream,
    first: Vec<Event>,
    tx: &Sender<Result<Bytes, Cut>>,
) -> Passed {
    for event in first {
        if !stream.pass(event, tx).await {
            return Passed::CallerGone;
        }
    }
    let until = TokioInstant::from_std(stream.req.deadline);
    let repeatable = stream.req.entry.repeatable;
    loop {
        let limit = stream.stall_limit().min(until);
        let next = tokio::select! {
            biased;
            () = tx.closed() => return Passed::CallerGone,
            next = timeout_at(limit, stream.reader.next(repeatable)) => next,
        };
        let why = match next {
            Ok(Next::Event(event)) => {
                if !stream.pass(event, tx).await {
                    return Passed::CallerGone;
                }
                continue;
            }
            Ok(Next::End) => return Passed::Whole,
            Ok(Next::Broken(why)) => {
                crashes::check_broken_connection(
                    &stream.app,
                    &stream.req,
                    &stream.reader.answer.attempt,
                )
                .await;
                why
            }
            Ok(Next::OutOfReach) => OUT_OF_REACH.to_owned(),
            Err(_) if TokioInstant::now() >= until => {
                return Passed::Cut("its time is over".into());
            }
            Err(_) => "it stalled".to_owned(),
        };
        stream.reader.answer.attempt.end(TargetOutcome::Failed);
        let resumed = tokio::select! {
            biased;
            () = tx.closed() => return Passed::CallerGone,
            resumed = timeout_at(until, stream.resume(&why)) => resumed,
        };
        match resumed {
            Ok(Ok(())) => {}
            Ok(Err(further)) => return Passed::Cut(format!("{why}; {further}")),
            Err(_) => return Passed::Cut(format!("{why}; its time is over")),
        }
    }
}

impl Stream {
    /// Passes an event on; false if the caller is gone.
    async fn pass(&mut self, event: Event, tx: &Sender<Result<Bytes, Cut>>) -> bool {
        let seen = matches!((event.id, self.last), (Some(id), Some(last)) if id <= last);
        if seen {
            return true;
        }
        self.last = event.id.or(self.last);
        tx.send(Ok(event.bytes)).await.is_ok()
    }

    /// When a pause is too long, if the stream may be taken up elsewhere.
    fn stall_limit(&self) -> TokioInstant {
        if !self.req.entry.repeatable {
            return TokioInstant::from_std(self.req.deadline);
        }
        let stall = self.req.entry.max_event_gap.map_or(STALL, |gap| (gap * STALL_GAPS).max(STALL));
        TokioInstant::now() + stall
    }

    /// Takes the stream up at another target, after the last event that was passed on.
    async fn resume(&mut self, why: &str) -> Result<(), String> {
        let mut missed = AttemptError::Lost(why.to_owned());
        loop {
            if !self.req.entry.repeatable || !self.tries.may_go_on(&missed) {
                return Err("no further try is allowed".to_owned());
            }
            let last = self.last.ok_or("no event has a number")?;
            info!(self.app.log, "stream taken up elsewhere"; "request" => %self.req.id,
                "after" => last, "why" => why);
            let stages = run_stages(&self.app, &self.req, self.req.deadline, None).await;
            let results = stages.map_err(|_| "its stages could not be made again")?;
            let inputs = results.as_ref().map(Results::inputs).unwrap_or_default();
            let sent = self.tries.send(Some(&self.size), &inputs, Some(last)).await;
            match sent.map_err(|_| "no target is left")? {
                Ok(answer) if answer.head.status.is_success() => {
                    let mut reader = Reader::new(&self.app, answer);
                    reader.answer.attempt.prompt_read();
                    *self.reader = reader;
                    return Ok(());
                }
                Ok(answer) => missed = AttemptError::Lost(format!("status {}", answer.head.status)),
                Err(further) => missed = further,
            }
        }
    }
}

/// The body that passes events on.
pub(crate) struct Events {
    pub(crate) rx: Receiver<Result<Bytes, Cut>>,
}

impl Body for Events {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.rx.poll_recv(cx).map(|event| event.map(|event| event.map(Frame::data)))
    }
}
