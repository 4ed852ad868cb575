//! Rollouts from the order to its end: what each VM sends to the new version, and what the coordinator
//! decides.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use ids::{ServiceName, StoreRevision, VersionName};
use rollout::{
    Decision, Evidence, Observation, Order, Phase, Report, Rollouts, Rules, ServiceState, Versions,
};
use support::{FAILING, GOOD, Quality, Random, answer};

const RULES: Rules = Rules { exposure_share: 0.1, exposure_slack: 50.0 };
const DURATION: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(500);
const ROUTE: &str = "route";
/// Targets of both versions with the same capacity.
const BOTH: ServiceState = ServiceState { new_slots: 8, old_slots: 8 };

fn service() -> ServiceName {
    ServiceName::new("encoders").unwrap()
}

fn version(name: &str) -> VersionName {
    VersionName::new(name).unwrap()
}

fn rev(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

fn order(number: u64) -> Order {
    let revision = rev(number);
    Order { service: service(), version: version("v2"), duration: DURATION, revision }
}

fn ordered(now: Instant) -> Rollouts {
    let mut rollouts = Rollouts::new(RULES);
    rollouts.order(order(1), now);
    rollouts
}

/// A fleet that plays a rollout.
struct Fleet {
    vms: Vec<Rollouts>,
    requests_per_s: f64,
    random: Random,
    /// Requests that the new version and all versions got.
    sent: (u64, u64),
    bad_answers: u64,
}

impl Fleet {
    fn start(vms: usize, requests_per_s: f64, seed: u64, now: Instant) -> Self {
        let vms = (0..vms).map(|_| ordered(now)).collect();
        Fleet { vms, requests_per_s, random: Random::new(seed), sent: (0, 0), bad_answers: 0 }
    }

    /// Sends the requests of one tick, each at a random VM.
    fn send(&mut self, quality: Quality, now: Instant) {
        for _ in 0..(self.requests_per_s * TICK.as_secs_f64()) as usize {
            let vm = (self.random.next() * self.vms.len() as f64) as usize % self.vms.len();
            let versions = self.vms[vm].versions(&service()).for_request(self.random.next());
            let is_new = versions.permits(Some(&version("v2"))) && versions != Versions::Any;
            let observed = answer(if is_new { quality } else { GOOD }, &mut self.random);
            let name = version(if is_new { "v2" } else { "v1" });
            self.vms[vm].record(&service(), ROUTE, Some(&name), observed, now);
            self.sent = (self.sent.0 + u64::from(is_new), self.sent.1 + 1);
            self.bad_answers += u64::from(is_new && observed == Observation::Failed);
        }
    }

    /// Reports all VMs' counts to the first one, and applies its decision everywhere.
    fn coordinate(&mut self, now: Instant) -> Option<Decision> {
        let reports: Vec<Evidence> =
            self.vms.iter().map(|vm| vm.evidence(&service()).unwrap().clone()).collect();
        for (process, evidence) in reports.into_iter().enumerate() {
            let report = Report { evidence, old_in_progress: 0 };
            self.vms[0].report(&service(), rev(1), process as u64, &report);
        }
        let decision = self.vms[0].decide(&service(), BOTH, now)?;
        let phase = decision.phase();
        self.vms.iter_mut().for_each(|vm| vm.set_stored(&service(), rev(1), phase, now));
        Some(decision)
    }

    /// Plays the whole time of the order; returns the last decision.
    fn play(&mut self, quality: impl Fn(Duration) -> Quality, start: Instant) -> Option<Decision> {
        let mut last = None;
        for tick in 0..(DURATION.as_millis() / TICK.as_millis()) as u32 {
            let elapsed = TICK * tick;
            self.send(quality(elapsed), start + elapsed);
            last = self.coordinate(start + elapsed).or(last);
        }
        last
    }
}

#[test]
fn a_good_version_is_completed_in_time_at_any_size() {
    for (vms, requests_per_s) in [(1, 20.0), (7, 100.0), (83, 400.0), (370, 400.0), (1000, 430.0)] {
        let now = Instant::now();
        let mut fleet = Fleet::start(vms, requests_per_s, 3, now);

        let last = fleet.play(|_| GOOD, now);

        assert_eq!(last, Some(Decision::Complete), "{vms} VMs");
    }
}

#[test]
fn a_bad_version_gets_no_more_than_its_share_at_any_size() {
    for (vms, requests_per_s) in [(7, 100.0), (83, 400.0), (370, 400.0), (1000, 430.0)] {
        for bad_from in [0, 5, 12] {
            let now = Instant::now();
            let mut fleet = Fleet::start(vms, requests_per_s, bad_from, now);
            let quality = |elapsed: Duration| {
                if elapsed < Duration::from_secs(bad_from) { GOOD } else { FAILING }
            };

            let last = fleet.play(quality, now);

            assert!(matches!(last, Some(Decision::RollBack(_))), "{vms} VMs: {last:?}");
            let (new, all) = fleet.sent;
            let allowed = RULES.exposure_share * all as f64 + RULES.exposure_slack;
            assert!(new as f64 <= allowed, "{vms} VMs, bad from {bad_from} s: {new} of {all}");
            assert!(fleet.bad_answers < 50, "{vms} VMs: {} bad answers", fleet.bad_answers);
        }
    }
}

#[test]
fn a_version_that_fails_only_under_all_the_load_stays_within_its_share() {
    let now = Instant::now();
    let mut fleet = Fleet::start(83, 400.0, 5, now);

    let mut last = None;
    for tick in 0..(DURATION.as_millis() / TICK.as_millis()) as u32 {
        let at = now + TICK * tick;
        let has_all = matches!(fleet.vms[0].versions(&service()), Versions::Only(_));
        fleet.send(if has_all { FAILING } else { GOOD }, at);
        last = fleet.coordinate(at).or(last);
        if matches!(last, Some(Decision::Complete)) {
            break;
        }
    }

    let (new, all) = fleet.sent;
    let of_whole_time = fleet.requests_per_s * DURATION.as_secs_f64();
    assert!(
        new as f64 <= RULES.exposure_share * of_whole_time + RULES.exposure_slack,
        "{new} of {all}"
    );
}

#[test]
fn a_vm_that_sees_enough_bad_answers_itself_stops_before_the_decision() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    let v2 = version("v2");

    let stopped_after =
        (1..50).find(|_| rollouts.record(&service(), ROUTE, Some(&v2), Observation::Failed, now));

    assert!(stopped_after.is_some_and(|answers| answers <= 6), "{stopped_after:?}");
    assert_eq!(rollouts.versions(&service()), Versions::Without(v2));
}

#[test]
fn an_order_whose_version_has_no_targets_is_rolled_back_at_its_time_limit() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    let none = ServiceState { new_slots: 0, old_slots: 8 };

    let begin = rollouts.decide(&service(), none, now);
    rollouts.set_stored(&service(), rev(1), Phase::Canary, now);
    let meanwhile = rollouts.decide(&service(), none, now + DURATION / 2);
    let at_the_end = rollouts.decide(&service(), none, now + DURATION);

    assert_eq!((begin, meanwhile), (Some(Decision::Begin), None));
    assert_eq!(at_the_end.map(|d| d.phase()), Some(Phase::RolledBack));
}

#[test]
fn an_order_for_the_version_in_force_is_completed_at_once() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    let only_new = ServiceState { new_slots: 8, old_slots: 0 };

    assert_eq!(rollouts.decide(&service(), only_new, now), Some(Decision::Complete));
}

#[test]
fn a_rollout_is_not_completed_while_targets_of_other_versions_have_work() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    rollouts.set_stored(&service(), rev(1), Phase::Promoted, now);
    let report = |old_in_progress| Report { evidence: Evidence::default(), old_in_progress };
    rollouts.report(&service(), rev(1), 1, &report(0));
    rollouts.report(&service(), rev(1), 2, &report(3));

    let while_busy = rollouts.decide(&service(), BOTH, now + DURATION);
    rollouts.retain_processes(&service(), |process| process == 1);
    let after_the_busy_vm_ended = rollouts.decide(&service(), BOTH, now + DURATION);

    assert_eq!(while_busy, None);
    assert_eq!(after_the_busy_vm_ended, Some(Decision::Complete));
}

#[test]
fn a_later_order_replaces_an_earlier_one_and_reports_about_that_one_are_ignored() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    rollouts.set_phase(&service(), rev(1), Phase::RolledBack, now);
    let later = Order { version: version("v3"), ..order(2) };

    rollouts.order(later, now);
    rollouts.order(order(1), now);
    rollouts.set_phase(&service(), rev(1), Phase::Completed, now);

    let phases: Vec<_> = rollouts.phases().map(|(o, p)| (o.version.to_string(), p)).collect();
    assert_eq!(phases, [("v3".to_owned(), Phase::Canary)]);
}

#[test]
fn a_withdrawn_order_leaves_its_version_without_traffic_and_undecided() {
    let now = Instant::now();
    let mut rollouts = ordered(now);

    assert!(rollouts.withdraw(&service()));

    assert_eq!(rollouts.versions(&service()), Versions::Without(version("v2")));
    assert_eq!(rollouts.decide(&service(), BOTH, now + DURATION), None);
    assert_eq!(rollouts.undecided().count(), 0);
}

#[test]
fn the_greater_of_two_phases_holds_and_a_stored_end_is_not_decided_again() {
    let now = Instant::now();
    let mut rollouts = ordered(now);

    assert!(rollouts.set_phase(&service(), rev(1), Phase::RolledBack, now));
    assert!(!rollouts.set_phase(&service(), rev(1), Phase::Promoted, now));
    let by_the_next_coordinator = rollouts.decide(&service(), BOTH, now);
    rollouts.set_stored(&service(), rev(1), Phase::RolledBack, now);

    assert_eq!(by_the_next_coordinator.map(|d| d.phase()), Some(Phase::RolledBack));
    assert_eq!(rollouts.decide(&service(), BOTH, now), None);
}

#[test]
fn a_request_is_sent_to_one_version_and_the_limit_is_a_fraction_of_the_requests() {
    let now = Instant::now();
    let versions = ordered(now).versions(&service());
    let (v1, v2) = (version("v1"), version("v2"));
    let mut random = Random::new(1);

    let chosen = (0..10_000).map(|_| versions.for_request(random.next()));
    let to_new = chosen.filter(|one| {
        assert_ne!(one.permits(Some(&v1)), one.permits(Some(&v2)));
        one.permits(Some(&v2))
    });

    assert!((200..400).contains(&to_new.count()));
}

#[test]
fn a_stream_goes_on_at_the_version_that_began_it_unless_that_was_taken_out() {
    let now = Instant::now();
    let (old, new) = (Some(version("v1")), Some(version("v2")));
    let in_phase = |phase| {
        let mut rollouts = ordered(now);
        rollouts.set_phase(&service(), rev(1), phase, now);
        let versions = rollouts.versions(&service());
        [&old, &new, &None].map(|version| versions.for_resumption(version))
    };
    let exactly = |version: &Option<VersionName>| Some(Versions::Exactly(version.clone()));

    let all = [exactly(&old), exactly(&new), exactly(&None)];
    assert_eq!(in_phase(Phase::Canary), all);
    assert_eq!(in_phase(Phase::Promoted), all);
    assert_eq!(in_phase(Phase::RolledBack), [exactly(&old), None, exactly(&None)]);
    let exact = Versions::Exactly(None);
    assert!(exact.permits(None) && !exact.permits(Some(&version("v1"))));
}

#[test]
fn a_completed_rollout_restricts_nothing_once_the_other_targets_have_ended() {
    let now = Instant::now();
    let mut rollouts = ordered(now);

    rollouts.set_stored(&service(), rev(1), Phase::Completed, now);

    assert!(rollouts.remove_ended(now + Duration::from_secs(1)).is_empty());
    assert_eq!(rollouts.versions(&service()), Versions::Only(version("v2")));
    assert_eq!(rollouts.remove_ended(now + Duration::from_secs(30)), [service()]);
    assert_eq!(rollouts.versions(&service()), Versions::Any, "a later release needs no order");
}

/// Guards against a version that is completed as soon as it is promoted: with few requests, too few
/// answers have come by then to show that it is bad.
#[test]
fn a_promoted_version_is_compared_until_the_planned_time() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    rollouts.set_stored(&service(), rev(1), Phase::Promoted, now);
    let mut evidence = Evidence::default();

    let just_promoted = rollouts.decide(&service(), BOTH, now + DURATION / 2);
    (0..6).for_each(|_| evidence.record(ROUTE, true, Observation::Failed));
    rollouts.report(&service(), rev(1), 1, &Report { evidence, old_in_progress: 0 });
    let after_bad_answers = rollouts.decide(&service(), BOTH, now + DURATION * 6 / 10);

    assert_eq!(just_promoted, None);
    assert_eq!(after_bad_answers.map(|d| d.phase()), Some(Phase::RolledBack));
}

/// Guards against a version that was rolled back, or promoted, starting anew because the store came
/// back from an older copy and the order was written again.
#[test]
fn an_order_that_is_written_again_in_a_later_era_is_carried_out_as_far_as_before() {
    let now = Instant::now();
    for phase in [Phase::Promoted, Phase::RolledBack] {
        let mut rollouts = Rollouts::new(RULES);
        rollouts.order(order(9), now);
        rollouts.set_phase(&service(), rev(9), phase, now);
        let revision = StoreRevision { era: 2, number: 4 };

        rollouts.order(Order { revision, ..order(9) }, now);
        let late = rollouts.set_phase(&service(), rev(9), Phase::Completed, now);

        let known: Vec<_> = rollouts.phases().map(|(o, phase)| (o.revision, phase)).collect();
        assert_eq!(known, [(revision, phase)]);
        assert!(!late, "of the order before");
        let state = ServiceState { new_slots: 4, old_slots: 4 };
        let decision = rollouts.decide(&service(), state, now).map(|decision| decision.phase());
        assert_eq!(decision, Some(phase), "the store lacks it");
    }
}

#[test]
fn another_order_in_a_later_era_replaces_the_one_before() {
    let now = Instant::now();
    let mut rollouts = Rollouts::new(RULES);
    rollouts.order(order(9), now);
    rollouts.set_phase(&service(), rev(9), Phase::RolledBack, now);
    let revision = StoreRevision { era: 2, number: 4 };

    rollouts.order(Order { version: version("v3"), revision, ..order(9) }, now);

    assert_eq!(rollouts.phases().map(|(_, phase)| phase).collect::<Vec<_>>(), [Phase::Canary]);
}
