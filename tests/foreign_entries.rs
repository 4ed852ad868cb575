//! Entries that others than their targets wrote: they name no target, and what else is there holds.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::time::Instant;

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::site::{SETTLE_TIME, Site, get, send_expecting_answer};

#[test]
fn what_others_write_names_no_target_and_the_rest_holds() {
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
    // Before all others in a listing, and as changes.
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
    wait_until("the earlier lifetime was heard of", || {
        vm.log().contains("target's entry of an earlier lifetime")
    });
    site.store.put(&format!("servers/{}", other.id), &other.entry("plain", "hall-a", "draining"));
    std::thread::sleep(SETTLE_TIME);
    let since = Instant::now();
    let after = served("after");

    assert_eq!([beside, without].concat(), vec![200; 20]);
    assert_eq!(reached, 0, "its entry names it no more");
    assert_eq!(after, vec![200; 10]);
    assert_eq!(one.received_after(since), 10, "the later lifetime is where it said");
    assert_eq!(later_vm.targets(), known);
}
