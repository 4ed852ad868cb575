//! Builds answers to callers: whole bodies and refusals. Defines the body type of all answers; a
//! caller can recognize a streamed one that was cut.

use std::convert::Infallible;
use std::fmt;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty};
use hyper::Response;
use ids::RequestId;
use platform_interface::callers::Refusal;

use crate::answer_memory::WholeBody;
use crate::app::App;

/// Error of a stream that ended early. It makes the connection close without the last chunk, so
/// that the caller can tell that the stream is incomplete.
#[derive(Debug)]
pub(crate) struct StreamCut;

impl fmt::Display for StreamCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream ended early")
    }
}

impl std::error::Error for StreamCut {}

/// Body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, StreamCut>;

/// A body whose bytes are complete.
pub(crate) fn whole(body: WholeBody) -> AnswerBody {
    body.map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// A body without bytes.
fn empty() -> AnswerBody {
    Empty::new().map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// The answer for a refusal, in the form that the platform prescribes.
pub(crate) fn refusal(app: &App, refusal: Refusal, id: Option<&RequestId>) -> Response<AnswerBody> {
    let (status, headers) = (app.adapter.callers.refuse)(refusal, id);
    let mut answer = Response::new(empty());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// A refusal as sent to a caller whose request has no head that could be answered; the connection is
/// closed after it.
pub(crate) fn refusal_bytes(app: &App, refusal: Refusal) -> Vec<u8> {
    let (status, headers) = (app.adapter.callers.refuse)(refusal, None);
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in &headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"content-length: 0\r\nconnection: close\r\n\r\n");
    bytes
}
