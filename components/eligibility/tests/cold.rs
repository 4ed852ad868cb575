//! A cold target never gets more requests than its bound, from fleets of any size whose VMs all
//! know each other and from fleets that are partitioned into two halves.

use std::time::{Duration, Instant};

use eligibility::{ColdBound, ColdShare, ColdState, cold_share};
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};

const BOUND: ColdBound = ColdBound { per_s: 10.0, overshoot: 1.5, slack: 5.0 };
const SECOND: Duration = Duration::from_secs(1);

/// Requests that the whole fleet may send a cold target in a second.
fn tolerated(bound: ColdBound) -> usize {
    (bound.per_s * bound.overshoot + bound.slack) as usize
}

/// The senders for a target among some VMs, as each VM determines them: the first ones by
/// rendezvous hashing.
fn senders(target: u64, vms: &[u64], count: usize) -> Vec<u64> {
    let mut ranked = vms.to_vec();
    ranked.sort_by_key(|vm| std::cmp::Reverse(hashing::combine(target, *vm)));
    ranked.truncate(count);
    ranked
}

#[test]
fn shares_for_fleets_from_six_to_370_vms() {
    let shared = |vms, targets| {
        let ColdShare { senders, per_sender } = cold_share(BOUND, vms, targets);
        (senders, per_sender)
    };

    assert_eq!(shared(6, 9), (2, 5));
    assert_eq!(shared(59, 90), (2, 5));
    assert_eq!(shared(295, 240), (3, 3));
    assert_eq!(shared(370, 740), (2, 5));
    // With few targets many VMs send one request each, or else most VMs would have no target.
    assert_eq!(shared(59, 4), (10, 1));
    assert_eq!(shared(1, 1), (1, 10));
}

#[test]
fn target_with_a_very_low_bound_still_gets_one_request() {
    let very_low = ColdBound { per_s: 0.5, overshoot: 1.0, slack: 0.0 };

    assert_eq!(cold_share(very_low, 59, 90), ColdShare { senders: 1, per_sender: 1 });
}

#[test]
fn target_is_cold_while_reported_or_assumed() {
    let now = Instant::now();
    let mut reported = ColdState::default();
    reported.set_remaining(SECOND, now);
    let mut assumed = ColdState::default();
    assumed.assume_cold(SECOND * 2, now);
    // The target's report may be older than the assumption and does not end it.
    assumed.set_remaining(Duration::ZERO, now);

    assert!(reported.is_cold(now) && !reported.is_cold(now + SECOND));
    assert!(assumed.is_cold(now + SECOND) && !assumed.is_cold(now + SECOND * 2));
    assert!(!ColdState::default().is_cold(now));
}

#[test]
fn requests_sent_just_before_it_became_cold_count() {
    let now = Instant::now();
    let mut state = ColdState::default();
    state.set_share(2);
    (0..2).for_each(|_| state.record_request(now));

    state.set_remaining(SECOND * 3, now + Duration::from_millis(300));

    assert!(!state.may_send(now + Duration::from_millis(900)));
    assert!(state.may_send(now + Duration::from_millis(1200)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Every VM sends as much as it may to the cold targets of a restored hall. No target gets more
    /// than the bound in any second, even if the fleet is partitioned into two halves.
    #[test]
    fn no_second_exceeds_the_bound(
        vms in 1_usize..400,
        cold in 1_usize..40,
        split in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let all: Vec<u64> = (0..vms as u64).map(|vm| hashing::combine(seed, vm)).collect();
        let halves: Vec<&[u64]> =
            if split { all.chunks(vms.div_ceil(2)).collect() } else { vec![&all] };
        let start = Instant::now();
        for target in 0..cold as u64 {
            let mut arrivals = Vec::new();
            for half in &halves {
                let ColdShare { senders: count, per_sender } = cold_share(BOUND, half.len(), 90);
                for vm in senders(target, half, count) {
                    arrivals.extend(arrival_times(per_sender, start, hashing::combine(vm, target)));
                }
            }
            arrivals.sort_unstable();
            prop_assert!(most_in_one_second(&arrivals) <= tolerated(BOUND));
        }
    }
}

/// Arrival times at a cold target of the requests of a VM that has one to send every 5 ms. Each
/// takes up to 100 ms to arrive.
fn arrival_times(per_sender: u32, start: Instant, seed: u64) -> Vec<Instant> {
    let mut state = ColdState::default();
    state.set_remaining(SECOND * 3, start);
    state.set_share(per_sender);
    let mut arrivals = Vec::new();
    for step in 0..600_u64 {
        let at = start + Duration::from_millis(step * 5);
        if state.may_send(at) {
            state.record_request(at);
            let delay = Duration::from_millis(hashing::combine(seed, step) % 100);
            arrivals.push(at + delay);
        }
    }
    arrivals
}

/// The most arrivals that fall within one second.
fn most_in_one_second(arrivals: &[Instant]) -> usize {
    let within = |first: Instant| {
        let of_second = arrivals.iter().filter(|at| (first..first + SECOND).contains(at));
        of_second.count()
    };
    arrivals.iter().map(|first| within(*first)).max().unwrap_or(0)
}
