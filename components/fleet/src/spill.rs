//! Decides whether a submission spills over from its own part of a pool to a less loaded one.
//!
//! All VMs learn of the same queues with the same heartbeats. If every submission went to the least
//! loaded part as soon as it was faster there, all VMs would send all their submissions there until
//! the next heartbeat, and the parts would alternate between overload and idleness. So
//! only a fraction of the submissions spills, which grows with the lead of the other part, that is,
//! with how much earlier its queue drains.

use std::time::Duration;

use crate::{Owner, PoolLoad};

/// The owner whose queue drains first, and the time until then; `None` if no owner has working
/// workers.
///
/// An owner whose workers are all out of service is left out: its queue is empty, but it would
/// reject what is submitted to it.
pub fn fastest_owner(loads: impl Iterator<Item = (Owner, PoolLoad)>) -> Option<(Owner, Duration)> {
    let able = loads.filter(|(_, load)| load.rate > 0.0);
    able.map(|(owner, load)| (owner, load.drain_time())).min_by_key(|(_, drain)| *drain)
}

/// Whether a submission spills over to another part.
///
/// `own` and `other` are the drain times of its own part and of the other one, `margin` is the lead
/// that the other part must exceed before anything spills, and `random` is drawn uniformly from 0
/// to 1.
pub fn should_spill(own: Duration, other: Duration, margin: Duration, random: f64) -> bool {
    let lead = own.saturating_sub(other + margin);
    let fraction = lead.as_secs_f64() / own.as_secs_f64().max(f64::MIN_POSITIVE);
    random < fraction
}
