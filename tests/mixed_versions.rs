//! VMs that hold different versions of the configuration serve a request together.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{Site, Vm, default_configuration, post, send_expecting_answer};

/// The usual configuration with one more pool, and an entry whose requests need it.
fn with_new_pool(version: u64) -> Value {
    let mut cfg = default_configuration(version);
    let mut pool = cfg["services"][1].clone();
    pool["name"] = json!("new-pool");
    cfg["services"].as_array_mut().expect("services").push(pool);
    let mut route = cfg["routes"][4].clone();
    route["name"] = json!("new");
    route["path_prefix"] = json!("/new/");
    route["stages"] = json!([{"service": "new-pool", "after_revision": [], "bytes": 1000}]);
    cfg["routes"].as_array_mut().expect("routes").push(route);
    cfg
}

#[test]
fn a_pool_that_the_better_owner_does_not_know_yet_is_served() {
    let site = Site::start();
    let worker = Runner::start("i-new-1", Behavior::Answer).expect("a runner starts");
    site.store.put("servers/i-new-1", &worker.entry("new-pool", "hall-a", "ready"));
    let link = FaultyLink::start(site.store.address).expect("a link");
    let owner = Vm::start("mixed-owner", "hall-a", link.address, "cores: 64\n");
    site.wait_for_all_runners(&owner);
    let vm = site.start_vm("mixed-small", "cores: 0.1\n");
    wait_until("they are linked", || vm.state()["pools"][0]["filled_by"] == json!("mixed-owner"));
    link.set(LinkMode::Blackhole);

    site.store.put("op/config", &with_new_pool(2));
    wait_until("one VM has it in force", || vm.state()["configuration"] == json!(2));
    assert_eq!(owner.state()["configuration"], json!(1), "the other VM is behind");
    let call = post("/new/", "r-1").with_header("Pieces", "1").with_header("Piece-Key", "k-1");
    let answer = send_expecting_answer(
        &call.with_header("Model", "m").with_header("Token-Counts", "10,5"),
        &vm,
    );

    assert_eq!(answer.status(), 200);
}

/// Pause between two changes, shorter than the time in which the VMs gather them.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
const CHANGES: u64 = 12;

/// Sends requests that may not be repeated, and chains, to one VM until told to end; gives how often
/// each of the former ran, and the statuses that were not 200.
fn send_until(over: &AtomicBool, site: &Site, vm: &Vm, name: &str) -> (Vec<usize>, Vec<u16>) {
    let (mut runs, mut other) = (Vec::new(), Vec::new());
    let mut number = 0;
    while !over.load(Ordering::Relaxed) {
        number += 1;
        let once = format!("once-{name}-{number}");
        let chain = format!("chain-{name}-{number}");
        let chain =
            post("/chain/", &chain).with_header("Pieces", "1,1").with_header("Piece-Key", "k");
        let statuses =
            [post("/once/", &once), chain].map(|call| send_expecting_answer(&call, vm).status());
        other.extend(statuses.into_iter().filter(|status| *status != 200));
        runs.push(site.runs(&once));
    }
    (runs, other)
}

#[test]
fn settings_read_again_beside_versions_in_series_cut_and_repeat_nothing() {
    let site = Site::start();
    let vms: Vec<Vm> = ["mixed-a", "mixed-b", "mixed-c"].map(|name| site.start_vm(name, "")).into();
    let over = AtomicBool::new(false);

    let ended = thread::scope(|scope| {
        let (site, over) = (&site, &over);
        let send = |(number, vm): (usize, _)| {
            scope.spawn(move || send_until(over, site, vm, &number.to_string()))
        };
        let senders: Vec<_> = vms.iter().enumerate().map(send).collect();
        for version in 2..2 + CHANGES {
            site.store.put("op/config", &default_configuration(version));
            vms.iter().step_by(2).for_each(|vm| vm.signal("-HUP"));
            thread::sleep(CHANGE_PAUSE);
        }
        over.store(true, Ordering::Relaxed);
        let ended = senders.into_iter().map(|sender| sender.join().expect("a sender ends"));
        ended.collect::<Vec<_>>()
    });

    for (runs, other) in ended {
        assert!(runs.len() > 5, "{}", runs.len());
        assert!(runs.iter().all(|runs| *runs == 1), "{runs:?}");
        assert!(other.is_empty(), "{other:?}");
    }
    wait_until("all have the last version", || {
        vms.iter().all(|vm| vm.state()["configuration"] == json!(1 + CHANGES))
    });
}
