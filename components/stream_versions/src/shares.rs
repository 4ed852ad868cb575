//! Shares of a service's versions in its new streams.

use std::collections::{BTreeMap, BTreeSet};

use rollout::{TargetVersion, Versions};
use serde::{Deserialize, Serialize};

use crate::key::StreamKey;

/// Weight of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Weight {
    version: TargetVersion,
    /// Requests that its targets run at once.
    slots: u64,
}

/// A version that gets at most a fraction of the streams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Limit {
    version: TargetVersion,
    fraction: f64,
}

/// Shares of a service's versions in its new streams. Equal shares give equal versions on all VMs
/// and in all builds.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shares {
    /// Versions without a limit, in order.
    weights: Vec<Weight>,
    /// A version that a rollout limits.
    limit: Option<Limit>,
}

impl Shares {
    /// Shares by the slots of each version's targets, within what a rollout allows.
    pub fn new(slots: BTreeMap<TargetVersion, u64>, allowed: &Versions) -> Self {
        let limited = match allowed {
            Versions::Limited(version, fraction) => Some((Some(version.clone()), *fraction)),
            _ => None,
        };
        let is_limited = |version: &TargetVersion| {
            limited.as_ref().is_some_and(|(limited, _)| limited == version)
        };
        let (in_limit, free): (Vec<_>, Vec<_>) = slots
            .into_iter()
            .filter(|(version, slots)| *slots > 0 && allowed.permits(version.as_ref()))
            .map(|(version, slots)| Weight { version, slots })
            .partition(|weight| is_limited(&weight.version));
        if free.is_empty() {
            return Shares { weights: in_limit, limit: None };
        }
        let limit = limited.filter(|_| !in_limit.is_empty());
        let limit = limit.map(|(version, fraction)| Limit { version, fraction });
        Shares { weights: free, limit }
    }

    /// The version at which a stream begins; `None` if there is none.
    pub fn version_of(&self, stream: StreamKey) -> Option<&TargetVersion> {
        self.ranked(stream).first().copied()
    }

    /// All versions, in the order in which they are tried for a stream. A change of a weight changes
    /// the first one for few streams.
    pub fn ranked(&self, stream: StreamKey) -> Vec<&TargetVersion> {
        let mut scored: Vec<(f64, &TargetVersion)> =
            self.weights.iter().map(|weight| (score(stream, weight), &weight.version)).collect();
        scored.sort_by(|(a, x), (b, y)| b.total_cmp(a).then_with(|| x.cmp(y)));
        let mut ranked: Vec<&TargetVersion> = scored.into_iter().map(|(_, of)| of).collect();
        if let Some(Limit { version, fraction }) = &self.limit {
            let place = if stream.fraction() < *fraction { 0 } else { ranked.len() };
            ranked.insert(place, version);
        }
        ranked
    }

    /// The versions.
    pub fn versions(&self) -> BTreeSet<&TargetVersion> {
        let limited = self.limit.iter().map(|limit| &limit.version);
        self.weights.iter().map(|weight| &weight.version).chain(limited).collect()
    }

    /// Whether there is no version.
    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// Fraction of the streams that begin at another version than with `other`, roughly.
    pub fn drift(&self, other: &Shares) -> f64 {
        let versions: BTreeSet<_> = self.versions().union(&other.versions()).copied().collect();
        let change = |version| (self.fraction_of(version) - other.fraction_of(version)).abs();
        versions.into_iter().map(change).sum::<f64>() / 2.0
    }

    /// Fraction of the streams that begin at a version.
    pub fn fraction_of(&self, version: &TargetVersion) -> f64 {
        let limited = self.limit.as_ref().map_or(0.0, |limit| limit.fraction);
        if self.limit.as_ref().is_some_and(|limit| limit.version == *version) {
            return limited;
        }
        let all: u64 = self.weights.iter().map(|weight| weight.slots).sum();
        let own = self.weights.iter().find(|weight| weight.version == *version);
        own.map_or(0.0, |own| own.slots as f64 / all as f64 * (1.0 - limited))
    }
}

/// Score of a version for a stream by weighted rendezvous hashing; the highest one ranks first.
fn score(stream: StreamKey, weight: &Weight) -> f64 {
    let name = weight.version.as_ref().map_or("", |version| version.as_str());
    let hash = hashing::combine(stream.0, hashing::hash_text(name));
    hashing::unit_fraction(hash).ln() / weight.slots as f64
}
