//! Transfer of a large configuration to a VM, from the store over a slow link or from a peer.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::site::{Site, Vm, default_configuration, get, send_expecting_answer};

/// Rate of the slow link in bytes per second. The configuration takes over two seconds at this rate, longer than the
/// timeout of any single answer.
const SLOW_BYTES_PER_S: u32 = 400_000;
/// Additional entries: almost one megabyte in the store's protocol.
const FURTHER_ENTRIES: usize = 2200;

/// The usual configuration with many more entries.
fn large_configuration(version: u64) -> Value {
    let mut large = default_configuration(version);
    let usual = large["routes"][0].clone();
    let routes = large["routes"].as_array_mut().expect("routes");
    for number in 0..FURTHER_ENTRIES {
        let mut route = usual.clone();
        route["name"] = json!(format!("further-{number}"));
        route["path_prefix"] = json!(format!("/further-{number}/"));
        routes.push(route);
    }
    large
}

fn slow_link(site: &Site) -> FaultyLink {
    let link = FaultyLink::start(site.store.address).expect("a link");
    link.set(LinkMode::RateLimited(SLOW_BYTES_PER_S));
    link
}

#[test]
fn a_large_configuration_is_listed_over_a_slow_link() {
    let site = Site::start();
    site.store.put("op/config", &large_configuration(2));
    let link = slow_link(&site);

    let vm = Vm::start("large-listed", "hall-a", link.address, "");

    site.wait_for_all_runners(&vm);
    assert_eq!(send_expecting_answer(&get("/further-7/", "r-1"), &vm).status(), 200);
    assert!(!vm.log().contains("no answer in time"), "a call timed out although bytes arrived");
}

#[test]
fn a_large_change_is_watched_over_a_slow_link() {
    let site = Site::start();
    let link = slow_link(&site);
    let vm = Vm::start("large-watched", "hall-a", link.address, "");
    site.wait_for_all_runners(&vm);

    site.store.put("op/config", &large_configuration(2));

    wait_until("it is in force", || vm.state()["configuration"] == json!(2));
    assert!(!vm.log().contains("store lost"), "a call timed out although bytes arrived");
}

#[test]
fn a_listing_resumes_at_the_page_that_failed() {
    let site = Site::start();
    site.store.put("op/config", &large_configuration(2));
    site.store.set_page_size(2);
    let link = FaultyLink::start(site.store.address).expect("a link");
    site.store.fail_listing_page("servers/", 2);

    let vm = Vm::start("large-resumed", "hall-a", link.address, "");

    site.wait_for_all_runners(&vm);
    assert_eq!(site.store.listed_pages("op/config"), 1, "pages that were read are not read again");
    assert_eq!(site.store.listed_pages("servers/"), 4, "three pages, one of them twice");
}

#[test]
fn a_large_configuration_is_sent_by_a_peer_in_parts_between_heartbeats() {
    let site = Site::start();
    site.store.put("op/config", &large_configuration(2));
    let near = site.start_vm("large-near", "");
    let dead = FaultyLink::start(site.store.address).expect("a link");
    dead.set(LinkMode::Blackhole);
    let seed = format!("seeds: [{}]\n", near.peers());

    let far = Vm::start("large-far", "hall-a", dead.address, &seed);

    site.wait_for_all_runners(&far);
    assert_eq!(send_expecting_answer(&get("/further-7/", "r-1"), &far).status(), 200);
    let parts = || {
        let log = far.log();
        log.lines().filter(|line| line.contains("news of the store from a peer")).count()
    };
    // Log lines are written with a delay.
    wait_until("the parts are logged", || parts() > 10);
    assert!(!far.log().contains("peer lost"));
}

#[test]
fn a_configuration_from_a_peer_is_not_read_from_the_store_again() {
    let site = Site::start();
    site.store.put("op/config", &large_configuration(2));
    let near = site.start_vm("large-first", "");
    let link = FaultyLink::start(site.store.address).expect("a link");
    link.set(LinkMode::Reset);
    let seed = format!("seeds: [{}]\n", near.peers());
    let far = Vm::start("large-second", "hall-a", link.address, &seed);
    site.wait_for_all_runners(&far);
    let listed = site.store.listed_pages("op/config");

    link.set(LinkMode::Normal);
    wait_until("the VM has the store", || far.state()["store_lost"] == json!(false));
    site.store.put("op/config", &default_configuration(3));
    wait_until("the newest configuration is in force", || far.state()["configuration"] == json!(3));

    assert_eq!(
        site.store.listed_pages("op/config"),
        listed,
        "it watches from the revision that it has from its peer"
    );
}

#[test]
fn a_vm_that_lost_the_store_answers_503_instead_of_404_for_unknown_paths() {
    let site = Site::start();
    let link = FaultyLink::start(site.store.address).expect("a link");
    let behind = Vm::start("behind-far", "hall-a", link.address, "");
    site.wait_for_all_runners(&behind);
    assert_eq!(send_expecting_answer(&get("/further-7/", "r-1"), &behind).status(), 404);
    link.set(LinkMode::Blackhole);
    wait_until("the VM has lost the store", || behind.state()["store_lost"] == json!(true));

    let unknown = send_expecting_answer(&get("/further-7/", "r-2"), &behind);

    assert_eq!(unknown.status(), 503, "a newer version may have the path");
    assert_eq!(send_expecting_answer(&get("/repeat/", "r-3"), &behind).status(), 200);
    link.set(LinkMode::Normal);
    site.store.put("op/config", &large_configuration(2));
    wait_until("the VM is up to date", || {
        send_expecting_answer(&get("/further-7/", "r-4"), &behind).status() == 200
    });
    assert!(behind.is_ready());
}
