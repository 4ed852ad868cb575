//! To which VM pieces go, by what is known of the owners of a pool's parts and of what they have to do.

use std::time::{Duration, Instant};

use fleet::{Owner, Part, PoolLoad, Split};
use ids::{HallName, ServiceName};

use crate::shared::Shared;

/// An owner of another part that may be ahead.
struct Ahead {
    owner: Owner,
    /// Time until it has made all that waits for it.
    drain: Duration,
    /// The same of the one to compare with.
    than: Duration,
    /// What it has to be ahead by.
    way: Duration,
}

/// The owner's name for logs and pages.
pub(crate) fn owner_name(owner: &Owner) -> String {
    match owner {
        Owner::This => "this VM".to_owned(),
        Owner::Peer(vm) => vm.to_string(),
        Owner::Unknown => "not known yet".to_owned(),
    }
}

impl Shared {
    /// The VM to which pieces of a submission for a pool go, whose results are wanted near a hall or
    /// anywhere; `draw` is at random from 0 to 1.
    pub(crate) fn choose_owner(
        &self,
        pool: &ServiceName,
        near: Option<&HallName>,
        draw: f64,
        now: Instant,
    ) -> Owner {
        let first = self.preferred_owner(pool, near, now);
        let other = self
            .owner_ahead_of(pool, &first, now)
            .filter(|ahead| fleet::should_spill(ahead.than, ahead.drain, ahead.way, draw));
        other.map_or(first, |ahead| ahead.owner)
    }

    /// The VM to which a pool's pieces from here are expected to go.
    pub(crate) fn expected_owner(&self, pool: &ServiceName, now: Instant) -> Owner {
        let first = self.preferred_owner(pool, None, now);
        let other = self.owner_ahead_of(pool, &first, now);
        let other = other.filter(|ahead| ahead.drain + ahead.way < ahead.than);
        other.map_or(first, |ahead| ahead.owner)
    }

    /// The owner of the part near which results are wanted, or of this VM's own one. Parts by this VM's
    /// hall alone took 9.4 GB of results to other halls on a calm day of 295 VMs, where one part for all
    /// took 5.1.
    pub(crate) fn preferred_owner(
        &self,
        pool: &ServiceName,
        near: Option<&HallName>,
        now: Instant,
    ) -> Owner {
        let Some(split) = self.splits.get(pool) else { return Owner::This };
        let own = split.part_of(&self.own_hall);
        let wanted = near.map_or(own, |hall| split.part_of(hall));
        let wanted = self.open_part(pool, split, wanted, now);
        match self.owner_of_part(pool, split, wanted, now) {
            Owner::Unknown => self.owner_of_part(pool, split, own, now),
            owner => owner,
        }
    }

    /// The owner of the part that makes all that waits for it first, against another one.
    fn owner_ahead_of(&self, pool: &ServiceName, than: &Owner, now: Instant) -> Option<Ahead> {
        let split = self.splits.get(pool).filter(|split| !split.has_one_part())?;
        let way = self.intent.as_ref()?.pool(pool)?.call;
        let than = self.load_of(pool, than, now)?.drain_time();
        let owners = split.parts().map(|part| self.owner_of_part(pool, split, part, now));
        let loads =
            owners.filter_map(|owner| self.load_of(pool, &owner, now).map(|load| (owner, load)));
        let (owner, drain) = fleet::fastest_owner(loads)?;
        Some(Ahead { owner, drain, than, way })
    }

    fn owner_of_part(&self, pool: &ServiceName, split: &Split, part: Part, now: Instant) -> Owner {
        self.fleet.owner_of(pool.as_str(), split, part, self.is_stopping(), now)
    }

    /// VMs that rank before the owner of this VM's part of a pool, each with why it is not the owner.
    pub(crate) fn owners_passed_over(&self, pool: &ServiceName, now: Instant) -> Vec<String> {
        let Some(split) = self.splits.get(pool) else { return Vec::new() };
        let own = split.part_of(&self.own_hall);
        self.fleet.passed_over(pool.as_str(), split, own, self.is_stopping(), now)
    }

    /// Whether this VM fills the calls of its own part of a pool.
    pub(crate) fn owns_local_part(&self, pool: &ServiceName, now: Instant) -> bool {
        let Some(split) = self.splits.get(pool) else { return false };
        let own = split.part_of(&self.own_hall);
        self.owner_of_part(pool, split, own, now) == Owner::This
    }

    /// What an owner has to do for a pool, if that is known.
    pub(crate) fn load_of(
        &self,
        pool: &ServiceName,
        owner: &Owner,
        now: Instant,
    ) -> Option<PoolLoad> {
        match owner {
            Owner::Unknown => None,
            Owner::Peer(vm) => self.fleet.peers.get(vm)?.pools.get(pool.as_str()).cloned(),
            Owner::This => self.local_load(pool, now),
        }
    }

    /// What this VM has to do for a pool.
    pub(crate) fn local_load(&self, name: &ServiceName, now: Instant) -> Option<PoolLoad> {
        let pool = self.pools.get(name)?;
        let queue = pool.queue(now);
        let late = pool.waiting_pieces().saturating_sub(queue.total());
        Some(PoolLoad {
            turnaround: pool.expected_turnaround(),
            queue,
            late: late as f64,
            coming: self.incoming_pieces(name, now),
            rate: pool.rate(now),
            at: now,
        })
    }

    /// Pieces on their way to a pool from earlier stages, of all VMs.
    pub(crate) fn incoming_pieces(&self, name: &ServiceName, now: Instant) -> f64 {
        let peers = self
            .splits
            .get(name)
            .map(|split| self.fleet.incoming_pieces(name.as_str(), split, now));
        peers.unwrap_or(0.0) + self.admission.upcoming_for(name)
    }
}
