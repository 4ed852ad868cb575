//! A watch of the store whose connection delivers nothing any more but stays open, while new
//! connections work.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::FaultyLink;
use standins::serving_path::site::{Site, Vm, default_configuration, get, send_expecting_answer};

/// Time after the announcement of a departure from which the platform tolerates no requests at the
/// target.
const NO_REQUESTS_AFTER: Duration = Duration::from_secs(2);

/// Time after a change of the configuration within which the platform expects it to be in force.
const IN_FORCE_AFTER: Duration = Duration::from_secs(2);

/// Time from the silence to the change; less than the platform allows until a VM counts as in touch.
const BEFORE_CHANGE: Duration = Duration::from_secs(1);

/// Whether the VM has logged that a target leaves.
fn has_logged_departure(vm: &Vm) -> bool {
    vm.log().contains("leaving=true")
}

/// Guards against a VM that sends requests to targets that left, for as long as its silent watch
/// may wait.
#[test]
fn a_vm_whose_watch_is_silent_learns_of_departures_from_its_peers() {
    let site = Site::start();
    let link = FaultyLink::start(site.store.address).expect("a link");
    let vm = Vm::start("silent-watch", "hall-a", link.address, "");
    site.wait_for_all_runners(&vm);
    let peer = site.start_vm("silent-watch-peer", "");
    wait_until("the VMs are linked", || vm.linked_peers() == 1 && peer.linked_peers() == 1);
    // Lets the VM begin its watch: only connections that wait for an answer become silent.
    std::thread::sleep(Duration::from_secs(1));

    link.blackhole_waiting();
    let leaving = &site.plain[0];
    let mut entry = leaving.entry("plain", "hall-a", "draining");
    entry["sequence"] = json!(2);
    site.store.put(&format!("servers/{}", leaving.id), &entry);
    wait_until("the peer knows of the departure", || has_logged_departure(&peer));
    let known_at = Instant::now();
    std::thread::sleep(NO_REQUESTS_AFTER);
    for number in 0..20 {
        assert_eq!(
            send_expecting_answer(&get("/repeat/", &format!("r-{number}")), &vm).status(),
            200
        );
    }

    assert_eq!(
        leaving.received_after(known_at + NO_REQUESTS_AFTER),
        0,
        "requests after the departure"
    );
}

/// Guards against removed keys that are served while the watches of all VMs are silent.
#[test]
fn changes_are_in_force_in_time_though_the_watches_of_all_vms_are_silent() {
    let site = Site::start();
    let links: Vec<FaultyLink> =
        (0..3).map(|_| FaultyLink::start(site.store.address).expect("a link")).collect();
    let start = |(number, link): (usize, &FaultyLink)| {
        Vm::start(&format!("all-silent-{number}"), "hall-a", link.address, "")
    };
    let vms: Vec<Vm> = links.iter().enumerate().map(start).collect();
    vms.iter().for_each(|vm| site.wait_for_all_runners(vm));
    wait_until("the VMs are linked", || vms.iter().all(|vm| vm.linked_peers() == 2));
    // Lets the VMs begin their watches: only connections that wait for an answer become silent.
    std::thread::sleep(Duration::from_secs(1));
    let with_key = |number: usize| {
        get("/keyed/", &format!("k-{number}")).with_header("Authorization", "Bearer key-1")
    };
    assert_eq!(send_expecting_answer(&with_key(0), &vms[0]).status(), 200);

    links.iter().for_each(FaultyLink::blackhole_waiting);
    std::thread::sleep(BEFORE_CHANGE);
    let mut config = default_configuration(2);
    config["tenants"][0]["api_keys"] = json!(["key-2"]);
    site.store.put("op/config", &config);
    std::thread::sleep(IN_FORCE_AFTER);

    let statuses: Vec<u16> =
        vms.iter().map(|vm| send_expecting_answer(&with_key(1), vm).status()).collect();
    assert_eq!(statuses, [401, 401, 401], "answers to the removed key");
}
