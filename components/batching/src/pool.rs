//! The state of a pool: its workers, what waits, what is under way, and the results that lie at workers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eligibility::Halls;
use ids::TargetName;
use intent::{PoolSpec, Target};
use slotmap::SlotMap;

use crate::results::Results;
use crate::submission::{
    CallKey, Finished, JobKey, Order, PendingRelease, PieceOutcome, Submission,
};
use crate::worker::{Worker, WorkerKey};

/// Room is scarce at a worker of which more than this part is used: the rest holds the results of two
/// full calls on the pools seen so far.
const SCARCE_PART: f64 = 0.5;
/// Figures of a pool are taken to be no less than this, so that no division is by nothing.
pub(crate) const LEAST_TIME: Duration = Duration::from_millis(1);

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) submission: Submission,
    pub(crate) since: Instant,
    pub(crate) left: usize,
    /// Pieces whose target has not fetched the inputs yet.
    pub(crate) unfetched: usize,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) job: JobKey,
    pub(crate) piece: u32,
    pub(crate) tries: u32,
    /// Whether its target has fetched the inputs.
    pub(crate) fetched: bool,
}

#[derive(Debug)]
pub(crate) struct UnderWay {
    pub(crate) worker: WorkerKey,
    pub(crate) pieces: Vec<Waiting>,
    pub(crate) began: Instant,
    pub(crate) expected: Duration,
    pub(crate) bytes: u64,
    /// Room that other results took as it began.
    pub(crate) room_before: u64,
}

/// A pool as its owner sees it.
#[derive(Debug)]
pub struct Pool {
    pub(crate) spec: PoolSpec,
    pub(crate) order: Order,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) by_id: HashMap<TargetName, WorkerKey>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) calls: SlotMap<CallKey, UnderWay>,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) results: Results,
    pub(crate) orphans: Vec<String>,
    /// Pieces in a call, as last seen.
    pub(crate) usual_pieces: f64,
    /// Pieces in a call that leaves others waiting, as last seen; none was yet if it is not set.
    pub(crate) pressed_pieces: Option<f64>,
    /// Part of the workers' room that may be used: how large results are is known about only, so
    /// that it is learned from those that found none.
    pub(crate) room_part: f64,
    pub(crate) halls: Halls,
}

impl Pool {
    /// A pool with no workers and nothing to do.
    pub fn new(spec: PoolSpec, order: Order) -> Self {
        Pool {
            spec,
            order,
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            jobs: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            waiting: Vec::new(),
            results: Results::default(),
            orphans: Vec::new(),
            usual_pieces: 1.0,
            pressed_pieces: None,
            room_part: 1.0,
            halls: Halls::default(),
        }
    }

    /// Takes new figures.
    pub fn set_spec(&mut self, spec: PoolSpec) {
        self.spec = spec;
    }

    /// Time after which a result that nobody gives up runs out.
    pub fn result_life(&self) -> Duration {
        self.spec.result_life
    }

    /// Takes the targets of the pool as they are now.
    pub fn set_workers<'a>(&mut self, targets: impl Iterator<Item = &'a Target>) {
        let mut gone: HashMap<TargetName, WorkerKey> = self.by_id.clone();
        for target in targets {
            self.end_earlier_lifetime(target);
            gone.remove(&target.id);
            match self.by_id.get(&target.id).and_then(|key| self.workers.get_mut(*key)) {
                Some(worker) => worker.target = target.clone(),
                None => {
                    let key = self.workers.insert(Worker::new(target.clone()));
                    self.by_id.insert(target.id.clone(), key);
                }
            }
        }
        for (id, key) in gone {
            self.drop_worker(&id, key);
        }
    }

    /// Takes which halls are used how: only workers of halls that are open are called.
    pub fn set_halls(&mut self, halls: Halls) {
        self.halls = halls;
    }

    /// Whether all of its workers are leaving or in halls that operators took out of service, so that
    /// what waits here can't be made.
    pub fn is_closed(&self, now: Instant) -> bool {
        !self.workers.is_empty() && self.opens_at(now).is_none()
    }

    /// From when on some worker may be called, as far as it is known.
    fn opens_at(&self, now: Instant) -> Option<Instant> {
        let workers = self.workers.values();
        workers.filter_map(|worker| self.halls.opens_at(&worker.target, now)).min()
    }

    /// Ends what waits and has no worker before its time is over, with no try left; gives the pieces.
    pub fn fail_unservable(&mut self, now: Instant) -> Vec<Finished> {
        if self.workers.is_empty() {
            return Vec::new();
        }
        let opens = self.opens_at(now);
        if opens == Some(now) {
            return Vec::new();
        }
        let jobs = &self.jobs;
        let (gone, left): (Vec<Waiting>, Vec<Waiting>) = self.waiting.iter().partition(|waiting| {
            let until = jobs.get(waiting.job).map(|job| job.submission.until);
            opens.is_none_or(|opens| until.is_none_or(|until| until <= opens))
        });
        self.waiting = left;
        gone.iter().filter_map(|waiting| self.finish(waiting, PieceOutcome::Failed)).collect()
    }

    /// Submissions of which pieces wait.
    pub fn waiting_submissions(&self) -> impl Iterator<Item = (JobKey, &Submission)> {
        let mut jobs: Vec<JobKey> = self.waiting.iter().map(|waiting| waiting.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs.into_iter().filter_map(|job| Some((job, self.submission(job)?)))
    }

    /// Ends the waiting pieces of a submission, with what became of them; gives these.
    pub fn finish_waiting(&mut self, job: JobKey, made: &PieceOutcome) -> Vec<Finished> {
        let (gone, left) = self.waiting.iter().partition(|waiting| waiting.job == job);
        self.waiting = left;
        let gone: Vec<Waiting> = gone;
        gone.iter().filter_map(|waiting| self.finish(waiting, made.clone())).collect()
    }

    /// Whether a call is the only one under way at its worker.
    pub fn is_only_call(&self, call: CallKey) -> bool {
        let Some(worker) = self.calls.get(call).map(|call| call.worker) else { return false };
        self.calls.values().filter(|other| other.worker == worker).count() == 1
    }

    /// Whether nothing waits and no call is under way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.calls.is_empty()
    }

    /// Pieces that wait.
    pub fn waiting_pieces(&self) -> usize {
        self.waiting.len()
    }

    /// Takes pieces.
    pub fn submit(&mut self, submission: Submission, now: Instant) -> JobKey {
        let pieces = submission.pieces.clone();
        let (left, unfetched) = (pieces.len(), pieces.len());
        let job = self.jobs.insert(Job { submission, since: now, left, unfetched });
        let waiting = |piece| Waiting { job, piece, tries: 0, fetched: false };
        self.waiting.extend(pieces.into_iter().map(waiting));
        job
    }

    /// Forgets a submission that nobody waits for. Pieces at work end by themselves.
    pub fn cancel(&mut self, job: JobKey) {
        self.jobs.remove(job);
        self.waiting.retain(|waiting| waiting.job != job);
    }

    /// The submission, while it is not done.
    pub fn submission(&self, job: JobKey) -> Option<&Submission> {
        self.jobs.get(job).map(|job| &job.submission)
    }

    /// Gives up results; tells which target has to be told of which handles. Their room counts as
    /// taken until [`Pool::finish_release`] says that the target has heard: a call that overtakes the word
    /// finds no room.
    pub fn release(&mut self, handles: Vec<String>) -> Vec<PendingRelease> {
        let mut by_worker: HashMap<WorkerKey, (Vec<String>, u64)> = HashMap::new();
        for handle in handles {
            if let Some((key, bytes)) = self.results.remove(&handle) {
                let of_worker = by_worker.entry(key).or_default();
                of_worker.0.push(handle);
                of_worker.1 += bytes;
            }
        }
        let told = |(key, (handles, bytes))| {
            Some(PendingRelease { target: self.workers.get(key)?.target.clone(), handles, bytes })
        };
        by_worker.into_iter().filter_map(told).collect()
    }

    /// Takes how a target was told that results are given up. Where it may not have heard, they take
    /// room until they run out.
    pub fn finish_release(&mut self, told: &PendingRelease, heard: bool, now: Instant) {
        let Some(key) = self.by_id.get(&told.target.id).copied() else { return };
        if heard {
            self.free_room(key, told.bytes);
        } else {
            self.results.add_lost(key, told.bytes, now + self.spec.result_life);
        }
    }

    /// Gives up results if their workers' room is scarce, or once it is: they are needed again only
    /// if what is being made of them fails.
    pub fn release_if_scarce(&mut self, handles: &[String]) {
        let workers: Vec<WorkerKey> =
            handles.iter().filter_map(|handle| self.results.set_spare(handle)).collect();
        workers.into_iter().for_each(|worker| self.reclaim(worker));
    }

    /// Gives up what a worker's room is too scarce to keep.
    pub(crate) fn reclaim(&mut self, key: WorkerKey) {
        let scarce = (self.spec.room_bytes as f64 * SCARCE_PART) as u64;
        if self.workers.get(key).is_some_and(|worker| worker.room_used > scarce) {
            self.orphans.extend(self.results.spare_of(key));
        }
    }

    /// Gives up results that are to be given up though no request says so: those made after nobody
    /// waited for them any more, and those for which room is too scarce.
    pub fn release_orphans(&mut self) -> Vec<PendingRelease> {
        let orphans = std::mem::take(&mut self.orphans);
        self.release(orphans)
    }

    /// A worker that started again under its id holds nothing of before.
    fn end_earlier_lifetime(&mut self, target: &Target) {
        let Some(key) = self.by_id.get(&target.id).copied() else { return };
        let known = self.workers.get(key).map(|worker| &worker.target);
        if known.is_some_and(|known| target.is_other_lifetime_than(known)) {
            self.drop_worker(&target.id, key);
        }
    }

    fn drop_worker(&mut self, id: &TargetName, key: WorkerKey) {
        self.by_id.remove(id);
        self.workers.remove(key);
        self.results.drop_worker(key);
    }

    pub(crate) fn free_room(&mut self, key: WorkerKey, bytes: u64) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.room_used = worker.room_used.saturating_sub(bytes);
        }
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        for (key, bytes) in self.results.expire(now) {
            self.free_room(key, bytes);
        }
    }
}
