//! Targets that are leaving, reported first-hand or by peers. One report from either is enough.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use ids::TargetName;

/// A first-hand report expires this long after it was last received.
const REPORT_TTL: Duration = Duration::from_secs(60);

/// First-hand reports of leaving targets: from the VM list or from the target itself.
///
/// Only these are sent to peers, so that two VMs can't keep renewing each other's report.
#[derive(Debug, Default)]
pub(crate) struct LeavingTargets {
    first_hand: HashMap<TargetName, Instant>,
}

impl LeavingTargets {
    /// Records a first-hand report and returns whether it is new.
    pub(crate) fn record(&mut self, name: TargetName, now: Instant) -> bool {
        self.first_hand.insert(name, now).is_none()
    }

    /// Drops reports of targets that are no longer declared, so that a target declared again starts
    /// without one.
    pub(crate) fn retain_declared(&mut self, declared: impl Fn(&TargetName) -> bool) {
        self.first_hand.retain(|name, _| declared(name));
    }

    /// Drops expired reports.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.first_hand.retain(|_, at| now.saturating_duration_since(*at) < REPORT_TTL);
    }

    /// Targets with a first-hand report, to be sent to peers.
    pub(crate) fn first_hand(&self) -> impl Iterator<Item = &TargetName> {
        self.first_hand.keys()
    }

    /// All leaving targets: those reported first-hand and those reported by `peers`.
    pub(crate) fn all_leaving<'a>(
        &'a self,
        peers: impl Iterator<Item = &'a TargetName>,
    ) -> HashSet<&'a TargetName> {
        self.first_hand.keys().chain(peers).collect()
    }
}
