//! How much of a lane each class of requests uses.

use std::time::{Duration, Instant};

use ids::Priority;

/// Weight of a new sample of the time that a slot is held.
const HOLD_WEIGHT: f64 = 0.1;
/// Time over which use is averaged, in seconds.
const WINDOW: f64 = 5.0;
/// Standard deviations above the mean use of urgent classes that are kept free for them.
const HEADROOM_SPREADS: f64 = 1.0;
/// Share of the slots that is counted on for a class however much the urgent ones use.
const LEAST_SHARE: f64 = 0.1;

#[derive(Debug, Clone, Copy, Default)]
struct ClassUsage {
    in_flight: u32,
    /// Mean time that a call holds its slot, in seconds.
    hold: Option<f64>,
    /// Seconds that slots were held, fading over the window.
    held: f64,
    last: Option<Instant>,
}

impl ClassUsage {
    /// Slots used on average, by what ended and what is under way.
    fn mean(&self, now: Instant) -> f64 {
        let age = self.last.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.held * (-age / WINDOW).exp() / WINDOW
    }
}

/// Use of a lane by class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    classes: [ClassUsage; Priority::ALL.len()],
}

impl Usage {
    pub(crate) fn granted(&mut self, class: Priority) {
        self.classes[class as usize].in_flight += 1;
    }

    /// Counts a slot that was given back; `took` is `None` if the call says nothing of its kind.
    pub(crate) fn released(&mut self, class: Priority, took: Option<Duration>, now: Instant) {
        let usage = &mut self.classes[class as usize];
        usage.in_flight = usage.in_flight.saturating_sub(1);
        let Some(seconds) = took.map(|took| took.as_secs_f64()) else { return };
        let hold = usage.hold.get_or_insert(seconds);
        *hold += HOLD_WEIGHT * (seconds - *hold);
        usage.held = usage.mean(now) * WINDOW + seconds;
        usage.last = Some(now);
    }

    /// Mean time that a call of the class holds its slot.
    pub(crate) fn hold(&self, class: Priority) -> Option<Duration> {
        self.classes[class as usize].hold.map(Duration::from_secs_f64)
    }

    /// Slots to be left free for classes more urgent than this one.
    pub(crate) fn headroom(&self, class: Priority, now: Instant) -> f64 {
        let needed = |usage: &ClassUsage| {
            let mean = usage.mean(now);
            (mean + HEADROOM_SPREADS * mean.sqrt() - f64::from(usage.in_flight)).max(0.0)
        };
        self.classes[..class as usize].iter().map(needed).sum()
    }

    /// Of `slots`, those that the classes more urgent than this one leave on average.
    pub(crate) fn left_for(&self, class: Priority, slots: f64, now: Instant) -> f64 {
        let urgent: f64 = self.classes[..class as usize].iter().map(|u| u.mean(now)).sum();
        (slots - urgent).max(slots * LEAST_SHARE)
    }
}
