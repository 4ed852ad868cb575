//! Lifetimes of targets that announced in an answer that they are leaving. The platform's store may
//! report the same much later, or not at all while it is unreachable.
//!
//! Announcements from all sources are merged. Within a lifetime none is revoked, whichever arrives
//! first. A later lifetime of the same target starts without any.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ids::TargetName;
use intent::Target;

use crate::change_log::{ChangeCursor, ChangeLog};

/// Time for which a departure is kept after its last announcement. It is the longest lease that the
/// store grants, so that the entry of a target that ended has lapsed by then.
const DEPARTURE_TTL: Duration = Duration::from_secs(600);
/// Number of departures that are kept however few targets are known.
const MIN_CAPACITY: usize = 4096;
/// Number of departures that are kept for each known target: of its lifetime, and of the one before.
const KEPT_PER_TARGET: usize = 2;

/// One lifetime of a target, from its start to its end, as the target identifies it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Lifetime {
    /// The target.
    pub target: TargetName,
    /// Start time in milliseconds since the Unix epoch, if the target reports it.
    pub born: Option<u64>,
}

impl From<&Target> for Lifetime {
    fn from(target: &Target) -> Self {
        Lifetime { target: target.id.clone(), born: target.born }
    }
}

/// Announcement that a target is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// The lifetime that is leaving.
    pub lifetime: Lifetime,
    /// When the target last announced it to any VM, by the clock of this VM.
    pub announced_at: Instant,
}

/// Departures that targets announced in answers, in addition to those in their entries in the
/// store.
#[derive(Debug, Default)]
pub struct Departures {
    /// When each lifetime last announced its departure.
    announced_at: HashMap<Lifetime, Instant>,
    /// Lifetimes in the order in which they became known.
    order: ChangeLog<Lifetime>,
    /// Number of known targets, which bounds the departures that are kept.
    targets: usize,
}

impl Departures {
    /// Sets the number of known targets: more departures are kept in a larger fleet, in which more
    /// targets can leave at once. Without it, a target that left among the first would be sent new
    /// work again.
    pub fn set_targets(&mut self, targets: usize) {
        self.targets = targets;
    }

    /// Records that a target announced its departure at `announced_at`. Returns whether it is the
    /// first announcement of its lifetime. An announcement older than `DEPARTURE_TTL` is ignored. If
    /// too many are kept, the oldest is evicted.
    pub fn record(&mut self, lifetime: Lifetime, announced_at: Instant, now: Instant) -> bool {
        if is_old(announced_at, now) {
            return false;
        }
        if let Some(known) = self.announced_at.get_mut(&lifetime) {
            *known = announced_at.max(*known);
            return false;
        }
        if self.order.len() >= self.capacity() {
            self.evict_first();
        }
        self.order.push(lifetime.clone());
        self.announced_at.insert(lifetime, announced_at);
        true
    }

    /// Returns when a target last announced that it is leaving; `None` if this lifetime has not.
    pub fn announced_at(&self, target: &Target) -> Option<Instant> {
        self.announced_at.get(&Lifetime::from(target)).copied()
    }

    /// Returns all departures, in the order in which they became known.
    pub fn all(&self) -> impl Iterator<Item = Departure> {
        self.order.all().filter_map(|lifetime| self.departure_of(lifetime))
    }

    /// Returns the departures that became known after a cursor, and the cursor after these.
    pub fn changes_after(&self, cursor: ChangeCursor) -> (Vec<Departure>, ChangeCursor) {
        let (lifetimes, up_to) = self.order.after(cursor);
        (lifetimes.filter_map(|lifetime| self.departure_of(lifetime)).collect(), up_to)
    }

    /// Removes departures that are too old.
    pub fn remove_expired(&mut self, now: Instant) {
        while self
            .order
            .first()
            .and_then(|first| self.announced_at.get(first))
            .is_some_and(|at| is_old(*at, now))
        {
            self.evict_first();
        }
    }

    fn capacity(&self) -> usize {
        MIN_CAPACITY.max(KEPT_PER_TARGET * self.targets)
    }

    fn departure_of(&self, lifetime: &Lifetime) -> Option<Departure> {
        Some(Departure {
            lifetime: lifetime.clone(),
            announced_at: *self.announced_at.get(lifetime)?,
        })
    }

    fn evict_first(&mut self) {
        if let Some(first) = self.order.drop_first() {
            self.announced_at.remove(&first);
        }
    }
}

fn is_old(announced_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(announced_at) >= DEPARTURE_TTL
}
