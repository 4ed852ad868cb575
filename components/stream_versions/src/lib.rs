//! Versions of streams. Targets of several software versions may serve side by side in one service,
//! and a stream goes on only at the version that began it. Its caller may take it up at any VM and
//! names nothing but the request that brought the first event.
//!
//! Which version a new stream begins at follows from the hash of its request's id and from the
//! [`Shares`] of the versions, which all VMs read in the platform's store. A VM that is asked to go
//! on with a stream works its version out in the same way, also when all VMs lost their memory. The
//! shares change only when versions come, go or grow, and those of the last seconds are kept.
//!
//! Where the shares don't tell, the VM that began the stream tells other VMs: see [`Records`]. A
//! stream whose version nobody knows is not resumed.

mod key;
mod plan;
mod records;
mod shares;

pub use key::StreamKey;
pub use plan::{DeviationNeed, Plan, VersionPlan};
pub use records::{Record, Records};
pub use shares::Shares;
