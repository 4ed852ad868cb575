//! The events that wait for a caller, bounded in number and in bytes. A target is not read while its
//! caller's queue is full.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::answers::StreamCut;

/// Most events that wait.
const MAX_EVENTS: usize = 64;
/// Most bytes that wait, or that the HTTP library has not written; an event that is larger waits
/// alone.
const MAX_BYTES: usize = 16 * 1024;

/// An event that takes its part of the queue's bytes until it has been written.
struct QueuedEvent {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for QueuedEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The end of the queue at which events enter.
pub(crate) struct EventSender {
    tx: Sender<Result<QueuedEvent, StreamCut>>,
    room: Arc<Semaphore>,
}

/// The body of a streamed answer: the events of a queue.
pub(crate) struct EventBody(Receiver<Result<QueuedEvent, StreamCut>>);

/// A queue of events for a caller.
pub(crate) fn event_queue() -> (EventSender, EventBody) {
    let (tx, rx) = channel(MAX_EVENTS);
    (EventSender { tx, room: Arc::new(Semaphore::new(MAX_BYTES)) }, EventBody(rx))
}

impl EventSender {
    /// Adds an event once there is room; returns false if the caller is gone.
    pub(crate) async fn send(&self, bytes: Bytes) -> bool {
        let room = u32::try_from(bytes.len().min(MAX_BYTES)).unwrap_or(u32::MAX);
        let room = tokio::select! {
            room = Arc::clone(&self.room).acquire_many_owned(room) => room,
            () = self.tx.closed() => return false,
        };
        let Ok(room) = room else { return false };
        self.tx.send(Ok(QueuedEvent { bytes, _room: room })).await.is_ok()
    }

    /// Ends the stream so that the caller can tell that it is incomplete.
    pub(crate) async fn cut(&self) {
        // Fails if the caller is gone already.
        drop(self.tx.send(Err(StreamCut)).await);
    }

    /// Waits until the caller is gone.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        let next = self.0.poll_recv(cx);
        next.map(|event| {
            event.map(|event| event.map(|event| Frame::data(Bytes::from_owner(event))))
        })
    }
}
