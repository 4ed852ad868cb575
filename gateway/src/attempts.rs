//! Attempts to send a request to targets: choosing a target, recording the outcome, and deciding
//! whether another attempt follows.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eligibility::RateLimit;
use fleet::UnreachableHalls;
use hyper::Response;
use hyper::body::Incoming;
use ids::{HallName, StoreRevision, VmName};
use intent::Target;
use platform_interface::callers::Refusal;
use platform_interface::calls::{AnswerHead, CallHead, Evidence};
use quarantine::LifetimeId;
use rollout::{Observation, TargetVersion, Versions};
use selection::{Availability, CallSize, Pick, SelectionRequest, TargetKey, TargetOutcome};
use slog::info;
use tokio::sync::watch::Receiver;

use crate::active_requests::{self, WaitReason};
use crate::answer_progress::AnswerProgress;
use crate::app::App;
use crate::connections::{SendError, SendRules, SentMark, TargetConnection, UNACKED_TIMEOUT};
use crate::idle_connections::Purpose;
use crate::permits::{self, Permit, RateLimited};
use crate::requests::{AcceptedRequest, build_call};
use crate::shared::Shared;
use crate::state_handle::{now, time_until};
use crate::{crashes, hall_reachability, stream_origins, target_announcements, target_connecting};

/// Retry time for the caller while no target can be used.
pub(crate) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Retry time for the caller after targets declined because they were busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Most unreachable targets that are tried, in addition to the attempts that were sent.
const MAX_UNREACHABLE: u32 = 6;

/// Most rate-limited targets for which one attempt asks a permit, since each may cost a round trip
/// to another VM. After these only targets without a rate limit are chosen.
const MAX_PERMIT_REQUESTS: usize = 6;
/// A request waits for a permit of the last remaining target for at most its latency goal divided
/// by this.
const PERMIT_WAIT_DIVISOR: u32 = 4;

/// Why an attempt is abandoned when its target's hall becomes unreachable.
pub(crate) const HALL_UNREACHABLE: &str = "the target's hall is unreachable";

/// The attempts of one request. Several may be under way at a time.
pub(crate) struct Attempts {
    app: Rc<App>,
    req: Rc<AcceptedRequest>,
    /// Targets that were tried.
    attempted: RefCell<Vec<TargetKey>>,
    /// Version of the target that began the stream, once it has events: another version can't go on
    /// with it.
    bound: Option<TargetVersion>,
    /// Attempts that may have reached their target; the entry limits their number.
    sent: Cell<u32>,
    /// Attempts that did not reach their target.
    unreachable: Cell<u32>,
    /// Targets that were tried and got nothing.
    unreached: RefCell<Vec<TargetKey>>,
    /// Whether a retry was taken from the budget for which nothing was sent yet.
    has_unused_retry: Cell<bool>,
}

/// How far an attempt under way has come. It outlives an attempt that is dropped.
#[derive(Debug, Default)]
pub(crate) struct AttemptState {
    /// Its target, once that was chosen and the attempt is counted.
    target: Cell<Option<TargetKey>>,
    /// Whether any byte may have been sent.
    mark: SentMark,
}

impl AttemptState {
    /// The mark of its call; it is clear while there is none.
    pub(crate) fn mark(&self) -> &SentMark {
        &self.mark
    }

    /// Prepares for the next attempt.
    pub(crate) fn reset(&self) {
        self.mark.set(false);
        self.target.set(None);
    }
}

/// An attempt under way. If dropped before its end, it is recorded as abandoned.
pub(crate) struct Attempt {
    app: Rc<App>,
    pub(crate) pick: Pick,
    /// The lifetime of the target that it was sent to; a crash is attributed to it.
    pub(crate) lifetime: LifetimeId,
    /// Time from the target's announcement that it is leaving to its choice for this attempt.
    /// Leaving targets should not be chosen, so a value in the log reveals a code path that ignores
    /// announcements.
    leaving_age: Option<Duration>,
    /// Revision of the target's entry when the target was chosen.
    entry_as_of: StoreRevision,
    /// Revision up to which this VM knew the store then.
    as_of: StoreRevision,
    /// The rate limit of the target, if one was known.
    rate: Option<RateLimit>,
    /// Name of the request's entry.
    route: String,
    /// When the target was chosen.
    started: Instant,
    /// When sending began, after the wait for a permit.
    sent_at: Instant,
    ended: bool,
    /// Prompt tokens that are counted as load of the target until it has read them.
    unread_tokens: u64,
    /// How far its answer has come.
    pub(crate) progress: AnswerProgress,
}

impl Attempt {
    /// Records that an event of its answer arrived.
    pub(crate) fn event_received(&mut self) {
        if let Some(parts) = self.progress.record_event(now()) {
            crashes::parts_survived(&self.app, parts);
        }
    }

    /// When sending began.
    pub(crate) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Records that the target has read the prompt.
    pub(crate) fn prompt_read(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        self.app
            .state
            .with(|shared, _| shared.targets.record_prompt_read(self.pick.key, unread_tokens));
    }

    /// Records how the attempt ended.
    pub(crate) fn end(&mut self, end: TargetOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.prompt_read();
        self.app.state.with(|shared, now| {
            shared.targets.record_outcome(self.pick.key, end, now);
            let observation = match end {
                TargetOutcome::Answered => Observation::Took(now - self.started),
                TargetOutcome::OwnFailure => Observation::Failed,
                _ => return,
            };
            shared.record_version_answer(&self.pick.target, &self.route, observation, now);
        });
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.end(TargetOutcome::Abandoned);
    }
}

/// The head of a target's answer to the request, with the body still to be read.
pub(crate) struct Answer {
    pub(crate) head: http::response::Parts,
    pub(crate) parsed: AnswerHead,
    pub(crate) body: Incoming,
    pub(crate) connection: TargetConnection,
    pub(crate) attempt: Attempt,
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// Nothing could be sent; nothing ran.
    NotReached,
    /// Another target has its address and said so; nothing ran.
    Replaced,
    /// The target was too busy; nothing ran.
    Declined,
    /// An input was gone; nothing ran.
    InputGone,
    /// The request may have run. Holds the reason.
    Lost(String),
}

impl Attempts {
    pub(crate) fn new(app: &Rc<App>, req: &Rc<AcceptedRequest>) -> Self {
        Attempts {
            app: Rc::clone(app),
            req: Rc::clone(req),
            attempted: RefCell::default(),
            bound: None,
            sent: Cell::default(),
            unreachable: Cell::default(),
            unreached: RefCell::default(),
            has_unused_retry: Cell::default(),
        }
    }

    /// The context that all tasks share.
    pub(crate) fn app(&self) -> &Rc<App> {
        &self.app
    }

    pub(crate) fn req(&self) -> &Rc<AcceptedRequest> {
        &self.req
    }

    /// Sends further attempts only to targets of the version that began the stream.
    pub(crate) fn bind(&mut self, version: TargetVersion) {
        self.bound = Some(version);
    }

    /// Records that an attempt was abandoned because its time was up; `why` tells what was awaited.
    /// Returns what is known of the attempt.
    pub(crate) fn record_timeout(&self, state: &AttemptState, why: &str) -> AttemptError {
        let Some(target) = state.target.get() else {
            // No target was chosen yet.
            return AttemptError::NotReached;
        };
        self.check_path(state);
        if !state.mark.is_set() {
            self.record_unreached(target);
            return AttemptError::NotReached;
        }
        self.has_unused_retry.set(false);
        self.set_may_have_run();
        self.app.state.with(|shared, now| shared.targets.record_timeout(target, now));
        AttemptError::Lost(why.to_owned())
    }

    /// Lets targets that got nothing be tried once more.
    pub(crate) fn forget_unreached(&self) {
        let unreached = self.unreached.take();
        self.attempted.borrow_mut().retain(|key| !unreached.contains(key));
        self.unreachable.set(0);
    }

    /// Takes back an attempt that was dropped, unless something was sent, and a retry for which
    /// nothing was sent.
    pub(crate) fn withdraw(&self, state: &AttemptState) {
        if state.mark.is_set() {
            self.has_unused_retry.set(false);
            return;
        }
        if let Some(target) = state.target.take() {
            self.sent.update(|sent| sent - 1);
            self.attempted.borrow_mut().retain(|key| *key != target);
        }
        if self.has_unused_retry.take() {
            self.app.state.with(|shared, _| shared.put_back_retry(&self.req.service));
        }
    }

    /// The target of an attempt, if it was chosen and is still known.
    fn target_of(&self, state: &AttemptState) -> Option<Target> {
        let key = state.target.get()?;
        self.app.state.with(|shared, _| shared.targets.get_by_key(key).cloned())
    }

    /// Checks the path to the target of an attempt.
    pub(crate) fn check_path(&self, state: &AttemptState) {
        if let Some(target) = self.target_of(state) {
            target_connecting::check_path(&self.app, &target);
        }
    }

    /// Waits until the target of an attempt may have been sent the request and its hall is
    /// unreachable.
    pub(crate) async fn until_hall_unreachable(&self, state: &AttemptState) {
        state.mark.until(true).await;
        let Some(target) = self.target_of(state) else { return std::future::pending().await };
        let mut unreachable = self.app.unreachable_halls.subscribe();
        hall_reachability::until_unreachable(&mut unreachable, &target.hall).await;
    }

    /// Sends the request to the best target that was not tried yet and reads the head of its
    /// answer.
    ///
    /// # Errors
    /// The refusal for the caller, if no further attempt may follow.
    pub(crate) async fn send(
        &self,
        state: &AttemptState,
        size: Option<&CallSize>,
        inputs: &[String],
        last_event: Option<u64>,
    ) -> Result<Result<Answer, AttemptError>, Refusal> {
        state.reset();
        let sent = self.send_to_best(state, size, inputs, last_event).await;
        if !matches!(sent, Ok(Ok(_))) {
            state.reset();
        }
        sent
    }

    async fn send_to_best(
        &self,
        state: &AttemptState,
        size: Option<&CallSize>,
        inputs: &[String],
        last_event: Option<u64>,
    ) -> Result<Result<Answer, AttemptError>, Refusal> {
        // The request may have been quarantined since it was admitted, or since the last attempt.
        if let Some(refusal) = crashes::refusal(&self.app, &self.req, self.may_have_run()) {
            return Err(refusal);
        }
        active_requests::set_wait_reason(&self.app, self.req.active_key, WaitReason::Target);
        let (mut attempt, permit) = self.choose(size).await?;
        active_requests::set_wait_reason(&self.app, self.req.active_key, WaitReason::Answer);
        self.attempted.borrow_mut().push(attempt.pick.key);
        attempt.sent_at = now();
        let target = attempt.pick.target.clone();
        let head = CallHead {
            time_left: time_until(self.req.deadline),
            target: &target.id,
            customer: self.req.customer.as_ref(),
            urgency: self.req.urgency,
            last_event,
            inputs,
        };
        let headers = (self.app.adapter.calls.call_headers)(&self.req.parts.headers, &head);
        self.sent.update(|sent| sent + 1);
        state.target.set(Some(attempt.pick.key));
        let mark = &state.mark;
        let call = build_call(&self.req, headers);
        let rules =
            SendRules { purpose: Purpose::Requests, mark, unacked_limit: self.unacked_limit() };
        let sending = self.app.connections.send(&self.app, &target, call, permit, rules);
        let mut unreachable = self.app.unreachable_halls.subscribe();
        let sent = tokio::select! {
            sent = sending => sent,
            // What was sent is awaited: the target's hall may become reachable again, and the answer
            // arrive.
            () = unreachable_before_sending(&mut unreachable, &target.hall, mark),
                if self.req.entry.repeatable =>
            {
                Err(SendError::NotSent(HALL_UNREACHABLE.to_owned()))
            }
            // A quarantined request may still be queued at the target and would crash it as well,
            // so the attempt is abandoned. `true`, since what was sent may run.
            refusal = crashes::until_refused(&self.app, &self.req, true) => return Err(refusal),
        };
        if mark.is_set() {
            self.has_unused_retry.set(false);
        }
        let result = match sent {
            Ok((answer, connection)) => self.read(answer, connection, &mut attempt).await,
            Err(SendError::NotSent(why)) => {
                attempt.end(TargetOutcome::Unreachable);
                self.record_unreached(attempt.pick.key);
                slog::debug!(self.app.log, "target not reached"; "target" => %target.id,
                    "why" => why);
                Err(AttemptError::NotReached)
            }
            Err(SendError::Withheld) => {
                attempt.end(TargetOutcome::Abandoned);
                self.record_unreached(attempt.pick.key);
                Err(AttemptError::NotReached)
            }
            Err(SendError::Broke(why)) => {
                crashes::check_broken_connection(&self.app, &self.req, &attempt).await;
                attempt.end(TargetOutcome::Failed);
                Err(AttemptError::Lost(why))
            }
        };
        let relay = result.as_ref().ok().and_then(|(.., connection)| connection.relay());
        self.log_attempt(&attempt, result.as_ref().err(), relay);
        Ok(match result {
            Ok((head, parsed, body, connection)) => {
                Ok(Answer { head, parsed, body, connection, attempt })
            }
            Err(error) => {
                self.record_error(&error);
                Err(error)
            }
        })
    }

    /// Time within which the target has to acknowledge what it is sent: as long as the answer is of
    /// use. A target that reads nothing for a while is not gone, and another one is tried beside it.
    fn unacked_limit(&self) -> Duration {
        time_until(self.req.deadline).max(UNACKED_TIMEOUT)
    }

    /// Records that the target of the attempt under way got nothing.
    fn record_unreached(&self, target: TargetKey) {
        self.sent.update(|sent| sent - 1);
        self.unreachable.update(|unreachable| unreachable + 1);
        self.unreached.borrow_mut().push(target);
    }

    /// Records that an attempt gave no answer.
    fn record_error(&self, error: &AttemptError) {
        active_requests::set_wait_reason(&self.app, self.req.active_key, WaitReason::Target);
        if matches!(error, AttemptError::Lost(_)) {
            self.set_may_have_run();
        }
    }

    /// Records that an attempt may have run the request.
    pub(crate) fn set_may_have_run(&self) {
        active_requests::update(&self.app, self.req.active_key, |request| {
            request.may_have_run = true
        });
    }

    /// Whether an attempt may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.app.state.with(|shared, _| {
            shared
                .active_requests
                .get(self.req.active_key)
                .is_some_and(|request| request.may_have_run)
        })
    }

    /// Chooses the best target that was not tried and that may be sent another request now.
    async fn choose(&self, size: Option<&CallSize>) -> Result<(Attempt, Permit), Refusal> {
        let mut excluded = self.attempted.borrow().clone();
        let mut permit_requests = 0;
        loop {
            let mut attempt = self.pick(size, &excluded).ok_or_else(|| self.no_target())?;
            let target = attempt.pick.target.clone();
            // While other targets are left, none is waited for.
            let is_last = attempt.pick.candidates <= 1;
            let max_wait = if is_last { self.max_permit_wait() } else { Duration::ZERO };
            match permits::for_request(&self.app, &target, max_wait).await {
                Ok(permit) => return Ok((attempt, permit)),
                Err(RateLimited) => {
                    attempt.end(TargetOutcome::Abandoned);
                    permits::log_skipped(&self.app, &self.req.id, &target);
                    excluded.push(attempt.pick.key);
                    permit_requests += 1;
                }
            }
            if permit_requests == MAX_PERMIT_REQUESTS {
                let service = &self.req.service;
                let rate_limited =
                    self.app.state.with(|shared, _| shared.targets.rate_limited(service));
                excluded.extend(rate_limited);
            }
        }
    }

    /// Time that the request can wait for a permit; it leaves most of the latency goal to the
    /// answer.
    fn max_permit_wait(&self) -> Duration {
        (self.req.entry.latency_goal / PERMIT_WAIT_DIVISOR).min(time_until(self.req.deadline))
    }

    /// Picks a target that is not in `exclude`.
    fn pick(&self, size: Option<&CallSize>, exclude: &[TargetKey]) -> Option<Attempt> {
        let halls = &self.req.allowed_halls;
        self.app.state.with(|shared, now| {
            let service = &self.req.service;
            let versions = &self.versions(shared)?;
            let wanted = SelectionRequest { service, exclude, size, halls, versions };
            let begins_stream = self.bound.is_none() && stream_origins::is_resumable(&self.req);
            let for_stream =
                begins_stream.then(|| shared.versions_for_stream(&self.req, &wanted, now));
            let versions = for_stream.as_ref().unwrap_or(versions);
            let wanted = SelectionRequest { versions, ..wanted };
            let pick = shared.targets.pick(&wanted, now)?;
            let announced = shared.departures.announced_at(&pick.target);
            Some(Attempt {
                app: Rc::clone(&self.app),
                unread_tokens: pick.unread_tokens,
                lifetime: shared.lifetime_of(&pick.target),
                leaving_age: announced.map(|at| now.saturating_duration_since(at)),
                entry_as_of: shared.entry_revision(&pick.target.id),
                as_of: shared.view.as_of(),
                rate: shared.rates.limit(&pick.target),
                route: self.req.entry.name.clone(),
                started: now,
                sent_at: now,
                pick,
                ended: false,
                progress: AnswerProgress::new(&self.req.prompt_parts),
            })
        })
    }

    /// Whether some target that was not tried may be sent the next attempt.
    pub(crate) fn has_target(&self) -> bool {
        let attempted = self.attempted.borrow();
        self.app.state.with(|shared, now| {
            let Some(versions) = &self.versions(shared) else { return false };
            let wanted = SelectionRequest {
                service: &self.req.service,
                exclude: &attempted,
                size: None,
                halls: &self.req.allowed_halls,
                versions,
            };
            shared.targets.availability(&wanted, now) != Availability::None
        })
    }

    /// Whether the stream can't go on, now or later: no target of its version is left that may get
    /// new work.
    fn is_bound_in_vain(&self) -> bool {
        let Some(version) = &self.bound else { return false };
        let service = &self.req.service;
        self.app.state.with(|shared, now| {
            let versions = shared.rollouts.versions(service).for_resumption(version);
            let stays = |versions: &Versions| {
                let halls = &self.req.allowed_halls;
                shared.targets.has_staying(service, halls, versions, now)
            };
            !versions.as_ref().is_some_and(stays)
        })
    }

    /// Versions of targets to which the next attempt may be sent; `None` if to none.
    fn versions(&self, shared: &Shared) -> Option<Versions> {
        let service = &self.req.service;
        match &self.bound {
            Some(version) => shared.rollouts.versions(service).for_resumption(version),
            None => {
                let is_first = self.attempted.borrow().is_empty();
                Some(if stream_origins::is_resumable(&self.req) {
                    shared.rollout_versions_for_stream(&self.req, is_first)
                } else {
                    shared.versions_for(service, self.req.id.as_str(), is_first)
                })
            }
        }
    }

    /// Reads the head of an answer and records what it says about the target.
    async fn read(
        &self,
        answer: Response<Incoming>,
        connection: TargetConnection,
        attempt: &mut Attempt,
    ) -> Result<(http::response::Parts, AnswerHead, Incoming, TargetConnection), AttemptError> {
        let (head, body) = answer.into_parts();
        let parsed = (self.app.adapter.calls.read_head)(&head, &self.req.id);
        target_announcements::report_unknown_headers(&self.app, &attempt.pick.target, &head);
        target_announcements::apply_answer(
            &self.app,
            &attempt.pick.target,
            &parsed,
            attempt.sent_at,
        );
        let key = attempt.pick.key;
        if let (Some(load), true) = (parsed.load, parsed.evidence != Evidence::OtherRequest) {
            self.app.state.with(|shared, now| {
                shared.targets.record_target_load(key, load.running, load.waiting, now);
            });
        }
        match parsed.evidence {
            Evidence::Answered => Ok((head, parsed, body, connection)),
            Evidence::Declined | Evidence::InputGone => {
                attempt.end(TargetOutcome::Declined);
                if parsed.evidence == Evidence::Declined {
                    self.app.state.with(|shared, now| shared.targets.record_turned_away(key, now));
                }
                // The head has said all: neither the caller nor the next target waits for the body.
                if parsed.names_request {
                    self.app.discard_body(body, connection, &parsed);
                }
                if parsed.evidence == Evidence::InputGone {
                    return Err(AttemptError::InputGone);
                }
                Err(AttemptError::Declined)
            }
            Evidence::OtherTarget => {
                attempt.end(TargetOutcome::Unreachable);
                self.sent.update(|sent| sent - 1);
                self.unreachable.update(|unreachable| unreachable + 1);
                self.app
                    .state
                    .with(|shared, now| shared.target_replaced(&attempt.pick.target, now));
                Err(AttemptError::Replaced)
            }
            Evidence::OtherRequest => {
                attempt.end(TargetOutcome::Failed);
                self.app.metrics.answer_to_other_attempt(attempt.pick.target.id.as_str());
                Err(AttemptError::Lost("received an answer to another request".to_owned()))
            }
            Evidence::Invalid => {
                attempt.end(TargetOutcome::Failed);
                Err(AttemptError::Lost("received no valid answer".to_owned()))
            }
        }
    }

    /// Logs and counts an attempt.
    fn log_attempt(&self, attempt: &Attempt, error: Option<&AttemptError>, relay: Option<&VmName>) {
        let pick = &attempt.pick;
        info!(self.app.log, "try"; "request" => %self.req.id, "content" => %self.req.digest,
            "service" => %self.req.service,
            "target" => %pick.target.id, "hall" => %pick.target.hall,
            "version" => pick.target.version.as_ref().map(ToString::to_string),
            "cost" => format!("{:.2}", pick.cost), "of" => pick.candidates,
            "load_age_ms" => pick.load_age.map(|age| age.as_millis()),
            "unread" => pick.unread_tokens,
            "missed" => error.map(|error| format!("{error:?}")),
            "through" => relay.map(ToString::to_string),
            "rate_per_s" => attempt.rate.map(RateLimit::per_s),
            "said_leaving_ms" => attempt.leaving_age.map(|age| age.as_millis()),
            "entry_as_of" => %attempt.entry_as_of, "as_of" => %attempt.as_of,
            "at_ms" => (now() - self.req.arrived).as_millis());
        let end = match error {
            None => "answered",
            Some(AttemptError::Lost(_)) => "lost",
            Some(_) => "not run",
        };
        self.app.metrics.attempt_ended(self.req.service.as_str(), pick.target.id.as_str(), end);
    }

    /// Whether another attempt may follow one that ended with `error`. Takes a retry from the
    /// fleet's budget if one is needed.
    pub(crate) fn take_retry(&self, error: &AttemptError) -> bool {
        self.is_allowed_after(error)
            && (*error == AttemptError::NotReached || self.take_from_budget())
    }

    /// Whether [`Attempts::take_retry`] would return true.
    pub(crate) fn may_retry(&self, error: &AttemptError) -> bool {
        let has_retry =
            || self.app.state.with(|shared, now| shared.has_retry(&self.req.service, now));
        self.is_allowed_after(error) && (*error == AttemptError::NotReached || has_retry())
    }

    /// Whether another attempt may follow one that ended with `error`, whatever is left in the
    /// fleet's budget.
    pub(crate) fn is_allowed_after(&self, error: &AttemptError) -> bool {
        let in_time = time_until(self.req.deadline) > Duration::ZERO;
        let attempts_left = self.sent.get() < self.req.entry.max_attempts.max(1);
        in_time
            && match error {
                // The target that was meant got nothing, so no attempt is counted. Without this,
                // 1.4% of the requests of an entry with one attempt were refused, after all their
                // stages had run, because a target had crashed and restarted as another one.
                AttemptError::NotReached | AttemptError::Replaced => {
                    self.unreachable.get() < MAX_UNREACHABLE
                }
                AttemptError::Declined | AttemptError::InputGone => attempts_left,
                AttemptError::Lost(_) => attempts_left && self.req.entry.repeatable,
            }
    }

    /// Takes a retry from the fleet's retry budget. Returns false if none is left.
    fn take_from_budget(&self) -> bool {
        let taken =
            self.app.state.with(|shared, now| shared.try_take_retry(&self.req.service, now));
        if taken {
            self.has_unused_retry.set(true);
        }
        taken
    }

    /// Corrects a refusal for a request that an earlier attempt may have run: it must not claim
    /// that the request did not run.
    pub(crate) fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        match refusal {
            Refusal::NotRun { .. } if self.may_have_run() => Refusal::Failed,
            Refusal::NotRunTimedOut if self.may_have_run() => Refusal::TimedOut,
            other => other,
        }
    }

    /// The refusal when no attempt is left.
    pub(crate) fn refusal(&self) -> Refusal {
        match (self.may_have_run(), time_until(self.req.deadline).is_zero()) {
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::Failed,
            (false, true) => Refusal::NotRunTimedOut,
            (false, false) => {
                Refusal::NotRun { retry_after: self.retry_after_time(BUSY_RETRY_AFTER) }
            }
        }
    }

    /// Retry time for the caller: until the first target accepts work again, plus a random part of
    /// `usual`; just `usual` if some target may be sent work now.
    fn retry_after_time(&self, usual: Duration) -> Duration {
        let opens = self.app.state.with(|shared, now| {
            shared.time_until_open(&self.req.service, &self.req.allowed_halls, now)
        });
        opens.map_or(usual, |time| time + usual.mul_f64(rand::random()))
    }

    /// The refusal when no target can be chosen.
    pub(crate) fn no_target(&self) -> Refusal {
        match self.refusal() {
            Refusal::NotRun { .. } if self.is_bound_in_vain() => Refusal::NotResumable,
            Refusal::NotRun { .. } if self.sent.get() == 0 => {
                Refusal::NotRun { retry_after: self.retry_after_time(NO_TARGET_RETRY_AFTER) }
            }
            other => other,
        }
    }
}

/// Waits until a hall is unreachable while nothing was sent to its target.
async fn unreachable_before_sending(
    unreachable: &mut Receiver<UnreachableHalls>,
    hall: &HallName,
    mark: &SentMark,
) {
    loop {
        hall_reachability::until_unreachable(unreachable, hall).await;
        if !mark.is_set() {
            return;
        }
        mark.until(false).await;
    }
}
