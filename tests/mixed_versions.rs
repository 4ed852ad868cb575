//! VMs with different versions of the configuration serve requests together, also while it changes
//! repeatedly.
//!
//! Guards against requests that fail because the pool's owner, the VM that makes the calls to its
//! workers, has an older version without that pool; and against requests that are cut or run twice
//! when VMs reload their settings during changes.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{Site, Vm, default_configuration, post, send_expecting_answer};

/// The usual configuration with one more pool and a route whose requests need it.
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
fn a_pool_that_its_preferred_owner_does_not_know_yet_is_served() {
    let site = Site::start();
    let worker = Runner::start("i-new-1", Behavior::Answer).expect("a runner starts");
    site.store.put("servers/i-new-1", &worker.entry("new-pool", "hall-a", "ready"));
    let link = FaultyLink::start(site.store.address).expect("a link");
    // A VM with many more cores is preferred as the owner of a pool.
    let owner = Vm::start("mixed-owner", "hall-a", link.address, "cores: 64\n");
    site.wait_for_all_runners(&owner);
    let vm = site.start_vm("mixed-small", "cores: 0.1\n");
    wait_until("the VMs are linked", || {
        vm.state()["pools"][0]["filled_by"] == json!("mixed-owner")
    });
    link.set(LinkMode::Blackhole);

    site.store.put("op/config", &with_new_pool(2));
    wait_until("the new configuration is in force at one VM", || {
        vm.state()["configuration"] == json!(2)
    });
    assert_eq!(owner.state()["configuration"], json!(1), "the other VM has the previous version");
    let call = post("/new/", "r-1").with_header("Pieces", "1").with_header("Piece-Key", "k-1");
    let answer = send_expecting_answer(
        &call.with_header("Model", "m").with_header("Token-Counts", "10,5"),
        &vm,
    );

    assert_eq!(answer.status(), 200);
}

/// Pause between two changes, shorter than the interval over which VMs collect changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
/// Number of changes of the configuration.
const CHANGES: u64 = 12;

/// Sends requests that may not be repeated, and requests for a chain of two stages, to one VM until
/// `finished` is set. Returns how often each of the former ran, and the statuses other than 200.
fn send_until(finished: &AtomicBool, site: &Site, vm: &Vm, name: &str) -> (Vec<usize>, Vec<u16>) {
    let (mut runs, mut failed_statuses) = (Vec::new(), Vec::new());
    let mut number = 0;
    while !finished.load(Ordering::Relaxed) {
        number += 1;
        let once = format!("once-{name}-{number}");
        let chain = format!("chain-{name}-{number}");
        let chain =
            post("/chain/", &chain).with_header("Pieces", "1,1").with_header("Piece-Key", "k");
        let statuses =
            [post("/once/", &once), chain].map(|call| send_expecting_answer(&call, vm).status());
        failed_statuses.extend(statuses.into_iter().filter(|status| *status != 200));
        runs.push(site.runs(&once));
    }
    (runs, failed_statuses)
}

#[test]
fn reloads_during_a_series_of_changes_cut_and_repeat_no_request() {
    let site = Site::start();
    let vms: Vec<Vm> = ["mixed-a", "mixed-b", "mixed-c"].map(|name| site.start_vm(name, "")).into();
    let finished = AtomicBool::new(false);

    let results = thread::scope(|scope| {
        let (site, finished) = (&site, &finished);
        let send = |(number, vm): (usize, _)| {
            scope.spawn(move || send_until(finished, site, vm, &number.to_string()))
        };
        let senders: Vec<_> = vms.iter().enumerate().map(send).collect();
        for version in 2..2 + CHANGES {
            site.store.put("op/config", &default_configuration(version));
            vms.iter().step_by(2).for_each(|vm| vm.signal("-HUP"));
            thread::sleep(CHANGE_PAUSE);
        }
        finished.store(true, Ordering::Relaxed);
        let results = senders.into_iter().map(|sender| sender.join().expect("a sender ends"));
        results.collect::<Vec<_>>()
    });

    for (runs, failed_statuses) in results {
        assert!(runs.len() > 5, "{}", runs.len());
        assert!(runs.iter().all(|runs| *runs == 1), "{runs:?}");
        assert!(failed_statuses.is_empty(), "{failed_statuses:?}");
    }
    wait_until("the last version is in force at all VMs", || {
        vms.iter().all(|vm| vm.state()["configuration"] == json!(1 + CHANGES))
    });
}
