//! Targets' entries in the store that are invalid because something else wrote them, or that are
//! older than the target's current process: they are ignored, and all other entries stay in force.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::time::Instant;

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::site::{
    SETTLE_TIME, Site, default_configuration, get, send_expecting_answer,
};

#[test]
fn invalid_and_outdated_entries_are_ignored() {
    let site = Site::start();
    let vm = site.start_vm("strangers", "");
    let send_ten = |name: &str| {
        let ids = (0..10).map(|number| format!("{name}-{number}"));
        ids.map(|id| send_expecting_answer(&get("/repeat/", &id), &vm).status()).collect::<Vec<_>>()
    };
    let (target, draining_target) = (&site.plain[0], &site.plain[1]);
    let valid_entry = |born: u64| {
        let mut entry = target.entry("plain", "hall-a", "ready");
        entry["born"] = json!(born);
        entry
    };
    let key = format!("servers/{}", target.id);
    let target_count = vm.targets();
    // The keys sort before and after all others, so that a listing has valid entries behind and
    // before invalid ones; `vm` gets them as changes, `later_vm` in a listing.
    site.store.put("servers/0-first", &json!("no entry"));
    site.store.put("servers/zz", &json!({"service": "plain", "address": 5}));
    site.store.put("servers/strange", &json!({"state": "asleep", "service": "plain"}));
    let beside_invalid_entries = send_ten("beside");
    let later_vm = site.start_vm_expecting("strangers-later", target_count);

    site.store.put(&key, &json!({"bytes": "of somebody else"}));
    wait_until("the target is gone", || vm.targets() == target_count - 1);
    let since = Instant::now();
    let without_entry = send_ten("without");
    let received = target.received_after(since);
    site.store.put(&key, &valid_entry(2_000));
    wait_until("the target is back", || vm.targets() == target_count);
    let mut earlier = valid_entry(1_000);
    earlier["address"] = json!("127.0.0.1:9");
    site.store.put(&key, &earlier);
    wait_until("the entry of the earlier lifetime is logged", || {
        vm.log().contains("target's entry of an earlier lifetime")
    });
    site.store.put(
        &format!("servers/{}", draining_target.id),
        &draining_target.entry("plain", "hall-a", "draining"),
    );
    std::thread::sleep(SETTLE_TIME);
    let since = Instant::now();
    let after_earlier_entry = send_ten("after");

    assert_eq!([beside_invalid_entries, without_entry].concat(), vec![200; 20]);
    assert_eq!(received, 0, "the target gets no requests without a valid entry");
    assert_eq!(after_earlier_entry, vec![200; 10]);
    assert_eq!(
        target.received_after(since),
        10,
        "the address of the later lifetime stays in force"
    );
    assert_eq!(later_vm.targets(), target_count);
}

/// Guards against a listing that never gets past a key that needs encoding.
#[test]
fn a_listing_goes_on_behind_keys_with_any_characters() {
    let site = Site::start();
    let runners = site.store.keys("servers/").len() as u64;
    for key in ["i-2 (old)", "i-2+3", "i-2&path_prefix=x", "i-2%41", "i-2#x", "i-2?", "i-2é"] {
        site.store.put(&format!("servers/{key}"), &json!("of another writer"));
    }
    site.store.set_page_size(1);

    let vm = site.start_vm_expecting("strange-keys", runners);
    site.store.put("op/config", &default_configuration(2));

    wait_until("the change is known", || vm.state()["configuration"] == 2);
    assert_eq!(send_expecting_answer(&get("/repeat/", "r"), &vm).status(), 200);
}
