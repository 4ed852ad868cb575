//! Targets that say that they are brittle: they fall over if they turn away too many requests.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread::sleep;
use std::time::{Duration, Instant};

use standins::fleet::wait_until;
use standins::serving_path::runners::Behavior;
use standins::serving_path::site::{SETTLE_TIME, Site, Vm, get, send_expecting_answer};

/// Time for which a runner works on a request.
const RUN_TIME: Duration = Duration::from_millis(400);
/// Slots that the runners' entries name.
const SLOTS: usize = 4;
/// Requests that arrive at each VM at the same time.
const BURST: usize = 20;

/// Guards against VMs that each fill a brittle target as if they were alone.
#[test]
fn vms_together_send_brittle_targets_no_more_than_they_have_slots_for() {
    let site = Site::start();
    site.plain.iter().for_each(|runner| runner.set_extra_header("Server-Brittle", "2"));
    let vms: Vec<Vm> = (0..3).map(|index| site.start_vm(&format!("brittle-{index}"), "")).collect();
    wait_until("the VMs are linked", || vms.iter().all(|vm| vm.linked_peers() == 2));
    // One VM tells the others.
    send_expecting_answer(&get("/repeat/", "first"), &vms[0]);
    sleep(SETTLE_TIME);
    let held: Vec<Behavior> = vec![Behavior::Hang(RUN_TIME); vms.len() * BURST];
    site.plain.iter().for_each(|runner| runner.queue_behaviors(&held));

    let start = Instant::now();
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let mut sending = Vec::new();
        for (index, vm) in vms.iter().enumerate() {
            for number in 0..BURST {
                let call = get("/repeat/", &format!("burst-{index}-{number}"));
                sending.push(scope.spawn(move || send_expecting_answer(&call, vm).status()));
            }
        }
        sending.into_iter().map(|sent| sent.join().expect("a status")).collect()
    });

    for runner in &site.plain {
        let most = runner.most_within(RUN_TIME - Duration::from_millis(50), start);
        assert!(most <= SLOTS, "{most} requests at {} at a time", runner.id);
    }
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    assert!(statuses.contains(&200) && statuses.contains(&503), "{statuses:?}");
}
