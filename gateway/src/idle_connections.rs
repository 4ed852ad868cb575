//! How many idle connections a VM keeps to one target.

/// Most idle connections to one target for one purpose.
const MAX_IDLE: usize = 6;
/// Purposes for which calls go to the workers of a pool.
const WORKER_PURPOSES: usize = 2;

/// What a connection to a target is used for. Answers to requests name their request; those to the
/// other calls are told apart by their connection only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Requests of callers.
    Requests,
    /// Calls that run pieces of stages.
    Pieces,
    /// Releases of results, and requests for a worker's report.
    Notices,
}

/// Most idle connections that a VM keeps for a purpose to a target that accepts `limit` connections,
/// so that the idle ones of all `vms` together are no more than that.
pub fn max_idle(purpose: Purpose, limit: Option<usize>, vms: usize) -> usize {
    let purposes = match purpose {
        Purpose::Requests => 1,
        Purpose::Pieces | Purpose::Notices => WORKER_PURPOSES,
    };
    limit.map_or(MAX_IDLE, |limit| (limit / vms.max(1) / purposes).min(MAX_IDLE))
}
