//! The thread on which the dispatcher lives, and the handle by which others ask it.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use stakker::{Stakker, actor, call, ret_nop};
use tokio::sync::oneshot;

use crate::ask::{Message, Setup};
use crate::dispatcher::Dispatcher;

/// Longest sleep of the dispatcher's thread.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);
/// Most messages handled between two looks at the clock.
const BATCH: usize = 256;

/// Sends messages to the dispatcher; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Desk {
    tx: Sender<Message>,
}

/// The dispatcher has ended; only while the process stops.
#[derive(Debug)]
pub(crate) struct Gone;

impl Desk {
    /// Sends a message that needs no answer.
    pub(crate) fn tell(&self, message: Message) {
        // After the dispatcher's end nobody is left to be told.
        let _ = self.tx.send(message);
    }

    /// Asks from a thread and waits for the answer.
    pub(crate) fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, Gone> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(message(tx)).map_err(|_| Gone)?;
        rx.blocking_recv().map_err(|_| Gone)
    }

    /// Asks from a task and waits for the answer.
    pub(crate) async fn ask_async<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, Gone> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(message(tx)).map_err(|_| Gone)?;
        rx.await.map_err(|_| Gone)
    }
}

/// Starts the dispatcher's thread.
pub(crate) fn start(setup: Setup) -> Desk {
    let (tx, rx) = channel();
    thread::spawn(move || turn(&rx, setup));
    Desk { tx }
}

fn turn(rx: &Receiver<Message>, setup: Setup) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let dispatcher = actor!(s, Dispatcher::init(Arc::new(setup)), ret_nop!());
    stakker.run(Instant::now(), false);
    loop {
        let sleep = stakker.next_wait_max(Instant::now(), LONGEST_SLEEP, false);
        match rx.recv_timeout(sleep) {
            Ok(message) => call!([dispatcher], handle(message)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for message in rx.try_iter().take(BATCH) {
            call!([dispatcher], handle(message));
        }
        stakker.run(Instant::now(), false);
    }
}
