//! Halls in which a request may be served, by the regions that its route and customer allow.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use eligibility::AllowedHalls;
use ids::{HallName, RegionName};

fn hall(name: &str) -> HallName {
    HallName::new(name).unwrap()
}

fn regions(names: &[&str]) -> BTreeSet<RegionName> {
    names.iter().map(|name| RegionName::new(name).unwrap()).collect()
}

/// Three regions of two halls each.
fn region_of_hall() -> BTreeMap<HallName, RegionName> {
    let halls = [("a", "n"), ("b", "n"), ("c", "s"), ("d", "s"), ("e", "w"), ("f", "w")];
    halls.iter().map(|(h, region)| (hall(h), RegionName::new(region).unwrap())).collect()
}

fn permitted(allowed: &AllowedHalls) -> String {
    ["a", "b", "c", "d", "e", "f", "unknown"]
        .into_iter()
        .filter(|name| allowed.permits(&hall(name)))
        .collect()
}

#[test]
fn without_a_restriction_all_halls_are_allowed() {
    let allowed = AllowedHalls::within(&region_of_hall(), &[None, None]);

    assert_eq!(allowed, AllowedHalls::Any);
    assert_eq!(permitted(&allowed), "abcdefunknown");
}

#[test]
fn the_restrictions_of_route_and_customer_both_hold() {
    let (route, customer) = (regions(&["n", "s"]), regions(&["s", "w"]));
    let within = |restrictions: &[_]| AllowedHalls::within(&region_of_hall(), restrictions);

    assert_eq!(permitted(&within(&[Some(&route), None])), "abcd");
    assert_eq!(permitted(&within(&[None, Some(&customer)])), "cdef");
    assert_eq!(permitted(&within(&[Some(&route), Some(&customer)])), "cd");
}

#[test]
fn a_hall_of_unknown_region_is_not_allowed_under_a_restriction() {
    let (n, unknown) = (regions(&["n"]), regions(&["elsewhere"]));

    assert_eq!(permitted(&AllowedHalls::within(&BTreeMap::new(), &[Some(&n)])), "");
    assert_eq!(permitted(&AllowedHalls::within(&region_of_hall(), &[Some(&unknown)])), "");
}
