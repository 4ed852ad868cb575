//! Decides which VMs watch the platform's store.
//!
//! The platform counts each pending watch as a call, and each change ends all of them. In a large
//! fleet, only a few VMs of each hall watch, and the others receive the changes from them.
//!
//! A VM that relies on others starts to watch as soon as none of the VMs that it is linked to does.
//! VMs say with each heartbeat whether the store answers them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ids::VmName;

use crate::{FULL_MESH_MAX_VMS, Fleet};

/// Number of VMs of each hall that watch the store, so that one is left if the other fails.
pub const WATCHERS_PER_HALL: usize = 2;
/// Interval after which twice as many VMs of a hall read a long listing of the store. Within it, a
/// VM with a tenth of a core passes the content of some megabytes on to another one.
const LISTING_TURN: Duration = Duration::from_millis(1500);
/// Key by which VMs are ranked as watchers.
const WATCHERS_KEY: &str = "store";

impl Fleet {
    /// Whether this VM has to watch the store itself.
    pub fn must_watch_store(&self, now: Instant) -> bool {
        !self.is_relayed() || self.is_watcher() || !self.is_linked_to_watcher(now)
    }

    /// Whether the fleet is so large that VMs receive changes from others.
    pub fn is_relayed(&self) -> bool {
        self.other_vms().count() >= FULL_MESH_MAX_VMS
    }

    /// Whether each VM is linked to all others.
    pub fn is_full_mesh(&self) -> bool {
        !self.is_relayed()
    }

    /// All VMs by rank as watchers; the first reachable ones of each hall watch the store.
    pub(crate) fn ranked_watchers(&self) -> Rc<[VmName]> {
        self.ranked(WATCHERS_KEY)
    }

    /// Rank of this VM among all that it knows, from 0 on. VMs that know the same others have
    /// different ranks.
    pub fn rank(&self) -> usize {
        self.ranked_watchers().iter().take_while(|vm| **vm != self.own).count()
    }

    /// Time for which this VM leaves a long listing of the store to other VMs of its hall, so that
    /// they can pass the content on. The first [`WATCHERS_PER_HALL`] read it at once, and with each
    /// [`LISTING_TURN`] twice as many, so that the delay grows with the logarithm of the hall's VMs
    /// and the store's bandwidth is enough for a fleet of any size that starts at once.
    pub fn listing_delay(&self) -> Duration {
        let turns = (self.rank_in_hall() / WATCHERS_PER_HALL + 1) as f64;
        LISTING_TURN.mul_f64(turns.log2())
    }

    /// Whether this VM is one of the first [`WATCHERS_PER_HALL`] of its hall that are not known to
    /// be silent.
    fn is_watcher(&self) -> bool {
        self.rank_in_hall() < WATCHERS_PER_HALL
    }

    /// Number of VMs of this VM's hall that rank before it as watchers and are not known to be
    /// silent.
    fn rank_in_hall(&self) -> usize {
        let ranked = self.ranked_watchers();
        let before = ranked.iter().take_while(|vm| **vm != self.own);
        let of_hall = before.filter(|vm| {
            self.entry_of(vm).is_some_and(|entry| entry.hall == self.own_entry.hall)
                && !self.is_silent(vm)
        });
        of_hall.count()
    }

    /// Whether a live peer that this VM is linked to watches the store.
    fn is_linked_to_watcher(&self, now: Instant) -> bool {
        self.peers.values().any(|peer| peer.linked && peer.watches_store && peer.is_fresh(now))
    }
}
