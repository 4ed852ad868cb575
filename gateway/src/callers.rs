//! Accepts callers' HTTP/1 connections and serves each in a task of its own, until it is idle for
//! too long or the process stops. No connection is closed while it holds a request or unread bytes.

use std::convert::Infallible;
use std::io::{ErrorKind, Result};
use std::rc::Rc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use platform_interface::callers::Refusal;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use crate::answers::refusal_bytes;
use crate::app::App;
use crate::caller_connections::{CallerConnection, OpenConnection, RequestInWork, TrackedBody};
use crate::caller_stream::CallerStream;
use crate::requests;
use crate::state_handle::now;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which a connection is checked for being idle too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// The same interval while idle connections are closed during shutdown.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a connection whose sending side was closed after an answer is still read.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Accepts callers' connections until idle connections are closed during shutdown.
pub(crate) async fn accept(app: Rc<App>, listener: TcpListener) {
    let mut closing = app.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_in_task(&app, stream),
            Err(e) => {
                slog::warn!(app.log, "accepting a caller's connection failed"; "why" => %e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    if let Err(e) = accept_queued(&app, listener) {
        slog::warn!(app.log, "accepting a caller's connection failed"; "why" => %e);
    }
}

/// Accepts all connections that wait in the listener's queue, and closes it: the kernel resets those
/// that still wait then.
fn accept_queued(app: &Rc<App>, listener: TcpListener) -> Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                serve_in_task(app, TcpStream::from_std(stream)?);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e)
                if [ErrorKind::ConnectionAborted, ErrorKind::Interrupted].contains(&e.kind()) => {}
            Err(e) => return Err(e),
        }
    }
}

/// Begins to serve a connection. It counts as open at once: a stop must not end before its task has
/// run.
fn serve_in_task(app: &Rc<App>, stream: TcpStream) {
    let Ok(place) = app.caller_budget.connect(now()) else {
        app.metrics.connection_refused();
        return;
    };
    let open = OpenConnection::new(app, stream, place);
    spawn_local(serve(Rc::clone(app), open));
}

/// Serves the requests of one connection and closes it.
async fn serve(app: Rc<App>, open: OpenConnection) {
    if serve_requests(&app, open.connection()).await == End::Answered {
        open.connection().socket.set_closing();
        // A caller that gets an answer before it has sent its whole request goes on sending.
        let socket = &open.connection().socket;
        tokio::select! {
            _ = timeout(LINGER_TIME, socket.discard_rest()) => {}
            () = socket.until_given_up() => {}
        }
    }
}

/// How serving a connection ended.
#[derive(Debug, PartialEq, Eq)]
enum End {
    /// After an answer, or with the caller's closing it.
    Answered,
    /// At rest, or amid a request.
    Closed,
}

/// Serves the requests of one connection until it is to be closed.
async fn serve_requests(app: &Rc<App>, connection: &Rc<CallerConnection>) -> End {
    let service = service_fn(|req| {
        let request = RequestInWork::new(app, connection);
        let (app, connection) = (Rc::clone(app), Rc::clone(connection));
        async move {
            let mut answer = requests::answer(Rc::clone(&app), &connection, req).await;
            if *app.stopping.borrow() || connection.socket.is_given_up() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer.map(|body| TrackedBody { body, _request: request }))
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    let stream = TokioIo::new(CallerStream(Rc::clone(&connection.socket)));
    let mut http = std::pin::pin!(builder.serve_connection(stream, service));
    let ended = tokio::select! {
        biased;
        ended = http.as_mut() => ended,
        why = closed_at_rest(app, connection) => {
            connection.record_end(app, why);
            return End::Closed;
        }
        refusal = connection.until_head_refused(app) => {
            return refuse_head(app, connection, refusal).await;
        }
        () = connection.until_closed_as_unread() => {
            connection.record_failure(app, "answer not read");
            return End::Closed;
        }
        () = connection.until_closed_for_others() => {
            connection.record_end(app, "closed for others");
            return End::Closed;
        }
    };
    match ended {
        Ok(()) => {
            connection.record_end(app, "closed");
            End::Answered
        }
        Err(e) => {
            connection.record_failure(app, failure_cause(&e));
            // The HTTP library answers a malformed request itself.
            if e.is_parse() { End::Answered } else { End::Closed }
        }
    }
}

/// Tells the caller why its head is not read to its end. The HTTP library has no request to answer.
async fn refuse_head(app: &App, connection: &CallerConnection, refusal: Refusal) -> End {
    connection.record_end(app, "head refused");
    if connection.socket.is_write_blocked() {
        return End::Closed;
    }
    let bytes = refusal_bytes(app, refusal);
    match timeout(LINGER_TIME, connection.socket.write_all(&bytes)).await {
        Ok(Ok(())) => End::Answered,
        _ => End::Closed,
    }
}

/// Waits until a connection is at rest, or its answer unread, for as long as it may be, and closes
/// it. Returns why, as logged.
async fn closed_at_rest(app: &App, connection: &CallerConnection) -> &'static str {
    let mut closing = app.closing.subscribe();
    loop {
        let is_closing = *closing.borrow_and_update();
        let ends_at = connection.rest_ends_at(app, is_closing);
        let is_due = ends_at.is_some_and(|ends_at| ends_at <= now());
        if connection.is_unread_for_too_long(app) {
            return "answer not read";
        }
        // The HTTP library was polled just before, but bytes may have arrived since.
        if is_due && connection.socket.close_if_silent() {
            return "closed at rest";
        }
        let interval = if is_closing { CLOSING_CHECK_INTERVAL } else { IDLE_CHECK_INTERVAL };
        let check_at = now() + interval;
        let check_at = ends_at.filter(|_| !is_due).map_or(check_at, |at| at.min(check_at));
        tokio::select! {
            _ = closing.changed(), if !is_closing => {}
            () = sleep_until(check_at.into()) => {}
        }
    }
}

/// Why a connection failed, as logged.
fn failure_cause(error: &hyper::Error) -> &'static str {
    if error.is_incomplete_message() {
        "caller gone"
    } else if error.is_user() {
        "answer cut"
    } else if error.is_parse() {
        "malformed request"
    } else {
        "connection error"
    }
}
