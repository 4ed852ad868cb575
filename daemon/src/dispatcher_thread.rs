//! The thread on which the dispatcher lives, and the handle by which others ask it.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use stakker::{Stakker, actor, call, ret_nop};
use tokio::sync::oneshot;

use crate::dispatcher::Dispatcher;
use crate::dispatcher_messages::{Message, Setup};

/// Longest sleep of the dispatcher's thread.
const MAX_SLEEP: Duration = Duration::from_millis(500);
/// Most messages handled between two looks at the clock.
const MESSAGE_BATCH: usize = 256;

/// Sends messages to the dispatcher; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct DispatcherHandle {
    tx: Sender<Message>,
}

/// The dispatcher has ended; only while the process stops.
#[derive(Debug)]
pub(crate) struct DispatcherStopped;

impl DispatcherHandle {
    /// Sends a message that needs no answer.
    pub(crate) fn tell(&self, message: Message) {
        // After the dispatcher's end nobody is left to be told.
        let _ = self.tx.send(message);
    }

    /// Asks from a thread and waits for the answer.
    pub(crate) fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, DispatcherStopped> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(message(tx)).map_err(|_| DispatcherStopped)?;
        rx.blocking_recv().map_err(|_| DispatcherStopped)
    }

    /// Asks from a task and waits for the answer.
    pub(crate) async fn ask_async<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, DispatcherStopped> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(message(tx)).map_err(|_| DispatcherStopped)?;
        rx.await.map_err(|_| DispatcherStopped)
    }
}

/// Starts the dispatcher's thread.
pub(crate) fn start(setup: Setup) -> DispatcherHandle {
    let (tx, rx) = channel();
    thread::spawn(move || run_loop(&rx, setup));
    DispatcherHandle { tx }
}

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
