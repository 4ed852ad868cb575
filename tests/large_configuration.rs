//! Transfer of a large configuration to a VM, from the store over a slow link or from a peer.
//!
//! Guards against a VM that times out during such a transfer although bytes arrive, that reads
//! again what it already has, or that answers 404 for a path which a newer version may have.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::site::{Site, Vm, default_configuration, get, send_expecting_answer};

/// Rate of the slow link in bytes per second. The configuration takes over two seconds at this
/// rate, longer than the timeout of any single answer.
const SLOW_BYTES_PER_S: u32 = 400_000;
/// Additional routes: almost one megabyte in the store's protocol.
const FURTHER_ROUTES: usize = 2200;

/// The usual configuration with many more routes.
fn large_configuration(version: u64) -> Value {
    let mut large = default_configuration(version);
    let usual = large["routes"][0].clone();
    let routes = large["routes"].as_array_mut().expect("routes");
    for number in 0..FURTHER_ROUTES {
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

    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
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
    let peer = site.start_vm("large-near", "");
    let dead_link = FaultyLink::start(site.store.address).expect("a link");
    dead_link.set(LinkMode::Blackhole);
    let seed = format!("seeds: [{}]\n", peer.peers());

    let vm = Vm::start("large-far", "hall-a", dead_link.address, &seed);

    site.wait_for_all_runners(&vm);
    assert_eq!(send_expecting_answer(&get("/further-7/", "r-1"), &vm).status(), 200);
    let parts = || {
        let log = vm.log();
        log.lines().filter(|line| line.contains("news of the store from a peer")).count()
    };
    // Log lines are written with a delay.
    wait_until("the parts are logged", || parts() > 10);
    assert!(!vm.log().contains("peer lost"));
}

#[test]
fn a_configuration_from_a_peer_is_not_read_from_the_store_again() {
    let site = Site::start();
    site.store.put("op/config", &large_configuration(2));
    let peer = site.start_vm("large-first", "");
    let link = FaultyLink::start(site.store.address).expect("a link");
    link.set(LinkMode::Reset);
    let seed = format!("seeds: [{}]\n", peer.peers());
    let vm = Vm::start("large-second", "hall-a", link.address, &seed);
    site.wait_for_all_runners(&vm);
    let listed = site.store.listed_pages("op/config");

    link.set(LinkMode::Normal);
    wait_until("the VM has the store", || vm.state()["store_lost"] == json!(false));
    site.store.put("op/config", &default_configuration(3));
    wait_until("the newest configuration is in force", || vm.state()["configuration"] == json!(3));

    assert_eq!(
        site.store.listed_pages("op/config"),
        listed,
        "the VM watches from the revision that it got from its peer"
    );
}

#[test]
fn a_vm_that_lost_the_store_answers_503_instead_of_404_for_unknown_paths() {
    let site = Site::start();
    let link = FaultyLink::start(site.store.address).expect("a link");
    let vm = Vm::start("behind-far", "hall-a", link.address, "");
    site.wait_for_all_runners(&vm);
    assert_eq!(send_expecting_answer(&get("/further-7/", "r-1"), &vm).status(), 404);
    link.set(LinkMode::Blackhole);
    wait_until("the VM has lost the store", || vm.state()["store_lost"] == json!(true));

    let unknown = send_expecting_answer(&get("/further-7/", "r-2"), &vm);

    assert_eq!(unknown.status(), 503, "a newer version may have the path");
    assert_eq!(send_expecting_answer(&get("/repeat/", "r-3"), &vm).status(), 200);
    link.set(LinkMode::Normal);
    site.store.put("op/config", &large_configuration(2));
    wait_until("the VM is up to date", || {
        send_expecting_answer(&get("/further-7/", "r-4"), &vm).status() == 200
    });
    assert!(vm.is_ready());
}

/// Number of entries that are written while a VM watches: ten answers to watches.
const FURTHER_TARGETS: usize = 5000;
/// Time within which changes have to be known: the shortest that a platform names.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);

/// Guards against a pause after each answer to a watch although more changes wait: 985 VMs that started
/// together with 9,999 targets knew the last of them after 27 s.
#[test]
fn thousands_of_changes_at_once_are_known_within_the_time_for_one() {
    let site = Site::start();
    let vm = site.start_vm("many-changes", "");
    let entry = site.plain[0].entry("plain", "hall-a", "ready");
    let usual = vm.targets();

    let written_at = Instant::now();
    for number in 0..FURTHER_TARGETS {
        site.store.put(&format!("servers/i-further-{number}"), &entry);
    }
    wait_until("all entries are known", || vm.targets() == usual + FURTHER_TARGETS as u64);

    assert!(written_at.elapsed() < KNOWN_WITHIN, "{:?}", written_at.elapsed());
}
