//! What the state of its hall and its own entry allow a target to be sent.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use eligibility::{Eligibility, Halls};
use ids::HallName;
use intent::Target;
use support::target;

fn hall(name: &str) -> HallName {
    HallName::new(name).unwrap()
}

#[test]
fn only_what_is_open_or_out_of_reach_may_be_sent_anything() {
    let allowed = [
        (Eligibility::Open, true),
        (Eligibility::OutOfReach, true),
        (Eligibility::Evacuated, false),
        (Eligibility::BackedOff, false),
        (Eligibility::Limited, false),
        (Eligibility::Leaving, false),
    ];

    for (eligibility, expected) in allowed {
        assert_eq!(eligibility.is_allowed(), expected, "{eligibility:?}");
    }
}

#[test]
fn what_operators_say_goes_before_what_is_observed() {
    let now = Instant::now();
    let mut halls = Halls::default();
    halls.set_out_of_reach([hall("a")].into());
    let out_of_reach = halls.eligibility(&target("a"), now);
    halls.evacuate(hall("a"));

    assert_eq!(out_of_reach, Eligibility::OutOfReach);
    assert_eq!(halls.eligibility(&target("a"), now), Eligibility::Evacuated);
    assert_eq!(halls.eligibility(&target("b"), now), Eligibility::Open);
    let leaving = Target { leaving: true, ..target("b") };
    assert_eq!(halls.eligibility(&leaving, now), Eligibility::Leaving);
}

#[test]
fn an_evacuation_counts_once_and_ends_once() {
    let now = Instant::now();
    let mut halls = Halls::default();

    assert!(halls.evacuate(hall("a")));
    assert!(!halls.evacuate(hall("a")));
    assert_ne!(halls.eligibility(&target("a"), now), Eligibility::Open);
    assert!(halls.restore(&hall("a")));
    assert!(!halls.restore(&hall("a")));
    assert_eq!(halls.eligibility(&target("a"), now), Eligibility::Open);
}

#[test]
fn a_target_that_wants_to_be_left_alone_opens_again_by_itself() {
    let now = Instant::now();
    let until = now + Duration::from_secs(1);
    let mut halls = Halls::default();
    let wants = Target { backoff_until: Some(until), ..target("a") };
    let leaving = Target { leaving: true, ..wants.clone() };

    assert_eq!(halls.eligibility(&wants, now), Eligibility::BackedOff);
    assert_eq!(halls.opens_at(&wants, now), Some(until));
    assert_eq!(halls.eligibility(&wants, until), Eligibility::Open);
    assert_eq!(halls.opens_at(&wants, until), Some(until));
    assert_eq!(halls.opens_at(&leaving, now), None);
    halls.set_out_of_reach([hall("a")].into());
    assert_eq!(halls.eligibility(&wants, now), Eligibility::BackedOff, "also as the last one left");
}

#[test]
fn a_target_at_its_rate_is_sent_nothing_until_it_takes_more() {
    let now = Instant::now();
    let (halls, until) = (Halls::default(), now + Duration::from_secs(1));
    let limited = Target { rate_limited_until: Some(until), ..target("a") };
    let later = until + Duration::from_secs(1);
    let both = Target { backoff_until: Some(later), ..limited.clone() };

    assert_eq!(halls.eligibility(&limited, now), Eligibility::Limited);
    assert_eq!(halls.opens_at(&limited, now), Some(until));
    assert_eq!(halls.eligibility(&limited, until), Eligibility::Open);
    assert_eq!(halls.eligibility(&both, now), Eligibility::BackedOff);
    assert_eq!(halls.opens_at(&both, now), Some(later), "whichever lasts longer");
}
