//! Merging of departures and backoffs that targets announce; the result does not depend on their
//! order.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use eligibility::{Backoffs, ChangeCursor, Departure, Departures, Lifetime};
use ids::TargetName;
use intent::Target;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert_eq, proptest};

/// Longer than any departure is kept.
const LONG: Duration = Duration::from_secs(601);
/// More lifetimes than a VM keeps.
const MANY: u64 = 5000;
const SECOND: Duration = Duration::from_secs(1);

fn lifetime(born: Option<u64>) -> Lifetime {
    Lifetime { target: TargetName::new("t").unwrap(), born }
}

fn target(born: Option<u64>) -> Target {
    Target { born, ..support::target("a") }
}

fn sorted(departures: &Departures) -> Vec<(Lifetime, Instant)> {
    let mut all: Vec<_> =
        departures.all().map(|departure| (departure.lifetime, departure.announced_at)).collect();
    all.sort();
    all
}

#[test]
fn departure_applies_to_its_lifetime_only() {
    let now = Instant::now();
    let mut departures = Departures::default();

    assert!(departures.record(lifetime(Some(1)), now, now));
    assert!(!departures.record(lifetime(Some(1)), now + SECOND, now + SECOND));

    assert_eq!(departures.announced_at(&target(Some(1))), Some(now + SECOND));
    assert_eq!(departures.announced_at(&target(Some(2))), None);
    assert_eq!(departures.announced_at(&target(None)), None);
}

#[test]
fn peers_do_not_keep_an_expired_departure_alive() {
    let received = Instant::now();
    let (mut first, mut second) = (Departures::default(), Departures::default());
    first.record(lifetime(None), received, received);
    second.record(lifetime(None), received, received + LONG / 2);

    first.remove_expired(received + LONG);
    for Departure { lifetime, announced_at } in second.all().collect::<Vec<_>>() {
        first.record(lifetime, announced_at, received + LONG);
    }

    assert_eq!(first.all().count(), 0, "otherwise two VMs would send it to each other forever");
}

#[test]
fn departures_of_all_targets_of_a_large_fleet_are_kept() {
    let now = Instant::now();
    for targets in [10_000, 20_000] {
        let mut departures = Departures::default();
        departures.set_targets(targets);
        for born in 0..targets as u64 {
            departures.record(lifetime(Some(born)), now, now);
        }

        assert_eq!(departures.all().count(), targets);
        assert!(departures.announced_at(&target(Some(0))).is_some());
    }
}

#[test]
fn each_departure_is_sent_once_and_the_oldest_are_evicted() {
    let now = Instant::now();
    let mut departures = Departures::default();
    departures.record(lifetime(Some(0)), now, now);
    let (first, cursor) = departures.changes_after(ChangeCursor::default());
    for born in 1..MANY {
        departures.record(lifetime(Some(born)), now, now);
    }
    let (second, cursor) = departures.changes_after(cursor);
    let (nothing, _) = departures.changes_after(cursor);

    assert_eq!(first.len(), 1);
    assert_eq!(second.len(), departures.all().count(), "evicted departures are not sent");
    assert!(second.len() < MANY as usize);
    assert_eq!(second.last().unwrap().lifetime, lifetime(Some(MANY - 1)));
    assert!(nothing.is_empty());
    assert_eq!(departures.announced_at(&target(Some(0))), None);
}

#[test]
fn longest_backoff_applies() {
    let now = Instant::now();
    let mut backoffs = Backoffs::default();

    assert!(backoffs.record(lifetime(None), now + SECOND * 2));
    assert!(!backoffs.record(lifetime(None), now + SECOND), "a shorter backoff changes nothing");

    assert_eq!(backoffs.until(&target(None)), Some(now + SECOND * 2));
    assert_eq!(backoffs.until(&target(Some(1))), None);
    assert_eq!(backoffs.all(now).count(), 1);
    backoffs.remove_expired(now + SECOND * 2);
    assert_eq!(backoffs.until(&target(None)), None);
}

fn announcements() -> impl Strategy<Value = Vec<(u64, u64)>> {
    proptest::collection::vec((0u64..6, 0u64..60), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn merging_departures_does_not_depend_on_order(
        (announcements, shuffled) in announcements().prop_flat_map(|announcements| {
            (Just(announcements.clone()), Just(announcements).prop_shuffle())
        }),
        split in any::<proptest::sample::Index>(),
    ) {
        let start = Instant::now();
        let now = start + SECOND * 60;
        let announced_at = |after: &u64| start + SECOND * u32::try_from(*after).unwrap();
        let merged = |announcements: &[(u64, u64)]| {
            let mut departures = Departures::default();
            for (born, after) in announcements {
                departures.record(lifetime(Some(*born)), announced_at(after), now);
            }
            departures
        };
        let (one, other) = (merged(&announcements), merged(&shuffled));
        // A peer that has one part merges the other part twice.
        let (here, there) = shuffled.split_at(split.index(shuffled.len()));
        let mut peer = merged(here);
        for _ in 0..2 {
            for Departure { lifetime, announced_at } in merged(there).all() {
                peer.record(lifetime, announced_at, now);
            }
        }

        prop_assert_eq!(sorted(&one), sorted(&other));
        prop_assert_eq!(sorted(&one), sorted(&peer));
    }
}
