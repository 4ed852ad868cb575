//! Forwards a stream's events to its caller. While its target is silent, another one is sought where
//! that is allowed; the silent one is left only for a target that takes the stream over.

use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use selection::{CallSize, TargetOutcome};
use slog::info;
use tokio::time::{Instant as TokioInstant, timeout, timeout_at};

use crate::app::App;
use crate::attempts::{Answer, AttemptState, Attempts, HALL_UNREACHABLE};
use crate::crashes;
use crate::event_queue::EventSender;
use crate::events::Event;
use crate::requests::AcceptedRequest;
use crate::stages::StageResults;
use crate::state_handle::now;
use crate::stream_reader::{EventReader, NextEvent};
use crate::stream_takeover::{NotTakenOver, OVERLAP, find_successor, overlap_end};

/// After a pause of this many of its longest event gaps, another target is sought for a stream, if
/// allowed.
const STALL_GAPS: u32 = 3;
/// Shortest such pause, and the pause for entries without a longest event gap.
const MIN_STALL: Duration = Duration::from_millis(1200);
/// Why another target is sought for a stream that pauses.
const STALLED: &str = "the stream stalled";

/// Time to read an event that had already arrived when a pause counts as a stall.
const LAST_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// A stream that is being forwarded.
pub(crate) struct Stream {
    app: Rc<App>,
    req: Rc<AcceptedRequest>,
    attempts: Attempts,
    size: CallSize,
    /// Reads from the stream's target; `None` once that was left.
    reader: Option<Box<EventReader>>,
    /// What was read and not forwarded yet.
    held: VecDeque<NextEvent>,
    results: Option<StageResults>,
    /// ID of the last event that was forwarded.
    last_event: Option<u64>,
    /// When the target's silence began for which another target was sought.
    silent_since: Option<TokioInstant>,
    /// Whether another target may be sought.
    may_search: bool,
    /// When the target's hall may next be taken for unreachable. An event that arrives disproves
    /// that it is.
    heeds_hall_from: TokioInstant,
}

/// How forwarding a stream ended.
enum ForwardEnd {
    Whole,
    CallerGone,
    Cut(String),
}

/// Forwards a stream's events until it ends.
pub(crate) async fn forward(mut stream: Stream, tx: EventSender) {
    // The engine has fetched the stages' results before it sent the first event, so the workers
    // need not keep them.
    stream.results = None;
    let end = forward_events(&mut stream, &tx).await;
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
        // The connection closes.
        tx.cut().await;
        return;
    }
    if let ("whole", Some(reader)) = (outcome, stream.reader) {
        crashes::request_completed(&stream.app, req);
        let EventReader { answer, .. } = *reader;
        let Answer { parsed, connection, mut attempt, .. } = answer;
        let took = now() - attempt.sent_at();
        stream
            .app
            .state
            .with(|shared, _| shared.record_response_time(&stream.req.entry.name, took));
        attempt.end(TargetOutcome::Answered);
        if !parsed.closes {
            stream.app.keep_connection(connection, parsed.keep_alive);
        }
    }
}

/// Forwards the events of the stream until it ends.
async fn forward_events(stream: &mut Stream, tx: &EventSender) -> ForwardEnd {
    let deadline = TokioInstant::from_std(stream.req.deadline);
    loop {
        let next = tokio::select! {
            biased;
            () = tx.closed() => return ForwardEnd::CallerGone,
            next = timeout_at(deadline, stream.next()) => next,
        };
        match next {
            Ok(Ok(Some(event))) => {
                if !stream.forward_event(event, tx).await {
                    return ForwardEnd::CallerGone;
                }
            }
            Ok(Ok(None)) => return ForwardEnd::Whole,
            Ok(Err(why)) => return ForwardEnd::Cut(why),
            Err(_) if stream.silent_since.is_some() => {
                return ForwardEnd::Cut(format!("{STALLED}; the deadline has passed"));
            }
            Err(_) => return ForwardEnd::Cut("the deadline has passed".to_owned()),
        }
    }
}

impl Stream {
    /// A stream that has begun with these events.
    pub(crate) fn new(
        attempts: Attempts,
        size: CallSize,
        reader: Box<EventReader>,
        first: Vec<Event>,
        results: Option<StageResults>,
    ) -> Self {
        let req = Rc::clone(attempts.req());
        Stream {
            app: Rc::clone(attempts.app()),
            attempts,
            size,
            reader: Some(reader),
            held: first.into_iter().map(NextEvent::Event).collect(),
            results,
            last_event: None,
            silent_since: None,
            may_search: req.entry.repeatable,
            heeds_hall_from: TokioInstant::now(),
            req,
        }
    }

    /// Forwards an event, unless it was forwarded before. Returns false if the caller is gone.
    async fn forward_event(&mut self, event: Event, tx: &EventSender) -> bool {
        self.log_going_on();
        let seen =
            matches!((event.id, self.last_event), (Some(id), Some(last_event)) if id <= last_event);
        if seen {
            return true;
        }
        self.last_event = event.id.or(self.last_event);
        tx.send(event.bytes).await
    }

    /// The next event, from whichever target goes on with the stream; `None` at its end.
    ///
    /// # Errors
    /// Why the stream is cut.
    async fn next(&mut self) -> Result<Option<Event>, String> {
        let mut problem = String::new();
        loop {
            let next = match (self.held.pop_front(), &mut self.reader) {
                (Some(held), _) => Ok(held),
                (None, None) => return Err(problem),
                (None, Some(reader)) => {
                    let heeds_hall = self.may_search && self.heeds_hall_from <= TokioInstant::now();
                    let limit = if self.may_search {
                        TokioInstant::now() + stall_time(&self.req)
                    } else {
                        TokioInstant::from_std(self.req.deadline)
                    };
                    match timeout_at(limit, reader.next(heeds_hall)).await {
                        // A process that stood still has not read what has arrived meanwhile.
                        Err(_) if self.may_search => {
                            timeout(LAST_READ_TIMEOUT, reader.next(false)).await
                        }
                        next => next,
                    }
                }
            };
            let why = match next {
                Ok(NextEvent::Event(event)) => return Ok(Some(event)),
                Ok(NextEvent::End) => return Ok(None),
                Ok(NextEvent::Broken(why)) => {
                    self.leave_broken().await;
                    why
                }
                Ok(NextEvent::HallUnreachable) => HALL_UNREACHABLE.to_owned(),
                Err(_) => STALLED.to_owned(),
            };
            if let Err(further) = self.look_elsewhere(&why).await {
                problem = format!("{why}; {}", further.why());
            }
        }
    }

    /// Looks for a target that takes the stream over, as long as its own one is silent. An event of
    /// its own one ends the search until something may have been sent to another. From then on the
    /// stream goes on at that one, unless that one has not begun to run it.
    async fn look_elsewhere(&mut self, why: &str) -> Result<(), NotTakenOver> {
        if self.reader.is_some() {
            self.log_silence(why);
        }
        self.attempts.forget_unreached();
        let state = AttemptState::default();
        let found = self.search(&state, why).await;
        self.attempts.withdraw(&state);
        self.heeds_hall_from = TokioInstant::now() + stall_time(&self.req);
        match found {
            Ok(Some(successor)) => {
                self.take_over(successor, why);
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(e) => {
                self.may_search &= matches!(e, NotTakenOver::ForNow(_));
                Err(e)
            }
        }
    }

    /// The target that takes the stream over; `None` if its own one went on before. What its own
    /// one sends after the call to another may have been sent is held back: it must not be
    /// followed by events of a run that began at an earlier event.
    async fn search(
        &mut self,
        state: &AttemptState,
        why: &str,
    ) -> Result<Option<Box<EventReader>>, NotTakenOver> {
        let Stream { app, req, attempts, reader, held, .. } = self;
        let mark = state.mark();
        let mut overlap = pin!(overlap_end(mark, OVERLAP));
        let mut search = pin!(find_successor(attempts, state, &self.size, self.last_event, why));
        loop {
            let next = tokio::select! {
                biased;
                next = next_of(reader) => next,
                () = &mut overlap, if reader.is_some() => {
                    end_attempt(reader);
                    held.clear();
                    continue;
                }
                () = mark.until(false), if !held.is_empty() => return Ok(None),
                found = &mut search => return found.map(Some),
            };
            match next {
                NextEvent::Broken(_) => {
                    check_broken(app, req, reader).await;
                    end_attempt(reader);
                    held.clear();
                }
                next => {
                    let is_end = matches!(next, NextEvent::End);
                    held.push_back(next);
                    if is_end || !mark.is_set() {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Goes on at another target.
    fn take_over(&mut self, successor: Box<EventReader>, why: &str) {
        end_attempt(&mut self.reader);
        self.held.clear();
        let mut successor = successor;
        successor.answer.attempt.prompt_read();
        info!(self.app.log, "stream resumed at another target"; "request" => %self.req.id,
            "target" => %successor.answer.attempt.pick.target.id, "after" => self.last_event,
            "why" => why);
        if self.silent_since.take().is_some() {
            self.app.metrics.stream_silence_ended(self.req.service.as_str(), "taken over");
        }
        self.reader = Some(successor);
    }

    /// Leaves a target whose connection ended, once it is known whether it crashed.
    async fn leave_broken(&mut self) {
        check_broken(&self.app, &self.req, &self.reader).await;
        end_attempt(&mut self.reader);
    }

    /// Logs that another target is sought for the stream.
    fn log_silence(&mut self, why: &str) {
        let since =
            *self.silent_since.get_or_insert_with(|| TokioInstant::now() - stall_time(&self.req));
        info!(self.app.log, "stream silent"; "request" => %self.req.id,
            "after" => self.last_event, "silent_ms" => since.elapsed().as_millis(), "why" => why);
    }

    /// Logs that the stream goes on at its target, if that was silent.
    fn log_going_on(&mut self) {
        if let Some(since) = self.silent_since.take() {
            info!(self.app.log, "stream went on"; "request" => %self.req.id,
                "after" => self.last_event, "silent_ms" => since.elapsed().as_millis());
            self.app.metrics.stream_silence_ended(self.req.service.as_str(), "went on");
        }
    }
}

/// Pause after which another target is sought for a stream.
fn stall_time(req: &AcceptedRequest) -> Duration {
    req.entry.max_event_gap.map_or(MIN_STALL, |gap| (gap * STALL_GAPS).max(MIN_STALL))
}

/// What the stream's target gives next, however long it takes; nothing if the target was left.
async fn next_of(reader: &mut Option<Box<EventReader>>) -> NextEvent {
    match reader {
        Some(reader) => reader.next(false).await,
        None => std::future::pending().await,
    }
}

/// Checks whether the target of a broken connection crashed.
async fn check_broken(app: &Rc<App>, req: &AcceptedRequest, reader: &Option<Box<EventReader>>) {
    if let Some(reader) = reader {
        crashes::check_broken_connection(app, req, &reader.answer.attempt).await;
    }
}

/// Closes the connection to a target that the stream leaves.
fn end_attempt(reader: &mut Option<Box<EventReader>>) {
    if let Some(mut reader) = reader.take() {
        reader.answer.attempt.end(TargetOutcome::Failed);
    }
}
