//! Periodic log lines about pools: changes of the VM to which a pool's pieces are submitted, and
//! the use of the workers' room, their memory for results ([`RoomUse`]).

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use batching::RoomUse;
use fleet::{HEARTBEAT_INTERVAL, Owner};
use ids::ServiceName;
use slog::info;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::app::App;
use crate::owner_selection::{Placement, owner_name};

/// Interval between two log lines on the use of a pool's room. A burst can fill the room within a
/// few seconds.
const ROOM_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes per kilobyte.
const KB: u64 = 1000;

/// Writes the log lines for as long as the process runs.
pub(crate) async fn run(app: Rc<App>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut owners = HashMap::new();
    let mut room_logged_at = Instant::now();
    loop {
        ticks.tick().await;
        log_owner_changes(&app, &mut owners);
        if room_logged_at.elapsed() >= ROOM_LOG_INTERVAL {
            room_logged_at = Instant::now();
            log_room_use(&app);
        }
    }
}

/// Logs to which VM this one submits pieces of each pool, whenever that changes; `owners` holds
/// what was logged last.
fn log_owner_changes(app: &App, owners: &mut HashMap<ServiceName, Owner>) {
    app.state.with(|shared, now| {
        for pool in shared.pools.keys() {
            let owner = shared.preferred_owner(pool, Placement::ANYWHERE, now);
            if owners.get(pool) == Some(&owner) {
                continue;
            }
            let passed_over = shared.owners_passed_over(pool, now);
            info!(app.log, "pool owner"; "pool" => %pool, "owner" => owner_name(&owner),
                "before" => owners.get(pool).map(owner_name),
                "passed_over" => passed_over.join(","));
            owners.insert(pool.clone(), owner);
        }
    });
}

/// Logs the use of room of each pool of this VM that has waiting pieces or calls in progress.
fn log_room_use(app: &App) {
    let rooms: Vec<(ServiceName, RoomUse, usize)> = app.state.with(|shared, now| {
        let busy = shared.pools.iter().filter(|(_, pool)| !pool.is_idle());
        busy.map(|(name, pool)| (name.clone(), pool.room_use(now), pool.waiting_pieces())).collect()
    });
    for (pool, room, waiting) in rooms {
        info!(app.log, "pool room"; "pool" => %pool, "waiting" => waiting,
            "workers" => room.workers, "idle" => room.idle_workers, "total_kb" => room.total / KB,
            "at_work_kb" => room.at_work / KB, "incomplete_kb" => room.incomplete / KB,
            "kept_kb" => room.kept / KB, "spare_kb" => room.spare / KB,
            "lost_kb" => room.lost / KB, "telling_kb" => room.unconfirmed / KB,
            "foreign_kb" => room.foreign / KB);
    }
}
