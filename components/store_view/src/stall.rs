//! Detects a watch of the store that has stalled: this VM's revision does not advance while peers
//! have a newer one.
//!
//! A watch whose connection fell silent reports nothing until its longest wait is over, although
//! other calls to the store are answered.

use std::time::{Duration, Instant};

use ids::StoreRevision;

/// Tracks for how long this VM has been behind its peers without advancing itself.
#[derive(Debug, Default)]
pub struct StallDetector {
    own_revision: StoreRevision,
    behind_since: Option<Instant>,
}

impl StallDetector {
    /// Records the revisions up to which this VM, and the most advanced of its peers, know the
    /// store.
    pub fn update(&mut self, own: StoreRevision, peers: StoreRevision, now: Instant) {
        let advanced = own != self.own_revision;
        self.own_revision = own;
        if peers <= own {
            self.behind_since = None;
        } else if advanced || self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// Whether this VM has been behind without advancing for at least `time`.
    pub fn has_stalled_for(&self, time: Duration, now: Instant) -> bool {
        self.behind_since.is_some_and(|since| now.saturating_duration_since(since) >= time)
    }
}
