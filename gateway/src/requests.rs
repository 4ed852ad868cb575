//! Serves one caller request: checks it, reads its body, runs it and logs how it ended.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use caller_budget::{Charge, NoRoom};
use eligibility::AllowedHalls;
use http::request::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use ids::{CustomerName, RequestId, ServiceName};
use intent::{Customer, Entry, Intent};
use platform_interface::callers::{CallerHead, Refusal};
use quarantine::{RequestDigest, RequestParts, Suspect};
use slog::info;
use tokio::sync::Notify;

use crate::active_requests::{ActiveRequestGuard, ActiveRequestKey};
use crate::answers::{AnswerBody, refusal};
use crate::app::App;
use crate::caller_connections::CallerConnection;
use crate::shutdown::RETRY_ELSEWHERE_AFTER;
use crate::state_handle::now;
use crate::{active_requests, caller_bodies, crashes, shutdown, streams, whole_answers};

/// Most pieces of a request, over all its stages.
const MAX_PIECES: u64 = 1024;
/// Memory that a piece takes until the request has ended, in bytes.
const PIECE_BYTES: usize = 256;

/// A request that passed the checks and may be served.
pub(crate) struct AcceptedRequest {
    pub(crate) id: RequestId,
    pub(crate) active_key: ActiveRequestKey,
    /// Digest of the request's content. It is the same for each repeat of the same request.
    pub(crate) digest: RequestDigest,
    /// Parts of the prompt that other requests may have, in case one crashes its targets.
    pub(crate) prompt_parts: Rc<[Suspect]>,
    pub(crate) head: CallerHead,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    /// Is told when the caller's connection has to be closed, since the caller does not read.
    pub(crate) unread: Arc<Notify>,
    /// Counts the memory for its pieces.
    _pieces: Charge,
    /// The configuration that the request was checked against.
    pub(crate) intent: Arc<Intent>,
    pub(crate) entry: Arc<Entry>,
    /// The service that answers the request, after its stages if it has any.
    pub(crate) service: ServiceName,
    /// The customer whose key the request carries, if the entry requires one.
    pub(crate) customer: Option<CustomerName>,
    /// Urgency; 0 is the most urgent.
    pub(crate) urgency: u8,
    /// Halls in which it may be served.
    pub(crate) allowed_halls: AllowedHalls,
    pub(crate) arrived: Instant,
    /// When the caller no longer has a use for the answer, or the entry's longest duration is over.
    pub(crate) deadline: Instant,
}

/// Logs, when dropped before an answer was returned, that the caller closed its connection.
struct RequestEndLog<'a> {
    app: &'a App,
    req: &'a AcceptedRequest,
    logged: bool,
}

impl Drop for RequestEndLog<'_> {
    fn drop(&mut self) {
        if !self.logged {
            info!(self.app.log, "request ended"; "request" => %self.req.id,
                "entry" => &self.req.entry.name, "outcome" => "caller gone",
                "took_ms" => (now() - self.req.arrived).as_millis());
        }
    }
}

/// Answers one caller request.
pub(crate) async fn answer(
    app: Rc<App>,
    connection: &CallerConnection,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = now();
    let (parts, body) = req.into_parts();
    let head = (app.adapter.callers.read)(&parts);
    let id = head.id.clone();
    let active = ActiveRequestGuard::new(&app, id.clone(), arrived);
    let accepted = tokio::select! {
        accepted = accept(&app, connection, parts, head, body, active.key()) => accepted,
        () = connection.until_request_gives_way() => Err(("gave way to others", retry_elsewhere())),
        rejection = shutdown::until_refused(&app, active.key()) => Err(("stopping", rejection)),
    };
    let accepted = match accepted {
        Ok(accepted) => accepted,
        Err((why, rejection)) => {
            info!(app.log, "request ended"; "request" => id.as_ref().map(ToString::to_string),
                "outcome" => "refused", "why" => why, "took_ms" => (now() - arrived).as_millis());
            app.metrics.request_ended("-", "-", why, now() - arrived);
            return refusal(&app, rejection, id.as_ref());
        }
    };
    serve(&app, Rc::new(accepted), Rc::new(active)).await
}

/// Serves an accepted request and logs its end; stops early if the process stops.
async fn serve(
    app: &Rc<App>,
    req: Rc<AcceptedRequest>,
    active: Rc<ActiveRequestGuard>,
) -> Response<AnswerBody> {
    let mut end_log = RequestEndLog { app, req: &req, logged: false };
    let (answer, outcome) = tokio::select! {
        served = serve_to_end(app, &req, &active) => served,
        rejection = shutdown::until_refused(app, req.active_key) =>
            (refusal(app, rejection, Some(&req.id)), "stopping"),
    };
    end_log.logged = true;
    let took = now() - req.arrived;
    info!(app.log, "request ended"; "request" => %req.id, "entry" => &req.entry.name,
        "outcome" => outcome, "status" => answer.status().as_u16(), "took_ms" => took.as_millis(),
        "configuration" => req.intent.version);
    let customer = req.customer.as_ref().map_or("-", |name| name.as_str());
    app.metrics.request_ended(&req.entry.name, customer, outcome, took);
    answer
}

/// Serves a request to its end, unless it is quarantined or the process is stopping. Returns the
/// answer and the outcome for the log and metrics.
async fn serve_to_end(
    app: &Rc<App>,
    req: &Rc<AcceptedRequest>,
    active: &Rc<ActiveRequestGuard>,
) -> (Response<AnswerBody>, &'static str) {
    if let Some(rejection) = crashes::refusal(app, req, false) {
        return (refusal(app, rejection, Some(&req.id)), "quarantined");
    }
    if let Some(rejection) = shutdown::refusal(app, req) {
        return (refusal(app, rejection, Some(&req.id)), "stopping");
    }
    if req.entry.streams {
        streams::answer(app, req, Box::new(Rc::clone(active))).await
    } else {
        whole_answers::answer(app, req).await
    }
}

/// Checks a request against the configuration in force and reads its body. An error holds the
/// reason for the log and the refusal for the caller.
async fn accept(
    app: &App,
    connection: &CallerConnection,
    parts: Parts,
    head: CallerHead,
    body: Incoming,
    active_key: ActiveRequestKey,
) -> Result<AcceptedRequest, (&'static str, Refusal)> {
    let arrived = now();
    let intent = app.state.with(|shared, _| shared.intent.clone());
    let intent = intent.ok_or(("no configuration", retry_elsewhere()))?;
    check_takes_requests(app)?;
    let id = head.id.clone().ok_or(("no id", Refusal::Malformed))?;
    let host = host_of(&parts).unwrap_or_default();
    // A newer configuration may allow what this one denies: while this VM may be behind, the caller
    // is told to retry elsewhere instead of being denied.
    let deny = |why, denial| {
        let may_be_behind = app.state.with(|shared, now| shared.may_be_behind(now));
        if may_be_behind {
            ("configuration may be behind", retry_elsewhere())
        } else {
            (why, denial)
        }
    };
    let entry = intent.entry(&host, parts.uri.path());
    let entry = Arc::clone(entry.ok_or_else(|| deny("no entry", Refusal::NoEntry))?);
    let customer = customer_of(&intent, &entry, &head);
    let customer = customer.map_err(|(why, denial)| deny(why, denial))?;
    let service = entry.service_for(hashing::hash_text(service_id(&entry, &head, &id))).cloned();
    let service = service.ok_or(("no entry", Refusal::NoEntry))?;
    let time_left = head.time_left.unwrap_or(entry.max_duration).min(entry.max_duration);
    let deadline = arrived + time_left;
    let pieces = piece_count(&head, &entry).ok_or(("too many pieces", Refusal::Malformed))?;
    let charge = connection.socket.charge();
    let counted = charge.resize(pieces * PIECE_BYTES, arrived);
    counted.map_err(|NoRoom| ("no room for the pieces", retry_elsewhere()))?;
    let body = caller_bodies::read(&connection.socket, body, intent.bounds.body_bytes, deadline);
    let body = body.await.map_err(|e| (e.reason(), e.refusal()))?;
    // The body may have arrived long after the head.
    check_takes_requests(app)?;
    connection.socket.set_in_work();
    let response_time = app.state.with(|shared, now| {
        shared.count_request(&service, now);
        shared.response_time(&entry.name)
    });
    active_requests::update(app, active_key, |request| request.response_time = response_time);
    let urgency = customer.as_ref().and_then(|c| c.urgency).unwrap_or(entry.urgency);
    let restrictions = [
        entry.allowed_regions.as_ref(),
        customer.as_ref().and_then(|customer| customer.allowed_regions.as_ref()),
    ];
    let allowed_halls = AllowedHalls::within(&app.cfg.regions, &restrictions);
    let customer = customer.map(|customer| customer.name.clone());
    let digest = request_digest(&parts, &host, customer.as_ref(), &body);
    let prompt_parts = Suspect::prompt_parts(head.prompt.iter().map(|part| part.id)).into();
    Ok(AcceptedRequest {
        id,
        active_key,
        digest,
        prompt_parts,
        head,
        parts,
        body,
        unread: Arc::clone(connection.unread()),
        _pieces: charge,
        intent,
        entry,
        service,
        customer,
        urgency,
        allowed_halls,
        arrived,
        deadline,
    })
}

/// Number of pieces of a request; `None` if it has more than [`MAX_PIECES`].
fn piece_count(head: &CallerHead, entry: &Entry) -> Option<usize> {
    let by_stage = head.pieces.iter().take(entry.stages.len());
    let pieces: u64 = by_stage.map(|pieces| u64::from(*pieces)).sum();
    usize::try_from(pieces).ok().filter(|_| pieces <= MAX_PIECES)
}

/// The refusal of a request that another VM may serve.
fn retry_elsewhere() -> Refusal {
    Refusal::NotRun { retry_after: RETRY_ELSEWHERE_AFTER }
}

/// The id by which a service is drawn among those of the entry: a stream that the caller takes up
/// stays at the service that began it.
fn service_id<'a>(entry: &Entry, head: &'a CallerHead, id: &'a RequestId) -> &'a str {
    let is_resumption = entry.streams && entry.repeatable && head.last_event.is_some();
    let first = head.resumes.as_ref().filter(|_| is_resumption);
    first.unwrap_or(id).as_str()
}

/// Digest of the request's content, computed once before it is sent to any target.
fn request_digest(
    parts: &Parts,
    host: &str,
    customer: Option<&CustomerName>,
    body: &[u8],
) -> RequestDigest {
    RequestDigest::of(&RequestParts {
        method: parts.method.as_str(),
        host,
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        customer: customer.map(CustomerName::as_str),
        body,
    })
}

/// Checks that the process is not stopping, or that its load balancer may not have noticed that yet.
/// A request that is complete later might not end before the process.
fn check_takes_requests(app: &App) -> Result<(), (&'static str, Refusal)> {
    app.state.with(|shared, now| match shared.stop {
        Some(plan) if !plan.takes_requests(now) => {
            Err(("stopping", shared.retry_later_refusal(now)))
        }
        _ => Ok(()),
    })
}

/// The customer whose key the request carries; `None` for public entries and for configurations
/// without customers.
fn customer_of(
    intent: &Intent,
    entry: &Entry,
    head: &CallerHead,
) -> Result<Option<Arc<Customer>>, (&'static str, Refusal)> {
    let Some(customers) = intent.customers.as_ref().filter(|_| !entry.public) else {
        return Ok(None);
    };
    let customer = head.key.as_ref().and_then(|key| customers.get(key)).cloned();
    customer.map(Some).ok_or(("key not known", Refusal::UnknownKey))
}

/// The requested host in lower case, without its port.
fn host_of(parts: &Parts) -> Option<String> {
    let named = parts.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let host = named.or(parts.uri.host())?;
    let host = host.split_once(':').map_or(host, |(host, _)| host);
    Some(host.to_ascii_lowercase())
}

/// Builds a call to a target with the caller's method, path and body.
pub(crate) fn build_call(req: &AcceptedRequest, headers: http::HeaderMap) -> Request<Full<Bytes>> {
    let mut call = Request::new(Full::new(req.body.clone()));
    *call.method_mut() = req.parts.method.clone();
    *call.uri_mut() = origin_form(&req.parts.uri);
    *call.headers_mut() = headers;
    call
}

/// Reduces a URI to path and query, the form in which targets are called.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map(http::Uri::from).unwrap_or_else(|| uri.clone())
}
