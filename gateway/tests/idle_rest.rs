//! When a caller's connection that is at rest may be closed, decided without a network.

use std::time::{Duration, Instant};

use gateway::idle_rest::{Rest, RestLimits};

const SECOND: Duration = Duration::from_secs(1);

fn limits(idle: Duration) -> RestLimits {
    RestLimits { idle, head: 5 * SECOND }
}

fn rest(since: Instant, idle: Duration, request_begun: Option<Instant>) -> Rest {
    Rest { since, limits: limits(idle), request_begun }
}

#[test]
fn the_longer_of_the_idle_times_at_the_start_and_now_is_allowed() {
    let since = Instant::now();
    let cases = [(10, 10, 12), (10, 1, 12), (1, 10, 12), (1, 1, 1)];
    for (before, now, least) in cases {
        let ends_at = rest(since, before * SECOND, None).ends_at(limits(now * SECOND));

        assert!(ends_at >= since + least * SECOND, "{before} {now}: {:?}", ends_at - since);
        assert!(ends_at < since + (least + 1) * SECOND, "{before} {now}: {:?}", ends_at - since);
    }
}

#[test]
fn a_request_that_has_begun_to_arrive_has_the_time_of_a_head() {
    let since = Instant::now();

    let ends_at = rest(since, SECOND, Some(since)).ends_at(limits(SECOND));
    let ends_in_stop_at = rest(since, SECOND, Some(since)).ends_in_stop_at(since + 20 * SECOND);

    assert!(ends_at > since + 5 * SECOND);
    assert!(ends_in_stop_at > since + 5 * SECOND);
}

#[test]
fn the_time_of_a_head_is_not_prolonged_by_its_bytes() {
    let begun = Instant::now();
    let last_byte = begun + 20 * SECOND;

    let ends_at = rest(last_byte, SECOND, Some(begun)).ends_at(limits(SECOND));

    assert!(ends_at < last_byte);
}

#[test]
fn a_stop_leaves_a_short_rest_within_the_time_of_the_process() {
    let since = Instant::now();
    let idle = rest(since, 15 * SECOND, None);

    let ends_at = idle.ends_in_stop_at(since + 10 * SECOND);

    assert!(ends_at > since && ends_at <= since + SECOND);
    assert_eq!(idle.ends_in_stop_at(since), since);
    assert_eq!(rest(since, SECOND, Some(since)).ends_in_stop_at(since + SECOND), since + SECOND);
}
