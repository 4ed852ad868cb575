//! The open connections of callers: what each has in work, and when it may be closed.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use caller_budget::Place;
use hyper::body::{Body, Frame, SizeHint};
use platform_interface::callers::Refusal;
use slog::info;
use slotmap::{SlotMap, new_key_type};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::answers::{AnswerBody, StreamCut};
use crate::app::App;
use crate::caller_heads::HeadProblem;
use crate::caller_stream::CallerSocket;
use crate::idle_rest::{GRACE_FACTOR, Rest, RestLimits};
use crate::shutdown::RETRY_ELSEWHERE_AFTER;
use crate::state_handle::now;

/// Limits of connections at rest while no configuration is known.
const DEFAULT_LIMITS: RestLimits =
    RestLimits { idle: Duration::from_secs(60), head: Duration::from_secs(60) };

new_key_type! {
    /// Key of an open connection.
    pub(crate) struct ConnectionKey;
}

/// The open connections of callers. A stop waits for them, since an answer may not have been
/// written yet.
#[derive(Default)]
pub(crate) struct CallerConnections(RefCell<SlotMap<ConnectionKey, Rc<CallerConnection>>>);

impl CallerConnections {
    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Records what the exit of the process takes from each open connection.
    pub(crate) fn record_exit(&self, app: &App) {
        self.0.borrow().values().for_each(|connection| connection.record_end(app, "exit"));
    }
}

/// A caller's connection.
pub(crate) struct CallerConnection {
    pub(crate) socket: Rc<CallerSocket>,
    requests_in_work: Cell<u32>,
    /// Notified when a request that has not arrived whole has to make room for others.
    gives_way: Notify,
    /// Notified when the connection has to be closed, since its caller does not read its answer.
    unread: Arc<Notify>,
    /// Limits in force when the connection last began to rest.
    limits: Cell<RestLimits>,
}

impl CallerConnection {
    /// When the connection may be closed, if no bytes arrive by then; `None` while it has a request
    /// in work or bytes to send.
    pub(crate) fn rest_ends_at(&self, app: &App, is_closing: bool) -> Option<Instant> {
        if self.requests_in_work.get() > 0 || self.socket.is_write_blocked() {
            return None;
        }
        let rest = Rest {
            since: self.socket.moved_at(),
            limits: self.limits.get(),
            request_begun: self.socket.unanswered_since(),
        };
        let exits_at = is_closing.then(|| exits_at(app)).flatten();
        Some(exits_at.map_or_else(
            || rest.ends_at(limits_in_force(app)),
            |exits_at| rest.ends_in_stop_at(exits_at),
        ))
    }

    /// Is told when the connection has to be closed, since its caller does not read its answer.
    pub(crate) fn unread(&self) -> &Arc<Notify> {
        &self.unread
    }

    /// Waits until the connection has to be closed, since its caller does not read its answer.
    pub(crate) async fn until_closed_as_unread(&self) {
        loop {
            self.unread.notified().await;
            // The caller may have read the answer meanwhile.
            if self.socket.is_write_blocked() {
                return;
            }
        }
    }

    /// When the connection may be closed, since its caller has read nothing for as long as it might
    /// be idle; `None` while nothing waits for it.
    fn unread_ends_at(&self, app: &App) -> Option<Instant> {
        let idle = self.limits.get().idle.max(limits_in_force(app).idle);
        self.socket.write_blocked_since().map(|since| since + idle.mul_f64(GRACE_FACTOR))
    }

    /// Whether its caller has read nothing for as long as it might be idle.
    pub(crate) fn is_unread_for_too_long(&self, app: &App) -> bool {
        self.unread_ends_at(app).is_some_and(|ends_at| ends_at <= now())
    }

    /// Waits until the head of a request has to be refused.
    pub(crate) async fn until_head_refused(&self, app: &App) -> Refusal {
        loop {
            self.socket.head.until_stopped().await;
            match self.socket.head.problem(head_bytes_in_force(app)) {
                Some(HeadProblem::TooLong) => return Refusal::HeadTooLarge,
                Some(HeadProblem::NoRoom) => {
                    return Refusal::NotRun { retry_after: RETRY_ELSEWHERE_AFTER };
                }
                // Being polled again, the HTTP library reads on.
                None => {}
            }
        }
    }

    /// Waits until the connection has to be closed to make room for others. A request of which only
    /// a part has arrived is refused instead, which closes the connection as well.
    pub(crate) async fn until_closed_for_others(&self) {
        self.socket.until_given_up().await;
        if self.requests_in_work.get() > 0 {
            self.gives_way.notify_one();
            std::future::pending::<()>().await;
        }
    }

    /// Waits until a request that has not arrived whole has to make room for others.
    pub(crate) async fn until_request_gives_way(&self) {
        self.gives_way.notified().await;
    }

    /// Logs and counts the end of the connection if it leaves a request without its whole answer,
    /// or bytes that were not read.
    pub(crate) fn record_end(&self, app: &App, why: &'static str) {
        let has_work = self.requests_in_work.get() > 0
            || self.socket.unanswered_since().is_some()
            || self.socket.is_write_blocked()
            || self.socket.has_unread();
        if has_work {
            self.record_failure(app, why);
        }
    }

    /// Logs and counts that the connection ended amid a request or an answer.
    pub(crate) fn record_failure(&self, app: &App, why: &'static str) {
        info!(app.log, "connection ended with work left"; "why" => why,
            "in_work" => self.requests_in_work.get(),
            "half_read" => self.requests_in_work.get() == 0
                && self.socket.unanswered_since().is_some(),
            "unsent" => self.socket.is_write_blocked(), "unread" => self.socket.has_unread());
        app.metrics.connection_ended_with_work(why);
    }
}

/// Keeps a connection among the open ones until dropped.
pub(crate) struct OpenConnection {
    app: Rc<App>,
    key: ConnectionKey,
    connection: Rc<CallerConnection>,
}

impl OpenConnection {
    /// Registers an accepted connection.
    pub(crate) fn new(app: &Rc<App>, stream: TcpStream, place: Place) -> Self {
        let connection = Rc::new(CallerConnection {
            socket: CallerSocket::new(stream, place),
            requests_in_work: Cell::new(0),
            gives_way: Notify::new(),
            unread: Arc::default(),
            limits: Cell::new(limits_in_force(app)),
        });
        connection.socket.head.await_next(head_bytes_in_force(app));
        let key = app.caller_connections.0.borrow_mut().insert(Rc::clone(&connection));
        OpenConnection { app: Rc::clone(app), key, connection }
    }

    /// The connection.
    pub(crate) fn connection(&self) -> &Rc<CallerConnection> {
        &self.connection
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.app.caller_connections.0.borrow_mut().remove(self.key);
    }
}

/// Marks its connection as not at rest until dropped, at the end of the answer.
pub(crate) struct RequestInWork {
    app: Rc<App>,
    connection: Rc<CallerConnection>,
}

impl RequestInWork {
    /// Registers a request whose head was read.
    pub(crate) fn new(app: &Rc<App>, connection: &Rc<CallerConnection>) -> Self {
        connection.requests_in_work.update(|requests| requests + 1);
        connection.socket.set_head_complete();
        RequestInWork { app: Rc::clone(app), connection: Rc::clone(connection) }
    }
}

impl Drop for RequestInWork {
    fn drop(&mut self) {
        self.connection.requests_in_work.update(|requests| requests - 1);
        self.connection.limits.set(limits_in_force(&self.app));
        self.connection.socket.set_answered();
        self.connection.socket.head.await_next(head_bytes_in_force(&self.app));
    }
}

/// The body of an answer, whose request is in work until the body has been taken to its end.
pub(crate) struct TrackedBody {
    pub(crate) body: AnswerBody,
    pub(crate) _request: RequestInWork,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The limits that are in force.
fn limits_in_force(app: &App) -> RestLimits {
    app.state.with(|shared, _| {
        shared.intent.as_ref().map_or(DEFAULT_LIMITS, |intent| RestLimits {
            idle: intent.bounds.idle_wait,
            head: intent.bounds.head_wait,
        })
    })
}

/// The configured size of a head that is in force, in bytes.
fn head_bytes_in_force(app: &App) -> Option<usize> {
    app.state.with(|shared, _| shared.intent.as_ref().map(|intent| intent.bounds.head_bytes))
}

/// When the process exits, if it is stopping.
fn exits_at(app: &App) -> Option<Instant> {
    app.state.with(|shared, _| shared.stop.map(|plan| plan.exits_at()))
}
