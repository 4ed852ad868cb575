//! Contact with the platform's store: whether it answers this VM, and whether it answers any.
//!
//! Entries of targets that live may lapse while the store is away, and are kept for some time after its return. That
//! this VM lost the store does not mean that it was away: a renewal that came late, or a store that turns this VM
//! away, looks alike from here. Peers say when they were last answered, which tells the two apart: the store was away
//! if it answered nobody for as long as it takes one VM to miss it, or nobody since this VM lost it.

use std::time::{Duration, Instant};

/// Entries that lapsed while the store was away come back within this time of its return, if
/// their targets live.
const LAPSE_GRACE: Duration = Duration::from_millis(2100);
/// Longest silence before an answer and within one. A store answers in milliseconds; what fills a
/// link of 10 Mbit/s delays it by some hundred.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// The store counts as away when nothing was heard from it for this long.
const STORE_SILENCE: Duration = Duration::from_millis(2500);

/// Contact with the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreContact {
    last: Option<Instant>,
    /// When an answer that is being read last brought bytes.
    bytes: Option<Instant>,
    /// Since when it is lost.
    lost: Option<Instant>,
    /// Whether no peer was answered since then.
    by_all: bool,
    /// When it last answered this VM or a peer.
    answered: Option<Instant>,
    /// When it first answered one of them after it had been away.
    back: Option<Instant>,
}

impl StoreContact {
    /// A whole answer came from the store; says whether it had been lost.
    pub fn record_answer(&mut self, now: Instant) -> bool {
        self.last = Some(now);
        if self.is_away(now) {
            self.back = Some(now);
        }
        self.by_all = false;
        self.answered = Some(now);
        self.lost.take().is_some()
    }

    /// An answer that is being read brought bytes.
    pub fn record_bytes(&mut self, now: Instant) {
        self.bytes = Some(now);
    }

    /// A call to the store failed; says whether it had not been lost before. While another call
    /// brings bytes the store is not lost.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        if self.is_receiving(now) {
            return false;
        }
        let newly = self.lost.is_none();
        if newly {
            self.lost = Some(now);
            self.by_all = true;
        }
        newly
    }

    /// Whether an answer is being read.
    pub fn is_receiving(&self, now: Instant) -> bool {
        self.bytes.is_some_and(|at| now.saturating_duration_since(at) < SILENCE_TIMEOUT)
    }

    /// Whether the store is out of reach.
    pub fn is_lost(&self, now: Instant) -> bool {
        let silent = |at: Instant| now.saturating_duration_since(at) > STORE_SILENCE;
        self.lost.is_some() || self.last.is_none_or(silent)
    }

    /// How long ago the store was heard.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last.map(|at| now.saturating_duration_since(at))
    }

    /// The store answered a peer.
    pub fn record_peer_answer(&mut self, at: Instant) {
        if self.answered.is_some_and(|before| at <= before) {
            return;
        }
        if self.is_silent(at) {
            self.back = Some(at);
        }
        self.by_all &= self.lost.is_some_and(|lost| at <= lost);
        self.answered = Some(at);
    }

    /// Whether the store counts as away.
    fn is_away(&self, now: Instant) -> bool {
        self.by_all || self.is_silent(now)
    }

    /// Whether it answered nobody for so long that any VM would have missed it.
    fn is_silent(&self, now: Instant) -> bool {
        self.answered.is_some_and(|at| now.saturating_duration_since(at) >= STORE_SILENCE)
    }

    /// Until when an entry is kept that is heard now to have lapsed: some time after the store's return, or
    /// after now while it is away; `None` if that is over, so that the entry went with the store in reach. A VM
    /// that kept entries because it alone had lost the store sent to a target that was gone for 2.8 s after its
    /// peers knew (`tests/lapses.rs`), where some platforms bear 2 s.
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        let back = if self.is_away(now) { Some(now) } else { self.back };
        back.map(|at| at + LAPSE_GRACE).filter(|until| *until > now)
    }
}
