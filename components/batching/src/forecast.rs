//! Forecasts of a pool: its throughput, the time until a piece is made, and the pieces that wait.

use std::time::{Duration, Instant};

use eligibility::Eligibility;

use crate::filling::effective_due_of;
use crate::pool::{MIN_DURATION, PendingPiece, Pool};
use crate::queue::QueueCounts;
use crate::worker::Worker;

/// Exponent with which the wait for a free worker grows with the fraction of busy workers.
const WAIT_EXPONENT: i32 = 2;

impl Pool {
    /// Returns the pieces per second that the pool makes with calls as full as its workers' room
    /// allows.
    pub fn rate(&self, now: Instant) -> f64 {
        let largest_result =
            self.jobs.values().map(|job| job.submission.result_bytes).max().unwrap_or(0);
        // Half of the room holds results that wait to be used.
        let by_room = (self.spec.room_bytes / 2).checked_div(largest_result);
        let by_room = by_room.map_or(usize::MAX, |count| usize::try_from(count).unwrap_or(1));
        let full = self.spec.batch.min(by_room).max(1) as f64;
        let full = self.backlogged_pieces.map_or(full, |pieces| full.min(pieces)).max(1.0);
        let call_secs = self.spec.call.as_secs_f64() + full * self.spec.piece.as_secs_f64();
        let calls_per_s =
            f64::from(self.spec.at_once.max(1)) / call_secs.max(MIN_DURATION.as_secs_f64());
        let schedulable = self.workers.values().filter(|worker| self.is_schedulable(worker, now));
        schedulable.map(|worker| calls_per_s.min(worker.max_call_rate())).sum::<f64>() * full
    }

    /// Whether a worker may be called now, or once its rate limit allows the next call.
    fn is_schedulable(&self, worker: &Worker, now: Instant) -> bool {
        let eligibility = self.halls.eligibility(&worker.target, now);
        let is_open = matches!(eligibility, Eligibility::Open | Eligibility::Limited);
        is_open && worker.can_take_call(u32::MAX, now)
    }

    /// Returns the expected time from submitting a piece, if no others wait, until its result is
    /// made: up to half of a call in progress, depending on the fraction of busy workers, and the
    /// piece's own call.
    pub fn expected_turnaround(&self) -> Duration {
        let busy = self.workers.values().filter(|worker| worker.active_calls > 0).count() as f64;
        let busy_fraction = busy / self.workers.len().max(1) as f64;
        let next_free = self.spec.call.mul_f64(busy_fraction.powi(WAIT_EXPONENT) / 2.0);
        next_free + self.spec.call + self.spec.piece.mul_f64(self.mean_pieces)
    }

    /// Returns counts of the waiting pieces that can still be in time, by urgency and slack.
    pub fn queue_counts(&self, now: Instant) -> QueueCounts {
        let mut queue = QueueCounts::default();
        let submission = |waiting: &PendingPiece| Some(&self.jobs.get(waiting.job)?.submission);
        for submission in self.waiting.iter().filter_map(submission) {
            if submission.due > now + self.spec.call {
                let slack = effective_due_of(submission).saturating_duration_since(now);
                queue.add(submission.urgency, slack);
            }
        }
        queue
    }
}
