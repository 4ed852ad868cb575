//! Follows the platform's store: watches for changes after [`crate::store_listing`] listed its
//! content.

use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use fleet::HEARTBEAT_INTERVAL;
use ids::StoreRevision;
use platform_interface::store::{Freshness, Page};
use slog::{info, warn};
use store_view::{Completion, SILENCE_TIMEOUT};
use tokio::time::sleep;

use crate::app::App;
use crate::halls::recheck_pools;
use crate::store_calls::{Backoff, record_failure, record_success, to_view_item, unreadable};
use crate::store_changes::{Source, vms_prefix};
use crate::store_connection::{OpenAnswer, StoreCallError, StoreConnection};
use crate::store_listing::list_all;

/// A watch call waits for this fraction (1/n) of the time within which changes must be in force. On a
/// connection that fell silent, even the end of the wait does not arrive; nothing else shows that,
/// since calls on other connections are answered. The rest of the time is left for a new watch.
const WAIT_DIVISOR: u32 = 2;
/// Shortest and longest wait of one watch call; the platform counts each. A shorter one would gain
/// little: a silence shows only [`SILENCE_TIMEOUT`] after the end of the wait.
const WATCH_TIMES: RangeInclusive<Duration> = SILENCE_TIMEOUT..=Duration::from_secs(20);
/// After a change the watch pauses for this fraction (1/n) of the time within which changes must be
/// in force, so that many changes in a row cost few calls.
const BATCH_DIVISOR: u32 = 2;
/// The same if other VMs receive changes from this VM: the rest of the time is left for them.
const RELAYED_BATCH_DIVISOR: u32 = 4;

/// Follows the store; runs as long as the process.
pub(crate) async fn follow(app: Rc<App>) {
    let mut store = StoreConnection::new(&app);
    // If peers deliver everything before the first listing is complete, the watch continues from
    // their revision instead. The first listing may be stale, since the watch continues from the
    // revision that it states; that saves two thirds of the counted calls at a start. A later
    // listing must be current, since the history that the store has dropped may be newer than a
    // stale listing.
    let mut known = list_all(&app, &mut store, Freshness::MayBeStale).await;
    loop {
        follow_from(&app, &mut store, known).await;
        known = list_all(&app, &mut store, Freshness::Current).await;
    }
}

/// Follows the store from a revision on, by watching it or through peers, until the store no longer
/// has the history after the known revision, has come back from an older copy, or its content has to
/// be read anew.
async fn follow_from(app: &Rc<App>, store: &mut StoreConnection, mut known: StoreRevision) {
    let mut backoff = Backoff::new();
    loop {
        wait_until_watch_needed(app).await;
        known = known.max(app.state.with(|shared, _| shared.view.as_of()));
        let must_list =
            app.state.with(|shared, _| shared.must_read_content || known.era < shared.view.era());
        if must_list {
            return;
        }
        if !*app.store_reachable.borrow() {
            probe_or_pause(app, store, &mut backoff).await;
            continue;
        }
        match watch(app, store, known).await {
            Ok(as_of) => {
                known = known.max(as_of);
                backoff = Backoff::new();
            }
            Err(StoreCallError::HistoryCompacted) => {
                info!(app.log, "the store no longer has the history after the known revision";
                    "after" => %known);
                return;
            }
            Err(StoreCallError::Silent) => {
                warn!(app.log, "watch of the store fell silent"; "as_of" => %known);
                probe_or_pause(app, store, &mut backoff).await;
            }
            Err(error) => {
                record_failure(app, "watch", &error);
                backoff.pause().await;
                // A watch from the same revision would be as long. Pages of a listing are not.
                if matches!(error, StoreCallError::TooLong) {
                    return;
                }
            }
        }
    }
}

/// Waits until this VM has to watch the store itself, or to read its content anew. While the store is
/// reachable and other VMs watch it, the changes that they pass on suffice.
async fn wait_until_watch_needed(app: &App) {
    loop {
        let is_reachable = *app.store_reachable.borrow();
        let (watched, watches, must_read) = app.state.with(|shared, now| {
            let watches =
                !is_reachable || shared.prefers_store || shared.fleet.must_watch_store(now);
            let watched = std::mem::replace(&mut shared.watches_store, watches);
            (watched, watches, shared.must_read_content)
        });
        if watched != watches {
            info!(app.log, "role of this VM in watching the store changed";
                "this_vm" => watches, "reached" => is_reachable);
        }
        if watches || must_read {
            return;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Makes one watch call for changes after a revision; returns the revision up to which everything
/// is known then.
async fn watch(
    app: &Rc<App>,
    store: &mut StoreConnection,
    known: StoreRevision,
) -> Result<StoreRevision, StoreCallError> {
    let Some(begun) = begin_watch(app, store, known).await? else { return Ok(known) };
    let answer = store.finish(begun).await?;
    record_success(app);
    if answer.era != known.era {
        // What came before the events of another era is unknown.
        return Ok(known);
    }
    let page = (app.adapter.store.read_watch)(&answer.body).map_err(unreadable)?;
    let as_of = StoreRevision { era: answer.era, number: page.as_of };
    // More changes wait already if the answer was cut: with a pause after each, a VM that starts
    // together with thousands of targets would know them only after half a minute.
    let pauses = !page.items.is_empty() && !page.truncated;
    apply_changes(app, page, as_of);
    if pauses {
        sleep(app.cfg.max_apply_time() / batch_divisor(app)).await;
    }
    Ok(as_of)
}

/// How long a watch call waits for a change.
fn watch_time(app: &App) -> Duration {
    let time = app.cfg.max_apply_time() / WAIT_DIVISOR;
    time.clamp(*WATCH_TIMES.start(), *WATCH_TIMES.end())
}

/// Fraction (1/n) of the time within which changes must be in force for which this VM pauses after
/// a change.
fn batch_divisor(app: &App) -> u32 {
    let is_relayed = app.state.with(|shared, _| shared.fleet.is_relayed());
    if is_relayed { RELAYED_BATCH_DIVISOR } else { BATCH_DIVISOR }
}

/// Probes the store; after a failure the store counts as unreachable, and a pause follows.
async fn probe_or_pause(app: &Rc<App>, store: &mut StoreConnection, backoff: &mut Backoff) {
    if let Err(error) = probe(app, store).await {
        record_failure(app, "probe", &error);
        backoff.pause().await;
    }
}

/// Reads this VM's own entry on a new connection: an answer shows that a store that was unreachable
/// is back, or that only the connection of a watch fell silent. The read may be stale, since such a
/// read costs only a tenth of a call, and refused calls are counted too: each VM sends a dozen probes
/// in an outage of 5 s.
async fn probe(app: &Rc<App>, store: &mut StoreConnection) -> Result<(), StoreCallError> {
    let key = format!("{}{}", vms_prefix(&app.adapter), app.cfg.vm);
    let call = (app.adapter.store.list)(&key, None, Freshness::MayBeStale);
    store.call("probe", call, Duration::ZERO).await.map(|_| record_success(app))
}

/// Starts a watch call and returns the answer once it begins; `None` if the store became
/// unreachable meanwhile, or the watch stalled while peers know more. An answer that has begun is
/// not interrupted by either: it is read as long as bytes arrive.
async fn begin_watch(
    app: &Rc<App>,
    store: &mut StoreConnection,
    known: StoreRevision,
) -> Result<Option<OpenAnswer>, StoreCallError> {
    let mut reachable = app.store_reachable.subscribe();
    // One watch over all keys: the platform counts each watch, and all keys share one revision.
    let wait = watch_time(app);
    let call = (app.adapter.store.watch)("", known.number, wait);
    tokio::select! {
        begun = store.begin("watch", call, wait) => return begun.map(Some),
        () = wait_until_unreachable(&mut reachable) => {}
        () = app.watch_stalled.notified() => {}
    }
    store.close();
    Ok(None)
}

/// Applies the changes in the answer to a watch call.
fn apply_changes(app: &Rc<App>, page: Page, as_of: StoreRevision) {
    let own_prefix = app.adapter.intents.own_prefix;
    let may_change_vms = page.items.iter().any(|item| item.key.starts_with(own_prefix));
    app.state.with(|shared, now| {
        let items = page.items.into_iter().map(|item| to_view_item(item, as_of.era)).collect();
        shared.merge(items, Source::Watch, now);
        shared.complete_up_to(as_of, Completion::Changes, now);
        shared.prefers_store = false;
    });
    recheck_pools(app);
    if may_change_vms {
        app.vms_changed.notify_one();
    }
}

/// Completes when the store becomes unreachable.
async fn wait_until_unreachable(reachable: &mut tokio::sync::watch::Receiver<bool>) {
    if reachable.wait_for(|reachable| !reachable).await.is_err() {
        // The process is ending.
        std::future::pending::<()>().await;
    }
}
