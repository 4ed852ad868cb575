//! What becomes of requests in a stop, whatever its times, their number and the VM's size.

use std::time::{Duration, Instant};

use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use stopping::{Limits, PassingTime, Progress, StopPlan, Word};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn plan(cores: f64) -> (StopPlan, Instant) {
    let began = Instant::now();
    (StopPlan::new(began, Limits { notice: SECOND * 2, grace: SECOND * 8, cores }), began)
}

#[test]
fn a_request_that_no_target_has_is_handed_back_while_another_vm_can_still_serve_it() {
    let (plan, began) = plan(1.0);
    let word = |passing, at| plan.word(Progress::NotRun, passing, 1, began + at);

    assert_eq!(word(Some(SECOND * 3), SECOND * 4), Word::ServeOn);
    assert_eq!(word(Some(SECOND * 3), SECOND * 5), Word::HandBack);
    assert_eq!(word(None, SECOND * 7), Word::ServeOn);
    assert_eq!(word(None, SECOND * 8 - MS * 350), Word::HandBack);
}

#[test]
fn a_silent_target_is_waited_for_until_the_last_answers_are_written() {
    let (plan, began) = plan(1.0);
    let word = |at| plan.word(Progress::MayRun, Some(SECOND * 3), 1, began + at);

    assert_eq!(word(SECOND * 7), Word::ServeOn);
    assert_eq!(word(SECOND * 8 - MS * 400), Word::GiveUp);
}

#[test]
fn a_begun_answer_goes_on_until_the_process_ends() {
    let (plan, began) = plan(1.0);

    assert_eq!(plan.word(Progress::Begun, None, 1, began + SECOND * 8), Word::ServeOn);
    assert_eq!(plan.ends_at(), began + SECOND * 8 - MS * 350);
}

#[test]
fn a_small_vm_with_many_requests_begins_earlier_to_answer_them() {
    let (large, began) = plan(1.0);
    let small = StopPlan::new(began, Limits { notice: SECOND, grace: SECOND * 8, cores: 0.12 });

    assert!(small.answers_by(100) + MS * 700 < large.answers_by(100));
    assert!(small.answers_by(1_000_000) >= began + SECOND * 5, "not much of the grace");
}

#[test]
fn a_process_that_runs_late_begins_its_last_answers_that_much_earlier() {
    let (mut plan, began) = plan(1.0);
    let usual = plan.answers_by(1);

    plan.ran_late(MS * 300);
    plan.ran_late(MS * 20);

    assert_eq!(plan.answers_by(1), usual - MS * 300);
    plan.ran_late(SECOND * 60);
    assert!(plan.answers_by(1) > began + SECOND * 5, "not much of the grace");
}

#[test]
fn the_bound_of_a_passing_time_follows_what_was_seen() {
    let mut time = PassingTime::new(SECOND * 3);
    let first = time.bound();
    (0..100).for_each(|_| time.learn(SECOND));
    let steady = time.bound();
    (0..20).for_each(|number| time.learn(SECOND * (1 + number % 2)));

    assert_eq!(first, SECOND * 6);
    assert!(steady < SECOND + MS * 10, "{steady:?}");
    assert!(time.bound() > SECOND * 2, "half of them take so long: {time:?}");
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
        plan.ran_late(MS * late_ms);
        let progress = if may_run { Progress::MayRun } else { Progress::NotRun };
        let passing = Some(Duration::from_millis(passing_ms));
        let word = |at| plan.word(progress, passing, in_work, at);

        prop_assert!(word(plan.ends_at() + MS) != Word::ServeOn);
        prop_assert!(plan.answers_by(in_work) <= plan.ends_at());
        let said: Vec<Word> = (0..=60u32).map(|part| word(began + limits.grace * part / 60)).collect();
        let first = said.iter().position(|word| *word != Word::ServeOn).unwrap_or(said.len());
        prop_assert!(said[first..].windows(2).all(|pair| pair[0] == pair[1]), "a word holds: {said:?}");
        if may_run {
            prop_assert!(!said.contains(&Word::HandBack), "it may have run");
        }
        let begun = plan.word(Progress::Begun, passing, in_work, began + limits.grace);
        prop_assert_eq!(begun, Word::ServeOn);
    }
}
