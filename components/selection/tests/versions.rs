//! Targets of several software versions: which of them may be sent a request that is bound to a
//! version, and how many slots each version has.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use eligibility::{AllowedHalls, Halls};
use ids::{HallName, ServiceName, TargetName, VersionName};
use intent::Target;
use rollout::{TargetVersion, Versions};
use selection::{Availability, Policy, SelectionRequest, TargetKey, TargetOutcome, Targets};

fn service() -> ServiceName {
    ServiceName::new("engine").unwrap()
}

fn hall(name: &str) -> HallName {
    HallName::new(name).unwrap()
}

fn version(name: &str) -> TargetVersion {
    Some(VersionName::new(name).unwrap())
}

fn target(id: &str, of: TargetVersion) -> Target {
    Target {
        id: TargetName::new(id).unwrap(),
        born: None,
        service: service(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: hall("a"),
        version: of,
        slots: 2,
        leaving: false,
        backoff_until: None,
        rate_limited_until: None,
        request_interval: None,
        cold_start_remaining: Duration::ZERO,
    }
}

/// Two targets of v1, one of v2, and one that states no version.
fn targets(now: Instant) -> Targets {
    let mut targets = Targets::new(Policy::Adaptive, hall("a"));
    let all = [("a1", version("v1")), ("a2", version("v1")), ("b", version("v2")), ("c", None)];
    all.into_iter().for_each(|(id, of)| targets.upsert(target(id, of), now));
    targets
}

/// Calls `f` with a request for targets of exactly this version.
fn with_request<R>(
    of: &TargetVersion,
    exclude: &[TargetKey],
    f: impl FnOnce(&SelectionRequest<'_>) -> R,
) -> R {
    f(&SelectionRequest {
        service: &service(),
        exclude,
        size: None,
        halls: &AllowedHalls::Any,
        versions: &Versions::Exactly(of.clone()),
    })
}

fn availability(targets: &Targets, of: &TargetVersion, now: Instant) -> Availability {
    with_request(of, &[], |request| targets.availability(request, now))
}

/// Picks a target of exactly this version; returns its key.
fn pick(targets: &mut Targets, of: &TargetVersion, now: Instant) -> Option<TargetKey> {
    with_request(of, &[], |request| targets.pick(request, now)).map(|pick| {
        assert_eq!(pick.target.version, *of);
        pick.key
    })
}

#[test]
fn a_bound_request_is_sent_to_its_version_only_however_loaded_that_is() {
    let now = Instant::now();
    let mut targets = targets(now);

    let picked = (0..20).filter_map(|_| pick(&mut targets, &version("v2"), now)).count();
    let without_version = pick(&mut targets, &None, now);
    let unknown = pick(&mut targets, &version("v3"), now);

    assert_eq!(picked, 20);
    assert!(without_version.is_some(), "targets that state no version are one of their own");
    assert_eq!(unknown, None, "no other version takes its place");
}

#[test]
fn a_bound_request_is_sent_to_no_target_twice() {
    let now = Instant::now();
    let mut targets = targets(now);
    let first = pick(&mut targets, &version("v1"), now).unwrap();

    let second = with_request(&version("v1"), &[first], |request| targets.pick(request, now));
    let tried = [first, second.unwrap().key];
    let third = with_request(&version("v1"), &tried, |request| targets.pick(request, now));
    let left = with_request(&version("v1"), &tried, |request| targets.availability(request, now));

    assert!(third.is_none());
    assert_eq!(left, Availability::None);
}

#[test]
fn a_version_is_free_then_busy_then_a_last_resort_then_not_there() {
    let now = Instant::now();
    let mut targets = targets(now);
    let of = version("v2");
    let mut seen = vec![availability(&targets, &of, now)];

    let keys: Vec<TargetKey> = (0..2).filter_map(|_| pick(&mut targets, &of, now)).collect();
    seen.push(availability(&targets, &of, now));
    for _ in 0..8 {
        targets.record_outcome(keys[0], TargetOutcome::Failed, now);
    }
    seen.push(availability(&targets, &of, now));
    targets.upsert(Target { leaving: true, ..target("b", of.clone()) }, now);
    seen.push(availability(&targets, &of, now));

    let expected =
        [Availability::Free, Availability::Busy, Availability::LastResort, Availability::None];
    assert_eq!(seen, expected);
    assert_eq!(availability(&targets, &version("v1"), now), Availability::Free);
}

#[test]
fn slots_of_leaving_and_evacuated_targets_do_not_count() {
    let now = Instant::now();
    let mut targets = targets(now);
    let before = targets.slots_by_version(&service(), now);

    targets.upsert(Target { leaving: true, ..target("a1", version("v1")) }, now);
    targets.upsert(Target { hall: hall("b"), ..target("b", version("v2")) }, now);
    let mut halls = Halls::default();
    halls.evacuate(hall("b"));
    targets.set_halls(halls);

    let all = [(None, 2), (version("v1"), 4), (version("v2"), 2)];
    assert_eq!(before, BTreeMap::from(all));
    let left = targets.slots_by_version(&service(), now);
    assert_eq!(left, BTreeMap::from([(None, 2), (version("v1"), 2)]));
}

#[test]
fn a_version_stays_if_a_target_may_be_used_later_in_an_allowed_hall() {
    let now = Instant::now();
    let mut targets = targets(now);
    let rests = now + Duration::from_secs(5);
    targets.upsert(Target { backoff_until: Some(rests), ..target("b", version("v2")) }, now);
    let stays = |targets: &Targets, halls: &AllowedHalls, of: &str| {
        targets.has_staying(&service(), halls, &Versions::Exactly(version(of)), now)
    };
    let other_hall = AllowedHalls::Only(BTreeSet::from([hall("b")]));

    assert!(stays(&targets, &AllowedHalls::Any, "v2"), "it rests");
    assert_eq!(availability(&targets, &version("v2"), now), Availability::None);
    assert!(!stays(&targets, &other_hall, "v1"));
    assert!(!stays(&targets, &AllowedHalls::Any, "v3"));
    targets.upsert(Target { leaving: true, ..target("b", version("v2")) }, now);
    assert!(!stays(&targets, &AllowedHalls::Any, "v2"));
}
