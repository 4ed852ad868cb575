//! What the tests with real processes share: callers' requests and the usual fleet.

// Each test file uses its own part, and a fixture that can't be set up fails its test.
#![allow(dead_code, unused_imports, clippy::expect_used)]

pub mod forwarder;

use std::sync::atomic::{AtomicBool, Ordering};

pub use standins::callers::{CallerRequest, Reply, caller_request};
pub use standins::fleet::{Fleet, MAX_WAIT, Pool, agent, get_json, put_json, wait_until};

/// Ends a test's background threads when dropped, also when the test fails before its end.
pub struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A service of two plain stages and one of four with a stream at the end.
pub const SERVICES: &str = "\
service: {name: hold, priority: interactive, stages: [{name: place, select: {all: {pool: plain}}}]}
---
service:
  name: check
  stages:
    - {name: encode, select: {all: {pool: plain}}}
    - {name: retrieve, select: {all: {pool: plain}}}
    - {name: rerank, select: {all: {pool: plain}}}
    - {name: generate, select: {all: {pool: engine}}, streams: true}
";

/// Plain targets and engines enough for [`SERVICES`].
pub fn usual_pools() -> [Pool; 2] {
    [
        Pool { name: "plain", count: 4, args: &["--service-ms=2"] },
        Pool {
            name: "engine",
            count: 2,
            args: &["--mode=engine", "--slots=8", "--service-ms=2", "--token-ms=2", "--tokens=16"],
        },
    ]
}

/// A fleet with the usual pools and services, entry VMs in hall-a and hall-b by turns, listed
/// and acquainted.
pub fn usual_fleet(vms: usize) -> Fleet {
    let mut fleet = Fleet::start(&usual_pools());
    let applied = fleet.apply(&fleet.catalogue(SERVICES));
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    for index in 0..vms {
        let hall = if index % 2 == 0 { "hall-a" } else { "hall-b" };
        fleet.start_vm(hall, "limits: {notice_ms: 200}\n");
    }
    fleet.publish_vm_list(&[]);
    fleet.wait_for_peer_discovery();
    fleet
}
