//! Rollouts that operators order, with real processes and the stand-ins of the users' platform.
//!
//! A bad version gets a small part of the requests and then nothing, and its order is reported as
//! rolled back, whichever VM coordinates it. A good one gets all requests, and its order is reported as
//! completed only when the others have nothing left to do. An order that can't be carried out changes
//! nothing.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{Site, Vm, get, post, send_expecting_answer};
use standins::serving_path::store::StoreMode;

/// Duration of the orders, in seconds.
const DURATION_S: f64 = 6.0;
/// Settings of the VMs: what a bad version may get beside a tenth of the requests.
const RULES: &str = "rollouts: {exposure_share: 0.1, exposure_slack: 20}\n";
const ORDER: &str = "op/rollout/plain";
const STATUS: &str = "status/rollout/plain";

/// Registers two runners of version 2 for the service `plain`.
fn start_new_version(site: &Site, behavior: &Behavior) -> Vec<Runner> {
    let runners: Vec<Runner> = (1..=2)
        .map(|number| {
            Runner::start(&format!("i-new-{number}"), behavior.clone()).expect("a runner")
        })
        .collect();
    for runner in &runners {
        let mut entry = runner.entry("plain", "hall-a", "ready");
        entry["version"] = json!("v2");
        site.store.put(&format!("servers/{}", runner.id), &entry);
    }
    runners
}

fn order(site: &Site) {
    let order = json!({"service": "plain", "target_version": "v2", "duration_s": DURATION_S});
    site.store.put(ORDER, &order);
}

fn state_of(site: &Site) -> Value {
    site.store.value(STATUS)["state"].clone()
}

fn ran(runners: &[Runner]) -> usize {
    runners.iter().map(|runner| runner.ran().len()).sum()
}

/// Sends requests to the VMs in turn until `done`, at most for twice the duration of an order;
/// returns how many were sent.
fn send_until(vms: &[Vm], done: impl Fn() -> bool) -> usize {
    let start = Instant::now();
    let mut sent = 0;
    while !done() && start.elapsed() < Duration::from_secs_f64(DURATION_S * 2.0) {
        let vm = &vms[sent % vms.len()];
        send_expecting_answer(&get("/repeat/", &format!("r-{sent}")), vm);
        sent += 1;
        std::thread::sleep(Duration::from_millis(4));
    }
    sent
}

#[test]
fn a_good_version_gets_all_requests_and_is_completed_within_the_time_of_its_order() {
    let site = Site::start();
    let vms = ["good-1", "good-2"].map(|name| site.start_vm(name, RULES));
    order(&site);
    let ordered_at = Instant::now();
    let new = start_new_version(&site, &Behavior::Answer);

    wait_until("the order is known", || state_of(&site) == json!("running"));
    send_until(&vms, || state_of(&site) == json!("completed"));
    let took = ordered_at.elapsed();
    let old_runs = ran(&site.plain);
    send_until(&vms, || ordered_at.elapsed() > took + Duration::from_secs(1));

    assert_eq!(site.store.value(STATUS)["target_version"], json!("v2"));
    assert!(took < Duration::from_secs_f64(DURATION_S), "{took:?}");
    assert!(ran(&new) > 0);
    assert_eq!(ran(&site.plain), old_runs, "targets of other versions get nothing any more");
}

#[test]
fn a_version_that_fails_its_requests_is_rolled_back_after_few_of_them() {
    let site = Site::start();
    let vms = ["failing-1", "failing-2"].map(|name| site.start_vm(name, RULES));
    order(&site);
    let new = start_new_version(&site, &Behavior::Fail);

    let sent = send_until(&vms, || state_of(&site) == json!("rolled_back"));
    let exposed = ran(&new);
    send_until(&vms, || ran(&site.plain) > sent + 100);

    assert_eq!(state_of(&site), json!("rolled_back"));
    assert!(exposed < 50 && exposed <= sent / 10 + 20, "{exposed} of {sent}");
    assert_eq!(ran(&new), exposed, "it gets nothing any more");
}

#[test]
fn a_version_that_answers_slowly_is_rolled_back() {
    let site = Site::start();
    let vms = ["slow-1", "slow-2"].map(|name| site.start_vm(name, RULES));
    order(&site);
    start_new_version(&site, &Behavior::Hang(Duration::from_millis(60)));

    send_until(&vms, || state_of(&site) == json!("rolled_back"));

    assert_eq!(state_of(&site), json!("rolled_back"));
}

#[test]
fn the_next_vm_decides_when_the_coordinator_is_killed() {
    let site = Site::start();
    let mut vms: Vec<Vm> =
        ["kill-1", "kill-2", "kill-3"].into_iter().map(|name| site.start_vm(name, RULES)).collect();
    order(&site);
    start_new_version(&site, &Behavior::Fail);
    let coordinator = |vms: &[Vm]| vms.iter().position(|vm| vm.log().contains("rollout decided"));
    wait_until("one VM has begun", || coordinator(&vms).is_some());

    let coordinator = coordinator(&vms);
    drop(vms.remove(coordinator.expect("a VM that has decided")));
    send_until(&vms, || state_of(&site) == json!("rolled_back"));

    assert_eq!(state_of(&site), json!("rolled_back"));
}

#[test]
fn a_bad_version_gets_nothing_more_while_the_store_is_lost() {
    let site = Site::start();
    let vms = ["lost-1", "lost-2"].map(|name| site.start_vm(name, RULES));
    order(&site);
    let new = start_new_version(&site, &Behavior::Fail);
    wait_until("the order is known", || state_of(&site) == json!("running"));
    vms.iter().for_each(|vm| vm.wait_for_targets(8));

    site.store.set_mode(StoreMode::Unresponsive);
    let stopped =
        |vm: &Vm| ["phase=RolledBack", "version stopped"].iter().any(|t| vm.log().contains(t));
    let sent = send_until(&vms, || vms.iter().all(stopped));
    let exposed = ran(&new);
    let start = Instant::now();
    let more = send_until(&vms, || start.elapsed() > Duration::from_secs(2));

    assert!(vms.iter().all(stopped), "no VM may go on with it");
    assert!(exposed > 0 && exposed < 50 && exposed <= sent / 10 + 20, "{exposed} of {sent}");
    assert_eq!(ran(&new), exposed, "none of {more} more reach it");
}

#[test]
fn the_calls_of_a_pool_try_the_new_version_too() {
    let site = Site::start();
    let vms = [site.start_vm("pool-rollout", RULES)];
    site.store.put(
        "op/rollout/pool",
        &json!({"service": "pool", "target_version": "v2", "duration_s": DURATION_S}),
    );
    let worker = Runner::start("i-new-pool", Behavior::Answer).expect("a runner");
    let mut entry = worker.entry("pool", "hall-a", "ready");
    entry["version"] = json!("v2");
    site.store.put("servers/i-new-pool", &entry);
    vms[0].wait_for_targets(7);

    let mut sent = 0;
    let is_completed = || site.store.value("status/rollout/pool")["state"] == json!("completed");
    let start = Instant::now();
    let (mut in_canary, mut of_canary) = (0, 0);
    while !is_completed() && start.elapsed() < Duration::from_secs_f64(DURATION_S * 2.0) {
        let chain = post("/chain/", &format!("c-{sent}"));
        let chain = chain.with_header("Pieces", "4,1").with_header("Piece-Key", "secret");
        assert_eq!(send_expecting_answer(&chain, &vms[0]).status(), 200);
        sent += 1;
        if start.elapsed() < Duration::from_secs(2) {
            (in_canary, of_canary) = (worker.pieces().len(), sent * 5);
        }
    }

    assert!(is_completed(), "{:?}", site.store.value("status/rollout/pool"));
    assert!(
        in_canary <= of_canary / 10 + 20,
        "{in_canary} of {of_canary} pieces in the canary phase"
    );
    assert!(worker.pieces().len() > in_canary, "it gets all pieces once it is promoted");
}

#[test]
fn orders_that_cannot_be_carried_out_are_logged_with_their_key_and_change_nothing() {
    let site = Site::start();
    let vm = site.start_vm("bad-orders", RULES);
    let bad = [
        json!({"service": "plain", "duration_s": 5}),
        json!({"service": "plain", "target_version": "", "duration_s": 5}),
        json!({"service": "plain", "target_version": "v2"}),
        json!({"service": "plain", "target_version": "v2", "duration_s": 0}),
        json!({"service": "plain", "target_version": "v2", "duration_s": -1}),
        json!({"service": "plain", "target_version": "v2", "duration_s": 1e12}),
        json!({"service": "engine", "target_version": "v2", "duration_s": 5}),
        json!("not an order"),
    ];

    for (number, order) in bad.iter().enumerate() {
        site.store.put(ORDER, order);
        wait_until("the order is logged", || {
            vm.log().matches("rollout ignored").count() == number + 1
        });
    }

    assert!(vm.log().contains("key=op/rollout/plain"));
    assert_eq!(state_of(&site), json!(null));
    assert_eq!(send_expecting_answer(&get("/repeat/", "served"), &vm).status(), 200);
}

#[test]
fn an_order_for_an_unknown_service_is_reported_as_rolled_back() {
    let site = Site::start();
    let _vm = site.start_vm("unknown-service", RULES);
    let order = json!({"service": "nowhere", "target_version": "v2", "duration_s": 1.0});

    site.store.put("op/rollout/nowhere", &order);

    wait_until("the order is reported", || {
        site.store.value("status/rollout/nowhere")["state"] == json!("rolled_back")
    });
}

#[test]
fn an_order_for_the_version_in_force_is_completed_at_once() {
    let site = Site::start();
    let vm = site.start_vm("in-force", RULES);
    let order = json!({"service": "plain", "target_version": "v1", "duration_s": 60});

    site.store.put(ORDER, &order);

    wait_until("the order is completed", || state_of(&site) == json!("completed"));
    assert_eq!(send_expecting_answer(&get("/repeat/", "served"), &vm).status(), 200);
}
