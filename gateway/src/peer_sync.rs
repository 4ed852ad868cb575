//! Fetches changes in the store from peers and answers peers' requests for them. A VM fetches
//! changes from peers if it does not follow the store itself, if the store does not answer it, or
//! if its watch has stalled. It requests one part at a time from one peer, so that heartbeats can
//! pass on the link in between.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::{HEARTBEAT_INTERVAL, WATCHERS_PER_HALL};
use ids::{StoreRevision, VmName};
use rand::seq::IteratorRandom;
use slog::{debug, info, warn};
use store_view::{CatchUp, History, Reply, Step, is_slow_transfer, is_useful_source, lacks_many};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::app::App;
use crate::halls::recheck_pools;
use crate::outbound_links::Link;
use crate::shared::Shared;
use crate::state_handle::now;
use crate::store_changes::Source;
use crate::{store_era, store_messages};

/// Timeout for one part; after that another peer is asked.
const PART_TIMEOUT: Duration = Duration::from_millis(900);

/// After changes from a peer, a VM that can reach the store waits for this fraction (1/n) of the
/// time within which changes must be in force, so that it fetches several changes together.
const BATCH_DIVISOR: u32 = 8;

/// A watch has stalled if it returns nothing for this fraction of the time within which changes
/// must be in force, while peers know more. It is longer than the time for which changes are
/// batched, and short enough to fetch them from a peer in time.
const STALL_FRACTION: f64 = 0.625;

/// Fetches changes from peers whenever the store does not deliver them to this VM; runs as long as
/// the process.
pub(crate) async fn follow(app: Rc<App>) {
    let mut checks = interval(HEARTBEAT_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut avoided = None;
    let mut transfer = None;
    loop {
        checks.tick().await;
        let Some(source) = choose_source(&app, avoided.take()) else { continue };
        match fetch(&app, &source, &mut transfer).await {
            FetchEnd::Complete if gathers_changes(&app, &source) => {
                sleep(app.cfg.max_apply_time() / BATCH_DIVISOR).await;
            }
            FetchEnd::Complete => {}
            FetchEnd::Slow if source.has_alternatives => avoided = Some(source.vm),
            FetchEnd::Slow => app.state.with(|shared, now| {
                // A VM that starts waits for its turn at the store ([`crate::store_listing`]).
                shared.prefers_store = !shared.is_first_snapshot() && !shared.contact.is_lost(now);
            }),
            FetchEnd::NoAnswer => {
                debug!(app.log, "peer did not answer a request for changes in the store";
                    "peer" => %source.vm);
                avoided = Some(source.vm);
            }
        }
    }
}

/// Whether to pause after a transfer so that the next one brings several changes: this VM can reach
/// the store and does not lack many.
fn gathers_changes(app: &App, source: &ChangeSource) -> bool {
    let known = app.state.with(|shared, _| shared.view.as_of());
    *app.store_reachable.borrow() && !lacks_many(known, source.newest)
}

/// How a transfer from one peer ended.
enum FetchEnd {
    /// The peer has no further changes.
    Complete,
    /// The peer sends its changes slowly.
    Slow,
    /// The peer did not answer in time.
    NoAnswer,
}

/// A peer that is asked for changes.
struct ChangeSource {
    vm: VmName,
    link: Rc<Link>,
    /// Newest revision that any linked peer knows.
    newest: StoreRevision,
    /// Whether more peers than the few that watch the store have as much.
    has_alternatives: bool,
}

/// A linked peer that knows more, except the one to avoid; `None` if this VM lacks nothing or the
/// store delivers what it lacks. See [`store_view::is_useful_source`] for which peers are asked, and
/// [`what_a_peer_sends`] for which of them come first.
fn choose_source(app: &App, avoided: Option<VmName>) -> Option<ChangeSource> {
    let links = app.links.borrow();
    app.state.with(|shared, now| {
        let known = shared.view.as_of();
        let peers = &shared.fleet.peers;
        let revision_of =
            |vm: &VmName| peers.get(vm).map_or(StoreRevision::default(), |peer| peer.as_of);
        let ahead = || links.iter().filter(|(vm, _)| revision_of(vm) > known);
        let newest = ahead().map(|(vm, _)| revision_of(vm)).max();
        shared.stall_detector.update(known, newest.unwrap_or(known), now);
        let follows = shared.watches_store || shared.prefers_store;
        let store_delivers = !shared.contact.is_lost(now) || shared.contact.is_receiving(now);
        if shared.must_read_content && store_delivers {
            return None;
        }
        if follows && store_delivers && !detect_stalled_watch(app, shared, now) {
            return None;
        }
        let others = ahead().filter(|(vm, _)| avoided.as_ref() != Some(vm));
        let newest = others.clone().map(|(vm, _)| revision_of(vm)).max()?;
        let useful = others.filter(|(vm, _)| is_useful_source(revision_of(vm), known, newest));
        let has_alternatives = useful.clone().count() > WATCHERS_PER_HALL;
        let sends =
            |vm: &VmName| what_a_peer_sends(peers.get(vm).and_then(|peer| peer.history), known);
        let best = useful.clone().map(|(vm, _)| sends(vm)).min()?;
        let (vm, link) = useful.filter(|(vm, _)| sends(vm) == best).choose(&mut rand::rng())?;
        Some(ChangeSource { vm: vm.clone(), link: Rc::clone(link), newest, has_alternatives })
    })
}

/// What a peer sends to a VM that lacks changes, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Sends {
    /// The changes.
    Changes,
    /// The changes that it holds, without removals that it never knew: a peer of an older build.
    /// While such a build is being replaced, whole contents for each change would cost too much.
    SomeChanges,
    /// All keys.
    AllKeys,
}

/// What a peer with this history sends to a VM that knows the content at `known`.
fn what_a_peer_sends(history: Option<History>, known: StoreRevision) -> Sends {
    match history {
        Some(history) if history.covers(known) => Sends::Changes,
        Some(_) => Sends::AllKeys,
        None => Sends::SomeChanges,
    }
}

/// Whether the watch has stalled: it returns nothing while peers know more. If so, has it
/// restarted.
fn detect_stalled_watch(app: &App, shared: &Shared, now: Instant) -> bool {
    let limit = shared.max_apply_time.mul_f64(STALL_FRACTION);
    let has_stalled =
        shared.stall_detector.has_stalled_for(limit, now) && !shared.contact.is_receiving(now);
    if has_stalled {
        warn!(app.log, "watch of the store stalled"; "as_of" => %shared.view.as_of());
        app.watch_stalled.notify_waiters();
    }
    has_stalled
}

/// Fetches changes from a peer part by part until nothing is left or the peer turns out to be slow.
async fn fetch(app: &Rc<App>, source: &ChangeSource, transfer: &mut Option<CatchUp>) -> FetchEnd {
    let ChangeSource { vm, link, .. } = source;
    if let Some(transfer) = transfer {
        transfer.change_source();
    }
    let (mut received, mut waited) = (0, Duration::ZERO);
    loop {
        let ask = app.state.with(|shared, _| {
            let transfer = transfer.get_or_insert_with(|| CatchUp::begin(&shared.view));
            store_messages::encode_request(transfer.next_request(&shared.view))
        });
        let asked_at = now();
        let Ok(Ok(news)) = timeout(PART_TIMEOUT, link.request_changes(ask)).await else {
            return FetchEnd::NoAnswer;
        };
        // Without the time that this VM takes to apply changes, which the store would not save.
        waited += now() - asked_at;
        received += 1;
        let reply = app.state.with(|shared, _| {
            store_messages::decode_reply(news, shared.view.as_of().era, shared.view.era())
        });
        let Some(reply) = reply else {
            // The peer does not know the content of the store's present era.
            return FetchEnd::NoAnswer;
        };
        store_era::observe(app, reply.as_of.era);
        match take(app, vm, transfer, reply) {
            Step::Next if is_slow_transfer(received, waited) => return FetchEnd::Slow,
            Step::Next => {}
            Step::Complete(..) => {
                *transfer = None;
                return FetchEnd::Complete;
            }
        }
    }
}

/// Merges a reply of a peer; returns what follows.
fn take(app: &Rc<App>, vm: &VmName, transfer: &mut Option<CatchUp>, reply: Reply) -> Step {
    let (parts, whole, as_of) = (reply.parts.len(), reply.whole_parts(), reply.as_of);
    let has_all_keys = reply.is_whole;
    let step = app.state.with(|shared, now| {
        let known = shared.view.as_of();
        let Some(transfer) = transfer else { return Step::Next };
        let (changes, step) = transfer.take(&mut shared.view, reply);
        info!(app.log, "news of the store from a peer"; "peer" => %vm, "parts" => parts,
            "whole" => whole, "changes" => changes.len(), "all_keys" => has_all_keys,
            "known" => %known, "as_of" => %as_of, "last" => matches!(step, Step::Complete(..)));
        shared.apply(changes, Source::Peer(vm), now);
        shared.changes_received_at = Some(now);
        if let Step::Complete(revision, completion) = step {
            shared.complete_up_to(revision, completion, now);
        }
        step
    });
    recheck_pools(app);
    app.vms_changed.notify_one();
    step
}
