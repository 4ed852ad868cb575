//! A connection to a target that a peer relays, from the side of the VM that uses it.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use peering::work::{FromTarget, ToTarget, from_target, to_target};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc::UnboundedSender;
use tokio_stream::Stream;
use tonic::Streaming;

use crate::outbound_links::Link;

/// The bytes of a relayed connection. Dropping it closes the connection at the peer.
///
/// What is written waits in memory until the peer takes it. This is bounded by the size of a
/// request, which is in memory already.
pub(crate) struct RelayedStream {
    tx: UnboundedSender<ToTarget>,
    rx: Streaming<FromTarget>,
    /// Bytes that were received and not read yet.
    unread: Bytes,
    /// The link to the peer, which counts its relayed connections.
    link: Rc<Link>,
}

impl RelayedStream {
    /// Wraps a call for which the peer has confirmed that it is connected to the target.
    pub(crate) fn new(
        link: &Rc<Link>,
        tx: UnboundedSender<ToTarget>,
        rx: Streaming<FromTarget>,
    ) -> Self {
        link.relayed.set(link.relayed.get() + 1);
        RelayedStream { tx, rx, unread: Bytes::new(), link: Rc::clone(link) }
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        let relayed = &self.link.relayed;
        relayed.set(relayed.get().saturating_sub(1));
    }
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            let next = std::task::ready!(Pin::new(&mut self.rx).poll_next(cx));
            match next {
                None => return Poll::Ready(Ok(())),
                Some(Ok(FromTarget { kind: Some(from_target::Kind::Data(data)) })) => {
                    self.unread = Bytes::from(data);
                }
                Some(Ok(_)) => {}
                Some(Err(status)) => {
                    let problem = status.message().to_owned();
                    return Poll::Ready(Err(io::Error::new(
                        io::ErrorKind::ConnectionReset,
                        problem,
                    )));
                }
            }
        }
        let count = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let message = ToTarget { kind: Some(to_target::Kind::Data(buf.to_vec())) };
        let sent = self.tx.send(message).map_err(|_| io::ErrorKind::BrokenPipe.into());
        Poll::Ready(sent.map(|()| buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
