//! How often a VM speaks, so that control stays under its share of the network at any size.

use std::time::Duration;

/// Bytes a second that exchanges may use on a VM, of the 5 KB a second for all control.
const BUDGET: f64 = 3_500.0;
/// Shortest time between two rounds.
const SHORTEST: Duration = Duration::from_millis(500);
/// Longest time between two rounds; bounds how late a death is seen.
const LONGEST: Duration = Duration::from_secs(5);
/// Weight of a round's bytes in the mean.
const WEIGHT: f64 = 0.2;

/// Learns the bytes of a round and spaces the rounds.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundPacer {
    round_bytes: f64,
}

impl RoundPacer {
    /// Counts the bytes that one round sent and received, answers to others included.
    pub fn record_round(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        if self.round_bytes == 0.0 {
            self.round_bytes = bytes;
        }
        self.round_bytes += WEIGHT * (bytes - self.round_bytes);
    }

    /// Time to the next round.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(self.round_bytes / BUDGET).clamp(SHORTEST, LONGEST)
    }
}
