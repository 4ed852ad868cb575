//! The other VMs as this one sees them: whom to link to, and who fills the calls of which pool.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use batching::Queue;
use ids::{HallName, VmName};
use serde::{Deserialize, Serialize};

use crate::reach::OutHalls;

/// Pause between two heartbeats on a link.
pub(crate) const BEAT: Duration = Duration::from_millis(200);
/// A peer that said nothing for this long gets no work: several heartbeats may be late.
pub(crate) const SILENCE: Duration = Duration::from_millis(1000);
/// A peer counts in the size of the fleet for this long after its last word, since it may have
/// spent its part of what the fleet shares.
const REMEMBERED: Duration = Duration::from_secs(20);
/// Up to so many VMs each one is linked to all others.
const FULL_MESH: usize = 10;
/// In a larger fleet, VMs of each hall to which each one is linked, for news of the store and to see
/// whether the hall is in reach: more than one, so that a VM that fails is not taken for its hall.
const HALL_PARTNERS: usize = 2;
/// A hall whose linked VMs all said nothing for this long may be out of reach: two heartbeats and
/// half of one.
const HALL_SILENCE: Duration = Duration::from_millis(500);
/// VMs in the order of ownership to which a VM is linked for a pool: the owner, and one that
/// stands ready.
const OWNER_LINKS: usize = 2;
/// Power by which a VM's cores count for ownership: filling calls costs processor time, so that a
/// VM four times as large should be chosen nearly always.
const CORES_POWER: i32 = 4;

/// What a VM writes of itself into the store, and tells its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct VmEntry {
    /// Where it takes links.
    pub(crate) peers: SocketAddr,
    /// Its data hall.
    pub(crate) hall: HallName,
    /// Cores that it may use.
    pub(crate) cores: f64,
}

/// What a peer told of a pool whose calls it fills.
#[derive(Debug, Clone)]
pub(crate) struct PoolLoad {
    /// Time from submitting a piece to the pool with no queue to its result.
    pub(crate) turn: Duration,
    /// Pieces that wait.
    pub(crate) queue: Queue,
    /// Pieces on their way from earlier stages.
    pub(crate) coming: f64,
    /// Pieces that the pool can make in a second.
    pub(crate) rate: f64,
    /// When this was heard.
    pub(crate) at: Instant,
}

/// A peer that was heard.
#[derive(Debug)]
pub(crate) struct PeerVm {
    pub(crate) incarnation: u64,
    /// What it told of itself.
    pub(crate) entry: Option<VmEntry>,
    pub(crate) heard: Instant,
    /// Whether this VM dialled it and the link stands.
    pub(crate) linked: bool,
    pub(crate) draining: bool,
    pub(crate) as_of: u64,
    /// Version of the configuration that it has in force.
    pub(crate) configuration: u64,
    /// Pools whose calls it fills.
    pub(crate) pools: HashMap<String, PoolLoad>,
    /// Pieces of its requests that are on their way to pools.
    pub(crate) coming: HashMap<String, f64>,
}

/// All VMs.
#[derive(Debug)]
pub(crate) struct Fleet {
    own: VmName,
    own_entry: VmEntry,
    pub(crate) incarnation: u64,
    pub(crate) peers: HashMap<VmName, PeerVm>,
    listed: HashMap<VmName, VmEntry>,
    /// Halls that are out of reach.
    pub(crate) out_halls: OutHalls,
}

impl Fleet {
    pub(crate) fn new(own: VmName, own_entry: VmEntry, incarnation: u64) -> Self {
        let (peers, listed) = (HashMap::new(), HashMap::new());
        let out_halls = OutHalls::new();
        Fleet { own, own_entry, incarnation, peers, listed, out_halls }
    }

    /// What this VM writes of itself.
    pub(crate) fn own_entry(&self) -> &VmEntry {
        &self.own_entry
    }

    /// The store lists a VM.
    pub(crate) fn list(&mut self, vm: VmName, entry: VmEntry) {
        if vm != self.own {
            self.listed.insert(vm, entry);
        }
    }

    /// The store lists a VM no more.
    pub(crate) fn unlist(&mut self, vm: &VmName) {
        self.listed.remove(vm);
    }

    /// VMs that serve or did until just now, this one too.
    pub(crate) fn size(&self) -> usize {
        let unlisted = self.peers.keys().filter(|vm| !self.listed.contains_key(*vm)).count();
        self.listed.len() + unlisted + 1
    }

    /// Data halls in which VMs stand.
    pub(crate) fn halls(&self) -> BTreeSet<&HallName> {
        self.known().map(|(_, entry)| &entry.hall).chain([&self.own_entry.hall]).collect()
    }

    /// Pieces of peers' requests that are on their way to a pool.
    pub(crate) fn coming(&self, pool: &str, now: Instant) -> f64 {
        let fresh = |peer: &&PeerVm| now.saturating_duration_since(peer.heard) <= SILENCE;
        self.peers.values().filter(fresh).filter_map(|peer| peer.coming.get(pool)).sum()
    }

    /// The newest version of the configuration that a peer in touch has in force; 0 if none.
    pub(crate) fn newest_configuration(&self, now: Instant) -> u64 {
        let fresh = |peer: &&PeerVm| now.saturating_duration_since(peer.heard) <= SILENCE;
        self.peers.values().filter(fresh).map(|peer| peer.configuration).max().unwrap_or(0)
    }

    /// Forgets peers that were silent for long.
    pub(crate) fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            peer.linked || now.saturating_duration_since(peer.heard) < REMEMBERED
        });
    }

    /// The VM that fills a pool's calls, by rendezvous hashing over those in touch; `None` for
    /// this one. With `hall`, only VMs of that hall are asked, as long as there are some.
    pub(crate) fn owner_of(
        &self,
        pool: &str,
        hall: Option<&HallName>,
        draining: bool,
        now: Instant,
    ) -> Option<VmName> {
        let fit = |vm: &VmName| {
            self.peers.get(vm).is_some_and(|peer| {
                let silent = now.saturating_duration_since(peer.heard) > SILENCE;
                peer.linked && !peer.draining && !silent && !self.is_out_of_reach(vm)
            })
        };
        let own = (!draining).then_some((&self.own, &self.own_entry));
        let candidates = self.known().filter(|(vm, _)| fit(vm)).chain(own);
        let near = candidates.filter(|(_, entry)| hall.is_none_or(|hall| entry.hall == *hall));
        let best = near.max_by(|(a, x), (b, y)| {
            rank(pool, a, x.cores).total_cmp(&rank(pool, b, y.cores)).then(a.cmp(b))
        });
        best.map(|(vm, _)| vm).filter(|vm| **vm != self.own).cloned()
    }

    /// Addresses to which this VM wants links, given its pools and the hall by which each is
    /// split, if it is.
    pub(crate) fn wanted<'a>(
        &'a self,
        pools: impl Iterator<Item = (&'a str, Option<&'a HallName>)>,
    ) -> BTreeSet<SocketAddr> {
        let known: Vec<(&VmName, &VmEntry)> = self.known().collect();
        if known.len() < FULL_MESH {
            return known.into_iter().map(|(_, entry)| entry.peers).collect();
        }
        let mut wanted = BTreeSet::new();
        for (pool, hall) in pools {
            let near = known.iter().filter(|(_, e)| hall.is_none_or(|hall| e.hall == *hall));
            let mut ranked: Vec<_> = near.map(|(vm, e)| (rank(pool, vm, e.cores), e)).collect();
            ranked.sort_by(|(a, _), (b, _)| b.total_cmp(a));
            wanted.extend(ranked.into_iter().take(OWNER_LINKS).map(|(_, entry)| entry.peers));
        }
        for hall in self.halls() {
            let of_hall = known.iter().filter(|(_, entry)| entry.hall == *hall);
            let mut partners: Vec<_> =
                of_hall.map(|(vm, e)| (rank(self.own.as_str(), vm, 1.0), e)).collect();
            partners.sort_by(|(a, _), (b, _)| b.total_cmp(a));
            wanted.extend(partners.into_iter().take(HALL_PARTNERS).map(|(_, e)| e.peers));
        }
        wanted
    }

    /// Whether a peer stands in a hall that is out of reach.
    pub(crate) fn is_out_of_reach(&self, vm: &VmName) -> bool {
        let entry = self.peers.get(vm).and_then(|peer| peer.entry.as_ref());
        entry.is_some_and(|entry| self.out_halls.contains(&entry.hall))
    }

    /// Other halls of which VMs were heard before and none is now.
    pub(crate) fn silent_halls(&self, now: Instant) -> BTreeSet<HallName> {
        let heard: Vec<(&HallName, bool)> = self
            .peers
            .values()
            .filter_map(|peer| {
                let silence = now.saturating_duration_since(peer.heard);
                let hall = &peer.entry.as_ref()?.hall;
                (silence < REMEMBERED).then_some((hall, silence < HALL_SILENCE))
            })
            .filter(|(hall, _)| **hall != self.own_entry.hall)
            .collect();
        let spoken: BTreeSet<_> = heard.iter().filter(|(_, now)| *now).map(|(h, _)| *h).collect();
        heard.iter().map(|(hall, _)| *hall).filter(|h| !spoken.contains(h)).cloned().collect()
    }

    /// VMs that the store lists or that told of themselves.
    fn known(&self) -> impl Iterator<Item = (&VmName, &VmEntry)> {
        let told = self.peers.iter().filter(|(vm, _)| !self.listed.contains_key(*vm));
        let told = told.filter_map(|(vm, peer)| Some((vm, peer.entry.as_ref()?)));
        self.listed.iter().chain(told)
    }
}

/// Weighted rendezvous hashing: the VM with the highest rank owns the key.
fn rank(key: &str, vm: &VmName, cores: f64) -> f64 {
    let hash = hashing::combine(hashing::of_text(key), hashing::of_text(vm.as_str()));
    -cores.powi(CORES_POWER) / hashing::as_part(hash).ln()
}
