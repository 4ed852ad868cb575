//! Conversion of durations to the numbers used in records and logs.

use std::time::Duration;

/// Whole milliseconds, rounded down; `u64::MAX` on overflow.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
