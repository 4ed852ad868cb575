//! The requests that this VM is serving, and what each of them waits for.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ids::RequestId;
use slotmap::{SlotMap, new_key_type};

use crate::app::App;

new_key_type! {
    /// Key of a request that is being served.
    pub(crate) struct ActiveRequestKey;
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// Its body, or the checks before it is served.
    Checks,
    /// Its stages.
    Stages,
    /// A target that the request may be sent to.
    Target,
    /// The answer of the target that the request was sent to.
    Answer,
}

impl WaitReason {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            WaitReason::Checks => "checks",
            WaitReason::Stages => "stages",
            WaitReason::Target => "target",
            WaitReason::Answer => "answer",
        }
    }
}

/// A request that is being served.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) id: Option<RequestId>,
    pub(crate) arrived: Instant,
    pub(crate) wait_reason: WaitReason,
    /// Whether an earlier attempt may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether the head of the answer was sent to the caller.
    pub(crate) head_sent: bool,
    /// Upper bound, exceeded by few requests to the same entry, on the time from being sent to a
    /// target to the end of the answer; `None` until one has been answered.
    pub(crate) response_time: Option<Duration>,
}

/// The requests that are being served.
pub(crate) type ActiveRequests = SlotMap<ActiveRequestKey, ActiveRequest>;

/// Registers a request as active until dropped.
pub(crate) struct ActiveRequestGuard {
    app: Rc<App>,
    key: ActiveRequestKey,
}

impl ActiveRequestGuard {
    /// Registers a request whose head was read.
    pub(crate) fn new(app: &Rc<App>, id: Option<RequestId>, arrived: Instant) -> Self {
        let request = ActiveRequest {
            id,
            arrived,
            wait_reason: WaitReason::Checks,
            may_have_run: false,
            head_sent: false,
            response_time: None,
        };
        let key = app.state.with(|shared, _| shared.active_requests.insert(request));
        ActiveRequestGuard { app: Rc::clone(app), key }
    }

    /// The request's key while it is active.
    pub(crate) fn key(&self) -> ActiveRequestKey {
        self.key
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.app.state.with(|shared, _| shared.active_requests.remove(self.key));
    }
}

/// Updates the state of a request; does nothing once it is no longer active.
pub(crate) fn update(app: &App, key: ActiveRequestKey, change: impl FnOnce(&mut ActiveRequest)) {
    app.state.with(|shared, _| shared.active_requests.get_mut(key).map(change));
}

/// Records what a request waits for.
pub(crate) fn set_wait_reason(app: &App, key: ActiveRequestKey, reason: WaitReason) {
    update(app, key, |request| request.wait_reason = reason);
}
