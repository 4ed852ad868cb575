//! The dispatcher's handling of requests: begin, admission, slots, ended calls and end.

use std::time::{Duration, Instant};

use ids::AttemptId;
use journal::{AttemptEnd, AttemptRecord, RequestRecord, SubmissionId};
use outcomes::{Outcome, Reason, Refusal};
use routing::{Admission, CallEnd, Grant, SlotAnswer, WaitUpdate};
use slog::{debug, info};
use tokio::sync::oneshot;

use crate::dispatcher::{Dispatcher, send_reply};
use crate::dispatcher_messages::{BeginRequest, BegunRequest, EndedCall, StageSlotRequest};
use crate::units::millis;
use crate::waiting_threads::{Granted, SlotReply, WaitingThread};

/// Retry delay sent to callers while no configuration is in force.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Checks service and customer against the configuration in force and adds a journal record.
    ///
    /// # Errors
    /// A refusal if no configuration is in force, or it lacks the service or the customer.
    pub(crate) fn begin_request(&mut self, req: BeginRequest) -> Result<BegunRequest, Refusal> {
        let Some(configuration) = self.history.current().cloned() else {
            let refusal = Refusal::not_run(Reason::NoConfiguration, "no revision is known yet");
            return Err(refusal.with_retry_after(NO_CONFIGURATION_RETRY_AFTER));
        };
        let Some(service) = configuration.catalogue.services.get(&req.service) else {
            return Err(Refusal::not_run(Reason::UnknownService, req.service.to_string()));
        };
        if !configuration.catalogue.customers.contains_key(&req.customer) {
            return Err(Refusal::not_run(Reason::UnknownCustomer, req.customer.to_string()));
        }
        let priority = req.priority.unwrap_or(service.priority);
        let deadline = req.deadline.saturating_duration_since(req.arrived);
        let submission = self.journal.add(RequestRecord {
            request_id: req.id,
            service: req.service,
            customer: req.customer,
            priority,
            revision: configuration.revision,
            deadline_ms: millis(deadline),
            attempts: Vec::new(),
            outcome: None,
            reason: None,
            took_ms: None,
        });
        self.in_work += 1;
        self.router.begin_request(configuration.revision);
        Ok(BegunRequest { configuration, priority, submission })
    }

    /// Checks whether the request can still finish before its deadline and be queued.
    pub(crate) fn admit(&mut self, stage_request: &StageSlotRequest, now: Instant) -> Admission {
        stage_request.to_slot_request().map_or(Ok(()), |req| self.router.admit(&req, now))
    }

    /// Requests a slot at a target. The reply is sent when the slot is granted or refused;
    /// until then the request is queued.
    pub(crate) fn request_slot(
        &mut self,
        stage_request: StageSlotRequest,
        reply: oneshot::Sender<SlotReply>,
        now: Instant,
    ) {
        let Some(req) = stage_request.to_slot_request() else { return };
        match self.router.request_slot(&req, now) {
            SlotAnswer::Granted(grant) => self.grant(&stage_request, grant, reply, now),
            SlotAnswer::Queued(id) => self.waiting.add(id, WaitingThread { stage_request, reply }),
            SlotAnswer::Refused(refused) => send_reply(reply, Err(refused)),
        }
    }

    /// Records the chosen target in the journal, then hands the slot to the waiting thread.
    fn grant(
        &mut self,
        stage_request: &StageSlotRequest,
        grant: Grant,
        reply: oneshot::Sender<SlotReply>,
        now: Instant,
    ) {
        let stages = stage_request
            .configuration
            .catalogue
            .services
            .get(&stage_request.service)
            .map(|s| &s.stages);
        let Some(stage) = stages.and_then(|stages| stages.get(stage_request.stage)) else {
            return;
        };
        let attempt =
            AttemptId::new(&stage_request.id, stage_request.stage, stage_request.attempt_number);
        let record = AttemptRecord {
            attempt: attempt.to_string(),
            stage: stage.name.clone(),
            target: grant.name.clone(),
            why: grant.reason.clone(),
            chosen_at_ms: millis(now.saturating_duration_since(stage_request.arrived)),
            took_ms: None,
            end: AttemptEnd::Running,
        };
        debug!(self.setup.log, "attempt started"; "request" => %stage_request.id,
            "attempt" => %attempt, "stage" => %stage.name, "target" => %grant.name,
            "why" => &grant.reason);
        self.journal.record_attempt(stage_request.submission, record);
        let (slot, service, stage) =
            (grant.slot, stage_request.service.clone(), stage.name.clone());
        if reply.send(Ok(Granted { grant, attempt })).is_err() {
            // The thread no longer waits, so the slot is released to the next request.
            let end = CallEnd::Abandoned;
            let updates =
                self.router.release(slot, (&service, &stage), end, Duration::ZERO, None, now);
            self.apply_wait_updates(updates);
        }
    }

    /// Passes grants and refusals of queued requests to their threads.
    pub(crate) fn apply_wait_updates(&mut self, updates: Vec<WaitUpdate>) {
        let now = Instant::now();
        for update in updates {
            match update {
                WaitUpdate::Granted(id, grant) => {
                    if let Some(thread) = self.waiting.take(id) {
                        self.grant(&thread.stage_request, grant, thread.reply, now);
                    }
                }
                WaitUpdate::Refused(id, refused) => {
                    if let Some(thread) = self.waiting.take(id) {
                        send_reply(thread.reply, Err(refused));
                    }
                }
            }
        }
    }

    /// Records the end of a call, its target's load and leaving state, and releases its slot.
    pub(crate) fn call_ended(&mut self, ended: EndedCall, now: Instant) {
        debug!(self.setup.log, "attempt ended"; "attempt" => %ended.attempt,
            "stage" => %ended.stage, "target" => %ended.target_name, "end" => ?ended.attempt_end,
            "took_ms" => millis(ended.took));
        self.journal.record_attempt_end(
            ended.submission,
            ended.attempt.as_str(),
            millis(ended.took),
            ended.attempt_end,
        );
        if ended.leaving && self.leaving.record(ended.target_name.clone(), now) {
            info!(self.setup.log, "target leaving"; "target" => %ended.target_name,
                "word" => "its own answer");
            self.apply_peer_state(now);
            self.setup.round_trigger.notify_one();
        }
        let origin = (&ended.service, &ended.stage);
        let updates =
            self.router.release(ended.slot, origin, ended.end, ended.took, ended.load, now);
        self.apply_wait_updates(updates);
    }

    /// Records the end of a request.
    pub(crate) fn request_ended(
        &mut self,
        submission: SubmissionId,
        outcome: Outcome,
        reason: Option<Reason>,
        took: Duration,
    ) {
        self.in_work = self.in_work.saturating_sub(1);
        self.journal.record_end(submission, outcome, reason, millis(took));
    }
}
