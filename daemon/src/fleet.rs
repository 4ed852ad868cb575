//! The dispatcher's handling of fleet state: configurations, adverts, gossip rounds and leaving
//! targets.

use std::net::SocketAddr;
use std::time::Instant;

use ids::{HallName, Revision, TargetName, VmName};
use membership::{Advert, Delta, Heartbeat, NameHash};
use rand::seq::IteratorRandom;
use routing::SharingVm;
use slog::info;
use store_client::{ListedVm, VmState};

use crate::configuration::Configuration;
use crate::dispatcher::Dispatcher;
use crate::dispatcher_messages::{ConfigurationPair, Round};

/// Number of VMs in each hall that read the platform for all VMs of the hall.
const PLATFORM_READERS: usize = 2;
/// Partners of a gossip round in the VM's own hall.
const LOCAL_PARTNERS: usize = 2;
/// Additional partners of a gossip round while no other VM has a fresh advert; taken from the seeds
/// and the VM list.
const BOOTSTRAP_PARTNERS: usize = 3;
/// Partners of a gossip round in other halls.
const REMOTE_PARTNERS: usize = 1;
/// VMs of the own hall to which a new configuration is announced at once; each of them announces it
/// to as many others.
const LOCAL_ANNOUNCEMENTS: usize = 4;
/// VMs of other halls to which a new configuration is announced at once.
const REMOTE_ANNOUNCEMENTS: usize = 1;

impl Dispatcher {
    /// Puts the configuration in force if it is newer than the current one.
    pub(crate) fn offer_configuration(&mut self, candidate: Configuration, now: Instant) {
        let Some(accepted) = self.history.accept(candidate) else {
            return;
        };
        info!(self.setup.log, "configuration in force"; "revision" => accepted.revision.0,
            "source" => ?accepted.source, "targets" => accepted.catalogue.targets.len(),
            "services" => accepted.catalogue.services.len());
        self.leaving.retain_declared(|name| accepted.catalogue.targets.contains_key(name));
        let updates = self.router.apply(accepted.revision, &accepted.catalogue, now);
        self.apply_wait_updates(updates);
        self.apply_peer_state(now);
        self.setup.round_trigger.notify_one();
    }

    /// The configuration in force and the one with `peer_revision`, if it is kept.
    pub(crate) fn configurations(&self, peer_revision: Revision) -> ConfigurationPair {
        (self.history.current().cloned(), self.history.with_revision(peer_revision).cloned())
    }

    /// This VM's current advert.
    pub(crate) fn advert(&self) -> Advert {
        let loads = self.router.own_loads();
        let beat = Heartbeat {
            vm: NameHash::of_vm(&self.setup.cfg.vm),
            incarnation: self.setup.incarnation,
            sequence: self.sequence,
            revision: self.history.revision(),
            draining: self.draining,
            loads: loads.map(|(name, calls)| (NameHash::of_target(name), calls)).collect(),
            leaving: self.leaving.first_hand().cloned().collect(),
        };
        Advert {
            vm: self.setup.cfg.vm.clone(),
            hall: self.setup.cfg.hall.clone(),
            peers: self.advertised_address(),
            operations: self.setup.cfg.operations,
            beat,
        }
    }

    /// Address under which other VMs reach the peer link.
    fn advertised_address(&self) -> SocketAddr {
        self.setup.cfg.peers_advertised.unwrap_or(self.setup.cfg.peers)
    }

    /// Chooses the partners of the next gossip round and the VMs to which a new configuration is
    /// announced.
    pub(crate) fn start_round(&mut self, now: Instant) -> Round {
        self.sequence += 1;
        let mut partners = self.roster.sample_partners(LOCAL_PARTNERS, REMOTE_PARTNERS);
        if self.roster.fresh(self.round_pacer.interval(), now).next().is_none() {
            let listed = self.vm_list.iter().filter(|vm| vm.entry).map(|vm| vm.address);
            let candidates = self.setup.cfg.seeds.iter().copied().chain(listed);
            let candidates = candidates.filter(|a| *a != self.advertised_address());
            partners.extend(candidates.sample(&mut rand::rng(), BOOTSTRAP_PARTNERS));
        } else if let Some(peer) = self.pick_peer_without_fresh_state(now) {
            partners.push(peer);
        }
        partners.dedup();
        let revision = self.history.revision();
        let announce_to = if std::mem::replace(&mut self.announced_revision, revision) < revision {
            self.roster.sample_without_revision(revision, LOCAL_ANNOUNCEMENTS, REMOTE_ANNOUNCEMENTS)
        } else {
            Vec::new()
        };
        Round {
            own: self.advert(),
            digest: self.roster.digest(),
            announce_to,
            partners,
            interval: self.round_pacer.interval(),
        }
    }

    /// A random entry VM of the VM list that is not the sender of a fresh advert.
    ///
    /// It is in this VM's hall, or in any hall while there is no fresh advert from another hall, so
    /// that halls reconnect after a network partition.
    fn pick_peer_without_fresh_state(&self, now: Instant) -> Option<SocketAddr> {
        let own_hall = &self.setup.cfg.hall;
        let interval = self.round_pacer.interval();
        let fresh: Vec<&Advert> = self.roster.fresh(interval, now).collect();
        let has_fresh_remote = fresh.iter().any(|a| a.hall != *own_hall);
        let is_candidate = |vm: &&ListedVm| {
            let is_fresh = fresh.iter().any(|a| a.peers == vm.address);
            let is_own = vm.address == self.advertised_address();
            !is_own && !is_fresh && (vm.hall == *own_hall || !has_fresh_remote)
        };
        let candidates = self.vm_list.iter().filter(|vm| vm.entry).filter(is_candidate);
        candidates.map(|vm| vm.address).choose(&mut rand::rng())
    }

    /// Merges the adverts and heartbeats that a peer sent.
    pub(crate) fn merge_delta(&mut self, delta: Delta, now: Instant) {
        delta.adverts.into_iter().for_each(|advert| self.roster.merge(advert, now));
        delta.heartbeats.into_iter().for_each(|beat| self.roster.merge_heartbeat(beat, now));
        self.apply_peer_state(now);
    }

    /// Updates the router with the peers' loads, the VMs that share the targets and the leaving
    /// targets.
    pub(crate) fn apply_peer_state(&mut self, now: Instant) {
        let interval = self.round_pacer.interval();
        let loads = self.roster.loads(interval, now);
        let vms_with_load =
            self.roster.fresh(interval, now).filter(|a| !a.beat.loads.is_empty()).count();
        let peer_calls =
            |name: &TargetName| loads.get(&NameHash::of_target(name)).copied().unwrap_or(0);
        self.router.set_peer_loads(peer_calls, vms_with_load);
        self.router.set_sharing_vms(self.sharing_vms(now));
        let reported = self.roster.fresh(interval, now).flat_map(|a| a.beat.leaving.iter());
        let leaving = self.leaving.all_leaving(reported);
        self.router.set_leaving(|name| leaving.contains(name));
    }

    /// The VMs that share the targets' capacity: this one, and all with a fresh advert that are not
    /// draining.
    fn sharing_vms(&self, now: Instant) -> Vec<SharingVm> {
        let sharing_vm =
            |vm: &VmName, hall: &HallName| SharingVm { vm: vm.clone(), hall: hall.clone() };
        let not_draining =
            self.roster.fresh(self.round_pacer.interval(), now).filter(|a| !a.beat.draining);
        let own = sharing_vm(&self.setup.cfg.vm, &self.setup.cfg.hall);
        not_draining.map(|a| sharing_vm(&a.vm, &a.hall)).chain([own]).collect()
    }

    /// Stores the platform's VM list and records the targets that it reports as leaving.
    pub(crate) fn update_vm_list(&mut self, vms: Vec<ListedVm>, now: Instant) {
        let leaving = vms.iter().filter(|vm| !vm.entry && vm.state == VmState::Leaving);
        let names: Vec<TargetName> =
            leaving.filter_map(|vm| TargetName::new(&vm.name).ok()).collect();
        for name in names {
            if self.leaving.record(name.clone(), now) {
                info!(self.setup.log, "target leaving"; "target" => %name, "word" => "VM list");
                self.setup.round_trigger.notify_one();
            }
        }
        self.vm_list = vms;
        self.apply_peer_state(now);
    }

    /// Whether this VM reads the platform for all VMs of its hall, and the revision in force.
    pub(crate) fn reads_platform(&self, now: Instant) -> (bool, Revision) {
        let reads = self.roster.reads_platform(PLATFORM_READERS, self.round_pacer.interval(), now);
        (reads, self.history.revision())
    }

    /// Marks this VM as draining and tells peers at once.
    pub(crate) fn drain(&mut self) {
        self.draining = true;
        self.setup.round_trigger.notify_one();
    }
}
