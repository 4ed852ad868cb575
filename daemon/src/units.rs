//! Durations as the numbers that records and logs have.

use std::time::Duration;

/// Whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
