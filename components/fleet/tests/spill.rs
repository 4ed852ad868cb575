//! Tests of the share of submissions that spills over to a less loaded part of a pool.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use batching::QueueCounts;
use fleet::{Owner, PoolLoad, fastest_owner, should_spill};
use ids::VmName;

/// Lead of the other part above which submissions spill.
const MARGIN: Duration = Duration::from_millis(240);

/// Fraction of submissions that spill, for drain times of the own part and of the other one.
fn spilled_fraction(own_ms: u64, other_ms: u64) -> f64 {
    let (own, other) = (Duration::from_millis(own_ms), Duration::from_millis(other_ms));
    let spilled =
        (0..1000).filter(|n| should_spill(own, other, MARGIN, f64::from(*n) / 1000.0)).count();
    spilled as f64 / 1000.0
}

/// An owner with `late` late pieces in its queue and a rate of `rate` pieces per second.
fn owner(name: &str, late: f64, rate: f64) -> (Owner, PoolLoad) {
    let (turnaround, queue, received_at) = (Duration::ZERO, QueueCounts::default(), Instant::now());
    let load = PoolLoad { turnaround, queue, late, incoming: 0.0, rate, received_at };
    (Owner::Peer(VmName::new(name).unwrap()), load)
}

#[test]
fn an_owner_without_working_workers_is_never_the_fastest() {
    let loads =
        [owner("full", 400.0, 200.0), owner("closed", 0.0, 0.0), owner("busy", 90.0, 100.0)];

    let (first, drain) = fastest_owner(loads.into_iter()).unwrap();

    assert_eq!(first, Owner::Peer(VmName::new("busy").unwrap()));
    assert_eq!(drain, Duration::from_millis(900));
    assert!(fastest_owner([owner("closed", 0.0, 0.0)].into_iter()).is_none());
}

#[test]
fn nothing_spills_to_a_part_whose_lead_is_not_above_the_margin() {
    assert_eq!(spilled_fraction(0, 0), 0.0);
    assert_eq!(spilled_fraction(240, 0), 0.0);
    assert_eq!(spilled_fraction(900, 660), 0.0);
    assert_eq!(spilled_fraction(500, 2000), 0.0);
}

#[test]
fn the_spilled_fraction_grows_with_the_lead_and_stays_below_one() {
    let fractions = [spilled_fraction(300, 0), spilled_fraction(600, 0), spilled_fraction(2000, 0)];

    assert_eq!(fractions, [0.2, 0.6, 0.88]);
}

/// Two parts of the same speed, with all submissions made at the first one, which decides by queue
/// lengths that heartbeats report with a delay. The queues must come to differ by little more than
/// the margin, without alternating between overload and idleness.
#[test]
fn two_parts_share_a_load_that_exceeds_the_rate_of_one() {
    let (rate, arriving) = (1000.0, 1600.0);
    let tick = Duration::from_millis(50);
    let mut queues = [0.0_f64; 2];
    let mut reported = queues;
    let mut done = 0.0;

    for step in 0..400_u32 {
        if step % 4 == 0 {
            reported = queues;
        }
        let drain = |queue: f64| Duration::from_secs_f64(queue / rate);
        for piece in 0..80_u32 {
            let random = f64::from((piece * 37 + step * 17) % 80) / 80.0;
            let to =
                usize::from(should_spill(drain(reported[0]), drain(reported[1]), MARGIN, random));
            queues[to] += arriving * tick.as_secs_f64() / 80.0;
        }
        for queue in &mut queues {
            let made = queue.min(rate * tick.as_secs_f64());
            *queue -= made;
            done += made;
        }
    }

    let drains = queues.map(|queue| queue / rate);
    assert!(drains[0] < 1.0 && drains[1] < 0.5, "{drains:?}");
    assert!(done > 0.95 * arriving * 20.0, "{done}");
}
