//! VMs that hold different versions of the configuration serve a request together.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::users::link::{Link, Passing};
use standins::users::runners::{Act, Runner};
use standins::users::serving::{Site, Vm, answered, post, usual_configuration};

/// The usual configuration with one more pool, and an entry whose requests need it.
fn with_new_pool(version: u64) -> Value {
    let mut cfg = usual_configuration(version);
    let mut pool = cfg["services"][1].clone();
    pool["name"] = json!("new-pool");
    cfg["services"].as_array_mut().expect("services").push(pool);
    let mut route = cfg["routes"][4].clone();
    route["name"] = json!("new");
    route["path_prefix"] = json!("/new/");
    route["stages"] = json!([{"service": "new-pool", "after_revision": [], "bytes": 1000}]);
    cfg["routes"].as_array_mut().expect("routes").push(route);
    cfg
}

#[test]
fn a_pool_that_the_better_owner_does_not_know_yet_is_served() {
    let site = Site::start();
    let worker = Runner::start("i-new-1", Act::Answer).expect("a runner starts");
    site.store.put("servers/i-new-1", &worker.entry("new-pool", "hall-a", "ready"));
    let link = Link::start(site.store.address).expect("a link");
    let owner = Vm::start("mixed-owner", "hall-a", link.address, "cores: 64\n");
    site.wait_known(&owner);
    let vm = site.start_vm("mixed-small", "cores: 0.1\n");
    wait_until("they are linked", || vm.state()["pools"][0]["filled_by"] == json!("mixed-owner"));
    link.set(Passing::None);

    site.store.put("op/config", &with_new_pool(2));
    wait_until("one VM has it in force", || vm.state()["configuration"] == json!(2));
    assert_eq!(owner.state()["configuration"], json!(1), "the other VM is behind");
    let call = post("/new/", "r-1").with("Pieces", "1").with("Piece-Key", "k-1");
    let answer = answered(&call.with("Model", "m").with("Token-Counts", "10,5"), &vm);

    assert_eq!(answer.status(), 200);
}
