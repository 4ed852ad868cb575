//! The configuration in force and the few before it.

use std::collections::VecDeque;
use std::sync::Arc;

use catalogue::Catalogue;
use ids::Revision;
use serde::Serialize;

/// Older configurations kept, to tell peers only what changed.
const MAX_KEPT: usize = 8;

/// From where a configuration came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Source {
    /// The platform's store.
    Store,
    /// Another VM.
    Peer,
}

/// One accepted configuration. A request keeps the one under which it began.
#[derive(Debug)]
pub(crate) struct Configuration {
    pub(crate) revision: Revision,
    pub(crate) catalogue: Catalogue,
    pub(crate) source: Source,
}

/// The newest configuration and the few before it; revisions only rise.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationHistory {
    newest_first: VecDeque<Arc<Configuration>>,
}

impl ConfigurationHistory {
    /// Takes the configuration if its revision is higher than any before.
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

    /// Its revision; 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        self.current().map_or(Revision(0), |c| c.revision)
    }

    /// The configuration with this revision, if it is kept.
    pub(crate) fn with_revision(&self, revision: Revision) -> Option<&Arc<Configuration>> {
        self.newest_first.iter().find(|c| c.revision == revision)
    }
}
