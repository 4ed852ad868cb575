//! Estimates how long a target takes from being sent a request to the end of its answer.

use std::time::Duration;

/// A sample counts by the inverse of this in the mean, and by twice the inverse in the deviation: RFC 6298,
/// section 2.
const MEAN_DIVISOR: u32 = 8;
/// Mean deviations by which the upper bound exceeds the mean; few requests take longer.
const DEVIATIONS: u32 = 2;

/// Smoothed mean and mean deviation of the response times of one kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTime {
    mean: Duration,
    deviation: Duration,
}

impl ResponseTime {
    /// Starts from a first sample.
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

    /// A time that few requests exceed.
    pub fn upper_bound(&self) -> Duration {
        self.mean + self.deviation * DEVIATIONS
    }
}
