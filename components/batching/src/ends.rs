//! What comes of a call: pieces that are done, those to be made again, and the room that results take.

use std::time::Instant;

use platform_adapter::calls::PieceAnswer;

use crate::pool::{Pool, UnderWay, Waiting};
use crate::submission::{CallEnd, CallKey, Finished, JobKey, PieceOutcome};
use crate::worker::WorkerKey;

/// Most times that a piece is tried.
const PIECE_TRIES: u32 = 4;
/// Least part of the room that is used, however often a worker had none.
const LEAST_ROOM_PART: f64 = 0.6;
/// By this the part falls when a worker had no room for a result.
const ROOM_FALL: f64 = 0.03;
/// Room that is missing is taken by unknown results if it is more than so many results take, beyond
/// what their sizes differ from what is said of them.
const FOREIGN_PIECES: u64 = 2;
/// By this it rises with each call that found room: one in ten without is borne.
const ROOM_RISE: f64 = 0.003;

impl Pool {
    /// The target of a call has fetched its inputs; gives the submissions that need theirs no more.
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

    /// Takes the end of a call; gives the pieces that are done.
    pub fn call_ended(&mut self, key: CallKey, end: CallEnd, now: Instant) -> Vec<Finished> {
        let Some(call) = self.calls.remove(key) else { return Vec::new() };
        let took = now.saturating_duration_since(call.began);
        if matches!(end, CallEnd::Failed | CallEnd::OutOfReach) {
            // It may have made all of them.
            self.results.add_lost(call.worker, call.bytes, now + self.spec.result_life);
        } else {
            self.free_room(call.worker, call.bytes);
        }
        if let Some(worker) = self.workers.get_mut(call.worker) {
            worker.at_work = worker.at_work.saturating_sub(1);
            match end {
                CallEnd::Answered(_) => worker.answered(took, call.expected),
                CallEnd::Full => worker.was_full(now),
                CallEnd::TargetGone | CallEnd::Failed => worker.failed(now),
                CallEnd::OutOfReach => {}
            }
        }
        match end {
            CallEnd::Answered(answers) => self.answered(&call, answers, now),
            CallEnd::Full | CallEnd::OutOfReach => self.try_again(call.pieces, 0),
            CallEnd::TargetGone | CallEnd::Failed => self.try_again(call.pieces, 1),
        }
    }

    fn answered(
        &mut self,
        call: &UnderWay,
        answers: Vec<PieceAnswer>,
        now: Instant,
    ) -> Vec<Finished> {
        let mut finished = Vec::new();
        self.learn_room(call, &answers, now);
        let missing = std::iter::repeat(PieceAnswer::Failed);
        for (waiting, answer) in call.pieces.iter().zip(answers.into_iter().chain(missing)) {
            let made = match answer {
                PieceAnswer::Made(handle) => {
                    self.keep(call.worker, waiting, &handle, now);
                    PieceOutcome::Stored(handle)
                }
                PieceAnswer::Late => PieceOutcome::Late,
                PieceAnswer::Gone => PieceOutcome::InputGone,
                PieceAnswer::NoRoom => {
                    if let Some(worker) = self.workers.get_mut(call.worker) {
                        worker.had_no_room(now);
                    }
                    // It costs no try: the piece ends with its time at the latest.
                    finished.extend(self.try_again(vec![*waiting], 0));
                    continue;
                }
                PieceAnswer::Failed => {
                    finished.extend(self.try_again(vec![*waiting], 1));
                    continue;
                }
            };
            finished.extend(self.finish(waiting, made));
        }
        finished
    }

    /// Learns from pieces that found no room. What is missing beyond the size of a result is taken by
    /// results that this owner does not know; less than that is told by their sizes, which are known
    /// about only.
    fn learn_room(&mut self, call: &UnderWay, answers: &[PieceAnswer], now: Instant) {
        let count = |is: fn(&PieceAnswer) -> bool| answers.iter().filter(|a| is(a)).count() as u64;
        let no_room = count(|answer| matches!(answer, PieceAnswer::NoRoom));
        if no_room == 0 {
            self.room_part = (self.room_part + ROOM_RISE).min(1.0);
            return;
        }
        let of_piece = call.bytes / (call.pieces.len() as u64).max(1);
        let made = count(|answer| matches!(answer, PieceAnswer::Made(_))) * of_piece;
        let foreign = self.spec.room_bytes.saturating_sub(call.room_before + made);
        let life = self.spec.result_life;
        match self.workers.get_mut(call.worker) {
            Some(worker) if foreign > of_piece * FOREIGN_PIECES => {
                worker.set_foreign(foreign - of_piece, life, now);
            }
            _ => self.room_part = (self.room_part - ROOM_FALL).max(LEAST_ROOM_PART),
        }
    }

    fn keep(&mut self, key: WorkerKey, waiting: &Waiting, handle: &str, now: Instant) {
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

    pub(crate) fn finish(&mut self, waiting: &Waiting, outcome: PieceOutcome) -> Option<Finished> {
        let job = self.jobs.get_mut(waiting.job)?;
        job.left -= 1;
        let finished = Finished { job: waiting.job, piece: waiting.piece, outcome };
        if job.left == 0 {
            self.jobs.remove(waiting.job);
        }
        Some(finished)
    }

    /// Puts pieces back, or gives them up after too many tries.
    fn try_again(&mut self, pieces: Vec<Waiting>, cost: u32) -> Vec<Finished> {
        let mut given_up = Vec::new();
        for mut waiting in pieces {
            let Some(job) = self.jobs.get_mut(waiting.job) else { continue };
            job.unfetched += usize::from(std::mem::take(&mut waiting.fetched));
            waiting.tries += cost;
            if waiting.tries < PIECE_TRIES {
                self.waiting.push(waiting);
                continue;
            }
            given_up.extend(self.finish(&waiting, PieceOutcome::Failed));
        }
        given_up
    }
}
