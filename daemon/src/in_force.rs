//! The configuration in force and the few before it.

use std::collections::VecDeque;
use std::sync::Arc;

use catalogue::Catalogue;
use ids::Revision;
use serde::Serialize;

/// Older configurations kept, to tell peers only what changed.
const KEPT: usize = 8;

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
pub(crate) struct InForce {
    pub(crate) revision: Revision,
    pub(crate) catalogue: Catalogue,
    pub(crate) source: Source,
}

/// The newest configuration and the few before it; revisions only rise.
#[derive(Debug, Default)]
pub(crate) struct History {
    newest_first: VecDeque<Arc<InForce>>,
}

impl History {
    /// Takes the configuration if its revision is higher than any before.
    pub(crate) fn take(&mut self, offered: InForce) -> Option<Arc<InForce>> {
        if offered.revision <= self.revision() {
            return None;
        }
        let taken = Arc::new(offered);
        self.newest_first.push_front(Arc::clone(&taken));
        self.newest_first.truncate(KEPT);
        Some(taken)
    }

    /// The configuration in force.
    pub(crate) fn current(&self) -> Option<&Arc<InForce>> {
        self.newest_first.front()
    }

    /// Its revision; 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        self.current().map_or(Revision(0), |c| c.revision)
    }

    /// The configuration with this revision, if it is kept.
    pub(crate) fn at(&self, revision: Revision) -> Option<&Arc<InForce>> {
        self.newest_first.iter().find(|c| c.revision == revision)
    }
}
