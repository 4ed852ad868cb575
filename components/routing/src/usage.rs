//! Slot usage of a lane by priority class, and the headroom kept for more urgent classes.

use std::time::{Duration, Instant};

use ids::Priority;

/// Weight of a new sample in the mean time for which a slot is held.
const HOLD_WEIGHT: f64 = 0.1;
/// Time constant over which usage is averaged, in seconds.
const WINDOW_SECONDS: f64 = 5.0;
/// Number of standard deviations above the mean usage of a more urgent class that are kept free for
/// it. The standard deviation is estimated as the square root of the mean.
const HEADROOM_DEVIATIONS: f64 = 1.0;
/// Fraction of the slot releases expected within the slack of an urgent call that counts as
/// available to it.
const COUNTED_RELEASES: f64 = 0.2;
/// Weight of a new sample in the mean slack, that is the time for which a call can wait.
const SLACK_WEIGHT: f64 = 0.05;
/// Minimum fraction of the slots assumed for a class, however many the more urgent classes use.
const MIN_FRACTION: f64 = 0.05;

/// Usage by one priority class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassUsage {
    in_flight: u32,
    /// Mean time for which a call holds its slot, in seconds.
    hold: Option<f64>,
    /// Mean time from the request of a slot to the latest start of the call, in seconds.
    slack: Option<f64>,
    /// Slot time used by calls that ended, in seconds, with exponential decay over the window.
    slot_seconds: f64,
    /// When `slot_seconds` was last updated.
    last: Option<Instant>,
}

impl ClassUsage {
    /// Mean number of slots in use, computed from the calls that ended.
    fn mean(&self, now: Instant) -> f64 {
        let age = self.last.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.slot_seconds * (-age / WINDOW_SECONDS).exp() / WINDOW_SECONDS
    }
}

/// Usage of a lane by priority class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    classes: [ClassUsage; Priority::ALL.len()],
}

impl Usage {
    pub(crate) fn record_grant(&mut self, class: Priority) {
        self.classes[class as usize].in_flight += 1;
    }

    /// Counts a released slot. `took` is `None` if the call was not answered and so is no sample of
    /// the hold time.
    pub(crate) fn record_release(&mut self, class: Priority, took: Option<Duration>, now: Instant) {
        let usage = &mut self.classes[class as usize];
        usage.in_flight = usage.in_flight.saturating_sub(1);
        let Some(seconds) = took.map(|took| took.as_secs_f64()) else { return };
        let hold = usage.hold.get_or_insert(seconds);
        *hold += HOLD_WEIGHT * (seconds - *hold);
        usage.slot_seconds = usage.mean(now) * WINDOW_SECONDS + seconds;
        usage.last = Some(now);
    }

    /// Mean time for which a call of the class holds its slot; `None` before the first sample.
    pub(crate) fn mean_hold(&self, class: Priority) -> Option<Duration> {
        self.classes[class as usize].hold.map(Duration::from_secs_f64)
    }

    /// Records how long a call can wait before its latest start.
    pub(crate) fn record_slack(&mut self, class: Priority, slack: Duration) {
        let seconds = slack.as_secs_f64();
        let mean = self.classes[class as usize].slack.get_or_insert(seconds);
        *mean += SLACK_WEIGHT * (seconds - *mean);
    }

    /// Slots to keep free for classes more urgent than this one: their mean usage plus a
    /// deviation, less their calls in flight and the slots expected to be released in time.
    pub(crate) fn headroom(&self, class: Priority, now: Instant) -> f64 {
        let releases_per_s = self.releases_per_s();
        let needed = |usage: &ClassUsage| {
            let mean = usage.mean(now);
            let in_time = COUNTED_RELEASES * releases_per_s * usage.slack.unwrap_or(0.0);
            let wanted = mean + HEADROOM_DEVIATIONS * mean.sqrt();
            (wanted - f64::from(usage.in_flight) - in_time).max(0.0)
        };
        self.classes[..class as usize].iter().map(needed).sum()
    }

    /// Expected number of slots released per second.
    fn releases_per_s(&self) -> f64 {
        let releases_of = |usage: &ClassUsage| {
            usage.hold.map_or(0.0, |hold| f64::from(usage.in_flight) / hold.max(1e-3))
        };
        self.classes.iter().map(releases_of).sum()
    }

    /// Part of `slots` that the more urgent classes leave on average, with a minimum fraction.
    pub(crate) fn slots_left_for(&self, class: Priority, slots: f64, now: Instant) -> f64 {
        let urgent: f64 = self.classes[..class as usize].iter().map(|u| u.mean(now)).sum();
        (slots - urgent).max(slots * MIN_FRACTION)
    }
}
