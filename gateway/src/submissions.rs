//! Submits pieces of stages to the VM that owns the pool and makes its calls: this one or a peer.

use std::rc::Rc;

use batching::{JobKey, Pool, Submission};
use fleet::Owner;
use ids::ServiceName;
use tokio::sync::mpsc::UnboundedSender;

use crate::app::App;
use crate::outbound_links::Link;
use crate::owner_selection::Placement;
use crate::piece_events::{PieceEvent, Sink, StageSubmission};
use crate::pool_calls::dispatch_calls;

/// A submission under way. It is canceled on drop.
pub(crate) struct SubmissionGuard {
    app: Rc<App>,
    owner_ref: OwnerRef,
}

/// Where a submission went, and its key or number there.
enum OwnerRef {
    Local(ServiceName, JobKey),
    Peer(Rc<Link>, u64),
}

impl Drop for SubmissionGuard {
    fn drop(&mut self) {
        match &self.owner_ref {
            OwnerRef::Local(pool, job) => cancel(&self.app, pool, *job),
            OwnerRef::Peer(link, job) => link.cancel(*job),
        }
    }
}

/// Submits pieces of a stage to the pool's owner, or to the pool on this VM if there is no link to
/// the owner. Results are sent to `events`.
pub(crate) fn submit_to_owner(
    app: &Rc<App>,
    pool: &ServiceName,
    submission: Submission,
    stage_submission: StageSubmission,
    events: &UnboundedSender<PieceEvent>,
) -> SubmissionGuard {
    let pieces = Placement {
        preferred_hall: submission.preferred_hall.as_ref(),
        allowed_halls: &submission.allowed_halls,
    };
    let random = rand::random();
    let owner = app.state.with(|shared, now| shared.choose_owner(pool, pieces, random, now));
    let link = match owner {
        Owner::Peer(vm) => app.links.borrow().get(&vm).cloned(),
        Owner::This | Owner::Unknown => None,
    };
    let owner_ref = match link {
        Some(link) => {
            let life = app.state.with(|shared, _| shared.pools.get(pool).map(Pool::result_life));
            let job = link.submit(
                pool,
                &submission,
                stage_submission,
                life.unwrap_or_default(),
                events.clone(),
            );
            OwnerRef::Peer(link, job)
        }
        None => {
            let sink = Sink::Local(events.clone(), stage_submission);
            OwnerRef::Local(pool.clone(), submit(app, pool, submission, sink))
        }
    };
    SubmissionGuard { app: Rc::clone(app), owner_ref }
}

/// Adds pieces to the queue of a pool on this VM.
pub(crate) fn submit(
    app: &Rc<App>,
    pool: &ServiceName,
    submission: Submission,
    sink: Sink,
) -> JobKey {
    let job = app.state.with(|shared, now| {
        shared.pools.get_mut(pool).map(|pool| pool.submit(submission, now)).unwrap_or_default()
    });
    app.sinks.borrow_mut().insert((pool.clone(), job), sink);
    dispatch_calls(app, pool);
    job
}

/// Cancels a submission on this VM that nobody waits for any more.
pub(crate) fn cancel(app: &Rc<App>, pool: &ServiceName, job: JobKey) {
    if app.sinks.borrow_mut().remove(&(pool.clone(), job)).is_some() {
        app.state.with(|shared, _| {
            if let Some(pool) = shared.pools.get_mut(pool) {
                pool.cancel(job);
            }
        });
    }
}
