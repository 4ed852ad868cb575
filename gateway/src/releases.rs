//! Releases results of stages that are no longer needed: sends release calls to the workers that
//! hold them, so that the workers can reuse the room (memory for results).
//!
//! Exactly one VM is responsible for a result at any time: first the owner, which had it computed;
//! once the owner has handed the result over, the VM of the request (the requester); and the owner
//! again once the requester's lease has ended ([`result_leases`]). The requester calls workers
//! itself, so that no release is lost together with an owner, and reports the release to the owner,
//! which tracks the workers' room. If a worker announces a rate limit, the release goes through
//! the owner, which combines the releases of all VMs.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use batching::{PendingRelease, Pool};
use ids::ServiceName;
use intent::Target;
use peering::work::{FromOwner, Reclaimed, from_owner};
use result_leases::{EndReason, EndedLease};
use slog::{debug, info};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::app::App;
use crate::connections::REUSE_DELAY;
use crate::held_results::{Origin, ReleaseBatch};
use crate::inbound_links::has_process_ended;
use crate::outbound_links::Link;
use crate::own_calls::{OwnCallError, release};
use crate::permits;
use crate::pool_calls::dispatch_calls;
use crate::state_handle::{now, time_until};

/// Longest wait for a worker to confirm a release.
const RELEASE_WAIT: Duration = Duration::from_millis(500);
/// Longest backoff of a worker for which a release waits. Most results expire by themselves after
/// some seconds, so that a later release frees little.
const MAX_BACKOFF_WAIT: Duration = Duration::from_secs(2);
/// Pause before the first retry of a release that was not confirmed; doubles with each further
/// retry.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Most attempts to send a release. Together with the pauses they last longer than the time for
/// which a worker's entry can lapse before the worker writes it again.
const MAX_ATTEMPTS: u32 = 5;
/// Interval between two checks for leases that ended.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// If a check runs this long after the previous one, this process was paused in between.
const PAUSE_DETECTED_AFTER: Duration = Duration::from_secs(1);
/// Time within which VMs that lost their links to this one reconnect and claim the results that
/// they hold: they dial every 0.4 s.
const RECONNECT_TIME: Duration = Duration::from_millis(1500);

/// Role in which this VM sends a release; logged with the release.
#[derive(Debug, Clone, Copy)]
enum Role {
    /// This VM had the results computed.
    Owner,
    /// The results belong to a request of this VM.
    Requester,
}

/// Releases results that requests of this VM hold.
pub(crate) fn release_results(app: &Rc<App>, handles: &[String]) {
    for ReleaseBatch { origin, handles, is_released_here, until } in app.held.take(handles, now()) {
        match origin {
            Origin::Local => drop(release_as_owner(app, handles)),
            Origin::Peer(link) if is_released_here => {
                release_peer_results(app, &link, handles, until)
            }
            Origin::Peer(link) => {
                spawn_local(release_if_owner_ended(Rc::clone(app), link, handles));
            }
        }
    }
}

/// Releases results for which the owner is responsible by now, if the owner's process has ended: no
/// other VM would release them.
async fn release_if_owner_ended(app: Rc<App>, link: Rc<Link>, handles: Vec<String>) {
    if has_process_ended(link.address).await {
        release_as_requester(&app, &link, handles, None);
    }
}

/// Releases results that requests of this VM hold, if room at their workers is scarce.
pub(crate) fn release_results_if_scarce(app: &Rc<App>, handles: &[String]) {
    for (origin, handle) in app.held.look_up(handles) {
        match origin {
            Origin::Local => release_as_owner_if_scarce(app, &[handle]),
            Origin::Peer(link) => link.release_if_scarce(&[handle]),
        }
    }
}

/// Releases results that a peer had computed: directly at their workers, or through the peer if a
/// worker announces a rate limit and the link is open.
fn release_peer_results(app: &Rc<App>, link: &Rc<Link>, handles: Vec<String>, until: Instant) {
    let is_sent_here = |handle: &String| link.is_closed() || calls_worker_directly(app, handle);
    let (here, through_owner): (Vec<_>, Vec<_>) = handles.into_iter().partition(is_sent_here);
    release_as_requester(app, link, here, Some(until));
    if !through_owner.is_empty() {
        let overflow = link.release(through_owner);
        release_as_requester(app, link, overflow, None);
    }
}

/// Whether this VM calls the worker of a result itself. A worker with a rate limit is called by the
/// owner only, which combines the releases of all VMs.
fn calls_worker_directly(app: &App, handle: &str) -> bool {
    let Some(worker) = (app.adapter.calls.worker_address)(handle) else { return true };
    app.state.with(|shared, _| {
        let has_rate_limit = shared
            .targets
            .at_address(worker)
            .is_some_and(|target| target.request_interval.is_some());
        !has_rate_limit
    })
}

/// Calls the workers of results that a peer had computed to release them, before `until` if that is
/// set, and reports to the peer which releases the workers confirmed.
pub(crate) fn release_as_requester(
    app: &Rc<App>,
    link: &Rc<Link>,
    handles: Vec<String>,
    until: Option<Instant>,
) {
    app.held.record_release_started(&handles, link.address, now());
    for (worker, handles) in group_by_worker(app, handles) {
        let (app, origin) = (Rc::clone(app), link.address);
        spawn_local(async move {
            let is_confirmed =
                release_until_confirmed(&app, worker, &handles, Role::Requester, until).await;
            app.held.record_release_outcome(&handles, is_confirmed);
            // Without a link, the report is sent on the next one to the origin.
            if let Some(link) = link_to(&app, origin) {
                link.report_releases(&app);
            }
        });
    }
}

/// The open link to the VM that accepts links at an address.
fn link_to(app: &App, address: SocketAddr) -> Option<Rc<Link>> {
    app.links.borrow().values().find(|link| link.address == address).cloned()
}

/// Groups handles by the address of their worker. Handles that can't be parsed are logged and left
/// out.
fn group_by_worker(app: &App, handles: Vec<String>) -> HashMap<SocketAddr, Vec<String>> {
    let mut handles_by_worker: HashMap<SocketAddr, Vec<String>> = HashMap::new();
    for handle in handles {
        match (app.adapter.calls.worker_address)(&handle) {
            Some(address) => handles_by_worker.entry(address).or_default().push(handle),
            None => info!(app.log, "result handle not parsed"; "handle" => handle),
        }
    }
    handles_by_worker
}

/// Releases results that this VM had computed; returns the tasks that call their workers. Results
/// that no pool knows are released at the worker that their handle names.
pub(crate) fn release_as_owner(app: &Rc<App>, handles: Vec<String>) -> Vec<JoinHandle<()>> {
    let taken = take_from_pools(app, &handles);
    let known: Vec<&String> = taken.iter().flat_map(|(_, pending)| &pending.handles).collect();
    let unknown = handles.iter().filter(|handle| !known.contains(handle)).cloned().collect();
    let unknown = group_by_worker(app, unknown).into_iter().map(|(worker, handles)| {
        let app = Rc::clone(app);
        spawn_local(async move {
            release_until_confirmed(&app, worker, &handles, Role::Owner, None).await;
        })
    });
    let mut tasks: Vec<_> = unknown.collect();
    tasks
        .extend(taken.into_iter().map(|(pool, pending)| release_in_background(app, pool, pending)));
    tasks
}

/// Removes results from the pools that know them.
fn take_from_pools(app: &App, handles: &[String]) -> Vec<(ServiceName, PendingRelease)> {
    app.state.with(|shared, _| {
        let pools = shared.pools.iter_mut();
        let release_in_pool = |(name, pool): (&ServiceName, &mut Pool)| {
            let name = name.clone();
            pool.release(handles.to_vec()).into_iter().map(move |pending| (name.clone(), pending))
        };
        pools.flat_map(release_in_pool).collect()
    })
}

/// Records a requester's report that workers confirmed the release of results.
pub(crate) fn record_worker_releases(app: &Rc<App>, handles: &[String]) {
    app.state.with(|shared, _| shared.leases.released(handles));
    for (pool, pending) in take_from_pools(app, handles) {
        complete_release(app, &pool, &pending, true);
    }
}

/// Releases results that this VM had computed, if room at their workers is scarce.
fn release_as_owner_if_scarce(app: &Rc<App>, handles: &[String]) {
    let pending = app.state.with(|shared, _| {
        let pools = shared.pools.iter_mut();
        let release = |(name, pool): (&ServiceName, &mut Pool)| {
            pool.release_if_scarce(handles);
            (name.clone(), pool.release_queued())
        };
        pools.map(release).collect::<Vec<_>>()
    });
    for (pool, pending) in pending {
        reclaim(app, &pool, pending);
    }
}

/// Handles a peer's release of results: unconditional, or only if room at the workers is scarce.
/// Returns the tasks that call the workers.
pub(crate) fn release_for_peer(
    app: &Rc<App>,
    handles: Vec<String>,
    if_scarce: bool,
) -> Vec<JoinHandle<()>> {
    if if_scarce {
        release_as_owner_if_scarce(app, &handles);
        return Vec::new();
    }
    app.state.with(|shared, _| shared.leases.released(&handles));
    release_as_owner(app, handles)
}

/// Releases results that no request released by itself, since nobody waits for them or their room
/// is needed. The VMs that hold them under leases are notified, so that the workers are called only
/// once.
pub(crate) fn reclaim(app: &Rc<App>, pool: &ServiceName, pending: Vec<PendingRelease>) {
    for pending in pending {
        app.held.remove_reclaimed(&pending.handles);
        let links = app.state.with(|shared, _| shared.leases.reclaimed(&pending.handles));
        for (link, handles) in links {
            if let Some(tx) = app.lease_links.borrow().get(&link) {
                let kind = from_owner::Kind::Reclaimed(Reclaimed { handles });
                // A peer that has ended holds no results.
                drop(tx.send(Ok(FromOwner { kind: Some(kind) })));
            }
        }
        drop(release_in_background(app, pool.clone(), pending));
    }
}

/// Releases results whose leases ended; runs as long as the process.
pub(crate) async fn release_ended_leases(app: Rc<App>) {
    let mut checks = interval(LEASE_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = now();
    loop {
        checks.tick().await;
        if now().saturating_duration_since(last) > PAUSE_DETECTED_AFTER {
            // The holders of leases may have released results during the pause without being able
            // to report it.
            sleep(RECONNECT_TIME).await;
        }
        last = now();
        let ended = app.state.with(|shared, now| shared.leases.take_ended(now));
        let mut by_reason: BTreeMap<EndReason, Vec<String>> = BTreeMap::new();
        for EndedLease { handle, reason } in ended {
            by_reason.entry(reason).or_default().push(handle);
        }
        for (why, handles) in by_reason {
            info!(app.log, "results of ended leases released";
                "results" => handles.len(), "why" => ?why);
            app.metrics.results_given_up(reason_label(why), handles.len());
            drop(release_as_owner(&app, handles));
        }
    }
}

fn reason_label(reason: EndReason) -> &'static str {
    match reason {
        EndReason::RequestOver => "request_over",
        EndReason::HolderGone => "holder_gone",
        EndReason::NotHeld => "not_held",
    }
}

/// Starts a task that releases results at a worker of a pool of this VM. The pool counts their room
/// as free once the worker has confirmed.
fn release_in_background(
    app: &Rc<App>,
    pool: ServiceName,
    pending: PendingRelease,
) -> JoinHandle<()> {
    let app = Rc::clone(app);
    spawn_local(async move {
        let worker = pending.target.address;
        let confirmed =
            release_until_confirmed(&app, worker, &pending.handles, Role::Owner, None).await;
        complete_release(&app, &pool, &pending, confirmed);
    })
}

/// Records the outcome of a release in the pool, and dispatches calls that may have waited for the
/// room.
fn complete_release(app: &Rc<App>, pool: &ServiceName, pending: &PendingRelease, confirmed: bool) {
    app.state.with(|shared, now| {
        let pool = shared.pools.get_mut(pool);
        pool.map(|pool| pool.finish_release(pending, confirmed, now))
    });
    dispatch_calls(app, pool);
}

/// The worker at an address; `None` if no target of a pool is known there.
fn worker_at(app: &App, address: SocketAddr) -> Option<Target> {
    app.state.with(|shared, _| {
        let target = shared.targets.at_address(address)?;
        shared.pools.contains_key(&target.service).then(|| target.clone())
    })
}

/// Whether a target is another one, or another lifetime, than the one called before; false if none
/// was.
fn is_replaced(target: &Target, before: Option<&Target>) -> bool {
    before.is_some_and(|before| target.id != before.id || target.is_other_lifetime_than(before))
}

/// Outcome of a release call.
enum SendOutcome {
    Confirmed,
    /// Another target or lifetime has the worker's address; the results were lost with the earlier
    /// process.
    Replaced,
    /// The worker may not have received the call; with the reason.
    Unconfirmed(String),
}

/// A release that waits to be sent to a worker, and the task that waits for the outcome.
pub(crate) struct QueuedRelease {
    handles: Vec<String>,
    /// After this, another VM is responsible for the results, and this one no longer sends the
    /// release.
    until: Option<Instant>,
    /// Receives whether the worker confirmed.
    confirmed: oneshot::Sender<bool>,
}

impl QueuedRelease {
    /// Whether this VM is still responsible for releasing the results.
    fn is_still_due(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// Sends a release, with retries, until the worker confirms it; false if the worker may not have
/// received it. Calls to one worker are made one after the other, and releases that arrive
/// meanwhile are sent together: requests whose pieces were computed in one call release them at the
/// same moment.
async fn release_until_confirmed(
    app: &Rc<App>,
    worker: SocketAddr,
    handles: &[String],
    role: Role,
    until: Option<Instant>,
) -> bool {
    let (tx, rx) = oneshot::channel();
    let release = QueuedRelease { handles: handles.to_vec(), until, confirmed: tx };
    let is_first = {
        let mut releases = app.queued_releases.borrow_mut();
        let is_first = !releases.contains_key(&worker);
        releases.entry(worker).or_default().push(release);
        is_first
    };
    if is_first {
        spawn_local(send_queued(Rc::clone(app), worker, role));
    }
    // The sending task ends only with the process.
    rx.await.unwrap_or(false)
}

/// Sends all queued releases of a worker, until there are none.
async fn send_queued(app: Rc<App>, worker: SocketAddr, role: Role) {
    loop {
        let target = worker_at(&app, worker);
        if let Some(time) = target.and_then(|target| permits::release_batch_window(&app, &target)) {
            sleep(time).await;
        }
        let releases =
            app.queued_releases.borrow_mut().insert(worker, Vec::new()).unwrap_or_default();
        if releases.is_empty() {
            app.queued_releases.borrow_mut().remove(&worker);
            return;
        }
        let confirmed = send_with_retries(&app, worker, &releases, role).await;
        for release in releases {
            let confirmed = confirmed && release.is_still_due(now());
            // The waiting task may have ended.
            release.confirmed.send(confirmed).ok();
        }
        // After this delay the next call can reuse the connection.
        sleep(REUSE_DELAY).await;
    }
}

/// Sends releases to a worker, with retries, until it confirmed them. The worker is looked up for
/// each attempt: its entry may have lapsed for a moment, or another target may have its address by
/// now.
async fn send_with_retries(
    app: &Rc<App>,
    worker: SocketAddr,
    releases: &[QueuedRelease],
    role: Role,
) -> bool {
    let mut pause = FIRST_RETRY_PAUSE;
    let mut previous: Option<Target> = None;
    for attempt in 1..=MAX_ATTEMPTS {
        let handles = pending_handles(releases);
        if handles.is_empty() {
            return false;
        }
        let outcome = match worker_at(app, worker) {
            Some(target) if is_replaced(&target, previous.as_ref()) => SendOutcome::Replaced,
            Some(target) => {
                let outcome = send_and_count(app, &target, &handles, role).await;
                previous = Some(target);
                outcome
            }
            None => SendOutcome::Unconfirmed("no target known at the address".to_owned()),
        };
        let SendOutcome::Unconfirmed(why) = outcome else { return true };
        info!(app.log, "results not released"; "worker" => %worker, "as" => ?role,
            "results" => handles.len(), "why" => why, "telling" => attempt);
        if attempt < MAX_ATTEMPTS {
            sleep(pause).await;
            pause *= 2;
        }
    }
    app.metrics.results_given_up("not_heard", pending_handles(releases).len());
    false
}

/// Handles of the results that this VM is still responsible for releasing.
fn pending_handles(releases: &[QueuedRelease]) -> Vec<String> {
    let now = now();
    let releases = releases.iter().filter(|release| release.is_still_due(now));
    releases.flat_map(|release| release.handles.clone()).collect()
}

/// Sends one release call; counts and logs it if the worker confirmed.
async fn send_and_count(
    app: &Rc<App>,
    target: &Target,
    handles: &[String],
    role: Role,
) -> SendOutcome {
    let outcome = call_worker(app, target, handles).await;
    if matches!(outcome, SendOutcome::Confirmed) {
        app.metrics.results_given_up("needed_no_more", handles.len());
        debug!(app.log, "results released"; "target" => %target.id, "as" => ?role,
            "results" => handles.len(), "handles" => handles.join(","));
    }
    outcome
}

/// Makes one release call, once the worker's backoff time is over.
async fn call_worker(app: &Rc<App>, target: &Target, handles: &[String]) -> SendOutcome {
    // Without a backoff no sleep is made: even one of zero length takes a timer tick, during which
    // this VM may be killed before it sends the release.
    if let Some(until) = app.state.with(|shared, _| shared.backoffs.until(target)) {
        let pause = time_until(until);
        if pause > MAX_BACKOFF_WAIT {
            return SendOutcome::Unconfirmed("the worker asked for a longer backoff".to_owned());
        }
        sleep(pause).await;
    }
    let permit = permits::for_release(app, target);
    match release(app, target, handles, permit, RELEASE_WAIT).await {
        Ok(()) => SendOutcome::Confirmed,
        Err(OwnCallError::OtherTarget) => SendOutcome::Replaced,
        Err(OwnCallError::TimedOut) => SendOutcome::Unconfirmed("no answer in time".to_owned()),
        Err(error) => SendOutcome::Unconfirmed(format!("{error:?}")),
    }
}
