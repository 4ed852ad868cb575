//! Plans of versions: what all VMs work out alike, what they may not, and when a plan is written.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ids::{RequestId, ServiceName, VersionName};
use rollout::{TargetVersion, Versions};
use stream_versions::{DeviationNeed, Plan, Shares, StreamKey, VersionPlan};

const HORIZON: Duration = Duration::from_secs(30);
const STREAMS: usize = 2_000;

fn version(name: &str) -> TargetVersion {
    Some(VersionName::new(name).expect("a version"))
}

fn shares(slots: &[(&str, u64)]) -> Shares {
    let slots: BTreeMap<_, _> = slots.iter().map(|(name, slots)| (version(name), *slots)).collect();
    Shares::new(slots, &Versions::Any)
}

fn stream(number: usize) -> StreamKey {
    let service = ServiceName::new("engine").expect("a service");
    StreamKey::new(&service, None, &RequestId::new(&format!("r{number}")).expect("an id"))
}

/// What a VM knows that read these shares first.
fn starting_with(slots: &[(&str, u64)]) -> VersionPlan {
    let mut plan = VersionPlan::default();
    plan.set_initial(shares(slots));
    plan
}

/// Writes the plan that a VM wants, as all VMs read it; returns whether it wanted one.
fn store(vms: &mut [VersionPlan], wanted: &Shares, now: Instant) -> bool {
    let Some(plan) = vms[0].next(wanted, HORIZON, now) else { return false };
    let stored = serde_json::to_vec(&plan).expect("a plan is serialized");
    for vm in vms {
        let plan: Plan = serde_json::from_slice(&stored).expect("a plan is read");
        vm.apply(plan, now);
    }
    true
}

/// Streams whose version a VM tells, and how many of these it tells wrongly.
fn told(vm: &VersionPlan, begun: &[TargetVersion], now: Instant) -> (usize, usize) {
    let origins = begun
        .iter()
        .enumerate()
        .filter_map(|(number, version)| Some(vm.origin(stream(number), HORIZON, now)? != version));
    let wrong: Vec<bool> = origins.collect();
    (wrong.len(), wrong.iter().filter(|wrong| **wrong).count())
}

/// The versions at which streams begin at a VM.
fn begin(vm: &VersionPlan) -> Vec<TargetVersion> {
    let begin = |number| vm.version_of(stream(number)).cloned().expect("a version");
    (0..STREAMS).map(begin).collect()
}

#[test]
fn a_service_with_one_version_from_the_start_needs_no_plan() {
    let now = Instant::now();
    let vm = starting_with(&[("v1", 9)]);

    assert!(vm.next(&shares(&[("v1", 9)]), HORIZON, now).is_none());
    assert!(vm.next(&shares(&[("v1", 200)]), HORIZON, now).is_none(), "it grows");
    assert_eq!(vm.sole_version(HORIZON, now), Some(&version("v1")));
    assert_eq!(told(&vm, &begin(&vm), now), (STREAMS, 0));
}

#[test]
fn a_vm_that_starts_tells_the_versions_of_all_streams_from_the_plan() {
    let now = Instant::now();
    let mut vms = [starting_with(&[("v1", 9), ("v2", 3)])];
    assert!(store(&mut vms, &shares(&[("v1", 9), ("v2", 3)]), now));
    let begun = begin(&vms[0]);

    let mut started = VersionPlan::default();
    let plan = vms[0].next(&shares(&[("v1", 3), ("v2", 9)]), HORIZON, now).expect("a plan");
    started.apply(plan, now);

    let (known, wrong) = told(&started, &begun, now);
    assert_eq!(wrong, 0);
    assert!(known > STREAMS * 4 / 10, "{known}: half of the streams have moved");
}

/// Releases replace targets one by one. No VM may tell a version wrongly, whichever of the shares it
/// and the VM that began the stream had read.
#[test]
fn no_version_is_told_wrongly_while_a_release_goes_on() {
    for size in [7, 83, 985] {
        let mut now = Instant::now();
        let mut vms = [starting_with(&[("v1", size)]), starting_with(&[("v1", size)])];
        let mut begun = vec![begin(&vms[0])];
        for replaced in 1..=size {
            now += HORIZON / 2 / size as u32;
            let wanted = shares(&[("v1", size - replaced), ("v2", replaced)]);
            if store(&mut vms, &wanted, now) {
                begun.push(begin(&vms[1]));
            }
        }
        let plans = begun.len() - 1;
        assert!(
            plans <= 12,
            "{plans} for {size} targets: each moves a tenth, or is the first or last"
        );
        for streams in &begun {
            let told = told(&vms[0], streams, now);
            assert_eq!(told.1, 0, "{size}: {told:?}");
        }
    }
}

#[test]
fn shares_of_the_past_are_forgotten_after_the_horizon_and_leave_the_plan() {
    let now = Instant::now();
    let mut vms = [starting_with(&[("v1", 1)])];
    store(&mut vms, &shares(&[("v1", 1), ("v2", 1)]), now);
    let later = now + HORIZON;
    let wanted = shares(&[("v1", 1), ("v2", 1)]);

    assert_eq!(vms[0].sole_version(HORIZON, now), None);
    assert!(told(&vms[0], &begin(&vms[0]), now).0 < STREAMS * 6 / 10);
    assert!(!store(&mut vms, &wanted, now + HORIZON / 2));
    assert!(store(&mut vms, &wanted, later), "the plan gets shorter");
    assert!(!store(&mut vms, &wanted, later));
    assert_eq!(told(&vms[0], &begin(&vms[0]), later), (STREAMS, 0));
}

/// Streams that begin at a version, as far as a VM can tell.
fn told_for(vm: &VersionPlan, name: &str, now: Instant) -> usize {
    let of = |number: &usize| vm.origin(stream(*number), HORIZON, now) == Some(&version(name));
    (0..STREAMS).filter(of).count()
}

#[test]
fn streams_of_a_version_that_can_not_be_used_are_not_told() {
    let now = Instant::now();
    let mut vms = [starting_with(&[("v1", 1), ("v2", 1)])];
    store(&mut vms, &shares(&[("v1", 1), ("v2", 1)]), now);
    let deviation =
        |vm: &VersionPlan, now| vm.with_deviation(&version("v2"), DeviationNeed::All, HORIZON, now);

    let plan = deviation(&vms[0], now).expect("a plan");
    vms[0].apply(plan, now);

    assert_eq!(told_for(&vms[0], "v2", now), 0);
    assert!(told_for(&vms[0], "v1", now) > STREAMS * 4 / 10);
    assert!(deviation(&vms[0], now).is_none(), "it is stored");
    let renewed = deviation(&vms[0], now + HORIZON / 2).expect("a plan");
    vms[0].apply(renewed, now + HORIZON / 2);
    assert_eq!(told_for(&vms[0], "v2", now + HORIZON), 0, "it was renewed");
    assert!(told_for(&vms[0], "v2", now + HORIZON * 2) > 0);
}

#[test]
fn few_streams_of_a_busy_version_begin_at_another_one_and_more_if_that_does_not_suffice() {
    let mut now = Instant::now();
    let mut vm = starting_with(&[("v1", 1), ("v2", 1)]);
    let all = told_for(&vm, "v2", now);
    let mut left = Vec::new();
    for _ in 0..3 {
        let plan = vm.with_deviation(&version("v2"), DeviationNeed::More, HORIZON, now);
        vm.apply(plan.expect("a plan"), now);
        let too_soon = now + Duration::from_millis(100);
        assert!(
            vm.with_deviation(&version("v2"), DeviationNeed::More, HORIZON, too_soon).is_none()
        );
        left.push(told_for(&vm, "v2", now) * 100 / all);
        now += Duration::from_secs(3);
    }

    assert!((70..80).contains(&left[0]) && (45..55).contains(&left[1]), "{left:?}");
    assert_eq!(left[2], 0);
    let deviates = |number: &usize| vm.may_deviate(&version("v2"), stream(*number), HORIZON, now);
    assert_eq!((0..STREAMS).filter(deviates).count(), STREAMS);
    assert!(!(0..STREAMS).any(|number| vm.may_deviate(
        &version("v1"),
        stream(number),
        HORIZON,
        now
    )));
}

#[test]
fn shares_stay_known_when_the_store_comes_back_from_an_older_copy() {
    let now = Instant::now();
    let mut vm = starting_with(&[("v1", 1)]);
    let older = vm.next(&shares(&[("v1", 5), ("v2", 5)]), HORIZON, now).expect("a plan");
    vm.apply(older.clone(), now);
    let newer = vm.next(&shares(&[("v1", 1), ("v2", 9)]), HORIZON, now).expect("a plan");
    vm.apply(newer, now);
    let begun = begin(&vm);

    vm.remove_stored();
    let without = told(&vm, &begun, now);
    vm.apply(older, now);

    assert_eq!(without.1, 0);
    assert_eq!(told(&vm, &begun, now).1, 0);
    assert!(vm.next(&shares(&[("v1", 1), ("v2", 9)]), HORIZON, now).is_some());
}

#[test]
fn a_deviation_is_written_again_when_the_store_comes_back_without_it() {
    let now = Instant::now();
    let mut vm = starting_with(&[("v1", 1), ("v2", 1)]);
    let older = vm.next(&shares(&[("v1", 1), ("v2", 1)]), HORIZON, now).expect("a plan");
    vm.apply(older.clone(), now);
    let deviation =
        |vm: &VersionPlan| vm.with_deviation(&version("v2"), DeviationNeed::All, HORIZON, now);
    let plan = deviation(&vm).expect("a plan");
    vm.apply(plan, now);
    assert!(deviation(&vm).is_none());

    vm.apply(older, now);
    let after_older_copy = deviation(&vm);
    vm.remove_stored();
    let without_plan = deviation(&vm);

    assert!(after_older_copy.is_some() && without_plan.is_some());
    assert_eq!(told_for(&vm, "v2", now), 0, "this VM has not forgotten it");
}

#[test]
fn a_plan_stays_small_however_often_the_targets_change() {
    let mut now = Instant::now();
    let mut vms = [starting_with(&[("v1", 1)])];
    for change in 0..200 {
        now += Duration::from_millis(10);
        store(&mut vms, &shares(&[("v1", 1), (&format!("v{}", change % 50), 5)]), now);
    }
    let plan = vms[0].next(&shares(&[("v9", 5)]), HORIZON, now).expect("a plan");

    assert!(serde_json::to_vec(&plan).expect("a plan").len() < 16 * 1024);
}

/// Guards against a VM that trusts a plan although a version serves that it does not name.
#[test]
fn a_plan_covers_the_versions_that_its_shares_name_or_named() {
    let now = Instant::now();
    let mut vms = [starting_with(&[("v1", 2)])];
    let (one, two) = (version("v1"), version("v2"));

    let before = vms[0].covers([&one, &two], HORIZON, now);
    store(&mut vms, &shares(&[("v2", 2)]), now);
    let within = vms[0].covers([&one, &two], HORIZON, now);
    let later = vms[0].covers([&one, &two], HORIZON, now + HORIZON);

    assert_eq!((before, within, later), (false, true, false));
}
