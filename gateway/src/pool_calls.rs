//! Calls of the pools that this VM fills: which are made, what comes of their pieces, and results given up.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use batching::{Call, CallEnd, CallKey, Finished, GivenUp, JobKey, Made, Pool};
use doors::calls::{OwnCall, PieceCall};
use ids::{ServiceName, TargetName};
use intent::Target;
use slog::{debug, info};
use tokio::task::{JoinHandle, spawn_local};

use crate::app::App;
use crate::call_counts::{Counts, end_name};
use crate::hub::{left, now};
use crate::own_calls::{OwnCallMiss, own_call};
use crate::permits::Permit;
use crate::piece_news::{PieceNews, Sink};
use crate::{crashes, link_words, permits, reach};

/// Longest wait for a target to confirm that results were given up.
const RELEASE_WAIT: Duration = Duration::from_millis(500);

/// Longest pause before a worker that wants to be left alone is told that results are given up. Most results
/// run out by themselves after some seconds, so that a later word frees little.
const LONGEST_RELEASE_PAUSE: Duration = Duration::from_secs(2);

/// Makes the calls that can be made now, and plans the next look at the queue.
pub(crate) fn fill_calls(app: &Rc<App>, pool: &ServiceName) {
    end_without_inputs(app, pool);
    end_without_workers(app, pool);
    end_refused(app, pool);
    loop {
        let next = app.hub.with(|shared, now| {
            let pool = shared.pools.get_mut(pool)?;
            Some((pool.next_call(now)?, pool.release_orphans()))
        });
        let Some((call, orphans)) = next else { break };
        let permit = permits::for_pool_call(app, &call.target);
        tell_workers(app, pool, orphans);
        spawn_local(make(Rc::clone(app), pool.clone(), call, permit));
    }
    let look = app.hub.with(|shared, now| shared.pools.get(pool)?.next_look(now));
    if let Some(at) = look {
        plan_look(app, pool, tokio::time::Instant::from_std(at));
    }
}

/// Hands back pieces whose inputs are out of reach: the VM of the request has them made anew.
fn end_without_inputs(app: &App, pool: &ServiceName) {
    let finished = app.hub.with(|shared, _| {
        let jobs = shared.out_of_inputs(pool);
        let pool = shared.pools.get_mut(pool);
        let give_up = |pool: &mut Pool| -> Vec<Finished> {
            jobs.into_iter().flat_map(|job| pool.give_up(job, &Made::Gone)).collect()
        };
        pool.map(give_up)
    });
    if let Some(finished) = finished.filter(|finished| !finished.is_empty()) {
        hand_back(app, pool, finished);
    }
}

/// Hands back pieces that can't be made in time since no worker may be called.
fn end_without_workers(app: &App, pool: &ServiceName) {
    let finished = app.hub.with(|shared, now| {
        let pool = shared.pools.get_mut(pool);
        pool.map(|pool| pool.give_up_unservable(now)).unwrap_or_default()
    });
    if !finished.is_empty() {
        info!(app.log, "pieces given up"; "pool" => %pool, "pieces" => finished.len(),
            "why" => "no worker may be called in their time");
        hand_back(app, pool, finished);
    }
}

/// Hands back pieces of requests that are refused, since such pieces end the workers that make them.
fn end_refused(app: &App, pool: &ServiceName) {
    let finished = app.hub.with(|shared, now| {
        let jobs = shared.refused_jobs(pool, now);
        let pool = shared.pools.get_mut(pool)?;
        let given_up = jobs.into_iter().flat_map(|job| pool.give_up(job, &Made::Broken));
        Some(given_up.collect::<Vec<_>>())
    });
    if let Some(finished) = finished.filter(|finished| !finished.is_empty()) {
        info!(app.log, "pieces given up"; "pool" => %pool, "pieces" => finished.len(),
            "why" => "such pieces end their workers");
        hand_back(app, pool, finished);
    }
}

fn plan_look(app: &Rc<App>, pool: &ServiceName, at: tokio::time::Instant) {
    let planned = app.planned_looks.borrow().get(pool).copied();
    if planned.is_some_and(|planned| planned <= at) {
        return;
    }
    app.planned_looks.borrow_mut().insert(pool.clone(), at);
    let (app, pool) = (Rc::clone(app), pool.clone());
    spawn_local(async move {
        tokio::time::sleep_until(at).await;
        let mine = app.planned_looks.borrow().get(&pool) == Some(&at);
        if mine {
            app.planned_looks.borrow_mut().remove(&pool);
            fill_calls(&app, &pool);
        }
    });
}

/// Makes one call and hands on what it brings.
async fn make(app: Rc<App>, pool: ServiceName, call: Call, permit: Permit) {
    let pieces = piece_calls(&app, &pool, &call);
    let began = now();
    let contents = crashes::contents_of_call(&app, &pool, &call);
    let end = if pieces.len() == call.pieces.len() {
        let lifetime = app.hub.with(|shared, _| shared.lifetime_of(&call.target));
        let req = (app.doors.calls.pieces)(&call.target.id, &pieces);
        match send(&app, &pool, &call, req, permit).await {
            Ok(end) => end,
            Err(CallBroke) => {
                crashes::call_broke(&app, &contents, &call.target, lifetime).await;
                CallEnd::Failed
            }
        }
    } else {
        // A submission was cancelled between the choice and the call; nothing was sent.
        CallEnd::Full
    };
    crashes::pieces_completed(&app, &contents, &end);
    let name = end_name(&end);
    let counts = Counts::of(&end);
    info!(app.log, "pool call"; "pool" => %pool, "target" => %call.target.id,
        "pieces" => call.pieces.len(), "made" => counts.made, "end" => name,
        "failed" => counts.failed, "no_room" => counts.no_room, "input_gone" => counts.gone,
        "late" => counts.late,
        "room_used" => call.room_used, "waited_ms" => call.waited.as_millis(),
        "still_waiting" => call.still_waiting, "took_ms" => (now() - began).as_millis());
    app.metrics.attempt_ended(pool.as_str(), call.target.id.as_str(), name);
    if end == CallEnd::TargetGone {
        app.hub.with(|shared, now| shared.target_replaced(&call.target, now));
    }
    let (finished, orphans) = app.hub.with(|shared, now| match shared.pools.get_mut(&pool) {
        Some(pool) => (pool.call_ended(call.key, end, now), pool.release_orphans()),
        None => (Vec::new(), Vec::new()),
    });
    tell_workers(&app, &pool, orphans);
    hand_back(&app, &pool, finished);
    fill_calls(&app, &pool);
}

/// A call's connection ended before its answer was whole.
struct CallBroke;

/// Sends a pool's call; tells on the way when its inputs have been fetched.
async fn send(
    app: &Rc<App>,
    pool: &ServiceName,
    call: &Call,
    req: OwnCall,
    permit: Permit,
) -> Result<CallEnd, CallBroke> {
    let sent = tokio::time::timeout(call.patience, own_call(app, &call.target, req, permit));
    let mut sent = std::pin::pin!(sent);
    let mut fetch = std::pin::pin!(fetched(call.fetch));
    let mut out = app.out_halls.subscribe();
    let mut fetches = true;
    loop {
        tokio::select! {
            sent = &mut sent => return end_of(app, sent.unwrap_or(Err(OwnCallMiss::TimedOut))),
            () = &mut fetch, if fetches => {
                fetches = false;
                tell_fetched(app, pool, call.key);
            }
            () = reach::lost(&mut out, &call.target.hall) => return Ok(CallEnd::OutOfReach),
        }
    }
}

/// Ends when the inputs of a call have been fetched, if that can be told.
async fn fetched(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => std::future::pending().await,
    }
}

/// Tells those whose inputs are needed no more: room at their workers is scarcer than time.
fn tell_fetched(app: &App, pool: &ServiceName, call: CallKey) {
    let jobs = app.hub.with(|shared, _| {
        shared.pools.get_mut(pool).map(|pool| pool.fetched(call)).unwrap_or_default()
    });
    let sinks = app.sinks.borrow();
    for job in jobs {
        match sinks.get(&(pool.clone(), job)) {
            // A request that is gone gives its results up by itself.
            Some(Sink::Here(tx, of)) => drop(tx.send(PieceNews::Fetched { of: *of })),
            Some(Sink::Peer(tx, number)) => link_words::send_fetched(tx, *number),
            None => {}
        }
    }
}

fn piece_calls(app: &App, pool: &ServiceName, call: &Call) -> Vec<PieceCall> {
    app.hub.with(|shared, now| {
        let Some(pool) = shared.pools.get(pool) else { return Vec::new() };
        let piece_call = |(job, piece): &(JobKey, u32)| {
            let submission = pool.submission(*job)?;
            Some(PieceCall {
                request: submission.request.clone(),
                stage: submission.stage,
                piece: *piece,
                left: submission.until.saturating_duration_since(now),
                key: submission.key.clone(),
                inputs: submission.inputs.clone(),
            })
        };
        call.pieces.iter().filter_map(piece_call).collect()
    })
}

fn end_of(app: &App, sent: Result<bytes::Bytes, OwnCallMiss>) -> Result<CallEnd, CallBroke> {
    Ok(match sent {
        Ok(body) => match (app.doors.calls.read_pieces)(&body) {
            Ok(answers) => CallEnd::Answered(answers),
            Err(e) => {
                info!(app.log, "pool answer not understood"; "why" => %e);
                CallEnd::Failed
            }
        },
        Err(OwnCallMiss::Declined) => CallEnd::Full,
        Err(OwnCallMiss::OtherTarget) => CallEnd::TargetGone,
        Err(OwnCallMiss::Broke) => return Err(CallBroke),
        Err(OwnCallMiss::NotReached | OwnCallMiss::TimedOut | OwnCallMiss::Failed) => {
            CallEnd::Failed
        }
    })
}

/// Hands finished pieces to those who wait for them.
fn hand_back(app: &App, pool: &ServiceName, finished: Vec<Finished>) {
    let mut sinks = app.sinks.borrow_mut();
    let jobs: BTreeSet<JobKey> = finished.iter().map(|finished| finished.job).collect();
    for Finished { job, piece, made } in finished {
        match sinks.get(&(pool.clone(), job)) {
            // A request that is gone cancels its submission by itself.
            Some(Sink::Here(tx, of)) => {
                drop(tx.send(PieceNews::Done { of: *of, piece, made }));
            }
            Some(Sink::Peer(tx, number)) => link_words::send_done(tx, *number, piece, made),
            None => {}
        }
    }
    app.hub.with(|shared, _| {
        let done =
            |job: &JobKey| shared.pools.get(pool).is_none_or(|p| p.submission(*job).is_none());
        for job in jobs.into_iter().filter(done) {
            sinks.remove(&(pool.clone(), job));
        }
    });
}

/// Gives up results that this VM had made; gives the tasks that tell their workers.
pub(crate) fn release_here(app: &Rc<App>, handles: &[String]) -> Vec<JoinHandle<()>> {
    let given_up: Vec<(ServiceName, Vec<GivenUp>)> = app.hub.with(|shared, _| {
        let pools = shared.pools.iter_mut();
        pools.map(|(name, pool)| (name.clone(), pool.release(handles.to_vec()))).collect()
    });
    let tasks = given_up.into_iter().map(|(pool, told)| tell_workers(app, &pool, told));
    tasks.flatten().collect()
}

/// Gives up results that this VM had made, if their workers' room is scarce.
pub(crate) fn release_if_scarce_here(app: &Rc<App>, handles: &[String]) {
    let told = app.hub.with(|shared, _| {
        let pools = shared.pools.iter_mut();
        let release = |(name, pool): (&ServiceName, &mut Pool)| {
            pool.release_if_scarce(handles);
            (name.clone(), pool.release_orphans())
        };
        pools.map(release).collect::<Vec<_>>()
    });
    for (pool, told) in told {
        tell_workers(app, &pool, told);
    }
}

/// Gives up results at their workers, whoever had them made.
pub(crate) fn release_directly(app: &Rc<App>, handles: &[String]) {
    let mut by_worker: HashMap<TargetName, (Target, Vec<String>)> = HashMap::new();
    for handle in handles {
        let Some(address) = (app.doors.calls.worker)(handle) else { continue };
        let worker = app.hub.with(|shared, _| shared.targets.at(address).cloned());
        if let Some(worker) = worker {
            let of_worker = by_worker.entry(worker.id.clone()).or_insert((worker, Vec::new()));
            of_worker.1.push(handle.clone());
        }
    }
    for (target, handles) in by_worker.into_values() {
        let app = Rc::clone(app);
        spawn_local(async move { tell_worker(&app, &target, &handles, Teller::Requester).await });
    }
}

/// Tells workers that results are given up; their room is used again once they have heard. Gives the tasks that do.
fn tell_workers(app: &Rc<App>, pool: &ServiceName, told: Vec<GivenUp>) -> Vec<JoinHandle<()>> {
    let tell = |told: GivenUp| {
        let (app, pool) = (Rc::clone(app), pool.clone());
        spawn_local(async move {
            let heard = tell_worker(&app, &told.target, &told.handles, Teller::Owner).await;
            app.hub.with(|shared, now| {
                let pool = shared.pools.get_mut(&pool);
                pool.map(|pool| pool.given_up(&told, heard, now))
            });
            fill_calls(&app, &pool);
        })
    };
    told.into_iter().map(tell).collect()
}

/// Which VM tells a worker that results are given up, for the log.
#[derive(Debug, Clone, Copy)]
enum Teller {
    /// The one that had them made.
    Owner,
    /// The one whose request they belong to.
    Requester,
}

/// Tells a worker that results are given up; false if it may not have heard.
async fn tell_worker(app: &Rc<App>, target: &Target, handles: &[String], teller: Teller) -> bool {
    let Some(handles) = gathered(app, target, handles).await else { return true };
    let told = send_release(app, target, &handles).await;
    match &told {
        Ok(()) => debug!(app.log, "results given up"; "target" => %target.id, "as" => ?teller,
            "results" => handles.len(), "handles" => handles.join(",")),
        Err(why) => info!(app.log, "results not given up"; "target" => %target.id, "as" => ?teller,
            "results" => handles.len(), "handles" => handles.join(","), "why" => why),
    }
    told.is_ok()
}

/// Handles that are told in one word, which may be those of others too; `None` if another word has them.
async fn gathered(app: &Rc<App>, target: &Target, handles: &[String]) -> Option<Vec<String>> {
    let Some(time) = permits::gathers_for(app, target) else { return Some(handles.to_vec()) };
    let is_first = {
        let mut gathered = app.releases.borrow_mut();
        let of_target = gathered.entry(target.id.clone()).or_default();
        of_target.extend_from_slice(handles);
        of_target.len() == handles.len()
    };
    tokio::time::sleep(time).await;
    if !is_first {
        return None;
    }
    app.releases.borrow_mut().remove(&target.id)
}

/// Sends the word, after the time for which the worker wants to be left alone; else tells why not.
async fn send_release(app: &Rc<App>, target: &Target, handles: &[String]) -> Result<(), String> {
    // Without a pause the word goes out at once: even a pause of no length takes a tick of the clock, in which this
    // VM may be killed (beside load 5 of 12 results stayed with one, 4 of 24 without).
    if let Some(until) = app.hub.with(|shared, _| shared.left_alone.until(target)) {
        let pause = left(until);
        if pause > LONGEST_RELEASE_PAUSE {
            return Err("it wants to be left alone".to_owned());
        }
        tokio::time::sleep(pause).await;
    }
    let call = (app.doors.calls.release)(&target.id, handles);
    let permit = permits::for_release(app, target);
    match tokio::time::timeout(RELEASE_WAIT, own_call(app, target, call, permit)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(miss)) => Err(format!("{miss:?}")),
        Err(_) => Err("no answer in time".to_owned()),
    }
}
