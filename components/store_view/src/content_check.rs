//! Finds out that this VM and its peers know different content at the same revision, whatever the
//! cause, and who has to read it anew.

use std::time::{Duration, Instant};

use crate::ContentDigest;

/// Time for which contents have to differ. Shortly after a listing whose pages are of different
/// revisions, they may.
const PATIENCE: Duration = Duration::from_secs(3);
/// Shortest time between two readings, which bounds what they cost if the cause remains.
const READING_INTERVAL: Duration = Duration::from_secs(60);

/// Content that a VM knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownContent {
    /// Its digest.
    pub digest: ContentDigest,
    /// Whether the VM read it from the store anew after it had differed from that of peers.
    pub is_confirmed: bool,
}

/// Numbers of peers that know content at this VM's revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Peers with the same content.
    pub agreeing: usize,
    /// Peers with other content.
    pub differing: usize,
    /// Peers with other content that is confirmed, while this VM's is not.
    pub contradicting: usize,
}

impl Comparison {
    /// Compares this VM's content with that of peers; those at other revisions are left out.
    pub fn new(own: KnownContent, peers: impl Iterator<Item = KnownContent>) -> Self {
        let mut comparison = Comparison::default();
        for peer in peers.filter(|peer| peer.digest.as_of == own.digest.as_of) {
            if peer.digest.hash == own.digest.hash {
                comparison.agreeing += 1;
                continue;
            }
            comparison.differing += 1;
            comparison.contradicting += usize::from(peer.is_confirmed && !own.is_confirmed);
        }
        comparison
    }

    /// Whether this VM's content may be wrong: with this VM counted as well, it is not known to more
    /// VMs than other content is, or a peer's is confirmed. VMs that missed the same change agree
    /// with each other, and may be most.
    fn is_suspicious(self) -> bool {
        self.differing > self.agreeing || self.contradicting > 0
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
    /// once for each reading, `delay` later than needed, so that not all VMs read at once.
    pub fn update(&mut self, comparison: Comparison, delay: Duration, now: Instant) -> bool {
        if !comparison.is_suspicious() {
            if comparison.agreeing > 0 {
                self.differs_since = None;
            }
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let has_lasted = now.saturating_duration_since(since) >= PATIENCE + delay;
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

    /// Whether this VM has read its content anew.
    pub fn has_read(&self) -> bool {
        self.last_reading.is_some()
    }
}
