//! A planned stop: what is told to callers whose requests can't end before the process does.

use std::time::{Duration, Instant};

use platform_adapter::callers::Refusal;
use slog::{info, warn};
use stopping::{Progress, StopDecision};
use tokio::time::sleep;

use crate::active_requests::{ActiveRequest, ActiveRequestKey, WaitReason};
use crate::admission;
use crate::app::App;
use crate::hub::now;
use crate::requests::AcceptedRequest;
use crate::shared::Shared;

/// When to come back where another VM serves.
pub(crate) const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(50);
/// Time in which a process that ended is started again and ready; those who come back then come within as long.
const START: Duration = Duration::from_secs(1);
/// Pause between two looks at a request while the process stops.
const LOOK: Duration = Duration::from_millis(25);

impl ActiveRequest {
    fn progress(&self) -> Progress {
        match self.wait_reason {
            _ if self.head_sent => Progress::Begun,
            WaitReason::Answer => Progress::MayRun,
            _ if self.may_have_run => Progress::MayRun,
            WaitReason::Checks | WaitReason::Stages | WaitReason::Target => Progress::NotRun,
        }
    }
}

impl Shared {
    /// Whether the process stops.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Refuses a request that another VM may serve, or this one once it was started again.
    pub(crate) fn retry_later_refusal(&self, now: Instant) -> Refusal {
        let returns = self.stop.filter(|_| !self.fleet.others_serve(now));
        let retry_after = returns.map_or(RETRY_ELSEWHERE_AFTER, |plan| {
            let ends = plan.exits_at().saturating_duration_since(now);
            ends + START.mul_f64(1.0 + rand::random::<f64>())
        });
        Refusal::NotRun { retry_after }
    }

    /// What the caller of a request is told now, if it can't be served on.
    fn stop_refusal(&self, key: ActiveRequestKey, now: Instant) -> Option<Refusal> {
        let plan = self.stop?;
        let work = self.active_requests.get(key)?;
        match plan.decide(work.progress(), work.response_time, self.active_requests.len(), now) {
            StopDecision::Continue => None,
            StopDecision::RejectNotRun => Some(self.retry_later_refusal(now)),
            StopDecision::ReportLost => Some(Refusal::Failed),
        }
    }
}

/// Ends once the process stops and can't serve a request to its end; gives what its caller is told. Raced against all
/// that a request waits for, so that no wait has to know of the stop.
pub(crate) async fn until_refused(app: &App, key: ActiveRequestKey) -> Refusal {
    let mut stopping = app.stopping.subscribe();
    loop {
        // The sender lives as long as the process.
        drop(stopping.wait_for(|stopping| *stopping).await);
        let word = app.hub.with(|shared, now| {
            let word = shared.stop_refusal(key, now)?;
            Some((
                word,
                shared.active_requests.get(key).map(|work| (work.wait_reason, work.id.clone())),
            ))
        });
        if let Some((word, work)) = word {
            if let Some((waits, id)) = work {
                info!(app.log, "request ended by the stop"; "waits_for" => waits.name(),
                    "request" => id.map(|id| id.to_string()));
                app.metrics.request_ended_by_stop(waits.name());
            }
            return word;
        }
        sleep(LOOK).await;
    }
}

/// Refuses a request that came in while the process stops and is not expected to end before it.
pub(crate) fn refusal(app: &App, req: &AcceptedRequest) -> Option<Refusal> {
    let (expected, refusal) = app.hub.with(|shared, now| {
        let plan = shared.stop?;
        let passing = shared.response_time(&req.entry.name).unwrap_or_default();
        let expected = admission::expected_stages_time(shared, req, now) + passing;
        let can_serve = plan.can_serve(expected, shared.active_requests.len(), now);
        (!can_serve).then(|| (expected, shared.retry_later_refusal(now)))
    })?;
    info!(app.log, "not admitted"; "request" => %req.id, "entry" => &req.entry.name,
        "expected_ms" => expected.as_millis(), "why" => "the process stops before");
    Some(refusal)
}

/// Tells of each request that the end of the process closes.
pub(crate) fn log_closed_requests(app: &App) {
    app.hub.with(|shared, _| {
        for work in shared.active_requests.values() {
            let id = work.id.as_ref().map(ToString::to_string);
            warn!(app.log, "request closed by the stop"; "request" => id,
                "waits_for" => work.wait_reason.name(), "may_have_run" => work.may_have_run,
                "head_sent" => work.head_sent,
                "took_ms" => (now() - work.arrived).as_millis());
            app.metrics.request_closed_by_stop(work.wait_reason.name());
        }
    });
}
