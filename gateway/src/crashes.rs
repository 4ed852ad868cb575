//! Requests, and parts of prompts, that crash targets. When a connection to a target breaks under a
//! request, this module probes whether the target has crashed, shares the crashes with peers, and
//! refuses requests that are at fault for too many crashes.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use batching::{Call, CallEnd, JobKey, Pool, Submission};
use ids::ServiceName;
use intent::Target;
use platform_interface::callers::Refusal;
use quarantine::{Crash, LifetimeHash, LifetimeId, RequestDigest, Suspect};
use slog::info;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::app::App;
use crate::attempts::Attempt;
use crate::requests::AcceptedRequest;
use crate::shared::Shared;
use crate::stages::pieces_of;
use crate::target_connecting;

/// Time limit of the first probe of a target whose connection broke. The next try of the request
/// waits for the probe; without that wait a request is sent once more before its last crash counts,
/// and crashes one target more than the rules allow (four instead of three). The limit is short
/// because the latency between halls is a few milliseconds.
const FIRST_PROBE_TIMEOUT: Duration = Duration::from_millis(20);
/// Pause before each later probe: a process that exits closes its connections and its port shortly
/// after each other, in either order.
const LATER_PROBE_PAUSES: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(160)];
/// Most parts of a prompt that are logged.
const MAX_LOGGED_PARTS: usize = 16;
/// Time limit of each later probe.
const LATER_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Checks whether a target has crashed after its connection broke under a request, before or during
/// its answer.
pub(crate) async fn check_broken_connection(
    app: &Rc<App>,
    req: &AcceptedRequest,
    attempt: &Attempt,
) {
    log_broken_answer(app, req, attempt);
    let mut suspects = vec![Suspect::Request(req.digest)];
    suspects.extend(attempt.progress.suspected_parts());
    check_target(app, &suspects, &attempt.pick.target, attempt.lifetime).await;
}

/// Logs how far an answer had come when its connection broke, and the parts of the request's prompt.
fn log_broken_answer(app: &App, req: &AcceptedRequest, attempt: &Attempt) {
    let parts: Vec<String> = req
        .head
        .prompt
        .iter()
        .take(MAX_LOGGED_PARTS)
        .map(|part| format!("{:x}", part.id))
        .collect();
    info!(app.log, "answer broken off"; "request" => %req.id, "content" => %req.digest,
        "target" => %attempt.pick.target.id, "events" => attempt.progress.events(),
        "parts" => parts.join(","));
}

/// Checks whether a worker has crashed after its connection broke under a call; `digests` are the
/// request digests of the call's pieces.
pub(crate) async fn check_broken_call(
    app: &Rc<App>,
    digests: &[RequestDigest],
    target: &Target,
    lifetime: LifetimeId,
) {
    let suspects: Vec<Suspect> = digests.iter().copied().map(Suspect::Request).collect();
    check_target(app, &suspects, target, lifetime).await;
}

/// Records the lost connection and probes the target. Returns after the first probe; if the port
/// isn't closed by then, a separate task runs the later probes.
async fn check_target(app: &Rc<App>, suspects: &[Suspect], target: &Target, lifetime: LifetimeId) {
    app.state.with(|shared, now| shared.record_lost_connection(suspects, target, lifetime, now));
    target_connecting::check_path(app, target);
    if target_connecting::is_refused(app, target, FIRST_PROBE_TIMEOUT).await {
        record_probe(app, suspects, target, lifetime, true);
        return;
    }
    let (app, target, suspects) = (Rc::clone(app), target.clone(), suspects.to_vec());
    spawn_local(async move {
        let ended = has_ended(&app, &target).await;
        record_probe(&app, &suspects, &target, lifetime, ended);
    });
}

/// Runs the later probes; returns whether the target's address refuses connections. A target that
/// is unreachable doesn't answer at all, and one that only aborted an answer accepts the
/// connection; neither counts as ended.
async fn has_ended(app: &Rc<App>, target: &Target) -> bool {
    for pause in LATER_PROBE_PAUSES {
        sleep(pause).await;
        if target_connecting::is_refused(app, target, LATER_PROBE_TIMEOUT).await {
            return true;
        }
    }
    false
}

/// Logs the result of the probes, and records the crash if the target has ended.
fn record_probe(
    app: &App,
    suspects: &[Suspect],
    target: &Target,
    lifetime: LifetimeId,
    ended: bool,
) {
    for request in suspects.iter().filter(|suspect| !suspect.is_prompt_part()) {
        info!(app.log, "connection broke under a request"; "content" => %request,
            "target" => %target.id, "target_ended" => ended);
    }
    if ended {
        app.state.with(|shared, now| shared.lifetime_ended(lifetime, now));
    }
}

/// Records that a target completed a request.
pub(crate) fn request_completed(app: &App, req: &AcceptedRequest) {
    app.state.with(|shared, now| shared.quarantine.survived(req.digest.into(), now));
    parts_survived(app, &req.prompt_parts);
}

/// Records that a target survived the start of an answer to a prompt with these parts.
pub(crate) fn parts_survived(app: &App, parts: &[Suspect]) {
    app.state.with(|shared, now| {
        parts.iter().for_each(|part| shared.quarantine.survived(*part, now));
    });
}

/// Digests of the requests' stages to which the pieces of a call belong, without duplicates.
pub(crate) fn request_digests_of_call(
    app: &App,
    pool: &ServiceName,
    call: &Call,
) -> Vec<RequestDigest> {
    app.state.with(|shared, _| {
        let pool = shared.pools.get(pool);
        let digest_of = |(job, _): &(JobKey, u32)| pool?.submission(*job)?.digest;
        let digests: BTreeSet<RequestDigest> = call.pieces.iter().filter_map(digest_of).collect();
        digests.into_iter().collect()
    })
}

/// Records that a worker answered a call: whatever the results, none of its pieces crashed the
/// worker.
pub(crate) fn pieces_completed(app: &App, digests: &[RequestDigest], end: &CallEnd) {
    if matches!(end, CallEnd::Answered(_)) {
        app.state.with(|shared, now| {
            digests.iter().for_each(|digest| shared.quarantine.survived((*digest).into(), now));
        });
    }
}

/// Refusal of a request that is at fault for too many crashes; `None` if it is not refused.
/// `may_have_run` says whether the request may have run at a target.
pub(crate) fn refusal(app: &App, req: &AcceptedRequest, may_have_run: bool) -> Option<Refusal> {
    let quarantine::Refusal { suspects, time_left } =
        app.state.with(|shared, now| shared.refusal_of(req, now))?;
    app.metrics.request_quarantined(req.service.as_str());
    let parts: Vec<String> = suspects.iter().filter_map(part_text).collect();
    info!(app.log, "request refused as one that ends targets"; "request" => %req.id,
        "content" => %req.digest, "parts" => parts.join(","), "left_ms" => time_left.as_millis());
    Some(if may_have_run { Refusal::Failed } else { Refusal::NotRun { retry_after: time_left } })
}

/// The id of a part of prompts, as callers write it; `None` for a request.
pub(crate) fn part_text(suspect: &Suspect) -> Option<String> {
    match suspect {
        Suspect::PromptPart(id) => Some(format!("{id:x}")),
        Suspect::Request(_) => None,
    }
}

/// Waits until a request is refused because of a crash that becomes known while it runs, and
/// returns the refusal. It is awaited together with the request's stages or its target's answer.
pub(crate) async fn until_refused(app: &App, req: &AcceptedRequest, may_have_run: bool) -> Refusal {
    let mut crash_changes = app.state.with(|shared, _| shared.crashes_changed.subscribe());
    loop {
        // The sender lives as long as the shared state.
        if crash_changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        if let Some(refusal) = refusal(app, req, may_have_run) {
            return refusal;
        }
    }
}

impl Shared {
    /// The current lifetime of a target, to which work sent now belongs.
    pub(crate) fn lifetime_of(&self, target: &Target) -> LifetimeId {
        self.quarantine.current_lifetime(lifetime_hash_of(target))
    }

    /// Records that a connection to a target broke under a request or call. A leaving target is not
    /// counted: it exits by itself.
    fn record_lost_connection(
        &mut self,
        suspects: &[Suspect],
        target: &Target,
        lifetime: LifetimeId,
        now: Instant,
    ) {
        let is_leaving = self.targets.get(&target.id).is_none_or(|known| known.leaving);
        if !is_leaving {
            self.quarantine.connection_lost(suspects.to_vec(), lifetime, now);
        }
    }

    /// Why a request is refused: for itself, for the pieces of one of its stages, or for parts of
    /// its prompt; `None` if it is not.
    fn refusal_of(&mut self, req: &AcceptedRequest, now: Instant) -> Option<quarantine::Refusal> {
        if !self.quarantine.has_refused() {
            return None;
        }
        let pieces = pieces_of(&req.entry, &req.head);
        let stages = (0u32..).zip(pieces).filter(|(_, pieces)| *pieces > 0);
        let digests = stages.map(|(stage, _)| req.digest.for_stage(stage));
        let requests = [req.digest].into_iter().chain(digests).map(Suspect::Request);
        let suspects: Vec<Suspect> = requests.chain(req.prompt_parts.iter().copied()).collect();
        let refusal = self.quarantine.refusal(&suspects, now)?;
        self.quarantine.record_refusal(&refusal.suspects, now);
        Some(refusal)
    }

    /// Waiting submissions to a pool of this VM that are refused because their pieces crash
    /// workers.
    pub(crate) fn refused_jobs(&self, pool: &ServiceName, now: Instant) -> Vec<JobKey> {
        if !self.quarantine.has_refused() {
            return Vec::new();
        }
        let waiting = self.pools.get(pool).into_iter().flat_map(Pool::waiting_submissions);
        let is_refused = |(_, submission): &(JobKey, &Submission)| {
            submission
                .digest
                .is_some_and(|digest| self.quarantine.refused_for(&digest.into(), now).is_some())
        };
        waiting.filter(is_refused).map(|(job, _)| job).collect()
    }

    /// Records the end of a target's lifetime as seen by this VM.
    fn lifetime_ended(&mut self, lifetime: LifetimeId, now: Instant) {
        let new = self.quarantine.lifetime_ended(lifetime, now);
        self.publish_crashes(&new, "own", now);
    }

    /// Records that a target's lifetime has ended, according to its entry in the store or to the
    /// process that now has its address. A leaving target exits by itself and is not counted.
    pub(crate) fn target_ended(&mut self, target: &Target, now: Instant) {
        if !target.leaving {
            let new = self.quarantine.target_gone(lifetime_hash_of(target), now);
            self.publish_crashes(&new, "its entry", now);
        }
    }

    /// Merges crashes received from a peer or the store; `from` names the source in the log.
    pub(crate) fn merge_crashes(&mut self, crashes: &[Crash], from: &str, now: Instant) {
        let new = self.quarantine.merge(crashes, now);
        self.publish_crashes(&new, from, now);
    }

    /// Logs new crashes and has them sent to peers at once. If they waited for the next heartbeat,
    /// up to 0.2 s later, a request that is retried every 0.1 s could crash six targets in 0.6 s
    /// before all VMs refuse it.
    fn publish_crashes(&self, new: &[Crash], from: &str, now: Instant) {
        if !new.is_empty() {
            self.crashes_changed.send_replace(());
            self.peer_update_pending.send_replace(());
        }
        for crash in new {
            let refused = self.quarantine.refused_for(&crash.suspect, now);
            info!(self.log, "target ended under a request"; "content" => %crash.suspect,
                "part" => part_text(&crash.suspect), "lifetime" => %crash.lifetime,
                "cleared" => crash.cleared, "from" => from,
                "refused_ms" => refused.map(|left| left.as_millis()));
        }
    }
}

fn lifetime_hash_of(target: &Target) -> LifetimeHash {
    LifetimeHash(target.lifetime_hash())
}
