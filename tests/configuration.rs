//! Changes of the configuration: concurrent changes are linearizable, an accepted one is in force
//! at every VM within five seconds, and no VM goes back to an earlier revision.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

mod support;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use catalogue::{Catalogue, parse_documents};
use errors::Error;
use ids::Revision;
use serde_json::json;
use standins::serving_path::faulty_link::FaultyLink;
use store_client::{Store, publish, read_catalogue, read_head};
use support::{Fleet, SERVICES, StopOnDrop, caller_request, usual_fleet, usual_pools, wait_until};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action::{Call, Response};
use todc_utils::linearizability::history::History;
use todc_utils::specifications::Specification;

/// An operation on the head of the configuration, the key in the store that holds its current
/// revision, as an operator sees it.
#[derive(Debug, Clone, PartialEq)]
enum HeadOp {
    /// Reads the current revision; `None` until it is answered.
    Read(Option<u64>),
    /// Publishes a change on top of a base revision; `Some(true)` if it was accepted, `None` until
    /// it is answered.
    Change(u64, Option<bool>),
}

/// Sequential specification of the head, against which concurrent histories are checked.
struct HeadSpec;

impl Specification for HeadSpec {
    type State = u64;
    type Operation = HeadOp;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &HeadOp, state: &u64) -> (bool, u64) {
        match operation {
            HeadOp::Read(found) => (*found == Some(*state), *state),
            HeadOp::Change(base, Some(true)) => (base == state, state + 1),
            HeadOp::Change(base, _) => (base != state, *state),
        }
    }
}

/// A configuration with `count` customers.
fn customers(count: usize) -> Catalogue {
    let mut catalogue = Catalogue::default();
    for number in 0..count {
        let text = format!("customer: {{name: c{number}}}");
        parse_documents(&text).expect("YAML").into_iter().for_each(|d| catalogue.put(d));
    }
    catalogue
}

/// Runs four operators that publish changes concurrently, and returns the history of their
/// operations, each with the operator's number.
fn change_concurrently(
    fleet: &Fleet,
    rounds: usize,
) -> Vec<(usize, todc_utils::linearizability::history::Action<HeadOp>)> {
    let history = Mutex::new(Vec::new());
    let record = |operator: usize, action| history.lock().expect("lock").push((operator, action));
    thread::scope(|scope| {
        for operator in 0..4 {
            let record = &record;
            let platform = fleet.platform;
            scope.spawn(move || {
                let store = Store::new(platform);
                for round in 0..rounds {
                    record(operator, Call(HeadOp::Read(None)));
                    let (head, version) = read_head(&store).expect("head");
                    let base = head.revision.0;
                    record(operator, Response(HeadOp::Read(Some(base))));
                    let before = read_catalogue(&store, &head).unwrap_or_default();
                    let after = customers(operator * 100 + round);
                    let id = format!("change-{operator}-{round}");
                    record(operator, Call(HeadOp::Change(base, None)));
                    let result = publish(&store, (&head, version), &before, &after, &id);
                    let accepted = match result {
                        Ok(revision) => {
                            assert_eq!(revision, Revision(base + 1));
                            true
                        }
                        Err(Error::ChangeRefused { .. }) => false,
                        Err(e) => panic!("{e}"),
                    };
                    record(operator, Response(HeadOp::Change(base, Some(accepted))));
                }
            });
        }
    });
    history.into_inner().expect("history")
}

#[test]
fn concurrent_changes_of_the_head_are_linearizable() {
    let fleet = Fleet::start(&[]);

    let history = change_concurrently(&fleet, 6);

    let accepted_changes = history
        .iter()
        .filter(|(_, a)| matches!(a, Response(HeadOp::Change(_, Some(true)))))
        .count() as u64;
    let (head, _) = read_head(&Store::new(fleet.platform)).expect("head");
    assert!(accepted_changes > 0);
    assert_eq!(head.revision, Revision(accepted_changes));
    assert!(WGLChecker::<HeadSpec>::is_linearizable(History::from_actions(history)));
}

#[test]
fn a_change_with_lost_answers_is_settled_and_a_refused_change_leaves_no_data() {
    let fleet = Fleet::start(&[]);
    let store = Store::new(fleet.platform);
    let (head, version) = read_head(&store).expect("head");
    let none = Catalogue::default();
    // Both writes of the change take effect, but their answers are lost.
    fleet.set_platform_faults(&json!({ "lose_answers": 2 }));

    let first = publish(&store, (&head, version), &none, &customers(1), "lost");
    let second = publish(&store, (&head, version), &none, &customers(2), "late");

    assert_eq!(first.expect("accepted"), Revision(1));
    let refused = second.expect_err("refused").to_string();
    assert!(refused.contains("+ customer/c0"), "{refused}");
    let settled = fleet.run_cli(&["settle", "lost"]);
    assert!(String::from_utf8_lossy(&settled.stdout).contains("accepted as revision 1"));
    let keys = support::get_json(fleet.platform, "/counts").expect("counts")["keys"].clone();
    assert_eq!(keys, 2, "the head and one catalogue");
}

#[test]
fn a_refused_change_reports_the_revision_and_the_conflicting_change() {
    let fleet = usual_fleet(1);
    let store = Store::new(fleet.platform);
    let (head, version) = read_head(&store).expect("head");
    let before = read_catalogue(&store, &head).expect("catalogue");
    let conflicting = fleet.run_cli(&["label", "target/plain-1", "version=v2"]);
    assert!(conflicting.status.success());

    let result = publish(&store, (&head, version), &before, &customers(1), "mine");

    let message = result.expect_err("refused").to_string();
    assert!(message.contains("revision 2") && message.contains("~ target/plain-1"), "{message}");
}

#[test]
fn invalid_changes_are_refused_with_exit_code_and_location() {
    let fleet = usual_fleet(1);
    let text = "service:\n  name: x\n  stages: [{name: a, select: {all: {pool: nowhere}}}]\n";

    let refused = fleet.apply(text);

    assert_eq!(refused.status.code(), Some(2));
    let message = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(message.contains("service/x.stages.a.select: matches no target"), "{message}");
    assert_eq!(fleet.revision(0), Some(1));
    let same = fleet.write_file("same.yaml", "customer: {name: small}\n");
    let none = fleet.run_cli(&["apply", "--dry-run", "-f", same.to_str().expect("path")]);
    assert_eq!(none.status.code(), Some(0));
    let new = fleet.write_file("new.yaml", "customer: {name: new}\n");
    let some = fleet.run_cli(&["diff", "-f", new.to_str().expect("path")]);
    assert_eq!(some.status.code(), Some(10));
}

/// Guards against a VM that goes back to an earlier revision, for instance because a peer still has
/// it: the revision of every VM is polled while labels are changed, and must never decrease.
#[test]
fn changes_reach_every_vm_within_five_seconds_and_never_revert() {
    let mut fleet = usual_fleet(5);
    let finished = AtomicBool::new(false);

    thread::scope(|scope| {
        for index in 0..fleet.vms.len() {
            let (fleet, finished) = (&fleet, &finished);
            scope.spawn(move || {
                let mut last = 0;
                while !finished.load(Ordering::Relaxed) {
                    let found = fleet.revision(index).expect("a revision");
                    assert!(found >= last, "VM {index} reverted from revision {last} to {found}");
                    last = found;
                    thread::sleep(Duration::from_millis(5));
                }
            });
        }
        let _stop_guard = StopOnDrop(&finished);
        for number in 0..10 {
            let label = format!("round=r{number}");
            let changed = fleet.run_cli(&["label", "target/plain-1", &label, "--wait"]);
            let message = String::from_utf8_lossy(&changed.stderr).into_owned();
            assert!(changed.status.success(), "not in force at every VM within 5 s: {message}");
        }
    });

    // A VM that restarts during an outage of the store takes the configuration from its peers.
    fleet.set_platform_faults(&json!({ "outage": true }));
    fleet.kill(4);
    fleet.restart(4);
    fleet.wait_ready(4);
    assert_eq!(fleet.revision(4), Some(11));
    let state = support::get_json(fleet.vms[4].operations, "/state").expect("state");
    assert_eq!(state["source"], "peer");
}

/// Guards against a change that waits for the end of watches that are silent at all VMs.
#[test]
fn a_change_reaches_every_vm_within_five_seconds_though_all_watches_are_silent() {
    let mut fleet = Fleet::start(&usual_pools());
    assert!(fleet.apply(&fleet.catalogue(SERVICES)).status.success());
    let links: Vec<FaultyLink> =
        (0..2).map(|_| FaultyLink::start(fleet.platform).expect("a link")).collect();
    for link in &links {
        fleet.platform_for_vms = link.address;
        fleet.start_vm("hall-a", "");
    }
    fleet.publish_vm_list(&[]);
    fleet.wait_for_peer_discovery();
    // Lets the VMs begin their watches: only connections that wait for an answer become silent.
    thread::sleep(Duration::from_secs(1));

    links.iter().for_each(FaultyLink::blackhole_waiting);
    let changed = fleet.run_cli(&["label", "target/plain-1", "silent=yes", "--wait"]);

    let message = String::from_utf8_lossy(&changed.stderr).into_owned();
    assert!(changed.status.success(), "not in force at every VM within 5 s: {message}");
}

#[test]
fn a_vm_without_store_and_peers_answers_503_with_the_reason() {
    let mut fleet = Fleet::start(&usual_pools());
    assert!(fleet.apply(&fleet.catalogue(SERVICES)).status.success());
    fleet.set_platform_faults(&json!({ "outage": true }));
    let index = fleet.start_vm_without_waiting("hall-a", "");
    wait_until("the VM answers", || fleet.revision(index).is_some());

    let reply = caller_request("hold", 1000)
        .repeatable()
        .send(fleet.vms[index].callers)
        .expect("an answer");

    assert_eq!((reply.status, reply.outcome.as_str()), (503, "not-run"));
    assert_eq!(reply.body["reason"], "no-configuration");
    fleet.set_platform_faults(&json!({}));
    fleet.wait_ready(index);
}

/// A request keeps the revision under which it began: its later stages use the selectors and
/// targets of that revision, even if a change has removed them since.
#[test]
fn a_request_uses_one_revision_for_all_its_stages() {
    let fleet = usual_fleet(1);
    for target in ["plain-1", "plain-2", "plain-3", "plain-4"] {
        fleet.set_faults(target, &json!({ "service_ms": 300 }));
    }
    let to = fleet.vms[0].callers;
    let sender = thread::spawn(move || {
        caller_request("check", 8000).repeatable().send(to).expect("an answer")
    });
    wait_until("the first stage runs", || !fleet.records().is_empty());

    // First the last stage is moved to plain targets, then the engines are removed.
    let plain = SERVICES.replace("pool: engine}}, streams: true", "pool: plain}}");
    assert!(fleet.apply(&plain).status.success());
    let removed = fleet.run_cli(&["remove", "target/engine-1", "target/engine-2", "--wait"]);
    assert!(removed.status.success(), "{}", String::from_utf8_lossy(&removed.stderr));
    assert!(fleet.records().len() < 4, "the request ended before the change");
    let reply = sender.join().expect("sender");
    let next = caller_request("check", 8000).repeatable().send(to).expect("an answer");

    let last_target = |reply: &support::Reply| reply.targets().pop().unwrap_or_default();
    assert_eq!((reply.outcome.as_str(), next.outcome.as_str()), ("whole", "whole"));
    assert!(last_target(&reply).starts_with("engine-"), "{reply:?}");
    assert!(last_target(&next).starts_with("plain-"), "{next:?}");
}
