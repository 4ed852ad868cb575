//! A VM that learns nothing while its peers know more stands still.

use std::time::{Duration, Instant};

use store_view::StallDetector;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_vm_that_is_behind_and_learns_nothing_stands_still() {
    let now = Instant::now();
    let mut standstill = StallDetector::default();

    standstill.update(5, 6, now);
    standstill.update(5, 9, now + SECOND);

    assert!(!standstill.has_stalled_for(SECOND * 2, now + SECOND));
    assert!(standstill.has_stalled_for(SECOND * 2, now + SECOND * 2));
}

#[test]
fn a_vm_that_follows_or_is_ahead_does_not() {
    let now = Instant::now();
    let mut follows = StallDetector::default();
    let mut ahead = StallDetector::default();

    for step in 0..10 {
        let at = now + SECOND * step;
        follows.update(u64::from(step), u64::from(step) + 1, at);
        ahead.update(9, u64::from(step), at);
    }

    assert!(!follows.has_stalled_for(SECOND * 2, now + SECOND * 10));
    assert!(!ahead.has_stalled_for(SECOND, now + SECOND * 10));
}

#[test]
fn it_ends_with_the_first_thing_learned() {
    let now = Instant::now();
    let mut standstill = StallDetector::default();
    standstill.update(5, 9, now);

    standstill.update(8, 9, now + SECOND * 5);

    assert!(!standstill.has_stalled_for(SECOND, now + SECOND * 5));
}
