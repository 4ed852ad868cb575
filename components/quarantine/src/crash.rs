//! Crashes of targets during a request: which lifetimes ended, and which of them no longer count.

use std::fmt;
use std::time::{Duration, Instant};

use crate::Suspect;

/// Hash of a target's id and of the start time that it reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LifetimeHash(pub u64);

/// Identifies one lifetime of a target. VMs tell lifetimes apart by the id and start time that the
/// target reports, and by how many times they know it to have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LifetimeId {
    /// Id and start time that the target reported, possibly for an earlier lifetime.
    pub lifetime_hash: LifetimeHash,
    /// Number of ends known for this hash when the request was sent. A target that accepts requests
    /// after its end is another lifetime, even if its new start time is not known yet. While the
    /// platform's store is unavailable, the new start time does not arrive at all.
    pub ends_before: u32,
}

impl fmt::Display for LifetimeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}", self.lifetime_hash.0, self.ends_before)
    }
}

impl LifetimeId {
    /// Parses the displayed form; `None` if `text` is not a lifetime.
    pub fn parse(text: &str) -> Option<Self> {
        let (lifetime_hash, ends_before) = text.split_once('.')?;
        let lifetime_hash = LifetimeHash(u64::from_str_radix(lifetime_hash, 16).ok()?);
        Some(LifetimeId { lifetime_hash, ends_before: ends_before.parse().ok()? })
    }
}

/// The end of a target's lifetime while it ran a request with a suspect. VMs exchange these. Merging
/// them is idempotent and does not depend on their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Crash {
    /// What may be at fault.
    pub suspect: Suspect,
    /// The lifetime that ended.
    pub lifetime: LifetimeId,
    /// Whether the crash no longer counts, because a target survived the suspect or an operator
    /// released it. Once set, it stays set.
    pub cleared: bool,
    /// When the lifetime ended or, if the crash is cleared, when a target survived the suspect. All
    /// crashes until shortly after that time are cleared, also those that a VM tells only later.
    /// `None` if that is not known: a VM of an older build told it, or the VM that cleared it did not
    /// see the survival itself.
    pub at: Option<Instant>,
}

/// Most lifetimes that are kept for one suspect, which takes 32 KB.
const MAX_LIFETIMES: usize = 1024;

/// One lifetime that ended with a suspect.
#[derive(Debug, Clone, Copy)]
struct EndedLifetime {
    lifetime: LifetimeId,
    /// When it ended, by the earliest report.
    ended_at: Instant,
    /// When it became known that the crash does not count; `None` if it counts.
    cleared_at: Option<Instant>,
}

/// The crashes with one suspect: each lifetime that ended, and whether its crash no longer counts.
#[derive(Debug, Clone, Default)]
pub(crate) struct Crashes(Vec<EndedLifetime>);

impl Crashes {
    /// Merges a crash that counts; returns false if it changes nothing. A crash for which there is
    /// no room is dropped. It must not replace another one: a peer would send that one again, and VMs
    /// would exchange the two without end. A VM that drops a crash does not relay it, so that no VM
    /// which could clear it may hear of it; there is room for all engines that end at a time.
    pub(crate) fn merge_counted(&mut self, lifetime: LifetimeId, ended_at: Instant) -> bool {
        if let Some(known) = self.find(lifetime) {
            known.ended_at = ended_at.min(known.ended_at);
            return false;
        }
        self.push(EndedLifetime { lifetime, ended_at, cleared_at: None })
    }

    /// Merges a crash that does not count; returns false if it changes nothing.
    pub(crate) fn merge_cleared(&mut self, lifetime: LifetimeId, now: Instant) -> bool {
        let Some(known) = self.find(lifetime) else {
            return self.push(EndedLifetime { lifetime, ended_at: now, cleared_at: Some(now) });
        };
        let newly_cleared = known.cleared_at.is_none();
        known.cleared_at.get_or_insert(now);
        newly_cleared
    }

    fn find(&mut self, lifetime: LifetimeId) -> Option<&mut EndedLifetime> {
        self.0.iter_mut().find(|known| known.lifetime == lifetime)
    }

    /// Adds a lifetime; returns false if there is no room.
    fn push(&mut self, ended: EndedLifetime) -> bool {
        let has_room = !self.is_full();
        if has_room {
            self.0.push(ended);
        }
        has_room
    }

    /// Whether there is no room for another crash.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_LIFETIMES
    }

    /// Whether no lifetime is kept.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the end of this lifetime is kept.
    pub(crate) fn contains(&self, lifetime: LifetimeId) -> bool {
        self.0.iter().any(|known| known.lifetime == lifetime)
    }

    /// Removes crashes that were cleared longer than `ttl` ago.
    pub(crate) fn remove_cleared(&mut self, ttl: Duration, now: Instant) {
        let is_old = |cleared_at: Instant| now.saturating_duration_since(cleared_at) >= ttl;
        self.0.retain(|known| !known.cleared_at.is_some_and(is_old));
    }

    /// Returns the number of lifetimes that count.
    pub(crate) fn counted_len(&self) -> usize {
        self.counted().count()
    }

    /// Returns the lifetimes that count, which are those not cleared.
    pub(crate) fn counted(&self) -> impl Iterator<Item = LifetimeId> {
        self.0.iter().filter(|known| known.cleared_at.is_none()).map(|known| known.lifetime)
    }

    /// Returns the lifetimes that count and ended before a time.
    pub(crate) fn counted_before(&self, time: Instant) -> Vec<LifetimeId> {
        let counted = self.0.iter().filter(|known| known.cleared_at.is_none());
        counted.filter(|known| known.ended_at < time).map(|known| known.lifetime).collect()
    }
}
