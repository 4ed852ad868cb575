//! The times of a stop, and what becomes of a request at each of them.

use std::time::{Duration, Instant};

/// Part of the grace after which callers' connections at rest are closed.
const CLOSING_PART: f64 = 0.55;
/// Time before the end of the grace at which the process ends by itself: what ends then does not end by a kill.
const END_MARGIN: Duration = Duration::from_millis(350);
/// Time before the process ends for answers to get out, beside the processor time that they take.
const LAST_WRITES: Duration = Duration::from_millis(100);
/// Processor time for an answer, of a whole core.
const ANSWER_TIME: Duration = Duration::from_millis(1);
/// Part of the grace that the last answers take at most.
const MOST_ANSWERING: u32 = 4;

/// What bounds a stop.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time until balancers and peers have heard; requests are taken until then.
    pub notice: Duration,
    /// Time after which the process is killed.
    pub grace: Duration,
    /// Cores that the process may use.
    pub cores: f64,
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No target was sent it, or all that were turned it away.
    NotRun,
    /// A target may run it or may have run it.
    MayRun,
    /// Its caller has the head of its answer.
    Begun,
}

/// What becomes of a request in a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopDecision {
    /// It is served on.
    Continue,
    /// It is told that it was not run and may come back elsewhere.
    RejectNotRun,
    /// It is told that its answer is lost.
    ReportLost,
}

/// The times of a stop.
#[derive(Debug, Clone, Copy)]
pub struct StopPlan {
    began: Instant,
    limits: Limits,
    lateness: Duration,
}

impl StopPlan {
    /// A stop that began at a moment.
    pub fn new(began: Instant, limits: Limits) -> Self {
        StopPlan { began, limits, lateness: Duration::ZERO }
    }

    /// Takes how late a timer of this process was: the last answers may be begun that late too.
    pub fn record_timer_delay(&mut self, by: Duration) {
        self.lateness = self.lateness.max(by);
    }

    /// Whether requests that come in are still taken.
    pub fn takes_requests(&self, now: Instant) -> bool {
        now < self.began + self.limits.notice
    }

    /// When callers' connections at rest are closed.
    pub fn closes_idle_at(&self) -> Instant {
        self.began + self.limits.grace.mul_f64(CLOSING_PART)
    }

    /// When the process ends at the latest.
    pub fn exits_at(&self) -> Instant {
        self.began + self.limits.grace.saturating_sub(END_MARGIN)
    }

    /// When the last requests are told how they end, with so many of them in work.
    pub fn final_answers_at(&self, in_work: usize) -> Instant {
        let answers = u32::try_from(in_work).unwrap_or(u32::MAX);
        let processor = ANSWER_TIME.saturating_mul(answers).div_f64(self.limits.cores);
        let writing =
            (LAST_WRITES + self.lateness + processor).min(self.limits.grace / MOST_ANSWERING);
        let until_end = self.exits_at().saturating_duration_since(self.began);
        self.began + until_end.saturating_sub(writing)
    }

    /// Whether a request that takes `expected` from now on can be answered before the process ends.
    pub fn can_serve(&self, expected: Duration, in_work: usize, now: Instant) -> bool {
        now + expected <= self.final_answers_at(in_work)
    }

    /// What becomes of a request; `passing` is the time that it takes at a target, as far as it is known.
    pub fn decide(
        &self,
        progress: Progress,
        passing: Option<Duration>,
        in_work: usize,
        now: Instant,
    ) -> StopDecision {
        let can_pass = self.can_serve(passing.unwrap_or_default(), in_work, now);
        match progress {
            Progress::NotRun if !can_pass => StopDecision::RejectNotRun,
            Progress::MayRun if now >= self.final_answers_at(in_work) => StopDecision::ReportLost,
            Progress::NotRun | Progress::MayRun | Progress::Begun => StopDecision::Continue,
        }
    }
}
