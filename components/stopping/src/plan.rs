//! Schedule of a stop, and the decision for a request at each point in time.

use std::time::{Duration, Instant};

/// Fraction of the grace period after which callers' idle connections are closed.
const IDLE_CLOSE_FRACTION: f64 = 0.55;
/// Time between the exit of the process and the end of the grace period, so that the process exits
/// by itself and is not killed.
const EXIT_MARGIN: Duration = Duration::from_millis(350);
/// Time for sending the final answers before the exit, in addition to the processor time that they
/// take.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(100);
/// Processor time of one answer on a whole core.
const CPU_TIME_PER_ANSWER: Duration = Duration::from_millis(1);
/// The final answers are scheduled to take at most the grace period divided by this.
const FINAL_ANSWERS_DIVISOR: u32 = 4;

/// Times and resources that bound a stop.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time until load balancers and peers have learned of the stop; new requests are accepted
    /// until then.
    pub notice: Duration,
    /// Time from the signal until the process is killed.
    pub grace: Duration,
    /// Cores that the process may use.
    pub cores: f64,
}

/// How far a request has progressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It was sent to no target, or every target that it was sent to rejected it.
    NotRun,
    /// A target may be running it or may have run it.
    MayRun,
    /// The head of its answer was sent to the caller.
    Begun,
}

/// What to do with a request during a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopDecision {
    /// Continue to serve it.
    Continue,
    /// Answer that it was not run, so that the caller may retry it on another VM.
    RejectNotRun,
    /// Answer that its result is lost: it may have run.
    ReportLost,
}

/// Schedule of a stop.
#[derive(Debug, Clone, Copy)]
pub struct StopPlan {
    began: Instant,
    limits: Limits,
    /// Longest delay of a timer so far.
    timer_delay: Duration,
}

impl StopPlan {
    /// Creates the schedule of a stop that began at `began`.
    pub fn new(began: Instant, limits: Limits) -> Self {
        StopPlan { began, limits, timer_delay: Duration::ZERO }
    }

    /// Records by how much a timer of this process was late. The final answers may start as late,
    /// so they are scheduled earlier by the longest delay.
    pub fn record_timer_delay(&mut self, by: Duration) {
        self.timer_delay = self.timer_delay.max(by);
    }

    /// Whether new requests are accepted: until the end of [`Limits::notice`].
    pub fn takes_requests(&self, now: Instant) -> bool {
        now < self.began + self.limits.notice
    }

    /// Returns when callers' idle connections are closed.
    pub fn closes_idle_at(&self) -> Instant {
        self.began + self.limits.grace.mul_f64(IDLE_CLOSE_FRACTION)
    }

    /// Returns when the process exits at the latest.
    pub fn exits_at(&self) -> Instant {
        self.began + self.limits.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Returns when the final answers are sent, with `in_work` requests left to answer.
    pub fn final_answers_at(&self, in_work: usize) -> Instant {
        let answers = u32::try_from(in_work).unwrap_or(u32::MAX);
        let cpu_time = CPU_TIME_PER_ANSWER.saturating_mul(answers).div_f64(self.limits.cores);
        let write_time = (FINAL_WRITE_TIME + self.timer_delay + cpu_time)
            .min(self.limits.grace / FINAL_ANSWERS_DIVISOR);
        let until_exit = self.exits_at().saturating_duration_since(self.began);
        self.began + until_exit.saturating_sub(write_time)
    }

    /// Whether a request that takes `expected` from now on ends before the final answers are sent.
    pub fn can_serve(&self, expected: Duration, in_work: usize, now: Instant) -> bool {
        now + expected <= self.final_answers_at(in_work)
    }

    /// Decides what to do with a request. `response_time` is the expected time from sending it to a
    /// target until its answer ends; an unknown one counts as zero.
    ///
    /// A request that was not run is rejected as soon as it can't finish in time, so that another
    /// VM can still serve it. One that a target may be running continues until the final answers,
    /// since the target may still answer.
    pub fn decide(
        &self,
        progress: Progress,
        response_time: Option<Duration>,
        in_work: usize,
        now: Instant,
    ) -> StopDecision {
        let can_finish = self.can_serve(response_time.unwrap_or_default(), in_work, now);
        match progress {
            Progress::NotRun if !can_finish => StopDecision::RejectNotRun,
            Progress::MayRun if now >= self.final_answers_at(in_work) => StopDecision::ReportLost,
            Progress::NotRun | Progress::MayRun | Progress::Begun => StopDecision::Continue,
        }
    }
}
