//! The events of one try's stream, read one by one.

use fleet::UnreachableHalls;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use selection::TargetOutcome;
use tokio::sync::watch;

use crate::app::App;
use crate::attempts::{Answer, AttemptError, Attempts};
use crate::events::{Event, Splitter};
use crate::hall_reachability;

/// Reads one try's events.
pub(crate) struct Reader {
    pub(crate) answer: Answer,
    splitter: Splitter,
    /// Data halls that are out of reach.
    out: watch::Receiver<UnreachableHalls>,
}

/// What comes next in a try's stream.
pub(crate) enum Next {
    Event(Event),
    End,
    /// Its connection ended, or it ended within an event.
    Broken(String),
    /// The hall of its target is out of reach.
    OutOfReach,
}

impl Reader {
    pub(crate) fn new(app: &App, answer: Answer) -> Self {
        Reader { answer, splitter: Splitter::default(), out: app.unreachable_halls.subscribe() }
    }

    /// Ends a try that brought no event.
    pub(crate) fn lost(&mut self, tries: &Attempts, why: String) -> AttemptError {
        self.answer.attempt.end(TargetOutcome::Failed);
        tries.set_may_have_run();
        AttemptError::Lost(why)
    }

    /// The next event, unless the target's hall is out of reach and another target may go on.
    pub(crate) async fn next(&mut self, repeatable: bool) -> Next {
        let Reader { answer, splitter, out } = self;
        let hall = &answer.attempt.pick.target.hall;
        tokio::select! {
            biased;
            next = next_event(&mut answer.body, splitter) => next,
            () = hall_reachability::until_unreachable(out, hall), if repeatable => Next::OutOfReach,
        }
    }
}

async fn next_event(body: &mut Incoming, splitter: &mut Splitter) -> Next {
    loop {
        if let Some(event) = splitter.next_event() {
            return Next::Event(event);
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    splitter.push(data);
                }
            }
            Some(Err(e)) => return Next::Broken(e.to_string()),
            None if splitter.has_rest() => {
                return Next::Broken("it ended within an event".to_owned());
            }
            None => return Next::End,
        }
    }
}
