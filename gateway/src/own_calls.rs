//! Calls to targets that are no caller's: a pool's calls, and word that results are given up.

use std::rc::Rc;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use ids::RequestId;
use intent::Target;
use platform_adapter::calls::{Evidence, OwnCall};
use slog::debug;

use crate::app::App;
use crate::connections::NoAnswer;
use crate::hub::now;
use crate::permits::Permit;
use crate::target_words;

/// Why a call of this system's own brought no answer.
#[derive(Debug)]
pub(crate) enum OwnCallMiss {
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
) -> Result<bytes::Bytes, OwnCallMiss> {
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
            NoAnswer::Broke(_) => OwnCallMiss::Broke,
            NoAnswer::Withheld => OwnCallMiss::Declined,
            NoAnswer::NotSent(_) | NoAnswer::GivenUp(_) => OwnCallMiss::NotReached,
        }
    })?;
    let (head, body) = answer.into_parts();
    let read = (app.adapter.calls.read_head)(&head, &no_request());
    target_words::look_for_unknown(app, target, &head);
    target_words::heard_of_own_call(app, target, &read, began);
    let body = body.collect().await.map_err(|_| OwnCallMiss::Broke)?.to_bytes();
    if !read.closes {
        app.rest(carrier, read.keep_alive);
    }
    match read.evidence {
        Evidence::OtherTarget => Err(OwnCallMiss::OtherTarget),
        Evidence::Declined | Evidence::InputGone => Err(OwnCallMiss::Declined),
        _ if head.status.is_success() => Ok(body),
        _ => Err(OwnCallMiss::Failed),
    }
}

/// Calls of this system's own carry no request's id.
fn no_request() -> RequestId {
    RequestId::new("-").unwrap_or_else(|_| RequestId::generate())
}
