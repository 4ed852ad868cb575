//! Tracks whether peers have a newer version of the configuration than this VM.

use std::time::{Duration, Instant};

use slog::{info, warn};

use crate::shared::Shared;

/// Whether a newer version of the configuration is known to exist, and since when it is missing here.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ConfigurationLag {
    /// The newest version that a peer has, and since when a newer version is missing here.
    missing: Option<(u64, Instant)>,
}

impl ConfigurationLag {
    /// For how long a version that a peer has is missing here; `None` if none is.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.missing.map(|(_, since)| now.saturating_duration_since(since))
    }
}

impl Shared {
    /// Compares the configuration in force with what peers have.
    pub(crate) fn compare_versions(&mut self, now: Instant) {
        let own = self.intent.as_ref().map_or(0, |intent| intent.version);
        let newest = self.fleet.newest_configuration(now);
        let before = self.configuration_lag.missing;
        self.configuration_lag.missing = match before {
            _ if newest <= own => None,
            Some((_, since)) => Some((newest, since)),
            None => Some((newest, now)),
        };
        match (before, self.configuration_lag.missing) {
            (None, Some(_)) => {
                warn!(self.log, "configuration behind"; "in_force" => own, "newest" => newest);
            }
            (Some((_, since)), None) => {
                info!(self.log, "configuration caught up"; "in_force" => own,
                    "behind_ms" => now.saturating_duration_since(since).as_millis());
            }
            _ => {}
        }
    }

    /// Whether there may be a version that this VM does not have: a peer has one, or the store is unreachable. A request
    /// for something unknown is then not rejected as unknown, since a newer version may contain it.
    pub(crate) fn may_be_behind(&self, now: Instant) -> bool {
        self.configuration_lag.missing.is_some() || self.contact.is_lost(now)
    }

    /// Whether a version that peers have is missing here for longer than a change may take to come into force. New
    /// connections should then go to other VMs.
    pub(crate) fn is_behind(&self, now: Instant) -> bool {
        self.configuration_lag.age(now).is_some_and(|age| age > self.in_force_limit)
    }
}
