//! Shared fixtures of the tests with real processes: requests of callers, the usual services, pools
//! and fleet.

// Each test file uses only some of the items; a failing `expect` in a fixture fails the test.
#![allow(dead_code, unused_imports, clippy::expect_used)]

pub mod forwarder;

use std::sync::atomic::{AtomicBool, Ordering};

pub use standins::callers::{CallerRequest, Reply, caller_request};
pub use standins::fleet::{Fleet, MAX_WAIT, Pool, agent, get_json, put_json, wait_until};

/// Sets a flag that ends a test's background threads when dropped, also if the test panics.
pub struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Configuration of the services: `hold` with one plain stage, and `check` with three plain stages
/// and a streamed one.
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

/// Pools of plain targets and engines for [`SERVICES`].
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

/// Starts a fleet with the usual pools and services and with this many VMs, alternately in hall-a
/// and hall-b; waits until the VMs know each other.
pub fn usual_fleet(vms: usize) -> Fleet {
    fleet_of(&usual_pools(), vms)
}

/// Like [`usual_fleet`], with these pools.
pub fn fleet_of(pools: &[Pool], vms: usize) -> Fleet {
    let mut fleet = Fleet::start(pools);
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
