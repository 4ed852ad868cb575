//! The test that tells a bad version from a good one: how seldom it rejects a good one, and how
//! many bad answers it takes to notice a bad one.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use rollout::{Comparison, Evidence};
use support::{FAILING, GOOD, Quality, Random, SLOW, answer};

/// Interval between two tests.
const TICK: Duration = Duration::from_millis(500);
/// Answers of each version and route between two tests.
const PER_TICK: (usize, usize) = (2, 40);
/// Length of a rollout in ticks.
const TICKS: u32 = 60;
const ROUTES: [&str; 2] = ["first", "second"];

/// Compares random answers; `quality` gives that of the new version by tick and route, and
/// `old` that of the others. Returns the tick at which the new version
/// is found bad and the bad answers until then.
fn found_bad(
    seed: u64,
    quality: impl Fn(u32, &str) -> Quality,
    old: impl Fn(u32) -> Quality,
) -> Option<(u32, u64)> {
    let (mut random, mut comparison, mut evidence) =
        (Random::new(seed), Comparison::default(), Evidence::default());
    let start = Instant::now();
    (0..TICKS).find_map(|tick| {
        for route in ROUTES {
            let (of_new, of_old) = PER_TICK;
            let new = quality(tick, route);
            (0..of_new).for_each(|_| evidence.record(route, true, answer(new, &mut random)));
            (0..of_old).for_each(|_| evidence.record(route, false, answer(old(tick), &mut random)));
        }
        comparison.report(1, &evidence);
        comparison.test(start + TICK * tick)?;
        let failed = evidence.by_route.values().map(|counts| counts.new.failed).sum();
        Some((tick, failed))
    })
}

#[test]
fn a_good_version_is_rarely_rejected() {
    let rejected = (0..1000).filter(|seed| found_bad(*seed, |_, _| GOOD, |_| GOOD).is_some());

    let count = rejected.count();
    assert!(count <= 10, "{count} of 1000");
}

#[test]
fn a_good_version_is_rarely_rejected_for_trouble_that_all_versions_have() {
    let in_trouble = |tick: u32| match tick {
        20..40 => Quality { failures: 0.35, slowdown: 3.0 },
        _ => GOOD,
    };
    let runs =
        (0..1000).filter(|seed| found_bad(*seed, |tick, _| in_trouble(tick), in_trouble).is_some());

    let count = runs.count();
    assert!(count <= 20, "{count} of 1000");
}

#[test]
fn a_version_that_fails_a_part_of_its_requests_is_noticed_before_50_bad_answers() {
    let runs: Vec<_> = (0..200).map(|seed| found_bad(seed, |_, _| FAILING, |_| GOOD)).collect();

    assert!(runs.iter().all(|run| run.is_some_and(|(_, failed)| failed < 50)), "{runs:?}");
}

#[test]
fn a_version_that_answers_slowly_is_noticed_within_seconds() {
    let runs: Vec<_> = (0..200).map(|seed| found_bad(seed, |_, _| SLOW, |_| GOOD)).collect();

    assert!(runs.iter().all(|run| run.is_some_and(|(tick, _)| tick <= 12)), "{runs:?}");
}

#[test]
fn a_version_that_turns_bad_late_is_noticed_as_soon_as_one_that_is_bad_at_once() {
    let late = |tick, _: &str| if tick < 30 { GOOD } else { FAILING };
    let runs: Vec<_> = (0..200).map(|seed| found_bad(seed, late, |_| GOOD)).collect();

    let in_time = |run: &&Option<(u32, u64)>| run.is_some_and(|(tick, _)| (30..42).contains(&tick));
    assert!(runs.iter().filter(in_time).count() >= 195, "{runs:?}");
}

#[test]
fn a_version_that_is_bad_on_one_route_only_is_noticed() {
    let one_route = |_, route: &str| if route == "second" { FAILING } else { GOOD };
    let runs: Vec<_> = (0..200).map(|seed| found_bad(seed, one_route, |_| GOOD)).collect();

    assert!(runs.iter().all(|run| run.is_some_and(|(_, failed)| failed < 50)), "{runs:?}");
}

#[test]
fn counts_of_several_vms_are_added_in_any_order_and_counted_once() {
    let now = Instant::now();
    let mut failing = Evidence::default();
    (0..3).for_each(|_| failing.record("first", true, rollout::Observation::Failed));
    let mut comparison = Comparison::default();

    comparison.report(1, &failing);
    comparison.report(1, &failing);
    let after_one = comparison.test(now);
    comparison.report(2, &failing);
    let after_two = comparison.test(now + TICK);

    assert_eq!(comparison.totals(), (6, 6));
    assert_eq!((after_one, after_two.as_deref()), (None, Some("first")));
}
