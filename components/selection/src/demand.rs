//! How much of the fleet's demand for a service arrives at this VM. Load balancers don't always
//! spread callers equally.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time over which the requests of a VM are counted.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Time for which what a peer told is used: several heartbeats.
const PEER_TTL: Duration = Duration::from_secs(2);
/// Requests that may have been expected where none came: the upper limit of their mean at 95%
/// confidence ("rule of three"). Without it, each VM of a large fleet that gets a request while the
/// few peers that it hears get none would take itself for the only one.
const UNSEEN_REQUESTS: f64 = 3.0;

/// Requests for one service that peers received within [`DEMAND_WINDOW`], as each told last.
#[derive(Debug, Default)]
pub struct PeerDemand {
    /// Requests of each peer, by a hash of its name, and when it told them.
    peers: HashMap<u64, (u32, Instant)>,
}

impl PeerDemand {
    /// Records what a peer told.
    pub fn record(&mut self, peer: u64, requests: u32, now: Instant) {
        self.peers.retain(|_, (_, at)| now.saturating_duration_since(*at) < PEER_TTL);
        self.peers.insert(peer, (requests, now));
    }

    /// Returns a cautious estimate of the fraction of the fleet's requests that arrive at this VM,
    /// which received `own` of them. In a fleet of `vms` VMs, those that told nothing are taken for
    /// the mean of the others. `None` if nobody told anything.
    pub fn own_fraction(&self, own: usize, vms: usize, now: Instant) -> Option<f64> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < PEER_TTL;
        let recent = self.peers.values().filter(|(_, at)| is_recent(at));
        let told: Vec<f64> = recent.map(|(requests, _)| f64::from(*requests)).collect();
        if told.is_empty() || own == 0 {
            return None;
        }
        let mean = (told.iter().sum::<f64>() + UNSEEN_REQUESTS) / told.len() as f64;
        let own = own as f64;
        Some(own / (own + mean * vms.saturating_sub(1) as f64))
    }
}
