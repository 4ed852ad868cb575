//! Batches the pieces of many requests into the calls of a pool, ordered by slack (the time left
//! until a piece is due).
//!
//! A pool is a service whose targets, its workers, run pieces of stages in batches. A submission
//! has pieces of one stage of one request; a call sends pieces of several submissions to a worker.
//! To make a piece means to run it and store its result. The worker stores the results: they use
//! its room (memory for results) until they are released or expire.
//!
//! One VM, the owner, does this for a pool on behalf of all VMs. Ownership only improves
//! efficiency: a piece may be made twice, so two owners at the same time duplicate work but break
//! no guarantee.

mod completion;
mod filling;
mod forecast;
mod pool;
mod queue;
mod results;
mod room_use;
mod submission;
mod version_limits;
mod worker;

pub use filling::effective_due;
pub use pool::Pool;
pub use queue::QueueCounts;
pub use room_use::RoomUse;
pub use submission::{
    Call, CallEnd, CallKey, FinishedPiece, JobKey, PendingRelease, PieceOrder, PieceOutcome,
    Submission,
};
pub use worker::WorkerKey;
