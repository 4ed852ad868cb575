//! Calls that the gateway makes to targets itself, instead of forwarding a caller's request: calls
//! of a pool, notices that results are released, and requests for a worker's report.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use ids::RequestId;
use intent::Target;
use platform_interface::calls::{AnswerHead, Evidence, OwnCall};
use slog::{debug, info};
use tokio::time::{Instant, timeout_at};

use crate::app::App;
use crate::bounded_reads::{ReadBounds, ReadError, Unread, read_body};
use crate::connections::{SendError, SentMark, TargetConnection, UNACKED_TIMEOUT};
use crate::permits::Permit;
use crate::state_handle::now;
use crate::target_announcements;

/// Largest answer that is read, in bytes. An answer to a call of pieces has less than a hundred for
/// each of them.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Why a call gave no answer.
#[derive(Debug)]
pub(crate) enum OwnCallError {
    /// The target was too busy, or takes no new work any more.
    Declined,
    /// Another target is at the address and said so.
    OtherTarget,
    /// Nothing was sent.
    NotReached,
    /// The connection ended before the answer was complete.
    Broke,
    /// No answer arrived in time.
    TimedOut,
    /// The answer has an error status.
    Failed,
}

/// Sends a call and reads its answer, up to [`MAX_ANSWER_BYTES`], `within` a time.
///
/// # Errors
/// Why there is no answer with a success status.
pub(crate) async fn own_call(
    app: &Rc<App>,
    target: &Target,
    call: OwnCall,
    permit: Permit,
    within: Duration,
) -> Result<Bytes, OwnCallError> {
    let until = Instant::now() + within;
    let Succeeded { head, body, connection } = head_of(app, target, call, permit, until).await?;
    let bounds = ReadBounds { max_bytes: Some(MAX_ANSWER_BYTES), until };
    let body = read_body(body, &app.answer_memory, bounds).await;
    let body = body.map_err(|unread| body_error(app, target, unread))?;
    if !head.closes {
        app.keep_connection(connection, head.keep_alive);
    }
    Ok(body.to_bytes())
}

/// Sends a call of whose answer only the status is of use.
///
/// # Errors
/// Why there is no answer with a success status `within` the time.
pub(crate) async fn own_call_without_answer(
    app: &Rc<App>,
    target: &Target,
    call: OwnCall,
    permit: Permit,
    within: Duration,
) -> Result<(), OwnCallError> {
    let until = Instant::now() + within;
    let Succeeded { head, body, connection } = head_of(app, target, call, permit, until).await?;
    app.discard_body(body, connection, &head);
    Ok(())
}

/// An answer with a success status, and its body still to be read.
struct Succeeded {
    head: AnswerHead,
    body: Incoming,
    connection: TargetConnection,
}

/// Sends a call and returns its answer once the head has arrived. What the head of an answer without
/// success says is returned without its body.
async fn head_of(
    app: &Rc<App>,
    target: &Target,
    call: OwnCall,
    permit: Permit,
    until: Instant,
) -> Result<Succeeded, OwnCallError> {
    let started = now();
    let sent = timeout_at(until, send(app, target, call, permit)).await;
    let (answer, connection) = sent.map_err(|_| OwnCallError::TimedOut)??;
    let (parts, body) = answer.into_parts();
    let head = (app.adapter.calls.read_head)(&parts, &placeholder_id());
    target_announcements::report_unknown_headers(app, target, &parts);
    target_announcements::apply_own_call_answer(app, target, &head, started);
    let error = match head.evidence {
        Evidence::OtherTarget => OwnCallError::OtherTarget,
        Evidence::Declined | Evidence::InputGone => OwnCallError::Declined,
        _ if parts.status.is_success() => return Ok(Succeeded { head, body, connection }),
        _ => OwnCallError::Failed,
    };
    app.discard_body(body, connection, &head);
    Err(error)
}

/// Sends a call and waits for the head of its answer.
async fn send(
    app: &Rc<App>,
    target: &Target,
    call: OwnCall,
    permit: Permit,
) -> Result<(Response<Incoming>, TargetConnection), OwnCallError> {
    let mut req = Request::new(Full::new(call.body));
    *req.method_mut() = call.method;
    *req.uri_mut() = http::Uri::from_static(call.path);
    *req.headers_mut() = call.headers;
    if let Ok(host) = http::HeaderValue::from_str(&target.address.to_string()) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    let mark = SentMark::default();
    let sent = app.connections.send(app, target, req, permit, &mark, UNACKED_TIMEOUT).await;
    sent.map_err(|error| {
        debug!(app.log, "call failed"; "target" => %target.id, "why" => ?error);
        match error {
            SendError::Broke(_) => OwnCallError::Broke,
            SendError::Withheld => OwnCallError::Declined,
            SendError::NotSent(_) => OwnCallError::NotReached,
        }
    })
}

/// Logs and counts an answer that was not read to its end.
fn body_error(app: &App, target: &Target, unread: Unread) -> OwnCallError {
    let Unread { error, bytes } = unread;
    info!(app.log, "answer not read to its end"; "target" => %target.id, "why" => %error,
        "bytes" => bytes);
    app.metrics.answer_not_read(target.service.as_str(), error.name());
    match error {
        ReadError::BrokenOff(_) => OwnCallError::Broke,
        ReadError::TooLate => OwnCallError::TimedOut,
        ReadError::TooLong => OwnCallError::Failed,
    }
}

/// A request ID to read an answer's head with, since these calls have none.
fn placeholder_id() -> RequestId {
    RequestId::new("-").unwrap_or_else(|_| RequestId::generate())
}
