//! What a process that stops does with the requests that it has, and until when.
//!
//! A stop begins with a signal and ends with the grace, after which the process is killed. Each request that was
//! read is answered before: whole, or with a refusal that is true of it, as soon as it is known that it can't be
//! served in time. Decisions only: times are handed in, nothing is awaited here.

mod plan;
mod response_time;

pub use plan::{Limits, Progress, StopDecision, StopPlan};
pub use response_time::ResponseTime;
