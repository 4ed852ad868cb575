//! Data halls that are cut off from the platform, from other halls' targets or from each other:
//! what is served, what is refused, and how they recover. There is a test for each row of
//! `docs/design/cut-off.md`.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

mod support;

use std::collections::BTreeSet;

use serde_json::json;
use support::forwarder::Forwarder;
use support::{Fleet, SERVICES, caller_request, get_json, usual_pools, wait_until};

/// Two halls with a VM each: VM 0 in hall-a, VM 1 in hall-b. VM 1 reaches the platform over a link
/// that can be cut; both VMs reach hall-a's plain targets over such links.
struct TwoHalls {
    fleet: Fleet,
    platform_link: Forwarder,
    target_links: Vec<Forwarder>,
}

fn start_two_halls() -> TwoHalls {
    let mut fleet = Fleet::start(&usual_pools());
    let platform_link = Forwarder::start(fleet.platform);
    let mut text = fleet.catalogue(SERVICES);
    // hall-a's plain targets.
    let target_links: Vec<Forwarder> = ["plain-1", "plain-3"]
        .iter()
        .map(|name| {
            let address = fleet.target(name);
            let link = Forwarder::start(address);
            text = text.replace(&format!("'{address}'"), &format!("'{}'", link.address));
            link
        })
        .collect();
    let applied = fleet.apply(&text);
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    fleet.start_vm("hall-a", "");
    fleet.platform_for_vms = platform_link.address;
    fleet.start_vm("hall-b", "");
    fleet.publish_vm_list(&[]);
    fleet.wait_for_peer_discovery();
    TwoHalls { fleet, platform_link, target_links }
}

#[test]
fn a_hall_cut_off_from_the_platform_serves_requests_and_gets_changes_from_its_peers() {
    let halls = start_two_halls();
    let fleet = &halls.fleet;
    halls.platform_link.cut();
    let cut_off = fleet.vms[1].callers;

    let served = caller_request("check", 5000).repeatable().send(cut_off).expect("an answer");
    let not_repeatable = caller_request("hold", 5000).send(cut_off).expect("an answer");
    let with_own_id =
        caller_request("hold", 5000).once("cut-off").send(cut_off).expect("an answer");

    assert_eq!((served.outcome.as_str(), not_repeatable.outcome.as_str()), ("whole", "whole"));
    assert_eq!(
        (with_own_id.outcome.as_str(), &with_own_id.body["reason"]),
        ("unknown", &json!("store-out"))
    );
    // A change reaches the VM through its peer in the other hall.
    let changed = fleet.run_cli(&["label", "target/plain-2", "a=b"]);
    assert!(changed.status.success());
    wait_until("the change arrives from a peer", || fleet.revision(1) == Some(2));
    let state = get_json(fleet.vms[1].operations, "/state").expect("state");
    assert_eq!(state["source"], "peer");

    halls.platform_link.heal();
    wait_until("requests with a caller's id are accepted again", || {
        let id = "cut-off";
        let reply = caller_request("hold", 5000).once(id).send(cut_off).expect("an answer");
        reply.outcome != "unknown" || reply.body["reason"] == "id-taken"
    });
}

#[test]
fn a_hall_cut_off_from_another_halls_targets_uses_its_own() {
    let halls = start_two_halls();
    let fleet = &halls.fleet;
    halls.target_links.iter().for_each(Forwarder::cut);

    let served: Vec<_> = (0..40)
        .map(|_| {
            caller_request("hold", 5000).repeatable().send(fleet.vms[1].callers).expect("an answer")
        })
        .collect();

    assert!(served.iter().all(|r| r.outcome == "whole"), "{served:?}");
    let last_targets: BTreeSet<String> = served[20..].iter().flat_map(|r| r.targets()).collect();
    let hall_b_targets = BTreeSet::from(["plain-2".to_owned(), "plain-4".to_owned()]);
    assert!(last_targets.is_subset(&hall_b_targets), "{last_targets:?}");

    // hall-a has lost its own targets and uses those of the other hall.
    let served_by_other_hall =
        caller_request("hold", 5000).repeatable().send(fleet.vms[0].callers).expect("an answer");
    assert_eq!(served_by_other_hall.outcome, "whole");
    halls.target_links.iter().for_each(Forwarder::heal);
    wait_until("the reconnected targets are used again", || {
        let reply = caller_request("hold", 5000)
            .repeatable()
            .send(fleet.vms[0].callers)
            .expect("an answer");
        !hall_b_targets.is_superset(&reply.targets().into_iter().collect())
    });
}

#[test]
fn a_hall_cut_off_from_everything_serves_requests_alone() {
    let halls = start_two_halls();
    let mut fleet = halls.fleet;
    halls.platform_link.cut();
    halls.target_links.iter().for_each(Forwarder::cut);
    fleet.set_platform_faults(&json!({ "outage": true }));
    fleet.kill(0);

    for _ in 0..20 {
        let reply = caller_request("check", 5000).repeatable().send(fleet.vms[1].callers);
        assert_eq!(reply.expect("an answer").outcome, "whole");
    }
    assert_eq!(fleet.revision(1), Some(1));
}

/// Two VMs in two halls whose peer links go over links that can be cut; both reach the platform.
#[test]
fn halls_cut_off_from_each_other_serve_requests_and_reconnect() {
    let mut fleet = Fleet::start(&usual_pools());
    assert!(fleet.apply(&fleet.catalogue(SERVICES)).status.success());
    // Ports at which the fleet's first two VMs listen for peers.
    let links: Vec<Forwarder> = [9001, 9011]
        .iter()
        .map(|port| Forwarder::start(std::net::SocketAddr::new(fleet.ip, *port)))
        .collect();
    for (hall, link) in ["hall-a", "hall-b"].iter().zip(&links) {
        fleet.start_vm(hall, &format!("peers_advertised: '{}'\n", link.address));
        let index = fleet.vms.len() - 1;
        fleet.vms[index].peers = link.address;
    }
    fleet.publish_vm_list(&[]);
    fleet.wait_for_peer_discovery();
    let age = |fleet: &Fleet, vm: usize| {
        let state = get_json(fleet.vms[vm].operations, "/state").expect("state");
        state["vms"][0]["age"].as_str().unwrap_or("forgotten").to_owned()
    };

    links.iter().for_each(Forwarder::cut);
    wait_until("each VM considers the other one stale", || {
        (0..2).all(|vm| age(&fleet, vm) == "stale")
    });
    for vm in 0..2 {
        let reply = caller_request("check", 5000).repeatable().send(fleet.vms[vm].callers);
        assert_eq!(reply.expect("an answer").outcome, "whole");
    }
    // Both VMs still reach the store: a request that both get under one id runs once, and both get
    // a change.
    let replies =
        [0, 1].map(|vm| caller_request("hold", 5000).once("cut").send(fleet.vms[vm].callers));
    let whole = replies.iter().flatten().filter(|reply| reply.outcome == "whole").count();
    assert_eq!(whole, 1, "{replies:?}");
    assert!(fleet.run_cli(&["label", "target/plain-2", "a=b"]).status.success());
    wait_until("the change is in force at both VMs", || {
        (0..2).all(|vm| fleet.revision(vm) == Some(2))
    });

    links.iter().for_each(Forwarder::heal);
    wait_until("the VMs are linked again", || (0..2).all(|vm| age(&fleet, vm) == "fresh"));
}
