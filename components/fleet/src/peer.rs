//! What a VM knows of another one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use batching::Queue;
use ids::HallName;
use serde::{Deserialize, Serialize};

use crate::PEER_TIMEOUT;

/// What a VM writes of itself into the store, and tells its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Where it takes links.
    pub peers: SocketAddr,
    /// Its data hall.
    pub hall: HallName,
    /// Cores that it may use.
    pub cores: f64,
}

/// What a peer told of a pool whose calls it fills.
#[derive(Debug, Clone)]
pub struct PoolLoad {
    /// Time from submitting a piece to the pool with no queue to its result.
    pub turnaround: Duration,
    /// Pieces that wait and can be in time.
    pub queue: Queue,
    /// Pieces that wait and can't: they are made after all others, but take workers and hold inputs.
    pub late: f64,
    /// Pieces on their way from earlier stages.
    pub coming: f64,
    /// Pieces that the pool can make in a second.
    pub rate: f64,
    /// When this was heard.
    pub at: Instant,
}

impl PoolLoad {
    /// Time until the pool has made all that waits for it now. Without what is late a part with a
    /// thousand pieces seemed to have nothing to do, and others stood idle.
    pub fn drain_time(&self) -> Duration {
        self.time_for(self.queue.total() as f64 + self.late + self.coming)
    }

    /// Expected time of a piece that is submitted after `begin`, with `ahead` before it: what is queued
    /// now has drained since.
    pub fn expected_time(&self, begin: Duration, ahead: f64) -> Duration {
        self.time_for(ahead).saturating_sub(begin) + self.turnaround
    }

    fn time_for(&self, pieces: f64) -> Duration {
        Duration::from_secs_f64(pieces / self.rate.max(1.0))
    }
}

/// A peer that was heard.
#[derive(Debug)]
pub struct PeerVm {
    /// Number of its process.
    pub incarnation: u64,
    /// What it told of itself.
    pub entry: Option<VmEntry>,
    /// When it was last heard.
    pub heard: Instant,
    /// Whether the link to it ended since it was last heard: its process may be gone.
    pub lost: bool,
    /// Whether this VM dialled it and the link stands.
    pub linked: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Revision of the store up to which it knows everything.
    pub as_of: u64,
    /// Whether it follows the store itself and the store answers it.
    pub watches: bool,
    /// Version of the configuration that it has in force.
    pub configuration: u64,
    /// Pools whose calls it fills.
    pub pools: HashMap<String, PoolLoad>,
    /// Pieces of its requests that are on their way to pools.
    pub coming: HashMap<String, f64>,
}

impl PeerVm {
    /// A peer of which nothing is known but that it was heard.
    pub fn new(heard: Instant) -> Self {
        PeerVm {
            incarnation: 0,
            entry: None,
            heard,
            lost: false,
            linked: false,
            draining: false,
            as_of: 0,
            watches: false,
            configuration: 0,
            pools: HashMap::new(),
            coming: HashMap::new(),
        }
    }

    /// Why it takes no work, if it does not.
    pub(crate) fn unfit(&self, now: Instant) -> &'static str {
        match () {
            () if self.lost => "lost",
            () if self.draining => "stops",
            () if !self.is_fresh(now) => "silent",
            () if !self.linked => "not linked",
            () => "older configuration",
        }
    }

    /// Whether it was heard just now and not lost since.
    pub fn is_fresh(&self, now: Instant) -> bool {
        !self.lost && now.saturating_duration_since(self.heard) <= PEER_TIMEOUT
    }
}
