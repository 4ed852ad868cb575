//! Which data halls this VM reaches. A hall whose VMs all fell silent is asked over TCP: if none of
//! the targets tried there takes a connection, the hall counts as out of reach, and nothing is sent
//! there until one does. Without this each of a hall's targets has to fail by itself, at every VM.

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
use crate::hub::now;

/// Targets of a hall that are asked at once: one of them may be gone by itself.
const ASKED: usize = 2;
/// After an answer a hall that stays silent is not asked again for this long.
const TRUSTED: Duration = Duration::from_secs(1);

/// Keeps the list of halls out of reach for as long as the process runs.
pub(crate) async fn monitor(app: Rc<App>) {
    let mut looks = interval(HEARTBEAT_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut answered: BTreeMap<HallName, Instant> = BTreeMap::new();
    loop {
        looks.tick().await;
        let silent = app.hub.with(|shared, now| shared.fleet.silent_halls(now));
        let out = app.unreachable_halls.borrow().clone();
        for hall in out.difference(&silent) {
            tell(&app, hall, false, "its VMs are heard");
        }
        let trusted = |hall: &HallName| answered.get(hall).is_some_and(|at| now() - *at < TRUSTED);
        let mut asked = JoinSet::new();
        for hall in silent.into_iter().filter(|hall| !trusted(hall)) {
            let app = Rc::clone(&app);
            asked.spawn_local(async move { (takes_connections(&app, &hall).await, hall) });
        }
        while let Some(Ok((takes, hall))) = asked.join_next().await {
            if takes {
                answered.insert(hall.clone(), now());
            }
            if takes == out.contains(&hall) {
                let why = if takes { "a target took a connection" } else { "no target answers" };
                tell(&app, &hall, !takes, why);
            }
        }
    }
}

/// Whether some target of a hall takes a connection.
async fn takes_connections(app: &App, hall: &HallName) -> bool {
    let mut asked = JoinSet::new();
    for address in app.hub.with(|shared, _| shared.targets.sample_of_hall(hall, ASKED)) {
        asked.spawn_local(connect(address));
    }
    while let Some(connected) = asked.join_next().await {
        if matches!(connected, Ok(Ok(_))) {
            return true;
        }
    }
    // A hall without targets has nothing that could be sent there.
    false
}

fn tell(app: &Rc<App>, hall: &HallName, is_out: bool, why: &str) {
    if is_out {
        warn!(app.log, "hall out of reach"; "hall" => %hall, "why" => why);
    } else {
        info!(app.log, "hall within reach"; "hall" => %hall, "why" => why);
    }
    app.unreachable_halls.send_modify(|out| {
        if is_out {
            out.insert(hall.clone());
        } else {
            out.remove(hall);
        }
    });
    let out = app.unreachable_halls.borrow().clone();
    app.hub.with(|shared, _| shared.set_unreachable_halls(out));
    recheck_pools(app);
}

/// Ends when a hall is out of reach.
pub(crate) async fn until_unreachable(out: &mut Receiver<UnreachableHalls>, hall: &HallName) {
    if out.wait_for(|out| out.contains(hall)).await.is_err() {
        // The process is ending.
        std::future::pending::<()>().await;
    }
}
