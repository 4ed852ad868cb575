//! Whether a request can still be answered in time, and when to come back if not.

use std::time::Duration;

/// Shortest time after which a caller is told to ask again.
pub(crate) const LEAST_COME_BACK: Duration = Duration::from_millis(50);
/// Longest time after which a caller is told to ask again.
const MOST_COME_BACK: Duration = Duration::from_secs(30);
/// An estimate older than this is tried out on one request.
pub(crate) const ESTIMATE_LIFE: Duration = Duration::from_secs(1);
/// Margin on the expected time of stages, since they slow down as a burst begins.
pub(crate) const MARGIN: f64 = 1.15;
/// Share of the time left that the estimate may fill.
const FILL: f64 = 0.95;

/// Time that `ahead` requests, each holding one of `slots` slots for `hold`, take.
pub(crate) fn wait_behind(ahead: f64, slots: f64, hold: Duration) -> Duration {
    hold.mul_f64(ahead / slots.max(1.0))
}

/// Whether `needed` fits into `left`.
pub(crate) fn fits(needed: Duration, left: Duration) -> bool {
    needed <= left.mul_f64(FILL)
}

/// When a request that needs `needed` and has `left` can be asked again.
pub(crate) fn retry_after(needed: Duration, left: Duration) -> Duration {
    bounded(needed.saturating_sub(left.mul_f64(FILL)))
}

/// A time to come back that is neither at once nor too far to be of use.
pub(crate) fn bounded(retry_after: Duration) -> Duration {
    retry_after.clamp(LEAST_COME_BACK, MOST_COME_BACK)
}
