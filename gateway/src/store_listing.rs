//! Lists the content of the platform's store, at the start and after the store dropped history that
//! this VM needs.
//!
//! A listing of one page per prefix is read by each VM itself. A longer one is read by few VMs and
//! passed on from VM to VM: together the VMs have far more bandwidth than the store, and all of
//! them may start at once. Until then a VM works with the first page.

use std::rc::Rc;
use std::time::Duration;

use fleet::HEARTBEAT_INTERVAL;
use ids::StoreRevision;
use platform_interface::store::Freshness;
use slog::info;
use store_view::{Completion, Item, Listed};
use tokio::time::sleep;

use crate::app::App;
use crate::halls::recheck_pools;
use crate::state_handle::now;
use crate::store_calls::{Backoff, record_failure, record_success, to_view_item, unreadable};
use crate::store_changes::{Source, read_prefixes};
use crate::store_connection::{StoreCallError, StoreConnection};

/// Time without changes from peers after which a VM whose turn has come reads the rest from the
/// store. Longer than the timeout for one part of the changes.
const PEER_PATIENCE: Duration = Duration::from_millis(1200);

/// Progress of a listing; pages that were read are kept when a call fails.
#[derive(Default)]
struct Listing {
    /// Items read so far of the current prefix.
    items: Vec<Item>,
    /// Lowest revision of the current prefix's pages.
    as_of: Option<StoreRevision>,
    /// Number of prefixes read completely.
    done: usize,
    /// Lowest revision of all pages.
    known: Option<StoreRevision>,
    /// Highest revision of all pages.
    latest: StoreRevision,
    /// The prefixes that were read completely.
    listed: Vec<Listed>,
    /// Era of the pages; `None` before the first one.
    era: Option<u64>,
    /// Whether the rest of the targets was left to other VMs for some time.
    was_left_to_others: bool,
}

/// How a listing went on.
enum Step {
    /// It is complete.
    Complete,
    /// A prefix has more than one page: the rest is left to others for some time.
    IsLong,
}

/// Lists everything that this VM has to know; returns the revision from which to watch for changes.
/// The listing also ends once peers delivered everything, unless it is to check what this VM knows.
pub(crate) async fn list_all(
    app: &Rc<App>,
    store: &mut StoreConnection,
    freshness: Freshness,
) -> StoreRevision {
    let before = app.state.with(|shared, _| shared.view.as_of());
    let checks = app.state.with(|shared, _| shared.must_read_content);
    let delivered = || {
        let as_of = app.state.with(|shared, _| shared.view.as_of());
        Some(as_of).filter(|as_of| *as_of > before && !checks)
    };
    let mut listing = Listing { was_left_to_others: checks, ..Listing::default() };
    let mut backoff = Backoff::new();
    loop {
        match list(app, store, &mut listing, freshness).await {
            Ok(Step::Complete) => break,
            Ok(Step::IsLong) => wait_for_turn(app, store, before).await,
            Err(error) => {
                record_failure(app, "list", &error);
                backoff.pause().await;
            }
        }
        if let Some(revision) = delivered() {
            return revision;
        }
    }
    let known = listing.known.unwrap_or_default();
    app.state.with(|shared, now| {
        shared.remove_absent(&listing.listed, now);
        shared.complete_up_to(known, Completion::Listing(listing.latest), now);
        shared.must_read_content = false;
    });
    recheck_pools(app);
    app.vms_changed.notify_one();
    known
}

/// Continues a listing until it is complete, is found to be long, or a call fails.
async fn list(
    app: &Rc<App>,
    store: &mut StoreConnection,
    so_far: &mut Listing,
    freshness: Freshness,
) -> Result<Step, StoreCallError> {
    let targets_prefix = app.adapter.intents.targets_prefix;
    let prefixes = read_prefixes(&app.adapter);
    while let Some(prefix) = prefixes.get(so_far.done) {
        let more = read_page(app, store, prefix, so_far, freshness).await?;
        if !more {
            finish_prefix(app, prefix, so_far);
            continue;
        }
        if *prefix == targets_prefix && !so_far.was_left_to_others {
            so_far.was_left_to_others = true;
            apply_first_page(app, so_far);
            return Ok(Step::IsLong);
        }
    }
    Ok(Step::Complete)
}

/// Reads the next page of a prefix; returns whether there are more.
async fn read_page(
    app: &Rc<App>,
    store: &mut StoreConnection,
    prefix: &str,
    so_far: &mut Listing,
    freshness: Freshness,
) -> Result<bool, StoreCallError> {
    let after = so_far.items.last().map(|item| item.key.clone());
    let call = (app.adapter.store.list)(prefix, after.as_deref(), freshness);
    let answer = store.call("list", call, Duration::ZERO).await?;
    let page = (app.adapter.store.read_list)(&answer.body).map_err(unreadable)?;
    record_success(app);
    let era = answer.era;
    if so_far.era.replace(era).is_some_and(|before| before != era) {
        *so_far = Listing { was_left_to_others: so_far.was_left_to_others, ..Listing::default() };
        return Err(StoreCallError::Failed(
            "the store came back older during a listing".to_owned(),
        ));
    }
    let as_of = StoreRevision { era, number: page.as_of };
    so_far.as_of = Some(so_far.as_of.map_or(as_of, |first| first.min(as_of)));
    so_far.latest = so_far.latest.max(as_of);
    let more = page.truncated && !page.items.is_empty();
    let last = page.items.last().map(|item| &item.key);
    if more && last <= after.as_ref() {
        return Err(StoreCallError::Failed("a page does not go on after the last one".to_owned()));
    }
    so_far.items.extend(page.items.into_iter().map(|item| to_view_item(item, era)));
    Ok(more)
}

/// Applies a prefix of which all pages were read.
fn finish_prefix(app: &Rc<App>, prefix: &str, so_far: &mut Listing) {
    let items = std::mem::take(&mut so_far.items);
    let as_of = so_far.as_of.take().unwrap_or_default();
    let listed = Listed::prefix(prefix, &items, as_of);
    app.state.with(|shared, now| shared.merge_listed(items, &listed, now));
    so_far.listed.push(listed);
    recheck_pools(app);
    so_far.known = Some(so_far.known.map_or(as_of, |known| known.min(as_of)));
    so_far.done += 1;
}

/// Applies the first page of a long listing, so that this VM can serve before it knows the rest.
fn apply_first_page(app: &Rc<App>, so_far: &Listing) {
    let items = so_far.items.clone();
    app.state.with(|shared, now| shared.merge(items, Source::Listing, now));
    recheck_pools(app);
    app.vms_changed.notify_one();
}

/// Waits until it is this VM's turn to read a long listing, or until peers delivered everything.
/// `before` is the revision that was known before the listing.
async fn wait_for_turn(app: &Rc<App>, store: &mut StoreConnection, before: StoreRevision) {
    // A stale list of VMs may lack those that start with this one.
    if let Err(error) = list_vms(app, store).await {
        record_failure(app, "list", &error);
    }
    let since = now();
    let watched = app.state.with(|shared, _| std::mem::replace(&mut shared.watches_store, false));
    let mut delay;
    loop {
        delay = app.state.with(|shared, _| shared.fleet.listing_delay());
        let is_due = app.state.with(|shared, now| {
            shared.view.as_of() > before
                || (now - since >= delay && !shared.is_receiving_changes(PEER_PATIENCE, now))
        });
        if is_due {
            break;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
    app.state.with(|shared, _| shared.watches_store = watched);
    info!(app.log, "wait for a turn at a long listing ended";
        "by_peers" => app.state.with(|shared, _| shared.view.as_of() > before),
        "delay_ms" => delay.as_millis(), "waited_ms" => (now() - since).as_millis());
}

/// Reads the current list of VMs.
async fn list_vms(app: &Rc<App>, store: &mut StoreConnection) -> Result<(), StoreCallError> {
    let prefix = app.adapter.intents.own_prefix;
    let mut listing = Listing::default();
    while read_page(app, store, prefix, &mut listing, Freshness::Current).await? {}
    finish_prefix(app, prefix, &mut listing);
    app.vms_changed.notify_one();
    Ok(())
}
