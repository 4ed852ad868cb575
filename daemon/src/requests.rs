//! The dispatcher's part in a request: begin, admission, slots, ended calls, the end.

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

/// When to come back while no configuration is in force.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Dispatcher {
    pub(crate) fn begin_request(&mut self, ask: BeginRequest) -> Result<BegunRequest, Refusal> {
        let Some(configuration) = self.history.current().cloned() else {
            let refusal = Refusal::not_run(Reason::NoConfiguration, "no revision is known yet");
            return Err(refusal.with_retry_after(NO_CONFIGURATION_RETRY_AFTER));
        };
        let Some(service) = configuration.catalogue.services.get(&ask.service) else {
            return Err(Refusal::not_run(Reason::UnknownService, ask.service.to_string()));
        };
        if !configuration.catalogue.customers.contains_key(&ask.customer) {
            return Err(Refusal::not_run(Reason::UnknownCustomer, ask.customer.to_string()));
        }
        let priority = ask.priority.unwrap_or(service.priority);
        let deadline = ask.deadline.saturating_duration_since(ask.arrived);
        let submission = self.journal.open(RequestRecord {
            request_id: ask.id,
            service: ask.service,
            customer: ask.customer,
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

    pub(crate) fn admit(&mut self, ask: &StageSlotRequest, now: Instant) -> Admission {
        ask.to_slot_request().map_or(Ok(()), |req| self.router.admit(&req, now))
    }

    pub(crate) fn request_slot(
        &mut self,
        ask: StageSlotRequest,
        reply: oneshot::Sender<SlotReply>,
        now: Instant,
    ) {
        let Some(req) = ask.to_slot_request() else { return };
        match self.router.request_slot(&req, now) {
            SlotAnswer::Granted(grant) => self.grant(&ask, grant, reply, now),
            SlotAnswer::Queued(id) => self.waiting.add(id, WaitingThread { ask, reply }),
            SlotAnswer::Refused(refused) => send_reply(reply, Err(refused)),
        }
    }

    /// Writes the choice down, then lets the call be sent.
    fn grant(
        &mut self,
        ask: &StageSlotRequest,
        grant: Grant,
        reply: oneshot::Sender<SlotReply>,
        now: Instant,
    ) {
        let stages = ask.configuration.catalogue.services.get(&ask.service).map(|s| &s.stages);
        let Some(stage) = stages.and_then(|stages| stages.get(ask.stage)) else {
            return;
        };
        let attempt = AttemptId::new(&ask.id, ask.stage, ask.attempt_number);
        let record = AttemptRecord {
            attempt: attempt.to_string(),
            stage: stage.name.clone(),
            target: grant.name.clone(),
            why: grant.reason.clone(),
            chosen_at_ms: millis(now.saturating_duration_since(ask.arrived)),
            took_ms: None,
            end: AttemptEnd::Running,
        };
        debug!(self.setup.log, "attempt"; "request" => %ask.id, "attempt" => %attempt,
            "stage" => %stage.name, "target" => %grant.name, "why" => &grant.reason);
        self.journal.record_attempt(ask.submission, record);
        let (slot, service, stage) = (grant.slot, ask.service.clone(), stage.name.clone());
        if reply.send(Ok(Granted { grant, attempt })).is_err() {
            // The thread has given up; the slot goes to the next.
            let end = CallEnd::GivenUp;
            let updates =
                self.router.release(slot, (&service, &stage), end, Duration::ZERO, None, now);
            self.apply_wait_updates(updates);
        }
    }

    pub(crate) fn apply_wait_updates(&mut self, updates: Vec<WaitUpdate>) {
        let now = Instant::now();
        for update in updates {
            match update {
                WaitUpdate::Granted(id, grant) => {
                    if let Some(thread) = self.waiting.take(id) {
                        self.grant(&thread.ask, grant, thread.reply, now);
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

    pub(crate) fn call_ended(&mut self, ended: EndedCall, now: Instant) {
        debug!(self.setup.log, "attempt ended"; "attempt" => %ended.attempt,
            "stage" => %ended.stage, "target" => %ended.target_name, "end" => ?ended.record,
            "took_ms" => millis(ended.took));
        self.journal.record_attempt_end(
            ended.submission,
            ended.attempt.as_str(),
            millis(ended.took),
            ended.record,
        );
        if ended.leaving && self.leaving.record(ended.target_name.clone(), now) {
            info!(self.setup.log, "target leaving"; "target" => %ended.target_name,
                "word" => "its own answer");
            self.apply_peer_state(now);
            self.setup.news.notify_one();
        }
        let origin = (&ended.service, &ended.stage);
        let updates =
            self.router.release(ended.slot, origin, ended.end, ended.took, ended.load, now);
        self.apply_wait_updates(updates);
    }

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
