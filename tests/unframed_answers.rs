//! Answers of targets that have neither a length nor chunks and end with their connection.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::time::Duration;

use standins::serving_path::runners::Behavior;
use standins::serving_path::site::{Site, event_ids, get, post, send_expecting_answer};

/// Events of a whole stream.
const EVENTS: u64 = 5;
/// Requests of each kind.
const REQUESTS: usize = 6;

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

#[test]
fn a_stream_that_ends_with_its_connection_is_passed_on_whole() {
    let site = Site::start();
    let vm = site.start_vm("unframed-whole", "");
    for path in ["/stream/", "/resumed/"] {
        for number in 0..REQUESTS {
            let unframed = Behavior::UnframedStream(EVENTS, Duration::from_millis(2));
            Site::queue_behavior(&site.engines, &unframed);

            let answer = send_expecting_answer(
                &get(path, &format!("w-{number}-{}", path.trim_matches('/'))),
                &vm,
            );

            assert_eq!(answer.status(), 200);
            assert!(answer.is_complete, "{path}: {}", answer.text());
            assert_eq!(event_ids(&answer), all_events());
        }
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_not_passed_on_as_whole() {
    let site = Site::start();
    let vm = site.start_vm("unframed-broken", "");
    for number in 0..REQUESTS {
        Site::queue_behavior(&site.engines, &Behavior::BreakUnframedStream(2));

        let answer = send_expecting_answer(&get("/stream/", &format!("b-{number}")), &vm);

        assert!(!answer.is_complete, "{}", answer.text());
        assert_eq!(event_ids(&answer), [1, 2], "whole events only");
        site.engines.iter().for_each(|engine| engine.clear_script());
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_resumed_where_that_is_allowed() {
    let site = Site::start();
    let vm = site.start_vm("unframed-resumed", "");
    let mut whole = 0;
    for number in 0..REQUESTS {
        site.engines.iter().for_each(|engine| engine.clear_script());
        Site::queue_behavior(&site.engines[..1], &Behavior::BreakUnframedStream(2));

        let answer = send_expecting_answer(&get("/resumed/", &format!("r-{number}")), &vm);

        assert!(!answer.is_complete || event_ids(&answer) == all_events(), "{}", answer.text());
        whole += usize::from(answer.is_complete);
    }
    assert!(whole > 0, "no stream was resumed");
}

#[test]
fn an_answer_without_a_length_that_is_reset_is_not_passed_on_as_whole() {
    let site = Site::start();
    let vm = site.start_vm("unframed-reset", "");
    Site::queue_behavior(&site.plain, &Behavior::ResetUnframed);

    let answer = send_expecting_answer(&post("/once/", "reset"), &vm);

    assert!(answer.status() != 200 || !answer.is_complete, "{}", answer.text());
}

#[test]
fn a_departure_in_an_answer_without_a_length_is_respected() {
    let site = Site::start();
    let vm = site.start_vm("unframed-leaving", "");
    let leaving = &site.plain[0];
    leaving.set_leaving(true);
    for behavior in [Behavior::Unframed, Behavior::ResetUnframed] {
        leaving.queue_behaviors(&[behavior]);
    }

    for number in 0..REQUESTS * 4 {
        send_expecting_answer(&get("/repeat/", &format!("leaving-{number}")), &vm);
    }

    assert_eq!(leaving.messages().len(), 1);
}
