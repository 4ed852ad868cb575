//! Request and answer types of the router.

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
    /// Revision of the configuration under which the request began.
    pub revision: Revision,
    /// The service as that configuration defines it.
    pub service: &'a Service,
    /// Index of the stage in the service.
    pub stage: usize,
    /// The customer that sent the request.
    pub customer: &'a CustomerName,
    /// Priority class of the request.
    pub priority: Priority,
    /// Whether the request was refused before and returns at the announced time.
    pub returning: bool,
    /// Deadline of the whole request.
    pub deadline: Instant,
    /// Targets already tried. The adaptive policy does not choose them again; the baseline policies
    /// do so only if no other target is usable.
    pub exclude: Vec<TargetKey>,
    /// Hash of the prompt's prefix, if the call has one.
    pub prefix: Option<u64>,
}

/// A slot at a target, held by a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    /// The target.
    pub target: TargetKey,
    /// The lane in which the slot was granted.
    pub(crate) lane: LaneKey,
    /// Priority class of the call.
    pub(crate) class: Priority,
}

/// A target to call and the slot for it, which must be returned with
/// [`Router::release`](crate::Router::release).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The slot that the call holds.
    pub slot: Slot,
    /// Name of the target.
    pub name: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Why the target was chosen, as text.
    pub reason: String,
}

/// Why no slot is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotRefusal {
    /// The expected wait and stage times exceed the time to the deadline.
    TooLate {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The queue of the lane is full.
    QueueFull {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// No target that the selector allows can be used.
    NoTarget {
        /// Time after which to retry.
        retry_after: Duration,
    },
}

/// Answer of the router to a [`SlotRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotAnswer {
    /// A slot is granted; the target can be called now.
    Granted(Grant),
    /// Wait; a [`WaitUpdate`] will follow.
    Queued(WaitId),
    /// No slot is granted; the request must not wait.
    Refused(SlotRefusal),
}

/// How the wait of a queued request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitUpdate {
    /// A slot is granted; the target can be called now.
    Granted(WaitId, Grant),
    /// No slot is granted; the request must not wait.
    Refused(WaitId, SlotRefusal),
}

/// Whether a request is admitted.
pub type Admission = Result<(), SlotRefusal>;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer was received.
    Answered,
    /// The target answered that it is too busy, and did not run the call.
    Declined,
    /// Nothing could be sent to the target.
    Unreachable,
    /// The call failed after something was sent.
    Failed,
    /// Canceled by this VM, which is no evidence about the target.
    Abandoned,
}

/// State of one target, for the dump on the operations page.
#[derive(Debug, Clone, Serialize)]
pub struct TargetDump {
    /// Name of the target.
    pub name: TargetName,
    /// Data hall.
    pub hall: HallName,
    /// Calls in flight from this VM.
    pub in_flight: u32,
    /// Calls in flight from other VMs, as last reported by them.
    pub by_peers: u32,
    /// Slots assigned to this VM.
    pub dealt: u32,
    /// Adaptive concurrency limit, for all VMs together.
    pub limit: f64,
    /// Known calls in flight per slot.
    pub load: f64,
    /// Whether the target gets no new calls because it is leaving.
    pub leaving: bool,
    /// Whether the target gets no new calls because it failed or was slow.
    pub ejected: bool,
    /// Calls sent to the target since its current declaration was first applied.
    pub calls: u64,
}
