//! How answers go back to the caller: at once, or as a stream whose end can be seen.

use bytes::Bytes;
use http_server::{Body, BodyAborted, full_body, stream_body};
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use ids::RequestId;
use outcomes::{Answer, OUTCOME_HEADER, REQUEST_ID_HEADER, Refusal, StageRun};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

/// Parts of a stream that wait for the caller to read before its target is held up.
const STREAM_BUFFER: usize = 32;
/// Name on the wire of an outcome that the stream's last event will tell.
const STREAMING: &str = "streaming";

/// A whole answer.
pub(crate) fn whole_response(answer: &Answer) -> Response<Body> {
    response_with_head(200, answer.outcome.as_str(), &answer.request_id, json_body(answer))
}

/// A refusal.
pub(crate) fn refused_response(
    id: &RequestId,
    stages: Vec<StageRun>,
    refusal: &Refusal,
) -> Response<Body> {
    let answer = Answer::refused(id.clone(), stages, refusal);
    let body = json_body(&answer);
    let mut rx = response_with_head(refusal.status(), refusal.outcome.as_str(), id, body);
    if let Some(wait) = refusal.retry_after {
        // The header has whole seconds; the body has the exact milliseconds.
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        rx.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    rx
}

fn json_body(answer: &Answer) -> Body {
    full_body(serde_json::to_vec(answer).unwrap_or_default())
}

fn response_with_head(status: u16, outcome: &str, id: &RequestId, body: Body) -> Response<Body> {
    let mut rx = Response::new(body);
    *rx.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let headers = rx.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let value = |text: &str| HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""));
    headers.insert(OUTCOME_HEADER, value(outcome));
    headers.insert(REQUEST_ID_HEADER, value(id.as_str()));
    rx
}

/// The caller closed its connection or was answered otherwise.
#[derive(Debug)]
pub(crate) struct CallerGone;

/// Where the answer to one request goes.
pub(crate) struct AnswerPort {
    id: RequestId,
    head: Option<oneshot::Sender<Response<Body>>>,
    parts: Option<mpsc::Sender<Result<Bytes, BodyAborted>>>,
}

impl AnswerPort {
    /// A port and the receiver of the answer's head.
    pub(crate) fn new(id: RequestId) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (tx, rx) = oneshot::channel();
        (AnswerPort { id, head: Some(tx), parts: None }, rx)
    }

    /// Whether the caller still waits.
    pub(crate) fn is_open(&self) -> bool {
        match (&self.head, &self.parts) {
            (Some(head), _) => !head.is_closed(),
            (None, Some(parts)) => !parts.is_closed(),
            (None, None) => false,
        }
    }

    /// Whether a part of a stream went out already.
    pub(crate) fn has_begun(&self) -> bool {
        self.parts.is_some()
    }

    /// Sends one token on at once; the first one opens the stream.
    pub(crate) fn token(&mut self, number: u64, token: &str) -> Result<(), CallerGone> {
        if let Some(head) = self.head.take() {
            let (tx, rx) = mpsc::channel(STREAM_BUFFER);
            let mut answer = response_with_head(200, STREAMING, &self.id, stream_body(rx));
            let headers = answer.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
            head.send(answer).map_err(|_| CallerGone)?;
            self.parts = Some(tx);
        }
        self.part(format!("id: {number}\ndata: {}\n\n", json!({ "token": token })))
    }

    /// Ends with the whole answer.
    pub(crate) fn finish(mut self, answer: &Answer) {
        if let Some(head) = self.head.take() {
            // A caller that is gone needs no answer.
            let _ = head.send(whole_response(answer));
            return;
        }
        // The channel's end is the stream's clean end.
        let _ = self.outcome_event(answer);
    }

    /// Ends with a refusal; a stream that has begun is told why, then cut.
    pub(crate) fn refuse(mut self, stages: Vec<StageRun>, refusal: &Refusal) {
        if let Some(head) = self.head.take() {
            let _ = head.send(refused_response(&self.id, stages, refusal));
            return;
        }
        let answer = Answer::refused(self.id.clone(), stages, refusal);
        let _ = self.outcome_event(&answer);
        if let Some(parts) = &self.parts {
            let _ = parts.blocking_send(Err(BodyAborted));
        }
    }

    fn outcome_event(&self, answer: &Answer) -> Result<(), CallerGone> {
        let json = serde_json::to_string(answer).unwrap_or_default();
        self.part(format!("event: outcome\ndata: {json}\n\n"))
    }

    fn part(&self, text: String) -> Result<(), CallerGone> {
        let parts = self.parts.as_ref().ok_or(CallerGone)?;
        parts.blocking_send(Ok(Bytes::from(text))).map_err(|_| CallerGone)
    }
}
