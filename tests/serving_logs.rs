//! Logs of the serving path under a flood, with a real process before the stand-ins of the users'
//! platform.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use standins::serving_path::site::{Site, Vm, get, send_expecting_answer};

/// Requests that write several times what a pipe and the lines kept in memory hold.
const FLOOD: u32 = 2500;

/// Longest answer while nobody reads the log: far below the pause of a blocked write.
const PROMPT: Duration = Duration::from_secs(1);

#[test]
fn a_log_that_nobody_reads_holds_nothing_up_and_what_is_dropped_is_counted() {
    let site = Site::start();
    let (vm, out) = Vm::start_piped("flood", site.store.address);
    site.wait_for_all_runners(&vm);

    let slowest = (0..FLOOD)
        .map(|number| {
            let began = Instant::now();
            let status =
                send_expecting_answer(&get("/repeat/", &format!("r-{number}")), &vm).status();
            assert_eq!(status, 200, "request {number}");
            began.elapsed()
        })
        .max();
    let mut lines = BufReader::new(out).lines().map_while(Result::ok);
    let dropped = lines.by_ref().find(|line| line.contains("log lines dropped"));

    assert!(slowest.is_some_and(|slowest| slowest < PROMPT), "{slowest:?}");
    let dropped = dropped.expect("what was dropped is told");
    let count = dropped.rsplit_once("lines=").and_then(|(_, count)| count.parse::<u64>().ok());
    assert!(count.is_some_and(|count| count > 0), "{dropped}");
    send_expecting_answer(&get("/repeat/", "later"), &vm);
    assert!(lines.any(|line| line.contains("request=later")), "lines are written again");
}
