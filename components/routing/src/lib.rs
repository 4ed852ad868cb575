//! Routing decisions of a VM that accepts requests: which target runs a call, how many calls a
//! target gets, in which order requests wait, when a request is refused and when a call is retried.
//!
//! A slot is the capacity of a target for one call at a time. A lane is a set of targets with the
//! queue of the requests that wait for their slots.
//!
//! The state is plain data, and the time is passed in by the caller; the daemon's runtime calls the
//! functions from one thread. `docs/design/routing.md` compares the alternatives.

mod admission;
mod api;
mod choice;
mod ejection;
mod feedback;
mod grants;
mod lane;
mod lanes_by_revision;
mod limit;
mod queue;
mod retry;
mod router;
mod shares;
mod target;
mod times;
mod usage;

pub use api::{
    Admission, CallEnd, Grant, Slot, SlotAnswer, SlotRefusal, SlotRequest, TargetDump, WaitUpdate,
};
pub use choice::Policy;
pub use lane::WaitId;
pub use retry::RetryBudget;
pub use router::Router;
pub use shares::SharingVm;
pub use target::{LoadReport, TargetKey};
