//! Decides by which way a VM connects to targets: directly, or relayed by a peer that reaches them.
//!
//! A target that a peer reaches while this VM does not is up; the path to it is broken. A VM to
//! which this happens with several targets is cut off: it does not wait for each further target to
//! fail, and relays nothing for others. Used by the `gateway` crate.

mod relays;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ids::{TargetName, VmName};

pub use relays::{RelayCandidate, rank_relays};

/// Targets that only peers reach, with no direct connection since, from which on this VM counts as
/// cut off. More than one, since a single path may break by itself.
const MIN_CUT_TARGETS: usize = 2;
/// Interval between two direct connections to a target to see whether its path is whole again.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// One in this many targets with broken paths is probed at a time.
const PROBED_DIVISOR: usize = 16;
/// Targets that are probed at a time if this fraction is less.
const MIN_PROBED: usize = 3;
/// A path counts as whole again if no connection was relayed for this long.
const PATH_RETENTION: Duration = Duration::from_secs(20);
/// Time for which a peer that failed to relay a connection is not asked again.
const PEER_AVOIDANCE: Duration = Duration::from_secs(1);

/// Way to connect to a target that is tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// From this VM.
    Direct,
    /// Relayed by a peer.
    Relayed,
}

/// Change of whether this VM reaches targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It reaches none any more.
    CutOff,
    /// It reaches some again.
    Restored,
}

/// A target that only peers reach.
#[derive(Debug, Clone, Copy)]
struct BrokenPath {
    /// When a direct connection failed that a peer could open.
    broken_at: Instant,
    /// When a peer last reached the target.
    relayed_at: Instant,
    /// When a direct connection was last tried.
    probed_at: Instant,
}

/// What a VM knows of the paths to its targets.
#[derive(Debug, Default)]
pub struct TargetPaths {
    broken: HashMap<TargetName, BrokenPath>,
    cut_off: bool,
    connected_at: Option<Instant>,
    /// Peers that failed to relay a connection, and until when they are not asked again.
    avoided: HashMap<VmName, Instant>,
}

impl TargetPaths {
    /// The way that is tried first for a target.
    pub fn path_to(&self, target: &TargetName) -> Path {
        if self.cut_off || self.broken.contains_key(target) { Path::Relayed } else { Path::Direct }
    }

    /// Whether this VM is cut off from targets.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Number of targets that only peers reached so far.
    pub fn broken_paths(&self) -> usize {
        self.broken.len()
    }

    /// Records that a direct connection to a target was opened. The paths to other targets stay
    /// broken until a direct connection to each is opened: only a part of them may be whole again.
    pub fn record_connected(&mut self, target: &TargetName, now: Instant) -> Option<Change> {
        self.connected_at = Some(now);
        self.broken.remove(target);
        std::mem::take(&mut self.cut_off).then_some(Change::Restored)
    }

    /// Records that a peer reached a target to which this VM could not connect, or did not try to
    /// since the path is known to be broken.
    pub fn record_relayed(&mut self, target: &TargetName, now: Instant) -> Option<Change> {
        let new = BrokenPath { broken_at: now, relayed_at: now, probed_at: now };
        self.broken.entry(target.clone()).or_insert(new).relayed_at = now;
        let since_connected =
            |path: &&BrokenPath| self.connected_at.is_none_or(|at| path.broken_at > at);
        let is_cut_off = self.broken.values().filter(since_connected).count() >= MIN_CUT_TARGETS;
        let newly = is_cut_off && !self.cut_off;
        self.cut_off |= is_cut_off;
        newly.then_some(Change::CutOff)
    }

    /// Targets to connect to directly now, to see whether their paths are whole again: a fraction of
    /// those with broken paths, the ones that were not tried for longest first.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<TargetName> {
        let is_due =
            |path: &BrokenPath| now.saturating_duration_since(path.probed_at) >= PROBE_INTERVAL;
        let mut due: Vec<(Instant, TargetName)> = self
            .broken
            .iter()
            .filter(|(_, path)| is_due(path))
            .map(|(target, path)| (path.probed_at, target.clone()))
            .collect();
        due.sort_unstable();
        due.truncate((self.broken.len() / PROBED_DIVISOR).max(MIN_PROBED));
        for (_, target) in &due {
            if let Some(path) = self.broken.get_mut(target) {
                path.probed_at = now;
            }
        }
        due.into_iter().map(|(_, target)| target).collect()
    }

    /// Drops what was learned too long ago. Returns whether this VM is no longer cut off by that.
    pub fn remove_expired(&mut self, now: Instant) -> Option<Change> {
        self.avoided.retain(|_, until| *until > now);
        self.broken
            .retain(|_, path| now.saturating_duration_since(path.relayed_at) < PATH_RETENTION);
        if !self.broken.is_empty() || !std::mem::take(&mut self.cut_off) {
            return None;
        }
        Some(Change::Restored)
    }

    /// Records that a peer failed to relay a connection.
    pub fn record_relay_failure(&mut self, vm: &VmName, now: Instant) {
        self.avoided.insert(vm.clone(), now + PEER_AVOIDANCE);
    }

    /// Whether a peer has failed to relay a connection just now.
    pub fn is_avoided(&self, vm: &VmName, now: Instant) -> bool {
        self.avoided.get(vm).is_some_and(|until| *until > now)
    }
}
