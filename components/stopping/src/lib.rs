//! Graceful shutdown: which of the requests in work are finished or rejected, and by when.
//!
//! A stop begins with a signal. After the grace period the process is killed. Every request that was read is answered
//! before then: completely, or, as soon as it is known that it can't be served in time, with an error that states
//! correctly whether it may have run. This crate only decides: the caller passes the times in, and nothing waits here.

mod plan;
mod response_time;

pub use plan::{Limits, Progress, StopDecision, StopPlan};
pub use response_time::ResponseTime;
