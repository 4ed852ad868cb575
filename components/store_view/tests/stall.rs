//! Tests of the stall detector: a VM has stalled if its revision does not advance while a peer has
//! a newer one.

use std::time::{Duration, Instant};

use ids::StoreRevision;
use store_view::StallDetector;

const SECOND: Duration = Duration::from_secs(1);

fn rev(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

#[test]
fn a_vm_that_is_behind_and_does_not_advance_has_stalled() {
    let now = Instant::now();
    let mut detector = StallDetector::default();

    detector.update(rev(5), rev(6), now);
    detector.update(rev(5), rev(9), now + SECOND);

    assert!(!detector.has_stalled_for(SECOND * 2, now + SECOND));
    assert!(detector.has_stalled_for(SECOND * 2, now + SECOND * 2));
}

#[test]
fn a_vm_that_advances_or_is_ahead_has_not_stalled() {
    let now = Instant::now();
    let mut advancing = StallDetector::default();
    let mut ahead = StallDetector::default();

    for step in 0..10 {
        let at = now + SECOND * step;
        advancing.update(rev(u64::from(step)), rev(u64::from(step) + 1), at);
        ahead.update(rev(9), rev(u64::from(step)), at);
    }

    assert!(!advancing.has_stalled_for(SECOND * 2, now + SECOND * 10));
    assert!(!ahead.has_stalled_for(SECOND, now + SECOND * 10));
}

#[test]
fn a_stall_ends_with_the_first_advance() {
    let now = Instant::now();
    let mut detector = StallDetector::default();
    detector.update(rev(5), rev(9), now);

    detector.update(rev(8), rev(9), now + SECOND * 5);

    assert!(!detector.has_stalled_for(SECOND, now + SECOND * 5));
}
