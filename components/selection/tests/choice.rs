//! Selection of a target, ejection after failures, and the fleet's retry budget.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use eligibility::{AllowedHalls, Halls};
use ids::{HallName, ServiceName, TargetName, VersionName};
use intent::Target;
use rollout::Versions;
use selection::{
    CallSize, FleetRetryBudget, FleetRetryRules, Pick, Policy, SelectionRequest, TargetKey,
    TargetOutcome, Targets, prefix_chain,
};

fn service() -> ServiceName {
    ServiceName::new("s").unwrap()
}

fn hall(text: &str) -> HallName {
    HallName::new(text).unwrap()
}

fn target(id: &str, in_hall: &str) -> Target {
    Target {
        id: TargetName::new(id).unwrap(),
        born: None,
        service: service(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: hall(in_hall),
        version: None,
        slots: 4,
        leaving: false,
        backoff_until: None,
        rate_limited_until: None,
        request_interval: None,
        cold_start_remaining: Duration::ZERO,
    }
}

/// A target with the state that it announced in its answers.
fn announcing(id: &str, leaving: bool, backoff_until: Option<Instant>) -> Target {
    Target { leaving, backoff_until, ..target(id, "a") }
}

fn targets(list: &[(&str, &str)]) -> Targets {
    let mut targets = Targets::new(Policy::Adaptive, hall("a"));
    let now = Instant::now();
    list.iter().for_each(|(id, hall)| targets.upsert(target(id, hall), now));
    targets
}

fn pick(targets: &mut Targets, exclude: &[TargetKey], now: Instant) -> Option<Pick> {
    targets.pick(
        &SelectionRequest {
            service: &service(),
            exclude,
            size: None,
            halls: &AllowedHalls::Any,
            versions: &Versions::Any,
        },
        now,
    )
}

fn name(pick: &Pick) -> &str {
    pick.target.id.as_str()
}

#[test]
fn own_hall_is_preferred_at_low_load() {
    let now = Instant::now();
    let mut targets = targets(&[("near", "a"), ("far", "b")]);

    let chosen: Vec<String> = (0..5)
        .filter_map(|_| pick(&mut targets, &[], now))
        .map(|pick| name(&pick).to_owned())
        .collect();

    assert_eq!(chosen[..2], ["near", "near"]);
    assert!(chosen.contains(&"far".to_owned()), "{chosen:?}");
}

#[test]
fn leaving_target_is_not_selected() {
    let now = Instant::now();
    let mut targets = targets(&[("one", "a")]);
    targets.upsert(Target { leaving: true, ..target("one", "a") }, now);

    assert!(pick(&mut targets, &[], now).is_none());
}

#[test]
fn unreachable_target_is_ejected_and_then_used_again() {
    let now = Instant::now();
    let mut targets = targets(&[("near", "a"), ("far", "b")]);
    let first = pick(&mut targets, &[], now).unwrap();
    assert_eq!(name(&first), "near");

    targets.record_outcome(first.key, TargetOutcome::Unreachable, now);

    let second = pick(&mut targets, &[], now).unwrap();
    assert_eq!(name(&second), "far");
    let later = now + Duration::from_secs(5);
    assert_eq!(name(&pick(&mut targets, &[], later).unwrap()), "near");
}

#[test]
fn ejected_targets_are_used_if_no_other_is_left() {
    let now = Instant::now();
    let mut targets = targets(&[("one", "a")]);
    let first = pick(&mut targets, &[], now).unwrap();
    targets.record_outcome(first.key, TargetOutcome::Unreachable, now);

    assert!(pick(&mut targets, &[], now).is_some());
    assert!(
        pick(&mut targets, &[first.key], now).is_none(),
        "a target that was tried is not selected again"
    );
}

#[test]
fn load_reports_count_until_they_expire() {
    let now = Instant::now();
    let mut targets = targets(&[("one", "a"), ("two", "a")]);
    let one = TargetName::new("one").unwrap();
    targets.record_peer_load(7, &[(one, 3, 0)], now);

    assert_eq!(name(&pick(&mut targets, &[], now).unwrap()), "two");
    let later = now + Duration::from_secs(10);
    assert_eq!(name(&pick(&mut targets, &[], later).unwrap()), "one", "the report has expired");
}

#[test]
fn prompts_with_a_shared_prefix_go_to_the_same_target() {
    let now = Instant::now();
    let mut targets = targets(&[("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "b")]);
    let mut homes = Vec::new();
    for own in 100..108 {
        let parts = [(1, 500), (2, 4000), (own, 300)];
        let size = CallSize {
            chain: prefix_chain("m", parts.into_iter()),
            prompt_tokens: 4800,
            inputs: Vec::new(),
            memory_tokens: 100_000,
        };
        let request = SelectionRequest {
            service: &service(),
            exclude: &[],
            size: Some(&size),
            halls: &AllowedHalls::Any,
            versions: &Versions::Any,
        };
        homes.push(name(&targets.pick(&request, now).unwrap()).to_owned());
    }

    homes.dedup();
    assert_eq!(homes.len(), 1, "{homes:?}");
}

#[test]
fn full_prefix_cache_evicts_the_oldest_prefix() {
    let now = Instant::now();
    let mut targets = targets(&[("e1", "a")]);
    let size = |id: u64| CallSize {
        chain: prefix_chain("m", [(id, 60)].into_iter()),
        prompt_tokens: 60,
        inputs: Vec::new(),
        memory_tokens: 100,
    };
    let mut unread = |id: u64, at: Instant| {
        let size = size(id);
        let request = SelectionRequest {
            service: &service(),
            exclude: &[],
            size: Some(&size),
            halls: &AllowedHalls::Any,
            versions: &Versions::Any,
        };
        targets.pick(&request, at).unwrap().unread_tokens
    };

    assert_eq!(unread(1, now), 60);
    assert_eq!(unread(1, now + Duration::from_millis(1)), 0, "cached");
    assert_eq!(unread(2, now + Duration::from_millis(2)), 60);
    assert_eq!(unread(1, now + Duration::from_millis(3)), 60, "evicted by the second");
}

/// Guards against a VM whose memory grows with each request of a service that never retries.
#[test]
fn a_budget_without_retries_keeps_the_requests_of_its_window_only() {
    let window = Duration::from_secs(10);
    let start = Instant::now();
    let mut budget = FleetRetryBudget::default();

    for millis in 0..100_000 {
        budget.record_request(window, start + Duration::from_millis(millis));
    }

    assert_eq!(budget.kept_requests(), 10_001);
    let end = start + Duration::from_millis(99_999);
    assert_eq!(budget.requests_within(window, end), 10_000);
}

#[test]
fn fleet_stays_within_the_retry_budget_in_every_window() {
    let rules = FleetRetryRules { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };
    let start = Instant::now();
    let vms = 6;
    let mut budgets: Vec<FleetRetryBudget> =
        (0..vms).map(|_| FleetRetryBudget::default()).collect();
    let mut retries: Vec<Duration> = Vec::new();
    let mut requests: Vec<Duration> = Vec::new();
    for step in 0..3000 {
        let at = Duration::from_millis(step * 10);
        let budget = &mut budgets[step as usize % vms];
        budget.record_request(rules.window, start + at);
        requests.push(at);
        // Every call fails, and each VM retries as often as its budget allows.
        while budget.try_take(&rules, vms, start + at) {
            retries.push(at);
        }
    }

    for end in retries.iter().copied() {
        let in_window = |times: &[Duration]| {
            times.iter().filter(|at| **at <= end && end - **at < rules.window).count() as f64
        };
        let allowed = rules.ratio * in_window(&requests) + rules.slack;
        assert!(in_window(&retries) <= allowed, "at {end:?}");
    }
    assert!(!retries.is_empty());
}

#[test]
fn address_belongs_to_the_last_target_that_registered_it() {
    let mut targets = targets(&[("old", "a"), ("new", "b")]);
    let address = "127.0.0.1:9".parse().unwrap();
    assert_eq!(targets.hall_at(address), Some(&hall("b")));

    targets.remove(&TargetName::new("old").unwrap());
    assert_eq!(targets.hall_at(address), Some(&hall("b")), "the other target keeps the address");

    targets.remove(&TargetName::new("new").unwrap());
    assert_eq!(targets.hall_at(address), None);
}

#[test]
fn targets_in_an_unreachable_hall_are_selected_only_if_no_other_is_left() {
    let now = Instant::now();
    let mut targets = targets(&[("near", "a"), ("far", "b")]);
    let mut halls = Halls::default();
    halls.set_unreachable([HallName::new("a").unwrap()].into());
    targets.set_halls(halls);

    let chosen = pick(&mut targets, &[], now).unwrap();
    let last = pick(&mut targets, &[chosen.key], now).unwrap();

    assert_eq!(name(&chosen), "far");
    assert_eq!(name(&last), "near");
}

#[test]
fn targets_in_an_evacuated_hall_are_never_selected() {
    let now = Instant::now();
    let mut targets = targets(&[("near", "a"), ("far", "b")]);
    let mut halls = Halls::default();
    halls.evacuate(hall("a"));
    targets.set_halls(halls.clone());

    let chosen = pick(&mut targets, &[], now).unwrap();
    let none_left = pick(&mut targets, &[chosen.key], now);
    halls.restore(&hall("a"));
    targets.set_halls(halls);
    let back = pick(&mut targets, &[chosen.key], now).unwrap();

    assert_eq!(name(&chosen), "far");
    assert!(none_left.is_none());
    assert_eq!(name(&back), "near");
}

#[test]
fn service_is_closed_once_all_halls_of_its_targets_are_evacuated() {
    let now = Instant::now();
    let mut targets = targets(&[("near", "a"), ("far", "b")]);
    let mut halls = Halls::default();
    halls.evacuate(hall("a"));
    targets.set_halls(halls.clone());
    let closed_by_one = targets.is_closed(&service(), &AllowedHalls::Any, now);
    halls.evacuate(hall("b"));
    targets.set_halls(halls);

    assert!(!closed_by_one);
    assert!(targets.is_closed(&service(), &AllowedHalls::Any, now));
    let unknown = ServiceName::new("unknown").unwrap();
    assert!(
        !targets.is_closed(&unknown, &AllowedHalls::Any, now),
        "an unknown service is not closed"
    );
}

#[test]
fn cold_target_gets_only_this_vms_share() {
    let now = Instant::now();
    let mut targets = targets(&[("warm", "a")]);
    let cold = Target { cold_start_remaining: Duration::from_secs(3), ..target("cold", "a") };
    targets.upsert(cold, now);
    targets.update_cold_shares(|_, _| 2, now);

    let mut sent = |at: Instant| -> usize {
        let picks = (0..20).filter_map(|_| pick(&mut targets, &[], at)).collect::<Vec<_>>();
        picks.iter().filter(|chosen| name(chosen) == "cold").count()
    };
    let (first, within_the_second) = (sent(now), sent(now + Duration::from_millis(900)));
    let next_second = sent(now + Duration::from_millis(2200));
    let warm = sent(now + Duration::from_millis(4000));

    assert_eq!((first, within_the_second, next_second), (2, 0, 2));
    assert!(warm > 2, "{warm}");
}

#[test]
fn cold_target_without_a_share_for_this_vm_is_not_selected() {
    let now = Instant::now();
    let mut targets = Targets::new(Policy::Adaptive, hall("a"));
    targets.upsert(
        Target { cold_start_remaining: Duration::from_secs(3), ..target("cold", "a") },
        now,
    );
    targets.update_cold_shares(|_, _| 0, now);

    assert!(pick(&mut targets, &[], now).is_none());
    assert!(pick(&mut targets, &[], now + Duration::from_secs(3)).is_some(), "it is warm");
}

#[test]
fn targets_of_a_restored_hall_are_assumed_to_be_cold() {
    let now = Instant::now();
    let mut targets = targets(&[("near", "a"), ("far", "b")]);

    targets.assume_cold(&hall("a"), |_| Some(Duration::from_secs(3)), now);
    let cold = targets.update_cold_shares(|_, _| 0, now);
    let chosen = pick(&mut targets, &[], now).unwrap();

    assert_eq!((cold, name(&chosen)), (1, "far"));
    assert_eq!(targets.update_cold_shares(|_, _| 0, now + Duration::from_secs(3)), 0);
}

#[test]
fn restarted_target_has_no_state_of_its_earlier_lifetime() {
    let (mut targets, now) = (Targets::new(Policy::Adaptive, hall("a")), Instant::now());
    let born = |at: u64| Target { born: Some(at), ..target("one", "a") };
    targets.upsert(born(1), now);
    let first = pick(&mut targets, &[], now).unwrap();
    targets.record_outcome(first.key, TargetOutcome::Failed, now);
    targets.upsert(born(1), now);
    let same = pick(&mut targets, &[], now).unwrap();

    targets.upsert(born(2), now);
    let again = pick(&mut targets, &[first.key], now).unwrap();
    // A call to the earlier lifetime ends after the later one became known.
    targets.record_outcome(same.key, TargetOutcome::Failed, now);

    assert_eq!(same.key, first.key);
    assert_ne!(again.key, first.key);
    let own: Vec<(String, u32)> =
        targets.own_load().map(|(id, calls, _)| (id.to_string(), calls)).collect();
    assert_eq!(own, [("one".to_owned(), 1)]);
}

#[test]
fn target_that_announced_departure_or_backoff_is_not_selected_even_as_the_last_one() {
    let now = Instant::now();
    let until = now + Duration::from_secs(1);
    let mut targets = targets(&[("near", "a"), ("far", "b")]);
    let id = |name: &str| TargetName::new(name).unwrap();
    let request = SelectionRequest {
        service: &service(),
        exclude: &[],
        size: None,
        halls: &AllowedHalls::Any,
        versions: &Versions::Any,
    };

    assert!(targets.update_announced(&announcing("near", true, None)));
    let other = targets.pick(&request, now).unwrap();
    targets.update_announced(&announcing("far", false, Some(until)));
    // An answer without a backoff does not cancel one that was announced before.
    targets.update_announced(&announcing("far", false, None));
    let none = targets.pick(&request, now);

    assert_eq!(other.target.id, id("far"));
    assert!(none.is_none());
    assert_eq!(targets.opens_at(&service(), &AllowedHalls::Any, now), Some(until));
    assert!(!targets.is_closed(&service(), &AllowedHalls::Any, now));
    assert_eq!(targets.pick(&request, until).unwrap().target.id, id("far"));
    targets.update_announced(&announcing("far", true, None));
    assert!(targets.is_closed(&service(), &AllowedHalls::Any, until));
    assert!(!targets.update_announced(&announcing("unknown", true, None)));
}

#[test]
fn a_request_restricted_to_halls_is_sent_to_no_target_in_another_hall() {
    let now = Instant::now();
    let mut targets = targets(&[("near", "a"), ("allowed", "b"), ("also-allowed", "b")]);
    let only_b = AllowedHalls::Only([hall("b")].into());
    let mut pick_in_b = |exclude: &[TargetKey]| {
        let service = service();
        let request = SelectionRequest {
            service: &service,
            exclude,
            size: None,
            halls: &only_b,
            versions: &Versions::Any,
        };
        targets.pick(&request, now)
    };

    let first = pick_in_b(&[]).unwrap();
    let second = pick_in_b(&[first.key]).unwrap();
    let third = pick_in_b(&[first.key, second.key]);

    assert!(first.target.hall == hall("b") && second.target.hall == hall("b"));
    assert!(third.is_none(), "the target near by may not serve it");
    let only_c = AllowedHalls::Only([hall("c")].into());
    assert!(targets.is_closed(&service(), &only_c, now));
    assert!(!targets.is_closed(&service(), &only_b, now));
}

/// Picks a target for a request that may be sent to these versions.
fn pick_of(targets: &mut Targets, versions: &Versions, now: Instant) -> Option<String> {
    let service = service();
    let request = SelectionRequest {
        service: &service,
        exclude: &[],
        size: None,
        halls: &AllowedHalls::Any,
        versions,
    };
    targets.pick(&request, now).map(|pick| name(&pick).to_owned())
}

#[test]
fn the_versions_of_a_request_limit_the_choice() {
    let now = Instant::now();
    let version = |name: &str| VersionName::new(name).unwrap();
    let mut targets = targets(&[]);
    targets.upsert(Target { version: Some(version("v1")), ..target("old", "a") }, now);
    let leaving = Target { version: Some(version("v2")), leaving: true, ..target("new", "a") };

    let without = pick_of(&mut targets, &Versions::Without(version("v1")), now);
    let only_missing = pick_of(&mut targets, &Versions::Only(version("v2")), now);
    targets.upsert(Target { leaving: false, ..leaving.clone() }, now);
    let only = pick_of(&mut targets, &Versions::Only(version("v2")), now);
    let without_new = pick_of(&mut targets, &Versions::Without(version("v2")), now);
    let used = targets.use_by_version(&service(), &version("v2"));
    targets.upsert(leaving, now);
    let only_leaving = pick_of(&mut targets, &Versions::Only(version("v2")), now);

    assert_eq!(without, None, "a version without traffic gets none, also if no other is left");
    assert_eq!(only_missing.as_deref(), Some("old"), "no target of the version is there");
    assert_eq!(only.as_deref(), Some("new"));
    assert_eq!(without_new.as_deref(), Some("old"));
    assert_eq!((used.slots, used.other_slots, used.other_calls), (4, 4, 2));
    assert_eq!(only_leaving.as_deref(), Some("old"));
}
