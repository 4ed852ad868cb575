//! Reads the events of one attempt's stream.

use fleet::UnreachableHalls;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use selection::TargetOutcome;
use tokio::sync::watch;

use crate::answer_memory::Share;
use crate::app::App;
use crate::attempts::{Answer, AttemptError, Attempts};
use crate::events::{Event, EventSplitter};
use crate::hall_reachability;

/// Largest event that is read, in bytes. Engines put some tokens into an event, thousands of times
/// less.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Reads one attempt's events one by one.
pub(crate) struct EventReader {
    pub(crate) answer: Answer,
    splitter: EventSplitter,
    /// Memory for an event that has begun.
    share: Share,
    /// The halls that are unreachable.
    unreachable: watch::Receiver<UnreachableHalls>,
}

/// What a stream gives next.
pub(crate) enum NextEvent {
    Event(Event),
    /// The stream ended after a whole event, or without any.
    End,
    /// The connection ended, or the stream ended within an event.
    Broken(String),
    /// The hall of its target became unreachable.
    HallUnreachable,
}

impl EventReader {
    pub(crate) fn new(app: &App, answer: Answer) -> Self {
        EventReader {
            answer,
            splitter: EventSplitter::default(),
            share: app.answer_memory.begin(false),
            unreachable: app.unreachable_halls.subscribe(),
        }
    }

    /// Ends an attempt that gave no event; the request may have run.
    pub(crate) fn fail(&mut self, attempts: &Attempts, why: String) -> AttemptError {
        self.answer.attempt.end(TargetOutcome::Failed);
        attempts.set_may_have_run();
        AttemptError::Lost(why)
    }

    /// Waits for the next event. For a repeatable request it returns early if the target's hall
    /// becomes unreachable, so that another target may continue the stream.
    pub(crate) async fn next(&mut self, repeatable: bool) -> NextEvent {
        let EventReader { answer, splitter, share, unreachable } = self;
        let hall = &answer.attempt.pick.target.hall;
        let next = tokio::select! {
            biased;
            next = next_event(&mut answer.body, splitter, share) => next,
            () = hall_reachability::until_unreachable(unreachable, hall), if repeatable =>
                NextEvent::HallUnreachable,
        };
        if matches!(next, NextEvent::Event(_)) {
            answer.attempt.event_received();
        }
        next
    }
}

/// Reads from the body until a whole event or the end of the stream. Its time is bounded by its
/// callers: the pause after which another target is sought, or the request's time.
async fn next_event(body: &mut Incoming, splitter: &mut EventSplitter, share: &Share) -> NextEvent {
    loop {
        if let Some(event) = splitter.next_event() {
            return NextEvent::Event(event);
        }
        let is_in_bounds = splitter.buffered() <= MAX_EVENT_BYTES;
        if !is_in_bounds || share.resize(splitter.buffered()).is_err() {
            return too_long(splitter);
        }
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = share.until_given_up() => return too_long(splitter),
        };
        match frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    splitter.push(data);
                }
            }
            Some(Err(e)) => return NextEvent::Broken(e.to_string()),
            None if splitter.has_incomplete_event() => {
                return NextEvent::Broken("the stream ended within an event".to_owned());
            }
            None => return NextEvent::End,
        }
    }
}

fn too_long(splitter: &EventSplitter) -> NextEvent {
    NextEvent::Broken(format!("an event is too long: {} bytes", splitter.buffered()))
}
