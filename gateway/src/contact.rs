//! Contact with the platform's store: whether it answers, and since when.

use std::time::{Duration, Instant};

use crate::store_connection::SILENCE_WAIT;

/// Entries that lapsed while the store was away come back within this time of its return, if
/// their targets live.
const LAPSE_GRACE: Duration = Duration::from_millis(2100);
/// The store counts as away when nothing was heard from it for this long.
const STORE_SILENCE: Duration = Duration::from_millis(2500);

/// Contact with the store.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Contact {
    last: Option<Instant>,
    /// When an answer that is being read last brought bytes.
    bytes: Option<Instant>,
    lost: bool,
    back: Option<Instant>,
}

impl Contact {
    /// A whole answer came from the store; says whether it had been lost.
    pub(crate) fn heard(&mut self, now: Instant) -> bool {
        self.last = Some(now);
        let regained = self.lost;
        if regained {
            self.lost = false;
            self.back = Some(now);
        }
        regained
    }

    /// An answer that is being read brought bytes.
    pub(crate) fn brought_bytes(&mut self, now: Instant) {
        self.bytes = Some(now);
    }

    /// A call to the store failed; says whether it had not been lost before. While another call
    /// brings bytes the store is not lost.
    pub(crate) fn failed(&mut self, now: Instant) -> bool {
        if self.brings_bytes(now) {
            return false;
        }
        let newly = !self.lost;
        self.lost = true;
        newly
    }

    /// Whether an answer is being read.
    pub(crate) fn brings_bytes(&self, now: Instant) -> bool {
        self.bytes.is_some_and(|at| now.saturating_duration_since(at) < SILENCE_WAIT)
    }

    /// Whether the store is out of reach.
    pub(crate) fn is_lost(&self, now: Instant) -> bool {
        let silent = |at: Instant| now.saturating_duration_since(at) > STORE_SILENCE;
        self.lost || self.last.is_none_or(silent)
    }

    /// How long ago the store was heard.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.last.map(|at| now.saturating_duration_since(at))
    }

    /// Until when entries that lapse are kept, if the store is away or was until just now.
    pub(crate) fn grace_until(&self, now: Instant) -> Option<Instant> {
        if self.is_lost(now) {
            return Some(now + LAPSE_GRACE);
        }
        self.back.map(|at| at + LAPSE_GRACE).filter(|until| *until > now)
    }
}
