//! Merging of the rate limits that targets announce: the result does not depend on the order, and
//! the latest announcement applies.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use eligibility::{Lifetime, RateLimit, RateLimits, RateObservation, RateObservations};
use ids::TargetName;
use intent::Target;
use proptest::prelude::{
    Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest,
};

fn rate(per_s: f64) -> RateLimit {
    RateLimit::new(per_s).unwrap()
}

fn lifetime(born: u64) -> Lifetime {
    Lifetime { target: TargetName::new("t").unwrap(), born: Some(born) }
}

fn target(born: u64) -> Target {
    Target { born: Some(born), ..support::target("a") }
}

/// Observation from an answer; `sent` and `received` are milliseconds after the start.
fn observation(start: Instant, limit: Option<f64>, sent: u64, received: u64) -> RateObservation {
    let at = |ms| start + Duration::from_millis(ms);
    RateObservation { limit: limit.map(rate), sent: at(sent), received: at(received) }
}

fn merged(observations: &[RateObservation]) -> RateObservations {
    let mut merged = RateObservations::default();
    observations.iter().for_each(|observation| merged.record(*observation));
    merged
}

#[test]
fn invalid_rates_are_rejected_and_valid_ones_are_clamped() {
    let read = |per_s: f64| RateLimit::new(per_s).map(RateLimit::per_s);

    assert_eq!(read(1.0), Some(1.0));
    assert_eq!(read(0.25), Some(0.25));
    assert_eq!(
        read(0.0),
        Some(0.05),
        "a target with rate zero still gets some requests, which show when the limit ends"
    );
    assert_eq!(read(1e300), Some(1e6));
    assert_eq!(read(-1.0), None);
    assert_eq!(read(f64::NAN), None);
}

#[test]
fn answer_supersedes_limits_received_before_its_call_was_sent() {
    let start = Instant::now();
    let announced = observation(start, Some(1.0), 0, 10);

    // The call of each concurrent answer was sent before the first limit was received.
    let ended = merged(&[announced, observation(start, None, 20, 30)]);
    let ended_concurrently = merged(&[announced, observation(start, None, 5, 30)]);
    let raised = merged(&[announced, observation(start, Some(4.0), 20, 30)]);
    let raised_concurrently = merged(&[announced, observation(start, Some(4.0), 5, 30)]);

    assert_eq!(ended.limit(), None);
    assert_eq!(
        ended_concurrently.limit(),
        Some(rate(1.0)),
        "it is unknown which answer is the later one"
    );
    assert_eq!(raised.limit(), Some(rate(4.0)));
    assert_eq!(raised_concurrently.limit(), Some(rate(1.0)));
}

#[test]
fn limit_does_not_apply_to_a_later_lifetime() {
    let start = Instant::now();
    let mut limits = RateLimits::default();

    let change = limits.record(lifetime(1), observation(start, Some(2.0), 0, 1)).unwrap();

    assert_eq!((change.before, change.now), (None, Some(rate(2.0))));
    assert_eq!(limits.limit(&target(1)), Some(rate(2.0)));
    assert_eq!(limits.limit(&target(2)), None);
    assert_eq!(limits.all().count(), 1);
    limits.remove_expired(start + Duration::from_secs(601));
    assert_eq!(limits.limit(&target(1)), None);
}

#[test]
fn observations_of_peers_are_not_forwarded() {
    let start = Instant::now();
    let mut limits = RateLimits::default();

    let change = limits.merge_peer(lifetime(1), &merged(&[observation(start, Some(2.0), 0, 1)]));

    assert_eq!(change.unwrap().now, Some(rate(2.0)));
    assert_eq!(limits.own_observations(&lifetime(1)).unwrap(), &RateObservations::default());
}

type Announcements = Vec<(Option<u8>, u64, u64)>;

/// Announced limits, when each call was sent, and how long its answer took, in milliseconds.
fn announcements() -> impl Strategy<Value = Announcements> {
    proptest::collection::vec((proptest::option::of(1u8..5), 0u64..500, 0u64..100), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn merging_observations_does_not_depend_on_order_or_receiver(
        (announcements, shuffled) in announcements().prop_flat_map(|announcements| {
            (Just(announcements.clone()), Just(announcements).prop_shuffle())
        }),
        split in any::<proptest::sample::Index>(),
    ) {
        let start = Instant::now();
        let observations = |announcements: &Announcements| -> Vec<RateObservation> {
            let observe = |(limit, sent, took): &(Option<u8>, u64, u64)| {
                observation(start, limit.map(f64::from), *sent, sent + took)
            };
            announcements.iter().map(observe).collect()
        };
        let (one, other) = (observations(&announcements), observations(&shuffled));
        let (here, there) = other.split_at(split.index(other.len()));
        let mut peer = merged(here);
        for _ in 0..2 {
            let there = merged(there);
            peer.merge(&RateObservations::from_parts(there.latest_sent(), there.limits()));
        }

        prop_assert_eq!(&merged(&one), &merged(&other));
        prop_assert_eq!(&merged(&one), &peer);
    }

    /// A target announces changing limits. The limit that a VM derives is never above the one that
    /// the target announced in its latest answer.
    #[test]
    fn limit_is_never_above_the_latest_announced_one(
        announcements in announcements(),
        changes in proptest::collection::vec(proptest::option::of(1u8..5), 6),
    ) {
        let start = Instant::now();
        // The limit that the target announces at each time. An answer is produced between the
        // sending of its call and the receipt of the answer.
        let announced = |at: u64| changes[(at / 100).min(5) as usize];
        let mut rates = RateObservations::default();
        let mut last = None;
        for (_, sent, took) in announcements {
            let produced_at = sent + took / 2;
            let limit = announced(produced_at).map(f64::from);
            rates.record(observation(start, limit, sent, sent + took));
            last = last.max(Some((produced_at, announced(produced_at))));
        }

        let expected = last.and_then(|(_, limit)| limit).map(|limit| rate(f64::from(limit)));
        let limit = rates.limit();
        prop_assert!(
            expected.is_none() || limit.is_some_and(|limit| Some(limit) <= expected),
            "limit {limit:?}, announced in the latest answer {expected:?}"
        );
    }
}
