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
use platform_interface::calls::{AnswerHead, Evidence, OwnCall, PieceAnswer, PieceCall};
use slog::{debug, info};
use tokio::time::{Instant, timeout_at};

use crate::app::App;
use crate::bounded_reads::{ReadBounds, ReadError, Unread, read_body};
use crate::connections::{SendError, SendRules, SentMark, TargetConnection, UNACKED_TIMEOUT};
use crate::idle_connections::Purpose;
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

/// Asks a worker for its report.
///
/// # Errors
/// Why there is no answer with a success status `within` the time.
pub(crate) async fn ask_for_report(
    app: &Rc<App>,
    worker: &Target,
    permit: Permit,
    within: Duration,
) -> Result<Bytes, OwnCallError> {
    let until = Instant::now() + within;
    let call = (app.adapter.calls.report)(&worker.id);
    let succeeded = head_of(app, worker, call, permit, Purpose::Notices, until).await?;
    let Succeeded { head, body, connection } = succeeded;
    let body = read(app, worker, body, until).await?;
    if !head.closes {
        app.keep_connection(connection, head.keep_alive);
    }
    Ok(body)
}

/// Has a worker run pieces; returns an answer for each of them.
///
/// # Errors
/// Why there is no answer with a success status `within` the time, or that it belongs to another
/// call.
pub(crate) async fn run_pieces(
    app: &Rc<App>,
    worker: &Target,
    pieces: &[PieceCall],
    permit: Permit,
    within: Duration,
) -> Result<Vec<PieceAnswer>, OwnCallError> {
    let until = Instant::now() + within;
    let call = (app.adapter.calls.pool_call)(&worker.id, pieces);
    let succeeded = head_of(app, worker, call, permit, Purpose::Pieces, until).await?;
    let Succeeded { head, body, mut connection } = succeeded;
    let body = read(app, worker, body, until).await?;
    let answers = (app.adapter.calls.read_pool_answer)(&body).map_err(|e| {
        info!(app.log, "pool answer could not be parsed"; "why" => %e);
        OwnCallError::Failed
    })?;
    let mut handles = answers.iter().filter_map(PieceAnswer::handle).peekable();
    // A second copy of an answer that names no result could not be told from the next answer.
    let may_reuse = handles.peek().is_some() && !head.closes;
    let is_of_call = answers.len() == pieces.len() && connection.named_results().are_new(handles);
    if !is_of_call {
        info!(app.log, "answer of another call"; "target" => %worker.id,
            "pieces" => pieces.len(), "answers" => answers.len());
        app.metrics.answer_to_other_attempt(worker.id.as_str());
        return Err(OwnCallError::Failed);
    }
    if may_reuse {
        app.keep_connection(connection, head.keep_alive);
    }
    Ok(answers)
}

/// Reads the body of an answer, up to [`MAX_ANSWER_BYTES`].
async fn read(
    app: &App,
    target: &Target,
    body: Incoming,
    until: Instant,
) -> Result<Bytes, OwnCallError> {
    let bounds = ReadBounds { max_bytes: Some(MAX_ANSWER_BYTES), until };
    let body = read_body(body, &app.answer_memory, bounds).await;
    body.map(|body| body.to_bytes()).map_err(|unread| body_error(app, target, unread))
}

/// Has a worker release results.
///
/// # Errors
/// Why there is no answer with a success status `within` the time.
pub(crate) async fn release(
    app: &Rc<App>,
    worker: &Target,
    handles: &[String],
    permit: Permit,
    within: Duration,
) -> Result<(), OwnCallError> {
    let until = Instant::now() + within;
    let call = (app.adapter.calls.release)(&worker.id, handles);
    let succeeded = head_of(app, worker, call, permit, Purpose::Notices, until).await?;
    let Succeeded { head, body, connection } = succeeded;
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
    purpose: Purpose,
    until: Instant,
) -> Result<Succeeded, OwnCallError> {
    let started = now();
    let sent = timeout_at(until, send(app, target, call, permit, purpose)).await;
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
    // A second copy of a refusal could not be told from the next answer to a call of pieces.
    if purpose != Purpose::Pieces {
        app.discard_body(body, connection, &head);
    }
    Err(error)
}

/// Sends a call and waits for the head of its answer.
async fn send(
    app: &Rc<App>,
    target: &Target,
    call: OwnCall,
    permit: Permit,
    purpose: Purpose,
) -> Result<(Response<Incoming>, TargetConnection), OwnCallError> {
    let mut req = Request::new(Full::new(call.body));
    *req.method_mut() = call.method;
    *req.uri_mut() = http::Uri::from_static(call.path);
    *req.headers_mut() = call.headers;
    if let Ok(host) = http::HeaderValue::from_str(&target.address.to_string()) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    let mark = SentMark::default();
    let rules = SendRules { purpose, mark: &mark, unacked_limit: UNACKED_TIMEOUT };
    let sent = app.connections.send(app, target, req, permit, rules).await;
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
