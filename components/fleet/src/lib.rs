//! The other VMs as one sees them: who is there, whom to link to, who fills the calls of which part of
//! a pool, and who follows the platform's store. Plain state, asked with the time of now.

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

use ownership::Ranking;

/// Pause between two heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// A peer that said nothing for this long gets no work: several heartbeats may be late.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// A peer counts in the size of the fleet for this long after its last word, since it may have
/// spent its part of what the fleet shares.
const REMEMBERED: Duration = Duration::from_secs(20);
/// Up to so many VMs each one is linked to all others and follows the store itself.
pub(crate) const FULL_MESH: usize = 10;
/// A hall whose linked VMs all said nothing for this long may be out of reach: two heartbeats and
/// half of one.
const HALL_SILENCE: Duration = Duration::from_millis(500);
/// A VM that has just come, or has just lost a peer, waits for this long for a link to a better owner
/// than itself: a dial, and one that is made again. It guards against what was seen before it: of 295 VMs
/// that had lost power together 72 filled calls of the same 42 workers for two seconds. Its gain is not
/// shown: none on fleets of 6 to 18 VMs, not measured on larger ones.
pub const SETTLE_TIME: Duration = Duration::from_millis(1200);

/// Halls that are out of reach.
pub type UnreachableHalls = BTreeSet<HallName>;

/// All VMs.
#[derive(Debug)]
pub struct Fleet {
    own: VmName,
    own_entry: VmEntry,
    /// Number of this VM's process.
    pub incarnation: u64,
    /// VMs that were heard.
    pub peers: HashMap<VmName, PeerVm>,
    listed: HashMap<VmName, VmEntry>,
    ranking: Ranking,
    /// Where the last dial failed.
    failed_dials: HashSet<SocketAddr>,
    unsettled_since: Instant,
    /// When a VM last said that it stops.
    stop_heard: Option<Instant>,
    /// Halls that are out of reach.
    pub unreachable_halls: UnreachableHalls,
}

impl Fleet {
    /// A fleet of which only this VM is known.
    pub fn new(own: VmName, own_entry: VmEntry, incarnation: u64, now: Instant) -> Self {
        Fleet {
            own,
            own_entry,
            incarnation,
            peers: HashMap::new(),
            listed: HashMap::new(),
            ranking: Ranking::default(),
            failed_dials: HashSet::new(),
            unsettled_since: now,
            stop_heard: None,
            unreachable_halls: UnreachableHalls::new(),
        }
    }

    /// What this VM writes of itself.
    pub fn own_entry(&self) -> &VmEntry {
        &self.own_entry
    }

    /// The store lists a VM.
    pub fn list(&mut self, vm: VmName, entry: VmEntry, now: Instant) {
        if vm == self.own {
            return;
        }
        if self.listed.is_empty() {
            self.unsettled_since = now;
        }
        self.failed_dials.remove(&entry.peers);
        self.listed.insert(vm, entry);
        self.ranking.clear();
    }

    /// The store lists a VM no more.
    pub fn unlist(&mut self, vm: &VmName) {
        if let Some(entry) = self.listed.remove(vm) {
            self.failed_dials.remove(&entry.peers);
        }
        self.ranking.clear();
    }

    /// A peer was heard; `linked` says whether this VM has a link to it that it dialled itself.
    pub fn record_heard(&mut self, vm: &VmName, linked: bool, now: Instant) {
        let peer = self.peers.entry(vm.clone()).or_insert_with(|| PeerVm::new(now));
        peer.heard = now;
        peer.lost = false;
        peer.linked = linked;
        if linked && let Some(address) = self.entry_of(vm).map(|entry| entry.peers) {
            self.failed_dials.remove(&address);
        }
    }

    /// A peer said who it is.
    pub fn record_identity(&mut self, vm: &VmName, incarnation: u64, entry: Option<VmEntry>) {
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.incarnation = incarnation;
        peer.entry = entry;
        self.ranking.clear();
    }

    /// A peer said whether it stops; gives whether it does so for the first time.
    pub fn record_draining(&mut self, vm: &VmName, draining: bool, now: Instant) -> bool {
        let Some(peer) = self.peers.get_mut(vm) else { return false };
        let newly = draining && !peer.draining;
        peer.draining = draining;
        if newly {
            self.stop_heard = Some(now);
        }
        newly
    }

    /// The link to a peer ended; `lost` says that it was not this VM which ended it.
    pub fn record_unlinked(&mut self, vm: &VmName, lost: bool, now: Instant) {
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.linked = false;
        peer.lost = lost;
        if lost {
            self.unsettled_since = now;
        }
    }

    /// A VM could not be linked.
    pub fn record_dial_failure(&mut self, address: SocketAddr) {
        self.failed_dials.insert(address);
    }

    /// Whether another VM takes requests, as far as it is known: of VMs that are not linked, as in large fleets, it
    /// is not.
    pub fn others_serve(&self, now: Instant) -> bool {
        let serves = |peer: &PeerVm| peer.is_fresh(now) && !peer.draining && peer.configuration > 0;
        !self.is_full_mesh() || self.peers.values().any(serves)
    }

    /// VMs that serve or did until just now, this one too.
    pub fn size(&self) -> usize {
        let unlisted = self.peers.keys().filter(|vm| !self.listed.contains_key(*vm)).count();
        self.listed.len() + unlisted + 1
    }

    /// Data halls in which VMs stand.
    pub fn halls(&self) -> BTreeSet<&HallName> {
        self.known().map(|(_, entry)| &entry.hall).chain([&self.own_entry.hall]).collect()
    }

    /// Pieces on their way to this VM's part of a pool, of peers' requests.
    pub fn incoming_pieces(&self, pool: &str, split: &Split, now: Instant) -> f64 {
        let part = split.part_of(&self.own_entry.hall);
        let is_of_part = |peer: &&PeerVm| {
            peer.entry.as_ref().is_none_or(|entry| split.part_of(&entry.hall) == part)
        };
        let fresh = self.peers.values().filter(|peer| peer.is_fresh(now));
        fresh.filter(is_of_part).filter_map(|peer| peer.coming.get(pool)).sum()
    }

    /// The newest version of the configuration that a peer in touch has in force; 0 if none.
    pub fn newest_configuration(&self, now: Instant) -> u64 {
        let fresh = self.peers.values().filter(|peer| peer.is_fresh(now));
        fresh.map(|peer| peer.configuration).max().unwrap_or(0)
    }

    /// Forgets peers that were silent for long.
    pub fn forget_silent(&mut self, now: Instant) {
        let before = self.peers.len();
        self.peers.retain(|_, peer| {
            peer.linked || now.saturating_duration_since(peer.heard) < REMEMBERED
        });
        if self.peers.len() != before {
            self.ranking.clear();
        }
    }

    /// Whether a peer stands in a hall that is out of reach.
    pub fn is_unreachable(&self, vm: &VmName) -> bool {
        let entry = self.peers.get(vm).and_then(|peer| peer.entry.as_ref());
        entry.is_some_and(|entry| self.unreachable_halls.contains(&entry.hall))
    }

    /// Other halls of which VMs were heard before and none is now.
    pub fn silent_halls(&self, now: Instant) -> BTreeSet<HallName> {
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

    /// What is known of a VM, this one too.
    fn entry_of(&self, vm: &VmName) -> Option<&VmEntry> {
        if *vm == self.own {
            return Some(&self.own_entry);
        }
        let told = || self.peers.get(vm).and_then(|peer| peer.entry.as_ref());
        self.listed.get(vm).or_else(told)
    }
}
