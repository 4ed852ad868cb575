//! Eligibility of a target by the state of its hall and by its own announcements.

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
fn only_open_targets_and_those_in_unreachable_halls_are_allowed() {
    let allowed = [
        (Eligibility::Open, true),
        (Eligibility::HallUnreachable, true),
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
fn evacuation_and_departure_take_precedence_over_reachability() {
    let now = Instant::now();
    let mut halls = Halls::default();
    halls.set_unreachable([hall("a")].into());
    let unreachable = halls.eligibility(&target("a"), now);
    halls.evacuate(hall("a"));

    assert_eq!(unreachable, Eligibility::HallUnreachable);
    assert_eq!(halls.eligibility(&target("a"), now), Eligibility::Evacuated);
    assert_eq!(halls.eligibility(&target("b"), now), Eligibility::Open);
    let leaving = Target { leaving: true, ..target("b") };
    assert_eq!(halls.eligibility(&leaving, now), Eligibility::Leaving);
}

#[test]
fn evacuating_and_restoring_a_hall_report_whether_it_changed() {
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
fn target_opens_again_when_its_backoff_ends() {
    let now = Instant::now();
    let until = now + Duration::from_secs(1);
    let mut halls = Halls::default();
    let backed_off = Target { backoff_until: Some(until), ..target("a") };
    let leaving = Target { leaving: true, ..backed_off.clone() };

    assert_eq!(halls.eligibility(&backed_off, now), Eligibility::BackedOff);
    assert_eq!(halls.opens_at(&backed_off, now), Some(until));
    assert_eq!(halls.eligibility(&backed_off, until), Eligibility::Open);
    assert_eq!(halls.opens_at(&backed_off, until), Some(until));
    assert_eq!(halls.opens_at(&leaving, now), None);
    halls.set_unreachable([hall("a")].into());
    assert_eq!(
        halls.eligibility(&backed_off, now),
        Eligibility::BackedOff,
        "the backoff outweighs the unreachable hall"
    );
}

#[test]
fn target_at_its_rate_limit_opens_again_when_the_limit_allows() {
    let now = Instant::now();
    let (halls, until) = (Halls::default(), now + Duration::from_secs(1));
    let limited = Target { rate_limited_until: Some(until), ..target("a") };
    let later = until + Duration::from_secs(1);
    let both = Target { backoff_until: Some(later), ..limited.clone() };

    assert_eq!(halls.eligibility(&limited, now), Eligibility::Limited);
    assert_eq!(halls.opens_at(&limited, now), Some(until));
    assert_eq!(halls.eligibility(&limited, until), Eligibility::Open);
    assert_eq!(halls.eligibility(&both, now), Eligibility::BackedOff);
    assert_eq!(halls.opens_at(&both, now), Some(later), "the later end counts");
}
