//! Orders that bring engines into their wanted condition, such as the model to load. In each hall
//! one VM holds the lease for giving orders, and a fencing token keeps a paused former holder from
//! giving outdated ones.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

mod support;

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use support::{Fleet, agent, get_json, put_json, usual_fleet, wait_until};

/// Name of the engine that gets the orders.
const ENGINE: &str = "engine-1";

/// Applies a new wanted model for the engine.
fn apply_wanted_model(fleet: &Fleet, model: &str, checks_fence: bool) {
    let text = format!(
        "target: {{name: {ENGINE}, hall: hall-a, address: '{}', labels: {{pool: engine}}, \
         wanted: {{model: {model}}}, checks_fence: {checks_fence}}}\n",
        fleet.target(ENGINE)
    );
    let applied = fleet.apply(&text);
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
}

fn orders(fleet: &Fleet) -> Vec<Value> {
    let orders = get_json(fleet.target(ENGINE), "/v1/orders").expect("orders");
    orders.as_array().cloned().unwrap_or_default()
}

/// Model that the engine was last ordered to run; empty if none.
fn model(fleet: &Fleet) -> String {
    let condition = get_json(fleet.target(ENGINE), "/v1/condition").expect("a condition");
    condition["wanted"]["model"].as_str().unwrap_or_default().to_owned()
}

/// Fencing token of the lease that a VM holds; `None` if it holds none.
fn fence(fleet: &Fleet, vm: usize) -> Option<u64> {
    get_json(fleet.vms[vm].operations, "/state")?["orders_fence"].as_u64()
}

/// Two VMs (0 and 2) in the engine's hall and one (1) in the other hall.
fn fleet() -> Fleet {
    let mut fleet = usual_fleet(2);
    fleet.start_vm("hall-a", "");
    fleet.publish_vm_list(&[]);
    fleet.wait_for_peer_discovery();
    fleet
}

#[test]
fn an_engine_follows_its_wanted_condition_under_one_holder() {
    let fleet = fleet();
    apply_wanted_model(&fleet, "m1", true);
    wait_until("m1 is ordered", || model(&fleet) == "m1");
    apply_wanted_model(&fleet, "m2", true);
    wait_until("m2 is ordered", || model(&fleet) == "m2");

    let holders = (0..3).filter(|vm| fence(&fleet, *vm).is_some()).count();
    assert_eq!(holders, 1);
    assert_eq!(fence(&fleet, 1), None, "a VM of the other hall holds the lease");
    let fences: Vec<Value> = orders(&fleet).iter().map(|o| o["fence"].clone()).collect();
    assert_eq!(fences, [1, 1]);
}

#[test]
fn a_holder_paused_beyond_its_lease_gives_no_outdated_orders() {
    let fleet = fleet();
    apply_wanted_model(&fleet, "m0", true);
    wait_until("m0 is ordered", || model(&fleet) == "m0");
    for round in 1..=3 {
        let holder = [0, 2].into_iter().find(|vm| fence(&fleet, *vm).is_some());
        let holder = holder.expect("a holder");
        let other = 2 - holder;
        // The holder is paused at a different point of its work in each round, while it has an
        // order to give.
        apply_wanted_model(&fleet, &format!("old-{round}"), true);
        thread::sleep(Duration::from_millis(300 * round));
        fleet.signal(holder, "STOP");
        let wanted = format!("new-{round}");
        apply_wanted_model(&fleet, &wanted, true);
        wait_until("the other VM holds the lease", || fence(&fleet, other).is_some());
        wait_until("the new model is ordered", || model(&fleet) == wanted);

        fleet.signal(holder, "CONT");
        wait_until("the old holder no longer holds the lease", || fence(&fleet, holder).is_none());

        assert_eq!(model(&fleet), wanted);
        let fences: Vec<u64> = orders(&fleet).iter().filter_map(|o| o["fence"].as_u64()).collect();
        assert!(fences.is_sorted(), "{fences:?}");
    }
}

/// Sends an order with an outdated fence, as a former holder would that was paused between the
/// check of its lease and the order; returns the HTTP status.
fn send_stale_order(fleet: &Fleet) -> u16 {
    let order = json!({ "fence": 0, "wanted": { "model": "stale" } });
    let url = format!("http://{}/v1/orders", fleet.target(ENGINE));
    agent().post(url).send(order.to_string()).expect("an answer").status().as_u16()
}

#[test]
fn a_target_that_checks_the_fence_refuses_a_stale_order() {
    let fleet = fleet();
    apply_wanted_model(&fleet, "m1", true);
    wait_until("m1 is ordered", || model(&fleet) == "m1");

    assert_eq!(send_stale_order(&fleet), 409);
    assert_eq!(model(&fleet), "m1");
}

#[test]
fn a_target_that_does_not_check_the_fence_is_corrected_by_the_holder() {
    let fleet = fleet();
    put_json(fleet.target(ENGINE), "/faults", &json!({ "checks_fence": false }));
    apply_wanted_model(&fleet, "m1", false);
    wait_until("m1 is ordered", || model(&fleet) == "m1");

    // The stale order takes effect: for about a second the engine is in the condition that the
    // order names.
    assert_eq!(send_stale_order(&fleet), 200);
    assert_eq!(model(&fleet), "stale");
    wait_until("the holder restores the wanted model", || model(&fleet) == "m1");
}

#[test]
fn no_orders_are_given_during_a_store_outage() {
    let fleet = fleet();
    apply_wanted_model(&fleet, "m1", true);
    wait_until("m1 is ordered", || model(&fleet) == "m1");
    let holder = [0, 2].into_iter().find(|vm| fence(&fleet, *vm).is_some()).expect("a holder");
    apply_wanted_model(&fleet, "m2", true);
    fleet.set_platform_faults(&json!({ "outage": true }));
    wait_until("the holder no longer holds the lease", || fence(&fleet, holder).is_none());
    let orders_before = orders(&fleet).len();
    thread::sleep(Duration::from_millis(2500));

    assert_eq!(orders(&fleet).len(), orders_before);
    fleet.set_platform_faults(&json!({}));
    wait_until("m2 is ordered", || model(&fleet) == "m2");
}
