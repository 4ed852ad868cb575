//! Detects data halls that this VM can't reach. If heartbeats from all VMs of a hall stop, a few of
//! its targets are probed over TCP. If none accepts a connection, the hall counts as unreachable
//! and receives no work until a probe succeeds or heartbeats of its VMs arrive again. Without this,
//! each of the hall's targets would have to fail separately, at every VM.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::{HEARTBEAT_INTERVAL, UnreachableHalls};
use ids::HallName;
use slog::{info, warn};
use tokio::sync::watch::Receiver;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::app::App;
use crate::connections::connect;
use crate::halls::recheck_pools;
use crate::state_handle::now;

/// Number of targets of a hall that are probed at once; more than one, since a single target may be
/// down by itself.
const PROBED_TARGETS: usize = 2;
/// Time after a successful probe during which a hall without heartbeats is not probed again.
const PROBE_VALIDITY: Duration = Duration::from_secs(1);

/// Keeps the set of unreachable halls up to date for as long as the process runs.
pub(crate) async fn monitor(app: Rc<App>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reached_at: BTreeMap<HallName, Instant> = BTreeMap::new();
    loop {
        ticks.tick().await;
        let silent = app.state.with(|shared, now| shared.fleet.silent_halls(now));
        let unreachable = app.unreachable_halls.borrow().clone();
        for hall in unreachable.difference(&silent) {
            set_reachability(&app, hall, false, "heartbeat from one of its VMs");
        }
        let is_recent =
            |hall: &HallName| reached_at.get(hall).is_some_and(|at| now() - *at < PROBE_VALIDITY);
        let mut probes = JoinSet::new();
        for hall in silent.into_iter().filter(|hall| !is_recent(hall)) {
            let app = Rc::clone(&app);
            probes.spawn_local(async move { (accepts_connections(&app, &hall).await, hall) });
        }
        while let Some(Ok((accepts, hall))) = probes.join_next().await {
            if accepts {
                reached_at.insert(hall.clone(), now());
            }
            if accepts == unreachable.contains(&hall) {
                let why = if accepts {
                    "a target accepted a connection"
                } else {
                    "no probed target accepted a connection"
                };
                set_reachability(&app, &hall, !accepts, why);
            }
        }
    }
}

/// Whether at least one probed target of a hall accepts a TCP connection.
async fn accepts_connections(app: &App, hall: &HallName) -> bool {
    if app.state.with(|shared, _| shared.target_paths.is_cut_off()) {
        // This VM can't tell.
        return true;
    }
    let mut probes = JoinSet::new();
    for address in app.state.with(|shared, _| shared.targets.sample_of_hall(hall, PROBED_TARGETS)) {
        probes.spawn_local(connect(address));
    }
    while let Some(connected) = probes.join_next().await {
        if matches!(connected, Ok(Ok(_))) {
            return true;
        }
    }
    // A hall without targets counts as unreachable: nothing could be sent there anyway.
    false
}

/// Logs a change of a hall's reachability and applies it.
fn set_reachability(app: &Rc<App>, hall: &HallName, is_unreachable: bool, why: &str) {
    if is_unreachable {
        warn!(app.log, "hall out of reach"; "hall" => %hall, "why" => why);
    } else {
        info!(app.log, "hall within reach"; "hall" => %hall, "why" => why);
    }
    app.unreachable_halls.send_modify(|halls| {
        if is_unreachable {
            halls.insert(hall.clone());
        } else {
            halls.remove(hall);
        }
    });
    let unreachable = app.unreachable_halls.borrow().clone();
    app.state.with(|shared, _| shared.set_unreachable_halls(unreachable));
    recheck_pools(app);
}

/// Waits until a hall is unreachable; returns at once if it already is.
pub(crate) async fn until_unreachable(
    unreachable: &mut Receiver<UnreachableHalls>,
    hall: &HallName,
) {
    if unreachable.wait_for(|halls| halls.contains(hall)).await.is_err() {
        // The process is ending.
        std::future::pending::<()>().await;
    }
}
