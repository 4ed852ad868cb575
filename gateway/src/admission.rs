//! Whether a request with stages can still be in time; one that can't is refused at once, with a
//! time to come back at which it probably will be.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::{HEARTBEAT_INTERVAL, PoolLoad};
use ids::ServiceName;
use platform_adapter::callers::Refusal;
use slog::info;

use crate::app::App;
use crate::hub::left;
use crate::requests::AcceptedRequest;
use crate::settings::Policy;
use crate::shared::Shared;
use crate::stages::time_after;

/// A request is refused if it is expected to take more than this part of its aim.
const ADMITTED_PART: f64 = 1.0;
/// That part is less by this for each more urgent rank that the configuration knows.
const PART_BY_RANK: f64 = 0.1;
/// Those who are refused come back after a part of the time that they have left, spread between
/// these, not all at once: a burst lasts longer than a queue takes to drain.
const EARLIEST_PART: f64 = 0.16;
/// Callers heed no longer wait than a third of the time that they have left.
const LATEST_PART: f64 = 0.32;
/// A forecast older than this says nothing.
const FORECAST_LIFE: Duration = Duration::from_millis(1200);

/// Admitted pieces are remembered for this long: longer than any forecast that counts.
const REMEMBERED: Duration = Duration::from_secs(2);

/// Pieces of requests that this VM admitted.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Not submitted yet, since earlier stages are not done.
    coming: HashMap<ServiceName, u32>,
    /// Admitted within the last [`REMEMBERED`].
    recent: HashMap<ServiceName, Recent>,
}

/// Pieces for one pool that were admitted of late, and when.
#[derive(Debug, Default)]
struct Recent(VecDeque<Noted>);

/// Pieces that were admitted together.
#[derive(Debug, Clone, Copy)]
struct Noted {
    at: Instant,
    pieces: f64,
    /// Their place in the pool's order.
    due: Instant,
    urgency: u8,
}

impl Recent {
    fn note(&mut self, pieces: u32, due: Instant, urgency: u8, now: Instant) {
        let old = |noted: &Noted| now.saturating_duration_since(noted.at) > REMEMBERED;
        while self.0.front().is_some_and(old) {
            self.0.pop_front();
        }
        self.0.push_back(Noted { at: now, pieces: f64::from(pieces), due, urgency });
    }

    /// Pieces admitted since `since` that go before those of such an urgency and due time.
    fn since(&self, since: Instant, urgency: u8, due: Instant) -> f64 {
        let new = self.0.iter().rev().take_while(|noted| noted.at >= since);
        new.filter(|noted| noted.urgency < urgency || noted.due <= due)
            .map(|noted| noted.pieces)
            .sum()
    }
}

impl Admission {
    /// Pieces on their way, by pool.
    pub(crate) fn upcoming(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        self.coming.iter().filter(|(_, pieces)| **pieces > 0).map(|(pool, pieces)| (pool, *pieces))
    }

    /// Pieces on their way to a pool.
    pub(crate) fn upcoming_for(&self, pool: &ServiceName) -> f64 {
        self.coming.get(pool).copied().map_or(0.0, f64::from)
    }
}

/// Pieces of an admitted request that are on their way; dropped, they are no more.
pub(crate) struct InFlight {
    app: Rc<App>,
    by_stage: Vec<(ServiceName, u32)>,
}

impl InFlight {
    /// The pieces of a stage were submitted.
    pub(crate) fn submitted(&mut self, stage: usize) {
        if let Some((pool, pieces)) = self.by_stage.get_mut(stage) {
            let pieces = std::mem::take(pieces);
            let pool = pool.clone();
            self.app.hub.with(|shared, _| shared.admission.arrived(&pool, pieces));
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        for stage in 0..self.by_stage.len() {
            self.submitted(stage);
        }
    }
}

impl Admission {
    fn arrived(&mut self, pool: &ServiceName, pieces: u32) {
        if let Some(coming) = self.coming.get_mut(pool) {
            *coming = coming.saturating_sub(pieces);
        }
    }
}

/// Refuses a request that is not expected to be in time.
///
/// # Errors
/// The refusal, with the time to come back.
pub(crate) fn admit(app: &Rc<App>, req: &AcceptedRequest) -> Result<InFlight, Refusal> {
    if let Some(retry_after) = app.hub.with(|shared, now| shared.closed_retry_after(req, now)) {
        info!(app.log, "not admitted"; "request" => %req.id, "entry" => &req.entry.name,
            "come_back_ms" => retry_after.as_millis(),
            "why" => "no target of a service that it needs may be sent work in its time");
        return Err(Refusal::NotRun { retry_after });
    }
    let mut in_flight = InFlight { app: Rc::clone(app), by_stage: Vec::new() };
    let pieces: u32 = req.head.pieces.iter().sum();
    // The baselines take whatever comes.
    if app.cfg.policy != Policy::Adaptive || req.entry.stages.is_empty() || pieces == 0 {
        return Ok(in_flight);
    }
    let (expected, allowed, age) = app.hub.with(|shared, now| {
        let expected = expected_time(shared, req, now);
        let age = oldest_forecast(shared, req, now);
        let allowed = req.entry.latency_goal.mul_f64(ADMITTED_PART - PART_BY_RANK * rank(req));
        if expected <= allowed {
            in_flight.by_stage = note(shared, req, now);
        }
        (expected, allowed, age)
    });
    if expected <= allowed {
        info!(app.log, "admitted"; "request" => %req.id, "entry" => &req.entry.name,
            "expected_ms" => expected.as_millis(), "allowed_ms" => allowed.as_millis(),
            "forecast_ms_old" => age.map(|age| age.as_millis()));
        return Ok(in_flight);
    }
    let part = EARLIEST_PART + (LATEST_PART - EARLIEST_PART) * rand::random::<f64>();
    let retry_after = left(req.deadline).mul_f64(part);
    info!(app.log, "not admitted"; "request" => %req.id, "entry" => &req.entry.name,
        "expected_ms" => expected.as_millis(), "allowed_ms" => allowed.as_millis(),
        "forecast_ms_old" => age.map(|age| age.as_millis()),
        "come_back_ms" => retry_after.as_millis());
    Err(Refusal::NotRun { retry_after })
}

/// Age of the oldest forecast that the decision rests on; `None` if there is none.
fn oldest_forecast(shared: &Shared, req: &AcceptedRequest, now: Instant) -> Option<Duration> {
    let of_pools = req.entry.stages.iter().filter_map(|stage| forecast(shared, &stage.pool, now));
    of_pools.map(|forecast| now.saturating_duration_since(forecast.at)).max()
}

/// More urgent ranks than the request's own.
fn rank(req: &AcceptedRequest) -> f64 {
    let ranks: BTreeSet<u8> = req.intent.entries().map(|entry| entry.urgency).collect();
    ranks.into_iter().filter(|urgency| *urgency < req.urgency).count() as f64
}

/// Time until the first event.
fn expected_time(shared: &Shared, req: &AcceptedRequest, now: Instant) -> Duration {
    expected_stages_time(shared, req, now) + shared.first_event_time(&req.service)
}

/// Time that the stages take, along the longest way through them.
pub(crate) fn expected_stages_time(
    shared: &Shared,
    req: &AcceptedRequest,
    now: Instant,
) -> Duration {
    let stages = &req.entry.stages;
    let mut done: Vec<Duration> = Vec::with_capacity(stages.len());
    for (index, stage) in stages.iter().enumerate() {
        let pieces = req.head.pieces.get(index).copied().unwrap_or(0);
        let begin = stage.needs.iter().filter_map(|need| done.get(*need)).max().copied();
        let begin = begin.unwrap_or(Duration::ZERO);
        let own =
            if pieces == 0 { Duration::ZERO } else { pool_time(shared, req, index, begin, now) };
        done.push(begin + own);
    }
    done.into_iter().max().unwrap_or(Duration::ZERO)
}

fn pool_time(
    shared: &Shared,
    req: &AcceptedRequest,
    index: usize,
    begin: Duration,
    now: Instant,
) -> Duration {
    let pool = &req.entry.stages[index].pool;
    let Some(forecast) = forecast(shared, pool, now) else {
        return req.intent.pool(pool).map_or(Duration::ZERO, |pool| pool.call + pool.piece);
    };
    let due = stage_due(shared, req, index);
    let mut ahead =
        forecast.queue.ahead_of(req.urgency, due.saturating_duration_since(forecast.at));
    if !begin.is_zero() {
        ahead += forecast.coming;
    }
    ahead += unheard(shared, req, pool, forecast.at, due);
    forecast.expected_time(begin, ahead)
}

/// The place of a stage's pieces in its pool's order.
fn stage_due(shared: &Shared, req: &AcceptedRequest, index: usize) -> Instant {
    let after = time_after(&req.intent, &req.entry, &req.head.pieces, index);
    let after = after + shared.first_event_time(&req.service);
    let due = (req.arrived + req.entry.latency_goal).checked_sub(after).unwrap_or(req.arrived);
    batching::effective_due(due, req.urgency)
}

/// Pieces to go before those of a request that this VM admitted and that a forecast does not count yet: it tells of
/// them with its next heartbeat. What the others admit meanwhile is about what the pool makes meanwhile.
fn unheard(
    shared: &Shared,
    req: &AcceptedRequest,
    pool: &ServiceName,
    heard: Instant,
    due: Instant,
) -> f64 {
    let counted_until = heard.checked_sub(HEARTBEAT_INTERVAL / 2).unwrap_or(heard);
    shared
        .admission
        .recent
        .get(pool)
        .map_or(0.0, |recent| recent.since(counted_until, req.urgency, due))
}

/// What the VM that fills a pool's calls told of it, if that is new enough.
fn forecast(shared: &Shared, pool: &ServiceName, now: Instant) -> Option<PoolLoad> {
    let load = shared.load_of(pool, &shared.expected_owner(pool, now), now)?;
    (now.saturating_duration_since(load.at) < FORECAST_LIFE).then_some(load)
}

/// Counts the pieces of a request that was admitted; gives them by stage.
fn note(shared: &mut Shared, req: &AcceptedRequest, now: Instant) -> Vec<(ServiceName, u32)> {
    let mut by_stage = Vec::with_capacity(req.entry.stages.len());
    for (index, stage) in req.entry.stages.iter().enumerate() {
        let pieces = req.head.pieces.get(index).copied().unwrap_or(0);
        let due = stage_due(shared, req, index);
        shared.admission.recent.entry(stage.pool.clone()).or_default().note(
            pieces,
            due,
            req.urgency,
            now,
        );
        *shared.admission.coming.entry(stage.pool.clone()).or_default() += pieces;
        by_stage.push((stage.pool.clone(), pieces));
    }
    by_stage
}
