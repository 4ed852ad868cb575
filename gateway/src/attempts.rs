//! Tries of a request at targets: the choice, what a try counts, and whether another one follows.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eligibility::RateLimit;
use hyper::Response;
use hyper::body::Incoming;
use platform_adapter::callers::Refusal;
use platform_adapter::calls::{AnswerHead, CallHead, Evidence};
use quarantine::Lifetime;
use selection::{CallSize, Pick, SelectionRequest, TargetKey, TargetOutcome};
use slog::info;

use crate::active_requests::{self, WaitReason};
use crate::app::App;
use crate::connections::{SendError, TargetConnection};
use crate::hub::{left, now};
use crate::permits::{self, AtItsRate, Permit};
use crate::requests::{AcceptedRequest, call_of};
use crate::{crashes, hall_reachability, target_announcements};

/// When to come back while no target can be used.
pub(crate) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(700);
/// When to come back after targets were too busy.
const BUSY_WAIT: Duration = Duration::from_millis(400);
/// Most targets that can't be reached that are tried, beside those that were sent something.
const MOST_UNREACHABLE: u32 = 6;

/// Targets at their rates that are asked for one try, each a way to another VM: beyond these only targets without a
/// rate are chosen.
const MOST_ASKED: usize = 6;
/// Part of a request's aim for which it waits until the last target that is left takes another one.
const WAIT_PART: u32 = 4;

/// Why a try is given up whose target's hall is out of reach.
pub(crate) const OUT_OF_REACH: &str = "its hall is out of reach";

/// The tries of one request.
pub(crate) struct Attempts {
    app: Rc<App>,
    req: Rc<AcceptedRequest>,
    began: Instant,
    tried: Vec<TargetKey>,
    sent: u32,
    unreachable: u32,
}

/// A try under way; dropped before its end, it counts as given up.
pub(crate) struct Attempt {
    app: Rc<App>,
    pub(crate) pick: Pick,
    /// The lifetime of the target that it was sent to.
    pub(crate) lifetime: Lifetime,
    /// How long before the choice the target had said that it leaves, if it had: a sign that a way to it
    /// passes by what is known of targets.
    said_leaving: Option<Duration>,
    /// The rate that the target was known to take.
    rate: Option<RateLimit>,
    ended: bool,
    unread: u64,
}

impl Attempt {
    /// The prompt was read.
    pub(crate) fn prompt_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.app.hub.with(|shared, _| shared.targets.record_prompt_read(self.pick.key, unread));
    }

    /// Notes how the try ended.
    pub(crate) fn end(&mut self, end: TargetOutcome) {
        if !std::mem::replace(&mut self.ended, true) {
            self.prompt_read();
            self.app.hub.with(|shared, now| shared.targets.record_outcome(self.pick.key, end, now));
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.end(TargetOutcome::GivenUp);
    }
}

/// An answer that belongs to the request.
pub(crate) struct Answer {
    pub(crate) head: http::response::Parts,
    pub(crate) read: AnswerHead,
    pub(crate) body: Incoming,
    pub(crate) carrier: TargetConnection,
    pub(crate) attempt: Attempt,
}

/// Why a try brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// Nothing could be sent.
    NotReached,
    /// Another target has its address and said so; nothing ran.
    Replaced,
    /// It was too busy and did not run it.
    Declined,
    /// An input was gone; it did not run.
    InputGone,
    /// It may have run.
    Lost(String),
}

impl Attempts {
    pub(crate) fn new(app: &Rc<App>, req: &Rc<AcceptedRequest>) -> Self {
        Attempts {
            app: Rc::clone(app),
            req: Rc::clone(req),
            began: now(),
            tried: Vec::new(),
            sent: 0,
            unreachable: 0,
        }
    }

    /// What the VM's tasks hold on to.
    pub(crate) fn app(&self) -> &Rc<App> {
        &self.app
    }

    /// The request.
    pub(crate) fn req(&self) -> &Rc<AcceptedRequest> {
        &self.req
    }

    /// When the last try began.
    pub(crate) fn began(&self) -> Instant {
        self.began
    }

    /// The last try was given up because nothing came.
    pub(crate) fn was_silent(&mut self) {
        self.set_may_have_run();
        if let Some(key) = self.tried.last() {
            self.app.hub.with(|shared, now| shared.targets.record_timeout(*key, now));
        }
    }

    /// Sends the request to the best target that was not tried.
    pub(crate) async fn send(
        &mut self,
        size: Option<&CallSize>,
        inputs: &[String],
        last_event: Option<u64>,
    ) -> Result<Result<Answer, AttemptError>, Refusal> {
        // Word of it may have come since the request was admitted, or since the last try.
        if let Some(refusal) = crashes::refusal(&self.app, &self.req, self.may_have_run()) {
            return Err(refusal);
        }
        active_requests::set_wait_reason(&self.app, self.req.active_key, WaitReason::Target);
        let (mut attempt, permit) = self.choose(size).await?;
        active_requests::set_wait_reason(&self.app, self.req.active_key, WaitReason::Answer);
        self.tried.push(attempt.pick.key);
        self.began = now();
        let target = attempt.pick.target.clone();
        let head = CallHead {
            left: left(self.req.deadline),
            target: &target.id,
            customer: self.req.customer.as_ref(),
            urgency: self.req.urgency,
            last_event,
            inputs,
        };
        let headers = (self.app.adapter.calls.call_headers)(&self.req.parts.headers, &head);
        self.sent += 1;
        let sending = self.app.connections.send(&target, call_of(&self.req, headers), permit);
        let mut out = self.app.unreachable_halls.subscribe();
        let sent = tokio::select! {
            sent = sending => sent,
            // What may run once only is waited for: the hall may come back with its answer.
            () = hall_reachability::until_unreachable(&mut out, &target.hall), if self.req.entry.repeatable => {
                Err(SendError::GivenUp(OUT_OF_REACH.to_owned()))
            }
            // It may still wait there, and would end that target as well; what was sent may run.
            refusal = crashes::until_refused(&self.app, &self.req, true) => return Err(refusal),
        };
        let result = match sent {
            Ok((answer, carrier)) => self.read(answer, carrier, &mut attempt).await,
            Err(SendError::NotSent(why)) => {
                attempt.end(TargetOutcome::Unreachable);
                self.sent -= 1;
                self.unreachable += 1;
                slog::debug!(self.app.log, "target not reached"; "target" => %target.id, "why" => why);
                Err(AttemptError::NotReached)
            }
            Err(SendError::Withheld) => {
                attempt.end(TargetOutcome::GivenUp);
                self.sent -= 1;
                self.unreachable += 1;
                Err(AttemptError::NotReached)
            }
            Err(SendError::Broke(why)) => {
                crashes::check_broken_connection(&self.app, &self.req, &attempt).await;
                attempt.end(TargetOutcome::Failed);
                Err(AttemptError::Lost(why))
            }
            Err(SendError::GivenUp(why)) => {
                attempt.end(TargetOutcome::Failed);
                Err(AttemptError::Lost(why))
            }
        };
        self.tell(&attempt, result.as_ref().err());
        Ok(match result {
            Ok((head, read, body, carrier)) => Ok(Answer { head, read, body, carrier, attempt }),
            Err(missed) => {
                self.not_answered(&missed);
                Err(missed)
            }
        })
    }

    /// Notes that a try brought no answer.
    fn not_answered(&self, missed: &AttemptError) {
        active_requests::set_wait_reason(&self.app, self.req.active_key, WaitReason::Target);
        if matches!(missed, AttemptError::Lost(_)) {
            self.set_may_have_run();
        }
    }

    /// Notes that a try may have run the request.
    pub(crate) fn set_may_have_run(&self) {
        active_requests::note(&self.app, self.req.active_key, |work| work.may_have_run = true);
    }

    /// Whether a try may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.app.hub.with(|shared, _| {
            shared.active_requests.get(self.req.active_key).is_some_and(|work| work.may_have_run)
        })
    }

    /// Chooses the best target that was not tried and takes another request now.
    async fn choose(&mut self, size: Option<&CallSize>) -> Result<(Attempt, Permit), Refusal> {
        let mut passed_over = self.tried.clone();
        let mut asked = 0;
        loop {
            let mut attempt = self.pick(size, &passed_over).ok_or_else(|| self.no_target())?;
            let target = attempt.pick.target.clone();
            // While there are others none is waited for.
            let is_last = attempt.pick.candidates <= 1;
            let within = if is_last { self.patience() } else { Duration::ZERO };
            match permits::for_request(&self.app, &target, within).await {
                Ok(permit) => return Ok((attempt, permit)),
                Err(AtItsRate) => {
                    attempt.end(TargetOutcome::GivenUp);
                    permits::tell_passed_over(&self.app, &self.req.id, &target);
                    passed_over.push(attempt.pick.key);
                    asked += 1;
                }
            }
            if asked == MOST_ASKED {
                let service = &self.req.service;
                let rated = self.app.hub.with(|shared, _| shared.targets.rate_limited(service));
                passed_over.extend(rated);
            }
        }
    }

    /// Time that the request can wait for a target, which leaves most of its aim to the answer.
    fn patience(&self) -> Duration {
        (self.req.entry.latency_goal / WAIT_PART).min(left(self.req.deadline))
    }

    fn pick(&self, size: Option<&CallSize>, exclude: &[TargetKey]) -> Option<Attempt> {
        let wanted = SelectionRequest { service: &self.req.service, exclude, size };
        self.app.hub.with(|shared, now| {
            let pick = shared.targets.pick(&wanted, now)?;
            let said = shared.departures.announced_at(&pick.target);
            Some(Attempt {
                app: Rc::clone(&self.app),
                unread: pick.unread_tokens,
                lifetime: shared.lifetime_of(&pick.target),
                said_leaving: said.map(|at| now.saturating_duration_since(at)),
                rate: shared.rates.limit(&pick.target),
                pick,
                ended: false,
            })
        })
    }

    async fn read(
        &mut self,
        answer: Response<Incoming>,
        carrier: TargetConnection,
        attempt: &mut Attempt,
    ) -> Result<(http::response::Parts, AnswerHead, Incoming, TargetConnection), AttemptError> {
        let (head, body) = answer.into_parts();
        let read = (self.app.adapter.calls.read_head)(&head, &self.req.id);
        target_announcements::report_unknown_headers(&self.app, &attempt.pick.target, &head);
        target_announcements::apply_answer(&self.app, &attempt.pick.target, &read, self.began);
        let key = attempt.pick.key;
        if let (Some(load), true) = (read.load, read.evidence != Evidence::Crossed) {
            self.app.hub.with(|shared, now| {
                shared.targets.record_target_load(key, load.running, load.waiting, now);
            });
        }
        match read.evidence {
            Evidence::Answered => Ok((head, read, body, carrier)),
            Evidence::Declined | Evidence::InputGone => {
                attempt.end(TargetOutcome::Declined);
                self.finish_declined(body, carrier, read).await;
                if read.evidence == Evidence::InputGone {
                    return Err(AttemptError::InputGone);
                }
                Err(AttemptError::Declined)
            }
            Evidence::OtherTarget => {
                attempt.end(TargetOutcome::Unreachable);
                self.sent -= 1;
                self.unreachable += 1;
                self.app.hub.with(|shared, now| shared.target_replaced(&attempt.pick.target, now));
                Err(AttemptError::Replaced)
            }
            Evidence::Crossed => {
                attempt.end(TargetOutcome::Failed);
                self.app.metrics.answer_to_other_attempt(attempt.pick.target.id.as_str());
                Err(AttemptError::Lost("an answer to another request came".to_owned()))
            }
            Evidence::Invalid => {
                attempt.end(TargetOutcome::Failed);
                Err(AttemptError::Lost("no valid answer came".to_owned()))
            }
        }
    }

    /// Keeps the connection of a decline if its short body was read.
    async fn finish_declined(&self, body: Incoming, carrier: TargetConnection, read: AnswerHead) {
        use http_body_util::BodyExt;
        if let (Ok(_), false) = (body.collect().await, read.closes) {
            self.app.rest(carrier, read.keep_alive);
        }
    }

    fn tell(&self, attempt: &Attempt, missed: Option<&AttemptError>) {
        let pick = &attempt.pick;
        info!(self.app.log, "try"; "request" => %self.req.id, "content" => %self.req.digest, "service" => %self.req.service,
            "target" => %pick.target.id, "hall" => %pick.target.hall,
            "cost" => format!("{:.2}", pick.cost), "of" => pick.candidates,
            "load_age_ms" => pick.load_age.map(|age| age.as_millis()), "unread" => pick.unread_tokens,
            "missed" => missed.map(|missed| format!("{missed:?}")),
            "rate_per_s" => attempt.rate.map(RateLimit::per_s),
            "said_leaving_ms" => attempt.said_leaving.map(|age| age.as_millis()),
            "at_ms" => (now() - self.req.arrived).as_millis());
        let end = match missed {
            None => "answered",
            Some(AttemptError::Lost(_)) => "lost",
            Some(_) => "not run",
        };
        self.app.metrics.attempt_ended(self.req.service.as_str(), pick.target.id.as_str(), end);
    }

    /// Whether another try may follow one that ended so; takes it from the budget if it has to.
    pub(crate) fn may_go_on(&mut self, missed: &AttemptError) -> bool {
        if matches!(missed, AttemptError::Lost(_)) && !self.req.entry.repeatable {
            return false;
        }
        let in_time = left(self.req.deadline) > Duration::ZERO;
        match missed {
            AttemptError::NotReached => return in_time && self.unreachable < MOST_UNREACHABLE,
            // It reached nobody whom it was meant for. Of the requests of an entry with one try 1.4% had all
            // their stages made and were refused so, each by a target that had crashed and come back as
            // another one.
            AttemptError::Replaced => {
                return in_time && self.unreachable < MOST_UNREACHABLE && self.takes_repeat();
            }
            AttemptError::Declined | AttemptError::InputGone | AttemptError::Lost(_) => {}
        }
        self.sent < self.req.entry.max_attempts.max(1) && in_time && self.takes_repeat()
    }

    /// Takes a repeat from the fleet's budget, if one is left.
    fn takes_repeat(&self) -> bool {
        self.app.hub.with(|shared, now| shared.try_take_retry(&self.req.service, now))
    }

    /// A refusal as it is true of a request that may have run in an earlier try.
    pub(crate) fn truthful(&self, refusal: Refusal) -> Refusal {
        match refusal {
            Refusal::NotRun { .. } if self.may_have_run() => Refusal::Failed,
            Refusal::NotRunTimedOut if self.may_have_run() => Refusal::TimedOut,
            other => other,
        }
    }

    /// The refusal when no try is left.
    pub(crate) fn refusal(&self) -> Refusal {
        match (self.may_have_run(), left(self.req.deadline).is_zero()) {
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::Failed,
            (false, true) => Refusal::NotRunTimedOut,
            (false, false) => Refusal::NotRun { retry_after: self.come_back(BUSY_WAIT) },
        }
    }

    /// When a caller should come back: once the first target does not want to be left alone any more, or after
    /// `usual` if some target may be sent work now.
    fn come_back(&self, usual: Duration) -> Duration {
        let opens = self.app.hub.with(|shared, now| shared.time_until_open(&self.req.service, now));
        opens.map_or(usual, |time| time + usual.mul_f64(rand::random()))
    }

    fn no_target(&self) -> Refusal {
        match self.refusal() {
            Refusal::NotRun { .. } if self.sent == 0 => {
                Refusal::NotRun { retry_after: self.come_back(NO_TARGET_RETRY_AFTER) }
            }
            other => other,
        }
    }
}
