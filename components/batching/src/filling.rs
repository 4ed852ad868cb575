//! Which pieces go to which worker in the next call.

use std::time::{Duration, Instant};

use eligibility::Eligibility;

use crate::pool::{LEAST_TIME, Pool, UnderWay, Waiting};
use crate::submission::{Call, JobKey, Order, Submission};
use crate::worker::{Worker, WorkerKey};

/// Part of a call's time that a piece waits for a worker in the hall of its inputs.
const NEAR_WAIT: f64 = 0.8;
/// Slack that a piece seems to have more for each rank of less urgency. 400 ms against 150 is worth 0.009
/// and 0.015 of a loaded day (means of 15 days each on two deployments), since long chains of great
/// worth then go before short ones of little; it decides only among pieces that can be in time.
const BY_URGENCY: Duration = Duration::from_millis(400);
/// A call that takes this many times what was expected is given up and its pieces go elsewhere.
const PATIENCE: f64 = 2.5;
/// The same, beside the factor.
const PATIENCE_EXTRA: Duration = Duration::from_millis(250);
/// Pieces of which so many calls failed are called with those of their own request only: what ends every
/// worker must not take others' tries with it, nor look alike with them. Without it all
/// four requests of a call met all four ends of one, with it two (`a_piece_that_fails_its_calls_...`); after
/// one failed call, most often a worker that crashed by itself, they still share.
const LONE_TRIES: u32 = 2;
/// Weight of a new call in the learned number of pieces.
const PIECES_WEIGHT: f64 = 0.2;
/// Weight of a new call in the learned number of pieces of calls that leave others waiting: what makes
/// them smaller, results that wait to be used, lasts for some seconds and dozens of calls.
const PRESSED_WEIGHT: f64 = 0.05;
/// Time beside the transfer itself within which a target that begins a call has fetched its inputs: many times the
/// way between halls.
const FETCH_EXTRA: Duration = Duration::from_millis(20);
/// An input crosses the link of its worker and that of the target that fetches it.
const FETCH_LINKS: f64 = 2.0;

/// When a submission is due as far as the order of pieces goes.
pub(crate) fn order_key(submission: &Submission) -> Instant {
    effective_due(submission.due, submission.urgency)
}

/// The place in that order of pieces that are due at `due`.
pub fn effective_due(due: Instant, urgency: u8) -> Instant {
    due + BY_URGENCY * u32::from(urgency)
}

/// Whether a piece may go into a call that begins with another one.
fn may_share(begun: &Waiting, other: &Waiting) -> bool {
    let is_lone = |waiting: &Waiting| waiting.tries >= LONE_TRIES;
    begun.job == other.job || (!is_lone(begun) && !is_lone(other))
}

/// Time after which a call is given up.
fn patience(expected: Duration) -> Duration {
    expected.mul_f64(PATIENCE) + PATIENCE_EXTRA
}

impl Pool {
    /// The next call to make now, if a worker is free and something waits for it.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        self.expire(now);
        if self.waiting.is_empty() {
            return None;
        }
        self.sort(now);
        let mut free: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| self.may_work(worker, self.spec.at_once.max(1), now))
            .map(|(key, _)| key)
            .collect();
        // Whoever failed last is asked after all others.
        free.sort_by(|a, b| {
            let (a, b) = (&self.workers[*a], &self.workers[*b]);
            a.doubtful().cmp(&b.doubtful()).then(a.pace.total_cmp(&b.pace))
        });
        let (worker, pieces) = self.best_fill(&free, now)?;
        Some(self.begin(worker, pieces, now))
    }

    /// When a piece that is held back may go to any worker, or a worker may work again.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return None;
        }
        let until = |worker: &Worker| {
            let target = &worker.target;
            worker.rests_until().max(target.backoff_until).max(target.rate_limited_until)
        };
        let rests = self.workers.values().filter_map(until).filter(|at| *at > now);
        let held = self.waiting.iter().filter_map(|waiting| self.held_until(waiting, now));
        rests.chain(held).min()
    }

    pub(crate) fn may_work(&self, worker: &Worker, at_once: u32, now: Instant) -> bool {
        worker.may_work(at_once, now) && self.is_open(worker, now)
    }

    fn is_open(&self, worker: &Worker, now: Instant) -> bool {
        self.halls.eligibility(&worker.target, now) == Eligibility::Open
    }

    /// Pieces that can still be in time go first, by slack; late ones follow. Whether they are late is
    /// told by their own due time: judged by the order's, less urgent ones that are late took the place
    /// of others that were not (0.036 of a loaded day).
    fn sort(&mut self, now: Instant) {
        if self.order == Order::Arrival {
            return;
        }
        let soonest = now + self.spec.call + self.spec.piece.mul_f64(self.usual_pieces);
        let jobs = &self.jobs;
        self.waiting.sort_by_cached_key(|waiting| {
            let submission = jobs.get(waiting.job).map(|job| &job.submission);
            let late = submission.is_some_and(|submission| submission.due < soonest);
            (late, submission.map(order_key), waiting.job, waiting.piece)
        });
    }

    /// The worker and pieces of the call that begins with the first piece that some worker may take.
    fn best_fill(&self, free: &[WorkerKey], now: Instant) -> Option<(WorkerKey, Vec<usize>)> {
        for (index, waiting) in self.waiting.iter().enumerate() {
            let held = self.held_until(waiting, now).is_some();
            let near =
                self.jobs.get(waiting.job).and_then(|job| job.submission.preferred_hall.as_ref());
            let is_near = |key: &&WorkerKey| {
                let worker = &self.workers[**key];
                near == Some(&worker.target.hall) && !worker.doubtful()
            };
            let worker = match free.iter().find(is_near) {
                Some(worker) => Some(worker),
                None if held => None,
                None => free.first(),
            };
            let Some(worker) = worker else { continue };
            let pieces = self.fill(*worker, index, now);
            if !pieces.is_empty() {
                return Some((*worker, pieces));
            }
        }
        None
    }

    /// Pieces from `first` on that the worker may take, up to a whole call and its room.
    fn fill(&self, key: WorkerKey, first: usize, now: Instant) -> Vec<usize> {
        let worker = &self.workers[key];
        // One piece is enough to learn whether a worker that failed is back.
        let most = if worker.doubtful() { 1 } else { self.spec.batch };
        let mut room = self.usable_room(worker, now);
        let mut taken = Vec::new();
        let begun = self.waiting[first];
        for (index, waiting) in self.waiting.iter().enumerate().skip(first) {
            if taken.len() == most {
                break;
            }
            if !may_share(&begun, waiting) {
                continue;
            }
            let Some(job) = self.jobs.get(waiting.job) else { continue };
            let near = job.submission.preferred_hall.as_ref();
            let elsewhere = near.is_some_and(|hall| *hall != worker.target.hall);
            if elsewhere && self.held_until(waiting, now).is_some() {
                continue;
            }
            if job.submission.result_bytes <= room {
                room -= job.submission.result_bytes;
                taken.push(index);
            }
        }
        taken
    }

    /// Room that may be used at a worker; one that holds nothing may take a result of any size.
    fn usable_room(&self, worker: &Worker, now: Instant) -> u64 {
        let used = worker.room_used + worker.foreign_room(now);
        if used == 0 {
            return self.spec.room_bytes;
        }
        let usable = (self.spec.room_bytes as f64 * self.room_part) as u64;
        usable.saturating_sub(used)
    }

    /// Until when a piece waits for a worker near its inputs rather than take any.
    fn held_until(&self, waiting: &Waiting, now: Instant) -> Option<Instant> {
        let job = self.jobs.get(waiting.job)?;
        let near = job.submission.preferred_hall.as_ref()?;
        let mut workers = self.workers.values();
        let is_near = |worker: &Worker| worker.target.hall == *near && !worker.doubtful();
        if self.order == Order::Arrival
            || !workers.any(|worker| is_near(worker) && self.is_open(worker, now))
        {
            return None;
        }
        let patience = self.spec.call.mul_f64(NEAR_WAIT);
        let by_slack = job.submission.due.checked_sub(self.spec.call * 2)?;
        let until = (job.since + patience).min(by_slack);
        (until > now).then_some(until)
    }

    fn begin(&mut self, key: WorkerKey, indexes: Vec<usize>, now: Instant) -> Call {
        let pieces: Vec<Waiting> = indexes.iter().map(|index| self.waiting[*index]).collect();
        for index in indexes.iter().rev() {
            self.waiting.remove(*index);
        }
        let bytes_of = |w: &Waiting| self.jobs.get(w.job).map_or(0, |j| j.submission.result_bytes);
        let bytes = pieces.iter().map(bytes_of).sum();
        let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        let expected = (self.spec.call + self.spec.piece * count).max(LEAST_TIME);
        self.usual_pieces += PIECES_WEIGHT * (f64::from(count) - self.usual_pieces);
        self.learn_pressed(count);
        let fetch_time = self.fetch_time(&pieces);
        let worker = &mut self.workers[key];
        let room_before = worker.room_used;
        worker.at_work += 1;
        worker.room_used += bytes;
        let (target, room_used) = (worker.target.clone(), worker.room_used);
        self.reclaim(key);
        let members = pieces.iter().map(|waiting| (waiting.job, waiting.piece)).collect();
        let since = pieces.iter().filter_map(|w| self.jobs.get(w.job)).map(|job| job.since).min();
        let waited = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let call = UnderWay { worker: key, pieces, began: now, expected, bytes, room_before };
        Call {
            key: self.calls.insert(call),
            target,
            pieces: members,
            room_used,
            waited,
            still_waiting: self.waiting.len(),
            fetch_time,
            timeout: patience(expected),
        }
    }

    /// Learns how many pieces a call holds while others wait; without such calls it is forgotten.
    fn learn_pressed(&mut self, count: u32) {
        let full = self.spec.batch as f64;
        let seen = if self.waiting.is_empty() { full } else { f64::from(count) };
        let before = self.pressed_pieces.unwrap_or(full);
        self.pressed_pieces = Some(before + PRESSED_WEIGHT * (seen - before));
    }

    /// Time within which a target that begins a call has fetched the inputs of its pieces.
    fn fetch_time(&self, pieces: &[Waiting]) -> Option<Duration> {
        let mut jobs: Vec<JobKey> = pieces.iter().map(|waiting| waiting.job).collect();
        jobs.dedup();
        let submissions = jobs.iter().filter_map(|job| self.submission(*job));
        let bytes: u64 = submissions.map(|submission| submission.input_bytes).sum();
        let time = FETCH_LINKS * bytes as f64 / self.spec.link.filter(|link| *link > 0)? as f64;
        (bytes > 0).then(|| FETCH_EXTRA + Duration::from_secs_f64(time))
    }
}
