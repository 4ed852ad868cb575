//! What may be expected of a pool: how long a piece takes, how much waits, how fast it drains.

use std::time::{Duration, Instant};

use eligibility::Eligibility;

use crate::filling::order_key;
use crate::pool::{LEAST_TIME, Pool, Waiting};
use crate::slack::Queue;
use crate::worker::Worker;

/// With a part of the workers busy, the wait for a free one grows with this power of the part.
const NEXT_FREE_POWER: i32 = 2;

impl Pool {
    /// Pieces that the pool makes in a second with full calls, as far as its workers' room allows.
    pub fn rate(&self, now: Instant) -> f64 {
        let largest = self.jobs.values().map(|job| job.submission.result_bytes).max().unwrap_or(0);
        // Half of the room holds results that wait to be used.
        let by_room = (self.spec.room_bytes / 2).checked_div(largest);
        let by_room = by_room.map_or(usize::MAX, |count| usize::try_from(count).unwrap_or(1));
        let full = self.spec.batch.min(by_room).max(1) as f64;
        let full = self.pressed_pieces.map_or(full, |pressed| full.min(pressed)).max(1.0);
        let time = self.spec.call.as_secs_f64() + full * self.spec.piece.as_secs_f64();
        let calls = f64::from(self.spec.at_once.max(1)) / time.max(LEAST_TIME.as_secs_f64());
        let able = self.workers.values().filter(|worker| self.is_able(worker, now));
        able.map(|worker| calls.min(worker.most_calls())).sum::<f64>() * full
    }

    /// Whether a worker may be called now, or once its rate allows the next call.
    fn is_able(&self, worker: &Worker, now: Instant) -> bool {
        let eligibility = self.halls.eligibility(&worker.target, now);
        let is_open = matches!(eligibility, Eligibility::Open | Eligibility::Limited);
        is_open && worker.may_work(u32::MAX, now)
    }

    /// Expected time from submitting a piece to a pool with no queue to its result: half of what is
    /// at work, and its own call.
    pub fn expected_turnaround(&self) -> Duration {
        let busy = self.workers.values().filter(|worker| worker.at_work > 0).count() as f64;
        let of_all = busy / self.workers.len().max(1) as f64;
        let next_free = self.spec.call.mul_f64(of_all.powi(NEXT_FREE_POWER) / 2.0);
        next_free + self.spec.call + self.spec.piece.mul_f64(self.usual_pieces)
    }

    /// Pieces that wait and can still be in time, by slack.
    pub fn queue(&self, now: Instant) -> Queue {
        let mut queue = Queue::default();
        let submission = |waiting: &Waiting| Some(&self.jobs.get(waiting.job)?.submission);
        for submission in self.waiting.iter().filter_map(submission) {
            if submission.due > now + self.spec.call {
                let slack = order_key(submission).saturating_duration_since(now);
                queue.add(submission.urgency, slack);
            }
        }
        queue
    }
}
