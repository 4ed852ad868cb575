//! Lifetimes of targets that said in an answer that they leave. The platform's store may tell the same much
//! later, or not at all while it is out of reach.
//!
//! Words are merged: within a lifetime none is taken back, whichever source is heard first, and a later
//! lifetime of the same target starts without any.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ids::TargetName;
use intent::Target;

use crate::change_log::{ChangeCursor, ChangeLog};

/// A word is kept for this long after the target said it last: the longest lease that the store grants, so that
/// the entry of a target that ended has lapsed by then.
const LIFE: Duration = Duration::from_secs(600);
/// Most words kept, the latest: some 100 bytes each, for five times the targets of the largest fleet.
const MOST: usize = 4096;

/// One lifetime of a target, as it tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Lifetime {
    /// The target.
    pub target: TargetName,
    /// When it began, in milliseconds of the Unix epoch, if the target says so.
    pub born: Option<u64>,
}

impl From<&Target> for Lifetime {
    fn from(target: &Target) -> Self {
        Lifetime { target: target.id.clone(), born: target.born }
    }
}

/// Word that a target leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Who leaves.
    pub lifetime: Lifetime,
    /// When the target last said so to any VM, by the clock of this one.
    pub announced_at: Instant,
}

/// What a VM knows of targets that leave, beside their entries.
#[derive(Debug, Default)]
pub struct Departures {
    said: HashMap<Lifetime, Instant>,
    /// Lifetimes in the order in which they became known.
    order: ChangeLog<Lifetime>,
}

impl Departures {
    /// Takes a word that the target said at `said`; whether it is the first one of its lifetime.
    pub fn record(&mut self, lifetime: Lifetime, said: Instant, now: Instant) -> bool {
        if is_old(said, now) {
            return false;
        }
        if let Some(known) = self.said.get_mut(&lifetime) {
            *known = said.max(*known);
            return false;
        }
        if self.order.len() >= MOST {
            self.drop_first();
        }
        self.order.push(lifetime.clone());
        self.said.insert(lifetime, said);
        true
    }

    /// When a target said that it leaves; `None` if this lifetime has not.
    pub fn announced_at(&self, target: &Target) -> Option<Instant> {
        self.said.get(&Lifetime::from(target)).copied()
    }

    /// All words, in the order in which they became known.
    pub fn all(&self) -> impl Iterator<Item = Departure> {
        self.order.all().filter_map(|lifetime| self.of(lifetime))
    }

    /// Words that became known after a cursor, and the cursor after these.
    pub fn changes_after(&self, cursor: ChangeCursor) -> (Vec<Departure>, ChangeCursor) {
        let (lifetimes, up_to) = self.order.after(cursor);
        (lifetimes.filter_map(|lifetime| self.of(lifetime)).collect(), up_to)
    }

    /// Forgets words that are too old.
    pub fn remove_expired(&mut self, now: Instant) {
        while self
            .order
            .first()
            .and_then(|first| self.said.get(first))
            .is_some_and(|at| is_old(*at, now))
        {
            self.drop_first();
        }
    }

    fn of(&self, lifetime: &Lifetime) -> Option<Departure> {
        Some(Departure { lifetime: lifetime.clone(), announced_at: *self.said.get(lifetime)? })
    }

    fn drop_first(&mut self) {
        if let Some(first) = self.order.drop_first() {
            self.said.remove(&first);
        }
    }
}

fn is_old(said: Instant, now: Instant) -> bool {
    now.saturating_duration_since(said) >= LIFE
}
