//! Requests that wait for a slot and how to reach their threads.

use std::collections::HashMap;

use routing::{Grant, SlotRefusal, WaitId};
use tokio::sync::oneshot;

use crate::dispatcher_messages::StageSlotRequest;

/// Answer to a request for a slot.
pub(crate) type SlotReply = Result<Granted, SlotRefusal>;

/// A slot and the id of the attempt that uses it.
#[derive(Debug)]
pub(crate) struct Granted {
    pub(crate) grant: Grant,
    pub(crate) attempt: ids::AttemptId,
}

/// One request that waits.
#[derive(Debug)]
pub(crate) struct WaitingThread {
    pub(crate) ask: StageSlotRequest,
    pub(crate) reply: oneshot::Sender<SlotReply>,
}

/// All that wait, by their number in the router.
#[derive(Debug, Default)]
pub(crate) struct WaitingThreads {
    by_id: HashMap<WaitId, WaitingThread>,
}

impl WaitingThreads {
    pub(crate) fn add(&mut self, id: WaitId, thread: WaitingThread) {
        self.by_id.insert(id, thread);
    }

    pub(crate) fn take(&mut self, id: WaitId) -> Option<WaitingThread> {
        self.by_id.remove(&id)
    }
}
