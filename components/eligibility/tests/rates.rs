//! Rates that targets name are merged: the same comes out in any order, and the latest word holds.

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

/// An answer to a call sent and heard so many milliseconds after the start.
fn sighting(start: Instant, limit: Option<f64>, sent: u64, heard: u64) -> RateObservation {
    let at = |ms| start + Duration::from_millis(ms);
    RateObservation { limit: limit.map(rate), sent: at(sent), heard: at(heard) }
}

fn belief(sightings: &[RateObservation]) -> RateObservations {
    let mut belief = RateObservations::default();
    sightings.iter().for_each(|sighting| belief.record(*sighting));
    belief
}

#[test]
fn what_is_no_rate_is_none_and_the_others_are_held_within_bounds() {
    let read = |per_s: f64| RateLimit::new(per_s).map(RateLimit::per_s);

    assert_eq!(read(1.0), Some(1.0));
    assert_eq!(read(0.25), Some(0.25));
    assert_eq!(read(0.0), Some(0.05), "it is asked now and then, or the end would not be heard");
    assert_eq!(read(1e300), Some(1e6));
    assert_eq!(read(-1.0), None);
    assert_eq!(read(f64::NAN), None);
}

#[test]
fn an_answer_ends_what_was_heard_before_its_call_was_sent() {
    let start = Instant::now();
    let named = sighting(start, Some(1.0), 0, 10);

    let later = belief(&[named, sighting(start, None, 20, 30)]);
    let overtaken = belief(&[named, sighting(start, None, 5, 30)]);
    let raised = belief(&[named, sighting(start, Some(4.0), 20, 30)]);
    let either = belief(&[named, sighting(start, Some(4.0), 5, 30)]);

    assert_eq!(later.limit(), None);
    assert_eq!(overtaken.limit(), Some(rate(1.0)), "which answer is the later one is not known");
    assert_eq!(raised.limit(), Some(rate(4.0)));
    assert_eq!(either.limit(), Some(rate(1.0)));
}

#[test]
fn a_later_lifetime_is_clean() {
    let start = Instant::now();
    let mut limits = RateLimits::default();

    let change = limits.record(lifetime(1), sighting(start, Some(2.0), 0, 1)).unwrap();

    assert_eq!((change.before, change.now), (None, Some(rate(2.0))));
    assert_eq!(limits.limit(&target(1)), Some(rate(2.0)));
    assert_eq!(limits.limit(&target(2)), None);
    assert_eq!(limits.all().count(), 1);
    limits.remove_expired(start + Duration::from_secs(601));
    assert_eq!(limits.limit(&target(1)), None);
}

#[test]
fn what_peers_told_is_not_told_on() {
    let start = Instant::now();
    let mut limits = RateLimits::default();

    let change = limits.merge_peer(lifetime(1), &belief(&[sighting(start, Some(2.0), 0, 1)]));

    assert_eq!(change.unwrap().now, Some(rate(2.0)));
    assert_eq!(limits.own_observations(&lifetime(1)).unwrap(), &RateObservations::default());
}

type Words = Vec<(Option<u8>, u64, u64)>;

/// Rates, when each call was sent, and how long its answer took, in milliseconds.
fn words() -> impl Strategy<Value = Words> {
    proptest::collection::vec((proptest::option::of(1u8..5), 0u64..500, 0u64..100), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn the_same_comes_out_in_any_order_and_at_whoever_is_told(
        (words, shuffled) in words().prop_flat_map(|words| {
            (Just(words.clone()), Just(words).prop_shuffle())
        }),
        split in any::<proptest::sample::Index>(),
    ) {
        let start = Instant::now();
        let sightings = |words: &Words| -> Vec<RateObservation> {
            let of = |(limit, sent, took): &(Option<u8>, u64, u64)| {
                sighting(start, limit.map(f64::from), *sent, sent + took)
            };
            words.iter().map(of).collect()
        };
        let (one, other) = (sightings(&words), sightings(&shuffled));
        let (here, there) = other.split_at(split.index(other.len()));
        let mut told = belief(here);
        for _ in 0..2 {
            let there = belief(there);
            told.merge(&RateObservations::from_parts(there.latest_sent(), there.limits()));
        }

        prop_assert_eq!(&belief(&one), &belief(&other));
        prop_assert_eq!(&belief(&one), &told);
    }

    /// A target that names a rate for a while: whoever was answered last, by a call sent after the change,
    /// believes what it says then.
    #[test]
    fn the_belief_is_never_above_what_the_target_said_last(
        words in words(),
        changes in proptest::collection::vec(proptest::option::of(1u8..5), 6),
    ) {
        let start = Instant::now();
        // What the target says at each moment; an answer is given somewhere between its sending and its hearing.
        let says = |at: u64| changes[(at / 100).min(5) as usize];
        let mut seen = RateObservations::default();
        let mut last = None;
        for (_, sent, took) in words {
            let given = sent + took / 2;
            let limit = says(given).map(f64::from);
            seen.record(sighting(start, limit, sent, sent + took));
            last = last.max(Some((given, says(given))));
        }

        let said = last.and_then(|(_, limit)| limit).map(|limit| rate(f64::from(limit)));
        let holds = seen.limit();
        prop_assert!(said.is_none() || holds.is_some_and(|holds| Some(holds) <= said), "{holds:?} {said:?}");
    }
}
