//! What runners may do with a request.

use std::time::Duration;

/// How a runner behaves towards the next request.
#[derive(Debug, Clone, PartialEq)]
pub enum Behavior {
    /// A whole answer.
    Answer,
    /// A whole answer of so many bytes.
    Large(usize),
    /// It answers with a failure of its own, after it ran.
    Fail,
    /// It is full and does not run it.
    Decline,
    /// It does not run it, and wants nothing more for so long: the text of `Retry-After`.
    DeclineFor(&'static str),
    /// Another lifetime stands at its address.
    Misdirected,
    /// It runs it and closes with no answer.
    Lose,
    /// Half of the body, then the connection ends.
    CutBody,
    /// A whole answer to another request.
    Cross,
    /// A whole answer, and a second one a moment later.
    Extra,
    /// Bytes that are no answer.
    Garbage,
    /// A success with no receipt.
    Unsigned,
    /// A success in another coding.
    Encoded,
    /// An answer with no length that ends with its connection.
    Unframed,
    /// It runs it and says nothing for this long.
    Hang(Duration),
    /// A stream of so many events.
    Stream(u64),
    /// A stream of so many events from the first on, whatever the caller has.
    StreamFromFirst(u64),
    /// A stream that breaks off in the middle of the event after so many.
    BreakStream(u64),
    /// A stream of so many events with a pause after each.
    SlowStream(u64, Duration),
    /// An input is gone.
    InputGone,
    /// It has no room for the last piece of a call, and is at work on the others for this long.
    NoRoomForLast(Duration),
}

impl Behavior {
    /// Whether an answer comes at once that is the runner's own.
    pub(super) fn speaks_for_it(&self) -> bool {
        match self {
            Behavior::Misdirected
            | Behavior::Lose
            | Behavior::Cross
            | Behavior::Garbage
            | Behavior::Unsigned
            | Behavior::Encoded
            | Behavior::Hang(_) => false,
            Behavior::Answer
            | Behavior::Large(_)
            | Behavior::Fail
            | Behavior::Decline
            | Behavior::DeclineFor(_)
            | Behavior::CutBody
            | Behavior::Extra
            | Behavior::Unframed
            | Behavior::Stream(_)
            | Behavior::StreamFromFirst(_)
            | Behavior::BreakStream(_)
            | Behavior::SlowStream(..)
            | Behavior::InputGone
            | Behavior::NoRoomForLast(_) => true,
        }
    }
}
