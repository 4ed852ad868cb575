//! Results of stages that are needed no more: their workers are told, so that they use the room again.
//!
//! One VM is responsible for a result at each moment: the owner, which had it made, until it hands it over; then the
//! VM of the request; and the owner again once its lease ended ([`result_leases`]). The VM of a request tells workers
//! itself, so that no word is lost with an owner, and the owner hears of it for its accounts of room. Where a worker
//! names a rate the word goes through the owner, which joins what all VMs give up.

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
use crate::hub::{left, now};
use crate::inbound_links::has_process_ended;
use crate::outbound_links::Link;
use crate::own_calls::{OwnCallError, own_call};
use crate::permits;
use crate::pool_calls::dispatch_calls;

/// Longest wait for a worker to confirm that results were given up.
const RELEASE_WAIT: Duration = Duration::from_millis(500);
/// Longest pause before a worker that wants to be left alone is told that results are given up. Most results
/// run out by themselves after some seconds, so that a later word frees little.
const LONGEST_LEFT_ALONE: Duration = Duration::from_secs(2);
/// Pause before a worker that may not have heard is told again; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Most times that a worker is told. Together with the pauses they outlast the entry of a worker that lapsed and
/// returns.
const MOST_TELLINGS: u32 = 5;
/// Pause between two looks for leases that are over.
const LEASE_LOOK: Duration = Duration::from_millis(250);

/// A look that comes this long after the one before shows that this VM stood still.
const STOOD_STILL: Duration = Duration::from_secs(1);
/// Time in which VMs that lost their links to this one link again and say what they hold: they dial every 0.4 s.
const RELINK: Duration = Duration::from_millis(1500);

/// Which VM tells a worker that results are given up, for the log.
#[derive(Debug, Clone, Copy)]
enum Teller {
    /// The one that had them made.
    Owner,
    /// The one whose request they belong to.
    Requester,
}

/// Gives up results that requests of this VM hold.
pub(crate) fn release_results(app: &Rc<App>, handles: &[String]) {
    for ReleaseBatch { maker, handles, is_ours, until } in app.held.take(handles, now()) {
        match maker {
            Origin::Local => drop(release_as_owner(app, handles)),
            Origin::Peer(link) if is_ours => release_through_link(app, &link, handles, until),
            Origin::Peer(link) => {
                spawn_local(release_if_owner_ended(Rc::clone(app), link, handles));
            }
        }
    }
}

/// Gives up results that are their owner's by now, if its process has ended: nobody else does.
async fn release_if_owner_ended(app: Rc<App>, link: Rc<Link>, handles: Vec<String>) {
    if has_process_ended(link.address).await {
        release_as_requester(&app, &link, handles, None);
    }
}

/// Gives up results that requests of this VM hold, if their workers' room is scarce.
pub(crate) fn release_results_if_scarce(app: &Rc<App>, handles: &[String]) {
    for (maker, handle) in app.held.look_up(handles) {
        match maker {
            Origin::Local => release_as_owner_if_scarce(app, &[handle]),
            Origin::Peer(link) => link.release_if_scarce(&[handle]),
        }
    }
}

fn release_through_link(app: &Rc<App>, link: &Rc<Link>, handles: Vec<String>, until: Instant) {
    let is_told_here = |handle: &String| link.is_closed() || tells_itself(app, handle);
    let (here, through_owner): (Vec<_>, Vec<_>) = handles.into_iter().partition(is_told_here);
    release_as_requester(app, link, here, Some(until));
    if !through_owner.is_empty() {
        let given_up_on = link.release(through_owner);
        release_as_requester(app, link, given_up_on, None);
    }
}

/// Whether this VM tells the worker of a result itself. One that names a rate is told by the owner, which joins what all
/// VMs give up.
fn tells_itself(app: &App, handle: &str) -> bool {
    let Some(worker) = (app.adapter.calls.worker_address)(handle) else { return true };
    app.hub.with(|shared, _| {
        let names_rate = shared
            .targets
            .at_address(worker)
            .is_some_and(|target| target.request_interval.is_some());
        !names_rate
    })
}

/// Tells the workers of results that a peer had made, before `until` if that is set, and the peer once they have heard.
pub(crate) fn release_as_requester(
    app: &Rc<App>,
    link: &Rc<Link>,
    handles: Vec<String>,
    until: Option<Instant>,
) {
    app.held.record_release_started(&handles, link.address, now());
    for (worker, handles) in by_worker(app, handles) {
        let (app, maker) = (Rc::clone(app), link.address);
        spawn_local(async move {
            let is_heard = tell_until_heard(&app, worker, &handles, Teller::Requester, until).await;
            app.held.record_release_outcome(&handles, is_heard);
            // Without a link the peer hears of it on the next one.
            if let Some(link) = link_to(&app, maker) {
                link.report_releases(&app);
            }
        });
    }
}

/// The link that stands to the VM which takes links at an address.
fn link_to(app: &App, address: SocketAddr) -> Option<Rc<Link>> {
    app.links.borrow().values().find(|link| link.address == address).cloned()
}

fn by_worker(app: &App, handles: Vec<String>) -> HashMap<SocketAddr, Vec<String>> {
    let mut by_worker: HashMap<SocketAddr, Vec<String>> = HashMap::new();
    for handle in handles {
        match (app.adapter.calls.worker_address)(&handle) {
            Some(address) => by_worker.entry(address).or_default().push(handle),
            None => info!(app.log, "result's handle not understood"; "handle" => handle),
        }
    }
    by_worker
}

/// Gives up results that this VM had made; gives the tasks that tell their workers.
pub(crate) fn release_as_owner(app: &Rc<App>, handles: Vec<String>) -> Vec<JoinHandle<()>> {
    let given_up = take_from_pools(app, &handles);
    let known: Vec<&String> = given_up.iter().flat_map(|(_, told)| &told.handles).collect();
    let unknown = handles.iter().filter(|handle| !known.contains(handle)).cloned().collect();
    let unknown = by_worker(app, unknown).into_iter().map(|(worker, handles)| {
        let app = Rc::clone(app);
        spawn_local(async move {
            tell_until_heard(&app, worker, &handles, Teller::Owner, None).await;
        })
    });
    let mut tasks: Vec<_> = unknown.collect();
    tasks.extend(given_up.into_iter().map(|(pool, told)| tell_worker_of_pool(app, pool, told)));
    tasks
}

/// Takes results out of the pools that know them.
fn take_from_pools(app: &App, handles: &[String]) -> Vec<(ServiceName, PendingRelease)> {
    app.hub.with(|shared, _| {
        let pools = shared.pools.iter_mut();
        let of_pool = |(name, pool): (&ServiceName, &mut Pool)| {
            let name = name.clone();
            pool.release(handles.to_vec()).into_iter().map(move |told| (name.clone(), told))
        };
        pools.flat_map(of_pool).collect()
    })
}

/// Takes word that the workers of results have heard that these are given up.
pub(crate) fn record_worker_releases(app: &Rc<App>, handles: &[String]) {
    app.hub.with(|shared, _| shared.leases.released(handles));
    for (pool, told) in take_from_pools(app, handles) {
        account(app, &pool, &told, true);
    }
}

fn release_as_owner_if_scarce(app: &Rc<App>, handles: &[String]) {
    let told = app.hub.with(|shared, _| {
        let pools = shared.pools.iter_mut();
        let release = |(name, pool): (&ServiceName, &mut Pool)| {
            pool.release_if_scarce(handles);
            (name.clone(), pool.release_orphans())
        };
        pools.map(release).collect::<Vec<_>>()
    });
    for (pool, told) in told {
        reclaim(app, &pool, told);
    }
}

/// Takes a peer's word that results are needed no more, or only as long as there is room.
pub(crate) fn release_for_peer(
    app: &Rc<App>,
    handles: Vec<String>,
    if_scarce: bool,
) -> Vec<JoinHandle<()>> {
    if if_scarce {
        release_as_owner_if_scarce(app, &handles);
        return Vec::new();
    }
    app.hub.with(|shared, _| shared.leases.released(&handles));
    release_as_owner(app, handles)
}

/// Gives up results that no request gave up by itself: nobody waits for them, or their room is scarce. Those who hold
/// them hear of it, so that the workers are told once.
pub(crate) fn reclaim(app: &Rc<App>, pool: &ServiceName, told: Vec<PendingRelease>) {
    for told in told {
        app.held.forget(&told.handles);
        let links = app.hub.with(|shared, _| shared.leases.reclaimed(&told.handles));
        for (link, handles) in links {
            if let Some(tx) = app.lease_links.borrow().get(&link) {
                let kind = from_owner::Kind::Reclaimed(Reclaimed { handles });
                // A peer that is gone holds nothing.
                drop(tx.send(Ok(FromOwner { kind: Some(kind) })));
            }
        }
        drop(tell_worker_of_pool(app, pool.clone(), told));
    }
}

/// Gives up the results of which the leases are over.
pub(crate) async fn release_ended_leases(app: Rc<App>) {
    let mut looks = interval(LEASE_LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = now();
    loop {
        looks.tick().await;
        if now().saturating_duration_since(last) > STOOD_STILL {
            // Holders may have given up meanwhile what they could not tell.
            sleep(RELINK).await;
        }
        last = now();
        let ended = app.hub.with(|shared, now| shared.leases.take_ended(now));
        let mut by_why: BTreeMap<EndReason, Vec<String>> = BTreeMap::new();
        for EndedLease { handle, reason } in ended {
            by_why.entry(reason).or_default().push(handle);
        }
        for (why, handles) in by_why {
            info!(app.log, "results taken over"; "results" => handles.len(), "why" => ?why);
            app.metrics.results_given_up(why_name(why), handles.len());
            drop(release_as_owner(&app, handles));
        }
    }
}

fn why_name(reason: EndReason) -> &'static str {
    match reason {
        EndReason::RequestOver => "request_over",
        EndReason::HolderGone => "holder_gone",
        EndReason::NotHeld => "not_held",
    }
}

/// Tells a worker of a pool of this VM; the room is used again once it has heard.
fn tell_worker_of_pool(app: &Rc<App>, pool: ServiceName, told: PendingRelease) -> JoinHandle<()> {
    let app = Rc::clone(app);
    spawn_local(async move {
        let worker = told.target.address;
        let heard = tell_until_heard(&app, worker, &told.handles, Teller::Owner, None).await;
        account(&app, &pool, &told, heard);
    })
}

fn account(app: &Rc<App>, pool: &ServiceName, told: &PendingRelease, heard: bool) {
    app.hub.with(|shared, now| {
        let pool = shared.pools.get_mut(pool);
        pool.map(|pool| pool.finish_release(told, heard, now))
    });
    dispatch_calls(app, pool);
}

/// The worker at an address; `None` if no target of a pool is known there.
fn worker_at(app: &App, address: SocketAddr) -> Option<Target> {
    app.hub.with(|shared, _| {
        let target = shared.targets.at_address(address)?;
        shared.pools.contains_key(&target.service).then(|| target.clone())
    })
}

/// Whether a target is not the lifetime that was told before.
fn is_another(target: &Target, before: Option<&Target>) -> bool {
    before.is_some_and(|before| target.id != before.id || target.is_other_lifetime_than(before))
}

/// What came of telling a worker.
enum Told {
    Heard,
    /// Another lifetime has its address: nothing of the earlier one is left.
    Replaced,
    /// It may not have heard.
    Missed(String),
}

/// Results of one worker that are given up, and who waits until it has heard.
pub(crate) struct QueuedRelease {
    handles: Vec<String>,
    /// After this nobody here tells the worker any more.
    until: Option<Instant>,
    /// Told whether the worker has heard.
    heard: oneshot::Sender<bool>,
}

impl QueuedRelease {
    fn is_ours(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// Tells a worker until it has heard; false if it may not have. Words to a worker follow one another, and those that
/// come meanwhile go together: requests of which pieces were made in one call give them up at the same moment.
async fn tell_until_heard(
    app: &Rc<App>,
    worker: SocketAddr,
    handles: &[String],
    teller: Teller,
    until: Option<Instant>,
) -> bool {
    let (tx, rx) = oneshot::channel();
    let word = QueuedRelease { handles: handles.to_vec(), until, heard: tx };
    let is_first = {
        let mut words = app.release_notices.borrow_mut();
        let is_first = !words.contains_key(&worker);
        words.entry(worker).or_default().push(word);
        is_first
    };
    if is_first {
        spawn_local(tell_all(Rc::clone(app), worker, teller));
    }
    // The task that tells ends with the process only.
    rx.await.unwrap_or(false)
}

/// Tells a worker of all results that are given up, until there are none.
async fn tell_all(app: Rc<App>, worker: SocketAddr, teller: Teller) {
    loop {
        let target = worker_at(&app, worker);
        if let Some(time) = target.and_then(|target| permits::release_batch_window(&app, &target)) {
            sleep(time).await;
        }
        let words = app.release_notices.borrow_mut().insert(worker, Vec::new()).unwrap_or_default();
        if words.is_empty() {
            app.release_notices.borrow_mut().remove(&worker);
            return;
        }
        let heard = tell_repeatedly(&app, worker, &words, teller).await;
        for word in words {
            let heard = heard && word.is_ours(now());
            // Whoever waited may be gone.
            word.heard.send(heard).ok();
        }
        // The connection is used again after that.
        sleep(REUSE_DELAY).await;
    }
}

/// Tells a worker again until it has heard. It is looked for each time: its entry may have lapsed for a moment, or
/// another target may have its address by now.
async fn tell_repeatedly(
    app: &Rc<App>,
    worker: SocketAddr,
    words: &[QueuedRelease],
    teller: Teller,
) -> bool {
    let mut pause = FIRST_PAUSE;
    let mut told_before: Option<Target> = None;
    for telling in 1..=MOST_TELLINGS {
        let handles = still_to_tell(words);
        if handles.is_empty() {
            return false;
        }
        let told = match worker_at(app, worker) {
            Some(target) if is_another(&target, told_before.as_ref()) => Told::Replaced,
            Some(target) => {
                let told = tell(app, &target, &handles, teller).await;
                told_before = Some(target);
                told
            }
            None => Told::Missed("not known".to_owned()),
        };
        let Told::Missed(why) = told else { return true };
        info!(app.log, "results not given up"; "worker" => %worker, "as" => ?teller,
            "results" => handles.len(), "why" => why, "telling" => telling);
        if telling < MOST_TELLINGS {
            sleep(pause).await;
            pause *= 2;
        }
    }
    app.metrics.results_given_up("not_heard", still_to_tell(words).len());
    false
}

/// Results that are not given up by somebody else by now.
fn still_to_tell(words: &[QueuedRelease]) -> Vec<String> {
    let now = now();
    let words = words.iter().filter(|word| word.is_ours(now));
    words.flat_map(|word| word.handles.clone()).collect()
}

async fn tell(app: &Rc<App>, target: &Target, handles: &[String], teller: Teller) -> Told {
    let told = send(app, target, handles).await;
    if matches!(told, Told::Heard) {
        app.metrics.results_given_up("needed_no_more", handles.len());
        debug!(app.log, "results given up"; "target" => %target.id, "as" => ?teller,
            "results" => handles.len(), "handles" => handles.join(","));
    }
    told
}

/// Sends the word, after the time for which the worker wants to be left alone.
async fn send(app: &Rc<App>, target: &Target, handles: &[String]) -> Told {
    // Without a pause the word goes out at once: even a pause of no length takes a tick of the clock, in which this
    // VM may be killed.
    if let Some(until) = app.hub.with(|shared, _| shared.backoffs.until(target)) {
        let pause = left(until);
        if pause > LONGEST_LEFT_ALONE {
            return Told::Missed("it wants to be left alone".to_owned());
        }
        sleep(pause).await;
    }
    let call = (app.adapter.calls.release)(&target.id, handles);
    let permit = permits::for_release(app, target);
    match tokio::time::timeout(RELEASE_WAIT, own_call(app, target, call, permit)).await {
        Ok(Ok(_)) => Told::Heard,
        Ok(Err(OwnCallError::OtherTarget)) => Told::Replaced,
        Ok(Err(miss)) => Told::Missed(format!("{miss:?}")),
        Err(_) => Told::Missed("no answer in time".to_owned()),
    }
}
