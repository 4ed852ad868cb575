//! Targets that turned work of this VM away and said for how long they want none.

use std::collections::HashMap;
use std::time::Instant;

use intent::Target;

use crate::Lifetime;

/// Until when targets want no work from this VM, by lifetime: an entry that lapses and comes back does not end it.
#[derive(Debug, Default)]
pub struct Backoffs(HashMap<Lifetime, Instant>);

impl Backoffs {
    /// Takes a target's word. Of several the one that lasts longest holds: they may have been said to calls
    /// of which one overtook the other. Says whether it is left alone for longer than before.
    pub fn record(&mut self, lifetime: Lifetime, until: Instant) -> bool {
        let known = self.0.get(&lifetime).copied();
        let is_longer = known.is_none_or(|known| until > known);
        if is_longer {
            self.0.insert(lifetime, until);
        }
        is_longer
    }

    /// Until when a target wants no work, if it said so.
    pub fn until(&self, target: &Target) -> Option<Instant> {
        self.0.get(&Lifetime::from(target)).copied()
    }

    /// Lifetimes that want no work now.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&Lifetime, Instant)> {
        let words = self.0.iter().map(|(lifetime, until)| (lifetime, *until));
        words.filter(move |(_, until)| *until > now)
    }

    /// Forgets what is over.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, until| *until > now);
    }
}
