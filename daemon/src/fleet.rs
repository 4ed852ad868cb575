//! The dispatcher's part in the fleet: configurations, adverts, rounds, leaving targets.

use std::net::SocketAddr;
use std::time::Instant;

use ids::{HallName, Revision, TargetName, VmName};
use membership::{Advert, Delta, Heartbeat, NameHash};
use rand::seq::IteratorRandom;
use routing::Sharer;
use slog::info;
use store_client::{ListedVm, VmState};

use crate::configuration::Configuration;
use crate::dispatcher::Dispatcher;
use crate::dispatcher_messages::{ConfigurationPair, Round};

/// VMs of a hall that read the platform for all.
const PLATFORM_READERS: usize = 2;
/// Partners of a round in the own hall.
const LOCAL_PARTNERS: usize = 2;
/// Partners of a round of a VM that has heard of nobody lately.
const BOOTSTRAP_PARTNERS: usize = 3;
/// Partners of a round in other halls.
const REMOTE_PARTNERS: usize = 1;
/// VMs of the own hall that are told of a new configuration at once; each tells as many again.
const LOCAL_ANNOUNCEMENTS: usize = 4;
/// VMs of other halls that are told of a new configuration at once.
const REMOTE_ANNOUNCEMENTS: usize = 1;

impl Dispatcher {
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
        self.setup.news.notify_one();
    }

    pub(crate) fn configurations(&self, peer_revision: Revision) -> ConfigurationPair {
        (self.history.current().cloned(), self.history.with_revision(peer_revision).cloned())
    }

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

    /// The peer link's address as others reach it.
    fn advertised_address(&self) -> SocketAddr {
        self.setup.cfg.peers_advertised.unwrap_or(self.setup.cfg.peers)
    }

    pub(crate) fn start_round(&mut self, now: Instant) -> Round {
        self.sequence += 1;
        let mut partners = self.roster.sample_partners(LOCAL_PARTNERS, REMOTE_PARTNERS);
        if self.roster.fresh(self.round_pacer.interval(), now).next().is_none() {
            let listed = self.vm_list.iter().filter(|vm| vm.entry).map(|vm| vm.address);
            let others = self.setup.cfg.seeds.iter().copied().chain(listed);
            let others = others.filter(|a| *a != self.advertised_address());
            partners.extend(others.sample(&mut rand::rng(), BOOTSTRAP_PARTNERS));
        } else if let Some(listed) = self.pick_unheard_peer(now) {
            partners.push(listed);
        }
        partners.dedup();
        let revision = self.history.revision();
        let to_announce = if std::mem::replace(&mut self.announced_revision, revision) < revision {
            self.roster.sample_without_revision(revision, LOCAL_ANNOUNCEMENTS, REMOTE_ANNOUNCEMENTS)
        } else {
            Vec::new()
        };
        Round {
            own: self.advert(),
            known: self.roster.digest(),
            to_announce,
            partners,
            interval: self.round_pacer.interval(),
        }
    }

    /// A listed VM to get acquainted with: one of the own hall that was not heard of, or one of
    /// another hall while none there is heard, so that halls that were cut off meet again.
    fn pick_unheard_peer(&self, now: Instant) -> Option<SocketAddr> {
        let own_hall = &self.setup.cfg.hall;
        let interval = self.round_pacer.interval();
        let fresh: Vec<&Advert> = self.roster.fresh(interval, now).collect();
        let hears_other_halls = fresh.iter().any(|a| a.hall != *own_hall);
        let wanted = |vm: &&ListedVm| {
            let heard = fresh.iter().any(|a| a.peers == vm.address);
            let own = vm.address == self.advertised_address();
            !own && !heard && (vm.hall == *own_hall || !hears_other_halls)
        };
        let unheard = self.vm_list.iter().filter(|vm| vm.entry).filter(wanted);
        unheard.map(|vm| vm.address).choose(&mut rand::rng())
    }

    pub(crate) fn merge_news(&mut self, news: Delta, now: Instant) {
        news.adverts.into_iter().for_each(|advert| self.roster.merge(advert, now));
        news.heartbeats.into_iter().for_each(|beat| self.roster.merge_heartbeat(beat, now));
        self.apply_peer_state(now);
    }

    /// Lets the router know what peers say of loads and of leaving targets.
    pub(crate) fn apply_peer_state(&mut self, now: Instant) {
        let interval = self.round_pacer.interval();
        let loads = self.roster.loads(interval, now);
        let vms_with_load =
            self.roster.fresh(interval, now).filter(|a| !a.beat.loads.is_empty()).count();
        let calls = |name: &TargetName| loads.get(&NameHash::of_target(name)).copied().unwrap_or(0);
        self.router.set_peer_loads(calls, vms_with_load);
        self.router.set_sharers(self.sharers(now));
        let reported = self.roster.fresh(interval, now).flat_map(|a| a.beat.leaving.iter());
        let leaving = self.leaving.all_leaving(reported);
        self.router.set_leaving(|name| leaving.contains(name));
    }

    /// The VMs that share the targets: this one and all that were heard of lately and stay.
    fn sharers(&self, now: Instant) -> Vec<Sharer> {
        let of = |vm: &VmName, hall: &HallName| Sharer { vm: vm.clone(), hall: hall.clone() };
        let not_draining =
            self.roster.fresh(self.round_pacer.interval(), now).filter(|a| !a.beat.draining);
        let own = of(&self.setup.cfg.vm, &self.setup.cfg.hall);
        not_draining.map(|a| of(&a.vm, &a.hall)).chain([own]).collect()
    }

    pub(crate) fn update_vm_list(&mut self, vms: Vec<ListedVm>, now: Instant) {
        let leaving = vms.iter().filter(|vm| !vm.entry && vm.state == VmState::Leaving);
        let names: Vec<TargetName> =
            leaving.filter_map(|vm| TargetName::new(&vm.name).ok()).collect();
        for name in names {
            if self.leaving.record(name.clone(), now) {
                info!(self.setup.log, "target leaving"; "target" => %name, "word" => "VM list");
                self.setup.news.notify_one();
            }
        }
        self.vm_list = vms;
        self.apply_peer_state(now);
    }

    pub(crate) fn reads_platform(&self, now: Instant) -> (bool, Revision) {
        let reads = self.roster.reads_platform(PLATFORM_READERS, self.round_pacer.interval(), now);
        (reads, self.history.revision())
    }

    pub(crate) fn drain(&mut self) {
        self.draining = true;
        self.setup.news.notify_one();
    }
}
