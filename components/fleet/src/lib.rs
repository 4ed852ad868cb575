//! One VM's view of the other VMs: which ones are live, which ones to link to, which one owns each
//! part of a pool, and which ones watch the platform's store.
//!
//! A pool is a service whose targets, the workers, run pieces in batches, several pieces to a call.
//! It is split into parts. The owner of a part is the VM that collects the pieces that are
//! submitted to the part and fills the calls to its workers with them. The token buckets of each
//! other service with a rate limit have an owner too, which is chosen like that of a pool with one
//! part.
//!
//! This crate holds state only: it does no input or output, and the caller passes the current time
//! in. It is used by the `gateway` crate; the `daemon` crate uses the `membership` crate instead.

mod ownership;
mod peer;
mod spill;
mod split;
mod watchers;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::{HallName, VmName};

pub use ownership::Owner;
pub use peer::{PeerVm, PoolLoad, VmEntry};
pub use spill::{fastest_owner, should_spill};
pub use split::{Part, Split};
pub use watchers::WATCHERS_PER_HALL;

use ownership::RankingCache;

/// Interval between two heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// A peer that sent nothing for this long gets no work. The time is long enough for several
/// heartbeats in a row to be late.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// A peer counts toward the size of the fleet for this long after its last message, since it may
/// have spent its share of a limit that the fleet divides among its VMs.
const PEER_RETENTION: Duration = Duration::from_secs(20);
/// In a fleet of at most this many VMs, this one included, each VM links to all others and watches
/// the store itself.
pub(crate) const FULL_MESH_MAX_VMS: usize = 10;
/// A hall may be unreachable if all its linked VMs sent nothing for this long: two and a half
/// heartbeat intervals.
const HALL_TIMEOUT: Duration = Duration::from_millis(500);
/// A VM that has just started, or has just lost a peer, waits for this long for a link to a better
/// owner than itself: time for one dial and one retry.
///
/// Without the wait, many VMs that start together fill calls of the same workers.
pub const SETTLE_TIME: Duration = Duration::from_millis(1200);

/// Data halls that can't be reached from this VM.
pub type UnreachableHalls = BTreeSet<HallName>;

/// What this VM knows of all VMs.
#[derive(Debug)]
pub struct Fleet {
    /// Name of this VM.
    own: VmName,
    own_entry: VmEntry,
    /// Incarnation of this VM's process, which tells it from earlier processes of the same VM.
    pub incarnation: u64,
    /// VMs that sent a message over a link, until they were silent for `PEER_RETENTION`.
    pub peers: HashMap<VmName, PeerVm>,
    /// VMs that the store lists, without this one.
    listed: HashMap<VmName, VmEntry>,
    ranking_cache: RankingCache,
    /// Addresses whose last dial failed.
    failed_dials: HashSet<SocketAddr>,
    /// Time of the last event that may leave the VMs with different links: the start, the first VM
    /// that the store listed, or the loss of a peer.
    unsettled_since: Instant,
    /// When a VM last announced that it stops.
    last_stop_notice: Option<Instant>,
    /// Halls that are unreachable.
    pub unreachable_halls: UnreachableHalls,
}

impl Fleet {
    /// A fleet in which only this VM is known.
    pub fn new(own: VmName, own_entry: VmEntry, incarnation: u64, now: Instant) -> Self {
        Fleet {
            own,
            own_entry,
            incarnation,
            peers: HashMap::new(),
            listed: HashMap::new(),
            ranking_cache: RankingCache::default(),
            failed_dials: HashSet::new(),
            unsettled_since: now,
            last_stop_notice: None,
            unreachable_halls: UnreachableHalls::new(),
        }
    }

    /// The entry that this VM writes into the store and sends to its peers.
    pub fn own_entry(&self) -> &VmEntry {
        &self.own_entry
    }

    /// Records that the store lists a VM.
    pub fn add_listed(&mut self, vm: VmName, entry: VmEntry, now: Instant) {
        if vm == self.own {
            return;
        }
        if self.listed.is_empty() {
            self.unsettled_since = now;
        }
        self.failed_dials.remove(&entry.peers);
        let known = self.entry_of(&vm).cloned();
        if known.is_none_or(|known| known != entry) {
            self.ranking_cache.clear();
        }
        self.listed.insert(vm, entry);
    }

    /// Records that the store no longer lists a VM.
    pub fn remove_listed(&mut self, vm: &VmName) {
        let Some(entry) = self.listed.remove(vm) else { return };
        self.failed_dials.remove(&entry.peers);
        if self.entry_of(vm) != Some(&entry) {
            self.ranking_cache.clear();
        }
    }

    /// Records that a message of a peer arrived; `linked` says whether this VM has an open link to
    /// it that it dialed itself.
    pub fn record_heard(&mut self, vm: &VmName, linked: bool, now: Instant) {
        let peer = self.peers.entry(vm.clone()).or_insert_with(|| PeerVm::new(now));
        peer.last_heard = now;
        peer.lost = false;
        peer.linked = linked;
        if linked && let Some(address) = self.entry_of(vm).map(|entry| entry.peers) {
            self.failed_dials.remove(&address);
        }
    }

    /// Records the incarnation and the entry that a peer sent of itself.
    pub fn record_identity(&mut self, vm: &VmName, incarnation: u64, entry: Option<VmEntry>) {
        let before = self.entry_of(vm).cloned();
        let Some(peer) = self.peers.get_mut(vm) else { return };
        if peer.incarnation != incarnation {
            (peer.history, peer.content) = (None, None);
        }
        peer.incarnation = incarnation;
        peer.entry = entry;
        if self.entry_of(vm) != before.as_ref() {
            self.ranking_cache.clear();
        }
    }

    /// Records whether a peer is stopping; returns whether it has just begun to stop.
    pub fn record_draining(&mut self, vm: &VmName, draining: bool, now: Instant) -> bool {
        let Some(peer) = self.peers.get_mut(vm) else { return false };
        let newly = draining && !peer.draining;
        peer.draining = draining;
        if newly {
            self.last_stop_notice = Some(now);
        }
        newly
    }

    /// Records the end of the link to a peer; `lost` says that this VM did not close it.
    pub fn record_unlinked(&mut self, vm: &VmName, lost: bool, now: Instant) {
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.linked = false;
        peer.lost = lost;
        if lost {
            self.unsettled_since = now;
        }
    }

    /// Records that an address could not be dialed.
    pub fn record_dial_failure(&mut self, address: SocketAddr) {
        self.failed_dials.insert(address);
    }

    /// Whether another VM may be serving requests. In a large fleet, where not all VMs are linked,
    /// this is assumed.
    pub fn others_serve(&self, now: Instant) -> bool {
        let serves = |peer: &PeerVm| peer.is_fresh(now) && !peer.draining && peer.configuration > 0;
        !self.is_full_mesh() || self.peers.values().any(serves)
    }

    /// Number of VMs that are listed or sent a message within `PEER_RETENTION`, including this one.
    pub fn size(&self) -> usize {
        let unlisted = self.peers.keys().filter(|vm| !self.listed.contains_key(*vm)).count();
        self.listed.len() + unlisted + 1
    }

    /// Whether this VM knows others, of which none was heard from lately.
    pub fn is_alone(&self, now: Instant) -> bool {
        self.size() > 1 && !self.peers.values().any(|peer| peer.is_fresh(now))
    }

    /// Data halls of all known VMs, including this one.
    pub fn halls(&self) -> BTreeSet<&HallName> {
        self.other_vms().map(|(_, entry)| &entry.hall).chain([&self.own_entry.hall]).collect()
    }

    /// Pieces of peers' requests that are not submitted yet and will go to this VM's part of a
    /// pool.
    pub fn incoming_pieces(&self, pool: &str, split: &Split, now: Instant) -> f64 {
        let part = split.part_of(&self.own_entry.hall);
        let is_of_part = |peer: &&PeerVm| {
            peer.entry.as_ref().is_none_or(|entry| split.part_of(&entry.hall) == part)
        };
        let fresh = self.peers.values().filter(|peer| peer.is_fresh(now));
        fresh.filter(is_of_part).filter_map(|peer| peer.incoming.get(pool)).sum()
    }

    /// The newest version of the configuration that a live peer has in force; 0 if there is none.
    pub fn newest_configuration(&self, now: Instant) -> u64 {
        let fresh = self.peers.values().filter(|peer| peer.is_fresh(now));
        fresh.map(|peer| peer.configuration).max().unwrap_or(0)
    }

    /// Forgets peers without a link that were silent for `PEER_RETENTION`.
    pub fn forget_silent(&mut self, now: Instant) {
        let before = self.peers.len();
        self.peers.retain(|_, peer| {
            peer.linked || now.saturating_duration_since(peer.last_heard) < PEER_RETENTION
        });
        if self.peers.len() != before {
            self.ranking_cache.clear();
        }
    }

    /// Whether a peer is in an unreachable hall.
    pub fn is_unreachable(&self, vm: &VmName) -> bool {
        let entry = self.peers.get(vm).and_then(|peer| peer.entry.as_ref());
        entry.is_some_and(|entry| self.unreachable_halls.contains(&entry.hall))
    }

    /// Other halls with VMs that sent a message within `PEER_RETENTION`, but none within
    /// `HALL_TIMEOUT`.
    pub fn silent_halls(&self, now: Instant) -> BTreeSet<HallName> {
        let heard: Vec<(&HallName, bool)> = self
            .peers
            .values()
            .filter_map(|peer| {
                let silence = now.saturating_duration_since(peer.last_heard);
                let hall = &peer.entry.as_ref()?.hall;
                (silence < PEER_RETENTION).then_some((hall, silence < HALL_TIMEOUT))
            })
            .filter(|(hall, _)| **hall != self.own_entry.hall)
            .collect();
        let live_halls: BTreeSet<_> =
            heard.iter().filter(|(_, is_live)| *is_live).map(|(h, _)| *h).collect();
        heard.iter().map(|(hall, _)| *hall).filter(|h| !live_halls.contains(h)).cloned().collect()
    }

    /// Other VMs that the store lists or that sent their entry.
    fn other_vms(&self) -> impl Iterator<Item = (&VmName, &VmEntry)> {
        let unlisted = self.peers.iter().filter(|(vm, _)| !self.listed.contains_key(*vm));
        let unlisted = unlisted.filter_map(|(vm, peer)| Some((vm, peer.entry.as_ref()?)));
        self.listed.iter().chain(unlisted)
    }

    /// The entry of a VM, which may be this one: the one in the store or, if the store lists none,
    /// the one that the VM sent.
    fn entry_of(&self, vm: &VmName) -> Option<&VmEntry> {
        if *vm == self.own {
            return Some(&self.own_entry);
        }
        let sent = || self.peers.get(vm).and_then(|peer| peer.entry.as_ref());
        self.listed.get(vm).or_else(sent)
    }
}
