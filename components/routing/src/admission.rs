//! Deadline checks: whether a request can still be answered in time, and after what time a refused
//! one should be retried.

use std::time::Duration;

/// Minimum time after which a caller is told to retry.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum time after which a caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Age from which an estimate of a stage's time is ignored, so that a request is admitted and
/// refreshes it.
pub(crate) const ESTIMATE_TTL: Duration = Duration::from_secs(1);
/// Factor on the expected time of stages, since they slow down as a burst begins.
pub(crate) const TIME_MARGIN: f64 = 1.15;
/// Maximum fraction of the available time that the estimated time may take.
const MAX_TIME_FRACTION: f64 = 0.95;

/// Time to serve `ahead` requests, each of which holds one of `slots` slots for `hold`.
pub(crate) fn wait_behind(ahead: f64, slots: f64, hold: Duration) -> Duration {
    hold.mul_f64(ahead / slots.max(1.0))
}

/// Whether the time `needed` fits into the time `left`, with a reserve.
pub(crate) fn fits(needed: Duration, left: Duration) -> bool {
    needed <= left.mul_f64(MAX_TIME_FRACTION)
}

/// Time after which to retry a request that needs `needed` and has `left`.
pub(crate) fn retry_after(needed: Duration, left: Duration) -> Duration {
    clamp_retry_after(needed.saturating_sub(left.mul_f64(MAX_TIME_FRACTION)))
}

/// Clamps a retry time, so that it is neither immediate nor too far ahead to be of use.
pub(crate) fn clamp_retry_after(retry_after: Duration) -> Duration {
    retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
