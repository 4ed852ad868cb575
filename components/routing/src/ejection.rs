//! Targets that fail or are slow against their peers get no work for a while.

use std::time::{Duration, Instant};

/// Failures or refusals in a row after which a target is ejected.
const FAILURES: u32 = 3;
/// First time out; doubles with each ejection in a row.
const FIRST_TIME: Duration = Duration::from_secs(1);
/// Longest time out; bounds how long a pool that failed as a whole takes to come back.
const LONGEST_TIME: Duration = Duration::from_secs(4);
/// Weight of a new ratio.
const RATIO_WEIGHT: f64 = 0.2;
/// A target this many times slower than the median of its peers is ejected.
pub(crate) const SLOW_AGAINST_PEERS: f64 = 4.0;
/// Calls before a target's ratio means something.
const LEAST_CALLS: u32 = 5;
/// Largest share of the targets of a lane that may be out for slowness.
pub(crate) const MOST_EJECTED: f64 = 0.34;

/// Health of one target as this VM sees it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    failures: u32,
    calls: u32,
    ratio: f64,
    until: Option<Instant>,
    in_a_row: u32,
}

impl Health {
    /// Whether the target may get work; after its time out it gets it again, as a probe.
    pub(crate) fn usable(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// When its time out ends.
    pub(crate) fn until(&self) -> Option<Instant> {
        self.until
    }

    /// How many times its unloaded time its calls take, if enough are known.
    pub(crate) fn ratio(&self) -> Option<f64> {
        (self.calls >= LEAST_CALLS).then_some(self.ratio)
    }

    pub(crate) fn answered(&mut self, ratio: f64, now: Instant) {
        self.failures = 0;
        self.calls = self.calls.saturating_add(1);
        let weight = if self.calls == 1 { 1.0 } else { RATIO_WEIGHT };
        self.ratio += weight * (ratio - self.ratio);
        if self.usable(now) && ratio < SLOW_AGAINST_PEERS {
            self.until = None;
            self.in_a_row = 0;
        }
    }

    /// Counts a failure; ejects after several in a row, at once if it can't be reached.
    pub(crate) fn failed(&mut self, unreachable: bool, now: Instant) {
        self.failures += 1;
        if unreachable || self.failures >= FAILURES {
            self.eject(now);
        }
    }

    pub(crate) fn eject(&mut self, now: Instant) {
        if !self.usable(now) {
            return;
        }
        let time = FIRST_TIME * 2u32.saturating_pow(self.in_a_row.min(8));
        self.until = Some(now + time.min(LONGEST_TIME));
        self.in_a_row += 1;
        self.failures = 0;
        self.calls = 0;
        self.ratio = 0.0;
    }
}
