//! State of a pool at its owner: workers, waiting pieces, calls in progress, and results stored at
//! workers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eligibility::{AllowedHalls, Halls};
use ids::{TargetName, VersionName};
use intent::{PoolSpec, Target};
use rollout::Versions;
use slotmap::SlotMap;

use crate::results::Results;
use crate::submission::{
    CallKey, FinishedPiece, JobKey, PendingRelease, PieceOrder, PieceOutcome, Submission,
};
use crate::worker::{Worker, WorkerKey};

/// Fraction of a worker's room whose use makes room scarce. The rest holds the results of two full
/// calls on the pools observed so far.
const SCARCE_FRACTION: f64 = 0.5;
/// Lower bound of durations computed from the pool's configuration, to avoid division by zero.
pub(crate) const MIN_DURATION: Duration = Duration::from_millis(1);

/// A submission with unfinished pieces, and its progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) submission: Submission,
    /// When it was submitted.
    pub(crate) submitted: Instant,
    /// Pieces that are not finished.
    pub(crate) unfinished: usize,
    /// Pieces whose target has not fetched the inputs yet.
    pub(crate) unfetched: usize,
}

/// A piece that waits or is in a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingPiece {
    pub(crate) job: JobKey,
    /// Number of the piece in its stage.
    pub(crate) piece: u32,
    /// Number of failed attempts.
    pub(crate) failed_attempts: u32,
    /// Whether its target has fetched the inputs.
    pub(crate) fetched: bool,
}

/// A call in progress.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    pub(crate) worker: WorkerKey,
    pub(crate) pieces: Vec<PendingPiece>,
    pub(crate) began: Instant,
    /// Time that it should take by the pool's configuration.
    pub(crate) expected_duration: Duration,
    /// Room reserved for its results, in bytes, from their estimated sizes.
    pub(crate) reserved_bytes: u64,
    /// Room used by this owner's other calls and results at the worker when the call started, in
    /// bytes.
    pub(crate) room_before: u64,
}

/// A pool as seen by its owner.
#[derive(Debug)]
pub struct Pool {
    pub(crate) spec: PoolSpec,
    pub(crate) order: PieceOrder,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) by_id: HashMap<TargetName, WorkerKey>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) calls: SlotMap<CallKey, ActiveCall>,
    pub(crate) waiting: Vec<PendingPiece>,
    pub(crate) results: Results,
    /// Handles of results to release although no request asks for it; see [`Pool::release_queued`].
    pub(crate) queued_releases: Vec<String>,
    /// Moving average of the pieces in a call.
    pub(crate) mean_pieces: f64,
    /// Moving average of the pieces in a call that leaves others waiting; `None` before the first
    /// call.
    pub(crate) backlogged_pieces: Option<f64>,
    /// Fraction of the workers' room that may be used. Result sizes are only estimates, so the
    /// fraction is adjusted by whether results found room.
    pub(crate) room_fraction: f64,
    pub(crate) halls: Halls,
    /// Versions whose workers may be called.
    pub(crate) versions: Versions,
    /// Pieces that workers of a version with limited traffic may run now.
    pub(crate) limited_pieces: f64,
}

impl Pool {
    /// Creates a pool without workers or pieces.
    pub fn new(spec: PoolSpec, order: PieceOrder) -> Self {
        Pool {
            spec,
            order,
            workers: SlotMap::with_key(),
            by_id: HashMap::new(),
            jobs: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            waiting: Vec::new(),
            results: Results::default(),
            queued_releases: Vec::new(),
            mean_pieces: 1.0,
            backlogged_pieces: None,
            room_fraction: 1.0,
            halls: Halls::default(),
            versions: Versions::Any,
            limited_pieces: 0.0,
        }
    }

    /// Replaces the pool's configuration.
    pub fn set_spec(&mut self, spec: PoolSpec) {
        self.spec = spec;
    }

    /// Returns the lifetime of a result, after which it expires if nobody releases it.
    pub fn result_life(&self) -> Duration {
        self.spec.result_life
    }

    /// Replaces the pool's workers by these targets. Workers that remain keep their state.
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

    /// Replaces the state of the halls: only workers in open halls are called.
    pub fn set_halls(&mut self, halls: Halls) {
        self.halls = halls;
    }

    /// Replaces the versions whose workers may be called; returns whether they are others.
    pub fn set_versions(&mut self, versions: Versions) -> bool {
        let is_other = self.versions != versions;
        self.versions = versions;
        is_other
    }

    /// Number of calls in progress at workers of other versions than this one.
    pub fn calls_of_other_versions(&self, version: &VersionName) -> usize {
        let is_other = |call: &&ActiveCall| {
            let worker = self.workers.get(call.worker);
            worker.is_some_and(|worker| worker.target.version.as_ref() != Some(version))
        };
        self.calls.values().filter(is_other).count()
    }

    /// Whether all workers are leaving or in halls that operators took out of service, so that the
    /// waiting pieces can't be made.
    pub fn is_closed(&self, now: Instant) -> bool {
        !self.workers.is_empty() && self.opens_at(&AllowedHalls::Any, now).is_none()
    }

    /// Returns the earliest known time at which a worker in `halls` may be called.
    fn opens_at(&self, halls: &AllowedHalls, now: Instant) -> Option<Instant> {
        let workers = self.workers.values().filter(|worker| halls.permits(&worker.target.hall));
        workers.filter_map(|worker| self.halls.opens_at(&worker.target, now)).min()
    }

    /// Fails the waiting pieces for which no worker may be called before their deadline, regardless
    /// of the attempts left, and returns them with [`PieceOutcome::Failed`].
    pub fn fail_unservable(&mut self, now: Instant) -> Vec<FinishedPiece> {
        if self.workers.is_empty() {
            return Vec::new();
        }
        let opens = self.opens_at(&AllowedHalls::Any, now);
        let is_unservable = |waiting: &&PendingPiece| {
            let Some(job) = self.jobs.get(waiting.job) else { return opens != Some(now) };
            let opens = match &job.submission.allowed_halls {
                AllowedHalls::Any => opens,
                halls => self.opens_at(halls, now),
            };
            opens.is_none_or(|opens| opens > now && job.submission.deadline <= opens)
        };
        let (unservable, left): (Vec<PendingPiece>, Vec<PendingPiece>) =
            self.waiting.iter().partition(is_unservable);
        self.waiting = left;
        unservable.iter().filter_map(|piece| self.finish(piece, PieceOutcome::Failed)).collect()
    }

    /// Returns the submissions that have waiting pieces.
    pub fn waiting_submissions(&self) -> impl Iterator<Item = (JobKey, &Submission)> {
        let mut jobs: Vec<JobKey> = self.waiting.iter().map(|waiting| waiting.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs.into_iter().filter_map(|job| Some((job, self.submission(job)?)))
    }

    /// Finishes the waiting pieces of a submission with this outcome and returns them.
    pub fn finish_waiting(&mut self, job: JobKey, outcome: &PieceOutcome) -> Vec<FinishedPiece> {
        let (removed, left) = self.waiting.iter().partition(|waiting| waiting.job == job);
        self.waiting = left;
        let removed: Vec<PendingPiece> = removed;
        removed.iter().filter_map(|piece| self.finish(piece, outcome.clone())).collect()
    }

    /// Whether this is the only call in progress at its worker.
    pub fn is_only_call(&self, call: CallKey) -> bool {
        let Some(worker) = self.calls.get(call).map(|call| call.worker) else { return false };
        self.calls.values().filter(|other| other.worker == worker).count() == 1
    }

    /// Whether no piece waits and no call is in progress.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.calls.is_empty()
    }

    /// Returns the number of waiting pieces.
    pub fn waiting_pieces(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a submission; its pieces wait to be called.
    pub fn submit(&mut self, submission: Submission, now: Instant) -> JobKey {
        let pieces = submission.pieces.clone();
        self.grant_limited_pieces(pieces.len());
        let (unfinished, unfetched) = (pieces.len(), pieces.len());
        let job = self.jobs.insert(Job { submission, submitted: now, unfinished, unfetched });
        let pending = |piece| PendingPiece { job, piece, failed_attempts: 0, fetched: false };
        self.waiting.extend(pieces.into_iter().map(pending));
        job
    }

    /// Removes a submission that nobody waits for. Calls in progress are not canceled; their
    /// results are released when they end.
    pub fn cancel(&mut self, job: JobKey) {
        self.jobs.remove(job);
        self.waiting.retain(|waiting| waiting.job != job);
    }

    /// Returns the submission while it has unfinished pieces.
    pub fn submission(&self, job: JobKey) -> Option<&Submission> {
        self.jobs.get(job).map(|job| &job.submission)
    }

    /// Releases results; returns the handles to report to each worker. Their room counts as used
    /// until [`Pool::finish_release`] records that the worker was notified: a call that reaches the
    /// worker before the notification would find no room.
    pub fn release(&mut self, handles: Vec<String>) -> Vec<PendingRelease> {
        let mut by_worker: HashMap<WorkerKey, (Vec<String>, u64)> = HashMap::new();
        for handle in handles {
            if let Some((key, bytes)) = self.results.remove(&handle) {
                let of_worker = by_worker.entry(key).or_default();
                of_worker.0.push(handle);
                of_worker.1 += bytes;
            }
        }
        let release = |(key, (handles, bytes))| {
            Some(PendingRelease { target: self.workers.get(key)?.target.clone(), handles, bytes })
        };
        by_worker.into_iter().filter_map(release).collect()
    }

    /// Records whether a worker received a release. If it may not have, the results count as
    /// using room until they expire.
    pub fn finish_release(&mut self, release: &PendingRelease, confirmed: bool, now: Instant) {
        let Some(key) = self.by_id.get(&release.target.id).copied() else { return };
        if confirmed {
            self.free_room(key, release.bytes);
        } else {
            self.results.add_lost(key, release.bytes, now + self.spec.result_life);
        }
    }

    /// Queues results for release if room at their workers is scarce, or once it becomes scarce:
    /// they are needed again only if the pieces made from them fail.
    pub fn release_if_scarce(&mut self, handles: &[String]) {
        let workers: Vec<WorkerKey> =
            handles.iter().filter_map(|handle| self.results.set_spare(handle)).collect();
        workers.into_iter().for_each(|worker| self.reclaim(worker));
    }

    /// Queues a worker's spare results for release if its room is scarce.
    pub(crate) fn reclaim(&mut self, key: WorkerKey) {
        let scarce_bytes = (self.spec.room_bytes as f64 * SCARCE_FRACTION) as u64;
        if self.workers.get(key).is_some_and(|worker| worker.room_used > scarce_bytes) {
            self.queued_releases.extend(self.results.spare_at(key));
        }
    }

    /// Releases the results queued for release although no request asks for it: those made after
    /// their submission was canceled, and spare ones at workers whose room is scarce.
    pub fn release_queued(&mut self) -> Vec<PendingRelease> {
        let queued_releases = std::mem::take(&mut self.queued_releases);
        self.release(queued_releases)
    }

    /// Drops the known worker with the target's id if the target is a later process under that id,
    /// which holds none of the earlier results.
    fn end_earlier_lifetime(&mut self, target: &Target) {
        let Some(key) = self.by_id.get(&target.id).copied() else { return };
        let known = self.workers.get(key).map(|worker| &worker.target);
        if known.is_some_and(|known| target.is_other_lifetime_than(known)) {
            self.drop_worker(&target.id, key);
        }
    }

    /// Removes a worker and its results.
    fn drop_worker(&mut self, id: &TargetName, key: WorkerKey) {
        self.by_id.remove(id);
        self.workers.remove(key);
        self.results.drop_worker(key);
    }

    /// Marks bytes of room at a worker as free.
    pub(crate) fn free_room(&mut self, key: WorkerKey, bytes: u64) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.room_used = worker.room_used.saturating_sub(bytes);
        }
    }

    /// Removes expired results and frees their room.
    pub(crate) fn expire(&mut self, now: Instant) {
        for (key, bytes) in self.results.expire(now) {
            self.free_room(key, bytes);
        }
    }
}
