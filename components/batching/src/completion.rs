//! Handles the end of a call: finishes or requeues its pieces and accounts for the room of their
//! results.

use std::time::Instant;

use platform_adapter::calls::PieceAnswer;

use crate::pool::{ActiveCall, Pool, QueuedPiece};
use crate::submission::{CallEnd, CallKey, Finished, JobKey, PieceOutcome};
use crate::worker::WorkerKey;

/// Maximum number of failed tries of a piece.
const MAX_PIECE_TRIES: u32 = 4;
/// Lower bound of the fraction of room that is used, however often a worker had none.
const MIN_ROOM_FRACTION: f64 = 0.6;
/// Decrease of the fraction when a worker had no room for a result.
const ROOM_DECREASE: f64 = 0.03;
/// Missing room is attributed to unknown results if it exceeds the size of this many results, which is
/// more than errors in the estimated sizes explain.
const FOREIGN_PIECES: u64 = 2;
/// Increase of the fraction with each call that found room. One call in ten without room is tolerated.
const ROOM_INCREASE: f64 = 0.003;

impl Pool {
    /// Records that the target of a call has fetched its inputs; returns the submissions whose inputs
    /// are no longer needed.
    pub fn inputs_fetched(&mut self, key: CallKey) -> Vec<JobKey> {
        let Some(call) = self.calls.get_mut(key) else { return Vec::new() };
        let mut over = Vec::new();
        for waiting in call.pieces.iter_mut().filter(|waiting| !waiting.fetched) {
            waiting.fetched = true;
            let Some(job) = self.jobs.get_mut(waiting.job) else { continue };
            job.unfetched -= 1;
            if job.unfetched == 0 && !job.submission.inputs.is_empty() {
                over.push(waiting.job);
            }
        }
        over
    }

    /// Records the end of a call; returns the finished pieces.
    pub fn call_ended(&mut self, key: CallKey, end: CallEnd, now: Instant) -> Vec<Finished> {
        let Some(call) = self.calls.remove(key) else { return Vec::new() };
        let took = now.saturating_duration_since(call.began);
        if matches!(end, CallEnd::Failed | CallEnd::HallUnreachable) {
            // The worker may have made all of the results.
            self.results.add_lost(call.worker, call.bytes, now + self.spec.result_life);
        } else {
            self.free_room(call.worker, call.bytes);
        }
        if let Some(worker) = self.workers.get_mut(call.worker) {
            worker.active_calls = worker.active_calls.saturating_sub(1);
            match end {
                CallEnd::Answered(_) => worker.record_answer(took, call.expected),
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
    ) -> Vec<Finished> {
        let mut finished = Vec::new();
        self.learn_room(call, &answers, now);
        let missing = std::iter::repeat(PieceAnswer::Failed);
        for (waiting, answer) in call.pieces.iter().zip(answers.into_iter().chain(missing)) {
            let made = match answer {
                PieceAnswer::Stored(handle) => {
                    self.store_result(call.worker, waiting, &handle, now);
                    PieceOutcome::Stored(handle)
                }
                PieceAnswer::Late => PieceOutcome::Late,
                PieceAnswer::InputGone => PieceOutcome::InputGone,
                PieceAnswer::NoRoom => {
                    if let Some(worker) = self.workers.get_mut(call.worker) {
                        worker.record_no_room(now);
                    }
                    // This does not count as a try: the piece ends with its deadline at the latest.
                    finished.extend(self.requeue(vec![*waiting], 0));
                    continue;
                }
                PieceAnswer::Failed => {
                    finished.extend(self.requeue(vec![*waiting], 1));
                    continue;
                }
            };
            finished.extend(self.finish(waiting, made));
        }
        finished
    }

    /// Updates the room estimates from the answers of a call. Missing room beyond the size of a few
    /// results is attributed to results that this owner does not know; less than that, to errors in the
    /// estimated result sizes.
    fn learn_room(&mut self, call: &ActiveCall, answers: &[PieceAnswer], now: Instant) {
        let count = |is: fn(&PieceAnswer) -> bool| answers.iter().filter(|a| is(a)).count() as u64;
        let no_room = count(|answer| matches!(answer, PieceAnswer::NoRoom));
        if no_room == 0 {
            self.room_fraction = (self.room_fraction + ROOM_INCREASE).min(1.0);
            return;
        }
        let of_piece = call.bytes / (call.pieces.len() as u64).max(1);
        let made = count(|answer| matches!(answer, PieceAnswer::Stored(_))) * of_piece;
        let foreign = self.spec.room_bytes.saturating_sub(call.room_before + made);
        let life = self.spec.result_life;
        match self.workers.get_mut(call.worker) {
            Some(worker) if foreign > of_piece * FOREIGN_PIECES => {
                worker.set_foreign(foreign - of_piece, life, now);
            }
            _ => self.room_fraction = (self.room_fraction - ROOM_DECREASE).max(MIN_ROOM_FRACTION),
        }
    }

    /// Records a result that a worker stores. If its submission is gone, the result is released.
    fn store_result(&mut self, key: WorkerKey, waiting: &QueuedPiece, handle: &str, now: Instant) {
        let job = self.jobs.get(waiting.job);
        if job.is_none() {
            self.orphans.push(handle.to_owned());
        }
        let bytes = job.map_or(0, |job| job.submission.result_bytes);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.room_used += bytes;
            let until = now + self.spec.result_life;
            self.results.add(handle, key, waiting.job, bytes, until);
        }
    }

    /// Finishes a piece and removes its submission after the last one; `None` if the submission is gone.
    pub(crate) fn finish(
        &mut self,
        waiting: &QueuedPiece,
        outcome: PieceOutcome,
    ) -> Option<Finished> {
        let job = self.jobs.get_mut(waiting.job)?;
        job.unfinished -= 1;
        let finished = Finished { job: waiting.job, piece: waiting.piece, outcome };
        if job.unfinished == 0 {
            self.jobs.remove(waiting.job);
        }
        Some(finished)
    }

    /// Requeues pieces, adding `cost` to their tries, and finishes those that have no tries left as
    /// failed.
    fn requeue(&mut self, pieces: Vec<QueuedPiece>, cost: u32) -> Vec<Finished> {
        let mut given_up = Vec::new();
        for mut waiting in pieces {
            let Some(job) = self.jobs.get_mut(waiting.job) else { continue };
            job.unfetched += usize::from(std::mem::take(&mut waiting.fetched));
            waiting.tries += cost;
            if waiting.tries < MAX_PIECE_TRIES {
                self.waiting.push(waiting);
                continue;
            }
            given_up.extend(self.finish(&waiting, PieceOutcome::Failed));
        }
        given_up
    }
}
