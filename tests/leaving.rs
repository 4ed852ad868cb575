//! A target that is leaving gets no new work after a few seconds, by whatever word it is told,
//! and one that is dead is not called for long.

// A helper that can't go on fails its test.
#![allow(clippy::expect_used)]

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use support::{Fleet, StopOnDrop, caller_request, get_json, put_json, usual_fleet, wait_until};

/// Time within which the last new call must have come (aim: 3 s).
const FEW_SECONDS: Duration = Duration::from_secs(3);
const LEAVING: &str = "plain-1";

/// Sends requests to all VMs until `during` is done; every answer must be whole.
fn under_load(fleet: &Fleet, during: impl FnOnce()) {
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for vm in &fleet.vms {
            let over = &over;
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let reply = caller_request("hold", 3000).repeatable().send(vm.callers);
                    let reply = reply.expect("an answer");
                    assert_eq!(reply.outcome, "whole", "{reply:?}");
                }
            });
        }
        let _ends = StopOnDrop(&over);
        during();
    });
}

fn calls(fleet: &Fleet) -> usize {
    fleet.record(LEAVING).len()
}

/// After `FEW_SECONDS` the target's record must not grow any more.
fn assert_no_new_calls(fleet: &Fleet) {
    thread::sleep(FEW_SECONDS);
    let then = calls(fleet);
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(calls(fleet), then, "new calls came later than {FEW_SECONDS:?}");
}

#[test]
fn by_the_vm_list_though_it_lags() {
    let fleet = usual_fleet(4);
    under_load(&fleet, || {
        wait_until("it is called", || calls(&fleet) > 0);
        fleet.set_platform_faults(&json!({ "list_lag_ms": 500 }));
        fleet.publish_vm_list(&[LEAVING]);
        assert_no_new_calls(&fleet);
    });
}

#[test]
fn by_its_own_answer_with_the_platform_out() {
    let fleet = usual_fleet(4);
    under_load(&fleet, || {
        wait_until("it is called", || calls(&fleet) > 0);
        fleet.set_platform_faults(&json!({ "outage": true }));
        put_json(fleet.target(LEAVING), "/faults", &json!({ "leaving": true, "service_ms": 2 }));
        assert_no_new_calls(&fleet);
    });
    // One VM heard it first hand at least; all know it.
    for vm in &fleet.vms {
        let state = get_json(vm.operations, "/state").expect("state");
        let targets = state["targets"].as_array().cloned().unwrap_or_default();
        let leaving: Vec<_> = targets.iter().filter(|t| t["leaving"] == true).collect();
        assert_eq!(leaving.len(), 1, "{}", vm.name);
        assert_eq!(leaving[0]["name"], LEAVING);
    }
}

#[test]
fn a_target_that_came_back_is_used_again() {
    let fleet = usual_fleet(1);
    put_json(fleet.target(LEAVING), "/faults", &json!({ "leaving": true, "service_ms": 2 }));
    let send =
        || caller_request("hold", 3000).repeatable().send(fleet.vms[0].callers).expect("an answer");
    wait_until("it is known to leave", || {
        send();
        let state = get_json(fleet.vms[0].operations, "/state").expect("state");
        state["targets"].as_array().into_iter().flatten().any(|t| t["leaving"] == true)
    });
    put_json(fleet.target(LEAVING), "/faults", &json!({ "service_ms": 2 }));

    // Declared anew: removed and added under the same name.
    let shown = fleet.run_cli(&["show", "target/plain-1"]);
    assert!(shown.status.success());
    assert!(fleet.run_cli(&["remove", "target/plain-1", "--wait"]).status.success());
    let yaml = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(fleet.apply(&yaml).status.success());

    wait_until("it is called again", || {
        send();
        calls(&fleet) > 0
    });
}

#[test]
fn dead_targets_cost_no_request() {
    let mut fleet = usual_fleet(2);
    // A target that nobody listens for: every connection is refused.
    let dead = format!(
        "target: {{name: plain-9, hall: hall-a, address: '{}:1', labels: {{pool: plain}}}}\n",
        fleet.ip
    );
    assert!(fleet.apply(&dead).status.success());
    wait_until("all have it", || (0..2).all(|i| fleet.revision(i) == Some(2)));

    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < Duration::from_secs(3) {
        // May not be repeated: only a proof that nothing was sent allows another target.
        let reply =
            caller_request("hold", 3000).send(fleet.vms[sent % 2].callers).expect("an answer");
        assert_eq!(reply.outcome, "whole", "{reply:?}");
        sent += 1;
    }

    let state = get_json(fleet.vms[0].operations, "/state").expect("state");
    let targets = state["targets"].as_array().cloned().unwrap_or_default();
    let dead = targets.iter().find(|t| t["name"] == "plain-9").expect("known").clone();
    let tries = dead["calls"].as_u64().expect("a count");
    assert!(tries <= 6, "{tries} tries of a dead target in 3 s, {sent} requests");
    fleet.kill(0);
}
