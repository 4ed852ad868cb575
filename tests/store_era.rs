//! A store that comes back from a copy some seconds old: its revisions go back and are given out
//! again.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::site::{
    SETTLE_TIME, Site, Vm, default_configuration, get, send_expecting_answer,
};
use standins::serving_path::store::{StoreCopy, StoreMode};

/// Time within which a change is in force after the store has taken it.
const IN_FORCE: Duration = Duration::from_millis(2000);
/// Changes that the store loses with its latest seconds.
const LOST_CHANGES: u64 = 30;
/// Calls to the store that a VM may make in [`CALLS_WINDOW`] after the store's return.
const MAX_CALLS: u64 = 40;
/// Window in which calls to the store are counted.
const CALLS_WINDOW: Duration = Duration::from_millis(1500);

/// A configuration of the given version whose route `/repeat/` has another name of the host.
fn configuration(version: u64, repeat_path: &str) -> Value {
    let mut configuration = default_configuration(version);
    configuration["routes"][0]["path_prefix"] = json!(repeat_path);
    configuration
}

fn in_force(vm: &Vm) -> u64 {
    vm.state()["configuration"].as_u64().unwrap_or(0)
}

fn wait_in_force(vms: &[Vm], version: u64) {
    wait_until("the configuration is in force", || vms.iter().all(|vm| in_force(vm) == version));
}

fn start_vms(site: &Site, name: &str, count: usize) -> Vec<Vm> {
    let vms: Vec<Vm> = (0..count)
        .map(|index| Vm::start(&format!("{name}-{index}"), "hall-a", site.store.address, ""))
        .collect();
    vms.iter().for_each(|vm| site.wait_for_all_runners(vm));
    vms
}

/// Writes changes that the store will lose, and waits until the VMs have them in force.
fn write_lost_changes(site: &Site, vms: &[Vm]) {
    (0..LOST_CHANGES).for_each(|n| site.store.put("op/other", &json!({"n": n})));
    site.store.put("op/config", &configuration(5, "/repeat/"));
    wait_in_force(vms, 5);
}

/// Lets the store be away for `away` and come back from a copy.
fn come_back(site: &Site, copy: StoreCopy, away: Duration) {
    site.store.set_mode(StoreMode::Unresponsive);
    sleep(away);
    site.store.come_back_from(copy);
    site.store.set_mode(StoreMode::Normal);
}

/// Checks that changes written after the store's return are in force in time, at all of `count`
/// VMs.
fn assert_changes_take_effect(name: &str, count: usize, away: Duration) {
    let site = Site::start();
    let vms = start_vms(&site, name, count);
    let copy = site.store.copy();
    write_lost_changes(&site, &vms);

    come_back(&site, copy, away);
    site.store.put("op/config", &configuration(5, "/repeat/"));
    sleep(Duration::from_millis(300));
    site.store.put("op/config", &configuration(6, "/moved/"));
    let leaving = &site.plain[0];
    site.store
        .put(&format!("servers/{}", leaving.id), &leaving.entry("plain", "hall-a", "draining"));
    let written = Instant::now();
    sleep(IN_FORCE);

    let versions: Vec<u64> = vms.iter().map(in_force).collect();
    assert_eq!(versions, vec![6; count], "{name}, away for {away:?}");
    for (index, vm) in vms.iter().enumerate() {
        let served = send_expecting_answer(&get("/moved/", &format!("moved-{index}")), vm);
        assert_eq!(served.status(), 200);
        assert_eq!(send_expecting_answer(&get("/repeat/", "gone"), vm).status(), 404);
    }
    assert_eq!(leaving.received_after(written + IN_FORCE), 0, "{name}, away for {away:?}");
}

#[test]
fn changes_written_after_the_store_came_back_older_take_effect() {
    std::thread::scope(|scope| {
        for (count, away_ms) in [(1, 100), (1, 3000), (3, 100), (3, 500), (3, 3000), (12, 500)] {
            let name = format!("era-{count}-{away_ms}");
            let away = Duration::from_millis(away_ms);
            scope.spawn(move || assert_changes_take_effect(&name, count, away));
        }
    });
}

/// Guards against listings and watches that repeat as fast as the store answers.
#[test]
fn a_store_that_came_back_older_is_not_called_without_pause() {
    let site = Site::start();
    let vms = start_vms(&site, "era-calls", 3);
    let copy = site.store.copy();
    write_lost_changes(&site, &vms);

    come_back(&site, copy, Duration::from_millis(300));
    let before = site.store.calls();
    sleep(CALLS_WINDOW);

    let calls = site.store.calls() - before;
    assert!(calls <= MAX_CALLS * vms.len() as u64, "{calls} calls of {} VMs", vms.len());
}

/// What VMs knew holds until it is written again.
#[test]
fn nothing_goes_back_when_the_store_comes_back_older() {
    let site = Site::start_in(["hall-a", "hall-b"]);
    let vms = start_vms(&site, "era-back", 2);
    let copy = site.store.copy();
    write_lost_changes(&site, &vms);
    let leaving = &site.plain[0];
    let entry = leaving.entry("plain", "hall-a", "draining");
    site.store.put(&format!("servers/{}", leaving.id), &entry);
    site.store.remove(&format!("servers/{}", site.engines[0].id));
    site.store.put("op/config", &configuration(7, "/repeat/"));
    wait_in_force(&vms, 7);
    sleep(SETTLE_TIME);

    let known = Instant::now();
    come_back(&site, copy, Duration::from_millis(300));
    let end = Instant::now() + Duration::from_millis(1800);
    let mut versions = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        for vm in &vms {
            versions.push(in_force(vm));
            number += 1;
            send_expecting_answer(&get("/repeat/", &format!("again-{number}")), vm);
            send_expecting_answer(&get("/stream/", &format!("stream-{number}")), vm);
        }
        sleep(Duration::from_millis(50));
    }

    assert!(versions.iter().all(|version| *version == 7), "{versions:?}");
    assert_eq!(leaving.received_after(known), 0, "a target that had said that it leaves");
    assert_eq!(site.engines[0].received_after(known), 0, "a target whose entry was removed");
}
