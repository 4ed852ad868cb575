//! State of a pool's worker (a target) at the owner: load, room, speed and backoff after failures.

use std::time::{Duration, Instant};

use intent::Target;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a worker in its pool.
    pub struct WorkerKey;
}

/// Weight of a new call in the moving average [`Worker::slowdown`].
const SLOWDOWN_WEIGHT: f64 = 0.4;
/// Backoff after the first failure; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Upper bound of the backoff after failures.
const MAX_BACKOFF: Duration = Duration::from_millis(3200);
/// Backoff after a worker was full, which happens only when another owner calls it too.
const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Backoff after a worker had no room for a result, for instance because it stores results of
/// another owner.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(120);

/// Estimated room used by results unknown to this owner: those of calls whose answer was lost, and
/// those of a previous owner. It falls evenly from `bytes` at `since` to zero at `until`.
#[derive(Debug, Clone, Copy)]
struct ForeignRoom {
    bytes: u64,
    since: Instant,
    until: Instant,
}

/// A worker of a pool.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) target: Target,
    /// Calls in progress.
    pub(crate) active_calls: u32,
    /// Bytes of room used by this owner's calls and results.
    pub(crate) room_used: u64,
    /// Moving average of the time that calls take, as a multiple of the time expected from the
    /// pool's configuration.
    pub(crate) slowdown: f64,
    /// Number of failed calls since the last answered one.
    failures: u32,
    backoff_until: Option<Instant>,
    foreign: Option<ForeignRoom>,
}

impl Worker {
    pub(crate) fn new(target: Target) -> Self {
        Worker {
            target,
            active_calls: 0,
            room_used: 0,
            slowdown: 1.0,
            failures: 0,
            backoff_until: None,
            foreign: None,
        }
    }

    /// Whether the worker is not in backoff and has fewer than `at_once` calls in progress.
    pub(crate) fn can_take_call(&self, at_once: u32, now: Instant) -> bool {
        let in_backoff = self.backoff_until.is_some_and(|until| now < until);
        !in_backoff && self.active_calls < at_once
    }

    /// Returns the calls per second that the worker accepts, from the rate that it advertises.
    pub(crate) fn max_call_rate(&self) -> f64 {
        self.target.request_interval.map_or(f64::INFINITY, |interval| 1.0 / interval.as_secs_f64())
    }

    /// Returns when the worker may be called again, if it is in backoff.
    pub(crate) fn backoff_until(&self) -> Option<Instant> {
        self.backoff_until
    }

    /// Ends the backoff after an answered call and updates the slowdown.
    pub(crate) fn record_answer(&mut self, took: Duration, expected: Duration) {
        self.failures = 0;
        self.backoff_until = None;
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(f64::EPSILON);
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown);
    }

    /// Starts a backoff because the worker was full.
    pub(crate) fn record_full(&mut self, now: Instant) {
        self.backoff_until = Some(now + FULL_BACKOFF);
    }

    /// Starts a backoff because the worker had no room for a result.
    pub(crate) fn record_no_room(&mut self, now: Instant) {
        self.backoff_until = Some(now + NO_ROOM_BACKOFF);
    }

    /// Starts a backoff that doubles with each consecutive failure.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = Some(now + backoff);
    }

    /// Records that results unknown to this owner use `bytes`. They are assumed to expire evenly
    /// within `lifetime`, that of a result.
    pub(crate) fn set_foreign_room(&mut self, bytes: u64, lifetime: Duration, now: Instant) {
        self.foreign = Some(ForeignRoom { bytes, since: now, until: now + lifetime });
    }

    /// Returns the estimated bytes that results unknown to this owner still use.
    pub(crate) fn foreign_room(&self, now: Instant) -> u64 {
        let Some(ForeignRoom { bytes, since, until }) = self.foreign else { return 0 };
        let lifetime_secs = (until - since).as_secs_f64().max(f64::EPSILON);
        let left_fraction = until.saturating_duration_since(now).as_secs_f64() / lifetime_secs;
        (bytes as f64 * left_fraction) as u64
    }

    /// Whether a call of the worker failed and none was answered since.
    pub(crate) fn last_call_failed(&self) -> bool {
        self.failures > 0
    }
}
