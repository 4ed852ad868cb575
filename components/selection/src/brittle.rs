//! Services whose targets say that they are brittle: a target that turns away too many requests in a
//! second, from all VMs together, falls over.
//!
//! Each VM keeps to a share of each target's slots, so that all VMs together need no queue there,
//! whatever they know of each other's calls. A VM that is turned away all the same leaves the target
//! alone for so long that all VMs together stay below what the target bears.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ids::ServiceName;

/// Time after the last answer that said so for which a service counts as brittle if no later answer
/// arrives. An idle VM must not forget it: a burst of requests could follow.
const BRITTLE_TTL: Duration = Duration::from_secs(60);
/// Shortest time for which a target that turned a request away is left alone; the limit is counted
/// for each second.
const MIN_HOLD: Duration = Duration::from_secs(1);
/// Longest time for which it is, before VMs are spread over twice that.
const MAX_HOLD: Duration = Duration::from_secs(30);
/// Fraction of a target's slots that a VM at which all requests arrive may use beyond an equal
/// share. The other VMs keep their equal shares, so that together they may use this much more than
/// there is, until the first of them tells of its requests.
const UNEQUAL_FRACTION: f64 = 0.5;
/// Fraction of what a target bears that is planned with: VMs return at random, at times several at
/// once.
const USED_FRACTION: f64 = 0.5;

/// The services whose targets are brittle.
#[derive(Debug, Default)]
pub(crate) struct BrittleServices(HashMap<ServiceName, Announcement>);

/// What the targets of a service said last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Announcement {
    /// `None` if they are not brittle.
    brittle: Option<Brittle>,
    at: Instant,
}

/// How brittle the targets of a service are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Brittle {
    /// Requests that a target may turn away in a second without falling over.
    limit: u32,
}

impl BrittleServices {
    /// Records that a target of the service said at `said_at` that it is brittle.
    pub(crate) fn record(&mut self, service: &ServiceName, limit: u32, said_at: Instant) {
        if self.0.get(service).is_none_or(|known| known.at < said_at) {
            let said = Announcement { brittle: Some(Brittle { limit }), at: said_at };
            self.0.insert(service.clone(), said);
        }
    }

    /// Records that a target of the service did not say that it is brittle, in the answer to a
    /// request that was sent at `sent_at`.
    pub(crate) fn record_sound(&mut self, service: &ServiceName, sent_at: Instant) {
        if let Some(known) = self.0.get_mut(service).filter(|known| known.at < sent_at) {
            *known = Announcement { brittle: None, at: sent_at };
        }
    }

    /// What the targets of a service said, if that still holds.
    pub(crate) fn of(&self, service: &ServiceName, now: Instant) -> Option<Brittle> {
        self.0.get(service).and_then(|said| said.in_force(now))
    }

    /// The brittle services, with their limits and when a target last said so.
    pub(crate) fn all(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, u32, Instant)> {
        let known = move |(service, said): (_, &Announcement)| {
            Some((service, said.in_force(now)?.limit, said.at))
        };
        self.0.iter().filter_map(known)
    }
}

impl Announcement {
    fn in_force(&self, now: Instant) -> Option<Brittle> {
        let is_recent = now.saturating_duration_since(self.at) < BRITTLE_TTL;
        self.brittle.filter(|_| is_recent)
    }
}

impl Brittle {
    /// Time for which a VM leaves a target alone that turned it away, so that `users` VMs together are
    /// not turned away more often in a second than the target bears. VMs that were turned away
    /// together return one after the other: `draw` is a number between 0 and 1 that differs for each.
    pub(crate) fn hold(self, users: usize, draw: f64) -> Duration {
        let bearable = f64::from(self.limit.max(1)) * USED_FRACTION;
        let seconds = users as f64 / bearable;
        Duration::from_secs_f64(seconds).clamp(MIN_HOLD, MAX_HOLD).mul_f64(1.0 + draw)
    }
}

/// What one of `vms` VMs may use of a service's targets, each with `slots` slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Share {
    /// Number of targets that it may use.
    pub(crate) targets: usize,
    /// Calls that it may have in progress at each of these.
    pub(crate) calls: u32,
}

impl Share {
    /// All VMs' shares together fill the slots; where there are fewer slots than VMs, each VM may
    /// still use one target.
    pub(crate) fn of(slots: u32, targets: usize, vms: usize) -> Self {
        let vms = vms.max(1);
        let per_target = slots as usize / vms;
        if per_target > 0 {
            let calls = u32::try_from(per_target).unwrap_or(u32::MAX);
            return Share { targets, calls };
        }
        Share { targets: (slots as usize * targets / vms).clamp(1, targets.max(1)), calls: 1 }
    }

    /// The share of a VM at which this fraction of the fleet's requests arrives: the equal one, or
    /// calls at all targets by that fraction if these are more.
    pub(crate) fn of_demand(slots: u32, targets: usize, vms: usize, fraction: f64) -> Self {
        let equal = Share::of(slots, targets, vms);
        let calls = (f64::from(slots) * UNEQUAL_FRACTION * fraction) as u32;
        let by_demand = Share { targets, calls };
        if by_demand.total() > equal.total() { by_demand } else { equal }
    }

    /// Calls that it may have in progress at all targets.
    fn total(self) -> usize {
        self.targets * self.calls as usize
    }

    /// Number of VMs that may use each target.
    pub(crate) fn users(self, targets: usize, vms: usize) -> usize {
        (self.targets * vms).div_ceil(targets.max(1))
    }
}
