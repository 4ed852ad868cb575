//! Runs a request through the stages of its service, as blocking code on a thread of its own.

use std::sync::Arc;
use std::time::{Duration, Instant};

use caller_request::CallerRequest;
use catalogue::{Service, Stage};
use ids::Incarnation;
use journal::AttemptEnd;
use outcomes::{Answer, Outcome, Reason, Refusal, StageRun};
use routing::{CallEnd, LoadReport, SlotRefusal, TargetKey};
use settings::Settings;
use slog::{Logger, debug, info};
use store_client::Store;
use target_calls::{
    CallFailure, CallRequest, PlainAnswer, StreamEnd, StreamEvent, TargetClient, TargetStatus,
    TokenStream,
};
use telemetry::Metrics;

use crate::answer::AnswerPort;
use crate::claims::{claim_id, close_claim, refusal_before_claim};
use crate::dispatcher_messages::{
    BeginRequest, BegunRequest, EndedCall, Message, StageSlotRequest,
};
use crate::dispatcher_thread::{DispatcherHandle, DispatcherStopped};
use crate::waiting_threads::Granted;

/// Retry delay sent to callers when no better estimate is known.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State shared by the threads of all requests.
pub(crate) struct Pipeline {
    pub(crate) cfg: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) target_client: TargetClient,
    pub(crate) store: Store,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
}

/// Progress of one request.
struct Progress<'a> {
    shared: &'a Pipeline,
    req: &'a CallerRequest,
    begun: &'a BegunRequest,
    /// Stages that ran, and attempts that may have run; the latter have no cost.
    runs: Vec<StageRun>,
    /// Whether a call was sent whose result is not known.
    may_have_run: bool,
    /// Number of attempts so far, over all stages.
    attempts: u32,
}

/// Runs one request to its end and answers it through `port`.
pub(crate) fn run(shared: &Pipeline, req: &CallerRequest, body: &[u8], port: AnswerPort) {
    let begin_req = BeginRequest {
        id: req.id.clone(),
        service: req.service.clone(),
        customer: req.customer.clone(),
        priority: req.priority,
        arrived: req.arrived,
        deadline: req.deadline,
    };
    let begun = match shared.dispatcher.ask(|reply| Message::Begin(begin_req.clone(), reply)) {
        Ok(Ok(begun)) => begun,
        Ok(Err(refusal)) => {
            let refusal = refusal_before_claim(req, refusal);
            record_request_metrics(shared, req, refusal.outcome, Some(refusal.reason));
            return port.refuse(Vec::new(), &refusal);
        }
        Err(DispatcherStopped) => {
            return port.refuse(Vec::new(), &refusal_before_claim(req, stopping_refusal()));
        }
    };
    let claim = match claim_id(shared, req) {
        Ok(claim) => claim,
        Err(refusal) => return end_refused(shared, req, &begun, Vec::new(), port, &refusal),
    };
    let mut progress =
        Progress { shared, req, begun: &begun, runs: Vec::new(), may_have_run: false, attempts: 0 };
    let mut port = port;
    let result = progress.admit().and_then(|service| progress.run_stages(service, body, &mut port));
    let runs = progress.runs;
    match result {
        Ok(output) => {
            let answer = Answer::whole(req.id.clone(), runs, output);
            port.finish(&answer);
            record_stage_costs(shared, req, &answer.stages, true);
            end_request(shared, req, &begun, Outcome::Whole, None);
            close_claim(shared, req, claim.as_ref(), Outcome::Whole);
        }
        Err(refusal) => {
            record_stage_costs(shared, req, &runs, false);
            end_refused(shared, req, &begun, runs, port, &refusal);
            close_claim(shared, req, claim.as_ref(), refusal.outcome);
        }
    }
}

/// The refusal while the process stops.
fn stopping_refusal() -> Refusal {
    Refusal::not_run(Reason::Stopping, "the process is ending")
        .with_retry_after(DEFAULT_RETRY_AFTER)
}

/// Records the cost of each stage run in the metrics; `whole` is whether the request succeeded.
fn record_stage_costs(shared: &Pipeline, req: &CallerRequest, runs: &[StageRun], whole: bool) {
    for run in runs {
        let cost = run.cost.unwrap_or(0);
        shared.metrics.stage_charged(run.stage.as_str(), req.customer.as_str(), whole, cost);
    }
}

/// Logs the refusal, answers the caller and ends the request.
fn end_refused(
    shared: &Pipeline,
    req: &CallerRequest,
    begun: &BegunRequest,
    runs: Vec<StageRun>,
    port: AnswerPort,
    refusal: &Refusal,
) {
    info!(shared.log, "request refused"; "request" => %req.id, "service" => %req.service,
        "customer" => %req.customer, "outcome" => refusal.outcome.as_str(),
        "reason" => ?refusal.reason, "detail" => &refusal.detail);
    port.refuse(runs, refusal);
    end_request(shared, req, begun, refusal.outcome, Some(refusal.reason));
}

/// Reports the end of a request to the dispatcher, the log and the metrics.
fn end_request(
    shared: &Pipeline,
    req: &CallerRequest,
    begun: &BegunRequest,
    outcome: Outcome,
    reason: Option<Reason>,
) {
    let took = req.arrived.elapsed();
    let (submission, revision) = (begun.submission, begun.configuration.revision);
    shared.dispatcher.tell(Message::RequestEnded { submission, revision, outcome, reason, took });
    debug!(shared.log, "request ended"; "request" => %req.id, "service" => %req.service,
        "outcome" => outcome.as_str(), "took_ms" => took.as_millis());
    record_request_metrics(shared, req, outcome, reason);
}

/// Records the outcome and duration of a request in the metrics.
fn record_request_metrics(
    shared: &Pipeline,
    req: &CallerRequest,
    outcome: Outcome,
    reason: Option<Reason>,
) {
    // Unknown names are not used as labels, because callers could send any number of them and fill
    // the metrics' memory.
    let known = !matches!(reason, Some(Reason::UnknownService | Reason::UnknownCustomer));
    let (service, customer) =
        if known { (req.service.as_str(), req.customer.as_str()) } else { ("?", "?") };
    shared.metrics.request_ended(service, customer, outcome.as_str(), req.arrived.elapsed());
}

/// What follows from an attempt that did not return the stage's output.
enum AttemptFailure {
    /// Try another target: the call did not run, or the request may be repeated. Holds the problem.
    Retry(String),
    /// End the request with this refusal.
    GiveUp(Refusal),
}

/// How reading a stream ended.
enum StreamRead {
    /// Its end event was received.
    Complete(StreamEnd),
    /// The caller no longer waits for it.
    CallerGone,
    /// The connection broke, or the stream belongs to another attempt.
    Broken(CallFailure),
}

/// Reads a stream to its end; stops early if `on_token` returns false.
fn read_stream(mut stream: TokenStream, mut on_token: impl FnMut(u64, &str) -> bool) -> StreamRead {
    loop {
        match stream.next_event() {
            Ok(StreamEvent::Token(number, token)) => {
                if !on_token(number, &token) {
                    return StreamRead::CallerGone;
                }
            }
            Ok(StreamEvent::End(end)) => return StreamRead::Complete(end),
            Err(failure) => return StreamRead::Broken(failure),
        }
    }
}

impl<'a> Progress<'a> {
    /// Asks the dispatcher to admit the request and returns the service to run.
    fn admit(&self) -> Result<&'a Service, Refusal> {
        let admission = self
            .shared
            .dispatcher
            .ask(|reply| Message::Admit(self.stage_slot_request(0, &[]), reply))
            .map_err(|DispatcherStopped| stopping_refusal())?;
        admission.map_err(|refused| self.slot_refusal(refused))?;
        let unknown = || Refusal::not_run(Reason::UnknownService, self.req.service.to_string());
        self.begun.service(&self.req.service).ok_or_else(unknown)
    }

    /// Runs all stages, each with the output of the one before as its input.
    ///
    /// Returns the output, or `None` if it was streamed to the caller.
    fn run_stages(
        &mut self,
        service: &Service,
        body: &[u8],
        port: &mut AnswerPort,
    ) -> Result<Option<serde_json::Value>, Refusal> {
        let mut input = body.to_vec();
        let last = service.stages.len().saturating_sub(1);
        for (index, stage) in service.stages.iter().enumerate() {
            if !port.is_open() {
                return Err(self.refusal(Reason::CallerGone, "before the next stage", None));
            }
            let to_caller = index == last && self.req.wants_stream;
            let answer = if stage.streams {
                self.run_stream(stage, index, &input, port, to_caller)?
            } else {
                self.run_call(stage, index, &input)?
            };
            input = answer.output;
        }
        if Instant::now() > self.req.deadline {
            return Err(self.refusal(Reason::DeadlinePassed, "after the last stage", None));
        }
        Ok((!port.has_begun()).then(|| serde_json::from_slice(&input).unwrap_or_default()))
    }

    /// Runs a stage that returns its answer in one piece.
    fn run_call(
        &mut self,
        stage: &Stage,
        index: usize,
        input: &[u8],
    ) -> Result<PlainAnswer, Refusal> {
        let mut tried = Vec::new();
        loop {
            let granted = self.acquire_slot(index, &tried)?;
            let started = Instant::now();
            let outcome =
                self.shared.target_client.call(&self.call_request(stage, &granted, input, None));
            self.report_call_result(
                stage,
                &granted,
                started,
                outcome.result.as_ref().err(),
                outcome.status,
            );
            match outcome.result {
                Ok(answer) => {
                    self.record_run(stage, &granted, Some(answer.cost));
                    return Ok(answer);
                }
                Err(failure) => self.retry_or_refuse(stage, &granted, failure, &mut tried)?,
            }
        }
    }

    /// Runs a stage that streams, and passes the tokens on if the stream goes `to_caller`. After a
    /// broken stream the next attempt resumes at the next token.
    fn run_stream(
        &mut self,
        stage: &Stage,
        index: usize,
        input: &[u8],
        port: &mut AnswerPort,
        to_caller: bool,
    ) -> Result<PlainAnswer, Refusal> {
        let mut tried = Vec::new();
        let mut text = String::new();
        let mut tokens = 0;
        loop {
            let granted = self.acquire_slot(index, &tried)?;
            let started = Instant::now();
            let resume_after = (tokens > 0).then_some(tokens);
            let req = self.call_request(stage, &granted, input, resume_after);
            let outcome = self.shared.target_client.open_stream(&req);
            let read = match outcome.result {
                Err(failure) => StreamRead::Broken(failure),
                Ok(stream) => read_stream(stream, |number, token| {
                    tokens = number;
                    text.push_str(token);
                    let sent = !to_caller || port.send_token(number, token).is_ok();
                    sent && port.is_open()
                }),
            };
            match read {
                StreamRead::Complete(end) => {
                    self.report_call_result(stage, &granted, started, None, outcome.status);
                    self.record_run(stage, &granted, Some(end.cost));
                    let output = serde_json::json!({ "text": text }).to_string().into_bytes();
                    return Ok(PlainAnswer { output, cost: end.cost });
                }
                StreamRead::CallerGone => {
                    return Err(self.cancel_abandoned_call(stage, &granted, started));
                }
                StreamRead::Broken(failure) => {
                    self.report_call_result(
                        stage,
                        &granted,
                        started,
                        Some(&failure),
                        outcome.status,
                    );
                    self.retry_or_refuse(stage, &granted, failure, &mut tried)?;
                }
            }
        }
    }

    /// Cancels a call whose caller has disconnected, so that the target stops working on it.
    fn cancel_abandoned_call(
        &mut self,
        stage: &Stage,
        granted: &Granted,
        started: Instant,
    ) -> Refusal {
        self.shared.target_client.cancel(granted.grant.address, &granted.attempt);
        let gone = CallFailure::MayHaveRun("the caller is gone".to_owned());
        self.report_abandoned_call(stage, granted, started, &gone);
        self.record_run(stage, granted, None);
        self.may_have_run = true;
        self.refusal(Reason::CallerGone, "during a stream", None)
    }

    /// The slot request for a stage, without the targets already tried.
    fn stage_slot_request(&self, stage: usize, tried: &[TargetKey]) -> StageSlotRequest {
        StageSlotRequest {
            id: self.req.id.clone(),
            configuration: Arc::clone(&self.begun.configuration),
            submission: self.begun.submission,
            service: self.req.service.clone(),
            stage,
            customer: self.req.customer.clone(),
            priority: self.begun.priority,
            returning: self.req.returning,
            arrived: self.req.arrived,
            deadline: self.req.deadline,
            exclude: tried.to_vec(),
            prefix: self.req.prefix.as_ref().map(|prefix| hashing::hash_text(prefix)),
            attempt_number: self.attempts,
        }
    }

    /// Waits until the dispatcher grants or refuses a slot for the next attempt.
    fn acquire_slot(&mut self, stage: usize, tried: &[TargetKey]) -> Result<Granted, Refusal> {
        self.attempts += 1;
        let slot_req = self.stage_slot_request(stage, tried);
        let reply = self.shared.dispatcher.ask(|reply| Message::Slot(slot_req, reply));
        match reply {
            Ok(Ok(granted)) => Ok(granted),
            Ok(Err(refused)) => Err(self.slot_refusal(refused)),
            Err(DispatcherStopped) => Err(self.refusal(
                Reason::Stopping,
                "the process is ending",
                Some(DEFAULT_RETRY_AFTER),
            )),
        }
    }

    /// The call to the target; `last_token` is set to resume a stream after that token.
    fn call_request<'b>(
        &self,
        stage: &'b Stage,
        granted: &'b Granted,
        input: &'b [u8],
        last_token: Option<u64>,
    ) -> CallRequest<'b> {
        CallRequest {
            address: granted.grant.address,
            stage: &stage.name,
            attempt: &granted.attempt,
            input,
            time_left: self.req.deadline.saturating_duration_since(Instant::now()),
            priority: self.begun.priority,
            // Only a new connection that fails to open proves that the call did not run, so
            // connections are reused only for requests that may be repeated.
            reuse: self.req.repeatable,
            last_token,
        }
    }

    /// Reports a call that was answered or failed.
    fn report_call_result(
        &self,
        stage: &Stage,
        granted: &Granted,
        started: Instant,
        failure: Option<&CallFailure>,
        status: TargetStatus,
    ) {
        let (end, attempt_end, label) = match failure {
            None => (CallEnd::Answered, AttemptEnd::Answered, "answered"),
            Some(CallFailure::NotSent(problem)) => {
                let problem = problem.clone();
                (CallEnd::Unreachable, AttemptEnd::NotSent { problem }, "not sent")
            }
            Some(CallFailure::Declined(problem)) => {
                let problem = problem.clone();
                (CallEnd::Declined, AttemptEnd::Declined { problem }, "declined")
            }
            Some(CallFailure::Crossed(problem)) => {
                self.shared.metrics.answer_to_other_attempt(granted.grant.name.as_str());
                let problem = problem.clone();
                (CallEnd::Failed, AttemptEnd::Failed { problem }, "crossed")
            }
            Some(CallFailure::MayHaveRun(problem)) => {
                let problem = problem.clone();
                (CallEnd::Failed, AttemptEnd::Failed { problem }, "failed")
            }
        };
        self.report_call_end(stage, granted, started, (end, attempt_end, label), status);
    }

    /// Reports a call that was abandoned before its end.
    fn report_abandoned_call(
        &self,
        stage: &Stage,
        granted: &Granted,
        started: Instant,
        why: &CallFailure,
    ) {
        let problem = format!("{why:?}");
        let end = (CallEnd::Abandoned, AttemptEnd::Failed { problem }, "given up");
        self.report_call_end(stage, granted, started, end, TargetStatus::default());
    }

    /// Counts the attempt in the metrics, with `label` as its end, and tells the dispatcher that
    /// its slot is free.
    fn report_call_end(
        &self,
        stage: &Stage,
        granted: &Granted,
        started: Instant,
        (end, attempt_end, label): (CallEnd, AttemptEnd, &'static str),
        status: TargetStatus,
    ) {
        let target = &granted.grant.name;
        self.shared.metrics.attempt_ended(stage.name.as_str(), target.as_str(), label);
        let ended = EndedCall {
            submission: self.begun.submission,
            service: self.req.service.clone(),
            stage: stage.name.clone(),
            slot: granted.grant.slot,
            target_name: target.clone(),
            attempt: granted.attempt.clone(),
            end,
            attempt_end,
            took: started.elapsed(),
            load: status.load.map(|(running, queued)| LoadReport { running, queued }),
            leaving: status.leaving,
        };
        self.shared.dispatcher.tell(Message::CallEnded(Box::new(ended)));
    }

    /// Adds a stage run to the answer; `cost` is `None` if it is not known whether the call ran.
    fn record_run(&mut self, stage: &Stage, granted: &Granted, cost: Option<u64>) {
        let (stage, target) = (stage.name.clone(), granted.grant.name.clone());
        self.runs.push(StageRun { stage, target, cost });
    }

    /// Adds the target to `tried` and returns `Ok` if another one may be tried, otherwise the
    /// refusal.
    fn retry_or_refuse(
        &mut self,
        stage: &Stage,
        granted: &Granted,
        failure: CallFailure,
        tried: &mut Vec<TargetKey>,
    ) -> Result<(), Refusal> {
        tried.push(granted.grant.slot.target);
        match self.classify_failure(stage, granted, failure) {
            AttemptFailure::GiveUp(refusal) => Err(refusal),
            AttemptFailure::Retry(problem) => {
                let tries = u32::try_from(tried.len()).unwrap_or(u32::MAX);
                let allowed =
                    self.shared.dispatcher.ask(|reply| Message::TryTakeRetry(tries, reply));
                if !matches!(allowed, Ok(true)) {
                    let detail = format!("{problem}; no further try is allowed now");
                    return Err(self.refusal(
                        Reason::TargetFailed,
                        &detail,
                        Some(DEFAULT_RETRY_AFTER),
                    ));
                }
                Ok(())
            }
        }
    }

    /// Decides whether a failed attempt may be retried: only if the call certainly did not run, or
    /// the request may be repeated and its deadline has not passed.
    ///
    /// A call that may have run is added to the stage runs, and is canceled if the deadline has
    /// passed.
    fn classify_failure(
        &mut self,
        stage: &Stage,
        granted: &Granted,
        failure: CallFailure,
    ) -> AttemptFailure {
        let name = &granted.grant.name;
        match failure {
            CallFailure::NotSent(problem) | CallFailure::Declined(problem) => {
                AttemptFailure::Retry(format!("stage {} at {name}: {problem}", stage.name))
            }
            CallFailure::Crossed(problem) | CallFailure::MayHaveRun(problem) => {
                self.record_run(stage, granted, None);
                self.may_have_run = true;
                let detail = format!("stage {} at {name}: {problem}", stage.name);
                if Instant::now() >= self.req.deadline {
                    self.shared.target_client.cancel(granted.grant.address, &granted.attempt);
                    AttemptFailure::GiveUp(self.refusal(Reason::DeadlinePassed, &detail, None))
                } else if self.req.repeatable {
                    AttemptFailure::Retry(detail)
                } else {
                    AttemptFailure::GiveUp(self.refusal(Reason::TargetFailed, &detail, None))
                }
            }
        }
    }

    /// The caller's refusal for a slot that was refused.
    fn slot_refusal(&self, refused: SlotRefusal) -> Refusal {
        let (reason, detail, wait) = match refused {
            SlotRefusal::TooLate { retry_after } => {
                (Reason::TooLate, "the stages left need more time than is left", retry_after)
            }
            SlotRefusal::QueueFull { retry_after } => {
                (Reason::QueueFull, "too many wait for the stage's targets", retry_after)
            }
            SlotRefusal::NoTarget { retry_after } => (
                Reason::NoTarget,
                "every target that the selectors allow was tried or is out",
                retry_after,
            ),
        };
        self.refusal(reason, detail, Some(wait))
    }

    /// A refusal whose outcome follows from whether calls ran or may have run.
    ///
    /// One with an unknown outcome gets no retry delay.
    fn refusal(&self, reason: Reason, detail: &str, retry_after: Option<Duration>) -> Refusal {
        let refusal = if self.may_have_run && !self.req.repeatable {
            Refusal::unknown(reason, detail)
        } else if self.may_have_run || !self.runs.is_empty() {
            Refusal::failed(reason, detail)
        } else {
            Refusal::not_run(reason, detail)
        };
        match retry_after.filter(|_| refusal.outcome != Outcome::Unknown) {
            Some(wait) => refusal.with_retry_after(wait),
            None => refusal,
        }
    }
}
