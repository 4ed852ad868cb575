//! The shares of a service's versions over time: what the store holds, and what a VM knows.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rollout::TargetVersion;
use serde::{Deserialize, Serialize};

use crate::key::StreamKey;
use crate::shares::Shares;

/// Shares are written anew when this fraction of the streams would begin at another version.
const MAX_DRIFT: f64 = 0.1;
/// A deviation that goes on is written again after this fraction (1/n) of the time for which it
/// holds, so that it holds for as long as the streams that began meanwhile may be resumed.
const DEVIATION_RENEWALS: u32 = 4;
/// Fraction of a version's streams that may begin at another one at first.
const FIRST_FRACTION: f64 = 0.25;
/// The fraction is doubled if it does not suffice for this long.
const FRACTION_TRIAL: Duration = Duration::from_secs(2);
/// Most shares of the past that a plan holds, which bounds its size in the store.
const MAX_EARLIER: usize = 32;

/// Some streams that should begin at a version may begin at another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Deviation {
    /// The version that the shares name.
    version: TargetVersion,
    /// Fraction of its streams that may.
    fraction: f64,
    /// Rises with each renewal.
    count: u64,
}

impl Deviation {
    fn concerns(&self, version: &TargetVersion, stream: StreamKey) -> bool {
        self.version == *version && stream.deviation_draw() < self.fraction
    }
}

/// Which streams of a version have to begin at another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeviationNeed {
    /// Some of those that may already.
    Known,
    /// More than those: its targets have no free slot, those of another version have.
    More,
    /// All: none of its targets can be used.
    All,
}

/// The plan of a service in the platform's store.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Shares of streams that begin now.
    pub shares: Shares,
    /// Shares of streams that began before and may still be resumed.
    earlier: Vec<Shares>,
    /// Versions whose streams may have begun at another one.
    deviations: Vec<Deviation>,
}

/// Shares that were in force.
#[derive(Debug)]
struct PastShares {
    shares: Shares,
    /// When this VM learned that others replaced them, or that they had been in force.
    since: Instant,
}

/// A deviation and when this VM learned of it.
#[derive(Debug)]
struct KnownDeviation {
    deviation: Deviation,
    since: Instant,
}

/// What a VM knows of the plan of a service.
#[derive(Debug, Default)]
pub struct VersionPlan {
    /// The plan in the store; `None` if it holds none.
    stored: Option<Plan>,
    /// Shares in force: those of the plan, or those of the targets that were known first.
    current: Shares,
    past: Vec<PastShares>,
    deviations: Vec<KnownDeviation>,
}

impl VersionPlan {
    /// Sets the shares in force before a plan is stored. Later calls change nothing: what the first
    /// targets were is needed to tell the versions of streams that began then.
    pub fn set_initial(&mut self, shares: Shares) {
        if !self.has_shares() {
            self.current = shares;
        }
    }

    /// The shares in force.
    pub fn shares(&self) -> &Shares {
        &self.current
    }

    /// Whether the store holds a plan.
    pub fn is_stored(&self) -> bool {
        self.stored.is_some()
    }

    /// Whether shares are in force.
    pub fn has_shares(&self) -> bool {
        !self.current.is_empty()
    }

    /// Applies the plan in the store. What it no longer names stays known for as long as streams of
    /// that time may be resumed, also when the store came back from an older copy.
    pub fn apply(&mut self, plan: Plan, now: Instant) {
        let replaced = std::mem::replace(&mut self.current, plan.shares.clone());
        self.add_past(replaced, now);
        plan.earlier.iter().for_each(|shares| self.add_known_past(shares, now));
        for deviation in &plan.deviations {
            self.add_deviation(deviation.clone(), now);
        }
        self.stored = Some(plan);
    }

    /// Applies that the store holds no plan any more.
    pub fn remove_stored(&mut self) {
        self.stored = None;
    }

    /// The versions in the order in which they are tried for a new stream.
    pub fn ranked(&self, stream: StreamKey) -> Vec<&TargetVersion> {
        self.current.ranked(stream)
    }

    /// The version at which a new stream should begin.
    pub fn version_of(&self, stream: StreamKey) -> Option<&TargetVersion> {
        self.current.version_of(stream)
    }

    /// The version at which a stream began, if all shares of the last `horizon` agree on it.
    pub fn origin(
        &self,
        stream: StreamKey,
        horizon: Duration,
        now: Instant,
    ) -> Option<&TargetVersion> {
        let origin = self.current.version_of(stream)?;
        let agrees = |shares: &Shares| shares.version_of(stream) == Some(origin);
        let is_known = self.recent_past(horizon, now).all(agrees);
        (is_known && !self.may_deviate(origin, stream, horizon, now)).then_some(origin)
    }

    /// The only version at which streams of the last `horizon` began; `None` if there were several.
    pub fn sole_version(&self, horizon: Duration, now: Instant) -> Option<&TargetVersion> {
        let past = self.recent_past(horizon, now).flat_map(Shares::versions);
        let versions: BTreeSet<_> = self.current.versions().into_iter().chain(past).collect();
        let is_sole = versions.len() == 1 && self.recent_deviations(horizon, now).next().is_none();
        versions.into_iter().next().filter(|_| is_sole)
    }

    /// Whether the shares of the last `horizon` name all of these versions. If not, streams may have
    /// begun at one of them since, before all VMs could know that from the store.
    pub fn covers<'a>(
        &self,
        versions: impl IntoIterator<Item = &'a TargetVersion>,
        horizon: Duration,
        now: Instant,
    ) -> bool {
        let past = self.recent_past(horizon, now).flat_map(Shares::versions);
        let named: BTreeSet<_> = self.current.versions().into_iter().chain(past).collect();
        versions.into_iter().all(|version| named.contains(version))
    }

    /// The plan to store next, given the shares that the targets would have now; `None` if the stored
    /// one holds. A service with one version from the start needs none.
    pub fn next(&self, wanted: &Shares, horizon: Duration, now: Instant) -> Option<Plan> {
        if wanted.is_empty() {
            return None;
        }
        let is_new_set = self.current.versions() != wanted.versions();
        let is_first = self.stored.is_none() && wanted.versions().len() > 1;
        let has_drifted = self.stored.is_some() && self.current.drift(wanted) > MAX_DRIFT;
        if is_new_set || is_first || has_drifted {
            return Some(self.plan(wanted, horizon, now));
        }
        let kept = self.plan(&self.current, horizon, now);
        let is_shorter = |stored: &Plan| {
            kept.earlier.len() < stored.earlier.len()
                || kept.deviations.len() < stored.deviations.len()
        };
        self.stored.as_ref().is_some_and(is_shorter).then_some(kept)
    }

    /// The plan to store next so that streams of `version` may begin at another one; `None` if the
    /// stored one says so and will for long enough.
    pub fn with_deviation(
        &self,
        version: &TargetVersion,
        need: DeviationNeed,
        horizon: Duration,
        now: Instant,
    ) -> Option<Plan> {
        let known = self.deviations.iter().find(|known| known.deviation.version == *version);
        let age = known.map(|known| now.saturating_duration_since(known.since));
        let known = known.filter(|_| age.is_some_and(|age| age < horizon));
        let renewed_after = horizon / DEVIATION_RENEWALS;
        let present = known.map_or(0.0, |known| known.deviation.fraction);
        let fraction = match need {
            DeviationNeed::All => 1.0,
            DeviationNeed::More if age.is_none_or(|age| age >= FRACTION_TRIAL) => {
                (present * 2.0).clamp(FIRST_FRACTION, 1.0)
            }
            DeviationNeed::Known | DeviationNeed::More => present.max(FIRST_FRACTION),
        };
        let is_stored = self.stored.as_ref().is_some_and(|stored| {
            let is_it = |other: &Deviation| other.version == *version && other.fraction >= fraction;
            stored.deviations.iter().any(is_it)
        });
        if is_stored && age.is_some_and(|age| age < renewed_after) {
            return None;
        }
        let count = known.map_or(1, |known| known.deviation.count + 1);
        let mut plan = self.plan(&self.current, horizon, now);
        plan.deviations.retain(|deviation| deviation.version != *version);
        plan.deviations.push(Deviation { version: version.clone(), fraction, count });
        Some(plan)
    }

    /// Whether all VMs can know that a stream which should begin at a version may begin at another
    /// one.
    pub fn may_deviate(
        &self,
        version: &TargetVersion,
        stream: StreamKey,
        horizon: Duration,
        now: Instant,
    ) -> bool {
        self.recent_deviations(horizon, now).any(|known| known.concerns(version, stream))
    }

    /// A plan with these shares in force and everything that may still matter.
    fn plan(&self, shares: &Shares, horizon: Duration, now: Instant) -> Plan {
        let mut earlier: Vec<Shares> = Vec::new();
        let current = Some(&self.current).filter(|current| !current.is_empty());
        for past in current.into_iter().chain(self.recent_past(horizon, now)) {
            if past != shares && !earlier.contains(past) {
                earlier.push(past.clone());
            }
        }
        earlier.truncate(MAX_EARLIER);
        let deviations = self.recent_deviations(horizon, now).cloned().collect();
        Plan { shares: shares.clone(), earlier, deviations }
    }

    /// Shares that were in force within the last `horizon`, the latest first.
    pub fn recent_past(&self, horizon: Duration, now: Instant) -> impl Iterator<Item = &Shares> {
        let is_recent =
            move |past: &&PastShares| now.saturating_duration_since(past.since) < horizon;
        self.past.iter().rev().filter(is_recent).map(|past| &past.shares)
    }

    fn recent_deviations(
        &self,
        horizon: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &Deviation> {
        let is_recent =
            move |known: &&KnownDeviation| now.saturating_duration_since(known.since) < horizon;
        self.deviations.iter().filter(is_recent).map(|known| &known.deviation)
    }

    /// Records that shares are no longer in force.
    fn add_past(&mut self, shares: Shares, now: Instant) {
        if shares.is_empty() || shares == self.current {
            return;
        }
        self.past.retain(|past| past.shares != shares);
        self.past.push(PastShares { shares, since: now });
        if self.past.len() > MAX_EARLIER {
            self.past.remove(0);
        }
    }

    /// Records shares that the store names as past ones, unless they are known.
    fn add_known_past(&mut self, shares: &Shares, now: Instant) {
        if !self.past.iter().any(|past| past.shares == *shares) {
            self.add_past(shares.clone(), now);
        }
    }

    fn add_deviation(&mut self, deviation: Deviation, now: Instant) {
        let known = self.deviations.iter().any(|known| known.deviation == deviation);
        if !known {
            self.deviations.retain(|known| known.deviation.version != deviation.version);
            self.deviations.push(KnownDeviation { deviation, since: now });
        }
    }
}
