//! Calls that the gateway makes to targets itself, instead of forwarding a caller's request: calls
//! of a pool, notices that results are released, and requests for a worker's report.

use std::rc::Rc;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use ids::RequestId;
use intent::Target;
use platform_interface::calls::{Evidence, OwnCall};
use slog::debug;

use crate::app::App;
use crate::connections::{SendError, SentMark, UNACKED_TIMEOUT};
use crate::permits::Permit;
use crate::state_handle::now;
use crate::target_announcements;

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

/// Sends a call and reads its answer.
///
/// # Errors
/// Why there is no answer with a success status. There is no timeout here: the calling functions
/// set their own, for which [`OwnCallError::TimedOut`] is meant.
pub(crate) async fn own_call(
    app: &Rc<App>,
    target: &Target,
    call: OwnCall,
    permit: Permit,
) -> Result<bytes::Bytes, OwnCallError> {
    let mut req = Request::new(Full::new(call.body));
    *req.method_mut() = call.method;
    *req.uri_mut() = http::Uri::from_static(call.path);
    *req.headers_mut() = call.headers;
    if let Ok(host) = http::HeaderValue::from_str(&target.address.to_string()) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    let started = now();
    let mark = SentMark::default();
    let sent = app.connections.send(app, target, req, permit, &mark, UNACKED_TIMEOUT).await;
    let (answer, connection) = sent.map_err(|error| {
        debug!(app.log, "call failed"; "target" => %target.id, "why" => ?error);
        match error {
            SendError::Broke(_) => OwnCallError::Broke,
            SendError::Withheld => OwnCallError::Declined,
            SendError::NotSent(_) => OwnCallError::NotReached,
        }
    })?;
    let (head, body) = answer.into_parts();
    let parsed = (app.adapter.calls.read_head)(&head, &placeholder_id());
    target_announcements::report_unknown_headers(app, target, &head);
    target_announcements::apply_own_call_answer(app, target, &parsed, started);
    let body = body.collect().await.map_err(|_| OwnCallError::Broke)?.to_bytes();
    if !parsed.closes {
        app.keep_connection(connection, parsed.keep_alive);
    }
    match parsed.evidence {
        Evidence::OtherTarget => Err(OwnCallError::OtherTarget),
        Evidence::Declined | Evidence::InputGone => Err(OwnCallError::Declined),
        _ if head.status.is_success() => Ok(body),
        _ => Err(OwnCallError::Failed),
    }
}

/// A request ID to read an answer's head with, since these calls have none.
fn placeholder_id() -> RequestId {
    RequestId::new("-").unwrap_or_else(|_| RequestId::generate())
}
