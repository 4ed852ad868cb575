//! What VMs say of themselves.

use std::net::SocketAddr;

use ids::{HallName, Incarnation, Revision, TargetName, VmName};
use serde::Serialize;

/// CRC-32 of a VM's or target's name, by which news name it in few bytes.
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

/// What one VM says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Advert {
    /// Its name.
    pub vm: VmName,
    /// Its data hall.
    pub hall: HallName,
    /// Its peer link.
    pub peers: SocketAddr,
    /// Its operations page.
    pub operations: SocketAddr,
    /// What changes while its process runs.
    pub beat: Heartbeat,
}

/// The part of an advert that changes while a process runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Heartbeat {
    /// Hash of the VM's name.
    pub vm: NameHash,
    /// When its process started.
    pub incarnation: Incarnation,
    /// Rises with each round.
    pub sequence: u64,
    /// Revision in force there.
    pub revision: Revision,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Calls under way from there, by target.
    pub loads: Vec<(NameHash, u32)>,
    /// Targets that it knows first hand to leave.
    pub leaving: Vec<TargetName>,
}

impl Heartbeat {
    /// Order of a VM's beats: later incarnations, then later sequences, are newer.
    pub fn version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

/// How new a VM's news are that somebody has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestEntry {
    /// Hash of the VM's name.
    pub vm: NameHash,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Sequence within it.
    pub sequence: u64,
}

/// How long ago an advert's VM was last heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AdvertAge {
    /// Within the wait for a few rounds.
    Fresh,
    /// Longer ago: it may be dead, frozen or cut off.
    Stale,
}
