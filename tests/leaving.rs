//! A leaving target gets no new calls later than three seconds after the VM list or its own answer
//! has announced the departure, and a target that refuses connections makes no request fail.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use support::{Fleet, StopOnDrop, caller_request, get_json, put_json, usual_fleet, wait_until};

/// Time after the announcement of a departure within which the last new call must have arrived.
const LAST_CALL_WITHIN: Duration = Duration::from_secs(3);
/// Name of the target that leaves.
const LEAVING_TARGET: &str = "plain-1";

/// Sends requests to all VMs until `during` returns; every answer must have the outcome "whole".
fn under_load(fleet: &Fleet, during: impl FnOnce()) {
    let finished = AtomicBool::new(false);
    thread::scope(|scope| {
        for vm in &fleet.vms {
            let finished = &finished;
            scope.spawn(move || {
                while !finished.load(Ordering::Relaxed) {
                    let reply = caller_request("hold", 3000).repeatable().send(vm.callers);
                    let reply = reply.expect("an answer");
                    assert_eq!(reply.outcome, "whole", "{reply:?}");
                }
            });
        }
        let _stop_guard = StopOnDrop(&finished);
        during();
    });
}

/// Number of calls that the leaving target has recorded.
fn calls(fleet: &Fleet) -> usize {
    fleet.record(LEAVING_TARGET).len()
}

/// Checks that the target gets no new calls after [`LAST_CALL_WITHIN`].
fn assert_no_new_calls(fleet: &Fleet) {
    thread::sleep(LAST_CALL_WITHIN);
    let calls_before = calls(fleet);
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(calls(fleet), calls_before, "new calls came later than {LAST_CALL_WITHIN:?}");
}

#[test]
fn a_target_marked_as_leaving_in_a_delayed_vm_list_gets_no_new_calls() {
    let fleet = usual_fleet(4);
    under_load(&fleet, || {
        wait_until("the target is called", || calls(&fleet) > 0);
        fleet.set_platform_faults(&json!({ "list_lag_ms": 500 }));
        fleet.publish_vm_list(&[LEAVING_TARGET]);
        assert_no_new_calls(&fleet);
    });
}

#[test]
fn a_target_that_announces_its_departure_gets_no_new_calls_during_a_platform_outage() {
    let fleet = usual_fleet(4);
    under_load(&fleet, || {
        wait_until("the target is called", || calls(&fleet) > 0);
        fleet.set_platform_faults(&json!({ "outage": true }));
        put_json(
            fleet.target(LEAVING_TARGET),
            "/faults",
            &json!({ "leaving": true, "service_ms": 2 }),
        );
        assert_no_new_calls(&fleet);
    });
    // At least one VM got such an answer itself; all VMs know of the departure.
    for vm in &fleet.vms {
        let state = get_json(vm.operations, "/state").expect("state");
        let targets = state["targets"].as_array().cloned().unwrap_or_default();
        let leaving: Vec<_> = targets.iter().filter(|t| t["leaving"] == true).collect();
        assert_eq!(leaving.len(), 1, "{}", vm.name);
        assert_eq!(leaving[0]["name"], LEAVING_TARGET);
    }
}

#[test]
fn a_leaving_target_that_is_added_again_is_used() {
    let fleet = usual_fleet(1);
    put_json(fleet.target(LEAVING_TARGET), "/faults", &json!({ "leaving": true, "service_ms": 2 }));
    let send =
        || caller_request("hold", 3000).repeatable().send(fleet.vms[0].callers).expect("an answer");
    wait_until("the departure is known", || {
        send();
        let state = get_json(fleet.vms[0].operations, "/state").expect("state");
        state["targets"].as_array().into_iter().flatten().any(|t| t["leaving"] == true)
    });
    put_json(fleet.target(LEAVING_TARGET), "/faults", &json!({ "service_ms": 2 }));

    // The target is removed from the configuration and added again under the same name.
    let shown = fleet.run_cli(&["show", "target/plain-1"]);
    assert!(shown.status.success());
    assert!(fleet.run_cli(&["remove", "target/plain-1", "--wait"]).status.success());
    let yaml = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(fleet.apply(&yaml).status.success());

    wait_until("the target is called again", || {
        send();
        calls(&fleet) > 0
    });
}

#[test]
fn unreachable_targets_fail_no_request() {
    let mut fleet = usual_fleet(2);
    // A target at whose address nothing listens: every connection is refused.
    let unreachable_target = format!(
        "target: {{name: plain-9, hall: hall-a, address: '{}:1', labels: {{pool: plain}}}}\n",
        fleet.ip
    );
    assert!(fleet.apply(&unreachable_target).status.success());
    wait_until("all VMs know the target", || (0..2).all(|i| fleet.revision(i) == Some(2)));

    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < Duration::from_secs(3) {
        // The request may not be repeated: another target may be tried only if certainly nothing
        // was sent.
        let reply =
            caller_request("hold", 3000).send(fleet.vms[sent % 2].callers).expect("an answer");
        assert_eq!(reply.outcome, "whole", "{reply:?}");
        sent += 1;
    }

    let state = get_json(fleet.vms[0].operations, "/state").expect("state");
    let targets = state["targets"].as_array().cloned().unwrap_or_default();
    let state_of_target =
        targets.iter().find(|t| t["name"] == "plain-9").expect("the target is known").clone();
    let tries = state_of_target["calls"].as_u64().expect("a count");
    assert!(tries <= 6, "{tries} tries at an unreachable target in 3 s, {sent} requests");
    fleet.kill(0);
}
