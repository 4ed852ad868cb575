//! The other VMs as this one sees them, and who fills the calls of which pool.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::VmName;

/// Pause between two heartbeats on a link.
pub(crate) const BEAT: Duration = Duration::from_millis(200);
/// A peer that said nothing for this long gets no work: two heartbeats may be late.
pub(crate) const SILENCE: Duration = Duration::from_millis(1000);
/// A peer counts in the size of the fleet for this long after its last word, since it may have
/// spent its part of what the fleet shares.
const REMEMBERED: Duration = Duration::from_secs(20);

/// What a peer told of a pool whose calls it fills.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolLoad {
    /// Time from handing a piece to the pool with no queue to its result.
    pub(crate) turn: Duration,
    /// Pieces that wait or are on their way.
    pub(crate) queue: f64,
    /// Pieces that the pool can make in a second.
    pub(crate) rate: f64,
    /// When this was heard.
    pub(crate) at: Instant,
}

/// A peer.
#[derive(Debug)]
pub(crate) struct PeerVm {
    pub(crate) incarnation: u64,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) heard: Instant,
    pub(crate) linked: bool,
    pub(crate) draining: bool,
    pub(crate) as_of: u64,
    /// Pools whose calls it fills.
    pub(crate) pools: HashMap<String, PoolLoad>,
    /// Pieces of its requests that are on their way to pools.
    pub(crate) coming: HashMap<String, f64>,
}

/// All VMs.
#[derive(Debug)]
pub(crate) struct Fleet {
    own: VmName,
    pub(crate) incarnation: u64,
    pub(crate) peers: HashMap<VmName, PeerVm>,
}

impl Fleet {
    pub(crate) fn new(own: VmName, incarnation: u64) -> Self {
        Fleet { own, incarnation, peers: HashMap::new() }
    }

    /// VMs that serve or did until just now, this one too.
    pub(crate) fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Pieces of peers' requests that are on their way to a pool.
    pub(crate) fn coming(&self, pool: &str, now: Instant) -> f64 {
        let fresh = |peer: &&PeerVm| now.saturating_duration_since(peer.heard) <= SILENCE;
        self.peers.values().filter(fresh).filter_map(|peer| peer.coming.get(pool)).sum()
    }

    /// Forgets peers that were silent for long.
    pub(crate) fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            peer.linked || now.saturating_duration_since(peer.heard) < REMEMBERED
        });
    }

    /// The VM that fills a pool's calls, by rendezvous hashing over those in touch; `None` for
    /// this one.
    pub(crate) fn owner_of(&self, pool: &str, draining: bool, now: Instant) -> Option<VmName> {
        let fit = |peer: &PeerVm| {
            let silent = now.saturating_duration_since(peer.heard) > SILENCE;
            peer.linked && !peer.draining && !silent
        };
        let best = self
            .peers
            .iter()
            .filter(|(_, peer)| fit(peer))
            .max_by_key(|(vm, _)| rendezvous(pool, vm))
            .map(|(vm, _)| vm.clone())?;
        let own_first = rendezvous(pool, &self.own) > rendezvous(pool, &best);
        (draining || !own_first).then_some(best)
    }
}

fn rendezvous(pool: &str, vm: &VmName) -> (u64, VmName) {
    let mut hasher = DefaultHasher::new();
    pool.hash(&mut hasher);
    vm.as_str().hash(&mut hasher);
    (hasher.finish(), vm.clone())
}
