//! Fills the calls of a pool with pieces of many requests, in the order of their slack.
//!
//! One VM, the owner, does this for a pool on behalf of all. Ownership is a matter of efficiency
//! only: a piece may be made twice, so two owners at once cost work but break no promise.

mod ends;
mod filling;
mod forecast;
mod pool;
mod results;
mod room;
mod slack;
mod submission;
mod worker;

pub use filling::effective_due;
pub use pool::Pool;
pub use room::RoomUse;
pub use slack::Queue;
pub use submission::{
    Call, CallEnd, CallKey, Finished, JobKey, Order, PendingRelease, PieceOutcome, Submission,
};
pub use worker::WorkerKey;
