//! Handles the end of a call: finishes or requeues its pieces and accounts for the room of their
//! results.

use std::time::Instant;

use platform_interface::calls::PieceAnswer;

use crate::pool::{ActiveCall, PendingPiece, Pool};
use crate::submission::{CallEnd, CallKey, FinishedPiece, JobKey, PieceOutcome};
use crate::worker::WorkerKey;

/// Maximum number of failed attempts of a piece.
const MAX_PIECE_ATTEMPTS: u32 = 4;
/// Lower bound of [`Pool::room_fraction`], however often a result found no room.
const MIN_ROOM_FRACTION: f64 = 0.6;
/// Decrease of [`Pool::room_fraction`] when a worker had no room for a result.
const ROOM_DECREASE: f64 = 0.03;
/// If a worker reports no room although more than this many further results should have fitted,
/// results unknown to this owner are assumed to use the room. If fewer should have fitted, the
/// estimated result sizes are assumed to be wrong.
const MAX_SIZE_ERROR_RESULTS: u64 = 2;
/// Increase of [`Pool::room_fraction`] with each call that found room. It is a tenth of the
/// decrease, so that the fraction stays the same while about one call in ten finds no room.
const ROOM_INCREASE: f64 = 0.003;

impl Pool {
    /// Records that the target of a call has fetched its inputs; returns the submissions whose
    /// inputs are no longer needed.
    pub fn inputs_fetched(&mut self, key: CallKey) -> Vec<JobKey> {
        let Some(call) = self.calls.get_mut(key) else { return Vec::new() };
        let mut fetched_jobs = Vec::new();
        for pending in call.pieces.iter_mut().filter(|pending| !pending.fetched) {
            pending.fetched = true;
            let Some(job) = self.jobs.get_mut(pending.job) else { continue };
            job.unfetched -= 1;
            if job.unfetched == 0 && !job.submission.inputs.is_empty() {
                fetched_jobs.push(pending.job);
            }
        }
        fetched_jobs
    }

    /// Records the end of a call; returns the finished pieces.
    pub fn call_ended(&mut self, key: CallKey, end: CallEnd, now: Instant) -> Vec<FinishedPiece> {
        let Some(call) = self.calls.remove(key) else { return Vec::new() };
        let took = now.saturating_duration_since(call.began);
        if matches!(end, CallEnd::Failed | CallEnd::HallUnreachable) {
            // The worker may have made all of the results, and nobody knows their handles.
            self.results.add_lost(call.worker, call.reserved_bytes, now + self.spec.result_life);
        } else {
            self.free_room(call.worker, call.reserved_bytes);
        }
        if let Some(worker) = self.workers.get_mut(call.worker) {
            worker.active_calls = worker.active_calls.saturating_sub(1);
            match end {
                CallEnd::Answered(_) => worker.record_answer(took, call.expected_duration),
                CallEnd::Full => worker.record_full(now),
                CallEnd::TargetGone | CallEnd::Failed => worker.record_failure(now),
                CallEnd::HallUnreachable => {}
            }
        }
        match end {
            CallEnd::Answered(answers) => self.handle_answers(&call, answers, now),
            CallEnd::Full | CallEnd::HallUnreachable => self.requeue(call.pieces, 0),
            CallEnd::TargetGone | CallEnd::Failed => self.requeue(call.pieces, 1),
        }
    }

    /// Finishes or requeues the pieces of an answered call. A missing answer counts as failed.
    fn handle_answers(
        &mut self,
        call: &ActiveCall,
        answers: Vec<PieceAnswer>,
        now: Instant,
    ) -> Vec<FinishedPiece> {
        let mut finished = Vec::new();
        self.update_room_estimates(call, &answers, now);
        let missing = std::iter::repeat(PieceAnswer::Failed);
        for (pending, answer) in call.pieces.iter().zip(answers.into_iter().chain(missing)) {
            let outcome = match answer {
                PieceAnswer::Stored(handle) => {
                    self.store_result(call.worker, pending, &handle, now);
                    PieceOutcome::Stored(handle)
                }
                PieceAnswer::Late => PieceOutcome::Late,
                PieceAnswer::InputGone => PieceOutcome::InputGone,
                PieceAnswer::NoRoom => {
                    if let Some(worker) = self.workers.get_mut(call.worker) {
                        worker.record_no_room(now);
                    }
                    // This is no failed attempt: the piece ends with its deadline at the latest.
                    finished.extend(self.requeue(vec![*pending], 0));
                    continue;
                }
                PieceAnswer::Failed => {
                    finished.extend(self.requeue(vec![*pending], 1));
                    continue;
                }
            };
            finished.extend(self.finish(pending, outcome));
        }
        finished
    }

    /// Updates the estimates of usable room from the answers of a call. If there was no room for a
    /// result, either results unknown to this owner use room or the estimated result sizes are
    /// wrong; [`MAX_SIZE_ERROR_RESULTS`] tells which is assumed.
    fn update_room_estimates(&mut self, call: &ActiveCall, answers: &[PieceAnswer], now: Instant) {
        let count = |is: fn(&PieceAnswer) -> bool| answers.iter().filter(|a| is(a)).count() as u64;
        let no_room = count(|answer| matches!(answer, PieceAnswer::NoRoom));
        if no_room == 0 {
            self.room_fraction = (self.room_fraction + ROOM_INCREASE).min(1.0);
            return;
        }
        let piece_bytes = call.reserved_bytes / (call.pieces.len() as u64).max(1);
        let stored_bytes = count(|answer| matches!(answer, PieceAnswer::Stored(_))) * piece_bytes;
        let foreign_bytes = self.spec.room_bytes.saturating_sub(call.room_before + stored_bytes);
        let lifetime = self.spec.result_life;
        match self.workers.get_mut(call.worker) {
            Some(worker) if foreign_bytes > piece_bytes * MAX_SIZE_ERROR_RESULTS => {
                worker.set_foreign_room(foreign_bytes - piece_bytes, lifetime, now);
            }
            _ => self.room_fraction = (self.room_fraction - ROOM_DECREASE).max(MIN_ROOM_FRACTION),
        }
    }

    /// Records a result that a worker stores. If its submission is gone, the result is queued for
    /// release.
    fn store_result(&mut self, key: WorkerKey, pending: &PendingPiece, handle: &str, now: Instant) {
        let job = self.jobs.get(pending.job);
        if job.is_none() {
            self.queued_releases.push(handle.to_owned());
        }
        let bytes = job.map_or(0, |job| job.submission.result_bytes);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.room_used += bytes;
            let expires = now + self.spec.result_life;
            self.results.add(handle, key, pending.job, bytes, expires);
        }
    }

    /// Finishes a piece and removes its submission after its last one; `None` if the submission is
    /// gone.
    pub(crate) fn finish(
        &mut self,
        pending: &PendingPiece,
        outcome: PieceOutcome,
    ) -> Option<FinishedPiece> {
        let job = self.jobs.get_mut(pending.job)?;
        job.unfinished -= 1;
        let finished = FinishedPiece { job: pending.job, piece: pending.piece, outcome };
        if job.unfinished == 0 {
            self.jobs.remove(pending.job);
        }
        Some(finished)
    }

    /// Requeues pieces, adding `new_failures` to their failed attempts. Finishes those without
    /// attempts left as failed and returns them.
    fn requeue(&mut self, pieces: Vec<PendingPiece>, new_failures: u32) -> Vec<FinishedPiece> {
        let mut failed = Vec::new();
        for mut pending in pieces {
            let Some(job) = self.jobs.get_mut(pending.job) else { continue };
            job.unfetched += usize::from(std::mem::take(&mut pending.fetched));
            pending.failed_attempts += new_failures;
            if pending.failed_attempts < MAX_PIECE_ATTEMPTS {
                self.waiting.push(pending);
                continue;
            }
            failed.extend(self.finish(&pending, PieceOutcome::Failed));
        }
        failed
    }
}
