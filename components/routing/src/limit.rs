//! Adaptive concurrency limit of a target, adjusted by call latency and load reports.

use std::time::{Duration, Instant};

/// A call that takes more than this many times its unloaded time shows that the target is
/// overloaded.
const SLOW_RATIO: f64 = 3.0;
/// Factor on the limit after a slow answer or a report of queued calls.
const SLOW_FACTOR: f64 = 0.9;
/// Factor on the limit when the target declines a call.
const DECLINED_FACTOR: f64 = 0.7;
/// Minimum time between two decreases, so that one burst counts once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two decreases for load reports. It is longer, as late reports show the same
/// queue several times.
const REPORT_DECREASE_INTERVAL: Duration = Duration::from_secs(1);

/// Feedback of an ended call for the limit of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Signal {
    /// The call took `ratio` times its unloaded time; `queued` calls waited at the target.
    Answered { ratio: f64, queued: u32 },
    /// The target was too busy to run the call.
    Declined,
}

/// Limit on concurrent calls with additive increase and multiplicative decrease. It never exceeds
/// the slots that the target's declaration names, nor falls below 1.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limit {
    value: f64,
    /// Upper bound of the limit.
    slots: f64,
    last_decrease: Option<Instant>,
}

impl Limit {
    pub(crate) fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Limit { value: slots, slots, last_decrease: None }
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Adjusts the limit after a call that ended. It rises only if `filled`, that is if this VM
    /// used most of its allowance at the target.
    pub(crate) fn update(&mut self, signal: Signal, filled: bool, now: Instant) {
        match signal {
            Signal::Declined => self.decrease(DECLINED_FACTOR, DECREASE_INTERVAL, now),
            Signal::Answered { ratio, .. } if ratio > SLOW_RATIO => {
                self.decrease(SLOW_FACTOR, DECREASE_INTERVAL, now);
            }
            Signal::Answered { queued, .. } if queued > 0 => {
                self.decrease(SLOW_FACTOR, REPORT_DECREASE_INTERVAL, now);
            }
            Signal::Answered { .. } if filled => {
                self.value = (self.value + 1.0 / self.value).min(self.slots);
            }
            Signal::Answered { .. } => {}
        }
    }

    fn decrease(&mut self, factor: f64, min_interval: Duration, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < min_interval;
        if !self.last_decrease.is_some_and(recent) {
            self.value = (self.value * factor).max(1.0);
            self.last_decrease = Some(now);
        }
    }
}
