//! Targets that declined work of this VM, and until when each asked it to back off.

use std::collections::HashMap;
use std::time::Instant;

use intent::Target;

use crate::Lifetime;

/// Ends of the backoffs that targets asked of this VM, by lifetime. A backoff continues if the
/// target's entry in the store lapses and comes back within the lifetime.
#[derive(Debug, Default)]
pub struct Backoffs(HashMap<Lifetime, Instant>);

impl Backoffs {
    /// Records a backoff. The longest of several applies, since answers can arrive out of order.
    /// Returns whether the target's backoff got longer.
    pub fn record(&mut self, lifetime: Lifetime, until: Instant) -> bool {
        let known = self.0.get(&lifetime).copied();
        let is_longer = known.is_none_or(|known| until > known);
        if is_longer {
            self.0.insert(lifetime, until);
        }
        is_longer
    }

    /// Returns until when a target asked for no work, if it did.
    pub fn until(&self, target: &Target) -> Option<Instant> {
        self.0.get(&Lifetime::from(target)).copied()
    }

    /// Returns the lifetimes whose backoff has not ended, and when it ends.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&Lifetime, Instant)> {
        let backoffs = self.0.iter().map(|(lifetime, until)| (lifetime, *until));
        backoffs.filter(move |(_, until)| *until > now)
    }

    /// Removes the backoffs that have ended.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, until| *until > now);
    }
}
