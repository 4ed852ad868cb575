//! Which workers a pool may call during a rollout of its service, by their version.

use rollout::Versions;

use crate::pool::Pool;
use crate::worker::Worker;

/// Number of full calls' pieces that a limited version may save up while it has no free worker.
const MAX_SAVED_CALLS: usize = 1;

impl Pool {
    /// Grants a version with limited traffic its fraction of new pieces.
    pub(crate) fn grant_limited_pieces(&mut self, submitted: usize) {
        let Versions::Limited(_, fraction) = &self.versions else { return };
        let most = (self.spec.batch * MAX_SAVED_CALLS) as f64;
        self.limited_pieces = (self.limited_pieces + fraction * submitted as f64).min(most);
    }

    /// Counts pieces that a worker runs against the limit of its version.
    pub(crate) fn take_limited_pieces(&mut self, is_limited: bool, pieces: usize) {
        if is_limited {
            self.limited_pieces -= pieces as f64;
        }
    }

    /// Whether a worker's version gets a limited part of the pieces.
    pub(crate) fn is_limited(&self, worker: &Worker) -> bool {
        matches!(&self.versions,
            Versions::Limited(version, _) if worker.target.version.as_ref() == Some(version))
    }

    /// Number of pieces that a worker may be given in one call.
    pub(crate) fn max_pieces(&self, worker: &Worker) -> usize {
        let by_version = if self.is_limited(worker) {
            self.limited_pieces.max(0.0) as usize
        } else {
            usize::MAX
        };
        // One piece is enough to find out whether a worker that failed has recovered.
        let by_worker = if worker.last_call_failed() { 1 } else { self.spec.batch };
        by_version.min(by_worker)
    }

    /// Whether a worker's version may run pieces now. If one version only may, the others may as
    /// well while no worker of it is in service.
    pub(crate) fn is_version_open(&self, worker: &Worker) -> bool {
        if self.is_limited(worker) {
            return self.limited_pieces >= 1.0;
        }
        self.versions.permits(worker.target.version.as_ref())
            || (matches!(self.versions, Versions::Only(_)) && !self.has_permitted_worker())
    }

    fn has_permitted_worker(&self) -> bool {
        let permits = |worker: &Worker| {
            self.versions.permits(worker.target.version.as_ref()) && !worker.target.leaving
        };
        self.workers.values().any(permits)
    }
}
