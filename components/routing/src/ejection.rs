//! Outlier ejection: targets that fail, or that are slow compared to their peers, get no calls for
//! a time.

use std::time::{Duration, Instant};

/// Consecutive failures or declined calls after which a target is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each consecutive ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection; bounds the recovery time of a pool that failed as a whole.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Weight of a new sample in the mean latency ratio, which is call time divided by unloaded time.
const RATIO_WEIGHT: f64 = 0.2;
/// A target whose latency ratio exceeds this multiple of the median of its lane is ejected.
pub(crate) const SLOW_VS_MEDIAN: f64 = 4.0;
/// Minimum number of answered calls before a target's latency ratio is used.
const MIN_CALLS: u32 = 5;
/// Maximum fraction of the targets of a lane that may be ejected when one is ejected for slowness.
pub(crate) const MAX_EJECTED_FRACTION: f64 = 0.34;

/// Health of one target as this VM sees it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    /// Consecutive failures and declined calls.
    failures: u32,
    /// Answered calls since the last ejection.
    calls: u32,
    /// Mean latency ratio of these calls.
    ratio: f64,
    ejected_until: Option<Instant>,
    consecutive_ejections: u32,
}

impl Health {
    /// Whether the target may get calls. After its ejection it gets them again, as a probe.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
    }

    /// When its ejection ends or ended; `None` if it is healthy.
    pub(crate) fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Mean ratio of call times to the unloaded time, if there are enough calls.
    pub(crate) fn ratio(&self) -> Option<f64> {
        (self.calls >= MIN_CALLS).then_some(self.ratio)
    }

    /// Counts an answered call with its latency ratio. A call that is not slow ends the probe after
    /// an ejection.
    pub(crate) fn record_success(&mut self, ratio: f64, now: Instant) {
        self.failures = 0;
        self.calls = self.calls.saturating_add(1);
        let weight = if self.calls == 1 { 1.0 } else { RATIO_WEIGHT };
        self.ratio += weight * (ratio - self.ratio);
        if self.is_usable(now) && ratio < SLOW_VS_MEDIAN {
            self.ejected_until = None;
            self.consecutive_ejections = 0;
        }
    }

    /// Counts a failure. Ejects the target after several consecutive ones, or at once if it is
    /// unreachable.
    pub(crate) fn record_failure(&mut self, unreachable: bool, now: Instant) {
        self.failures += 1;
        if unreachable || self.failures >= EJECTION_FAILURES {
            self.eject(now);
        }
    }

    /// Ejects the target, unless it is ejected already, and resets its counts.
    pub(crate) fn eject(&mut self, now: Instant) {
        if !self.is_usable(now) {
            return;
        }
        let time = FIRST_EJECTION * 2u32.saturating_pow(self.consecutive_ejections.min(8));
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
        self.consecutive_ejections += 1;
        self.failures = 0;
        self.calls = 0;
        self.ratio = 0.0;
    }
}
