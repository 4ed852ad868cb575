//! A caller's TCP connection that records when bytes last moved on it, and that can tell without
//! waiting whether bytes have arrived that were not read.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use caller_budget::{Activity, Charge, Place};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::caller_heads::HeadReading;
use crate::short_reads::poll_read_up_to;
use crate::state_handle::now;

/// Most bytes that are read at once. It bounds the HTTP library's buffer, which grows with what it
/// gets.
const READ_BYTES: usize = 8 * 1024;
/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 8 * 1024;

/// The socket of a caller's connection, shared by the HTTP library and by who decides when to close
/// it.
pub(crate) struct CallerSocket {
    stream: RefCell<TcpStream>,
    moved_at: Cell<Instant>,
    unanswered_since: Cell<Option<Instant>>,
    write_blocked_since: Cell<Option<Instant>>,
    place: Place,
    /// The head that is read or awaited.
    pub(crate) head: HeadReading,
    /// What the place was told last.
    activity: Cell<Activity>,
}

impl CallerSocket {
    /// Takes over an accepted connection, which has a place among the callers' connections.
    pub(crate) fn new(stream: TcpStream, place: Place) -> Rc<Self> {
        // Without TCP_NODELAY, an event waits until earlier ones are acknowledged. A failure is
        // harmless: the connection works without it.
        drop(stream.set_nodelay(true));
        Rc::new(CallerSocket {
            stream: RefCell::new(stream),
            moved_at: Cell::new(now()),
            unanswered_since: Cell::new(None),
            write_blocked_since: Cell::new(None),
            place,
            head: HeadReading::default(),
            activity: Cell::new(Activity::Resting),
        })
    }

    /// Begins to count bytes of a request.
    pub(crate) fn charge(&self) -> Charge {
        self.place.charge()
    }

    /// Waits until the connection has to make room for others.
    pub(crate) async fn until_given_up(&self) {
        self.place.until_given_up().await;
    }

    /// Whether the connection has to make room for others.
    pub(crate) fn is_given_up(&self) -> bool {
        self.place.is_given_up()
    }

    /// Records that the head of a request has arrived whole.
    pub(crate) fn set_head_complete(&self) {
        self.head.complete();
        self.set_activity(Activity::ReceivingBody);
    }

    /// Records that the connection's last answer was written.
    pub(crate) fn set_closing(&self) {
        self.set_activity(Activity::Closing);
    }

    /// Records that a request has arrived whole.
    pub(crate) fn set_in_work(&self) {
        self.set_activity(Activity::InWork);
    }

    fn set_activity(&self, activity: Activity) {
        if self.activity.replace(activity) != activity {
            self.place.set_activity(activity, now());
        }
    }

    /// When the last byte was read or written; at first, when the connection was accepted.
    pub(crate) fn moved_at(&self) -> Instant {
        self.moved_at.get()
    }

    /// When the first byte was read since the last call of [`CallerSocket::set_answered`].
    pub(crate) fn unanswered_since(&self) -> Option<Instant> {
        self.unanswered_since.get()
    }

    /// Records that what was read so far has its answer.
    pub(crate) fn set_answered(&self) {
        self.unanswered_since.set(None);
        self.rest_if_idle();
    }

    /// Records that the connection rests, unless a request or bytes to send are left.
    fn rest_if_idle(&self) {
        if self.unanswered_since.get().is_none() && !self.is_write_blocked() {
            self.set_activity(Activity::Resting);
        }
    }

    /// Whether the last write waits for the caller to read.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.get().is_some()
    }

    /// Since when the last write waits for the caller to read.
    pub(crate) fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since.get()
    }

    /// Whether bytes have arrived that were not read.
    pub(crate) fn has_unread(&self) -> bool {
        matches!(self.peek(), Ok(1..))
    }

    /// Closes the sending side, which tells the caller that no answer will follow, unless bytes or
    /// an end have arrived that were not read; whether it did.
    pub(crate) fn close_if_silent(&self) -> bool {
        let is_silent = self.peek().is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        if is_silent {
            // A failure means that the connection is closed already.
            drop(SockRef::from(&*self.stream.borrow()).shutdown(Shutdown::Write));
        }
        is_silent
    }

    /// Reads and discards what arrives until the caller closes its side. The kernel resets a
    /// connection that is closed with unread bytes, and a reset may take from the caller the answer
    /// that it has not read.
    pub(crate) async fn discard_rest(&self) {
        let mut buf = vec![0; DISCARD_BYTES];
        loop {
            let read = poll_fn(|cx| {
                let mut buf = ReadBuf::new(&mut buf);
                let result = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buf);
                result.map_ok(|()| buf.filled().len())
            });
            if !matches!(read.await, Ok(1..)) {
                return;
            }
        }
    }

    /// Writes bytes of our own in place of an answer of the HTTP library, which must have nothing left
    /// to write.
    pub(crate) async fn write_all(&self, mut bytes: &[u8]) -> Result<()> {
        while !bytes.is_empty() {
            let write = |cx: &mut Context<'_>| {
                Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes)
            };
            let written = poll_fn(write).await?;
            bytes = &bytes[written..];
        }
        SockRef::from(&*self.stream.borrow()).shutdown(Shutdown::Write)
    }

    /// Number of unread bytes, one at most; 0 at the end of what the caller sends.
    fn peek(&self) -> Result<usize> {
        SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()])
    }

    fn record_write(&self, result: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if result.is_ready() {
            self.write_blocked_since.set(None);
        } else if !self.is_write_blocked() {
            self.write_blocked_since.set(Some(now()));
        }
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.moved_at.set(now());
            self.rest_if_idle();
        }
        result
    }
}

/// The connection as the HTTP library reads and writes it.
pub(crate) struct CallerStream(pub(crate) Rc<CallerSocket>);

impl CallerStream {
    fn with<R>(&self, f: impl FnOnce(Pin<&mut TcpStream>) -> R) -> R {
        f(Pin::new(&mut self.0.stream.borrow_mut()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let Some(most) = self.0.head.allowance(READ_BYTES, &self.0.place, now()) else {
            return Poll::Pending;
        };
        let result = self.with(|stream| poll_read_up_to(stream, cx, buf, most));
        let read = buf.filled().len() - before;
        if read > 0 {
            let now = now();
            self.0.head.record(read);
            self.0.moved_at.set(now);
            if self.0.unanswered_since.get().is_none() {
                self.0.unanswered_since.set(Some(now));
                self.0.set_activity(Activity::ReceivingHead);
            }
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.0.record_write(self.with(|stream| stream.poll_write(cx, buf)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.0.record_write(self.with(|stream| stream.poll_write_vectored(cx, bufs)))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.with(|stream| stream.poll_shutdown(cx))
    }
}
