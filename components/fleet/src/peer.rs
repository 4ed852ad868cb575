//! What a VM knows of one of its peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use batching::QueueCounts;
use ids::{HallName, StoreRevision};
use serde::{Deserialize, Serialize};
use store_view::{History, KnownContent};

use crate::PEER_TIMEOUT;

/// The entry of a VM in the store, which it also sends to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Address at which it accepts links from peers.
    pub peers: SocketAddr,
    /// Data hall in which it runs.
    pub hall: HallName,
    /// Cores that it may use.
    pub cores: f64,
}

/// Load of a pool, as reported by the peer that fills its calls.
#[derive(Debug, Clone)]
pub struct PoolLoad {
    /// Time from submitting a piece to its result if no other pieces are queued.
    pub turnaround: Duration,
    /// Queued pieces that can still be in time.
    pub queue: QueueCounts,
    /// Queued pieces that can't be in time any more. They are made after all others, but still
    /// occupy workers and hold their inputs.
    pub late: f64,
    /// Pieces that earlier stages will submit.
    pub incoming: f64,
    /// Pieces that the pool can make per second.
    pub rate: f64,
    /// When this report was received; for this VM's own load, when it was computed.
    pub received_at: Instant,
}

impl PoolLoad {
    /// Time until the pool has made all pieces that are queued or announced now. Late pieces count:
    /// without them, a part with a thousand late pieces would look idle, get more submissions, and
    /// leave other parts idle.
    pub fn drain_time(&self) -> Duration {
        self.time_for(self.queue.total() as f64 + self.late + self.incoming)
    }

    /// Expected time from submission to result of a piece that will be submitted after `delay`.
    /// `ahead` pieces are queued before it now, some of which will be made by then.
    pub fn expected_time(&self, delay: Duration, ahead: f64) -> Duration {
        self.time_for(ahead).saturating_sub(delay) + self.turnaround
    }

    /// Time to make `pieces` pieces; a rate below one piece per second counts as one.
    fn time_for(&self, pieces: f64) -> Duration {
        Duration::from_secs_f64(pieces / self.rate.max(1.0))
    }
}

/// State of a peer that sent at least one message.
#[derive(Debug)]
pub struct PeerVm {
    /// Incarnation of its process.
    pub incarnation: u64,
    /// The entry that it sent of itself.
    pub entry: Option<VmEntry>,
    /// When its last message arrived.
    pub last_heard: Instant,
    /// Whether the link to it was lost since its last message, so that its process may have ended.
    pub lost: bool,
    /// Whether a link that this VM dialed is open.
    pub linked: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether it reaches no targets itself.
    pub cut_off: bool,
    /// Whether it begins streams at the versions that follow from their shares, as all builds but
    /// older ones do.
    pub shares_versions: bool,
    /// Revision of the store up to which it knows every change.
    pub as_of: StoreRevision,
    /// Changes of the store that it knows one by one; `None` if it has not told them, as older
    /// builds never do.
    pub history: Option<History>,
    /// The content of the store that it last told.
    pub content: Option<KnownContent>,
    /// Whether it watches the store itself and the store answers it.
    pub watches_store: bool,
    /// Version of the configuration that it has in force.
    pub configuration: u64,
    /// Load of each pool whose calls it fills.
    pub pools: HashMap<String, PoolLoad>,
    /// Pieces of its requests that are not submitted yet, for each pool.
    pub incoming: HashMap<String, f64>,
}

impl PeerVm {
    /// A peer of which nothing is known except when its last message arrived.
    pub fn new(last_heard: Instant) -> Self {
        PeerVm {
            incarnation: 0,
            entry: None,
            last_heard,
            lost: false,
            linked: false,
            draining: false,
            cut_off: false,
            shares_versions: false,
            as_of: StoreRevision::default(),
            history: None,
            content: None,
            watches_store: false,
            configuration: 0,
            pools: HashMap::new(),
            incoming: HashMap::new(),
        }
    }

    /// Why this peer takes no work; call it only for a peer that takes none.
    pub(crate) fn ineligible_reason(&self, now: Instant) -> &'static str {
        match () {
            () if self.lost => "lost",
            () if self.draining => "stops",
            () if !self.is_fresh(now) => "silent",
            () if !self.linked => "not linked",
            () => "older configuration",
        }
    }

    /// Whether it sent a message within [`PEER_TIMEOUT`] and its link was not lost since.
    pub fn is_fresh(&self, now: Instant) -> bool {
        !self.lost && now.saturating_duration_since(self.last_heard) <= PEER_TIMEOUT
    }
}
