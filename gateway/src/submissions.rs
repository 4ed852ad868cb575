//! Pieces of stages, submitted to the VM that fills the pool's calls.

use std::rc::Rc;

use batching::{JobKey, Pool, Submission};
use fleet::Owner;
use ids::ServiceName;
use tokio::sync::mpsc::UnboundedSender;

use crate::app::App;
use crate::outbound_links::Link;
use crate::piece_events::{PieceEvent, Sink, StageAttempt};
use crate::pool_calls::dispatch_calls;

/// A submission that was submitted; dropped, it is cancelled.
pub(crate) struct Submitted {
    app: Rc<App>,
    place: Place,
}

enum Place {
    Here(ServiceName, JobKey),
    Peer(Rc<Link>, u64),
}

impl Drop for Submitted {
    fn drop(&mut self) {
        match &self.place {
            Place::Here(pool, job) => cancel(&self.app, pool, *job),
            Place::Peer(link, job) => link.cancel(*job),
        }
    }
}

/// Submits pieces of a stage to the VM that fills the pool's calls.
pub(crate) fn submit_to_owner(
    app: &Rc<App>,
    pool: &ServiceName,
    submission: Submission,
    of: StageAttempt,
    news: &UnboundedSender<PieceEvent>,
) -> Submitted {
    let (near, draw) = (submission.preferred_hall.as_ref(), rand::random());
    let owner = app.hub.with(|shared, now| shared.choose_owner(pool, near, draw, now));
    let link = match owner {
        Owner::Peer(vm) => app.links.borrow().get(&vm).cloned(),
        Owner::This | Owner::Unknown => None,
    };
    let place = match link {
        Some(link) => {
            let life = app.hub.with(|shared, _| shared.pools.get(pool).map(Pool::result_life));
            let job = link.submit(pool, &submission, of, life.unwrap_or_default(), news.clone());
            Place::Peer(link, job)
        }
        None => {
            let sink = Sink::Local(news.clone(), of);
            Place::Here(pool.clone(), submit(app, pool, submission, sink))
        }
    };
    Submitted { app: Rc::clone(app), place }
}

/// Takes pieces into the queue of a pool on this VM.
pub(crate) fn submit(
    app: &Rc<App>,
    pool: &ServiceName,
    submission: Submission,
    sink: Sink,
) -> JobKey {
    let job = app.hub.with(|shared, now| {
        shared.pools.get_mut(pool).map(|pool| pool.submit(submission, now)).unwrap_or_default()
    });
    app.sinks.borrow_mut().insert((pool.clone(), job), sink);
    dispatch_calls(app, pool);
    job
}

/// Forgets a submission that nobody waits for.
pub(crate) fn cancel(app: &Rc<App>, pool: &ServiceName, job: JobKey) {
    if app.sinks.borrow_mut().remove(&(pool.clone(), job)).is_some() {
        app.hub.with(|shared, _| {
            if let Some(pool) = shared.pools.get_mut(pool) {
                pool.cancel(job);
            }
        });
    }
}
