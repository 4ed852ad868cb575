//! Requests that end targets: what this VM sees of them, and whom it refuses.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use batching::{Call, CallEnd, JobKey, Pool, Submission};
use ids::ServiceName;
use intent::Target;
use platform_adapter::callers::Refusal;
use quarantine::{Birth, Crash, Lifetime, RequestDigest};
use slog::info;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::app::App;
use crate::attempts::Attempt;
use crate::connections;
use crate::requests::AcceptedRequest;
use crate::shared::Shared;
use crate::stages::pieces_of;

/// Longest first look at a target whose connection broke, which the next try waits for: halls are
/// milliseconds apart. Without it a request was sent once more before its last end counted (4 workers ended
/// under one in place of 3).
const FIRST_LOOK: Duration = Duration::from_millis(20);
/// Pauses before each later look: a process that ends closes its connections and its port within moments of
/// each other, in either order.
const LATER_LOOKS: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(160)];
/// Longest of these.
const LATER_LOOK: Duration = Duration::from_millis(400);

/// A target's connection ended under a request, in the middle of its answer or before it: it is looked
/// whether the target has ended.
pub(crate) async fn check_broken_connection(
    app: &Rc<App>,
    req: &AcceptedRequest,
    attempt: &Attempt,
) {
    broke(app, &[req.digest], &attempt.pick.target, attempt.lifetime).await;
}

/// A worker's connection ended under a call with pieces of these.
pub(crate) async fn check_broken_call(
    app: &Rc<App>,
    contents: &[RequestDigest],
    target: &Target,
    lifetime: Lifetime,
) {
    broke(app, contents, target, lifetime).await;
}

async fn broke(app: &Rc<App>, contents: &[RequestDigest], target: &Target, lifetime: Lifetime) {
    app.hub.with(|shared, now| shared.note_losses(contents, target, lifetime, now));
    if connections::is_refused(target.address, FIRST_LOOK).await {
        looked(app, contents, target, lifetime, true);
        return;
    }
    let (app, target, contents) = (Rc::clone(app), target.clone(), contents.to_vec());
    spawn_local(async move {
        let ended = has_ended(&target).await;
        looked(&app, &contents, &target, lifetime, ended);
    });
}

/// Whether nobody listens at a target's address any more. One that is cut off says nothing, and one that
/// only broke off an answer takes the connection.
async fn has_ended(target: &Target) -> bool {
    for pause in LATER_LOOKS {
        sleep(pause).await;
        if connections::is_refused(target.address, LATER_LOOK).await {
            return true;
        }
    }
    false
}

fn looked(app: &App, contents: &[RequestDigest], target: &Target, lifetime: Lifetime, ended: bool) {
    for content in contents {
        info!(app.log, "connection broke under a request"; "content" => %content,
            "target" => %target.id, "target_ended" => ended);
    }
    if ended {
        app.hub.with(|shared, now| shared.lifetime_ended(lifetime, now));
    }
}

/// A target ran a request to a good end.
pub(crate) fn request_completed(app: &App, req: &AcceptedRequest) {
    app.hub.with(|shared, now| shared.quarantine.request_completed(req.digest, now));
}

/// What the pieces of a call are part of, each once.
pub(crate) fn request_digests_of_call(
    app: &App,
    pool: &ServiceName,
    call: &Call,
) -> Vec<RequestDigest> {
    app.hub.with(|shared, _| {
        let pool = shared.pools.get(pool);
        let of = |(job, _): &(JobKey, u32)| pool?.submission(*job)?.content;
        let contents: BTreeSet<RequestDigest> = call.pieces.iter().filter_map(of).collect();
        contents.into_iter().collect()
    })
}

/// A worker answered a call: whatever came of its pieces, none of them ended it.
pub(crate) fn pieces_completed(app: &App, contents: &[RequestDigest], end: &CallEnd) {
    if matches!(end, CallEnd::Answered(_)) {
        app.hub.with(|shared, now| {
            contents.iter().for_each(|content| shared.quarantine.request_completed(*content, now));
        });
    }
}

/// The refusal of a request that ended too many targets; this attempt has not run unless said otherwise.
pub(crate) fn refusal(app: &App, req: &AcceptedRequest, may_have_run: bool) -> Option<Refusal> {
    let left = app.hub.with(|shared, now| shared.refused_for(req, now))?;
    app.metrics.request_quarantined(req.service.as_str());
    info!(app.log, "request refused as one that ends targets"; "request" => %req.id,
        "content" => %req.digest, "left_ms" => left.as_millis());
    Some(if may_have_run { Refusal::Failed } else { Refusal::NotRun { retry_after: left } })
}

/// Ends once a request is refused that waits for its stages or at a target.
pub(crate) async fn until_refused(app: &App, req: &AcceptedRequest, may_have_run: bool) -> Refusal {
    let mut known = app.hub.with(|shared, _| shared.crashes_changed.subscribe());
    loop {
        // The sender lives as long as the shared state.
        if known.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        if let Some(refusal) = refusal(app, req, may_have_run) {
            return refusal;
        }
    }
}

impl Shared {
    /// The lifetime of a target to which work is sent now.
    pub(crate) fn lifetime_of(&self, target: &Target) -> Lifetime {
        self.quarantine.current_lifetime(birth_of(target))
    }

    /// A connection to a target broke under these. A target that is leaving ends by itself.
    fn note_losses(
        &mut self,
        contents: &[RequestDigest],
        target: &Target,
        lifetime: Lifetime,
        now: Instant,
    ) {
        let leaves = self.targets.get(&target.id).is_none_or(|known| known.leaving);
        if !leaves {
            contents
                .iter()
                .for_each(|content| self.quarantine.connection_lost(*content, lifetime, now));
        }
    }

    /// For how long a request is refused, for itself or for the pieces of one of its stages.
    fn refused_for(&mut self, req: &AcceptedRequest, now: Instant) -> Option<Duration> {
        if !self.quarantine.has_records() {
            return None;
        }
        let pieces = pieces_of(&req.entry, &req.head);
        let stages = (0u32..).zip(pieces).filter(|(_, pieces)| *pieces > 0);
        let contents = stages.map(|(stage, _)| req.digest.for_stage(stage));
        let refused = [req.digest]
            .into_iter()
            .chain(contents)
            .find_map(|content| Some((content, self.quarantine.refused_for(&content, now)?)));
        let (content, left) = refused?;
        self.quarantine.note_refusal(&content, now);
        Some(left)
    }

    /// Submissions to a pool of this VM whose pieces end their workers.
    pub(crate) fn refused_jobs(&self, pool: &ServiceName, now: Instant) -> Vec<JobKey> {
        if !self.quarantine.has_records() {
            return Vec::new();
        }
        let waiting = self.pools.get(pool).into_iter().flat_map(Pool::waiting_submissions);
        let is_refused = |(_, submission): &(JobKey, &Submission)| {
            submission.content.is_some_and(|c| self.quarantine.refused_for(&c, now).is_some())
        };
        waiting.filter(is_refused).map(|(job, _)| job).collect()
    }

    fn lifetime_ended(&mut self, lifetime: Lifetime, now: Instant) {
        let new = self.quarantine.lifetime_ended(lifetime, now);
        self.announce(&new, "own", now);
    }

    /// A target is gone or was born again, as the platform says or as whoever has its address says.
    pub(crate) fn target_ended(&mut self, target: &Target, now: Instant) {
        if !target.leaving {
            let new = self.quarantine.target_gone(birth_of(target), now);
            self.announce(&new, "its entry", now);
        }
    }

    /// Takes what a peer or the store tells.
    pub(crate) fn merge_crashes(&mut self, crashes: &[Crash], from: &str, now: Instant) {
        let new = self.quarantine.merge(crashes, now);
        self.announce(&new, from, now);
    }

    /// Logs what is new, and has it sent to peers at once. With the next heartbeat instead, up to 0.2 s later, six
    /// targets ended within 0.6 s under one request that returned each 0.1 s (soak, seed 503).
    fn announce(&self, new: &[Crash], from: &str, now: Instant) {
        if !new.is_empty() {
            self.crashes_changed.send_replace(());
            self.peer_update_pending.send_replace(());
        }
        for crash in new {
            let refused = self.quarantine.refused_for(&crash.digest, now);
            info!(self.log, "target ended under a request"; "content" => %crash.digest,
                "lifetime" => %crash.lifetime, "cleared" => crash.cleared, "from" => from,
                "refused_ms" => refused.map(|left| left.as_millis()));
        }
    }
}

fn birth_of(target: &Target) -> Birth {
    Birth(target.lifetime_id())
}
