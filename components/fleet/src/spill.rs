//! Which part of a pool gets a submission that could go to another one as well.
//!
//! Every VM hears of the same queues with the same heartbeats. Were all submissions to go to the part
//! that has least to do as soon as that is worth the way, all VMs would send all of theirs there until
//! the next heartbeat: of two parts of nine workers one was busy for 0.97 of the time and the other for
//! 0.3, turn by turn. So only a part of them goes there, more of it the longer the other queue is.

use std::time::Duration;

use crate::{Owner, PoolLoad};

/// The owner that makes all that waits for it first, and the time for that. One whose workers are all out of
/// service has nothing to do and makes nothing: what went there would come back refused.
pub fn fastest_owner(loads: impl Iterator<Item = (Owner, PoolLoad)>) -> Option<(Owner, Duration)> {
    let able = loads.filter(|(_, load)| load.rate > 0.0);
    able.map(|(owner, load)| (owner, load.drain_time())).min_by_key(|(_, drain)| *drain)
}

/// Whether a submission goes to another part than the one it belongs to, whose queues take so long to
/// drain. `way` is what the other part has to be ahead by, and `draw` is at random from 0 to 1.
pub fn should_spill(own: Duration, other: Duration, way: Duration, draw: f64) -> bool {
    let ahead = own.saturating_sub(other + way);
    let part = ahead.as_secs_f64() / own.as_secs_f64().max(f64::MIN_POSITIVE);
    draw < part
}
