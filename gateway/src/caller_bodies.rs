//! Reads the bodies of callers' requests, each within the configured size and all within the budget
//! of what callers hold.

use std::time::{Duration, Instant};

use bytes::Bytes;
use caller_budget::{HeldBody, NoRoom};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use platform_interface::callers::Refusal;
use tokio::time::{Instant as TokioInstant, sleep_until};

use crate::caller_stream::CallerSocket;
use crate::shutdown::RETRY_ELSEWHERE_AFTER;
use crate::state_handle::now;

/// Longest time to read a request's body; the request's own deadline may be sooner.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than configured.
    TooLarge,
    /// It is malformed, or the connection has ended.
    Unreadable,
    /// Its time is over.
    TooLate,
    /// What callers hold leaves no room for it.
    NoRoom,
}

impl BodyError {
    /// The reason as logged.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            BodyError::TooLarge => "body too large",
            BodyError::Unreadable => "body not readable",
            BodyError::TooLate => "body not read in time",
            BodyError::NoRoom => "no room for the body",
        }
    }

    /// What the caller is told; the request has not run.
    pub(crate) fn refusal(self) -> Refusal {
        match self {
            BodyError::TooLarge => Refusal::TooLarge,
            BodyError::Unreadable => Refusal::Malformed,
            BodyError::TooLate => Refusal::NotRunTimedOut,
            BodyError::NoRoom => Refusal::NotRun { retry_after: RETRY_ELSEWHERE_AFTER },
        }
    }
}

impl From<NoRoom> for BodyError {
    fn from(_: NoRoom) -> Self {
        BodyError::NoRoom
    }
}

/// Reads a body of up to `max_bytes` before the deadline. What its head tells of it is checked before
/// the first byte is asked for.
///
/// # Errors
/// Why it was not read to its end.
pub(crate) async fn read(
    socket: &CallerSocket,
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let until = TokioInstant::from_std(deadline.min(now() + BODY_READ_TIMEOUT));
    tokio::select! {
        body = read_to_end(socket, body, max_bytes) => body,
        () = sleep_until(until) => Err(BodyError::TooLate),
    }
}

async fn read_to_end(
    socket: &CallerSocket,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().exact();
    let declared = declared.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if declared.is_some_and(|bytes| bytes > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut held = HeldBody::begin(socket.charge(), declared, now())?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Unreadable)?;
        let Some(data) = frame.data_ref() else { continue };
        if held.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        held.push(data, now())?;
    }
    Ok(Bytes::from_owner(held))
}
