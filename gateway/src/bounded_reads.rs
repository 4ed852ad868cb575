//! Reads bodies that other processes send. Each read is bounded in bytes and in time; what lies
//! beyond a bound is not read, and the connection is closed.

use std::time::Duration;

use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::answer_memory::{AnswerMemory, GrowingBody, WholeBody};

/// Most bytes of a body whose content is of no use; it is read only so that the connection can be
/// used again.
const MAX_UNUSED_BYTES: usize = 64 * 1024;
/// Longest time to read such a body.
const MAX_UNUSED_TIME: Duration = Duration::from_millis(250);

/// Bounds of one read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadBounds {
    /// Most bytes; `None` if only the memory of all answers bounds them.
    pub(crate) max_bytes: Option<usize>,
    /// When reading ends.
    pub(crate) until: Instant,
}

/// Why a body was not read to its end. The doc comments of the variants are the displayed texts.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum ReadError {
    /// too long
    TooLong,
    /// too late
    TooLate,
    /// broken off: {0}
    BrokenOff(String),
}

impl ReadError {
    /// Its name in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            ReadError::TooLong => "too_long",
            ReadError::TooLate => "too_late",
            ReadError::BrokenOff(_) => "broken_off",
        }
    }
}

/// A read that ended early, and how many bytes had arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Unread {
    pub(crate) error: ReadError,
    pub(crate) bytes: usize,
}

/// Reads a body.
///
/// # Errors
/// Why it was not read to its end.
pub(crate) async fn read_body(
    body: Incoming,
    memory: &AnswerMemory,
    bounds: ReadBounds,
) -> Result<WholeBody, Unread> {
    let declares_length = body.size_hint().exact().is_some();
    let mut read = GrowingBody::new(memory, declares_length);
    match read_into(&mut read, body, bounds).await {
        Ok(()) => Ok(read.complete()),
        Err(error) => Err(Unread { error, bytes: read.len() }),
    }
}

async fn read_into(
    read: &mut GrowingBody,
    mut body: Incoming,
    bounds: ReadBounds,
) -> Result<(), ReadError> {
    let max_bytes = bounds.max_bytes.unwrap_or(usize::MAX);
    loop {
        let next = tokio::select! {
            next = timeout_at(bounds.until, body.frame()) => next,
            () = read.until_given_up() => return Err(ReadError::TooLong),
        };
        let Some(frame) = next.map_err(|_| ReadError::TooLate)? else { return Ok(()) };
        let frame = frame.map_err(|e| ReadError::BrokenOff(e.to_string()))?;
        let Some(data) = frame.data_ref() else { continue };
        if read.len() + data.len() > max_bytes {
            return Err(ReadError::TooLong);
        }
        read.push(data).map_err(|_| ReadError::TooLong)?;
    }
}

/// Reads a body whose content is of no use, so that its connection can be used again.
///
/// # Errors
/// Why it was not read to its end.
pub(crate) async fn discard(mut body: Incoming) -> Result<(), ReadError> {
    let until = Instant::now() + MAX_UNUSED_TIME;
    let mut left = MAX_UNUSED_BYTES;
    loop {
        let next = timeout_at(until, body.frame()).await.map_err(|_| ReadError::TooLate)?;
        let Some(frame) = next else { return Ok(()) };
        let frame = frame.map_err(|e| ReadError::BrokenOff(e.to_string()))?;
        let len = frame.data_ref().map_or(0, bytes::Bytes::len);
        left = left.checked_sub(len).ok_or(ReadError::TooLong)?;
    }
}
