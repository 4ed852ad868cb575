//! HTTP responses to callers: in one piece, or as an event stream whose last event holds the
//! outcome.

use bytes::Bytes;
use http_server::{Body, BodyAborted, full_body, stream_body};
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use ids::RequestId;
use outcomes::{Answer, OUTCOME_HEADER, REQUEST_ID_HEADER, Refusal, StageRun};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

/// Events of a stream buffered for a slow caller before reading from the target blocks.
const STREAM_BUFFER: usize = 32;
/// Value of the outcome header while the outcome is still open; the last event of the stream holds
/// it.
const STREAMING: &str = "streaming";

/// The response for a successful request.
pub(crate) fn whole_response(answer: &Answer) -> Response<Body> {
    response_with_head(200, answer.outcome.as_str(), &answer.request_id, json_body(answer))
}

/// The response for a refused request.
pub(crate) fn refused_response(
    id: &RequestId,
    stages: Vec<StageRun>,
    refusal: &Refusal,
) -> Response<Body> {
    let answer = Answer::refused(id.clone(), stages, refusal);
    let body = json_body(&answer);
    let mut response = response_with_head(refusal.status(), refusal.outcome.as_str(), id, body);
    if let Some(wait) = refusal.retry_after {
        // The header holds whole seconds, rounded up; the body has the exact milliseconds.
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn json_body(answer: &Answer) -> Body {
    full_body(serde_json::to_vec(answer).unwrap_or_default())
}

/// A response with status, content type, outcome and request id.
fn response_with_head(status: u16, outcome: &str, id: &RequestId, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let value = |text: &str| HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""));
    headers.insert(OUTCOME_HEADER, value(outcome));
    headers.insert(REQUEST_ID_HEADER, value(id.as_str()));
    response
}

/// The caller closed its connection or has already been answered.
#[derive(Debug)]
pub(crate) struct CallerGone;

/// Channel through which the answer to one request is sent to its connection.
pub(crate) struct AnswerPort {
    id: RequestId,
    /// Sender of the response; `None` once the response has begun.
    head: Option<oneshot::Sender<Response<Body>>>,
    /// Sender of the stream's events; `None` unless the response is a stream.
    events: Option<mpsc::Sender<Result<Bytes, BodyAborted>>>,
}

impl AnswerPort {
    /// Creates a port and the receiver of the response.
    pub(crate) fn new(id: RequestId) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (tx, rx) = oneshot::channel();
        (AnswerPort { id, head: Some(tx), events: None }, rx)
    }

    /// Whether the caller is still connected.
    pub(crate) fn is_open(&self) -> bool {
        match (&self.head, &self.events) {
            (Some(head), _) => !head.is_closed(),
            (None, Some(events)) => !events.is_closed(),
            (None, None) => false,
        }
    }

    /// Whether the response has begun as a stream.
    pub(crate) fn has_begun(&self) -> bool {
        self.events.is_some()
    }

    /// Sends one token to the caller, with its number as the event's id; the first one begins the
    /// stream.
    ///
    /// # Errors
    /// [`CallerGone`] if the caller is no longer connected.
    pub(crate) fn send_token(&mut self, number: u64, token: &str) -> Result<(), CallerGone> {
        if let Some(head) = self.head.take() {
            let (tx, rx) = mpsc::channel(STREAM_BUFFER);
            let mut response = response_with_head(200, STREAMING, &self.id, stream_body(rx));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
            head.send(response).map_err(|_| CallerGone)?;
            self.events = Some(tx);
        }
        self.send_event(format!("id: {number}\ndata: {}\n\n", json!({ "token": token })))
    }

    /// Sends the answer, or ends the stream with it.
    pub(crate) fn finish(mut self, answer: &Answer) {
        if let Some(head) = self.head.take() {
            // An error means that the caller has disconnected.
            let _ = head.send(whole_response(answer));
            return;
        }
        // Dropping the sender afterwards ends the stream cleanly.
        let _ = self.send_outcome_event(answer);
    }

    /// Sends the refusal. A stream that has begun gets it as its last event and is then aborted.
    pub(crate) fn refuse(mut self, stages: Vec<StageRun>, refusal: &Refusal) {
        if let Some(head) = self.head.take() {
            let _ = head.send(refused_response(&self.id, stages, refusal));
            return;
        }
        let answer = Answer::refused(self.id.clone(), stages, refusal);
        let _ = self.send_outcome_event(&answer);
        if let Some(events) = &self.events {
            let _ = events.blocking_send(Err(BodyAborted));
        }
    }

    /// Sends the stream's last event, with the outcome.
    fn send_outcome_event(&self, answer: &Answer) -> Result<(), CallerGone> {
        let json = serde_json::to_string(answer).unwrap_or_default();
        self.send_event(format!("event: outcome\ndata: {json}\n\n"))
    }

    /// Sends one event of the stream; blocks while the stream's buffer is full.
    fn send_event(&self, text: String) -> Result<(), CallerGone> {
        let events = self.events.as_ref().ok_or(CallerGone)?;
        events.blocking_send(Ok(Bytes::from(text))).map_err(|_| CallerGone)
    }
}
