//! The configuration in force and a bounded history of earlier ones.

use std::collections::VecDeque;
use std::sync::Arc;

use catalogue::Catalogue;
use ids::Revision;
use serde::Serialize;

/// Maximum number of configurations kept, the one in force included. The older ones are kept so
/// that a peer that has one of them is sent only the differences.
const MAX_KEPT: usize = 8;

/// Where a configuration was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Source {
    /// The platform's store.
    Store,
    /// Another VM.
    Peer,
}

/// A revision of the catalogue. A request uses the one under which it began until it ends.
#[derive(Debug)]
pub(crate) struct Configuration {
    pub(crate) revision: Revision,
    pub(crate) catalogue: Catalogue,
    pub(crate) source: Source,
}

/// Accepted configurations, newest first, with strictly increasing revisions.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationHistory {
    newest_first: VecDeque<Arc<Configuration>>,
}

impl ConfigurationHistory {
    /// Accepts the configuration if its revision is higher than all before, and returns it.
    pub(crate) fn accept(&mut self, candidate: Configuration) -> Option<Arc<Configuration>> {
        if candidate.revision <= self.revision() {
            return None;
        }
        let accepted = Arc::new(candidate);
        self.newest_first.push_front(Arc::clone(&accepted));
        self.newest_first.truncate(MAX_KEPT);
        Some(accepted)
    }

    /// The configuration in force.
    pub(crate) fn current(&self) -> Option<&Arc<Configuration>> {
        self.newest_first.front()
    }

    /// Revision of the configuration in force; 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        self.current().map_or(Revision(0), |c| c.revision)
    }

    /// The configuration with this revision, if it is kept.
    pub(crate) fn with_revision(&self, revision: Revision) -> Option<&Arc<Configuration>> {
        self.newest_first.iter().find(|c| c.revision == revision)
    }
}
