//! The actor that holds the shared state, and the handle by which the tasks of this thread ask it.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use stakker::{ActorOwn, Stakker, actor, ret_nop};

use crate::shared::Shared;

/// Asks the shared state. All tasks of the serving path run on one thread, so that an answer
/// comes at once and nothing waits in between.
pub(crate) struct Hub {
    stakker: RefCell<Stakker>,
    shared: ActorOwn<Shared>,
}

/// Now, by the runtime's clock.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Time left until `at`.
pub(crate) fn left(at: Instant) -> Duration {
    at.saturating_duration_since(now())
}

impl Hub {
    /// Starts the actor with its state.
    pub(crate) fn new(shared: Shared) -> Self {
        let mut stakker = Stakker::new(now());
        let s = &mut stakker;
        let shared = actor!(s, Shared::init(shared), ret_nop!());
        stakker.run(now(), false);
        Hub { stakker: RefCell::new(stakker), shared }
    }

    /// Asks the state; `f` must not ask the hub again.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Shared, Instant) -> R) -> R {
        let now = now();
        let mut stakker = self.stakker.borrow_mut();
        let answer = self.shared.query(&mut stakker, |shared, _| f(shared, now));
        match answer {
            Some(answer) => answer,
            None => unreachable!("the actor lives as long as the hub"),
        }
    }
}
