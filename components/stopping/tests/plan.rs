//! What becomes of requests in a stop, whatever its times, their number and the VM's size.

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
fn a_request_that_no_target_has_is_handed_back_while_another_vm_can_still_serve_it() {
    let (plan, began) = plan(1.0);
    let word = |passing, at| plan.decide(Progress::NotRun, passing, 1, began + at);

    assert_eq!(word(Some(SECOND * 3), SECOND * 4), StopDecision::Continue);
    assert_eq!(word(Some(SECOND * 3), SECOND * 5), StopDecision::RejectNotRun);
    assert_eq!(word(None, SECOND * 7), StopDecision::Continue);
    assert_eq!(word(None, SECOND * 8 - MS * 350), StopDecision::RejectNotRun);
}

#[test]
fn a_silent_target_is_waited_for_until_the_last_answers_are_written() {
    let (plan, began) = plan(1.0);
    let word = |at| plan.decide(Progress::MayRun, Some(SECOND * 3), 1, began + at);

    assert_eq!(word(SECOND * 7), StopDecision::Continue);
    assert_eq!(word(SECOND * 8 - MS * 400), StopDecision::ReportLost);
}

#[test]
fn a_begun_answer_goes_on_until_the_process_ends() {
    let (plan, began) = plan(1.0);

    assert_eq!(plan.decide(Progress::Begun, None, 1, began + SECOND * 8), StopDecision::Continue);
    assert_eq!(plan.exits_at(), began + SECOND * 8 - MS * 350);
}

#[test]
fn a_small_vm_with_many_requests_begins_earlier_to_answer_them() {
    let (large, began) = plan(1.0);
    let small = StopPlan::new(began, Limits { notice: SECOND, grace: SECOND * 8, cores: 0.12 });

    assert!(small.final_answers_at(100) + MS * 700 < large.final_answers_at(100));
    assert!(small.final_answers_at(1_000_000) >= began + SECOND * 5, "not much of the grace");
}

#[test]
fn a_process_that_runs_late_begins_its_last_answers_that_much_earlier() {
    let (mut plan, began) = plan(1.0);
    let usual = plan.final_answers_at(1);

    plan.record_timer_delay(MS * 300);
    plan.record_timer_delay(MS * 20);

    assert_eq!(plan.final_answers_at(1), usual - MS * 300);
    plan.record_timer_delay(SECOND * 60);
    assert!(plan.final_answers_at(1) > began + SECOND * 5, "not much of the grace");
}

#[test]
fn the_bound_of_a_passing_time_follows_what_was_seen() {
    let mut time = ResponseTime::new(SECOND * 3);
    let first = time.upper_bound();
    (0..100).for_each(|_| time.record(SECOND));
    let steady = time.upper_bound();
    (0..20).for_each(|number| time.record(SECOND * (1 + number % 2)));

    assert_eq!(first, SECOND * 6);
    assert!(steady < SECOND + MS * 10, "{steady:?}");
    assert!(time.upper_bound() > SECOND * 2, "half of them take so long: {time:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Nobody is left without a word when the process ends, and nobody is told before the others could still serve.
    #[test]
    fn every_request_has_its_word_before_the_process_ends(
        grace_ms in 0u64..60_000,
        notice_ms in 0u64..10_000,
        cores in 0.05f64..8.0,
        in_work in 0usize..5_000,
        passing_ms in 0u64..30_000,
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
        let passing = Some(Duration::from_millis(passing_ms));
        let word = |at| plan.decide(progress, passing, in_work, at);

        prop_assert!(word(plan.exits_at() + MS) != StopDecision::Continue);
        prop_assert!(plan.final_answers_at(in_work) <= plan.exits_at());
        let said: Vec<StopDecision> = (0..=60u32).map(|part| word(began + limits.grace * part / 60)).collect();
        let first = said.iter().position(|word| *word != StopDecision::Continue).unwrap_or(said.len());
        prop_assert!(said[first..].windows(2).all(|pair| pair[0] == pair[1]), "a word holds: {said:?}");
        if may_run {
            prop_assert!(!said.contains(&StopDecision::RejectNotRun), "it may have run");
        }
        let begun = plan.decide(Progress::Begun, passing, in_work, began + limits.grace);
        prop_assert_eq!(begun, StopDecision::Continue);
    }
}
