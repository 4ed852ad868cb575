//! Logging of the serving path when nobody reads the log, with a real process and the stand-ins of
//! the users' platform.
//!
//! Guards against requests and stops that wait because a write to the full pipe of the log blocks:
//! lines have to be dropped and counted instead.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use standins::serving_path::site::{Site, Vm, get, send_expecting_answer};

/// Number of requests, whose log lines are several times what the pipe and the queue of lines in
/// memory hold.
const FLOOD_REQUESTS: u32 = 2500;

/// Requests whose log lines fill the pipe.
const FILLING_REQUESTS: u32 = 600;

/// Settings of a stop, and its grace period.
const STOP_SETTINGS: &str = "stop: {notice_ms: 300, grace_s: 3}\n";
const GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Longest permitted time of an answer while nobody reads the log, far below the pause that a
/// blocked write causes.
const MAX_LATENCY: Duration = Duration::from_secs(1);

#[test]
fn an_unread_log_does_not_delay_requests_and_dropped_lines_are_counted() {
    let site = Site::start();
    let (vm, log_pipe) = Vm::start_piped("flood", site.store.address, "");
    site.wait_for_all_runners(&vm);

    let slowest = (0..FLOOD_REQUESTS)
        .map(|number| {
            let began = Instant::now();
            let status =
                send_expecting_answer(&get("/repeat/", &format!("r-{number}")), &vm).status();
            assert_eq!(status, 200, "request {number}");
            began.elapsed()
        })
        .max();
    let mut lines = BufReader::new(log_pipe).lines().map_while(Result::ok);
    let dropped = lines.by_ref().find(|line| line.contains("log lines dropped"));

    assert!(slowest.is_some_and(|slowest| slowest < MAX_LATENCY), "{slowest:?}");
    let dropped = dropped.expect("the number of dropped lines is logged");
    let count = dropped.rsplit_once("lines=").and_then(|(_, count)| count.parse::<u64>().ok());
    assert!(count.is_some_and(|count| count > 0), "{dropped}");
    send_expecting_answer(&get("/repeat/", "later"), &vm);
    assert!(lines.any(|line| line.contains("request=later")), "lines are written again");
}

#[test]
fn a_vm_whose_log_is_not_read_ends_within_its_grace_period() {
    let site = Site::start();
    let (mut vm, _log_pipe) = Vm::start_piped("unread-stop", site.store.address, STOP_SETTINGS);
    site.wait_for_all_runners(&vm);
    for number in 0..FILLING_REQUESTS {
        send_expecting_answer(&get("/repeat/", &format!("r-{number}")), &vm);
    }

    vm.signal("-TERM");
    let signaled = Instant::now();
    let code = vm.wait_exit();

    assert_eq!(code, Some(0));
    assert!(signaled.elapsed() < GRACE_PERIOD, "{:?}", signaled.elapsed());
}
