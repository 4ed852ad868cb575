//! Why an input that a stage or a request needs is no longer available, as far as the VM that
//! serves the request can tell.

use crate::app::App;
use crate::shared::Shared;
use crate::state_handle::now;

/// Why an input is no longer available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The VM that owns its pool reclaimed it.
    Reclaimed,
    /// No target is known any more at its worker's address.
    WorkerGone,
    /// It expired at its worker.
    Expired,
    /// None of these.
    Unknown,
}

impl Cause {
    /// Name of the cause in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Cause::Reclaimed => "taken_back",
            Cause::WorkerGone => "worker_gone",
            Cause::Expired => "run_out",
            Cause::Unknown => "unknown",
        }
    }
}

/// The first known cause among `handles`; `Unknown` if there is none.
pub(crate) fn find_cause(app: &App, handles: &[String]) -> Cause {
    let mut causes = handles.iter().map(|handle| cause_of(app, handle));
    causes.find(|cause| *cause != Cause::Unknown).unwrap_or(Cause::Unknown)
}

fn cause_of(app: &App, handle: &str) -> Cause {
    // A result that the owner reclaimed is no longer held.
    let Some(is_expired) = app.held.has_expired(handle, now()) else { return Cause::Reclaimed };
    let worker = (app.adapter.calls.worker_address)(handle);
    let is_known =
        |shared: &Shared| worker.is_some_and(|worker| shared.targets.at_address(worker).is_some());
    if !app.state.with(|shared, _| is_known(shared)) {
        return Cause::WorkerGone;
    }
    if is_expired { Cause::Expired } else { Cause::Unknown }
}
