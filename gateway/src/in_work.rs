//! Requests that this VM has in work, and what each of them waits for.

use std::rc::Rc;
use std::time::{Duration, Instant};

use ids::RequestId;
use slotmap::{SlotMap, new_key_type};

use crate::app::App;

new_key_type! {
    /// A request in work.
    pub(crate) struct WorkKey;
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Waits {
    /// Its body, or the checks before it is served.
    Checks,
    /// Its stages.
    Stages,
    /// A target that may be sent it.
    Target,
    /// The answer of the target that was sent it.
    Answer,
}

impl Waits {
    /// Name for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Waits::Checks => "checks",
            Waits::Stages => "stages",
            Waits::Target => "target",
            Waits::Answer => "answer",
        }
    }
}

/// A request in work.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) id: Option<RequestId>,
    pub(crate) arrived: Instant,
    pub(crate) waits: Waits,
    /// Whether an earlier try may have run it.
    pub(crate) may_have_run: bool,
    /// Whether its caller has the head of its answer.
    pub(crate) head_sent: bool,
    /// Time that few of its kind take longer than, from being sent to a target to the end of the answer.
    pub(crate) passing: Option<Duration>,
}

/// Requests in work.
pub(crate) type Works = SlotMap<WorkKey, Work>;

/// Keeps a request among those in work for as long as it lives.
pub(crate) struct InWork {
    app: Rc<App>,
    key: WorkKey,
}

impl InWork {
    /// Takes a request whose head was read.
    pub(crate) fn new(app: &Rc<App>, id: Option<RequestId>, arrived: Instant) -> Self {
        let work = Work {
            id,
            arrived,
            waits: Waits::Checks,
            may_have_run: false,
            head_sent: false,
            passing: None,
        };
        let key = app.hub.with(|shared, _| shared.active_requests.insert(work));
        InWork { app: Rc::clone(app), key }
    }

    /// Its key while it is in work.
    pub(crate) fn key(&self) -> WorkKey {
        self.key
    }
}

impl Drop for InWork {
    fn drop(&mut self) {
        self.app.hub.with(|shared, _| shared.active_requests.remove(self.key));
    }
}

/// Notes something of a request while it is in work.
pub(crate) fn note(app: &App, key: WorkKey, change: impl FnOnce(&mut Work)) {
    app.hub.with(|shared, _| shared.active_requests.get_mut(key).map(change));
}

/// Notes what a request waits for.
pub(crate) fn waits_for(app: &App, key: WorkKey, waits: Waits) {
    note(app, key, |work| work.waits = waits);
}
