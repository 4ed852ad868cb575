//! [`StateHandle`], the handle through which tasks access the actor that holds the shared state,
//! and the clock that all of them use.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use stakker::{ActorOwn, Stakker, actor, ret_nop};

use crate::shared::Shared;

/// Synchronous access to the shared state. All tasks run on one thread, so a query runs at once and
/// never awaits.
pub(crate) struct StateHandle {
    stakker: RefCell<Stakker>,
    shared: ActorOwn<Shared>,
}

/// Current time by the runtime's clock.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Time until `at`; zero if it has passed.
pub(crate) fn time_until(at: Instant) -> Duration {
    at.saturating_duration_since(now())
}

impl StateHandle {
    /// Starts the actor with the given state.
    pub(crate) fn new(shared: Shared) -> Self {
        let mut stakker = Stakker::new(now());
        let s = &mut stakker;
        let shared = actor!(s, Shared::init(shared), ret_nop!());
        stakker.run(now(), false);
        StateHandle { stakker: RefCell::new(stakker), shared }
    }

    /// Runs `f` with the state and the current time, and returns its result. `f` must not call
    /// `with` again: the nested borrow would panic.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Shared, Instant) -> R) -> R {
        let now = now();
        let mut stakker = self.stakker.borrow_mut();
        let result = self.shared.query(&mut stakker, |shared, _| f(shared, now));
        match result {
            Some(result) => result,
            None => unreachable!("the actor lives as long as the handle"),
        }
    }
}
