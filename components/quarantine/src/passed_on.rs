//! Crashes that a VM passed on although it may forget them at any time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::{Crash, LifetimeId, Suspect};

/// Most crashes that are remembered, which takes about 1 MB.
const MAX_CRASHES: usize = 8192;

/// When each crash was passed on.
#[derive(Debug, Default)]
pub(crate) struct PassedOn(HashMap<(Suspect, LifetimeId, bool), Instant>);

impl PassedOn {
    /// Records that a crash is passed on; returns false if it was before, or if there is no room.
    pub(crate) fn record(&mut self, crash: &Crash, now: Instant) -> bool {
        let has_room = self.0.len() < MAX_CRASHES;
        let key = (crash.suspect, crash.lifetime, crash.cleared);
        has_room && self.0.insert(key, now).is_none()
    }

    /// Forgets crashes that were passed on longer than `ttl` ago.
    pub(crate) fn remove_expired(&mut self, ttl: Duration, now: Instant) {
        self.0.retain(|_, at| now.saturating_duration_since(*at) < ttl);
    }
}
