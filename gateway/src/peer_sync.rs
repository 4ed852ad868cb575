//! Changes in the store from peers, for a VM that does not follow the store, that the store does not
//! answer, or whose watch stands still: it asks one peer at a time for the next part of what it lacks,
//! so that its link carries heartbeats in between.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::HEARTBEAT_INTERVAL;
use ids::VmName;
use peering::work::{Ask, News, StoreItem};
use slog::{debug, info, warn};
use store_view::{Assembler, Batch, Item, Part, Position, View};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::app::App;
use crate::halls::recheck_pools;
use crate::outbound_links::Link;
use crate::shared::Shared;

/// Bytes of changes in one message: 26 ms of a link of 10 Mbit/s, a fraction of the pause between
/// two heartbeats, which wait behind it.
const PART_BYTES: usize = 32 * 1024;
/// Longest wait for a part, after which another peer is asked.
const PART_WAIT: Duration = Duration::from_millis(900);

/// Parts of one change that a VM which has the store takes from a peer: what is larger is read from the
/// store, whose link is wider than that of a VM that two dozen others ask.
const MOST_PARTS: usize = 4;
/// After news a VM that has the store waits for this part of the time in which changes must be in force.
const GATHER_PART: u32 = 8;

/// A watch that tells nothing for this part of the time in which changes must be in force, while peers know more,
/// stands still: longer than changes are gathered for, and short enough to learn them from a peer in time.
const STANDSTILL_PART: f64 = 0.625;

/// Asks peers for as long as the process runs, whenever this VM does not follow the store itself.
pub(crate) async fn follow(app: Rc<App>) {
    let mut looks = interval(HEARTBEAT_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silent = None;
    loop {
        looks.tick().await;
        let Some((vm, link)) = peer_to_ask(&app, silent.take()) else { continue };
        if fetch(&app, &vm, &link).await.is_none() {
            debug!(app.log, "no news from a peer"; "peer" => %vm);
            silent = Some(vm);
        } else if *app.store_reachable.borrow() {
            sleep(app.cfg.in_force() / GATHER_PART).await;
        }
    }
}

/// The linked peer that knows most, but for the one that did not answer, if this VM lacks something
/// and the store does not bring it.
fn peer_to_ask(app: &App, silent: Option<VmName>) -> Option<(VmName, Rc<Link>)> {
    let links = app.links.borrow();
    app.hub.with(|shared, now| {
        let known = shared.view.as_of();
        let peers = &shared.fleet.peers;
        let knows = |vm: &VmName| peers.get(vm).map_or(0, |peer| peer.as_of);
        let ahead = || links.iter().filter(|(vm, _)| knows(vm) > known);
        let most = ahead().map(|(vm, _)| knows(vm)).max();
        shared.stall_detector.update(known, most.unwrap_or(known), now);
        let follows = shared.watches_store || shared.prefers_store;
        let store_tells = !shared.contact.is_lost(now) || shared.contact.is_receiving(now);
        if follows && store_tells && !watch_stalled(app, shared, now) {
            return None;
        }
        let others = ahead().filter(|(vm, _)| silent.as_ref() != Some(vm));
        let (vm, link) = others.max_by_key(|(vm, _)| knows(vm))?;
        Some((vm.clone(), Rc::clone(link)))
    })
}

/// Whether the watch tells nothing while peers know more; it is begun anew then.
fn watch_stalled(app: &App, shared: &Shared, now: Instant) -> bool {
    let borne = shared.in_force.mul_f64(STANDSTILL_PART);
    let stands_still =
        shared.stall_detector.has_stalled_for(borne, now) && !shared.contact.is_receiving(now);
    if stands_still {
        warn!(app.log, "watch of the store stands still"; "as_of" => shared.view.as_of());
        app.watch_stalled.notify_waiters();
    }
    stands_still
}

/// Asks a peer part by part until nothing is left; `None` if it does not answer.
async fn fetch(app: &Rc<App>, vm: &VmName, link: &Link) -> Option<()> {
    let mut assembly = Assembler::after(app.hub.with(|shared, _| shared.view.as_of()));
    let mut known = u64::MAX;
    for number in 1.. {
        let news = link.request_changes(ask_of(&assembly));
        let news = timeout(PART_WAIT, news).await.ok()?.ok()?;
        // Only what the peer knew at the first part is sure to have come by the last one.
        known = known.min(news.as_of);
        let parts: Vec<Part> = news.items.into_iter().map(part_of).collect();
        let count = parts.len();
        let items: Vec<Item> = parts.into_iter().filter_map(|part| assembly.push(part)).collect();
        info!(app.log, "news of the store from a peer"; "peer" => %vm, "parts" => count,
            "whole" => items.len(), "as_of" => known, "last" => news.is_last);
        app.hub.with(|shared, now| {
            shared.merge(items, vm.as_str(), now);
            if news.is_last {
                shared.view.advance_to(known);
            } else if number >= MOST_PARTS && !shared.contact.is_lost(now) {
                shared.prefers_store = true;
            }
        });
        recheck_pools(app);
        app.vms_changed.notify_one();
        if news.is_last || app.hub.with(|shared, _| shared.prefers_store) {
            break;
        }
    }
    Some(())
}

fn ask_of(assembly: &Assembler) -> Ask {
    let store_view::BatchRequest { after, partial: (begun_revision, begun_bytes) } =
        assembly.next_request();
    Ask {
        known_revision: after.revision,
        known_key: after.key,
        begun_revision,
        begun_bytes: begun_bytes as u64,
    }
}

fn part_of(item: StoreItem) -> Part {
    let value = (!item.removed).then(|| Bytes::from(item.value));
    Part {
        item: Item { key: item.key, revision: item.revision, value },
        offset: usize::try_from(item.offset).unwrap_or(usize::MAX),
        ends: !item.goes_on,
    }
}

/// The next part of what a peer asks for.
pub(crate) fn answer_request(view: &View, ask: Ask) -> News {
    let begun_bytes = usize::try_from(ask.begun_bytes).unwrap_or(usize::MAX);
    let ask = store_view::BatchRequest {
        after: Position { revision: ask.known_revision, key: ask.known_key },
        partial: (ask.begun_revision, begun_bytes),
    };
    let Batch { parts, is_last } = view.next_batch(&ask, PART_BYTES);
    News { items: parts.into_iter().map(store_item).collect(), as_of: view.as_of(), is_last }
}

fn store_item(part: Part) -> StoreItem {
    let Part { item, offset, ends } = part;
    StoreItem {
        key: item.key,
        revision: item.revision,
        removed: item.value.is_none(),
        value: item.value.map(|value| value.to_vec()).unwrap_or_default(),
        offset: offset as u64,
        goes_on: !ends,
    }
}
