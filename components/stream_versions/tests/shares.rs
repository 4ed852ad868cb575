//! Shares of versions: which version a stream begins at, and how few streams a change moves.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

use std::collections::BTreeMap;

use ids::{CustomerName, RequestId, ServiceName, VersionName};
use rollout::{TargetVersion, Versions};
use stream_versions::{Shares, StreamKey};

const STREAMS: usize = 10_000;

fn version(name: &str) -> TargetVersion {
    Some(VersionName::new(name).expect("a version"))
}

fn shares(slots: &[(&str, u64)]) -> Shares {
    limited_shares(slots, &Versions::Any)
}

fn limited_shares(slots: &[(&str, u64)], allowed: &Versions) -> Shares {
    let slots: BTreeMap<_, _> = slots.iter().map(|(name, slots)| (version(name), *slots)).collect();
    Shares::new(slots, allowed)
}

fn stream(number: usize) -> StreamKey {
    let service = ServiceName::new("engine").expect("a service");
    StreamKey::new(&service, None, &RequestId::new(&format!("r{number}")).expect("an id"))
}

/// Fraction of the streams that begin at a version.
fn fraction_at(shares: &Shares, name: &str) -> f64 {
    let version = version(name);
    let at = (0..STREAMS).filter(|number| shares.version_of(stream(*number)) == Some(&version));
    at.count() as f64 / STREAMS as f64
}

/// Fraction of the streams that begin at another version after a change.
fn moved(before: &Shares, after: &Shares) -> f64 {
    let is_moved =
        |number: &usize| before.version_of(stream(*number)) != after.version_of(stream(*number));
    (0..STREAMS).filter(is_moved).count() as f64 / STREAMS as f64
}

#[test]
fn streams_begin_at_versions_in_proportion_to_their_slots() {
    for (old, new) in [(1, 1), (9, 1), (1, 9), (4_000, 5_999), (9_998, 1)] {
        let shares = shares(&[("v1", old), ("v2", new)]);

        let expected = new as f64 / (old + new) as f64;

        assert!((fraction_at(&shares, "v2") - expected).abs() < 0.02, "{old}:{new}");
        assert!((shares.fraction_of(&version("v2")) - expected).abs() < 1e-9);
    }
}

#[test]
fn a_change_moves_no_more_streams_than_it_has_to() {
    for (before, after) in [
        ([("v1", 9), ("v2", 1), ("v3", 2)], [("v1", 8), ("v2", 2), ("v3", 2)]),
        ([("v1", 900), ("v2", 85), ("v3", 0)], [("v1", 900), ("v2", 85), ("v3", 50)]),
    ] {
        let (before, after) = (shares(&before), shares(&after));

        let moved = moved(&before, &after);

        assert!(moved > 0.0 && moved < before.drift(&after) + 0.02, "{moved}");
    }
}

#[test]
fn all_versions_are_ranked_and_the_first_one_is_that_of_the_stream() {
    let shares = shares(&[("v1", 3), ("v2", 2), ("v3", 1)]);

    for number in 0..100 {
        let ranked = shares.ranked(stream(number));

        assert_eq!(ranked.len(), 3);
        assert_eq!(ranked.first().copied(), shares.version_of(stream(number)));
    }
}

#[test]
fn a_limited_version_gets_its_fraction_and_the_others_share_the_rest() {
    let limit = Versions::Limited(VersionName::new("v2").expect("a version"), 0.03);

    let limited = limited_shares(&[("v1", 5), ("v2", 5), ("v3", 5)], &limit);
    let alone = limited_shares(&[("v2", 5)], &limit);

    assert!((fraction_at(&limited, "v2") - 0.03).abs() < 0.01);
    assert!((fraction_at(&limited, "v1") - 0.485).abs() < 0.02);
    assert_eq!(fraction_at(&alone, "v2"), 1.0, "nothing else could run them");
    let draws = |number: usize| stream(number).fraction() < 0.03;
    let at_limited = |number: usize| limited.version_of(stream(number)) == Some(&version("v2"));
    assert!((0..STREAMS).all(|number| draws(number) == at_limited(number)), "as rollouts draw");
}

#[test]
fn a_version_that_a_rollout_took_out_gets_nothing() {
    let without = Versions::Without(VersionName::new("v2").expect("a version"));

    let shares = limited_shares(&[("v1", 5), ("v2", 5)], &without);

    assert_eq!(shares.versions(), [&version("v1")].into_iter().collect());
}

#[test]
fn targets_that_state_no_version_count_as_one() {
    let shares = Shares::new(BTreeMap::from([(None, 5), (version("v1"), 5)]), &Versions::Any);

    let without = (0..STREAMS).filter(|number| shares.version_of(stream(*number)) == Some(&None));

    assert!((4_500..5_500).contains(&without.count()));
}

#[test]
fn ids_of_other_customers_and_services_are_other_streams() {
    let id = RequestId::new("r1").expect("an id");
    let service = |name| ServiceName::new(name).expect("a service");
    let customer = |name| CustomerName::new(name).expect("a customer");
    let keys = [
        StreamKey::new(&service("a"), None, &id),
        StreamKey::new(&service("b"), None, &id),
        StreamKey::new(&service("a"), Some(&customer("x")), &id),
        StreamKey::new(&service("a"), Some(&customer("y")), &id),
    ];

    for (number, key) in keys.iter().enumerate() {
        assert!(!keys[..number].contains(key));
    }
}
