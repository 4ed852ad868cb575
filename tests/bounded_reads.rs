//! Answers of targets that stop amid a body, or have no end.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use standins::serving_path::runners::{Behavior, Part};
use standins::serving_path::site::{Site, get, send_expecting_answer};

/// When an answer has to be there: the request's time, which is 2 s, and half a second.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2500);

/// Guards against callers of a streaming route that never get an answer, because the body of a
/// failure was awaited without a limit.
#[test]
fn a_failure_of_a_streaming_route_that_stops_amid_its_body_is_answered_in_time() {
    let site = Site::start();
    let vm = site.start_vm("stopped-failure", "");
    for path in ["/stream/", "/resumed/"] {
        Site::queue_behavior(&site.engines, &Behavior::Stall(Part::Failure));
        let began = Instant::now();

        let answer = send_expecting_answer(&get(path, &format!("s-{}", path.len())), &vm);

        assert!(began.elapsed() < ANSWERED_WITHIN, "{path}: {:?}", began.elapsed());
        assert!([200, 504].contains(&answer.status()), "{path}: {}", answer.start_line);
        site.engines.iter().for_each(|engine| engine.clear_script());
    }
}
