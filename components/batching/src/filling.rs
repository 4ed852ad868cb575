//! Chooses the worker and the pieces of the next call.

use std::time::{Duration, Instant};

use eligibility::Eligibility;

use crate::pool::{ActiveCall, MIN_DURATION, PendingPiece, Pool};
use crate::submission::{Call, JobKey, PieceOrder, Submission};
use crate::worker::{Worker, WorkerKey};

/// Longest time that a piece waits for a worker in its preferred hall, as a fraction of a call's
/// configured time.
const PREFERRED_HALL_WAIT_FRACTION: f64 = 0.8;
/// Slack added to a piece for each step of lower urgency, so that requests of high value with many
/// stages precede requests of low value with few. It decides only among pieces that can still be in
/// time. A smaller step lets more pieces of low urgency with an early due time precede urgent ones.
const URGENCY_STEP: Duration = Duration::from_millis(400);
/// A call that takes longer than this multiple of the expected time, plus [`TIMEOUT_MARGIN`], is
/// given up and its pieces are requeued.
const TIMEOUT_FACTOR: f64 = 2.5;
/// Time added to [`TIMEOUT_FACTOR`] times the expected time of a call to get its timeout.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
/// After this many failed attempts, a piece shares calls only with pieces of its own request: a
/// piece that crashes every worker must not use up the attempts of others, nor make them look like
/// the cause. Without this limit, all four requests of a call shared all four failed calls of such
/// a piece; with it they share two (`a_piece_that_fails_its_calls_...` in `tests/pool.rs`). After a
/// single failed call, pieces still share calls: most often the worker crashed by itself.
const ISOLATION_ATTEMPTS: u32 = 2;
/// Weight of a new call in the moving average of pieces in a call.
const PIECES_WEIGHT: f64 = 0.2;
/// Weight of a new call in the moving average of pieces in calls that leave others waiting. Such
/// calls get smaller when results that wait to be used take up room, which lasts for some seconds
/// and dozens of calls.
const BACKLOGGED_WEIGHT: f64 = 0.05;
/// Time that a target needs at most, in addition to the transfer, to fetch the inputs of a call:
/// many times the latency between halls.
const FETCH_MARGIN: Duration = Duration::from_millis(20);
/// Network links that an input crosses: that of its worker and that of the target that fetches it.
const FETCH_LINKS: f64 = 2.0;

/// Returns the due time by which the pieces of a submission are ordered.
pub(crate) fn effective_due_of(submission: &Submission) -> Instant {
    effective_due(submission.due, submission.urgency)
}

/// Returns the due time by which pieces are ordered: `due` plus the slack added for lower urgency.
pub fn effective_due(due: Instant, urgency: u8) -> Instant {
    due + URGENCY_STEP * u32::from(urgency)
}

/// Whether a piece may join a call whose first piece is `first`.
fn may_share(first: &PendingPiece, other: &PendingPiece) -> bool {
    let is_isolated = |piece: &PendingPiece| piece.failed_attempts >= ISOLATION_ATTEMPTS;
    first.job == other.job || (!is_isolated(first) && !is_isolated(other))
}

/// Returns the time after which a call is given up.
fn call_timeout(expected: Duration) -> Duration {
    expected.mul_f64(TIMEOUT_FACTOR) + TIMEOUT_MARGIN
}

impl Pool {
    /// Returns the next call to make now, if a worker is free and a piece waits for it.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        self.expire(now);
        if self.waiting.is_empty() {
            return None;
        }
        self.sort_waiting(now);
        let mut free: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| self.can_take_call(worker, self.spec.at_once.max(1), now))
            .map(|(key, _)| key)
            .collect();
        // Workers whose last call failed come last. Those of a version with limited traffic come
        // first, since it would get less than its part otherwise.
        free.sort_by(|a, b| {
            let (a, b) = (&self.workers[*a], &self.workers[*b]);
            let by_failure = a.last_call_failed().cmp(&b.last_call_failed());
            let by_limit = self.is_limited(b).cmp(&self.is_limited(a));
            by_failure.then(by_limit).then(a.slowdown.total_cmp(&b.slowdown))
        });
        let (worker, pieces) = self.choose_call(&free, now)?;
        Some(self.start_call(worker, pieces, now))
    }

    /// Returns the next time at which a piece that waits for its preferred hall may go to any
    /// worker, or a worker may be called again.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return None;
        }
        let until = |worker: &Worker| {
            let target = &worker.target;
            worker.backoff_until().max(target.backoff_until).max(target.rate_limited_until)
        };
        let backoffs = self.workers.values().filter_map(until).filter(|at| *at > now);
        let held = self.waiting.iter().filter_map(|waiting| self.hold_until(waiting, now));
        backoffs.chain(held).min()
    }

    /// Whether a worker may be called now with fewer than `at_once` calls in progress.
    pub(crate) fn can_take_call(&self, worker: &Worker, at_once: u32, now: Instant) -> bool {
        worker.can_take_call(at_once, now) && self.is_open(worker, now)
    }

    /// Whether the worker's hall and the worker itself accept calls now.
    fn is_open(&self, worker: &Worker, now: Instant) -> bool {
        self.halls.eligibility(&worker.target, now) == Eligibility::Open
            && self.is_version_open(worker)
    }

    /// Sorts the waiting pieces: those that can still be in time first, by effective due time, then
    /// late ones. Whether a piece is late depends on its own due time: with the effective one, less
    /// urgent pieces that are already late would displace others that are not, which costs 3.6 % of
    /// the requests' value on a day of high load.
    fn sort_waiting(&mut self, now: Instant) {
        if self.order == PieceOrder::Arrival {
            return;
        }
        let earliest_end = now + self.spec.call + self.spec.piece.mul_f64(self.mean_pieces);
        let jobs = &self.jobs;
        self.waiting.sort_by_cached_key(|waiting| {
            let submission = jobs.get(waiting.job).map(|job| &job.submission);
            let late = submission.is_some_and(|submission| submission.due < earliest_end);
            (late, submission.map(effective_due_of), waiting.job, waiting.piece)
        });
    }

    /// Returns the worker and the pieces of the call that starts with the first piece for which a
    /// worker is available.
    fn choose_call(&self, free: &[WorkerKey], now: Instant) -> Option<(WorkerKey, Vec<usize>)> {
        for (index, waiting) in self.waiting.iter().enumerate() {
            let held = self.hold_until(waiting, now).is_some();
            let preferred =
                self.jobs.get(waiting.job).and_then(|job| job.submission.preferred_hall.as_ref());
            let is_allowed = |key: &&WorkerKey| self.may_run(waiting, &self.workers[**key]);
            let is_preferred = |key: &&WorkerKey| {
                let worker = &self.workers[**key];
                preferred == Some(&worker.target.hall) && !worker.last_call_failed()
            };
            let mut allowed = free.iter().filter(is_allowed);
            let worker = match allowed.clone().find(is_preferred) {
                Some(worker) => Some(worker),
                None if held => None,
                None => allowed.next(),
            };
            let Some(worker) = worker else { continue };
            let pieces = self.select_pieces(*worker, index, now);
            if !pieces.is_empty() {
                return Some((*worker, pieces));
            }
        }
        None
    }

    /// Returns the indexes of the pieces, from `first` on, that the worker may take, up to a full
    /// call and the worker's room.
    fn select_pieces(&self, key: WorkerKey, first: usize, now: Instant) -> Vec<usize> {
        let worker = &self.workers[key];
        let max_pieces = self.max_pieces(worker);
        let mut room = self.usable_room(worker, now);
        let mut selected = Vec::new();
        let first_piece = self.waiting[first];
        for (index, waiting) in self.waiting.iter().enumerate().skip(first) {
            if selected.len() == max_pieces {
                break;
            }
            if !may_share(&first_piece, waiting) || !self.may_run(waiting, worker) {
                continue;
            }
            let Some(job) = self.jobs.get(waiting.job) else { continue };
            let preferred = job.submission.preferred_hall.as_ref();
            let in_other_hall = preferred.is_some_and(|hall| *hall != worker.target.hall);
            if in_other_hall && self.hold_until(waiting, now).is_some() {
                continue;
            }
            if job.submission.result_bytes <= room {
                room -= job.submission.result_bytes;
                selected.push(index);
            }
        }
        selected
    }

    /// Whether a worker is in a hall in which the piece's request may be served.
    fn may_run(&self, waiting: &PendingPiece, worker: &Worker) -> bool {
        let submission = self.submission(waiting.job);
        submission.is_some_and(|s| s.allowed_halls.permits(&worker.target.hall))
    }

    /// Returns the bytes of a worker's room that new results may use. A worker that holds nothing
    /// may take a result of any size up to its whole room.
    fn usable_room(&self, worker: &Worker, now: Instant) -> u64 {
        let used = worker.room_used + worker.foreign_room(now);
        if used == 0 {
            return self.spec.room_bytes;
        }
        let usable = (self.spec.room_bytes as f64 * self.room_fraction) as u64;
        usable.saturating_sub(used)
    }

    /// Returns until when a piece waits for a worker in its preferred hall instead of going to any
    /// worker; `None` if it need not wait. It waits no longer than until two call times before its
    /// due time.
    fn hold_until(&self, waiting: &PendingPiece, now: Instant) -> Option<Instant> {
        let job = self.jobs.get(waiting.job)?;
        let preferred = job.submission.preferred_hall.as_ref()?;
        let mut workers = self.workers.values();
        let is_preferred = |worker: &Worker| {
            worker.target.hall == *preferred
                && !worker.last_call_failed()
                && self.may_run(waiting, worker)
        };
        if self.order == PieceOrder::Arrival
            || !workers.any(|worker| is_preferred(worker) && self.is_open(worker, now))
        {
            return None;
        }
        let max_wait = self.spec.call.mul_f64(PREFERRED_HALL_WAIT_FRACTION);
        let latest = job.submission.due.checked_sub(self.spec.call * 2)?;
        let until = (job.submitted + max_wait).min(latest);
        (until > now).then_some(until)
    }

    /// Moves waiting pieces to a new call at a worker and reserves room there for their results.
    fn start_call(&mut self, key: WorkerKey, indexes: Vec<usize>, now: Instant) -> Call {
        let pieces: Vec<PendingPiece> = indexes.iter().map(|index| self.waiting[*index]).collect();
        for index in indexes.iter().rev() {
            self.waiting.remove(*index);
        }
        let bytes_of = |piece: &PendingPiece| {
            self.jobs.get(piece.job).map_or(0, |job| job.submission.result_bytes)
        };
        let reserved_bytes = pieces.iter().map(bytes_of).sum();
        let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        let expected_duration = (self.spec.call + self.spec.piece * count).max(MIN_DURATION);
        self.mean_pieces += PIECES_WEIGHT * (f64::from(count) - self.mean_pieces);
        self.update_backlogged_pieces(count);
        let fetch_time = self.fetch_time(&pieces);
        self.take_limited_pieces(self.is_limited(&self.workers[key]), pieces.len());
        let worker = &mut self.workers[key];
        let room_before = worker.room_used;
        worker.active_calls += 1;
        worker.room_used += reserved_bytes;
        let (target, room_used) = (worker.target.clone(), worker.room_used);
        self.reclaim(key);
        let members = pieces.iter().map(|piece| (piece.job, piece.piece)).collect();
        let first_submitted = pieces
            .iter()
            .filter_map(|piece| self.jobs.get(piece.job))
            .map(|job| job.submitted)
            .min();
        let waited = first_submitted
            .map_or(Duration::ZERO, |submitted| now.saturating_duration_since(submitted));
        let call = ActiveCall {
            worker: key,
            pieces,
            began: now,
            expected_duration,
            reserved_bytes,
            room_before,
        };
        Call {
            key: self.calls.insert(call),
            target,
            pieces: members,
            room_used,
            waited,
            still_waiting: self.waiting.len(),
            fetch_time,
            expected: expected_duration,
            timeout: call_timeout(expected_duration),
        }
    }

    /// Updates the moving average of pieces in calls that leave others waiting, after a call of
    /// `count` pieces. Calls that leave none move it back toward a full call.
    fn update_backlogged_pieces(&mut self, count: u32) {
        let full = self.spec.batch as f64;
        let sample = if self.waiting.is_empty() { full } else { f64::from(count) };
        let before = self.backlogged_pieces.unwrap_or(full);
        self.backlogged_pieces = Some(before + BACKLOGGED_WEIGHT * (sample - before));
    }

    /// Returns the time within which a target that starts a call has fetched the inputs of its
    /// pieces; `None` if they have none or the link speed is unknown.
    fn fetch_time(&self, pieces: &[PendingPiece]) -> Option<Duration> {
        let mut jobs: Vec<JobKey> = pieces.iter().map(|piece| piece.job).collect();
        jobs.dedup();
        let submissions = jobs.iter().filter_map(|job| self.submission(*job));
        let bytes: u64 = submissions.map(|submission| submission.input_bytes).sum();
        let transfer_secs =
            FETCH_LINKS * bytes as f64 / self.spec.link.filter(|link| *link > 0)? as f64;
        (bytes > 0).then(|| FETCH_MARGIN + Duration::from_secs_f64(transfer_secs))
    }
}
