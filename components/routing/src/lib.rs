//! Decisions of an entry VM: which target runs a call, how many calls a target gets, in which
//! order requests wait, when a request is refused and when a call is tried again.
//!
//! Everything here is plain state and functions of the time that is passed in; the daemon's
//! runtime calls them from one thread. `docs/design/routing.md` gives the ways weighed.

mod admission;
mod choice;
mod ejection;
mod lane;
mod limit;
mod retry;
mod router;
mod shares;
mod target;
mod times;
mod usage;

pub use choice::Policy;
pub use lane::WaitId;
pub use retry::RetryBudget;
pub use router::{
    Admission, CallEnd, Grant, Refused, Router, Slot, SlotAnswer, SlotRequest, TargetDump, Update,
};
pub use shares::Sharer;
pub use target::{LoadReport, TargetKey};
