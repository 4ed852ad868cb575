//! Whether what this VM knows of the store stands still while peers know more: a watch whose connection fell silent
//! tells nothing until its longest wait is over, though other calls to the store are answered.

use std::time::{Duration, Instant};

/// How long a VM has been behind its peers without learning anything itself.
#[derive(Debug, Default)]
pub struct StallDetector {
    known: u64,
    since: Option<Instant>,
}

impl StallDetector {
    /// Takes the revisions up to which this VM and the peer that knows most know the store.
    pub fn update(&mut self, own: u64, peers: u64, now: Instant) {
        let moves = own != self.known;
        self.known = own;
        if peers <= own {
            self.since = None;
        } else if moves || self.since.is_none() {
            self.since = Some(now);
        }
    }

    /// Whether it has lasted for some time.
    pub fn has_stalled_for(&self, time: Duration, now: Instant) -> bool {
        self.since.is_some_and(|since| now.saturating_duration_since(since) >= time)
    }
}
