//! Graceful shutdown: which of the requests in work are finished or rejected, and by when.
//!
//! A stop begins with a signal, and the process is killed after the grace period. Every request
//! that was read is answered before then: completely or, as soon as it is known that it can't be
//! served in time, with an error that states correctly whether it may have run. The crate only
//! decides; it does no I/O and reads no clock: the caller passes the current time.

mod plan;
mod response_time;

pub use plan::{Limits, Progress, StopDecision, StopPlan};
pub use response_time::ResponseTime;
