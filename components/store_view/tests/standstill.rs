//! A VM that learns nothing while its peers know more stands still.

use std::time::{Duration, Instant};

use store_view::Standstill;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_vm_that_is_behind_and_learns_nothing_stands_still() {
    let now = Instant::now();
    let mut standstill = Standstill::default();

    standstill.look(5, 6, now);
    standstill.look(5, 9, now + SECOND);

    assert!(!standstill.lasts(SECOND * 2, now + SECOND));
    assert!(standstill.lasts(SECOND * 2, now + SECOND * 2));
}

#[test]
fn a_vm_that_follows_or_is_ahead_does_not() {
    let now = Instant::now();
    let mut follows = Standstill::default();
    let mut ahead = Standstill::default();

    for step in 0..10 {
        let at = now + SECOND * step;
        follows.look(u64::from(step), u64::from(step) + 1, at);
        ahead.look(9, u64::from(step), at);
    }

    assert!(!follows.lasts(SECOND * 2, now + SECOND * 10));
    assert!(!ahead.lasts(SECOND, now + SECOND * 10));
}

#[test]
fn it_ends_with_the_first_thing_learned() {
    let now = Instant::now();
    let mut standstill = Standstill::default();
    standstill.look(5, 9, now);

    standstill.look(8, 9, now + SECOND * 5);

    assert!(!standstill.lasts(SECOND, now + SECOND * 5));
}
