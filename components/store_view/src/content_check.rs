//! Finds out that this VM and its peers know different content at the same revision, whatever the
//! cause, and who has to read it anew.

use std::time::{Duration, Instant};

use crate::ContentDigest;

/// Time for which contents have to differ. Shortly after a listing whose pages are of different
/// revisions, they may.
const PATIENCE: Duration = Duration::from_secs(3);
/// Shortest time between two readings, which bounds what they cost if the cause remains.
const READING_INTERVAL: Duration = Duration::from_secs(60);

/// Numbers of peers that know content at this VM's revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Comparison {
    /// Peers with the same content.
    pub agreeing: usize,
    /// Peers with other content.
    pub differing: usize,
}

impl Comparison {
    /// Compares this VM's content with that of peers; those at other revisions are left out.
    pub fn new(own: ContentDigest, peers: impl Iterator<Item = ContentDigest>) -> Self {
        let mut comparison = Comparison { agreeing: 0, differing: 0 };
        for peer in peers.filter(|peer| peer.as_of == own.as_of) {
            if peer.hash == own.hash {
                comparison.agreeing += 1;
            } else {
                comparison.differing += 1;
            }
        }
        comparison
    }

    /// Whether this VM's content may be wrong: with this VM counted as well, it is not known to more
    /// VMs than other content is.
    fn is_suspicious(self) -> bool {
        self.differing > self.agreeing
    }
}

/// Tracks for how long the content of this VM has differed from that of its peers.
#[derive(Debug, Default)]
pub struct ContentCheck {
    differs_since: Option<Instant>,
    last_reading: Option<Instant>,
}

impl ContentCheck {
    /// Records a comparison; returns whether this VM has to read the content anew. That is said
    /// once for each reading.
    pub fn update(&mut self, comparison: Comparison, now: Instant) -> bool {
        if !comparison.is_suspicious() {
            if comparison.agreeing > 0 {
                self.differs_since = None;
            }
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let has_lasted = now.saturating_duration_since(since) >= PATIENCE;
        let has_just_read = self
            .last_reading
            .is_some_and(|at| now.saturating_duration_since(at) < READING_INTERVAL);
        if !has_lasted || has_just_read {
            return false;
        }
        self.differs_since = None;
        self.last_reading = Some(now);
        true
    }
}
