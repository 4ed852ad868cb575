//! Entries in the store that were not written by their targets, or are of an earlier lifetime: they are ignored, and all
//! other entries stay in force.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::time::Instant;

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::site::{SETTLE_TIME, Site, get, send_expecting_answer};

#[test]
fn invalid_and_outdated_entries_are_ignored() {
    let site = Site::start();
    let vm = site.start_vm("strangers", "");
    let served = |name: &str| {
        let ids = (0..10).map(|number| format!("{name}-{number}"));
        ids.map(|id| send_expecting_answer(&get("/repeat/", &id), &vm).status()).collect::<Vec<_>>()
    };
    let (one, other) = (&site.plain[0], &site.plain[1]);
    let sound = |born: u64| {
        let mut entry = one.entry("plain", "hall-a", "ready");
        entry["born"] = json!(born);
        entry
    };
    let key = format!("servers/{}", one.id);
    let known = vm.targets();
    // These come before and after all others in a listing, and also arrive as changes.
    site.store.put("servers/0-first", &json!("no entry"));
    site.store.put("servers/zz", &json!({"service": "plain", "address": 5}));
    site.store.put("servers/strange", &json!({"state": "asleep", "service": "plain"}));
    let beside = served("beside");
    let later_vm = site.start_vm_expecting("strangers-later", known);

    site.store.put(&key, &json!({"bytes": "of somebody else"}));
    wait_until("the target is gone", || vm.targets() == known - 1);
    let since = Instant::now();
    let without = served("without");
    let reached = one.received_after(since);
    site.store.put(&key, &sound(2_000));
    wait_until("the target is back", || vm.targets() == known);
    let mut early = sound(1_000);
    early["address"] = json!("127.0.0.1:9");
    site.store.put(&key, &early);
    wait_until("the entry of the earlier lifetime is logged", || {
        vm.log().contains("target's entry of an earlier lifetime")
    });
    site.store.put(&format!("servers/{}", other.id), &other.entry("plain", "hall-a", "draining"));
    std::thread::sleep(SETTLE_TIME);
    let since = Instant::now();
    let after = served("after");

    assert_eq!([beside, without].concat(), vec![200; 20]);
    assert_eq!(reached, 0, "the target gets no requests without a valid entry");
    assert_eq!(after, vec![200; 10]);
    assert_eq!(one.received_after(since), 10, "the address of the later lifetime stays in force");
    assert_eq!(later_vm.targets(), known);
}
