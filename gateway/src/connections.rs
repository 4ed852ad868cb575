//! HTTP/1 connections to targets. Idle connections are kept for reuse; a connection whose call is
//! abandoned is closed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use ids::{TargetName, VmName};
use intent::Target;
use platform_interface::calls::AnswerHead;
use socket2::{SockRef, Socket};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::app::App;
use crate::bounded_reads::discard;
use crate::head_limit::{HeadAllowance, start_http1};
use crate::idle_connections::{Purpose, max_idle};
use crate::named_results::NamedResults;
use crate::permits::Permit;
use crate::state_handle::now;
use crate::target_connecting::{self, Relayed, TargetStream};

/// Longest wait for a new connection. Halls are milliseconds apart. A lost SYN is sent again only
/// after a second or more, long after another target could have been tried.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection fails if sent bytes are not acknowledged within this time: the other end is then
/// taken as unreachable. The kernel counts a target that reads nothing as well.
pub(crate) const UNACKED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that a connection stays idle before it is reused, so that an unexpected extra answer to the
/// last request is noticed and closes the connection.
pub(crate) const REUSE_DELAY: Duration = Duration::from_millis(12);
/// Longest idle time after which a connection is still reused, also if its target names no
/// keep-alive time or a longer one.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Fraction of the target's keep-alive time for which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// The body of a call.
pub(crate) type CallBody = Full<Bytes>;

/// How a call is sent.
pub(crate) struct SendRules<'a> {
    pub(crate) purpose: Purpose,
    /// Set as soon as bytes may be sent.
    pub(crate) mark: &'a SentMark,
    /// Time within which sent bytes have to be acknowledged.
    pub(crate) unacked_limit: Duration,
}

/// Why a call gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte of the call was sent.
    NotSent(String),
    /// No byte of the call was sent, since its target takes no new work any more.
    Withheld,
    /// The connection ended after part of the call may have been sent, so it may have run.
    Broke(String),
}

/// Whether any byte of a call may have been sent; clones share the mark. It outlives a call that is
/// dropped because its time is up.
#[derive(Debug, Clone, Default)]
pub(crate) struct SentMark(Rc<watch::Sender<bool>>);

impl SentMark {
    /// Whether the call may have reached its target.
    pub(crate) fn is_set(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until [`SentMark::is_set`] returns this value.
    pub(crate) async fn until(&self, is_set: bool) {
        // The sender lives as long as the mark.
        drop(self.0.subscribe().wait_for(|value| *value == is_set).await);
    }

    pub(crate) fn set(&self, may_be_sent: bool) {
        self.0.send_replace(may_be_sent);
    }
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum ConnectError {
    /// the address refuses connections
    Refused,
    /// {0}
    Failed(String),
}

/// A connection with a call under way. It is closed on drop.
pub(crate) struct TargetConnection {
    target: TargetName,
    purpose: Purpose,
    /// The results that its answers named.
    named_results: NamedResults,
    sender: SendRequest<CallBody>,
    /// Bounds the bytes of an answer's head.
    head: HeadAllowance,
    task: AbortHandle,
    /// The socket, to set its options; `None` if a peer relays the connection or it has ended.
    socket: Rc<Cell<Option<Socket>>>,
    /// The peer that relays the connection, if it is not a direct one.
    relay: Option<VmName>,
}

impl TargetConnection {
    /// The results that the answers on this connection named.
    pub(crate) fn named_results(&mut self) -> &mut NamedResults {
        &mut self.named_results
    }

    /// The peer that relays the connection, if it is not a direct one.
    pub(crate) fn relay(&self) -> Option<&VmName> {
        self.relay.as_ref()
    }

    /// Sends a call and waits for the head of its answer.
    async fn call(
        &mut self,
        req: Request<CallBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<CallBody>>> {
        self.head.begin();
        let answer = self.sender.try_send_request(req).await;
        self.head.end();
        answer
    }

    /// Sets the time within which sent bytes have to be acknowledged.
    fn set_unacked_limit(&self, limit: Duration) {
        if let Some(socket) = self.socket.take() {
            // Without it the limit stays as it is.
            drop(socket.set_tcp_user_timeout(Some(limit)));
            self.socket.set(Some(socket));
        }
    }
}

/// A connection that has been idle since `since` and may be reused until `until`.
struct IdleConnection {
    connection: TargetConnection,
    since: Instant,
    until: Instant,
}

/// Idle connections, by target and purpose.
#[derive(Default)]
pub(crate) struct Connections {
    idle: RefCell<HashMap<(TargetName, Purpose), Vec<IdleConnection>>>,
}

impl Connections {
    /// Sends a call, which uses up a permit, and waits for the head of its answer. The
    /// connection fails if bytes are not acknowledged in time.
    ///
    /// # Errors
    /// `Withheld` if the permit is no longer valid, `NotSent` if no byte was sent, `Broke` if the
    /// connection ended before the head arrived.
    pub(crate) async fn send(
        &self,
        app: &Rc<App>,
        target: &Target,
        req: Request<CallBody>,
        permit: Permit,
        rules: SendRules<'_>,
    ) -> Result<(Response<Incoming>, TargetConnection), SendError> {
        let SendRules { purpose, mark, unacked_limit } = rules;
        let mut req = req;
        if !permit.is_valid() {
            return Err(SendError::Withheld);
        }
        // The target may have closed an idle connection before anything was written; then the next
        // one is tried.
        while let Some(mut connection) = self.take(&target.id, purpose) {
            connection.set_unacked_limit(unacked_limit);
            mark.set(true);
            match connection.call(req).await {
                Ok(answer) => return Ok((answer, connection)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => {
                        mark.set(false);
                        req = unsent;
                    }
                    None => {
                        target_connecting::check_path(app, target);
                        return Err(SendError::Broke(e.into_error().to_string()));
                    }
                },
            }
        }
        let mut connection = open(app, target, purpose).await?;
        if !permit.is_valid() {
            return Err(SendError::Withheld);
        }
        connection.set_unacked_limit(unacked_limit);
        mark.set(true);
        match connection.call(req).await {
            Ok(answer) => Ok((answer, connection)),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                mark.set(!unsent);
                let problem = e.into_error().to_string();
                Err(if unsent { SendError::NotSent(problem) } else { SendError::Broke(problem) })
            }
        }
    }

    /// Stores a connection whose answer was read to its end, unless its target already has
    /// `max_idle_count` idle ones for the purpose.
    fn put(
        &self,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
        max_idle_count: usize,
    ) {
        let since = now();
        let max_idle_time = keep_alive
            .map_or(MAX_IDLE_TIME, |keep_alive| keep_alive.mul_f64(KEEP_ALIVE_FRACTION))
            .min(MAX_IDLE_TIME);
        let mut idle = self.idle.borrow_mut();
        let per_target = idle.entry((connection.target.clone(), connection.purpose)).or_default();
        if per_target.len() < max_idle_count {
            per_target.push(IdleConnection { connection, since, until: since + max_idle_time });
        }
    }

    /// Closes the idle connections to a target.
    pub(crate) fn close_idle(&self, target: &TargetName) {
        self.idle.borrow_mut().retain(|(of, _), _| of != target);
    }

    /// Closes all idle connections.
    pub(crate) fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for too long, and drops those that targets closed.
    pub(crate) fn close_expired(&self) {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        for per_target in idle.values_mut() {
            per_target.retain(|r| r.until > now && !r.connection.sender.is_closed());
        }
        idle.retain(|_, per_target| !per_target.is_empty());
    }

    /// Takes the most recently used connection that has been idle for [`REUSE_DELAY`].
    fn take(&self, target: &TargetName, purpose: Purpose) -> Option<TargetConnection> {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        let per_target = idle.get_mut(&(target.clone(), purpose))?;
        per_target.retain(|r| r.until > now && !r.connection.sender.is_closed());
        let is_reusable = |r: &IdleConnection| {
            now.saturating_duration_since(r.since) >= REUSE_DELAY && r.connection.sender.is_ready()
        };
        let index = per_target.iter().rposition(is_reusable)?;
        Some(per_target.remove(index).connection)
    }
}

impl App {
    /// Reads the rest of an answer that is of no use, in the background, and keeps its connection for
    /// reuse if that ends soon.
    pub(crate) fn discard_body(
        self: &Rc<Self>,
        body: Incoming,
        connection: TargetConnection,
        answer: &AnswerHead,
    ) {
        if answer.closes {
            return;
        }
        let (app, keep_alive) = (Rc::clone(self), answer.keep_alive);
        tokio::task::spawn_local(async move {
            if discard(body).await.is_ok() {
                app.keep_connection(connection, keep_alive);
            }
        });
    }

    /// Keeps a connection for reuse after its answer was read to its end. All VMs together keep no
    /// more idle connections to a target than it accepts.
    pub(crate) fn keep_connection(
        &self,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
    ) {
        if connection.relay.is_some() {
            // The next call may go there directly again, and the relaying VM may be stopping.
            return;
        }
        let max_idle_count = self.state.with(|shared, _| {
            let service = shared.targets.service_of(&connection.target)?;
            let limit = shared.intent.as_ref()?.services.get(service)?.connections;
            let limit = usize::try_from(limit).ok().filter(|limit| *limit > 0);
            Some(max_idle(connection.purpose, limit, shared.fleet.size()))
        });
        let unlimited = || max_idle(connection.purpose, None, 1);
        let max_idle_count = max_idle_count.unwrap_or_else(unlimited);
        self.connections.put(connection, keep_alive, max_idle_count);
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection to a target.
async fn open(
    app: &Rc<App>,
    target: &Target,
    purpose: Purpose,
) -> Result<TargetConnection, SendError> {
    let stream = target_connecting::connect_to(app, target).await;
    let to = (target.id.clone(), purpose);
    match stream.map_err(|e| SendError::NotSent(e.to_string()))? {
        TargetStream::Direct(stream) => {
            let socket = SockRef::from(&stream).try_clone().ok();
            start_http(to, stream, socket, None).await
        }
        TargetStream::Relayed(relayed) => {
            let Relayed { vm, stream } = *relayed;
            start_http(to, stream, None, Some(vm)).await
        }
    }
}

/// Starts HTTP on an open connection.
async fn start_http<S>(
    (target, purpose): (TargetName, Purpose),
    stream: S,
    socket: Option<Socket>,
    relay: Option<VmName>,
) -> Result<TargetConnection, SendError>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let head = HeadAllowance::default();
    let started = start_http1(stream, &head).await;
    let (sender, connection) = started.map_err(|e| SendError::NotSent(e.to_string()))?;
    let socket = Rc::new(Cell::new(socket));
    let open_socket = Rc::clone(&socket);
    let running = async move {
        // The sender notices the end of the connection; the error adds nothing.
        drop(connection.await);
        drop(open_socket.take());
    };
    let task = tokio::task::spawn_local(running).abort_handle();
    Ok(TargetConnection {
        target,
        purpose,
        named_results: NamedResults::default(),
        sender,
        head,
        task,
        socket,
        relay,
    })
}

/// Opens a TCP connection with a connect timeout and a limit for unacknowledged data.
///
/// # Errors
/// That the address refuses connections, the text of another error of the operating system, or that
/// the connection was not open in time.
pub(crate) async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
            return Err(ConnectError::Refused);
        }
        Ok(Err(e)) => return Err(ConnectError::Failed(e.to_string())),
        Err(_) => {
            let problem = format!("not connected within {CONNECT_TIMEOUT:?}");
            return Err(ConnectError::Failed(problem));
        }
    };
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    configured.map_err(|e| ConnectError::Failed(e.to_string()))?;
    Ok(stream)
}

/// Whether an address refuses connections at once. A listening process accepts them, and an
/// unreachable address does not reply.
pub(crate) async fn is_refused(address: SocketAddr, within: Duration) -> bool {
    let connecting = tokio::time::timeout(within, connect(address));
    matches!(connecting.await, Ok(Err(ConnectError::Refused)))
}
