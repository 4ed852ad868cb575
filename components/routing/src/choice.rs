//! Choice of a target among those that a stage's selector allows.

use std::time::Instant;

use ids::HallName;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::target::{TargetKey, TargetState};

/// Which decisions are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Everything this component offers.
    #[default]
    Adaptive,
    /// Round robin with no limits, as a baseline.
    RoundRobin,
    /// First usable in the order of names with no limits, as a baseline.
    FirstInOrder,
}

/// A prefix's home may be this much more loaded than the mean before others get the call.
const AFFINITY_BOUND: f64 = 1.25;
/// Load for each slot up to which a prefix's home is always taken.
const AFFINITY_FREE_LOAD: f64 = 0.5;

/// A target that may be chosen.
pub(crate) type Candidate<'a> = (TargetKey, &'a TargetState);

/// Chooses among candidates with room, the own hall's first; says why.
pub(crate) fn choose(
    candidates: &[Candidate<'_>],
    own_hall: &HallName,
    prefix: Option<u64>,
    now: Instant,
    rng: &mut SmallRng,
) -> Option<(TargetKey, String)> {
    let near: Vec<Candidate<'_>> =
        candidates.iter().copied().filter(|(_, t)| t.hall == *own_hall).collect();
    let (among, place) =
        if near.is_empty() { (candidates, "other hall") } else { (near.as_slice(), "own hall") };
    let home = prefix.and_then(|prefix| home_of(among, prefix, now));
    if let Some((key, load)) = home {
        return Some((key, format!("{place}, prefix home, load {load:.2} of {}", among.len())));
    }
    let (key, load) = less_loaded_of_two(among, now, rng)?;
    Some((key, format!("{place}, load {load:.2}, less of two from {}", among.len())))
}

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
    let second = (first + rng.random_range(0..count.max(2) - 1) + 1) % count;
    let load = |index: usize| (among[index].0, among[index].1.load(now));
    let (a, b) = (load(first), load(second));
    Some(if b.1 < a.1 { b } else { a })
}

/// The prefix's home by rendezvous hashing, if it is not loaded beyond the bound.
fn home_of(among: &[Candidate<'_>], prefix: u64, now: Instant) -> Option<(TargetKey, f64)> {
    let (key, home) = among.iter().max_by_key(|(_, t)| rendezvous(prefix, t.name.as_str()))?;
    let total: f64 = among.iter().map(|(_, t)| t.load(now)).sum();
    let mean = total / among.len() as f64;
    let load = home.load(now);
    (load <= AFFINITY_FREE_LOAD || load <= mean * AFFINITY_BOUND).then_some((*key, load))
}

fn rendezvous(prefix: u64, name: &str) -> u64 {
    hashing::combine(prefix, hashing::of_text(name))
}
