//! Requests queued for a slot, with the channels to their threads.

use std::collections::HashMap;

use routing::{Grant, SlotRefusal, WaitId};
use tokio::sync::oneshot;

use crate::dispatcher_messages::StageSlotRequest;

/// Reply to a request for a slot.
pub(crate) type SlotReply = Result<Granted, SlotRefusal>;

/// A slot and the id of the attempt that uses it.
#[derive(Debug)]
pub(crate) struct Granted {
    pub(crate) grant: Grant,
    pub(crate) attempt: ids::AttemptId,
}

/// A queued request and the channel on which its thread waits.
#[derive(Debug)]
pub(crate) struct WaitingThread {
    pub(crate) stage_request: StageSlotRequest,
    pub(crate) reply: oneshot::Sender<SlotReply>,
}

/// All queued requests, by the router's wait id.
#[derive(Debug, Default)]
pub(crate) struct WaitingThreads {
    by_id: HashMap<WaitId, WaitingThread>,
}

impl WaitingThreads {
    /// Adds a queued request.
    pub(crate) fn add(&mut self, id: WaitId, thread: WaitingThread) {
        self.by_id.insert(id, thread);
    }

    /// Removes and returns a queued request.
    pub(crate) fn take(&mut self, id: WaitId) -> Option<WaitingThread> {
        self.by_id.remove(&id)
    }
}
