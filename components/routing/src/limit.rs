//! How many calls at once a target can run, learned from latency and load reports.

use std::time::{Duration, Instant};

/// A call this many times longer than unloaded shows that the target is overloaded.
const SLOW_RATIO: f64 = 3.0;
/// Factor on a slow answer.
const SLOW_FACTOR: f64 = 0.9;
/// Factor when the target declines a call.
const DECLINED_FACTOR: f64 = 0.7;
/// Least time between two decreases, so that one burst counts once.
const DECREASE_PAUSE: Duration = Duration::from_millis(100);
/// The same for a decrease on a load report, which tells the same for as long as it is late.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// What an ended call shows about its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Signal {
    /// It took `ratio` times its unloaded time; `queued` calls waited at the target.
    Answered { ratio: f64, queued: u32 },
    /// The target was too busy to run it.
    Declined,
}

/// A learned limit on calls at once: additive increase up to the slots that the target's owner
/// names, multiplicative decrease.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limit {
    value: f64,
    slots: f64,
    decreased: Option<Instant>,
}

impl Limit {
    pub(crate) fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Limit { value: slots, slots, decreased: None }
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Learns from a call that ended; `filled` says that the target was used to the limit.
    pub(crate) fn learn(&mut self, signal: Signal, filled: bool, now: Instant) {
        match signal {
            Signal::Declined => self.decrease(DECLINED_FACTOR, DECREASE_PAUSE, now),
            Signal::Answered { ratio, .. } if ratio > SLOW_RATIO => {
                self.decrease(SLOW_FACTOR, DECREASE_PAUSE, now);
            }
            Signal::Answered { queued, .. } if queued > 0 => {
                self.decrease(SLOW_FACTOR, REPORT_PAUSE, now);
            }
            Signal::Answered { .. } if filled => {
                self.value = (self.value + 1.0 / self.value).min(self.slots);
            }
            Signal::Answered { .. } => {}
        }
    }

    fn decrease(&mut self, factor: f64, pause: Duration, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < pause;
        if !self.decreased.is_some_and(recent) {
            self.value = (self.value * factor).max(1.0);
            self.decreased = Some(now);
        }
    }
}
