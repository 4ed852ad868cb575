//! HTTP/1 connections on which the bytes before the end of an answer's head are bounded, so that
//! neither a head nor informational answers before it go on without an end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use http_body_util::Full;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::short_reads::poll_read_up_to;

/// Largest head of an answer.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most bytes that are read at once. It bounds the HTTP library's buffer, which grows with what it
/// gets.
const READ_BYTES: usize = 16 * 1024;
/// Most bytes from a call to the end of its answer's head: a head, and what is read of the body
/// together with its end.
const MAX_BYTES_TO_HEAD: usize = 2 * MAX_HEAD_BYTES;

/// Bytes that may arrive until the head is complete; `None` while no head is awaited. Clones share
/// it.
#[derive(Clone, Default)]
pub struct HeadAllowance(Rc<Cell<Option<usize>>>);

impl HeadAllowance {
    /// Bounds the bytes from here to the end of a head.
    pub fn begin(&self) {
        self.0.set(Some(MAX_BYTES_TO_HEAD));
    }

    /// The head is complete; what follows has bounds of its own.
    pub fn end(&self) {
        self.0.set(None);
    }
}

/// A connection whose reads fail once the bytes of a head are used up.
pub struct HeadLimited<S> {
    inner: S,
    allowance: HeadAllowance,
}

impl<S> HeadLimited<S> {
    /// A connection that is bounded by an allowance.
    pub fn new(inner: S, allowance: &HeadAllowance) -> Self {
        HeadLimited { inner, allowance: allowance.clone() }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(poll_read_up_to(Pin::new(&mut self.inner), cx, buf, READ_BYTES))?;
        let Some(left) = self.allowance.0.get() else { return Poll::Ready(Ok(())) };
        let Some(left) = left.checked_sub(buf.filled().len() - before) else {
            return Poll::Ready(Err(io::Error::other("the head of the answer is too long")));
        };
        self.allowance.0.set(Some(left));
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Starts HTTP/1 on an open connection whose heads are bounded.
///
/// # Errors
/// That of the library, if the connection has ended already.
pub(crate) async fn start_http1<S>(
    stream: S,
    allowance: &HeadAllowance,
) -> hyper::Result<(
    SendRequest<Full<bytes::Bytes>>,
    Connection<TokioIo<HeadLimited<S>>, Full<bytes::Bytes>>,
)>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let io = TokioIo::new(HeadLimited::new(stream, allowance));
    Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await
}
