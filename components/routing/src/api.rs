//! What the router is asked and what it answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalogue::Service;
use ids::{CustomerName, HallName, Priority, Revision, TargetName};
use serde::Serialize;

use crate::lane::{LaneKey, WaitId};
use crate::target::TargetKey;

/// A stage's call that needs a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest<'a> {
    /// The configuration under which the request began.
    pub revision: Revision,
    /// The service as that configuration has it.
    pub service: &'a Service,
    /// Index of the stage.
    pub stage: usize,
    /// On whose behalf.
    pub customer: &'a CustomerName,
    /// Priority.
    pub priority: Priority,
    /// Whether it was refused before and comes back at the time told.
    pub returning: bool,
    /// When the whole request must be answered.
    pub deadline: Instant,
    /// Targets already tried.
    pub exclude: Vec<TargetKey>,
    /// Hash of the prompt's prefix, if the call has one.
    pub prefix: Option<u64>,
}

/// A slot that is held at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    /// The target.
    pub target: TargetKey,
    pub(crate) lane: LaneKey,
    pub(crate) class: Priority,
}

/// A target to call, with the slot to do it; the slot must be given back with [`Router::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The slot.
    pub slot: Slot,
    /// Its name.
    pub name: TargetName,
    /// Where to call it.
    pub address: SocketAddr,
    /// Why it was chosen.
    pub reason: String,
}

/// Why no slot is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotRefusal {
    /// The stages that follow can't be done before the deadline.
    TooLate {
        /// When to ask again.
        retry_after: Duration,
    },
    /// Too many wait already.
    QueueFull {
        /// When to ask again.
        retry_after: Duration,
    },
    /// No target that the selector allows can be used.
    NoTarget {
        /// When to ask again.
        retry_after: Duration,
    },
}

/// Answer to a [`SlotRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotAnswer {
    /// Call this target now.
    Granted(Grant),
    /// Wait; an [`WaitUpdate`] will follow.
    Queued(WaitId),
    /// Give up now.
    Refused(SlotRefusal),
}

/// What became of a request that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitUpdate {
    /// Call this target now.
    Granted(WaitId, Grant),
    /// Give up now.
    Refused(WaitId, SlotRefusal),
}

/// Whether a request is taken at all.
pub type Admission = Result<(), SlotRefusal>;

/// How a call ended, for what it teaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer came.
    Answered,
    /// The target said that it is too busy and did not run it.
    Declined,
    /// Nothing could be sent.
    Unreachable,
    /// It failed after something was sent.
    Failed,
    /// Given up by this side, which says nothing about the target.
    GivenUp,
}

/// One target's state for the dump.
#[derive(Debug, Clone, Serialize)]
pub struct TargetDump {
    /// Name.
    pub name: TargetName,
    /// Data hall.
    pub hall: HallName,
    /// Calls under way from here.
    pub in_flight: u32,
    /// Calls under way from other VMs, as last heard.
    pub by_peers: u32,
    /// Slots dealt to this VM.
    pub dealt: u32,
    /// Learned limit for all VMs together.
    pub limit: f64,
    /// Load for each slot.
    pub load: f64,
    /// Whether it gets no new work because it leaves.
    pub leaving: bool,
    /// Whether it gets no new work because it failed or was slow.
    pub ejected: bool,
    /// Calls since the process started.
    pub calls: u64,
}
