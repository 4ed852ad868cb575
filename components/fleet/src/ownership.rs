//! Who fills the calls of a part of a pool, and whom to link to for that.
//!
//! Every VM ranks all others by weighted rendezvous hashing and takes the best that it can reach. VMs
//! that know the same list choose alike.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use ids::VmName;

use crate::{FULL_MESH, Fleet, Part, PeerVm, SETTLE_TIME, Split, VmEntry};

/// VMs in the order of ownership to which a VM is linked for the part of a pool in which it lies: the
/// owner, and one that stands ready.
const OWNER_LINKS: usize = 2;
/// The same for the other parts, which take what its own has no room for.
const OTHER_OWNER_LINKS: usize = 1;
/// In a larger fleet, VMs of each hall to which each one is linked, for news of the store and to see
/// whether the hall is in reach: more than one, so that a VM that fails is not taken for its hall.
pub(crate) const HALL_PARTNERS: usize = 2;
/// Power by which a VM's cores count for ownership: filling calls costs processor time, so that a
/// VM four times as large should be chosen nearly always.
const CORES_POWER: i32 = 4;

/// Who fills the calls of a part of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// This VM.
    This,
    /// A peer to which a link stands.
    Peer(VmName),
    /// Not known yet: a better VM than this one is there by all that is known, and is being dialled.
    Unknown,
}

/// VMs by rank for each key, the best one first. Worked out once for each list of VMs: a VM that hears
/// 294 others five times a second would rank all of them for every heartbeat.
#[derive(Debug, Default)]
pub(crate) struct Ranking {
    by_key: RefCell<HashMap<RankKey, Rc<[VmName]>>>,
}

/// What VMs are ranked for, and by what.
type RankKey = (Weight, String);

/// What makes a VM come first more often than others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Weight {
    Cores,
    Nothing,
}

impl Ranking {
    /// The list of VMs changed.
    pub(crate) fn clear(&mut self) {
        self.by_key.get_mut().clear();
    }
}

impl Fleet {
    /// Who fills the calls of a part, to whom this VM can submit.
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
            let is_owner = self.is_fit(vm, pool, split, draining, now);
            awaited |= !is_owner && **vm != self.own && self.is_awaited(vm, now);
            is_owner
        });
        match best {
            Some(_) if awaited => Owner::Unknown,
            Some(vm) if *vm != self.own => Owner::Peer(vm.clone()),
            Some(_) => Owner::This,
            None if split.part_of(&self.own_entry.hall) == part => Owner::This,
            None => Owner::Unknown,
        }
    }

    /// VMs that rank before the owner of a part, each with why it is not the owner, for the log.
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
        let unfit = of_part.map_while(|vm| {
            let why = match () {
                () if self.is_fit(vm, pool, split, draining, now) => return None,
                () if *vm == self.own => "stops",
                () if self.is_unreachable(vm) => "out of reach",
                () => self.peers.get(vm).map_or("never heard", |peer| peer.unfit(now)),
            };
            Some(format!("{vm}:{why}"))
        });
        unfit.collect()
    }

    /// Addresses to which this VM wants links, given its pools.
    pub fn wanted_links<'a>(
        &self,
        pools: impl Iterator<Item = (&'a str, &'a Split)>,
    ) -> BTreeSet<SocketAddr> {
        if self.known().count() < FULL_MESH {
            return self.known().map(|(_, entry)| entry.peers).collect();
        }
        let mut wanted = BTreeSet::new();
        for (pool, split) in pools {
            let ranked = self.ranked(pool);
            let own_part = split.part_of(&self.own_entry.hall);
            for part in split.parts() {
                let links = if part == own_part { OWNER_LINKS } else { OTHER_OWNER_LINKS };
                let of_part = ranked.iter().filter(|vm| self.is_in(vm, split, part));
                self.add_best(&mut wanted, of_part, links);
            }
        }
        self.add_hall_partners(&mut wanted);
        wanted
    }

    /// Adds the best VMs, and as many that are not known to be silent or to stop: those that are may be
    /// back any time, and until then others stand in for them.
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

    fn add_hall_partners(&self, wanted: &mut BTreeSet<SocketAddr>) {
        for hall in self.halls() {
            // Partners in other halls differ from VM to VM, those in the own hall follow the store.
            let own = *hall == self.own_entry.hall;
            let ranked =
                if own { self.store_followers() } else { self.ranked_alike(self.own.as_str()) };
            let of_hall =
                ranked.iter().filter(|vm| self.entry_of(vm).is_some_and(|e| e.hall == *hall));
            self.add_best(wanted, of_hall, HALL_PARTNERS);
        }
    }

    /// All VMs, this one too, by their rank for a key and their cores.
    pub(crate) fn ranked(&self, key: &str) -> Rc<[VmName]> {
        self.ranked_by(key, Weight::Cores)
    }

    /// Whether this VM is among the first `count` VMs for a key, on which all VMs that know the same
    /// list agree.
    pub fn is_among_first(&self, key: &str, count: usize) -> bool {
        self.ranked_alike(key).iter().take(count).any(|vm| *vm == self.own)
    }

    /// The same with cores left out.
    fn ranked_alike(&self, key: &str) -> Rc<[VmName]> {
        self.ranked_by(key, Weight::Nothing)
    }

    fn ranked_by(&self, key: &str, weight: Weight) -> Rc<[VmName]> {
        let cache_key = (weight, key.to_owned());
        if let Some(ranked) = self.ranking.by_key.borrow().get(&cache_key) {
            return Rc::clone(ranked);
        }
        let weight_of = |entry: &VmEntry| match weight {
            Weight::Cores => entry.cores,
            Weight::Nothing => 1.0,
        };
        let own = (&self.own, &self.own_entry);
        let key_hash = hashing::of_text(key);
        let mut ranked: Vec<(f64, &VmName)> = self
            .known()
            .chain([own])
            .map(|(vm, entry)| (rank(key_hash, vm, weight_of(entry)), vm))
            .collect();
        ranked.sort_by(|(a, x), (b, y)| b.total_cmp(a).then_with(|| y.cmp(x)));
        let ranked: Rc<[VmName]> = ranked.into_iter().map(|(_, vm)| vm.clone()).collect();
        self.ranking.by_key.borrow_mut().insert(cache_key, Rc::clone(&ranked));
        ranked
    }

    /// Whether a VM may own a part: this one unless it is `draining`, another one if work can be handed to it.
    fn is_fit(&self, vm: &VmName, pool: &str, split: &Split, draining: bool, now: Instant) -> bool {
        if *vm == self.own { !draining } else { self.takes_work(vm, pool, split, now) }
    }

    fn is_in(&self, vm: &VmName, split: &Split, part: Part) -> bool {
        self.entry_of(vm).is_some_and(|entry| split.part_of(&entry.hall) == part)
    }

    /// Whether work for a pool can be handed to a peer now. One with an older configuration may not
    /// know the pool, unless it says that it fills its calls: what it was handed would lie there until
    /// it has the newer one.
    fn takes_work(&self, vm: &VmName, pool: &str, split: &Split, now: Instant) -> bool {
        let takes = |peer: &PeerVm| {
            let knows = peer.configuration >= split.since() || peer.pools.contains_key(pool);
            knows && peer.linked && !peer.draining && peer.is_fresh(now)
        };
        self.peers.get(vm).is_some_and(takes) && !self.is_unreachable(vm)
    }

    /// Whether a VM that takes no work yet is waited for rather than passed over, so that VMs with links
    /// to different ones choose alike: for as long as a fleet takes to settle after the start or the loss of
    /// a VM, and as long after one said that it stops, unless the next one can't be linked. While all VMs of
    /// a fleet of 59 stopped in turn, three to five filled the calls of one part for ten seconds, each for
    /// those that were linked to it.
    fn is_awaited(&self, vm: &VmName, now: Instant) -> bool {
        let hands_over = is_recent(self.stop_heard, now) && !self.is_silent(vm);
        self.may_take_work_soon(vm) && (is_recent(Some(self.unsettled_since), now) || hands_over)
    }

    /// Whether a VM may take work in a moment: it is known from the store only, it was heard over a link
    /// that it dialled, or it has no configuration yet. That a dial failed says little while all VMs
    /// start.
    fn may_take_work_soon(&self, vm: &VmName) -> bool {
        let starts = |peer: &PeerVm| !peer.linked || peer.configuration == 0;
        let may = |peer: &PeerVm| !peer.lost && !peer.draining && starts(peer);
        self.peers.get(vm).is_none_or(may) && !self.is_unreachable(vm)
    }

    /// Whether a VM said that it stops.
    fn is_stopping(&self, vm: &VmName) -> bool {
        self.peers.get(vm).is_some_and(|peer| peer.draining)
    }

    /// Whether a VM can't be linked, or its link was lost and it was not heard since. Nothing is known
    /// of one that was let go.
    pub(crate) fn is_silent(&self, vm: &VmName) -> bool {
        let failed = |address| self.failed_dials.contains(address);
        self.peers.get(vm).is_some_and(|peer| peer.lost)
            || self.entry_of(vm).is_some_and(|entry| failed(&entry.peers))
            || self.is_unreachable(vm)
    }
}

/// Whether a fleet may not have settled yet since an event.
fn is_recent(event: Option<Instant>, now: Instant) -> bool {
    event.is_some_and(|at| now.saturating_duration_since(at) < SETTLE_TIME)
}

/// Weighted rendezvous hashing: the VM with the highest rank owns the key.
fn rank(key: u64, vm: &VmName, cores: f64) -> f64 {
    let hash = hashing::combine(key, hashing::of_text(vm.as_str()));
    -cores.powi(CORES_POWER) / hashing::as_part(hash).ln()
}
