//! Calls to targets that are no caller's: a pool's calls, and word that results are given up.

use std::rc::Rc;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use ids::RequestId;
use intent::Target;
use platform_adapter::calls::{Evidence, OwnCall};
use slog::debug;

use crate::app::App;
use crate::connections::SendError;
use crate::hub::now;
use crate::permits::Permit;
use crate::target_announcements;

/// Why a call of this system's own brought no answer.
#[derive(Debug)]
pub(crate) enum OwnCallError {
    Declined,
    OtherTarget,
    /// Nothing was sent.
    NotReached,
    /// Its connection ended before the answer was whole.
    Broke,
    TimedOut,
    Failed,
}

/// Sends a call that is no caller's and reads its answer.
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
    let began = now();
    let sent = app.connections.send(target, req, permit).await;
    let (answer, carrier) = sent.map_err(|miss| {
        debug!(app.log, "call failed"; "target" => %target.id, "why" => ?miss);
        match miss {
            SendError::Broke(_) => OwnCallError::Broke,
            SendError::Withheld => OwnCallError::Declined,
            SendError::NotSent(_) | SendError::GivenUp(_) => OwnCallError::NotReached,
        }
    })?;
    let (head, body) = answer.into_parts();
    let read = (app.adapter.calls.read_head)(&head, &no_request());
    target_announcements::report_unknown_headers(app, target, &head);
    target_announcements::apply_own_call_answer(app, target, &read, began);
    let body = body.collect().await.map_err(|_| OwnCallError::Broke)?.to_bytes();
    if !read.closes {
        app.rest(carrier, read.keep_alive);
    }
    match read.evidence {
        Evidence::OtherTarget => Err(OwnCallError::OtherTarget),
        Evidence::Declined | Evidence::InputGone => Err(OwnCallError::Declined),
        _ if head.status.is_success() => Ok(body),
        _ => Err(OwnCallError::Failed),
    }
}

/// Calls of this system's own carry no request's id.
fn no_request() -> RequestId {
    RequestId::new("-").unwrap_or_else(|_| RequestId::generate())
}
