//! Estimates how long a target takes from being sent a request to the end of its answer.

use std::time::Duration;

/// A new sample has a weight of one over this in the mean and of two over this in the deviation, as
/// in RFC 6298, section 2.
const MEAN_DIVISOR: u32 = 8;
/// Number of mean deviations by which the upper bound exceeds the mean; few requests take longer.
const DEVIATIONS: u32 = 2;

/// Smoothed mean and mean deviation of the response times of one kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTime {
    mean: Duration,
    deviation: Duration,
}

impl ResponseTime {
    /// Creates an estimate from a first sample.
    pub fn new(sample: Duration) -> Self {
        ResponseTime { mean: sample, deviation: sample / 2 }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: Duration) {
        let difference = self.mean.abs_diff(sample);
        self.deviation = self.deviation * (MEAN_DIVISOR / 2 - 1) / (MEAN_DIVISOR / 2)
            + difference / (MEAN_DIVISOR / 2);
        self.mean = self.mean * (MEAN_DIVISOR - 1) / MEAN_DIVISOR + sample / MEAN_DIVISOR;
    }

    /// Returns a time that few requests exceed.
    pub fn upper_bound(&self) -> Duration {
        self.mean + self.deviation * DEVIATIONS
    }
}
