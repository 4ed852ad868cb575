//! Makes the calls of the pools that this VM owns and delivers the results of their pieces.
//!
//! A call is a batch of pieces, of one or more requests, that is sent to one worker of the pool.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use batching::{Call, CallEnd, CallKey, FinishedPiece, JobKey, PieceOutcome, Pool};
use ids::ServiceName;
use platform_interface::calls::{PieceAnswer, PieceCall};
use slog::info;
use tokio::task::spawn_local;

use crate::app::App;
use crate::call_counts::{PieceCounts, end_name};
use crate::held_results::{Origin, ResultExpiry};
use crate::own_calls::{OwnCallError, run_pieces};
use crate::permits::Permit;
use crate::piece_events::{PeerSink, PieceEvent, Sink};
use crate::state_handle::now;
use crate::{
    crashes, hall_reachability, input_fetches, link_messages, permits, releases, target_connecting,
};

/// Time to read an answer that has already arrived when its call times out. A VM that was paused
/// has not read it yet, and nobody else learns the results' handles.
const LAST_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Makes the calls of a pool that can be made now, and schedules the next check of its queue.
pub(crate) fn dispatch_calls(app: &Rc<App>, pool: &ServiceName) {
    fail_without_inputs(app, pool);
    fail_without_workers(app, pool);
    fail_quarantined(app, pool);
    loop {
        let next = app.state.with(|shared, now| {
            let pool = shared.pools.get_mut(pool)?;
            Some((pool.next_call(now)?, pool.release_queued()))
        });
        let Some((call, pending_releases)) = next else { break };
        let permit = permits::for_pool_call(app, &call.target);
        releases::reclaim(app, pool, pending_releases);
        spawn_local(run_call(Rc::clone(app), pool.clone(), call, permit));
    }
    let wakeup = app.state.with(|shared, now| shared.pools.get(pool)?.next_wakeup(now));
    if let Some(at) = wakeup {
        schedule_dispatch(app, pool, tokio::time::Instant::from_std(at));
    }
}

/// Finishes waiting pieces whose inputs are unreachable; the VM of the request runs the stages of
/// the inputs again.
fn fail_without_inputs(app: &Rc<App>, pool: &ServiceName) {
    let finished = app.state.with(|shared, _| {
        let jobs = shared.jobs_with_unreachable_inputs(pool);
        let pool = shared.pools.get_mut(pool);
        let finish_jobs = |pool: &mut Pool| -> Vec<FinishedPiece> {
            jobs.into_iter()
                .flat_map(|job| pool.finish_waiting(job, &PieceOutcome::InputGone))
                .collect()
        };
        pool.map(finish_jobs)
    });
    if let Some(finished) = finished.filter(|finished| !finished.is_empty()) {
        deliver(app, pool, finished);
    }
}

/// Fails waiting pieces that can't be run in time because no worker may be called.
fn fail_without_workers(app: &Rc<App>, pool: &ServiceName) {
    let finished = app.state.with(|shared, now| {
        let pool = shared.pools.get_mut(pool);
        pool.map(|pool| pool.fail_unservable(now)).unwrap_or_default()
    });
    if !finished.is_empty() {
        info!(app.log, "pieces given up"; "pool" => %pool, "pieces" => finished.len(),
            "why" => "no worker may be called before their deadline");
        deliver(app, pool, finished);
    }
}

/// Fails waiting pieces of quarantined requests, since such pieces crash the workers that run them.
fn fail_quarantined(app: &Rc<App>, pool: &ServiceName) {
    let finished = app.state.with(|shared, now| {
        let jobs = shared.refused_jobs(pool, now);
        let pool = shared.pools.get_mut(pool)?;
        let given_up =
            jobs.into_iter().flat_map(|job| pool.finish_waiting(job, &PieceOutcome::Failed));
        Some(given_up.collect::<Vec<_>>())
    });
    if let Some(finished) = finished.filter(|finished| !finished.is_empty()) {
        info!(app.log, "pieces given up"; "pool" => %pool, "pieces" => finished.len(),
            "why" => "such pieces crash their workers");
        deliver(app, pool, finished);
    }
}

/// Schedules the next check of a pool's queue, unless an earlier one is already scheduled.
fn schedule_dispatch(app: &Rc<App>, pool: &ServiceName, at: tokio::time::Instant) {
    let planned = app.planned_pool_checks.borrow().get(pool).copied();
    if planned.is_some_and(|planned| planned <= at) {
        return;
    }
    app.planned_pool_checks.borrow_mut().insert(pool.clone(), at);
    let (app, pool) = (Rc::clone(app), pool.clone());
    spawn_local(async move {
        tokio::time::sleep_until(at).await;
        let is_current = app.planned_pool_checks.borrow().get(&pool) == Some(&at);
        if is_current {
            app.planned_pool_checks.borrow_mut().remove(&pool);
            dispatch_calls(&app, &pool);
        }
    });
}

/// Makes one call, delivers the outcome of its pieces, and then makes the calls that can follow it.
async fn run_call(app: Rc<App>, pool: ServiceName, call: Call, permit: Permit) {
    let pieces = piece_calls(&app, &pool, &call);
    let started = now();
    let digests = crashes::request_digests_of_call(&app, &pool, &call);
    let (entry, as_of) =
        app.state.with(|shared, _| (shared.entry_revision(&call.target.id), shared.view.as_of()));
    let end = if pieces.len() == call.pieces.len() {
        let lifetime = app.state.with(|shared, _| shared.lifetime_of(&call.target));
        match send(&app, &pool, &call, pieces, permit).await {
            Ok(end) => end,
            Err(ConnectionBroke) => {
                crashes::check_broken_call(&app, &digests, &call.target, lifetime).await;
                CallEnd::Failed
            }
        }
    } else {
        // A submission was canceled after the call was planned. Nothing was sent; the other
        // pieces are queued again, as after a call that a full worker rejected.
        CallEnd::Full
    };
    crashes::pieces_completed(&app, &digests, &end);
    let name = end_name(&end);
    let counts = PieceCounts::of(&end);
    info!(app.log, "pool call"; "pool" => %pool, "target" => %call.target.id,
        "pieces" => call.pieces.len(), "made" => counts.made, "end" => name,
        "failed" => counts.failed, "no_room" => counts.no_room, "input_gone" => counts.input_gone,
        "late" => counts.late,
        "room_used" => call.room_used, "waited_ms" => call.waited.as_millis(),
        "still_waiting" => call.still_waiting, "entry_as_of" => %entry, "as_of" => %as_of,
        "took_ms" => (now() - started).as_millis());
    app.metrics.attempt_ended(pool.as_str(), call.target.id.as_str(), name);
    if matches!(end, CallEnd::Answered(_)) {
        let (has_failed, took) = (counts.failed > 0, now() - started);
        app.state.with(|shared, now| {
            shared.record_pool_answer(&call.target, has_failed, took, call.expected, now);
        });
    }
    if end == CallEnd::TargetGone {
        app.state.with(|shared, now| shared.target_replaced(&call.target, now));
    }
    let (finished, pending_releases) =
        app.state.with(|shared, now| match shared.pools.get_mut(&pool) {
            Some(pool) => (pool.call_ended(call.key, end, now), pool.release_queued()),
            None => (Vec::new(), Vec::new()),
        });
    releases::reclaim(&app, &pool, pending_releases);
    deliver(&app, &pool, finished);
    dispatch_calls(&app, &pool);
}

/// The connection of a call ended before its answer was complete.
struct ConnectionBroke;

/// Sends a pool's call and, meanwhile, notifies the waiting requests when its inputs have been
/// fetched.
async fn send(
    app: &Rc<App>,
    pool: &ServiceName,
    call: &Call,
    pieces: Vec<PieceCall>,
    permit: Permit,
) -> Result<CallEnd, ConnectionBroke> {
    // The results of a call that timed out are of use for as long as the worker keeps them.
    let within = call.timeout + LAST_READ_TIMEOUT + result_life(app, pool);
    let mut sent = Box::pin({
        let (app, target) = (Rc::clone(app), call.target.clone());
        async move { run_pieces(&app, &target, &pieces, permit, within).await }
    });
    let mut timeout = std::pin::pin!(tokio::time::sleep(call.timeout));
    let mut fetch = std::pin::pin!(input_fetches::wait_until_fetched(app, call));
    let mut unreachable = app.unreachable_halls.subscribe();
    let mut fetch_pending = true;
    loop {
        tokio::select! {
            sent = &mut sent => return call_end(sent),
            () = &mut timeout => {
                let arrived = tokio::time::timeout(LAST_READ_TIMEOUT, &mut sent).await;
                if arrived.is_err() && is_running(app, pool, call.key) {
                    spawn_local(release_late_results(Rc::clone(app), pool.clone(), sent));
                }
                if arrived.is_err() {
                    target_connecting::check_path(app, &call.target);
                }
                return call_end(arrived.unwrap_or(Err(OwnCallError::TimedOut)));
            }
            () = &mut fetch, if fetch_pending => {
                fetch_pending = false;
                notify_fetched(app, pool, call.key);
            }
            () = hall_reachability::until_unreachable(&mut unreachable, &call.target.hall) =>
                return Ok(CallEnd::HallUnreachable),
        }
    }
}

/// How long the workers of a pool keep results.
fn result_life(app: &App, pool: &ServiceName) -> Duration {
    app.state.with(|shared, _| shared.pools.get(pool).map(Pool::result_life)).unwrap_or_default()
}

/// Whether the worker is taken to be running a call: it is the only call of this VM there. Closing
/// the connection does not stop a running call. If this VM has another call there, this one may
/// still wait in the worker's queue, and closing the connection removes it from that queue.
fn is_running(app: &App, pool: &ServiceName, call: CallKey) -> bool {
    app.state.with(|shared, _| shared.pools.get(pool).is_some_and(|pool| pool.is_only_call(call)))
}

/// Releases the results of a call that timed out, once the worker has made them: nobody else learns
/// their handles.
async fn release_late_results(
    app: Rc<App>,
    pool: ServiceName,
    sent: impl Future<Output = Result<Vec<PieceAnswer>, OwnCallError>>,
) {
    let Ok(answers) = sent.await else { return };
    let handles = answers.into_iter().filter_map(|answer| match answer {
        PieceAnswer::Stored(handle) => Some(handle),
        _ => None,
    });
    let handles: Vec<String> = handles.collect();
    info!(app.log, "results of a late answer released"; "pool" => %pool,
        "results" => handles.len());
    app.metrics.results_given_up("late_answer", handles.len());
    drop(releases::release_as_owner(&app, handles));
}

/// Tells the waiting requests that their inputs are no longer needed, so that these can be released
/// early: workers' room is scarcer than time.
fn notify_fetched(app: &App, pool: &ServiceName, call: CallKey) {
    let jobs = app.state.with(|shared, _| {
        shared.pools.get_mut(pool).map(|pool| pool.inputs_fetched(call)).unwrap_or_default()
    });
    let sinks = app.sinks.borrow();
    for job in jobs {
        match sinks.get(&(pool.clone(), job)) {
            // A request that has ended releases its results itself.
            Some(Sink::Local(tx, stage_submission)) => {
                drop(tx.send(PieceEvent::Fetched { submission: *stage_submission }))
            }
            Some(Sink::Peer(peer)) => link_messages::send_fetched(&peer.tx, peer.number),
            None => {}
        }
    }
}

/// The pieces of a call as the worker is sent them, without those whose submission was canceled.
fn piece_calls(app: &App, pool: &ServiceName, call: &Call) -> Vec<PieceCall> {
    app.state.with(|shared, now| {
        let Some(pool) = shared.pools.get(pool) else { return Vec::new() };
        let piece_call = |(job, piece): &(JobKey, u32)| {
            let submission = pool.submission(*job)?;
            Some(PieceCall {
                request: submission.request.clone(),
                stage: submission.stage,
                piece: *piece,
                time_left: submission.deadline.saturating_duration_since(now),
                key: submission.piece_key.clone(),
                inputs: submission.inputs.clone(),
            })
        };
        call.pieces.iter().filter_map(piece_call).collect()
    })
}

/// Converts the answer to a call, or the lack of one, to its end.
fn call_end(sent: Result<Vec<PieceAnswer>, OwnCallError>) -> Result<CallEnd, ConnectionBroke> {
    Ok(match sent {
        Ok(answers) => CallEnd::Answered(answers),
        Err(OwnCallError::Declined) => CallEnd::Full,
        Err(OwnCallError::OtherTarget) => CallEnd::TargetGone,
        Err(OwnCallError::Broke) => return Err(ConnectionBroke),
        Err(OwnCallError::NotReached | OwnCallError::TimedOut | OwnCallError::Failed) => {
            CallEnd::Failed
        }
    })
}

/// Grants the peer a lease on a result; from now on the peer has to release it.
fn grant_lease(app: &App, pool: &ServiceName, peer: &PeerSink, outcome: &PieceOutcome) {
    let (Some(link), PieceOutcome::Stored(handle)) = (peer.link_key, outcome) else { return };
    app.state.with(|shared, now| {
        let life = shared.pools.get(pool).map(Pool::result_life).unwrap_or_default();
        shared.leases.granted(link, handle.clone(), peer.until, now + life);
    });
}

/// Delivers finished pieces to the requests that wait for them.
fn deliver(app: &Rc<App>, pool: &ServiceName, finished: Vec<FinishedPiece>) {
    let mut sinks = app.sinks.borrow_mut();
    let jobs: BTreeSet<JobKey> = finished.iter().map(|finished| finished.job).collect();
    let mut unread = Vec::new();
    let now = now();
    let life = result_life(app, pool);
    for FinishedPiece { job, piece, outcome } in finished {
        match sinks.get(&(pool.clone(), job)) {
            Some(Sink::Local(tx, stage_submission)) => {
                if let PieceOutcome::Stored(handle) = &outcome {
                    app.held.add(
                        handle,
                        Origin::Local,
                        ResultExpiry { request_deadline: now + life, life },
                        now,
                    );
                }
                if tx
                    .send(PieceEvent::Done {
                        submission: *stage_submission,
                        piece,
                        outcome: outcome.clone(),
                    })
                    .is_err()
                {
                    unread.extend(outcome.handle().map(str::to_owned));
                }
            }
            Some(Sink::Peer(peer)) => {
                grant_lease(app, pool, peer, &outcome);
                link_messages::send_done(&peer.tx, peer.number, piece, outcome);
            }
            None => {}
        }
    }
    app.state.with(|shared, _| {
        let is_done =
            |job: &JobKey| shared.pools.get(pool).is_none_or(|p| p.submission(*job).is_none());
        for job in jobs.into_iter().filter(is_done) {
            sinks.remove(&(pool.clone(), job));
        }
    });
    drop(sinks);
    releases::release_results(app, &unread);
}
