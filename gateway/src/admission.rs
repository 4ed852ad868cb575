//! Whether a request with stages can still be in time; one that can't is refused at once, with a
//! time to come back at which it probably will be.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use doors::callers::Refusal;
use ids::ServiceName;
use slog::info;

use crate::app::App;
use crate::requests::Accepted;
use crate::shared::Shared;

/// A request is refused if it is expected to take more than this part of its aim.
const ADMITTED_PART: f64 = 1.0;
/// That part is less by this for each more urgent rank that the configuration knows.
const PART_BY_RANK: f64 = 0.1;
/// Least time to come back after a refusal.
const LEAST_WAIT: Duration = Duration::from_millis(600);
/// Those who are refused come back over a time as long as this part of the aim, not all at once.
const SPREAD_PART: f64 = 0.6;
/// A forecast older than this says nothing.
const FORECAST_LIFE: Duration = Duration::from_millis(1200);

/// Pieces that this VM admitted since it last heard from the VMs that fill the calls.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    admitted: HashMap<ServiceName, (Instant, f64)>,
}

/// What is expected of a pool.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    time: Duration,
    rate: f64,
    at: Instant,
}

/// Refuses a request that is not expected to be in time.
///
/// # Errors
/// The refusal, with the time to come back.
pub(crate) fn admit(app: &App, req: &Accepted) -> Result<(), Refusal> {
    let pieces: u32 = req.head.pieces.iter().sum();
    if req.entry.stages.is_empty() || pieces == 0 {
        return Ok(());
    }
    let (expected, allowed) = app.hub.with(|shared, now| {
        let expected = expected_time(shared, req, now);
        let allowed = req.entry.aim.mul_f64(ADMITTED_PART - PART_BY_RANK * rank(req));
        if expected <= allowed {
            note(shared, req, now);
        }
        (expected, allowed)
    });
    if expected <= allowed {
        return Ok(());
    }
    let spread = req.entry.aim.mul_f64(SPREAD_PART * rand::random::<f64>());
    let come_back = (expected - allowed).max(LEAST_WAIT) + spread;
    info!(app.log, "not admitted"; "request" => %req.id, "entry" => &req.entry.name,
        "expected_ms" => expected.as_millis(), "allowed_ms" => allowed.as_millis(),
        "come_back_ms" => come_back.as_millis());
    Err(Refusal::NotRun { come_back })
}

/// More urgent ranks than the request's own.
fn rank(req: &Accepted) -> f64 {
    let ranks: BTreeSet<u8> = req.intent.entries().map(|entry| entry.urgency).collect();
    ranks.into_iter().filter(|urgency| *urgency < req.urgency).count() as f64
}

/// Time until the first event, along the longest way through the stages.
fn expected_time(shared: &Shared, req: &Accepted, now: Instant) -> Duration {
    let stages = &req.entry.stages;
    let mut done: Vec<Duration> = Vec::with_capacity(stages.len());
    for (index, stage) in stages.iter().enumerate() {
        let pieces = req.head.pieces.get(index).copied().unwrap_or(0);
        let begin = stage.needs.iter().filter_map(|need| done.get(*need)).max().copied();
        let begin = begin.unwrap_or(Duration::ZERO);
        let own = if pieces == 0 { Duration::ZERO } else { pool_time(shared, req, stage, now) };
        done.push(begin + own);
    }
    let longest = done.into_iter().max().unwrap_or(Duration::ZERO);
    longest + shared.first_event(&req.service)
}

fn pool_time(
    shared: &Shared,
    req: &Accepted,
    stage: &intent::EntryStage,
    now: Instant,
) -> Duration {
    let Some(forecast) = forecast(shared, &stage.pool, now) else {
        return req.intent.pool(&stage.pool).map_or(Duration::ZERO, |pool| pool.call + pool.piece);
    };
    // Other VMs admit about as much as this one until they hear of each other's pieces.
    let since = shared.admission.admitted.get(&stage.pool).filter(|(at, _)| *at >= forecast.at);
    let unheard = since.map_or(0.0, |(_, pieces)| *pieces) * shared.fleet.size() as f64;
    forecast.time + Duration::from_secs_f64(unheard / forecast.rate.max(1.0))
}

/// What the VM that fills a pool's calls expects.
fn forecast(shared: &Shared, pool: &ServiceName, now: Instant) -> Option<Forecast> {
    match shared.owner_of(pool, now) {
        None => {
            let pool = shared.pools.get(pool)?;
            Some(Forecast { time: pool.forecast(now), rate: pool.rate(now), at: now })
        }
        Some(vm) => {
            let load = shared.fleet.peers.get(&vm)?.pools.get(pool.as_str())?;
            let fresh = now.saturating_duration_since(load.at) < FORECAST_LIFE;
            fresh.then_some(Forecast { time: load.forecast, rate: load.rate, at: load.at })
        }
    }
}

/// Counts the pieces of a request that was admitted.
fn note(shared: &mut Shared, req: &Accepted, now: Instant) {
    for (index, stage) in req.entry.stages.iter().enumerate() {
        let pieces = f64::from(req.head.pieces.get(index).copied().unwrap_or(0));
        let heard = forecast(shared, &stage.pool, now).map_or(now, |forecast| forecast.at);
        let counted = shared.admission.admitted.entry(stage.pool.clone()).or_insert((now, 0.0));
        if counted.0 < heard {
            counted.1 = 0.0;
        }
        *counted = (now, counted.1 + pieces);
    }
}
