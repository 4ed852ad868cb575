//! Targets' entries that disappear from the store, for instance because their leases lapse: kept
//! for some time around an outage of the store, removed at once otherwise.
//!
//! Guards against requests to a target after its entry was removed. A VM can lose the store while
//! its peers still reach it, for instance because a renewal of its lease was late. If it takes that
//! for an outage of the store and then hears of a removal from a peer, it keeps the entry for as
//! long as after an outage, counted from then: a request reached a target 3,048 ms after its
//! departure, where 3,000 ms are allowed. While its peers report that the store answers them, the
//! VM has to apply the removal at once.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::site::{Site, Vm};
use standins::serving_path::store::StoreMode;

/// Time after which a removed target must get no more requests.
const REMOVED_WITHIN: Duration = Duration::from_secs(2);

/// Time from the store's return within which a target may write its entry again if it lapsed in the
/// outage.
const BACK_WITHIN: Duration = Duration::from_secs(2);
/// Time from the store's return for which a lapsed entry must be kept: [`BACK_WITHIN`] less the
/// time that VMs take to notice the return.
const KEPT_FOR: Duration = Duration::from_millis(1500);

/// Starts a VM that stays connected to the store, and one whose link to the store can be cut.
fn start(site: &Site, name: &str) -> (Vm, Vm, FaultyLink) {
    let link = FaultyLink::start(site.store.address).expect("a link");
    let connected = site.start_vm(&format!("{name}-has-it"), "");
    let cut_off = Vm::start(&format!("{name}-lost-it"), "hall-a", link.address, "");
    site.wait_for_all_runners(&cut_off);
    wait_until("the VMs are linked", || connected.linked_peers() + cut_off.linked_peers() == 2);
    (connected, cut_off, link)
}

#[test]
fn an_entry_removed_while_a_peer_has_the_store_is_not_kept() {
    let site = Site::start();
    let (_connected, cut_off, link) = start(&site, "lapses");
    link.set(LinkMode::Blackhole);
    wait_until("the VM has lost the store", || cut_off.state()["store_lost"] == json!(true));
    let before = cut_off.targets();

    site.store.remove(&format!("servers/{}", site.plain[0].id));
    let removed_at = Instant::now();
    wait_until("the target is gone", || cut_off.targets() == before - 1);

    assert!(removed_at.elapsed() < REMOVED_WITHIN, "{:?}", removed_at.elapsed());
}

#[test]
fn an_entry_that_lapses_in_an_outage_is_kept_until_it_could_be_renewed() {
    let site = Site::start();
    let (one, other, _link) = start(&site, "outage");
    let vms = [&one, &other];
    let before = one.targets();
    site.store.set_mode(StoreMode::Unresponsive);
    wait_until("both VMs have lost the store", || {
        vms.iter().all(|vm| vm.state()["store_lost"] == json!(true))
    });
    site.store.remove(&format!("servers/{}", site.plain[0].id));
    site.store.set_mode(StoreMode::Normal);
    wait_until("one VM has the store again", || {
        vms.iter().any(|vm| vm.state()["store_lost"] == json!(false))
    });
    let store_back_at = Instant::now();

    let mut kept = true;
    while store_back_at.elapsed() < KEPT_FOR {
        kept &= vms.iter().all(|vm| vm.targets() == before);
    }
    wait_until("the target is gone", || vms.iter().all(|vm| vm.targets() == before - 1));

    assert!(kept, "the entry was removed before it could have been written again");
    assert!(
        store_back_at.elapsed() < BACK_WITHIN + REMOVED_WITHIN,
        "{:?}",
        store_back_at.elapsed()
    );
}
