//! The dispatcher's part in the fleet: configurations, adverts, rounds, leaving targets.

use std::net::SocketAddr;
use std::time::Instant;

use ids::{HallName, Revision, TargetName, VmName};
use membership::{Advert, Delta, Heartbeat, NameHash};
use rand::seq::IteratorRandom;
use routing::Sharer;
use slog::info;
use store_client::{ListedVm, VmState};

use crate::ask::{CatalogueView, Round};
use crate::dispatcher::Dispatcher;
use crate::in_force::InForce;

/// VMs of a hall that read the platform for all.
const READERS: usize = 2;
/// Partners of a round in the own hall.
const NEAR_PARTNERS: usize = 2;
/// Partners of a round of a VM that has heard of nobody lately.
const STRANGERS: usize = 3;
/// Partners of a round in other halls.
const FAR_PARTNERS: usize = 1;
/// VMs of the own hall that are told of a new configuration at once; each tells as many again.
const NEAR_TOLD: usize = 4;
/// VMs of other halls that are told of a new configuration at once.
const FAR_TOLD: usize = 1;

impl Dispatcher {
    pub(crate) fn offer(&mut self, offered: InForce, now: Instant) {
        let Some(taken) = self.history.take(offered) else {
            return;
        };
        info!(self.setup.log, "configuration in force"; "revision" => taken.revision.0,
            "source" => ?taken.source, "targets" => taken.catalogue.targets.len(),
            "services" => taken.catalogue.services.len());
        self.leaving.keep_declared(|name| taken.catalogue.targets.contains_key(name));
        let updates = self.router.apply(taken.revision, &taken.catalogue, now);
        self.send(updates);
        self.spread_peer_word(now);
        self.setup.news.notify_one();
    }

    pub(crate) fn current(&self, have: Revision) -> CatalogueView {
        (self.history.current().cloned(), self.history.at(have).cloned())
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
            peers: self.advertised(),
            operations: self.setup.cfg.operations,
            beat,
        }
    }

    /// The peer link's address as others reach it.
    fn advertised(&self) -> SocketAddr {
        self.setup.cfg.peers_advertised.unwrap_or(self.setup.cfg.peers)
    }

    pub(crate) fn start_round(&mut self, now: Instant) -> Round {
        self.sequence += 1;
        let mut partners = self.roster.sample_partners(NEAR_PARTNERS, FAR_PARTNERS);
        if self.roster.fresh(self.pace.interval(), now).next().is_none() {
            let listed = self.listed.iter().filter(|vm| vm.entry).map(|vm| vm.address);
            let others = self.setup.cfg.seeds.iter().copied().chain(listed);
            let others = others.filter(|a| *a != self.advertised());
            partners.extend(others.sample(&mut rand::rng(), STRANGERS));
        } else if let Some(listed) = self.unheard_peer(now) {
            partners.push(listed);
        }
        partners.dedup();
        let revision = self.history.revision();
        let to_announce = if std::mem::replace(&mut self.announced, revision) < revision {
            self.roster.sample_without_revision(revision, NEAR_TOLD, FAR_TOLD)
        } else {
            Vec::new()
        };
        Round {
            own: self.advert(),
            known: self.roster.digest(),
            to_announce,
            partners,
            interval: self.pace.interval(),
        }
    }

    /// A listed VM to get acquainted with: one of the own hall that was not heard of, or one of
    /// another hall while none there is heard, so that halls that were cut off meet again.
    fn unheard_peer(&self, now: Instant) -> Option<SocketAddr> {
        let own_hall = &self.setup.cfg.hall;
        let interval = self.pace.interval();
        let fresh: Vec<&Advert> = self.roster.fresh(interval, now).collect();
        let meets_far = fresh.iter().any(|a| a.hall != *own_hall);
        let wanted = |vm: &&ListedVm| {
            let heard = fresh.iter().any(|a| a.peers == vm.address);
            let own = vm.address == self.advertised();
            !own && !heard && (vm.hall == *own_hall || !meets_far)
        };
        let unheard = self.listed.iter().filter(|vm| vm.entry).filter(wanted);
        unheard.map(|vm| vm.address).choose(&mut rand::rng())
    }

    pub(crate) fn heard(&mut self, news: Delta, now: Instant) {
        news.adverts.into_iter().for_each(|advert| self.roster.merge(advert, now));
        news.heartbeats.into_iter().for_each(|beat| self.roster.merge_heartbeat(beat, now));
        self.spread_peer_word(now);
    }

    /// Lets the router know what peers say of loads and of leaving targets.
    pub(crate) fn spread_peer_word(&mut self, now: Instant) {
        let interval = self.pace.interval();
        let loads = self.roster.loads(interval, now);
        let busy = self.roster.fresh(interval, now).filter(|a| !a.beat.loads.is_empty()).count();
        let calls = |name: &TargetName| loads.get(&NameHash::of_target(name)).copied().unwrap_or(0);
        self.router.set_peer_loads(calls, busy);
        self.router.set_sharers(self.sharers(now));
        let said = self.roster.fresh(interval, now).flat_map(|a| a.beat.leaving.iter());
        let leaving = self.leaving.all(said);
        self.router.set_leaving(|name| leaving.contains(name));
    }

    /// The VMs that share the targets: this one and all that were heard of lately and stay.
    fn sharers(&self, now: Instant) -> Vec<Sharer> {
        let of = |vm: &VmName, hall: &HallName| Sharer { vm: vm.clone(), hall: hall.clone() };
        let staying = self.roster.fresh(self.pace.interval(), now).filter(|a| !a.beat.draining);
        let own = of(&self.setup.cfg.vm, &self.setup.cfg.hall);
        staying.map(|a| of(&a.vm, &a.hall)).chain([own]).collect()
    }

    pub(crate) fn listed(&mut self, vms: Vec<ListedVm>, now: Instant) {
        let leaving = vms.iter().filter(|vm| !vm.entry && vm.state == VmState::Leaving);
        let names: Vec<TargetName> =
            leaving.filter_map(|vm| TargetName::new(&vm.name).ok()).collect();
        for name in names {
            if self.leaving.note(name.clone(), now) {
                info!(self.setup.log, "target leaving"; "target" => %name, "word" => "VM list");
                self.setup.news.notify_one();
            }
        }
        self.listed = vms;
        self.spread_peer_word(now);
    }

    pub(crate) fn reads_platform(&self, now: Instant) -> (bool, Revision) {
        let reads = self.roster.reads_platform(READERS, self.pace.interval(), now);
        (reads, self.history.revision())
    }

    pub(crate) fn drain(&mut self) {
        self.draining = true;
        self.setup.news.notify_one();
    }
}
