//! The thread that runs the dispatcher actor, and the handle through which other threads and tasks
//! send it messages.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use stakker::{Stakker, actor, call, ret_nop};
use tokio::sync::oneshot;

use crate::dispatcher::Dispatcher;
use crate::dispatcher_messages::{Message, Setup};

/// Longest time the dispatcher's thread waits for a message before it runs due timers.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Most queued messages handled between two reads of the clock.
const MESSAGE_BATCH: usize = 256;

/// Sends messages to the dispatcher; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct DispatcherHandle {
    tx: Sender<Message>,
}

/// The dispatcher's thread has ended, which happens only while the process stops.
#[derive(Debug)]
pub(crate) struct DispatcherStopped;

impl DispatcherHandle {
    /// Sends a message without waiting for a reply; it is dropped if the dispatcher has ended.
    pub(crate) fn tell(&self, message: Message) {
        // An error means that the dispatcher has ended, so the message has no receiver.
        let _ = self.tx.send(message);
    }

    /// Sends a message and blocks the calling thread until the reply arrives.
    ///
    /// # Errors
    /// [`DispatcherStopped`] if the dispatcher ended or dropped the request.
    pub(crate) fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, DispatcherStopped> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(message(tx)).map_err(|_| DispatcherStopped)?;
        rx.blocking_recv().map_err(|_| DispatcherStopped)
    }

    /// Sends a message and awaits the reply in an async task.
    ///
    /// # Errors
    /// [`DispatcherStopped`] if the dispatcher ended or dropped the request.
    pub(crate) async fn ask_async<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, DispatcherStopped> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(message(tx)).map_err(|_| DispatcherStopped)?;
        rx.await.map_err(|_| DispatcherStopped)
    }
}

/// Starts the dispatcher's thread and returns a handle to it.
pub(crate) fn start(setup: Setup) -> DispatcherHandle {
    let (tx, rx) = channel();
    thread::spawn(move || run_loop(&rx, setup));
    DispatcherHandle { tx }
}

/// Handles messages and due timers until all handles are dropped.
fn run_loop(rx: &Receiver<Message>, setup: Setup) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let dispatcher = actor!(s, Dispatcher::init(Arc::new(setup)), ret_nop!());
    stakker.run(Instant::now(), false);
    loop {
        let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, false);
        match rx.recv_timeout(sleep) {
            Ok(message) => call!([dispatcher], handle(message)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for message in rx.try_iter().take(MESSAGE_BATCH) {
            call!([dispatcher], handle(message));
        }
        stakker.run(Instant::now(), false);
    }
}
