//! Admission control for requests with stages. A request that is not expected to meet its latency
//! goal is refused at once, with a retry time at which it probably will be admitted.
//!
//! A stage consists of pieces, which the workers of the stage's pool run in batches. The expected
//! time follows from the pools' queues, as reported by the VMs that own the pools.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::{HEARTBEAT_INTERVAL, PoolLoad};
use ids::ServiceName;
use platform_interface::callers::Refusal;
use slog::info;

use crate::app::App;
use crate::requests::AcceptedRequest;
use crate::settings::Policy;
use crate::shared::Shared;
use crate::stages::{min_time_after, pieces_of};
use crate::state_handle::time_until;

/// A request is refused if its expected time exceeds this fraction of its latency goal.
const ADMITTED_FRACTION: f64 = 1.0;
/// The fraction is lowered by this for each urgency in the configuration that is higher than the
/// request's.
const FRACTION_PER_URGENCY: f64 = 0.1;
/// Lower bound of the retry time, as a fraction of the time that the caller has left. Retries are
/// spread over a range so that refused callers don't return all at once: a burst lasts longer than
/// a queue takes to drain.
const MIN_RETRY_FRACTION: f64 = 0.16;
/// Upper bound of the retry time, as a fraction of the time that the caller has left. Callers
/// ignore a retry time longer than a third of it.
const MAX_RETRY_FRACTION: f64 = 0.32;
/// A forecast older than this is ignored.
const FORECAST_MAX_AGE: Duration = Duration::from_millis(1200);

/// Time for which admitted pieces are remembered; longer than [`FORECAST_MAX_AGE`].
const RECENT_WINDOW: Duration = Duration::from_secs(2);

/// Counts the pieces of the requests that this VM admitted.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Pieces that are not submitted yet because earlier stages are not done.
    upcoming: HashMap<ServiceName, u32>,
    /// Pieces admitted within the last [`RECENT_WINDOW`].
    recent: HashMap<ServiceName, RecentAdmissions>,
}

/// Recently admitted pieces of one pool, oldest first.
#[derive(Debug, Default)]
struct RecentAdmissions(VecDeque<AdmittedPieces>);

/// The pieces of one stage of a request, admitted together.
#[derive(Debug, Clone, Copy)]
struct AdmittedPieces {
    at: Instant,
    pieces: f64,
    /// Their due time, which sets their place in the pool's queue.
    due: Instant,
    /// Urgency; 0 is the most urgent.
    urgency: u8,
}

impl RecentAdmissions {
    fn record(&mut self, pieces: u32, due: Instant, urgency: u8, now: Instant) {
        let is_old =
            |admitted: &AdmittedPieces| now.saturating_duration_since(admitted.at) > RECENT_WINDOW;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        self.0.push_back(AdmittedPieces { at: now, pieces: f64::from(pieces), due, urgency });
    }

    /// Number of pieces admitted since `since` that are served before pieces of the given urgency
    /// and due time.
    fn pieces_ahead(&self, since: Instant, urgency: u8, due: Instant) -> f64 {
        let new = self.0.iter().rev().take_while(|admitted| admitted.at >= since);
        new.filter(|admitted| admitted.urgency < urgency || admitted.due <= due)
            .map(|admitted| admitted.pieces)
            .sum()
    }
}

impl Admission {
    /// Pieces that are admitted but not submitted yet, by pool.
    pub(crate) fn upcoming(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        self.upcoming
            .iter()
            .filter(|(_, pieces)| **pieces > 0)
            .map(|(pool, pieces)| (pool, *pieces))
    }

    /// Pieces of one pool that are admitted but not submitted yet.
    pub(crate) fn upcoming_for(&self, pool: &ServiceName) -> f64 {
        self.upcoming.get(pool).copied().map_or(0.0, f64::from)
    }
}

/// The pieces of an admitted request that are not submitted yet. On drop they are no longer
/// counted.
pub(crate) struct UnsubmittedPieces {
    app: Rc<App>,
    by_stage: Vec<(ServiceName, u32)>,
}

impl UnsubmittedPieces {
    /// Stops counting the pieces of a stage, which were submitted.
    pub(crate) fn mark_submitted(&mut self, stage: usize) {
        if let Some((pool, pieces)) = self.by_stage.get_mut(stage) {
            let pieces = std::mem::take(pieces);
            let pool = pool.clone();
            self.app.state.with(|shared, _| shared.admission.remove_upcoming(&pool, pieces));
        }
    }
}

impl Drop for UnsubmittedPieces {
    fn drop(&mut self) {
        for stage in 0..self.by_stage.len() {
            self.mark_submitted(stage);
        }
    }
}

impl Admission {
    fn remove_upcoming(&mut self, pool: &ServiceName, pieces: u32) {
        if let Some(upcoming) = self.upcoming.get_mut(pool) {
            *upcoming = upcoming.saturating_sub(pieces);
        }
    }
}

/// Refuses a request that is not expected to meet its latency goal.
///
/// # Errors
/// The refusal, with the time after which to retry.
pub(crate) fn admit(app: &Rc<App>, req: &AcceptedRequest) -> Result<UnsubmittedPieces, Refusal> {
    if let Some(retry_after) = app.state.with(|shared, now| shared.closed_retry_after(req, now)) {
        info!(app.log, "not admitted"; "request" => %req.id, "entry" => &req.entry.name,
            "come_back_ms" => retry_after.as_millis(),
            "why" => "no target of a service that it needs accepts work before its deadline");
        return Err(Refusal::NotRun { retry_after });
    }
    let mut unsubmitted = UnsubmittedPieces { app: Rc::clone(app), by_stage: Vec::new() };
    let has_pieces = pieces_of(&req.entry, &req.head).iter().any(|pieces| *pieces > 0);
    // The baseline policies admit every request.
    if app.cfg.policy != Policy::Adaptive || !has_pieces {
        return Ok(unsubmitted);
    }
    let (expected, allowed, age) = app.state.with(|shared, now| {
        let expected = expected_time(shared, req, now);
        let age = oldest_forecast(shared, req, now);
        let allowed = req
            .entry
            .latency_goal
            .mul_f64(ADMITTED_FRACTION - FRACTION_PER_URGENCY * higher_urgencies(req));
        if expected <= allowed {
            unsubmitted.by_stage = record(shared, req, now);
        }
        (expected, allowed, age)
    });
    if expected <= allowed {
        info!(app.log, "admitted"; "request" => %req.id, "entry" => &req.entry.name,
            "expected_ms" => expected.as_millis(), "allowed_ms" => allowed.as_millis(),
            "forecast_ms_old" => age.map(|age| age.as_millis()));
        return Ok(unsubmitted);
    }
    let fraction =
        MIN_RETRY_FRACTION + (MAX_RETRY_FRACTION - MIN_RETRY_FRACTION) * rand::random::<f64>();
    let retry_after = time_until(req.deadline).mul_f64(fraction);
    info!(app.log, "not admitted"; "request" => %req.id, "entry" => &req.entry.name,
        "expected_ms" => expected.as_millis(), "allowed_ms" => allowed.as_millis(),
        "forecast_ms_old" => age.map(|age| age.as_millis()),
        "come_back_ms" => retry_after.as_millis());
    Err(Refusal::NotRun { retry_after })
}

/// Age of the oldest forecast that the decision is based on; `None` if there is none.
fn oldest_forecast(shared: &Shared, req: &AcceptedRequest, now: Instant) -> Option<Duration> {
    let forecasts = req.entry.stages.iter().filter_map(|stage| forecast(shared, &stage.pool, now));
    forecasts.map(|forecast| now.saturating_duration_since(forecast.received_at)).max()
}

/// Number of distinct urgencies in the configuration that are higher than the request's.
fn higher_urgencies(req: &AcceptedRequest) -> f64 {
    let urgencies: BTreeSet<u8> = req.intent.entries().map(|entry| entry.urgency).collect();
    urgencies.into_iter().filter(|urgency| *urgency < req.urgency).count() as f64
}

/// Expected time until the request's first event.
fn expected_time(shared: &Shared, req: &AcceptedRequest, now: Instant) -> Duration {
    expected_stages_time(shared, req, now) + shared.first_event_time(&req.service)
}

/// Expected time of all stages, along the longest path through them.
pub(crate) fn expected_stages_time(
    shared: &Shared,
    req: &AcceptedRequest,
    now: Instant,
) -> Duration {
    let stages = &req.entry.stages;
    let mut done: Vec<Duration> = Vec::with_capacity(stages.len());
    for (index, stage) in stages.iter().enumerate() {
        let pieces = req.head.pieces.get(index).copied().unwrap_or(0);
        let start = stage.needs.iter().filter_map(|need| done.get(*need)).max().copied();
        let start = start.unwrap_or(Duration::ZERO);
        let own =
            if pieces == 0 { Duration::ZERO } else { pool_time(shared, req, index, start, now) };
        done.push(start + own);
    }
    done.into_iter().max().unwrap_or(Duration::ZERO)
}

/// Expected time of one stage in its pool, if its pieces are submitted `start` from now.
fn pool_time(
    shared: &Shared,
    req: &AcceptedRequest,
    index: usize,
    start: Duration,
    now: Instant,
) -> Duration {
    let pool = &req.entry.stages[index].pool;
    let Some(forecast) = forecast(shared, pool, now) else {
        return req.intent.pool(pool).map_or(Duration::ZERO, |pool| pool.call + pool.piece);
    };
    let due = stage_due(shared, req, index);
    let mut ahead =
        forecast.queue.ahead_of(req.urgency, due.saturating_duration_since(forecast.received_at));
    if !start.is_zero() {
        ahead += forecast.incoming;
    }
    ahead += unreported_pieces(shared, req, pool, forecast.received_at, due);
    forecast.expected_time(start, ahead)
}

/// The due time that sets the place of a stage's pieces in their pool's queue.
fn stage_due(shared: &Shared, req: &AcceptedRequest, index: usize) -> Instant {
    let after = min_time_after(&req.intent, &req.entry, &req.head.pieces, index);
    let after = after + shared.first_event_time(&req.service);
    let due = (req.arrived + req.entry.latency_goal).checked_sub(after).unwrap_or(req.arrived);
    batching::effective_due(due, req.urgency)
}

/// Number of pieces, served before those of the request, that this VM admitted but that the
/// forecast does not count yet: the pool's owner learns of them with this VM's next heartbeat.
/// Pieces that other VMs admitted since are left out, since the pool has completed about as many.
fn unreported_pieces(
    shared: &Shared,
    req: &AcceptedRequest,
    pool: &ServiceName,
    reported_at: Instant,
    due: Instant,
) -> f64 {
    // When the owner reported, this VM's last heartbeat was half an interval old on average.
    let counted_until = reported_at.checked_sub(HEARTBEAT_INTERVAL / 2).unwrap_or(reported_at);
    shared
        .admission
        .recent
        .get(pool)
        .map_or(0.0, |recent| recent.pieces_ahead(counted_until, req.urgency, due))
}

/// The load that a pool's owner reported, if the report is recent enough.
fn forecast(shared: &Shared, pool: &ServiceName, now: Instant) -> Option<PoolLoad> {
    let load = shared.load_of(pool, &shared.expected_owner(pool, now), now)?;
    (now.saturating_duration_since(load.received_at) < FORECAST_MAX_AGE).then_some(load)
}

/// Counts the pieces of an admitted request and returns their number by stage.
fn record(shared: &mut Shared, req: &AcceptedRequest, now: Instant) -> Vec<(ServiceName, u32)> {
    let mut by_stage = Vec::with_capacity(req.entry.stages.len());
    for (index, stage) in req.entry.stages.iter().enumerate() {
        let pieces = req.head.pieces.get(index).copied().unwrap_or(0);
        let due = stage_due(shared, req, index);
        shared.admission.recent.entry(stage.pool.clone()).or_default().record(
            pieces,
            due,
            req.urgency,
            now,
        );
        *shared.admission.upcoming.entry(stage.pool.clone()).or_default() += pieces;
        by_stage.push((stage.pool.clone(), pieces));
    }
    by_stage
}
