//! Follows the platform's store: reads what it holds and waits for changes.

use std::rc::Rc;
use std::time::Duration;

use fleet::HEARTBEAT_INTERVAL;
use platform_adapter::store::{Freshness, Page, StoreItem};
use slog::{info, warn};
use store_view::Item;
use tokio::time::sleep;

use crate::app::App;
use crate::halls::recheck_pools;
use crate::shared::vms_prefix;
use crate::store_connection::{OpenAnswer, StoreCallError, StoreConnection};

/// Longest wait of a watch. Each one is a counted call; that the store is out of reach shows sooner,
/// in the renewals of this VM's lease, which cost a tenth of it.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// After a change the watch pauses for this part of the time within which changes must be in force,
/// so that many changes in a row cost few calls.
const GATHER_PART: u32 = 2;
/// The same where others hear of changes from this VM: the rest of the bound is theirs.
const RELAYED_GATHER_PART: u32 = 4;
/// First pause after a failed call; doubles with each one in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// Longest pause after a failed call: refused calls count too, and a store that is back is found
/// well within the seconds that changes may take after its return.
pub(crate) const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Pauses between failed calls, each twice as long as the one before.
struct Pauses(Duration);

impl Pauses {
    fn new() -> Self {
        Pauses(FIRST_PAUSE)
    }

    async fn pause(&mut self) {
        sleep(self.0).await;
        self.0 = (self.0 * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Follows the store for as long as the process runs.
pub(crate) async fn follow(app: Rc<App>) {
    let mut store = StoreConnection::new(&app);
    // What came whole from a peer is not read again: its changes are watched from there on.
    // The first listing may be old, since it is watched on from the revision that it tells; after that
    // it may not, since history that is forgotten may be newer than an old listing. Of the counted calls
    // of a start it takes two thirds away.
    let mut known = list_all(&app, &mut store, Freshness::MayBeStale).await;
    loop {
        follow_from(&app, &mut store, known).await;
        known = list_all(&app, &mut store, Freshness::Current).await;
    }
}

/// Follows the store from a revision on, itself or by what peers tell, until history is forgotten.
async fn follow_from(app: &Rc<App>, store: &mut StoreConnection, mut known: u64) {
    let mut pauses = Pauses::new();
    loop {
        rely_on_peers(app).await;
        known = known.max(app.hub.with(|shared, _| shared.view.as_of()));
        if !*app.store_reachable.borrow() {
            if let Err(miss) = probe(app, store).await {
                record_failure(app, "probe", &miss);
                pauses.pause().await;
            }
            continue;
        }
        match watch(app, store, known).await {
            Ok(as_of) => {
                known = known.max(as_of);
                pauses = Pauses::new();
            }
            Err(StoreCallError::HistoryCompacted) => {
                info!(app.log, "the store forgot its history"; "after" => known);
                return;
            }
            Err(miss) => {
                record_failure(app, "watch", &miss);
                pauses.pause().await;
            }
        }
    }
}

/// Waits for as long as peers that follow the store are heard and the store is in reach.
async fn rely_on_peers(app: &App) {
    loop {
        let reached = *app.store_reachable.borrow();
        let (watched, watches) = app.hub.with(|shared, now| {
            let watches = !reached || shared.prefers_store || shared.fleet.must_watch_store(now);
            (std::mem::replace(&mut shared.watches_store, watches), watches)
        });
        if watched != watches {
            info!(app.log, "who follows the store"; "this_vm" => watches, "reached" => reached);
        }
        if watches {
            return;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// A listing under way; what was read stays when a call fails.
#[derive(Default)]
struct Listing {
    /// Items of the prefix that is being read.
    items: Vec<Item>,
    /// Lowest revision of its pages.
    as_of: Option<u64>,
    /// Prefixes read.
    done: usize,
    /// Lowest revision of all pages.
    known: Option<u64>,
}

/// Reads all that this VM has to know; gives the revision from which changes are to be watched.
/// A listing that may be old ends as well once all of it came from peers.
async fn list_all(app: &Rc<App>, store: &mut StoreConnection, freshness: Freshness) -> u64 {
    let mut listing = Listing::default();
    let mut pauses = Pauses::new();
    loop {
        match list(app, store, &mut listing, freshness).await {
            Ok(()) => break,
            Err(miss) => {
                record_failure(app, "list", &miss);
                pauses.pause().await;
            }
        }
        let from_peers = app.hub.with(|shared, _| shared.view.as_of());
        if freshness == Freshness::MayBeStale && from_peers > 0 {
            return from_peers;
        }
    }
    let known = listing.known.unwrap_or(0);
    app.hub.with(|shared, _| shared.view.advance_to(known));
    app.vms_changed.notify_one();
    known
}

/// Goes on with a listing until it is whole or a call fails.
async fn list(
    app: &Rc<App>,
    store: &mut StoreConnection,
    so_far: &mut Listing,
    freshness: Freshness,
) -> Result<(), StoreCallError> {
    let adapter = app.adapter.intents;
    let prefixes = [
        adapter.intent_key,
        adapter.evacuations_prefix,
        adapter.targets_prefix,
        adapter.own_prefix,
    ];
    while let Some(prefix) = prefixes.get(so_far.done) {
        let after = so_far.items.last().map(|item| item.key.clone());
        let call = (app.adapter.store.list)(prefix, after.as_deref(), freshness);
        let body = store.call("list", call, Duration::ZERO).await?;
        let page = (app.adapter.store.read_list)(&body).map_err(unreadable)?;
        let as_of = so_far.as_of.map_or(page.as_of, |first| first.min(page.as_of));
        so_far.as_of = Some(as_of);
        let more = page.truncated && !page.items.is_empty();
        so_far.items.extend(page.items.into_iter().map(item));
        record_success(app);
        if more {
            continue;
        }
        let items = std::mem::take(&mut so_far.items);
        app.hub.with(|shared, now| shared.merge_listing(prefix, items, as_of, now));
        recheck_pools(app);
        so_far.known = Some(so_far.known.map_or(as_of, |known| known.min(as_of)));
        so_far.as_of = None;
        so_far.done += 1;
    }
    Ok(())
}

/// Waits for changes after a revision once; gives the revision up to which all is known then.
async fn watch(
    app: &Rc<App>,
    store: &mut StoreConnection,
    known: u64,
) -> Result<u64, StoreCallError> {
    let Some(begun) = changes_after(app, store, known).await? else { return Ok(known) };
    let body = store.finish(begun).await?;
    let page = (app.adapter.store.read_watch)(&body).map_err(unreadable)?;
    record_success(app);
    let (as_of, changed) = (page.as_of, !page.items.is_empty());
    take(app, page);
    if changed {
        sleep(app.cfg.in_force() / gather_part(app)).await;
    }
    Ok(as_of)
}

/// Part of the bound on changes for which this VM gathers them.
fn gather_part(app: &App) -> u32 {
    let is_relayed = app.hub.with(|shared, _| shared.fleet.is_relayed());
    if is_relayed { RELAYED_GATHER_PART } else { GATHER_PART }
}

/// Asks a store that was lost for this VM's own entry: an answer shows that it is back. Such a read may
/// be old, which costs a tenth of a counted call; refused calls count too, and an outage of 5 s takes a
/// dozen of them at each VM.
async fn probe(app: &Rc<App>, store: &mut StoreConnection) -> Result<(), StoreCallError> {
    let key = format!("{}{}", vms_prefix(&app.adapter), app.cfg.vm);
    let call = (app.adapter.store.list)(&key, None, Freshness::MayBeStale);
    store.call("probe", call, Duration::ZERO).await.map(|_| record_success(app))
}

/// Asks for changes; `None` if the store was lost while it was waited for, or peers know more than the
/// store tells. Once the answer has begun, it is read for as long as it brings bytes.
async fn changes_after(
    app: &Rc<App>,
    store: &mut StoreConnection,
    known: u64,
) -> Result<Option<OpenAnswer>, StoreCallError> {
    let mut reached = app.store_reachable.subscribe();
    // One watch over all keys: a counted call each, and one revision for all of them.
    let call = (app.adapter.store.watch)("", known, WATCH_WAIT);
    tokio::select! {
        begun = store.begin("watch", call, WATCH_WAIT) => return begun.map(Some),
        () = lost(&mut reached) => {}
        () = app.watch_stalled.notified() => {}
    }
    store.close();
    Ok(None)
}

fn take(app: &Rc<App>, page: Page) {
    let own_prefix = app.adapter.intents.own_prefix;
    let vms = page.items.iter().any(|item| item.key.starts_with(own_prefix));
    app.hub.with(|shared, now| {
        let items = page.items.into_iter().map(item).collect();
        shared.merge(items, "store", now);
        shared.view.advance_to(page.as_of);
        shared.prefers_store = false;
    });
    recheck_pools(app);
    if vms {
        app.vms_changed.notify_one();
    }
}

fn item(item: StoreItem) -> Item {
    Item { key: item.key, revision: item.revision, value: item.value }
}

pub(crate) fn unreadable(e: errors::Error) -> StoreCallError {
    StoreCallError::Failed(e.to_string())
}

/// Ends when the store was reached and is not any more.
async fn lost(reached: &mut tokio::sync::watch::Receiver<bool>) {
    if reached.wait_for(|reached| !reached).await.is_err() {
        // The process is ending.
        std::future::pending::<()>().await;
    }
}

/// A whole answer came from the store.
pub(crate) fn record_success(app: &App) {
    app.store_reachable.send_if_modified(|reached| !std::mem::replace(reached, true));
    if app.hub.with(|shared, now| shared.contact.record_answer(now)) {
        info!(app.log, "store regained");
    }
}

/// A call to the store failed.
pub(crate) fn record_failure(app: &App, what: &str, miss: &StoreCallError) {
    let (newly, lost, age) = app.hub.with(|shared, now| {
        let newly = shared.contact.record_failure(now);
        (newly, !shared.contact.is_receiving(now), shared.contact.age(now))
    });
    if lost {
        app.store_reachable.send_if_modified(|reached| std::mem::replace(reached, false));
    }
    if newly {
        warn!(app.log, "store lost"; "call" => what, "why" => %miss,
            "heard_ms" => age.map(|age| age.as_millis()));
    }
}
