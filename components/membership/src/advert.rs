//! Parts of gossip messages: adverts and heartbeats, in which a VM describes itself, and entries of
//! digests, which state how new the information is that a VM has of the others.

use std::net::SocketAddr;

use ids::{HallName, Incarnation, Revision, TargetName, VmName};
use serde::Serialize;

/// CRC-32 of the name of a VM or target, sent instead of the name to keep messages small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct NameHash(pub u32);

impl NameHash {
    /// The hash of a VM's name.
    pub fn of_vm(name: &VmName) -> Self {
        NameHash(crc32fast::hash(name.as_str().as_bytes()))
    }

    /// The hash of a target's name.
    pub fn of_target(name: &TargetName) -> Self {
        NameHash(crc32fast::hash(name.as_str().as_bytes()))
    }
}

/// A VM's description of itself, which the other VMs pass on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Advert {
    /// Name of the VM.
    pub vm: VmName,
    /// Data hall of the VM.
    pub hall: HallName,
    /// Address at which it accepts peer connections.
    pub peers: SocketAddr,
    /// Address of its operations page.
    pub operations: SocketAddr,
    /// The part that changes while its process runs.
    pub beat: Heartbeat,
}

/// The part of an advert that changes while a process runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Heartbeat {
    /// Hash of the VM's name.
    pub vm: NameHash,
    /// When its process started.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation, increased with each gossip round.
    pub sequence: u64,
    /// Revision of the configuration in force at the VM.
    pub revision: Revision,
    /// Whether the VM takes no new work.
    pub draining: bool,
    /// Calls in flight from the VM, by target.
    pub loads: Vec<(NameHash, u32)>,
    /// Targets that announced to this VM directly that they are leaving.
    pub leaving: Vec<TargetName>,
}

impl Heartbeat {
    /// Version for comparison: a later incarnation is newer, then a higher sequence number.
    pub fn version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

/// Newest version of one VM's heartbeat that the sender of a digest knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestEntry {
    /// Hash of the VM's name.
    pub vm: NameHash,
    /// Incarnation that is known.
    pub incarnation: Incarnation,
    /// Sequence number that is known within the incarnation.
    pub sequence: u64,
}

/// Age class of an advert, by the time since its last update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AdvertAge {
    /// The last update was received within the last few rounds.
    Fresh,
    /// The last update is older: the VM may be stopped, stalled or unreachable.
    Stale,
}
