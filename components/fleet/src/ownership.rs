//! Chooses the owner of each part of a pool, and the VMs that this one links to.
//!
//! Every VM ranks all VMs by weighted rendezvous hashing and chooses the best one that it can
//! reach. VMs that know the same list and can reach the same VMs choose alike.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use ids::VmName;

use crate::{FULL_MESH_MAX_VMS, Fleet, Part, PeerVm, SETTLE_TIME, Split, VmEntry};

/// Number of best-ranked VMs that a VM links to in its own part of a pool: the owner and its
/// successor.
const OWN_PART_LINKS: usize = 2;
/// Number of best-ranked VMs that a VM links to in each other part: the owner, which gets the
/// submissions that spill over from the VM's own part.
const OTHER_PART_LINKS: usize = 1;
/// Number of VMs of each hall that a VM links to in a large fleet, to receive changes of the store
/// and to detect whether the hall is reachable. More than one, so that the failure of a VM is not
/// taken for that of its hall.
pub(crate) const LINKS_PER_HALL: usize = 2;
/// Exponent of a VM's cores in its weight: filling calls costs processor time, so a VM with four
/// times as many cores should be chosen nearly always.
const CORES_EXPONENT: i32 = 4;

/// The VM that fills the calls of a part of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// This VM.
    This,
    /// A peer that this VM is linked to.
    Peer(VmName),
    /// Not known yet: a better VM than the best linked one is expected to take work soon, or no VM
    /// of the part is linked.
    Unknown,
}

/// Caches the list of all VMs for each key, the best-ranked one first, until the known VMs change.
/// Without it, a VM would rank all VMs for every heartbeat that it receives.
#[derive(Debug, Default)]
pub(crate) struct RankingCache {
    by_key: RefCell<HashMap<RankKey, Rc<[VmName]>>>,
    /// Names ranked since the start.
    names_ranked: Cell<u64>,
}

/// Weight and key that VMs are ranked by.
type RankKey = (Weight, String);

/// Property of a VM that raises its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Weight {
    /// A VM with more cores ranks first more often.
    Cores,
    /// All VMs rank first equally often.
    Equal,
}

impl RankingCache {
    /// Drops all ranks after a change of the list of VMs.
    pub(crate) fn clear(&mut self) {
        self.by_key.get_mut().clear();
    }
}

impl Fleet {
    /// The owner of a part, to which this VM can submit pieces. `draining` says whether this VM is
    /// stopping.
    pub fn owner_of(
        &self,
        pool: &str,
        split: &Split,
        part: Part,
        draining: bool,
        now: Instant,
    ) -> Owner {
        let ranked = self.ranked(pool);
        let mut of_part = ranked.iter().filter(|vm| self.is_in(vm, split, part));
        let mut awaited = false;
        let best = of_part.find(|vm| {
            let is_owner = self.can_own(vm, pool, split, draining, now);
            awaited |= !is_owner && **vm != self.own && self.should_wait_for(vm, now);
            is_owner
        });
        match best {
            Some(_) if awaited => Owner::Unknown,
            Some(vm) if *vm != self.own => Owner::Peer(vm.clone()),
            Some(_) => Owner::This,
            // Only a stopping VM gets here: it keeps its part until another VM can take it.
            None if split.part_of(&self.own_entry.hall) == part => Owner::This,
            None => Owner::Unknown,
        }
    }

    /// VMs that rank before the owner of a part, each with the reason why it is not the owner, for
    /// the log.
    pub fn passed_over(
        &self,
        pool: &str,
        split: &Split,
        part: Part,
        draining: bool,
        now: Instant,
    ) -> Vec<String> {
        let ranked = self.ranked(pool);
        let of_part = ranked.iter().filter(|vm| self.is_in(vm, split, part));
        let ineligible = of_part.map_while(|vm| {
            let why = match () {
                () if self.can_own(vm, pool, split, draining, now) => return None,
                () if *vm == self.own => "stops",
                () if self.is_unreachable(vm) => "out of reach",
                () => self.peers.get(vm).map_or("never heard", |peer| peer.ineligible_reason(now)),
            };
            Some(format!("{vm}:{why}"))
        });
        ineligible.collect()
    }

    /// Addresses of the VMs that this VM should be linked to. `pools` holds the name and split of
    /// each pool, and of each other service that has an owner.
    pub fn wanted_links<'a>(
        &self,
        pools: impl Iterator<Item = (&'a str, &'a Split)>,
    ) -> BTreeSet<SocketAddr> {
        if self.other_vms().count() < FULL_MESH_MAX_VMS {
            return self.other_vms().map(|(_, entry)| entry.peers).collect();
        }
        let mut wanted = BTreeSet::new();
        for (pool, split) in pools {
            let ranked = self.ranked(pool);
            let own_part = split.part_of(&self.own_entry.hall);
            for part in split.parts() {
                let links = if part == own_part { OWN_PART_LINKS } else { OTHER_PART_LINKS };
                let of_part = ranked.iter().filter(|vm| self.is_in(vm, split, part));
                self.add_best(&mut wanted, of_part, links);
            }
        }
        self.add_hall_links(&mut wanted);
        wanted
    }

    /// Adds the first `links` VMs of `ranked`, even silent ones since they may come back at any
    /// time, and the first `links` that are not known to be silent or stopping, which take their
    /// place until then.
    fn add_best<'a>(
        &self,
        wanted: &mut BTreeSet<SocketAddr>,
        ranked: impl Iterator<Item = &'a VmName> + Clone,
        links: usize,
    ) {
        let others = ranked.filter(|vm| **vm != self.own);
        let best = others.clone().take(links);
        let live = others.filter(|vm| !self.is_silent(vm) && !self.is_stopping(vm)).take(links);
        wanted.extend(best.chain(live).filter_map(|vm| Some(self.entry_of(vm)?.peers)));
    }

    /// Adds the VMs that this one links to in each hall.
    fn add_hall_links(&self, wanted: &mut BTreeSet<SocketAddr>) {
        for hall in self.halls() {
            // In its own hall, a VM links to the VMs that watch the store. In other halls, it ranks
            // the VMs by its own name, so that the links of all VMs are spread evenly.
            let own = *hall == self.own_entry.hall;
            let ranked = if own {
                self.ranked_watchers()
            } else {
                self.ranked_unweighted(self.own.as_str())
            };
            let of_hall =
                ranked.iter().filter(|vm| self.entry_of(vm).is_some_and(|e| e.hall == *hall));
            self.add_best(wanted, of_hall, LINKS_PER_HALL);
        }
    }

    /// All VMs, including this one, by rank for a key, weighted by their cores.
    pub(crate) fn ranked(&self, key: &str) -> Rc<[VmName]> {
        self.ranked_by(key, Weight::Cores)
    }

    /// Number of names that were ranked since the start: the work of all rankings.
    pub fn names_ranked(&self) -> u64 {
        self.ranking_cache.names_ranked.get()
    }

    /// Whether this VM is among the first `count` VMs by unweighted rank for a key. VMs that know
    /// the same list agree on these.
    pub fn is_among_first(&self, key: &str, count: usize) -> bool {
        self.ranked_unweighted(key).iter().take(count).any(|vm| *vm == self.own)
    }

    /// All VMs, including this one, by rank for a key, with equal weights.
    fn ranked_unweighted(&self, key: &str) -> Rc<[VmName]> {
        self.ranked_by(key, Weight::Equal)
    }

    /// All VMs by rank, from the cache if it holds them.
    fn ranked_by(&self, key: &str, weight: Weight) -> Rc<[VmName]> {
        let cache_key = (weight, key.to_owned());
        if let Some(ranked) = self.ranking_cache.by_key.borrow().get(&cache_key) {
            return Rc::clone(ranked);
        }
        let weight_of = |entry: &VmEntry| match weight {
            Weight::Cores => entry.cores,
            Weight::Equal => 1.0,
        };
        let own = (&self.own, &self.own_entry);
        let key_hash = hashing::hash_text(key);
        let mut ranked: Vec<(f64, &VmName)> = self
            .other_vms()
            .chain([own])
            .map(|(vm, entry)| (rendezvous_score(key_hash, vm, weight_of(entry)), vm))
            .collect();
        ranked.sort_by(|(a, x), (b, y)| b.total_cmp(a).then_with(|| y.cmp(x)));
        let names_ranked = &self.ranking_cache.names_ranked;
        names_ranked.set(names_ranked.get() + ranked.len() as u64);
        let ranked: Rc<[VmName]> = ranked.into_iter().map(|(_, vm)| vm.clone()).collect();
        self.ranking_cache.by_key.borrow_mut().insert(cache_key, Rc::clone(&ranked));
        ranked
    }

    /// Whether a VM can own a part: this one unless it is `draining`, a peer if it takes work.
    fn can_own(
        &self,
        vm: &VmName,
        pool: &str,
        split: &Split,
        draining: bool,
        now: Instant,
    ) -> bool {
        if *vm == self.own { !draining } else { self.takes_work(vm, pool, split, now) }
    }

    /// Whether a VM is in a hall of a part.
    fn is_in(&self, vm: &VmName, split: &Split, part: Part) -> bool {
        self.entry_of(vm).is_some_and(|entry| split.part_of(&entry.hall) == part)
    }

    /// Whether work for a pool can be submitted to a peer now. A peer with an older configuration
    /// may not know the pool, unless it reports the pool's load as its owner. Pieces that are
    /// submitted to a peer that does not know the pool wait until it has the newer configuration.
    fn takes_work(&self, vm: &VmName, pool: &str, split: &Split, now: Instant) -> bool {
        let takes = |peer: &PeerVm| {
            let knows =
                peer.configuration >= split.first_seen_version() || peer.pools.contains_key(pool);
            knows && peer.linked && !peer.draining && peer.is_fresh(now)
        };
        self.peers.get(vm).is_some_and(takes) && !self.is_unreachable(vm)
    }

    /// Whether to wait for a VM that takes no work yet rather than to choose the next one, so that
    /// VMs with different links choose alike. The wait lasts for [`SETTLE_TIME`] after this VM's
    /// start or the loss of a peer. It lasts as long after a VM announced that it stops, unless the
    /// awaited VM is known to be silent.
    ///
    /// Without the wait for the successor of a stopping VM, several VMs fill the calls of one part
    /// while all VMs stop in turn, each for the VMs that are linked to it.
    fn should_wait_for(&self, vm: &VmName, now: Instant) -> bool {
        let may_succeed = is_recent(self.last_stop_notice, now) && !self.is_silent(vm);
        self.may_take_work_soon(vm) && (is_recent(Some(self.unsettled_since), now) || may_succeed)
    }

    /// Whether a VM may take work soon: it is known only from the store, it sent messages but this
    /// VM has no link to it yet, or it has no configuration yet. Lost, stopping and unreachable VMs
    /// are excluded. Failed dials are ignored, since they say little while all VMs start.
    fn may_take_work_soon(&self, vm: &VmName) -> bool {
        let is_not_ready = |peer: &PeerVm| !peer.linked || peer.configuration == 0;
        let is_starting = |peer: &PeerVm| !peer.lost && !peer.draining && is_not_ready(peer);
        self.peers.get(vm).is_none_or(is_starting) && !self.is_unreachable(vm)
    }

    /// Whether a peer announced that it stops.
    fn is_stopping(&self, vm: &VmName) -> bool {
        self.peers.get(vm).is_some_and(|peer| peer.draining)
    }

    /// Whether a VM is known to be silent: its last dial failed, its link was lost and no message
    /// arrived since, or its hall is unreachable. A VM whose link this one closed itself is not
    /// known to be silent.
    pub(crate) fn is_silent(&self, vm: &VmName) -> bool {
        let failed = |address| self.failed_dials.contains(address);
        self.peers.get(vm).is_some_and(|peer| peer.lost)
            || self.entry_of(vm).is_some_and(|entry| failed(&entry.peers))
            || self.is_unreachable(vm)
    }
}

/// Whether an event is less than [`SETTLE_TIME`] ago, so that the links between VMs may still be
/// changing.
fn is_recent(event: Option<Instant>, now: Instant) -> bool {
    event.is_some_and(|at| now.saturating_duration_since(at) < SETTLE_TIME)
}

/// Score of a VM for a key by weighted rendezvous hashing; the VM with the highest score ranks
/// first.
fn rendezvous_score(key: u64, vm: &VmName, cores: f64) -> f64 {
    let hash = hashing::combine(key, hashing::hash_text(vm.as_str()));
    -cores.powi(CORES_EXPONENT) / hashing::unit_fraction(hash).ln()
}
