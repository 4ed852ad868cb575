//! Who follows the platform's store. Each waiting watch is a counted call, and each change ends all of
//! them, so that in a large fleet a few VMs of each hall watch and the others hear of changes from them.
//!
//! A VM that relies on others watches again as soon as none of those to which it is linked does: they
//! say with each heartbeat whether the store answers them.

use std::rc::Rc;
use std::time::Instant;

use ids::VmName;

use crate::{FULL_MESH, Fleet};

/// VMs of each hall that watch: one that fails leaves the other.
const WATCHERS: usize = 2;
/// Key by which VMs are ranked for it.
const KEY: &str = "store";

impl Fleet {
    /// Whether this VM has to follow the store itself.
    pub fn must_watch_store(&self, now: Instant) -> bool {
        !self.is_relayed() || self.is_watcher() || !self.hears_watcher(now)
    }

    /// Whether the fleet is so large that VMs hear of changes from others.
    pub fn is_relayed(&self) -> bool {
        self.known().count() >= FULL_MESH
    }

    /// Whether each VM is linked to all others.
    pub fn is_full_mesh(&self) -> bool {
        !self.is_relayed()
    }

    /// VMs in the order in which they follow the store for their hall.
    pub(crate) fn store_followers(&self) -> Rc<[VmName]> {
        self.ranked(KEY)
    }

    /// Whether it is one of the first of its hall that are not known to be silent.
    fn is_watcher(&self) -> bool {
        let ranked = self.store_followers();
        let before = ranked.iter().take_while(|vm| **vm != self.own);
        let of_hall = before.filter(|vm| {
            self.entry_of(vm).is_some_and(|entry| entry.hall == self.own_entry.hall)
                && !self.is_silent(vm)
        });
        of_hall.count() < WATCHERS
    }

    fn hears_watcher(&self, now: Instant) -> bool {
        self.peers.values().any(|peer| peer.linked && peer.watches && peer.is_fresh(now))
    }
}
