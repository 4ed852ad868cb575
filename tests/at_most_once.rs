//! A request that may not be repeated runs at most once, however often it is sent under its id and
//! to whichever VMs. Before a VM runs it, the VM claims the id in the store.
//!
//! Guards against second runs when VMs get the id at the same time, when the VM that runs the
//! request is killed or paused, and when the store or its answers are lost; and against an answer
//! "not-run" from a VM that can't know whether another one runs the request.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

mod support;

use std::collections::HashSet;
use std::thread;
use std::time::Duration;

use serde_json::json;
use support::{Fleet, Reply, caller_request, usual_fleet, wait_until};

/// Number of calls at targets for the request `id`.
fn runs_of(fleet: &Fleet, id: &str) -> usize {
    let start = format!("{id}/");
    let records = fleet.records();
    records
        .iter()
        .filter(|(_, c)| c["attempt"].as_str().is_some_and(|a| a.starts_with(&start)))
        .count()
}

fn slow_targets(fleet: &Fleet, service_ms: u64) {
    for target in ["plain-1", "plain-2", "plain-3", "plain-4"] {
        fleet.set_faults(target, &json!({ "service_ms": service_ms }));
    }
}

#[test]
fn the_same_id_at_several_vms_at_once_runs_once() {
    let fleet = usual_fleet(3);
    for round in 0..20 {
        let id = format!("hold-{round}");

        let replies: Vec<Reply> = thread::scope(|scope| {
            let senders: Vec<_> = (0..6)
                .map(|n| {
                    let (vm, id) = (&fleet.vms[n % 3], &id);
                    scope.spawn(move || caller_request("hold", 3000).once(id).send(vm.callers))
                })
                .collect();
            senders.into_iter().map(|s| s.join().expect("sender").expect("an answer")).collect()
        });

        let whole = replies.iter().filter(|r| r.outcome == "whole").count();
        let others = replies.iter().filter(|r| r.outcome == "unknown" && r.status == 409).count();
        assert_eq!((whole, others, runs_of(&fleet, &id)), (1, 5, 1), "{replies:?}");
    }
}

#[test]
fn a_request_is_not_run_again_after_its_vm_was_killed_during_the_call() {
    let mut fleet = usual_fleet(2);
    slow_targets(&fleet, 400);
    let to = fleet.vms[0].callers;
    let sender = thread::spawn(move || caller_request("hold", 3000).once("dies").send(to));
    wait_until("the call is under way", || runs_of(&fleet, "dies") == 1);
    fleet.kill(0);
    assert!(sender.join().expect("sender").is_none(), "a killed VM answered");

    let again =
        caller_request("hold", 3000).once("dies").send(fleet.vms[1].callers).expect("an answer");

    assert_eq!((again.outcome.as_str(), again.status), ("unknown", 409));
    assert_eq!(again.body["reason"], "id-taken");
    assert_eq!(runs_of(&fleet, "dies"), 1);
}

#[test]
fn requests_with_a_callers_id_do_not_run_during_a_store_outage() {
    let fleet = usual_fleet(2);
    caller_request("hold", 3000).once("before").send(fleet.vms[0].callers).expect("an answer");
    fleet.set_platform_faults(&json!({ "outage": true }));

    let fresh =
        caller_request("hold", 3000).once("fresh").send(fleet.vms[1].callers).expect("an answer");
    let before =
        caller_request("hold", 3000).once("before").send(fleet.vms[1].callers).expect("an answer");
    let no_id = caller_request("hold", 3000).send(fleet.vms[1].callers).expect("an answer");

    // The request "before" has run, so "not-run" would be wrong, and without the store this VM
    // can't tell the two requests apart.
    for reply in [&fresh, &before] {
        assert_eq!(
            (reply.outcome.as_str(), &reply.body["reason"]),
            ("unknown", &json!("store-out"))
        );
        assert!(reply.body["retry_after_ms"].is_u64());
    }
    assert_eq!((runs_of(&fleet, "fresh"), runs_of(&fleet, "before")), (0, 1));
    assert_eq!(no_id.outcome, "whole", "a request with no id needs no store");
    fleet.set_platform_faults(&json!({}));
    let again =
        caller_request("hold", 3000).once("fresh").send(fleet.vms[0].callers).expect("an answer");
    assert_eq!((again.outcome.as_str(), runs_of(&fleet, "fresh")), ("whole", 1));
}

#[test]
fn a_claim_with_a_lost_answer_is_resolved_by_reading_it() {
    let fleet = usual_fleet(2);
    fleet.set_platform_faults(&json!({ "lose_answers": 1 }));

    let reply =
        caller_request("hold", 8000).once("lost").send(fleet.vms[0].callers).expect("an answer");
    let again =
        caller_request("hold", 8000).once("lost").send(fleet.vms[1].callers).expect("an answer");

    assert_eq!((reply.outcome.as_str(), again.outcome.as_str()), ("whole", "unknown"));
    assert_eq!(runs_of(&fleet, "lost"), 1);
}

#[test]
fn a_vm_that_was_paused_does_not_run_a_request_a_second_time() {
    let fleet = usual_fleet(2);
    let mut outcomes = HashSet::new();
    for round in 0..8 {
        let id = format!("frozen-{round}");
        let to = fleet.vms[0].callers;
        let sent = id.clone();
        let sender = thread::spawn(move || caller_request("hold", 10_000).once(&sent).send(to));
        // Pauses the VM at a different point of its work in each round.
        thread::sleep(Duration::from_micros(500 * round));
        fleet.signal(0, "STOP");

        let other =
            caller_request("hold", 3000).once(&id).send(fleet.vms[1].callers).expect("an answer");
        fleet.signal(0, "CONT");

        let first = sender.join().expect("sender").expect("an answer");
        assert!(runs_of(&fleet, &id) <= 1, "ran twice: {first:?} {other:?}");
        let whole = [&first, &other].iter().filter(|r| r.outcome == "whole").count();
        assert!(whole <= 1, "{first:?} {other:?}");
        outcomes.insert((first.outcome, other.outcome));
    }
    assert!(!outcomes.is_empty());
}

#[test]
fn a_refused_request_stays_refused_under_its_id() {
    let fleet = usual_fleet(2);
    let labeled = fleet.run_cli(&["label", "target/plain-1", "state=x"]);
    assert!(labeled.status.success());
    for target in ["plain-1", "plain-2", "plain-3", "plain-4"] {
        fleet.set_faults(target, &json!({ "fault": "busy" }));
    }

    let refused =
        caller_request("hold", 1000).once("refused").send(fleet.vms[0].callers).expect("an answer");
    for target in ["plain-1", "plain-2", "plain-3", "plain-4"] {
        fleet.set_faults(target, &json!({}));
    }
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    // The refusal is written to the store after the caller is answered; until then the id is
    // reported as taken.
    wait_until("the id is known as refused", || {
        let again = caller_request("hold", 1000).once("refused").send(fleet.vms[1].callers);
        let again = again.expect("an answer");
        assert_eq!(again.body["reason"], "id-taken", "{again:?}");
        assert_eq!(runs_of(&fleet, "refused"), 0);
        again.outcome == "not-run"
    });
}

/// An answer must not wait for the store: after the claim the store is only informed of how the
/// request ended.
#[test]
fn a_slow_store_does_not_delay_the_answer_after_the_claim() {
    let fleet = usual_fleet(1);
    slow_targets(&fleet, 600);
    let to = fleet.vms[0].callers;
    let began = std::time::Instant::now();
    let sender = thread::spawn(move || caller_request("hold", 1000).once("slow-store").send(to));
    wait_until("the call is under way", || runs_of(&fleet, "slow-store") == 1);
    fleet.set_platform_faults(&json!({ "delay_ms": 1400 }));

    let reply = sender.join().expect("sender").expect("an answer");

    assert_eq!(reply.outcome, "whole", "{reply:?}");
    assert!(began.elapsed() < Duration::from_millis(1400), "{:?}", began.elapsed());
}

/// A VM that refuses a request before it has claimed the id can't know whether another VM runs it,
/// so it must not report "not-run".
#[test]
fn a_refusal_before_the_claim_is_not_reported_as_not_run() {
    let mut fleet = usual_fleet(1);
    fleet.start_vm("hall-a", "limits: {requests: 1}\n");
    slow_targets(&fleet, 1500);
    let full = fleet.vms[1].callers;
    let occupying_sender =
        thread::spawn(move || caller_request("hold", 5000).repeatable().send(full));
    wait_until("the VM is at its limit", || fleet.records().len() == 1);
    let to = fleet.vms[0].callers;
    let running_sender =
        thread::spawn(move || caller_request("hold", 5000).once("elsewhere").send(to));
    wait_until("the other VM runs it", || runs_of(&fleet, "elsewhere") == 1);

    let refused = caller_request("hold", 5000).once("elsewhere").send(full).expect("an answer");
    let no_id = caller_request("hold", 5000).send(full).expect("an answer");

    assert_eq!(
        (refused.outcome.as_str(), &refused.body["reason"]),
        ("unknown", &json!("queue-full"))
    );
    assert!(refused.body["retry_after_ms"].is_u64());
    assert_eq!(no_id.outcome, "not-run");
    assert_eq!(running_sender.join().expect("sender").expect("an answer").outcome, "whole");
    assert!(occupying_sender.join().expect("sender").is_some());
}
