//! Interval of gossip rounds, chosen so that control traffic stays within its bandwidth budget at
//! any fleet size.

use std::time::Duration;

/// Bytes per second that exchanges may use on a VM, out of 5 KB per second for all control traffic.
const BYTES_PER_SECOND: f64 = 3_500.0;
/// Minimum time between two rounds.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time between two rounds; bounds how late the failure of a VM is detected.
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// Weight of a new round in the exponential moving average of the bytes per round.
const MEAN_WEIGHT: f64 = 0.2;

/// Computes the interval between rounds from the mean number of bytes per round.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundPacer {
    mean_round_bytes: f64,
}

impl RoundPacer {
    /// Records the bytes sent and received in one round, answers to other VMs included.
    pub fn record_round(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        if self.mean_round_bytes == 0.0 {
            self.mean_round_bytes = bytes;
        }
        self.mean_round_bytes += MEAN_WEIGHT * (bytes - self.mean_round_bytes);
    }

    /// Time until the next round.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(self.mean_round_bytes / BYTES_PER_SECOND)
            .clamp(MIN_INTERVAL, MAX_INTERVAL)
    }
}
