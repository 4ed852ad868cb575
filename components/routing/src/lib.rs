//! Decisions of an entry VM: which target runs a call, how many calls a target gets, in which
//! order requests wait, when a request is refused and when a call is tried again.
//!
//! Everything here is plain state and functions of the time that is passed in; the daemon's
//! runtime calls them from one thread. `docs/design/routing.md` gives the ways weighed.

mod admission;
mod api;
mod choice;
mod ejection;
mod grants;
mod lane;
mod learning;
mod limit;
mod plans;
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
pub use shares::Sharer;
pub use target::{LoadReport, TargetKey};
