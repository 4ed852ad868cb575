//! Observed times of stages.

use std::time::{Duration, Instant};

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Weight of a sample below the baseline.
const DOWN_WEIGHT: f64 = 0.2;
/// Weight of a sample above the baseline; small, so that the baseline stays low under load.
const UP_WEIGHT: f64 = 0.005;

/// Spreads above the mean that a stage is given.
const SPREADS: f64 = 2.0;

/// Running mean and unloaded baseline of one stage's times, in seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StageTimes {
    mean: f64,
    /// Mean distance from the mean.
    spread: f64,
    baseline: f64,
    last: Instant,
}

impl StageTimes {
    pub(crate) fn first(took: Duration, now: Instant) -> Self {
        let seconds = took.as_secs_f64();
        StageTimes { mean: seconds, spread: 0.0, baseline: seconds, last: now }
    }

    pub(crate) fn add(&mut self, took: Duration, now: Instant) {
        let seconds = took.as_secs_f64();
        self.spread += MEAN_WEIGHT * ((seconds - self.mean).abs() - self.spread);
        self.mean += MEAN_WEIGHT * (seconds - self.mean);
        let weight = if seconds < self.baseline { DOWN_WEIGHT } else { UP_WEIGHT };
        self.baseline += weight * (seconds - self.baseline);
        self.last = now;
    }

    /// Time that nearly all take.
    pub(crate) fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.mean + SPREADS * self.spread)
    }

    /// How many times longer than unloaded `took` is.
    pub(crate) fn ratio(&self, took: Duration) -> f64 {
        took.as_secs_f64() / self.baseline.max(1e-6)
    }

    /// Time since the last sample.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last)
    }
}
