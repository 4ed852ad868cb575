//! A connection that was opened to the address for peers. As many as there are places are accepted, and
//! one that sends nothing is ended.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Sleep, sleep};
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Time within which a peer sends its first byte.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection with its place among those that may be open.
pub struct PeerStream {
    stream: TcpStream,
    /// Ends while nothing has been read; `None` once something has.
    first_byte: Option<Pin<Box<Sleep>>>,
    _place: OwnedSemaphorePermit,
}

impl PeerStream {
    /// Takes a place for an accepted connection; `None`, which closes it, if there is none.
    ///
    /// # Errors
    /// That of the connection.
    pub fn accept(accepted: Result<TcpStream>, places: &Arc<Semaphore>) -> Result<Option<Self>> {
        let stream = accepted?;
        let place = Arc::clone(places).try_acquire_owned().ok();
        let first_byte = Some(Box::pin(sleep(FIRST_BYTE_TIMEOUT)));
        Ok(place.map(|place| PeerStream { stream, first_byte, _place: place }))
    }
}

impl Connected for PeerStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if result.is_ready() {
            self.first_byte = None;
        } else if let Some(timeout) = &mut self.first_byte {
            std::task::ready!(timeout.as_mut().poll(cx));
            return Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the peer sends nothing")));
        }
        result
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
