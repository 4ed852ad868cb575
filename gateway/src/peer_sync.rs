//! Fetches changes in the store from peers and answers peers' requests for them. A VM fetches
//! changes from peers if it does not follow the store itself, if the store does not answer it, or
//! if its watch has stalled. It requests one part at a time from one peer, so that heartbeats can
//! pass on the link in between.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{HEARTBEAT_INTERVAL, WATCHERS_PER_HALL};
use ids::{StoreRevision, VmName};
use peering::work::{Ask, News, StoreItem};
use rand::seq::IteratorRandom;
use slog::{debug, info, warn};
use store_view::{
    Assembler, Batch, BatchRequest, Item, ItemPart, PartialChange, Position, View,
    is_slow_transfer, is_useful_source, lacks_many,
};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::app::App;
use crate::halls::recheck_pools;
use crate::outbound_links::Link;
use crate::shared::Shared;
use crate::state_handle::now;
use crate::store_changes::Source;
use crate::store_era;

/// Most bytes of changes in one message. They take 26 ms on a link of 10 Mbit/s, a fraction of the
/// interval between two heartbeats, which wait behind them.
const PART_BYTES: usize = 32 * 1024;
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
    let mut transfer = Transfer::default();
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

/// Progress of a transfer of changes. If a peer stops answering, another one goes on from there:
/// all peers send changes in the same order.
#[derive(Default)]
struct Transfer {
    /// The parts received since the last complete transfer; `None` if there are none.
    assembly: Option<Assembler>,
    /// Lowest revision up to which the peers that sent them knew all changes.
    complete_to: Option<StoreRevision>,
}

impl Transfer {
    /// The parts received so far. Starts anew if this VM knows more by now than at the start.
    fn assembly(&mut self, known: StoreRevision) -> &mut Assembler {
        let is_behind =
            |assembly: &Assembler| assembly.next_request().after < Position::after(known);
        if self.assembly.as_ref().is_some_and(is_behind) {
            *self = Transfer::default();
        }
        self.assembly.get_or_insert_with(|| Assembler::after(known))
    }

    /// Prepares for another peer. What was received so far is complete up to its last position if the
    /// earlier peers knew all changes up to there; only what follows depends on the next one.
    fn change_source(&mut self) {
        let position = self.assembly.as_ref().map(|assembly| assembly.next_request().after);
        if position.is_some_and(|position| Some(position.revision) <= self.complete_to) {
            self.complete_to = None;
        }
    }

    /// Records that a peer that knew all changes up to `revision` sent a part. Only changes that it
    /// knew when it sent the first part are sure to be complete after the last part.
    fn limit_to(&mut self, revision: StoreRevision) -> StoreRevision {
        let complete_to = self.complete_to.map_or(revision, |before| before.min(revision));
        *self.complete_to.insert(complete_to)
    }
}

/// A linked peer that knows more, except the one to avoid; `None` if this VM lacks nothing or the
/// store delivers what it lacks. See [`store_view::is_useful_source`] for which peers are asked.
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
        if follows && store_delivers && !detect_stalled_watch(app, shared, now) {
            return None;
        }
        let others = ahead().filter(|(vm, _)| avoided.as_ref() != Some(vm));
        let newest = others.clone().map(|(vm, _)| revision_of(vm)).max()?;
        let useful = others.filter(|(vm, _)| is_useful_source(revision_of(vm), known, newest));
        let has_alternatives = useful.clone().count() > WATCHERS_PER_HALL;
        let (vm, link) = useful.choose(&mut rand::rng())?;
        Some(ChangeSource { vm: vm.clone(), link: Rc::clone(link), newest, has_alternatives })
    })
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
async fn fetch(app: &Rc<App>, source: &ChangeSource, transfer: &mut Transfer) -> FetchEnd {
    let ChangeSource { vm, link, .. } = source;
    transfer.change_source();
    let (mut received, mut waited) = (0, Duration::ZERO);
    loop {
        let known = app.state.with(|shared, _| shared.view.as_of());
        let asked_at = now();
        let changes = link.request_changes(next_request(transfer.assembly(known)));
        let Ok(Ok(changes)) = timeout(PART_TIMEOUT, changes).await else {
            return FetchEnd::NoAnswer;
        };
        // Without the time that this VM takes to apply changes, which the store would not save.
        waited += now() - asked_at;
        received += 1;
        let era = changes.era.unwrap_or(known.era);
        if era < app.state.with(|shared, _| shared.view.era()) {
            // The peer does not know the content of the store's present era.
            return FetchEnd::NoAnswer;
        }
        store_era::observe(app, era);
        let complete_to = transfer.limit_to(StoreRevision { era, number: changes.as_of });
        let assembly = transfer.assembly(known);
        let decode = |item| decode_part(item, era);
        let parts: Vec<ItemPart> = changes.items.into_iter().map(decode).collect();
        let count = parts.len();
        let items: Vec<Item> = parts.into_iter().filter_map(|part| assembly.push(part)).collect();
        info!(app.log, "news of the store from a peer"; "peer" => %vm, "parts" => count,
            "whole" => items.len(), "known" => %known, "as_of" => %complete_to,
            "last" => changes.is_last);
        app.state.with(|shared, now| {
            shared.merge(items, Source::Peer(vm), now);
            shared.changes_received_at = Some(now);
            if changes.is_last {
                shared.complete_up_to(complete_to, now);
            }
        });
        recheck_pools(app);
        app.vms_changed.notify_one();
        if changes.is_last {
            *transfer = Transfer::default();
            return FetchEnd::Complete;
        }
        if is_slow_transfer(received, waited) {
            return FetchEnd::Slow;
        }
    }
}

fn next_request(assembly: &Assembler) -> Ask {
    let BatchRequest { after, partial } = assembly.next_request();
    Ask {
        known_revision: after.revision.number,
        known_key: after.key,
        begun_revision: partial.revision.number,
        begun_bytes: partial.bytes as u64,
        era: Some(after.revision.era),
    }
}

fn decode_part(item: StoreItem, era: u64) -> ItemPart {
    let value = (!item.removed).then(|| Bytes::from(item.value));
    ItemPart {
        item: Item { key: item.key, revision: StoreRevision { era, number: item.revision }, value },
        offset: usize::try_from(item.offset).unwrap_or(usize::MAX),
        ends: !item.goes_on,
    }
}

/// The next part of the changes that a peer requests.
pub(crate) fn answer_request(view: &View, ask: Ask) -> News {
    let as_of = view.as_of();
    // A peer of an older build knows no eras.
    let era = ask.era.unwrap_or(as_of.era);
    let revision = |number| StoreRevision { era, number };
    let bytes = usize::try_from(ask.begun_bytes).unwrap_or(usize::MAX);
    let ask = BatchRequest {
        after: Position { revision: revision(ask.known_revision), key: ask.known_key },
        partial: PartialChange { revision: revision(ask.begun_revision), bytes },
    };
    let Batch { parts, is_last } = view.next_batch(&ask, PART_BYTES);
    let items = parts.into_iter().map(encode_part).collect();
    News { items, as_of: as_of.number, is_last, era: Some(as_of.era) }
}

fn encode_part(part: ItemPart) -> StoreItem {
    let ItemPart { item, offset, ends } = part;
    StoreItem {
        key: item.key,
        revision: item.revision.number,
        removed: item.value.is_none(),
        value: item.value.map(|value| value.to_vec()).unwrap_or_default(),
        offset: offset as u64,
        goes_on: !ends,
    }
}
