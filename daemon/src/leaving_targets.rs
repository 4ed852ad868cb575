//! Which targets are leaving, by first-hand word or by word from peers; the first word wins.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use ids::TargetName;

/// A first-hand word holds for this long after it was last heard.
const REPORT_TTL: Duration = Duration::from_secs(60);

/// First-hand words on leaving: from the VM list or from the target itself.
///
/// Only these are passed on, so that two VMs can't keep a word alive between them.
#[derive(Debug, Default)]
pub(crate) struct LeavingTargets {
    first_hand: HashMap<TargetName, Instant>,
}

impl LeavingTargets {
    /// Notes a first-hand word; says whether it is new.
    pub(crate) fn record(&mut self, name: TargetName, now: Instant) -> bool {
        self.first_hand.insert(name, now).is_none()
    }

    /// Drops words on targets that are no longer declared; one that is declared again is new.
    pub(crate) fn retain_declared(&mut self, declared: impl Fn(&TargetName) -> bool) {
        self.first_hand.retain(|name, _| declared(name));
    }

    /// Drops words that are too old.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.first_hand.retain(|_, at| now.saturating_duration_since(*at) < REPORT_TTL);
    }

    /// The first-hand words, to pass on.
    pub(crate) fn first_hand(&self) -> impl Iterator<Item = &TargetName> {
        self.first_hand.keys()
    }

    /// All targets that leave, with what peers say.
    pub(crate) fn all_leaving<'a>(
        &'a self,
        peers: impl Iterator<Item = &'a TargetName>,
    ) -> HashSet<&'a TargetName> {
        self.first_hand.keys().chain(peers).collect()
    }
}
