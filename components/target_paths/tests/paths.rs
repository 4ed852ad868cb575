//! Which way to a target is tried first, and when a VM counts as cut off.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use ids::{TargetName, VmName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use target_paths::{Change, Path, RelayCandidate, TargetPaths, rank_relays};

fn target(number: usize) -> TargetName {
    TargetName::new(&format!("t-{number}")).unwrap_or_else(|e| panic!("{e}"))
}

fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}")).unwrap_or_else(|e| panic!("{e}"))
}

fn candidate(number: usize) -> RelayCandidate {
    RelayCandidate { vm: vm(number), is_near_target: false, is_avoided: false, relayed: 0 }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn one_broken_path_concerns_only_its_target() {
    let (mut paths, now) = (TargetPaths::default(), Instant::now());

    let change = paths.record_relayed(&target(1), now);

    assert_eq!(change, None);
    assert_eq!(paths.path_to(&target(1)), Path::Relayed);
    assert_eq!(paths.path_to(&target(2)), Path::Direct);
    assert!(!paths.is_cut_off());
}

#[test]
fn two_broken_paths_without_a_direct_connection_since_cut_a_vm_off() {
    let (mut paths, now) = (TargetPaths::default(), Instant::now());
    paths.record_connected(&target(3), now);
    paths.record_relayed(&target(1), now + seconds(1));

    let change = paths.record_relayed(&target(2), now + seconds(2));

    assert_eq!(change, Some(Change::CutOff));
    assert_eq!(paths.path_to(&target(3)), Path::Relayed);
    assert_eq!(paths.record_relayed(&target(4), now + seconds(3)), None, "told once");
}

#[test]
fn a_vm_that_reaches_some_targets_is_not_cut_off_however_often_others_are_relayed() {
    let (mut paths, start) = (TargetPaths::default(), Instant::now());
    let is_cut_off = |second: u64| {
        let now = start + seconds(second);
        for number in 1..4 {
            paths.record_relayed(&target(number), now + Duration::from_millis(number as u64));
        }
        paths.record_connected(&target(9), now + Duration::from_millis(1));
        paths.is_cut_off()
    };

    let cut_off: Vec<bool> = (0..10).map(is_cut_off).collect();

    assert_eq!(cut_off, [false; 10]);
    assert_eq!(paths.path_to(&target(1)), Path::Relayed);
    assert_eq!(paths.path_to(&target(9)), Path::Direct);
}

#[test]
fn a_direct_connection_ends_a_cut_and_restores_its_own_path_only() {
    let (mut paths, now) = (TargetPaths::default(), Instant::now());
    paths.record_relayed(&target(1), now);
    paths.record_relayed(&target(2), now);

    let change = paths.record_connected(&target(1), now + seconds(1));

    assert_eq!(change, Some(Change::Restored));
    assert_eq!(paths.path_to(&target(1)), Path::Direct);
    assert_eq!(paths.path_to(&target(2)), Path::Relayed);
    assert_eq!(paths.path_to(&target(3)), Path::Direct);
}

#[test]
fn broken_paths_are_probed_in_turn_while_connections_are_relayed() {
    let (mut paths, start) = (TargetPaths::default(), Instant::now());
    let mut probed = BTreeSet::new();

    for tenth in 0..30u32 {
        let now = start + Duration::from_millis(100) * tenth;
        for number in 0..6 {
            paths.record_relayed(&target(number), now);
        }
        let due = paths.take_due_probes(now);
        assert!(due.len() <= 3);
        probed.extend(due);
    }

    assert_eq!(probed.len(), 6);
}

#[test]
fn paths_are_forgotten_once_no_connection_was_relayed_for_long() {
    let (mut paths, now) = (TargetPaths::default(), Instant::now());
    paths.record_relayed(&target(1), now);
    paths.record_relayed(&target(2), now);

    assert_eq!(paths.remove_expired(now + seconds(19)), None);
    assert_eq!(paths.remove_expired(now + seconds(21)), Some(Change::Restored));
    assert_eq!(paths.path_to(&target(1)), Path::Direct);
}

#[test]
fn a_peer_that_failed_is_asked_last_and_again_after_a_while() {
    let (mut paths, now) = (TargetPaths::default(), Instant::now());
    paths.record_relay_failure(&vm(1), now);
    let candidates = |at: Instant| -> Vec<RelayCandidate> {
        let is_avoided = |number| paths.is_avoided(&vm(number), at);
        (1..3).map(|n| RelayCandidate { is_avoided: is_avoided(n), ..candidate(n) }).collect()
    };
    let mut rng = StdRng::seed_from_u64(1);

    let ranked = rank_relays(candidates(now), 3, &mut rng);

    assert_eq!(ranked, [vm(2), vm(1)]);
    assert!(!paths.is_avoided(&vm(1), now + seconds(2)));
}

#[test]
fn peers_near_the_target_come_first_until_they_have_more_to_relay() {
    let near = RelayCandidate { is_near_target: true, ..candidate(1) };
    let busy = RelayCandidate { relayed: 40, ..near.clone() };
    let far = candidate(2);
    let mut rng = StdRng::seed_from_u64(2);

    assert_eq!(rank_relays(vec![far.clone(), near], 1, &mut rng), [vm(1)]);
    assert_eq!(rank_relays(vec![far, busy], 1, &mut rng), [vm(2)]);
}

/// Guards against VMs of a hall that are cut off together and all choose the same peer.
#[test]
fn many_vms_spread_their_connections_over_the_peers_at_any_size_of_the_fleet() {
    for vms in [7, 83, 985] {
        let cut_off = vms * 3 / 10;
        let mut relayed = vec![0usize; vms];
        for chooser in 0..cut_off {
            let mut rng = StdRng::seed_from_u64(chooser as u64);
            let mut own = vec![0usize; vms];
            for _ in 0..10 {
                let candidates = (cut_off..vms)
                    .map(|peer| RelayCandidate { relayed: own[peer], ..candidate(peer) })
                    .collect();
                let chosen = rank_relays(candidates, 1, &mut rng);
                let is_chosen = |peer: &usize| chosen.contains(&vm(*peer));
                let peer = (cut_off..vms).find(is_chosen).unwrap_or(0);
                own[peer] += 1;
                relayed[peer] += 1;
            }
        }
        let mean = (cut_off * 10) as f64 / (vms - cut_off) as f64;
        let most = relayed.iter().max().copied().unwrap_or(0) as f64;
        assert!(most <= 3.0 * mean + 8.0, "{vms} VMs: at most {most}, {mean} on average");
    }
}
