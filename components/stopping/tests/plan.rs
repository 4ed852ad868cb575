//! Tests of the schedule of a stop and of the decisions on its requests, for any times, number of
//! requests and cores.

use std::time::{Duration, Instant};

use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use stopping::{Limits, Progress, ResponseTime, StopDecision, StopPlan};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn plan(cores: f64) -> (StopPlan, Instant) {
    let began = Instant::now();
    (StopPlan::new(began, Limits { notice: SECOND * 2, grace: SECOND * 8, cores }), began)
}

#[test]
fn a_request_that_was_not_run_is_rejected_as_soon_as_it_can_not_be_served_in_time() {
    let (plan, began) = plan(1.0);
    let decision = |response_time, at| plan.decide(Progress::NotRun, response_time, 1, began + at);

    assert_eq!(decision(Some(SECOND * 3), SECOND * 4), StopDecision::Continue);
    assert_eq!(decision(Some(SECOND * 3), SECOND * 5), StopDecision::RejectNotRun);
    assert_eq!(decision(None, SECOND * 7), StopDecision::Continue);
    assert_eq!(decision(None, SECOND * 8 - MS * 350), StopDecision::RejectNotRun);
}

#[test]
fn a_request_that_may_run_is_continued_until_the_final_answers() {
    let (plan, began) = plan(1.0);
    let decision = |at| plan.decide(Progress::MayRun, Some(SECOND * 3), 1, began + at);

    assert_eq!(decision(SECOND * 7), StopDecision::Continue);
    assert_eq!(decision(SECOND * 8 - MS * 400), StopDecision::ReportLost);
}

#[test]
fn a_begun_answer_continues_until_the_process_exits() {
    let (plan, began) = plan(1.0);

    assert_eq!(plan.decide(Progress::Begun, None, 1, began + SECOND * 8), StopDecision::Continue);
    assert_eq!(plan.exits_at(), began + SECOND * 8 - MS * 350);
}

#[test]
fn a_vm_with_fewer_cores_starts_its_final_answers_earlier() {
    let (large, began) = plan(1.0);
    let small = StopPlan::new(began, Limits { notice: SECOND, grace: SECOND * 8, cores: 0.12 });

    assert!(small.final_answers_at(100) + MS * 700 < large.final_answers_at(100));
    assert!(
        small.final_answers_at(1_000_000) >= began + SECOND * 5,
        "final answers must not take most of the grace period"
    );
}

#[test]
fn a_process_whose_timers_are_late_starts_its_final_answers_earlier_by_that_delay() {
    let (mut plan, began) = plan(1.0);
    let usual = plan.final_answers_at(1);

    plan.record_timer_delay(MS * 300);
    plan.record_timer_delay(MS * 20);

    assert_eq!(plan.final_answers_at(1), usual - MS * 300);
    plan.record_timer_delay(SECOND * 60);
    assert!(
        plan.final_answers_at(1) > began + SECOND * 5,
        "final answers must not take most of the grace period"
    );
}

#[test]
fn the_upper_bound_of_a_response_time_follows_the_samples() {
    let mut time = ResponseTime::new(SECOND * 3);
    let first = time.upper_bound();
    (0..100).for_each(|_| time.record(SECOND));
    let steady = time.upper_bound();
    (0..20).for_each(|number| time.record(SECOND * (1 + number % 2)));

    assert_eq!(first, SECOND * 6);
    assert!(steady < SECOND + MS * 10, "{steady:?}");
    assert!(time.upper_bound() > SECOND * 2, "the bound must cover half of the samples: {time:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// When the process exits, every request whose answer had not begun has been decided, and a
    /// decision to answer never changes.
    #[test]
    fn every_request_is_decided_before_the_process_exits(
        grace_ms in 0u64..60_000,
        notice_ms in 0u64..10_000,
        cores in 0.05f64..8.0,
        in_work in 0usize..5_000,
        response_ms in 0u64..30_000,
        may_run in any::<bool>(),
        late_ms in 0u32..3_000,
    ) {
        let began = Instant::now();
        let limits = Limits {
            notice: MS * u32::try_from(notice_ms)?,
            grace: MS * u32::try_from(grace_ms)?,
            cores,
        };
        let mut plan = StopPlan::new(began, limits);
        plan.record_timer_delay(MS * late_ms);
        let progress = if may_run { Progress::MayRun } else { Progress::NotRun };
        let response_time = Some(Duration::from_millis(response_ms));
        let decision = |at| plan.decide(progress, response_time, in_work, at);

        prop_assert!(decision(plan.exits_at() + MS) != StopDecision::Continue);
        prop_assert!(plan.final_answers_at(in_work) <= plan.exits_at());
        let decisions: Vec<StopDecision> =
            (0..=60u32).map(|step| decision(began + limits.grace * step / 60)).collect();
        let first = decisions
            .iter()
            .position(|decision| *decision != StopDecision::Continue)
            .unwrap_or(decisions.len());
        prop_assert!(
            decisions[first..].windows(2).all(|pair| pair[0] == pair[1]),
            "a decision must not change: {decisions:?}"
        );
        if may_run {
            prop_assert!(
                !decisions.contains(&StopDecision::RejectNotRun),
                "a request that may have run must not be rejected as not run"
            );
        }
        let begun = plan.decide(Progress::Begun, response_time, in_work, began + limits.grace);
        prop_assert_eq!(begun, StopDecision::Continue);
    }
}
