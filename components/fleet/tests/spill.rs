//! Submissions go to another part of a pool as far as that part is ahead.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use batching::Queue;
use fleet::{Owner, PoolLoad, fastest_owner, should_spill};
use ids::VmName;

const WAY: Duration = Duration::from_millis(240);

fn part_spilled(own_ms: u64, other_ms: u64) -> f64 {
    let (own, other) = (Duration::from_millis(own_ms), Duration::from_millis(other_ms));
    let spilled =
        (0..1000).filter(|n| should_spill(own, other, WAY, f64::from(*n) / 1000.0)).count();
    spilled as f64 / 1000.0
}

fn owner(name: &str, late: f64, rate: f64) -> (Owner, PoolLoad) {
    let (turnaround, queue, at) = (Duration::ZERO, Queue::default(), Instant::now());
    let load = PoolLoad { turnaround, queue, late, coming: 0.0, rate, at };
    (Owner::Peer(VmName::new(name).unwrap()), load)
}

#[test]
fn a_part_whose_workers_are_all_out_of_service_is_never_ahead() {
    let loads =
        [owner("full", 400.0, 200.0), owner("closed", 0.0, 0.0), owner("busy", 90.0, 100.0)];

    let (first, drain) = fastest_owner(loads.into_iter()).unwrap();

    assert_eq!(first, Owner::Peer(VmName::new("busy").unwrap()));
    assert_eq!(drain, Duration::from_millis(900));
    assert!(fastest_owner([owner("closed", 0.0, 0.0)].into_iter()).is_none());
}

#[test]
fn nothing_spills_to_a_part_that_is_ahead_by_less_than_the_way() {
    assert_eq!(part_spilled(0, 0), 0.0);
    assert_eq!(part_spilled(240, 0), 0.0);
    assert_eq!(part_spilled(900, 660), 0.0);
    assert_eq!(part_spilled(500, 2000), 0.0);
}

#[test]
fn the_further_ahead_the_more_spills_and_never_all() {
    let parts = [part_spilled(300, 0), part_spilled(600, 0), part_spilled(2000, 0)];

    assert_eq!(parts, [0.2, 0.6, 0.88]);
}

/// Two parts of the same speed, all callers at one: heartbeats tell of the queues with a delay, and the
/// queues come to differ by little more than the way, without turning over.
#[test]
fn two_parts_share_a_load_that_is_too_much_for_one() {
    let (rate, arriving) = (1000.0, 1600.0);
    let tick = Duration::from_millis(50);
    let mut queues = [0.0_f64; 2];
    let mut told = queues;
    let mut done = 0.0;

    for step in 0..400_u32 {
        if step % 4 == 0 {
            told = queues;
        }
        let drain = |queue: f64| Duration::from_secs_f64(queue / rate);
        for piece in 0..80_u32 {
            let draw = f64::from((piece * 37 + step * 17) % 80) / 80.0;
            let to = usize::from(should_spill(drain(told[0]), drain(told[1]), WAY, draw));
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
