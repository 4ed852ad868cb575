//! The choice of peers that relay connections.

use ids::VmName;
use rand::Rng;
use rand::seq::SliceRandom;

/// Peers whose numbers of relayed connections differ by less than this count as equally loaded.
const LOAD_STEP: usize = 8;

/// A peer that may relay a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The peer.
    pub vm: VmName,
    /// Whether it is in the hall of the target.
    pub is_near_target: bool,
    /// Whether it has failed to relay a connection just now.
    pub is_avoided: bool,
    /// Connections that it relays for this VM.
    pub relayed: usize,
}

/// Orders peers by preference and keeps at most `max_count`. Peers that just failed come last,
/// peers with fewer connections of this VM first, and of these the ones near the target, since a
/// detour crosses halls twice. Equal peers are ordered at random, so that the VMs of a hall that
/// lose their targets together do not all choose the same.
pub fn rank_relays(
    mut candidates: Vec<RelayCandidate>,
    max_count: usize,
    rng: &mut impl Rng,
) -> Vec<VmName> {
    candidates.shuffle(rng);
    candidates.sort_by_key(|candidate| {
        let load = candidate.relayed / LOAD_STEP;
        (candidate.is_avoided, load, !candidate.is_near_target)
    });
    candidates.truncate(max_count);
    candidates.into_iter().map(|candidate| candidate.vm).collect()
}
