//! Decides which VMs watch the platform's store.
//!
//! The platform counts each pending watch as a call, and each change ends all of them. In a large
//! fleet, only a few VMs of each hall watch, and the others receive the changes from them.
//!
//! A VM that relies on others starts to watch as soon as none of the VMs that it is linked to does.
//! VMs say with each heartbeat whether the store answers them.

use std::rc::Rc;
use std::time::Instant;

use ids::VmName;

use crate::{FULL_MESH_MAX_VMS, Fleet};

/// Number of VMs of each hall that watch the store, so that one is left if the other fails.
const WATCHERS_PER_HALL: usize = 2;
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

    /// Whether this VM is one of the first [`WATCHERS_PER_HALL`] of its hall that are not known to
    /// be silent.
    fn is_watcher(&self) -> bool {
        let ranked = self.ranked_watchers();
        let before = ranked.iter().take_while(|vm| **vm != self.own);
        let of_hall = before.filter(|vm| {
            self.entry_of(vm).is_some_and(|entry| entry.hall == self.own_entry.hall)
                && !self.is_silent(vm)
        });
        of_hall.count() < WATCHERS_PER_HALL
    }

    /// Whether a live peer that this VM is linked to watches the store.
    fn is_linked_to_watcher(&self, now: Instant) -> bool {
        self.peers.values().any(|peer| peer.linked && peer.watches_store && peer.is_fresh(now))
    }
}
