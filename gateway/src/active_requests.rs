//! Requests that this VM has in work, and what each of them waits for.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ids::RequestId;
use slotmap::{SlotMap, new_key_type};

use crate::app::App;

new_key_type! {
    /// A request in work.
    pub(crate) struct ActiveRequestKey;
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// Its body, or the checks before it is served.
    Checks,
    /// Its stages.
    Stages,
    /// A target that may be sent it.
    Target,
    /// The answer of the target that was sent it.
    Answer,
}

impl WaitReason {
    /// Name for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            WaitReason::Checks => "checks",
            WaitReason::Stages => "stages",
            WaitReason::Target => "target",
            WaitReason::Answer => "answer",
        }
    }
}

/// A request in work.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) id: Option<RequestId>,
    pub(crate) arrived: Instant,
    pub(crate) wait_reason: WaitReason,
    /// Whether an earlier try may have run it.
    pub(crate) may_have_run: bool,
    /// Whether its caller has the head of its answer.
    pub(crate) head_sent: bool,
    /// Time that few of its kind take longer than, from being sent to a target to the end of the answer.
    pub(crate) response_time: Option<Duration>,
}

/// Requests in work.
pub(crate) type ActiveRequests = SlotMap<ActiveRequestKey, ActiveRequest>;

/// Keeps a request among those in work for as long as it lives.
pub(crate) struct ActiveRequestGuard {
    app: Rc<App>,
    key: ActiveRequestKey,
}

impl ActiveRequestGuard {
    /// Takes a request whose head was read.
    pub(crate) fn new(app: &Rc<App>, id: Option<RequestId>, arrived: Instant) -> Self {
        let work = ActiveRequest {
            id,
            arrived,
            wait_reason: WaitReason::Checks,
            may_have_run: false,
            head_sent: false,
            response_time: None,
        };
        let key = app.hub.with(|shared, _| shared.active_requests.insert(work));
        ActiveRequestGuard { app: Rc::clone(app), key }
    }

    /// Its key while it is in work.
    pub(crate) fn key(&self) -> ActiveRequestKey {
        self.key
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.app.hub.with(|shared, _| shared.active_requests.remove(self.key));
    }
}

/// Notes something of a request while it is in work.
pub(crate) fn note(app: &App, key: ActiveRequestKey, change: impl FnOnce(&mut ActiveRequest)) {
    app.hub.with(|shared, _| shared.active_requests.get_mut(key).map(change));
}

/// Notes what a request waits for.
pub(crate) fn set_wait_reason(app: &App, key: ActiveRequestKey, reason: WaitReason) {
    note(app, key, |work| work.wait_reason = reason);
}
