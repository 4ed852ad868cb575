//! HTTP endpoints for the balancer, metric scrapers and operators: readiness, metrics, the state
//! dump, and the release of a refused request from quarantine.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use eligibility::{Departure, Lifetime, RateLimit};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ids::{ServiceName, TargetName};
use quarantine::Suspect;
use serde_json::{Value, json};
use stream_versions::VersionPlan;
use telemetry::Held;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

use crate::app::App;
use crate::crashes::part_text;
use crate::owner_selection::owner_name;
use crate::shared::Shared;
use crate::stored_refusals;
use crate::version_plans::describe;

/// Pause after a failed accept, for example because no file descriptor was free.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);
/// Most connections that are open at a time on one address. Beyond them the oldest one is closed.
const MAX_CONNECTIONS: usize = 32;
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// File with the numbers of pages that the process takes.
const PAGES_FILE: &str = "/proc/self/statm";
/// Path of the readiness check of the balancer.
const READY: &str = "/ready";
/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Path of the state dump.
const STATE: &str = "/state";
/// Path prefix by which operators release a refused request from quarantine; the request's digest
/// follows.
const RELEASE: &str = "/quarantine/release/";

/// Serves all endpoints on one listener.
pub(crate) async fn serve(app: Rc<App>, listener: TcpListener) {
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= MAX_CONNECTIONS {
            open.pop_front().iter().for_each(AbortHandle::abort);
        }
        let app = Rc::clone(&app);
        let connection = spawn_local(async move {
            let service = service_fn(move |req| {
                let answer = respond(&app, &req);
                async move { Ok::<_, Infallible>(answer) }
            });
            // A failed connection needs no handling: the client asks again.
            let mut http = http1::Builder::new();
            http.max_buf_size(MAX_HEAD_BYTES);
            drop(http.serve_connection(TokioIo::new(stream), service).await);
        });
        open.push_back(connection.abort_handle());
    }
}

fn respond(app: &Rc<App>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match req.uri().path() {
        path if req.method() == Method::POST && path.starts_with(RELEASE) => release(app, path),
        READY => match unready(app) {
            None => (StatusCode::OK, "ready\n".to_owned()),
            Some(why) => (StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {why}\n")),
        },
        METRICS => metrics(app),
        STATE => (StatusCode::OK, state(app)),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}

fn release(app: &Rc<App>, path: &str) -> (StatusCode, String) {
    let Some(suspect) = path.strip_prefix(RELEASE).and_then(Suspect::parse) else {
        return (
            StatusCode::BAD_REQUEST,
            "expected a content of 32 hexadecimal digits\n".to_owned(),
        );
    };
    if stored_refusals::release(app, suspect) {
        (StatusCode::OK, "released\n".to_owned())
    } else {
        (StatusCode::NOT_FOUND, "nothing is known of it\n".to_owned())
    }
}

fn metrics(app: &App) -> (StatusCode, String) {
    app.state.with(|shared, now| {
        let version = shared.intent.as_ref().map_or(0, |intent| intent.version);
        app.metrics
            .set_state(u64::try_from(shared.active_requests.len()).unwrap_or(u64::MAX), version);
        app.metrics.set_staleness(shared.contact.age(now), shared.configuration_lag.age(now));
        let evacuated = u64::try_from(shared.halls.evacuated().len()).unwrap_or(u64::MAX);
        let cold = u64::try_from(shared.cold_targets).unwrap_or(u64::MAX);
        app.metrics.set_out_of_service(evacuated, cold);
        let refused = u64::try_from(shared.quarantine.refused(now).len()).unwrap_or(u64::MAX);
        app.metrics.set_quarantine(refused);
        app.metrics.set_cut_off(shared.target_paths.is_cut_off());
    });
    app.metrics.set_held(held(app));
    match app.metrics.render() {
        Ok(text) => (StatusCode::OK, text),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// What this process holds for others.
fn held(app: &App) -> Held {
    let number = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    Held {
        connections: number(app.caller_budget.connections()),
        request_bytes: number(app.caller_budget.used_bytes()),
        answer_bytes: number(app.answer_memory.used()),
        resident_bytes: resident_bytes().unwrap_or(0),
    }
}

/// Resident memory of the process; `None` if the system does not tell.
fn resident_bytes() -> Option<u64> {
    let pages = std::fs::read_to_string(PAGES_FILE).ok()?;
    let resident: u64 = pages.split(' ').nth(1)?.parse().ok()?;
    Some(resident * u64::try_from(rustix::param::page_size()).ok()?)
}

/// Why this VM is not ready for new connections; `None` if it is ready.
fn unready(app: &App) -> Option<&'static str> {
    app.state.with(|shared, now| match () {
        () if shared.is_stopping() => Some("stopping"),
        () if shared.intent.is_none() => Some("no configuration"),
        () if shared.is_behind(now) => Some("peers have a newer configuration"),
        () => None,
    })
}

/// Targets that announced their departure in an answer, for the state dump.
fn departures(shared: &Shared, now: Instant) -> Vec<Value> {
    let entry = |Departure { lifetime, announced_at: at }: Departure| {
        json!({
            "target": lifetime.target.as_str(),
            "born": lifetime.born,
            "said_ms": now.saturating_duration_since(at).as_millis() as u64,
        })
    };
    shared.departures.all().map(entry).collect()
}

/// Targets that are kept although their entries were removed or overwritten, for the state dump.
fn lapsed(shared: &Shared, now: Instant) -> Vec<Value> {
    let entry = |(target, until): (&TargetName, &Instant)| {
        json!({
            "target": target.as_str(),
            "left_ms": until.saturating_duration_since(now).as_millis() as u64,
        })
    };
    shared.lapsed.iter().map(entry).collect()
}

/// Targets that asked this VM to send no work for some time, for the state dump.
fn backoffs(shared: &Shared, now: Instant) -> Vec<Value> {
    let entry = |(lifetime, until): (&Lifetime, Instant)| {
        json!({
            "target": lifetime.target.as_str(),
            "born": lifetime.born,
            "left_ms": until.saturating_duration_since(now).as_millis() as u64,
        })
    };
    shared.backoffs.all(now).map(entry).collect()
}

/// Targets that announced a rate limit, with the VM that owns their token bucket, for the state
/// dump.
fn rate_limits(shared: &Shared, now: Instant) -> Vec<Value> {
    let entry = |(lifetime, limit, heard_at): (&Lifetime, RateLimit, Instant)| {
        let target = shared.targets.get(&lifetime.target);
        let limited_until = target.and_then(|target| target.rate_limited_until);
        let bucket_owner = target.map(|target| shared.bucket_owner(&target.service, now));
        json!({
            "account_at": bucket_owner.map(|owner| owner_name(&owner)),
            "held_ms": limited_until.map(|until| until.saturating_duration_since(now).as_millis() as u64),
            "target": lifetime.target.as_str(),
            "born": lifetime.born,
            "per_s": limit.per_s(),
            "heard_ms": now.saturating_duration_since(heard_at).as_millis() as u64,
        })
    };
    shared.rates.all().map(entry).collect()
}

/// The shares of versions in new streams, for the state dump.
fn version_plans(shared: &Shared, now: Instant) -> Vec<Value> {
    let origins = &shared.stream_origins;
    let plan = |(service, plan): (&ServiceName, &VersionPlan)| {
        json!({
            "service": service.as_str(),
            "shares": describe(plan.shares()),
            "stored": plan.is_stored(),
            "earlier": plan.recent_past(origins.horizon, now).map(describe).collect::<Vec<_>>(),
        })
    };
    origins.plans.iter().map(plan).collect()
}

/// The state dump: what this VM knows of the fleet, targets and pools, for operators who
/// investigate a failure.
fn state(app: &App) -> String {
    app.state.with(|shared, now| {
        let peers: Vec<_> = shared
            .fleet
            .peers
            .iter()
            .map(|(vm, peer)| {
                json!({
                    "vm": vm.as_str(),
                    "linked": peer.linked,
                    "draining": peer.draining,
                    "cut_off": peer.cut_off,
                    "heard_ms": (now - peer.last_heard).as_millis() as u64,
                    "as_of": peer.as_of.number,
                    "era": peer.as_of.era,
                    "incarnation": peer.incarnation,
                })
            })
            .collect();
        let pools: Vec<_> = shared
            .pools
            .iter()
            .map(|(name, pool)| {
                json!({
                    "pool": name.as_str(),
                    "filled_by": owner_name(&shared.expected_owner(name, now)),
                    "turn_ms": pool.expected_turnaround().as_millis() as u64,
                    "queue": pool.queue_counts(now).total(),
                    "queue_by_slack": pool.queue_counts(now).counts().collect::<Vec<_>>(),
                    "rate": pool.rate(now),
                })
            })
            .collect();
        let quarantine: Vec<_> = shared
            .quarantine
            .refused(now)
            .iter()
            .map(|refused| {
                json!({
                    "content": refused.suspect.to_string(),
                    "part": part_text(&refused.suspect),
                    "ended": refused.ended.iter().map(ToString::to_string).collect::<Vec<_>>(),
                    "left_ms": refused.time_left.as_millis() as u64,
                    "refused_here": refused.refusals,
                })
            })
            .collect();
        let state = json!({
            "configuration": shared.intent.as_ref().map(|intent| intent.version),
            "as_of": shared.view.as_of().number,
            "era": shared.view.as_of().era,
            "era_observed": shared.view.era(),
            "keeps_earlier_eras": shared.next_era_grace_end().is_some(),
            "content": shared.view.digest().map(|digest| format!("{:016x}", digest.hash)),
            "changes_known_since": shared.view.history().since.to_string(),
            "behind_ms": shared.configuration_lag.age(now).map(|age| age.as_millis() as u64),
            "watches_store": shared.watches_store,
            "store_lost": shared.contact.is_lost(now),
            "store_heard_ms": shared.contact.age(now).map(|age| age.as_millis() as u64),
            "stopping": shared.is_stopping(),
            "in_work": shared.active_requests.len(),
            "targets": shared.targets.len(),
            "halls_out_of_reach": shared.fleet.unreachable_halls.iter().map(|hall| hall.as_str()).collect::<Vec<_>>(),
            "halls_evacuated": shared.halls.evacuated().iter().map(|hall| hall.as_str()).collect::<Vec<_>>(),
            "targets_cold": shared.cold_targets,
            "cut_off": shared.target_paths.is_cut_off(),
            "targets_relayed": shared.target_paths.broken_paths(),
            "relayed_for_peers": app.relayed_for_peers.get(),
            "targets_leaving": departures(shared, now),
            "targets_lapsed": lapsed(shared, now),
            "targets_left_alone": backoffs(shared, now),
            "targets_rates": rate_limits(shared, now),
            "versions": version_plans(shared, now),
            "streams_recorded": shared.stream_origins.records.len(),
            "quarantine": quarantine,
            "quarantine_suspects": shared.quarantine.suspect_count(),
            "peers": peers,
            "pools": pools,
        });
        format!("{state:#}\n")
    })
}
