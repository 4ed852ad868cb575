//! Moving averages of the times that the calls of a stage take, and their unloaded baseline.

use std::time::{Duration, Instant};

/// Weight of a new sample in the mean and in the mean deviation.
const MEAN_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the baseline if it is below the baseline.
const BASELINE_DOWN_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the baseline if it is above the baseline; small, so that the baseline
/// stays near the unloaded time under load.
const BASELINE_UP_WEIGHT: f64 = 0.005;

/// Number of mean deviations added to the mean for the expected time of a stage.
const DEVIATIONS: f64 = 2.0;

/// Running mean, mean deviation and unloaded baseline of one stage's call times, in seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StageTimes {
    mean: f64,
    /// Mean absolute deviation from the mean.
    deviation: f64,
    /// Estimate of the call time at a target without load.
    baseline: f64,
    /// When the last sample was recorded.
    last: Instant,
}

impl StageTimes {
    pub(crate) fn new(took: Duration, now: Instant) -> Self {
        let seconds = took.as_secs_f64();
        StageTimes { mean: seconds, deviation: 0.0, baseline: seconds, last: now }
    }

    pub(crate) fn record(&mut self, took: Duration, now: Instant) {
        let seconds = took.as_secs_f64();
        self.deviation += MEAN_WEIGHT * ((seconds - self.mean).abs() - self.deviation);
        self.mean += MEAN_WEIGHT * (seconds - self.mean);
        let weight =
            if seconds < self.baseline { BASELINE_DOWN_WEIGHT } else { BASELINE_UP_WEIGHT };
        self.baseline += weight * (seconds - self.baseline);
        self.last = now;
    }

    /// Time within which nearly all calls of the stage end.
    pub(crate) fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation)
    }

    /// Ratio of `took` to the unloaded baseline.
    pub(crate) fn ratio(&self, took: Duration) -> f64 {
        took.as_secs_f64() / self.baseline.max(1e-6)
    }

    /// Time since the last sample.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last)
    }
}
