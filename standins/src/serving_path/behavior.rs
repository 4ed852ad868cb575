//! Behaviors of the stand-in runners, faults included.

use std::time::Duration;

/// A part of what a runner sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The head of an answer.
    Head,
    /// Informational answers before the head.
    Interim,
    /// The body of a successful answer.
    Success,
    /// The body of a 500.
    Failure,
    /// The body of a 503 that says that the request has not run.
    Decline,
    /// An event of a stream.
    Event,
    /// What follows a whole answer.
    Tail,
}

/// How a runner handles a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Behavior {
    /// It sends a complete answer.
    Answer,
    /// It sends a complete answer with a body of so many bytes.
    Large(usize),
    /// It runs the request and answers 500.
    Fail,
    /// It runs the request and answers with this status, of three digits, whether or not an answer may
    /// have it.
    Status(u16),
    /// It answers 503 without running the request.
    Decline,
    /// Like [`Behavior::Decline`], and it sends the answer again when the next request comes on the
    /// connection, before it answers that one.
    DeclineTwice,
    /// It answers 503 without running the request, with this `Retry-After` value in seconds.
    DeclineFor(&'static str),
    /// It answers 421, as a different instance at the same address.
    Misdirected,
    /// It runs the request and closes the connection without an answer.
    Lose,
    /// It sends half of the body, then closes the connection.
    CutBody,
    /// It sends a complete answer with the id of another request.
    Cross,
    /// It sends a complete answer, and the same one again 2 ms later.
    Extra,
    /// It sends a complete answer to a call of pieces, and the same one again when the next call comes
    /// on the connection, before it answers that one.
    CopyBeforeNext,
    /// It sends bytes that are not HTTP.
    Garbage,
    /// It sends a successful answer without the `Response-Signature` header.
    Unsigned,
    /// It sends a successful answer with a `Content-Encoding`.
    Encoded,
    /// It sends an answer without a length, which the end of the connection delimits.
    Unframed,
    /// It sends half of an answer without a length and resets the connection.
    ResetUnframed,
    /// It streams events up to this number, with a pause after each, in an answer without a length.
    UnframedStream(u64, Duration),
    /// Like [`Behavior::BreakStream`], in an answer without a length.
    BreakUnframedStream(u64),
    /// It runs the request and answers after this time.
    Hang(Duration),
    /// It sends half of a complete answer, and the rest after this time.
    SlowAnswer(Duration),
    /// It sends half of this part and then nothing more; the connection stays open.
    Stall(Part),
    /// It sends this part without an end, until the VM closes the connection.
    Endless(Part),
    /// It streams events up to this number.
    Stream(u64),
    /// It streams events up to this number from the first on, ignoring `Last-Event-Id`.
    StreamFromFirst(u64),
    /// It streams events up to this number and closes the connection in the middle of the next one.
    BreakStream(u64),
    /// It streams events up to this number, with a pause after each.
    SlowStream(u64, Duration),
    /// Like [`Behavior::SlowStream`], with half of each pause in the middle of an event.
    SplitStream(u64, Duration),
    /// It streams events up to this number, the first one after this time.
    LateStream(u64, Duration),
    /// It answers that an input is gone, without running the request.
    InputGone,
    /// It has no memory for the result of the last piece of a call, and runs the others for this
    /// long.
    NoRoomForLast(Duration),
}

impl Behavior {
    /// Whether the runner says that it did not run the request.
    pub(super) fn declines(&self) -> bool {
        matches!(
            self,
            Behavior::Decline
                | Behavior::DeclineTwice
                | Behavior::DeclineFor(_)
                | Behavior::Misdirected
                | Behavior::InputGone
                | Behavior::Stall(Part::Decline)
                | Behavior::Endless(Part::Decline)
        )
    }

    /// Whether the runner answers at once and the VM accepts the answer as this runner's. Only in
    /// such an answer do the runner's notices count: that it is leaving, and its rate limit.
    pub(super) fn answers_at_once(&self) -> bool {
        match self {
            Behavior::Misdirected
            | Behavior::Lose
            | Behavior::Cross
            | Behavior::Garbage
            | Behavior::Status(_)
            | Behavior::Unsigned
            | Behavior::Encoded
            | Behavior::LateStream(..)
            | Behavior::Stall(Part::Head | Part::Interim)
            | Behavior::Endless(Part::Head | Part::Interim)
            | Behavior::Hang(_) => false,
            Behavior::Answer
            | Behavior::Large(_)
            | Behavior::Fail
            | Behavior::Decline
            | Behavior::DeclineTwice
            | Behavior::DeclineFor(_)
            | Behavior::CutBody
            | Behavior::Extra
            | Behavior::CopyBeforeNext
            | Behavior::Stall(_)
            | Behavior::Endless(_)
            | Behavior::Unframed
            | Behavior::ResetUnframed
            | Behavior::UnframedStream(..)
            | Behavior::BreakUnframedStream(_)
            | Behavior::Stream(_)
            | Behavior::StreamFromFirst(_)
            | Behavior::BreakStream(_)
            | Behavior::SlowAnswer(_)
            | Behavior::SlowStream(..)
            | Behavior::SplitStream(..)
            | Behavior::InputGone
            | Behavior::NoRoomForLast(_) => true,
        }
    }
}
