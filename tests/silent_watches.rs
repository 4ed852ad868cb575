//! A watch of the store whose connection fell silent for good, while new connections work.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::FaultyLink;
use standins::serving_path::site::{Site, Vm, get, send_expecting_answer};

/// Time after which the platform bears no request at a target that leaves.
const LEAVING_BORNE: Duration = Duration::from_secs(2);

fn knows_one_leaving(vm: &Vm) -> bool {
    vm.log().contains("leaving=true")
}

/// Guards against a VM that sends work to targets which left, for as long as its silent watch may wait.
#[test]
fn a_vm_whose_watch_is_silent_hears_of_leaving_targets_from_its_peers() {
    let site = Site::start();
    let link = FaultyLink::start(site.store.address).expect("a link");
    let vm = Vm::start("silent-watch", "hall-a", link.address, "");
    site.wait_for_all_runners(&vm);
    let peer = site.start_vm("silent-watch-peer", "");
    wait_until("they are linked", || vm.linked_peers() == 1 && peer.linked_peers() == 1);
    std::thread::sleep(Duration::from_secs(1));

    link.blackhole_waiting();
    let leaving = &site.plain[0];
    let mut entry = leaving.entry("plain", "hall-a", "draining");
    entry["sequence"] = json!(2);
    site.store.put(&format!("servers/{}", leaving.id), &entry);
    wait_until("the peer knows", || knows_one_leaving(&peer));
    let told = Instant::now();
    std::thread::sleep(LEAVING_BORNE);
    for number in 0..20 {
        assert_eq!(
            send_expecting_answer(&get("/repeat/", &format!("r-{number}")), &vm).status(),
            200
        );
    }

    assert_eq!(leaving.received_after(told + LEAVING_BORNE), 0, "it leaves");
}
