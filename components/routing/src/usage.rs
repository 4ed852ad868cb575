//! How much of a lane each class of requests uses.

use std::time::{Duration, Instant};

use ids::Priority;

/// Weight of a new sample of the time that a slot is held.
const HOLD_WEIGHT: f64 = 0.1;
/// Time over which use is averaged, in seconds.
const WINDOW: f64 = 5.0;
/// Standard deviations above the mean use of urgent classes that are kept free for them.
const HEADROOM_SPREADS: f64 = 1.0;
/// Of the slots that come free while an urgent call can wait, the share it can count on.
const RELEASES_COUNTED: f64 = 0.2;
/// Weight of a new sample of the time that a call could wait.
const SLACK_WEIGHT: f64 = 0.05;
/// Share of the slots that is counted on for a class however much the urgent ones use.
const LEAST_SHARE: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct ClassUsage {
    in_flight: u32,
    /// Mean time that a call holds its slot, in seconds.
    hold: Option<f64>,
    /// Mean time that a call could wait before it must begin, in seconds.
    slack: Option<f64>,
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

    /// Notes how long a call could wait before it must begin.
    pub(crate) fn asked(&mut self, class: Priority, slack: Duration) {
        let seconds = slack.as_secs_f64();
        let mean = self.classes[class as usize].slack.get_or_insert(seconds);
        *mean += SLACK_WEIGHT * (seconds - *mean);
    }

    /// Slots to be left free for classes more urgent than this one: their mean use and a
    /// deviation, less what comes free in time anyway.
    pub(crate) fn headroom(&self, class: Priority, now: Instant) -> f64 {
        let releases = self.releases();
        let needed = |usage: &ClassUsage| {
            let mean = usage.mean(now);
            let in_time = RELEASES_COUNTED * releases * usage.slack.unwrap_or(0.0);
            let wanted = mean + HEADROOM_SPREADS * mean.sqrt();
            (wanted - f64::from(usage.in_flight) - in_time).max(0.0)
        };
        self.classes[..class as usize].iter().map(needed).sum()
    }

    /// Slots that come free a second.
    fn releases(&self) -> f64 {
        let of = |usage: &ClassUsage| {
            usage.hold.map_or(0.0, |hold| f64::from(usage.in_flight) / hold.max(1e-3))
        };
        self.classes.iter().map(of).sum()
    }

    /// Of `slots`, those that the classes more urgent than this one leave on average.
    pub(crate) fn left_for(&self, class: Priority, slots: f64, now: Instant) -> f64 {
        let urgent: f64 = self.classes[..class as usize].iter().map(|u| u.mean(now)).sum();
        (slots - urgent).max(slots * LEAST_SHARE)
    }
}
