//! HTTP listener with bounds on connections, heads and bodies; one task for each connection.
//!
//! Built on hyper because tiny_http can neither cut a stream nor bound a slow head; see
//! `docs/design/libraries.md`.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

/// A stream's body ended without its end: the connection is closed with no final chunk.
#[derive(Debug)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream was cut")
    }
}

impl std::error::Error for BodyAborted {}

/// Body of an answer.
pub type Body = BoxBody<Bytes, BodyAborted>;

/// Bounds on callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections at once; further ones wait in the listener's backlog.
    pub connections: usize,
    /// Longest wait for a request's head, idle time between requests included.
    pub head_wait: Duration,
}

/// Largest head, in bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// Of a body that is too large, this many times the limit is read before the connection closes.
const DROPPED_PER_LIMIT: usize = 8;
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves connections until `stop` turns true; then no further request is read from any of them,
/// and the call returns once all that were being answered are.
pub async fn serve<H, F>(
    listener: TcpListener,
    bounds: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let free = Arc::new(Semaphore::new(bounds.connections));
    loop {
        let Ok(permit) = Arc::clone(&free).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = serve_connection(socket, bounds, stop.clone(), handle.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    let all = u32::try_from(bounds.connections).unwrap_or(u32::MAX);
    let _all_ended = free.acquire_many(all).await;
}

async fn serve_connection<H, F>(
    socket: TcpStream,
    bounds: ConnectionLimits,
    mut stop: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Tokens are small and must not wait for each other.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |req| {
        let answer = handle(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_wait)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    tokio::select! {
        _ended = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

/// Why a request's body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// Larger than the limit.
    TooLarge,
    /// Not whole within the wait.
    TooSlow,
    /// The caller closed or sent something that is no HTTP.
    Broken,
}

/// Reads a request's body within `limit` bytes and `wait`.
///
/// Of a larger body some more is read and dropped, since a caller that is still sending would
/// see a reset in place of the answer.
///
/// # Errors
/// What kept it from being read.
pub async fn read_body(body: Incoming, limit: usize, wait: Duration) -> Result<Bytes, BodyError> {
    match tokio::time::timeout(wait, collect(body, limit)).await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(result) => result,
    }
}

async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|_| BodyError::Broken)?.into_data().unwrap_or_default();
        read += data.len();
        if read > limit.saturating_mul(DROPPED_PER_LIMIT) {
            break;
        }
        if read <= limit {
            buf.extend_from_slice(&data);
        }
    }
    if read > limit { Err(BodyError::TooLarge) } else { Ok(buf.freeze()) }
}

/// A body that is whole at once.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A body whose parts come through the channel, each sent on at once. An `Err` cuts it.
pub fn stream_body(rx: mpsc::Receiver<Result<Bytes, BodyAborted>>) -> Body {
    ReceiverBody { rx, cut_next: false }.boxed()
}

struct ReceiverBody {
    rx: mpsc::Receiver<Result<Bytes, BodyAborted>>,
    /// A cut was received; it is passed on once what came before has been written.
    cut_next: bool,
}

impl hyper::body::Body for ReceiverBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if self.cut_next {
            return Poll::Ready(Some(Err(BodyAborted)));
        }
        match self.rx.poll_recv(cx) {
            Poll::Ready(Some(Err(BodyAborted))) => {
                // hyper writes out what it holds when a body has nothing more for now, but drops
                // it at an error.
                self.cut_next = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            other => other.map(|part| part.map(|p| p.map(Frame::data))),
        }
    }
}
