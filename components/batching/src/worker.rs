//! A target of a pool, as its owner sees it.

use std::time::{Duration, Instant};

use intent::Target;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a worker in its pool.
    pub struct WorkerKey;
}

/// Weight of a new call's time in the learned pace.
const PACE_WEIGHT: f64 = 0.4;
/// Time out after a first failure; doubles with each failure in a row.
const FIRST_REST: Duration = Duration::from_millis(400);
/// Longest time out.
const LONGEST_REST: Duration = Duration::from_millis(3200);
/// Pause after a worker was full, which it is only with another owner's calls.
const FULL_REST: Duration = Duration::from_millis(60);

/// Pause after a worker had no room for a result, which another owner had it make.
const NO_ROOM_REST: Duration = Duration::from_millis(120);

/// Room that results of others take: those that a call left behind whose answer did not come, and those
/// of an owner before this one.
#[derive(Debug, Clone, Copy)]
struct ForeignRoom {
    bytes: u64,
    since: Instant,
    until: Instant,
}

/// State of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) target: Target,
    pub(crate) at_work: u32,
    pub(crate) room_used: u64,
    /// Time that its calls take against what the pool's figures say.
    pub(crate) pace: f64,
    failures: u32,
    rests_until: Option<Instant>,
    foreign: Option<ForeignRoom>,
}

impl Worker {
    pub(crate) fn new(target: Target) -> Self {
        Worker {
            target,
            at_work: 0,
            room_used: 0,
            pace: 1.0,
            failures: 0,
            rests_until: None,
            foreign: None,
        }
    }

    pub(crate) fn may_work(&self, at_once: u32, now: Instant) -> bool {
        let rests = self.rests_until.is_some_and(|until| now < until);
        !rests && self.at_work < at_once
    }

    /// Calls a second that it takes by the rate that it names.
    pub(crate) fn most_calls(&self) -> f64 {
        self.target.request_interval.map_or(f64::INFINITY, |pause| 1.0 / pause.as_secs_f64())
    }

    /// When it may work again, if it rests.
    pub(crate) fn rests_until(&self) -> Option<Instant> {
        self.rests_until
    }

    pub(crate) fn answered(&mut self, took: Duration, expected: Duration) {
        self.failures = 0;
        self.rests_until = None;
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(f64::EPSILON);
        self.pace += PACE_WEIGHT * (ratio - self.pace);
    }

    pub(crate) fn was_full(&mut self, now: Instant) {
        self.rests_until = Some(now + FULL_REST);
    }

    pub(crate) fn had_no_room(&mut self, now: Instant) {
        self.rests_until = Some(now + NO_ROOM_REST);
    }

    pub(crate) fn failed(&mut self, now: Instant) {
        let rest = FIRST_REST.saturating_mul(1 << self.failures.min(8)).min(LONGEST_REST);
        self.failures = self.failures.saturating_add(1);
        self.rests_until = Some(now + rest);
    }

    /// Notes that results that nobody here knows of take `bytes`; they run out one by one within
    /// `life`, the life of a result.
    pub(crate) fn set_foreign(&mut self, bytes: u64, life: Duration, now: Instant) {
        self.foreign = Some(ForeignRoom { bytes, since: now, until: now + life });
    }

    /// Bytes that such results still take, if as many run out in each part of their life.
    pub(crate) fn foreign_room(&self, now: Instant) -> u64 {
        let Some(ForeignRoom { bytes, since, until }) = self.foreign else { return 0 };
        let life = (until - since).as_secs_f64().max(f64::EPSILON);
        let left = until.saturating_duration_since(now).as_secs_f64() / life;
        (bytes as f64 * left) as u64
    }

    /// Whether its last call failed.
    pub(crate) fn doubtful(&self) -> bool {
        self.failures > 0
    }
}
