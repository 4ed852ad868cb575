//! HTTP server with limits on connections, request heads and bodies, each and all together. Each
//! connection has its own task.
//!
//! It uses hyper because tiny_http can neither abort a streamed response nor limit the time for
//! receiving a request's head; see `docs/design/libraries.md`.

mod shared_stream;

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use caller_budget::{Activity, CallerBudget, HeldBody, Limits, Place};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::http::Extensions;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};

use crate::shared_stream::{SharedStream, has_unread};

/// Error of a response body that is aborted: the connection is closed without a final chunk, so the
/// client sees that the body is incomplete.
#[derive(Debug)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response body aborted")
    }
}

impl std::error::Error for BodyAborted {}

/// Body of a response.
pub type Body = BoxBody<Bytes, BodyAborted>;

/// Limits on incoming connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum number of concurrent connections. For a further one, the connection that waits longest
    /// for a request is closed; where all have requests, it is refused.
    pub connections: usize,
    /// Bytes that the bodies of requests may take together until their requests are answered.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head, including the idle time between requests.
    pub head_wait: Duration,
}

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// A body that is too large is read and discarded up to this multiple of its limit before the
/// connection closes, so that a caller that is still sending receives the response.
const DISCARD_LIMIT_FACTOR: usize = 8;
/// Delay before the next accept after one failed, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections beyond the limit that may be closing.
const CLOSING_CONNECTIONS: usize = 64;
/// Interval at which a connection that is about to close is checked for unread bytes.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Serves connections until `stop` becomes true. From then on only requests that have arrived are
/// read, and the function returns when all of them have been answered.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let budget =
        CallerBudget::new(Limits { connections: limits.connections, bytes: limits.body_bytes });
    let max_tasks =
        limits.connections.saturating_add(CLOSING_CONNECTIONS).min(Semaphore::MAX_PERMITS);
    let permits = Arc::new(Semaphore::new(max_tasks));
    let stopped = stop.clone();
    let spawn = |socket, permit: OwnedSemaphorePermit| {
        let Ok(place) = budget.connect(Instant::now()) else { return };
        let connection =
            serve_connection(socket, Arc::new(place), limits, stopped.clone(), handle.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    };
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        spawn(socket, permit);
    }
    // The kernel resets connections that wait in the queue of a listener when it closes.
    if let Ok(listener) = listener.into_std() {
        while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
            let Ok(socket) = accept_queued(&listener) else { break };
            spawn(socket, permit);
        }
    }
    let max_tasks = u32::try_from(max_tasks).unwrap_or(u32::MAX);
    let _all_closed = permits.acquire_many(max_tasks).await;
}

/// Accepts a connection that waits in the listener's queue.
fn accept_queued(listener: &std::net::TcpListener) -> std::io::Result<TcpStream> {
    let (socket, _) = listener.accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket)
}

async fn serve_connection<H, F>(
    socket: TcpStream,
    place: Arc<Place>,
    limits: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // A streamed token is a small packet, which Nagle's algorithm would delay.
    let _ = socket.set_nodelay(true);
    let socket = Arc::new(socket);
    let of_requests = Arc::clone(&place);
    let service = service_fn(move |mut req| {
        let answered = Answered(Arc::clone(&of_requests));
        req.extensions_mut().insert(Arc::clone(&of_requests));
        let response = handle(req);
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody { body, _guard: answered }))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_wait)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(
            TokioIo::new(SharedStream { stream: Arc::clone(&socket), place: Arc::clone(&place) }),
            service,
        );
    tokio::pin!(connection);
    tokio::select! {
        biased;
        _ended = connection.as_mut() => return,
        () = place.until_given_up() => return,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    // hyper closes an idle connection without reading what has arrived on it.
    while has_unread(&socket) {
        tokio::select! {
            biased;
            _ended = connection.as_mut() => return,
            () = tokio::time::sleep(UNREAD_CHECK_INTERVAL) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ended = connection.await;
}

/// Marks its connection as at rest when dropped, at the end of an answer.
struct Answered(Arc<Place>);

impl Drop for Answered {
    fn drop(&mut self) {
        self.0.set_activity(Activity::Resting, Instant::now());
    }
}

/// The body of a response, whose request is answered once it has been taken to its end.
struct GuardedBody {
    body: Body,
    _guard: Answered,
}

impl hyper::body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Error while reading a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body was not complete within the timeout.
    TooSlow,
    /// The caller closed the connection or sent invalid HTTP.
    Broken,
    /// The bodies of other requests leave no room for it.
    NoRoom,
}

/// Reads the body of a request to this server, of at most `limit` bytes, within the timeout `wait`.
/// `extensions` are those of the request.
///
/// A larger body is read further and discarded, up to a bound: a caller that is still sending when
/// the connection closes would see a reset instead of the response.
///
/// # Errors
/// [`BodyError`] if the body is too large, incomplete after `wait`, has no room, or can't be read to
/// its end.
pub async fn read_body(
    extensions: &Extensions,
    body: Incoming,
    limit: usize,
    wait: Duration,
) -> Result<Bytes, BodyError> {
    match tokio::time::timeout(wait, collect(extensions, body, limit)).await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(result) => result,
    }
}

async fn collect(
    extensions: &Extensions,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let place = extensions.get::<Arc<Place>>().ok_or(BodyError::Broken)?;
    place.set_activity(Activity::ReceivingBody, Instant::now());
    let declared = hyper::body::Body::size_hint(&body).exact();
    let declared = declared.and_then(|bytes| usize::try_from(bytes).ok());
    let declared = declared.filter(|bytes| *bytes <= limit);
    let held = HeldBody::begin(place.charge(), declared, Instant::now());
    let mut held = held.map_err(|_| BodyError::NoRoom)?;
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|_| BodyError::Broken)?.into_data().unwrap_or_default();
        read += data.len();
        if read > limit.saturating_mul(DISCARD_LIMIT_FACTOR) {
            break;
        }
        if read <= limit {
            held.push(&data, Instant::now()).map_err(|_| BodyError::NoRoom)?;
        }
    }
    if read > limit {
        return Err(BodyError::TooLarge);
    }
    place.set_activity(Activity::InWork, Instant::now());
    Ok(Bytes::from_owner(held))
}

/// Creates a body whose bytes are all available.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Creates a streamed body, which sends each part from the channel as soon as it arrives. An `Err`
/// aborts the body.
pub fn stream_body(rx: mpsc::Receiver<Result<Bytes, BodyAborted>>) -> Body {
    ReceiverBody { rx, abort_next: false }.boxed()
}

struct ReceiverBody {
    rx: mpsc::Receiver<Result<Bytes, BodyAborted>>,
    /// Whether an abort was received; the next poll returns it, when the preceding parts have been
    /// written.
    abort_next: bool,
}

impl hyper::body::Body for ReceiverBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if self.abort_next {
            return Poll::Ready(Some(Err(BodyAborted)));
        }
        match self.rx.poll_recv(cx) {
            Poll::Ready(Some(Err(BodyAborted))) => {
                // hyper flushes its buffer when the body is pending, but discards it on an error,
                // so the error is returned only by the next poll.
                self.abort_next = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            other => other.map(|part| part.map(|p| p.map(Frame::data))),
        }
    }
}
