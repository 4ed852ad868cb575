//! Graceful shutdown: which requests are refused or cut off because they can't finish before the
//! process exits, and what their callers are told.

use std::time::{Duration, Instant};

use platform_interface::callers::Refusal;
use slog::{info, warn};
use stopping::{Progress, StopDecision};
use tokio::time::sleep;

use crate::active_requests::{ActiveRequest, ActiveRequestKey, WaitReason};
use crate::admission;
use crate::app::App;
use crate::requests::AcceptedRequest;
use crate::shared::Shared;
use crate::state_handle::now;

/// Suggested delay before a retry when another VM can serve the request.
pub(crate) const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(50);
/// Time in which an exited process is restarted and ready again. Retries that must wait for the
/// restart are spread over the same time after it.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Interval at which a request is checked during shutdown.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

impl ActiveRequest {
    /// How far the request has come, as the shutdown rules need it.
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
    /// Whether the process is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Refusal of a request that has not run. The caller is told to retry at once if another VM can
    /// serve it, otherwise after this VM's restart.
    pub(crate) fn retry_later_refusal(&self, now: Instant) -> Refusal {
        let must_wait = self.stop.filter(|_| !self.fleet.others_serve(now));
        let retry_after = must_wait.map_or(RETRY_ELSEWHERE_AFTER, |plan| {
            let exits_in = plan.exits_at().saturating_duration_since(now);
            exits_in + RESTART_TIME.mul_f64(1.0 + rand::random::<f64>())
        });
        Refusal::NotRun { retry_after }
    }

    /// The refusal that ends a request now; `None` if it can still be served or no shutdown is in
    /// progress.
    fn stop_refusal(&self, key: ActiveRequestKey, now: Instant) -> Option<Refusal> {
        let plan = self.stop?;
        let request = self.active_requests.get(key)?;
        match plan.decide(
            request.progress(),
            request.response_time,
            self.active_requests.len(),
            now,
        ) {
            StopDecision::Continue => None,
            StopDecision::RejectNotRun => Some(self.retry_later_refusal(now)),
            StopDecision::ReportLost => Some(Refusal::Failed),
        }
    }
}

/// Waits until the shutdown makes it impossible to finish a request, and returns the refusal for
/// its caller. It is raced against everything that a request waits for, so that no wait has to
/// handle the shutdown itself.
pub(crate) async fn until_refused(app: &App, key: ActiveRequestKey) -> Refusal {
    let mut stopping = app.stopping.subscribe();
    loop {
        // The sender lives as long as the process.
        drop(stopping.wait_for(|stopping| *stopping).await);
        let ended = app.state.with(|shared, now| {
            let refusal = shared.stop_refusal(key, now)?;
            Some((
                refusal,
                shared
                    .active_requests
                    .get(key)
                    .map(|request| (request.wait_reason, request.id.clone())),
            ))
        });
        if let Some((refusal, request)) = ended {
            if let Some((wait_reason, id)) = request {
                info!(app.log, "request ended by the stop"; "waits_for" => wait_reason.name(),
                    "request" => id.map(|id| id.to_string()));
                app.metrics.request_ended_by_stop(wait_reason.name());
            }
            return refusal;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Refusal of a request that arrives during shutdown and isn't expected to finish before the
/// process exits; `None` if it may be admitted.
pub(crate) fn refusal(app: &App, req: &AcceptedRequest) -> Option<Refusal> {
    let (expected, refusal) = app.state.with(|shared, now| {
        let plan = shared.stop?;
        let response_time = shared.response_time(&req.entry.name).unwrap_or_default();
        let expected = admission::expected_stages_time(shared, req, now) + response_time;
        let can_serve = plan.can_serve(expected, shared.active_requests.len(), now);
        (!can_serve).then(|| (expected, shared.retry_later_refusal(now)))
    })?;
    info!(app.log, "not admitted"; "request" => %req.id, "entry" => &req.entry.name,
        "expected_ms" => expected.as_millis(), "why" => "process exits before it can finish");
    Some(refusal)
}

/// Logs and counts each request whose connection is closed by the exit of the process.
pub(crate) fn log_closed_requests(app: &App) {
    app.state.with(|shared, _| {
        for request in shared.active_requests.values() {
            let id = request.id.as_ref().map(ToString::to_string);
            warn!(app.log, "request closed by the stop"; "request" => id,
                "waits_for" => request.wait_reason.name(),
                "may_have_run" => request.may_have_run, "head_sent" => request.head_sent,
                "took_ms" => (now() - request.arrived).as_millis());
            app.metrics.request_closed_by_stop(request.wait_reason.name());
        }
    });
}
