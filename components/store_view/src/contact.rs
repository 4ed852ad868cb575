//! Tracks whether the platform's store answers this VM, and whether it answers any VM.
//!
//! During an outage of the store the leases of live targets may expire, so their entries are kept
//! for a grace period after the store's return. A failed call of this VM does not prove an outage:
//! the store may reject only this VM, and an entry may have expired because its lease was renewed
//! too late. Peers report when the store last answered them, which tells these cases from an
//! outage: the store was down if it answered no VM for `STORE_TIMEOUT`, or no VM since this VM lost
//! it.

use std::time::{Duration, Instant};

/// Time after the store's return within which live targets register again the entries that expired
/// during the outage.
const EXPIRY_GRACE: Duration = Duration::from_millis(2100);
/// Maximum wait for the start of an answer, and between two reads of one. A store answers within
/// milliseconds; other traffic that saturates a link of 10 Mbit/s delays it by some hundred
/// milliseconds.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// A VM has lost the store if it got no answer for this long. The store counts as down if it
/// answered no VM for this long, since any VM would have noticed an outage by then.
const STORE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Who reported the removal of an entry to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reporter {
    /// The store itself.
    Store,
    /// Another VM, which read it from the store or received it from a peer of its own.
    Peer,
}

/// Time beyond the interval of this VM's calls after which it has lost the store: `STORE_TIMEOUT`
/// less the interval of a VM that follows the store itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);

/// State of the contact between the store and the VMs.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreContact {
    /// Longest interval between two answers to this VM that is usual; zero if unknown.
    answer_interval: Duration,
    /// When the store last answered this VM.
    last_answer: Option<Instant>,
    /// When bytes of an answer to this VM last arrived.
    last_bytes: Option<Instant>,
    /// Time of the first failed call since the last answer to this VM.
    lost_since: Option<Instant>,
    /// Whether calls of this VM fail and the store answered no peer since the first failed call.
    lost_by_all: bool,
    /// When the store last answered any VM.
    last_answer_to_any: Option<Instant>,
    /// When the store first answered any VM after its latest outage.
    returned: Option<Instant>,
}

impl StoreContact {
    /// Records a complete answer to this VM; returns whether the store had been lost before.
    pub fn record_answer(&mut self, now: Instant) -> bool {
        self.last_answer = Some(now);
        if self.is_down(now) {
            self.returned = Some(now);
        }
        self.lost_by_all = false;
        self.last_answer_to_any = Some(now);
        self.lost_since.take().is_some()
    }

    /// Records that bytes of an answer arrived.
    pub fn record_bytes(&mut self, now: Instant) {
        self.last_bytes = Some(now);
    }

    /// Records a failed call to the store; returns whether the store is lost only since this call.
    /// The failure is ignored while another call receives bytes.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        if self.is_receiving(now) {
            return false;
        }
        let newly = self.lost_since.is_none();
        if newly {
            self.lost_since = Some(now);
            self.lost_by_all = true;
        }
        newly
    }

    /// Whether bytes of an answer arrived within the last [`SILENCE_TIMEOUT`].
    pub fn is_receiving(&self, now: Instant) -> bool {
        self.last_bytes.is_some_and(|at| now.saturating_duration_since(at) < SILENCE_TIMEOUT)
    }

    /// Sets how often this VM calls the store.
    pub fn expect_answer_within(&mut self, interval: Duration) {
        self.answer_interval = interval;
    }

    /// Whether this VM has lost the store: a call failed since its last answer, or there was no
    /// answer for `STORE_TIMEOUT`, or for longer than the interval of its calls.
    pub fn is_lost(&self, now: Instant) -> bool {
        let limit = STORE_TIMEOUT.max(self.answer_interval + ANSWER_MARGIN);
        let silent = |at: Instant| now.saturating_duration_since(at) > limit;
        self.lost_since.is_some() || self.last_answer.is_none_or(silent)
    }

    /// Time since the store last answered this VM; `None` if it never did.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_answer.map(|at| now.saturating_duration_since(at))
    }

    /// Records that the store answered a peer at `at`. Reports older than the last known answer are
    /// ignored.
    pub fn record_peer_answer(&mut self, at: Instant) {
        if self.last_answer_to_any.is_some_and(|before| at <= before) {
            return;
        }
        if self.is_silent_to_all(at) {
            self.returned = Some(at);
        }
        self.lost_by_all &= self.lost_since.is_some_and(|lost| at <= lost);
        self.last_answer_to_any = Some(at);
    }

    /// Whether the store counts as down.
    fn is_down(&self, now: Instant) -> bool {
        self.lost_by_all || self.is_silent_to_all(now)
    }

    /// Whether the store answered a VM before, but none within the last `STORE_TIMEOUT`.
    fn is_silent_to_all(&self, now: Instant) -> bool {
        self.last_answer_to_any.is_some_and(|at| now.saturating_duration_since(at) >= STORE_TIMEOUT)
    }

    /// Until when to keep an entry whose removal is reported now: `EXPIRY_GRACE` after the store's
    /// return, or after `now` while the store is down. `None` if that time is over: the entry
    /// expired while the store was reachable, and is not kept.
    ///
    /// An outage that only this VM sees must not count: a VM that kept entries for that reason sent
    /// requests to a removed target for 2.8 s after its peers knew of the removal
    /// (`tests/lapsed_entries.rs`); some platforms tolerate 2 s. A removal that a peer reports was
    /// read from a store that answered the peer, so failed calls of this VM say nothing about it.
    pub fn grace_until(&self, reporter: Reporter, now: Instant) -> Option<Instant> {
        let is_down = match reporter {
            Reporter::Store => self.is_down(now),
            Reporter::Peer => self.is_silent_to_all(now),
        };
        let returned = if is_down { Some(now) } else { self.returned };
        returned.map(|at| at + EXPIRY_GRACE).filter(|until| *until > now)
    }
}
