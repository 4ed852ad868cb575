//! Answers to callers: whole bodies, streams that can be seen as cut, and refusals.

use std::convert::Infallible;
use std::fmt;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use ids::RequestId;
use platform_adapter::callers::Refusal;

use crate::app::App;

/// A stream ended before its end: its connection is closed with no last chunk.
#[derive(Debug)]
pub(crate) struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was cut")
    }
}

impl std::error::Error for Cut {}

/// Body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, Cut>;

/// A body that is here whole.
pub(crate) fn whole(body: Bytes) -> AnswerBody {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// The answer that tells a refusal.
pub(crate) fn refusal(app: &App, refusal: Refusal, id: Option<&RequestId>) -> Response<AnswerBody> {
    let (status, headers) = (app.adapter.callers.refuse)(refusal, id);
    let mut answer = Response::new(whole(Bytes::new()));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
