//! How long a target takes from being sent a request to the end of its answer.

use std::time::Duration;

/// Weight of a new time in the mean and, doubled, in the deviation: RFC 6298, section 2.
const WEIGHT: u32 = 8;
/// Mean deviations by which the bound is above the mean; few requests take longer.
const DEVIATIONS: u32 = 2;

/// Times that requests of one kind take at their targets, as learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTime {
    mean: Duration,
    deviation: Duration,
}

impl ResponseTime {
    /// The first time that was seen.
    pub fn new(took: Duration) -> Self {
        ResponseTime { mean: took, deviation: took / 2 }
    }

    /// Takes another time.
    pub fn record(&mut self, took: Duration) {
        let off = self.mean.abs_diff(took);
        self.deviation = self.deviation * (WEIGHT / 2 - 1) / (WEIGHT / 2) + off / (WEIGHT / 2);
        self.mean = self.mean * (WEIGHT - 1) / WEIGHT + took / WEIGHT;
    }

    /// Time that few requests take longer than.
    pub fn upper_bound(&self) -> Duration {
        self.mean + self.deviation * DEVIATIONS
    }
}
