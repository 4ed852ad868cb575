//! What this VM logs of the pools now and then: what their workers' room is taken by, and who fills
//! their calls.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use batching::RoomUse;
use fleet::{HEARTBEAT_INTERVAL, Owner};
use ids::ServiceName;
use slog::info;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::app::App;
use crate::owner_selection::owner_name;

/// Pause between two lines on a pool's room: a burst fills it within a few seconds.
const ROOM_PAUSE: Duration = Duration::from_secs(1);
/// Bytes of a kilobyte.
const KB: u64 = 1000;

/// Logs for as long as the process runs.
pub(crate) async fn run(app: Rc<App>) {
    let mut looks = interval(HEARTBEAT_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut owners = HashMap::new();
    let mut room_told = Instant::now();
    loop {
        looks.tick().await;
        tell_owners(&app, &mut owners);
        if room_told.elapsed() >= ROOM_PAUSE {
            room_told = Instant::now();
            tell_room(&app);
        }
    }
}

/// Logs to whom this VM submits pieces of a pool, whenever that changes.
fn tell_owners(app: &App, owners: &mut HashMap<ServiceName, Owner>) {
    app.hub.with(|shared, now| {
        for pool in shared.pools.keys() {
            let owner = shared.preferred_owner(pool, None, now);
            if owners.get(pool) == Some(&owner) {
                continue;
            }
            let before = shared.owners_passed_over(pool, now);
            info!(app.log, "pool owner"; "pool" => %pool, "owner" => owner_name(&owner),
                "before" => owners.get(pool).map(owner_name), "passed_over" => before.join(","));
            owners.insert(pool.clone(), owner);
        }
    });
}

/// Logs what takes the room of the pools for which this VM had results made.
fn tell_room(app: &App) {
    let rooms: Vec<(ServiceName, RoomUse, usize)> = app.hub.with(|shared, now| {
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
