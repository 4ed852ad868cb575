//! Scenes drawn from seeds, played with real processes; the soak plays hundreds of them by hand.

use standins::serving_path::scenarios::{QueuedCallScenario, ResultReleaseScenario};

/// Seeds of calls that wait for their turn.
const TURN_SEEDS: std::ops::Range<u64> = 0..8;
/// Seeds of results whose owner or requester fails.
const RESULT_SEEDS: std::ops::Range<u64> = 0..6;

/// Guards against inputs that are taken back as fetched from a call that waits for its turn, whatever came before it.
#[test]
fn inputs_are_kept_while_a_call_waits_for_its_turn_at_a_pool_at_work() {
    for seed in TURN_SEEDS {
        let scene = QueuedCallScenario::generate(seed);

        let calls = scene.count_calls(&format!("turn-{seed}"));

        assert_eq!(calls, 2, "each stage is called once; seed {seed}: {scene:?}");
    }
}

/// Guards against results that two VMs give up, or none, when one of them is killed or stands still, in fleets of any
/// size.
#[test]
fn results_are_given_up_once_though_a_vm_fails_in_fleets_of_any_size() {
    for seed in RESULT_SEEDS {
        let scene = ResultReleaseScenario::generate(seed);

        let told = scene.run(&format!("result-{seed}"));

        assert!(scene.is_satisfied_by(&told), "seed {seed}: {scene:?} {told:?}");
    }
}
