//! Choice of a target among those that a stage's selector allows: by prefix affinity, or the less
//! loaded of two random ones.

use std::time::Instant;

use ids::HallName;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::target::{TargetKey, TargetState};

/// Routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// All decisions of this crate: limits, queues, ejection, admission and affinity.
    #[default]
    Adaptive,
    /// Round robin without limits, as a baseline for comparison.
    RoundRobin,
    /// First usable target in the order of names, without limits, as a baseline for comparison.
    FirstInOrder,
}

/// Maximum load of a prefix's home target, as a multiple of the mean load, at which it gets the
/// call. The home target is likely to have the prefix cached.
const AFFINITY_BOUND: f64 = 1.25;
/// Load per slot up to which a prefix's home target gets the call whatever the mean load is.
const AFFINITY_FREE_LOAD: f64 = 0.5;

/// Key and state of a target that may be chosen.
pub(crate) type Candidate<'a> = (TargetKey, &'a TargetState);

/// Chooses a candidate, preferring those of the own hall, and returns it with the reason.
pub(crate) fn choose(
    candidates: &[Candidate<'_>],
    own_hall: &HallName,
    prefix: Option<u64>,
    now: Instant,
    rng: &mut SmallRng,
) -> Option<(TargetKey, String)> {
    let same_hall: Vec<Candidate<'_>> =
        candidates.iter().copied().filter(|(_, t)| t.hall == *own_hall).collect();
    let (among, place) = if same_hall.is_empty() {
        (candidates, "other hall")
    } else {
        (same_hall.as_slice(), "own hall")
    };
    let home = prefix.and_then(|prefix| home_of(among, prefix, now));
    if let Some((key, load)) = home {
        return Some((key, format!("{place}, prefix home, load {load:.2} of {}", among.len())));
    }
    let (key, load) = less_loaded_of_two(among, now, rng)?;
    Some((key, format!("{place}, load {load:.2}, less of two from {}", among.len())))
}

/// Returns the less loaded of two random candidates, with its load.
fn less_loaded_of_two(
    among: &[Candidate<'_>],
    now: Instant,
    rng: &mut SmallRng,
) -> Option<(TargetKey, f64)> {
    let count = among.len();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    // Differs from `first` if there are at least two candidates.
    let second = (first + rng.random_range(0..count.max(2) - 1) + 1) % count;
    let load = |index: usize| (among[index].0, among[index].1.load(now));
    let (a, b) = (load(first), load(second));
    Some(if b.1 < a.1 { b } else { a })
}

/// Home target of the prefix, that is the first by rendezvous hashing, and its load. `None` if the
/// load exceeds the bounds.
fn home_of(among: &[Candidate<'_>], prefix: u64, now: Instant) -> Option<(TargetKey, f64)> {
    let (key, home) = among.iter().max_by_key(|(_, t)| rendezvous(prefix, t.name.as_str()))?;
    let total: f64 = among.iter().map(|(_, t)| t.load(now)).sum();
    let mean = total / among.len() as f64;
    let load = home.load(now);
    (load <= AFFINITY_FREE_LOAD || load <= mean * AFFINITY_BOUND).then_some((*key, load))
}

fn rendezvous(prefix: u64, name: &str) -> u64 {
    hashing::combine(prefix, hashing::hash_text(name))
}
