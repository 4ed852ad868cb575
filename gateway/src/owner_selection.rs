//! Selects the VM to which pieces are sent. A pool may be split into parts by data hall, and each
//! part has an owner, the VM that batches its calls. Pieces go to the owner of the nearest part, or
//! to one with a shorter drain time.

use std::time::{Duration, Instant};

use eligibility::AllowedHalls;
use fleet::{Owner, Part, PoolLoad, Split};
use ids::{HallName, ServiceName};

use crate::shared::Shared;

/// The owner with the shortest drain time, and what it is compared with.
struct Candidate {
    owner: Owner,
    /// Time until it has computed everything that waits for it.
    drain: Duration,
    /// Drain time of the owner to compare with.
    baseline: Duration,
    /// Margin by which its drain time has to be shorter.
    margin: Duration,
}

/// Where the pieces of a submission are wanted and where they may run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placement<'a> {
    /// Hall in which the results are wanted; `None` if anywhere.
    pub(crate) preferred_hall: Option<&'a HallName>,
    /// Halls whose workers may run the pieces.
    pub(crate) allowed_halls: &'a AllowedHalls,
}

impl Placement<'_> {
    /// Pieces that may run anywhere.
    pub(crate) const ANYWHERE: Placement<'static> =
        Placement { preferred_hall: None, allowed_halls: &AllowedHalls::Any };
}

/// The owner's name for logs and status pages.
pub(crate) fn owner_name(owner: &Owner) -> String {
    match owner {
        Owner::This => "this VM".to_owned(),
        Owner::Peer(vm) => vm.to_string(),
        Owner::Unknown => "not known yet".to_owned(),
    }
}

impl Shared {
    /// The VM to which the pieces of a submission are sent. The number `random`, from 0 to 1,
    /// decides whether an owner whose queue drains sooner is chosen, see [`fleet::should_spill`];
    /// pieces that may not run in all halls stay with the preferred owner, since workers in an
    /// allowed hall need not be behind another one.
    pub(crate) fn choose_owner(
        &self,
        pool: &ServiceName,
        pieces: Placement<'_>,
        random: f64,
        now: Instant,
    ) -> Owner {
        let preferred = self.preferred_owner(pool, pieces, now);
        if *pieces.allowed_halls != AllowedHalls::Any {
            return preferred;
        }
        let alternative = self.fastest_owner_against(pool, &preferred, now).filter(|candidate| {
            fleet::should_spill(candidate.baseline, candidate.drain, candidate.margin, random)
        });
        alternative.map_or(preferred, |candidate| candidate.owner)
    }

    /// The VM to which a pool's pieces from this VM are expected to be sent, whatever the random
    /// number.
    pub(crate) fn expected_owner(&self, pool: &ServiceName, now: Instant) -> Owner {
        let preferred = self.preferred_owner(pool, Placement::ANYWHERE, now);
        let alternative = self.fastest_owner_against(pool, &preferred, now);
        let alternative =
            alternative.filter(|candidate| candidate.drain + candidate.margin < candidate.baseline);
        alternative.map_or(preferred, |candidate| candidate.owner)
    }

    /// The owner of the part for the hall where results are wanted; without such a hall, of this
    /// VM's own part. Choosing by this VM's hall alone would transfer more results between
    /// halls than one part for all halls.
    pub(crate) fn preferred_owner(
        &self,
        pool: &ServiceName,
        pieces: Placement<'_>,
        now: Instant,
    ) -> Owner {
        let Some(split) = self.splits.get(pool) else { return Owner::This };
        let own = split.part_of(&self.own_hall);
        let wanted = pieces.preferred_hall.map_or(own, |hall| split.part_of(hall));
        let wanted = self.open_part(pool, split, wanted, pieces.allowed_halls, now);
        match self.owner_of_part(pool, split, wanted, now) {
            Owner::Unknown if *pieces.allowed_halls == AllowedHalls::Any => {
                self.owner_of_part(pool, split, own, now)
            }
            owner => owner,
        }
    }

    /// The owner with the shortest drain time among all parts, compared with `baseline`.
    fn fastest_owner_against(
        &self,
        pool: &ServiceName,
        baseline: &Owner,
        now: Instant,
    ) -> Option<Candidate> {
        let split = self.splits.get(pool).filter(|split| !split.has_one_part())?;
        let margin = self.intent.as_ref()?.pool(pool)?.call;
        let baseline = self.load_of(pool, baseline, now)?.drain_time();
        let owners = split.parts().map(|part| self.owner_of_part(pool, split, part, now));
        let loads =
            owners.filter_map(|owner| self.load_of(pool, &owner, now).map(|load| (owner, load)));
        let (owner, drain) = fleet::fastest_owner(loads)?;
        Some(Candidate { owner, drain, baseline, margin })
    }

    fn owner_of_part(&self, pool: &ServiceName, split: &Split, part: Part, now: Instant) -> Owner {
        self.fleet.owner_of(pool.as_str(), split, part, self.is_stopping(), now)
    }

    /// VMs that rank before the owner of this VM's part of a pool, each with the reason why it is
    /// not the owner.
    pub(crate) fn owners_passed_over(&self, pool: &ServiceName, now: Instant) -> Vec<String> {
        let Some(split) = self.splits.get(pool) else { return Vec::new() };
        let own = split.part_of(&self.own_hall);
        self.fleet.passed_over(pool.as_str(), split, own, self.is_stopping(), now)
    }

    /// Whether this VM owns the part of a pool to which its own hall belongs, that is, batches the
    /// calls of that part.
    pub(crate) fn owns_local_part(&self, pool: &ServiceName, now: Instant) -> bool {
        let Some(split) = self.splits.get(pool) else { return false };
        let own = split.part_of(&self.own_hall);
        self.owner_of_part(pool, split, own, now) == Owner::This
    }

    /// An owner's load for a pool, if known.
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

    /// This VM's load for a pool; `None` if it has no such pool.
    pub(crate) fn local_load(&self, name: &ServiceName, now: Instant) -> Option<PoolLoad> {
        let pool = self.pools.get(name)?;
        let queue = pool.queue_counts(now);
        let late = pool.waiting_pieces().saturating_sub(queue.total());
        Some(PoolLoad {
            turnaround: pool.expected_turnaround(),
            queue,
            late: late as f64,
            incoming: self.incoming_pieces(name, now),
            rate: pool.rate(now),
            received_at: now,
        })
    }

    /// Pieces of all VMs that are expected at a pool from earlier stages.
    pub(crate) fn incoming_pieces(&self, name: &ServiceName, now: Instant) -> f64 {
        let peers = self
            .splits
            .get(name)
            .map(|split| self.fleet.incoming_pieces(name.as_str(), split, now));
        peers.unwrap_or(0.0) + self.admission.upcoming_for(name)
    }
}
