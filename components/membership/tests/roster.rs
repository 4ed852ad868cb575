//! Tests of the roster and the round pacer on a simulated clock.

// A failed `expect` in a helper function fails its test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use ids::{HallName, Incarnation, Revision, VmName};
use membership::{Advert, AdvertAge, Heartbeat, NameHash, Roster, RoundPacer};

const ROUND: Duration = Duration::from_millis(500);

fn advert(vm: &str, hall: &str, incarnation: u64, sequence: u64) -> Advert {
    let vm = VmName::new(vm).expect("name");
    let beat = Heartbeat {
        vm: NameHash::of_vm(&vm),
        incarnation: Incarnation(incarnation),
        sequence,
        revision: Revision(1),
        draining: false,
        loads: vec![(NameHash(7), 2)],
        leaving: Vec::new(),
    };
    let address = "127.0.0.1:1".parse().expect("an address");
    let hall = HallName::new(hall).expect("name");
    Advert { vm, hall, peers: address, operations: address, beat }
}

fn roster() -> Roster {
    let own = VmName::new("own").expect("name");
    Roster::new(&own, HallName::new("hall-a").expect("name"))
}

fn ages(roster: &Roster, now: Instant) -> Vec<AdvertAge> {
    roster.all(ROUND, now).map(|(_, age)| age).collect()
}

#[test]
fn merges_only_newer_adverts_and_heartbeats() {
    let now = Instant::now();
    let mut roster = roster();
    roster.merge(advert("vm-1", "hall-a", 2, 5), now);

    roster.merge(advert("vm-1", "hall-a", 1, 9), now);
    roster.merge(advert("vm-1", "hall-a", 2, 4), now);
    roster.merge_heartbeat(Heartbeat { sequence: 3, ..advert("vm-1", "hall-a", 2, 0).beat }, now);
    roster.merge_heartbeat(advert("vm-1", "hall-a", 3, 1).beat, now);
    let known = roster.digest();
    assert_eq!((known[0].incarnation, known[0].sequence), (Incarnation(2), 5));

    roster.merge_heartbeat(advert("vm-1", "hall-a", 2, 6).beat, now);
    roster.merge(advert("vm-1", "hall-a", 3, 1), now);
    let known = roster.digest();
    assert_eq!((known[0].incarnation, known[0].sequence), (Incarnation(3), 1));
}

#[test]
fn ignores_its_own_advert() {
    let mut roster = roster();
    roster.merge(advert("own", "hall-a", 1, 1), Instant::now());
    assert!(roster.digest().is_empty());
}

#[test]
fn sends_full_adverts_of_unknown_vms_and_heartbeats_of_known_ones() {
    let now = Instant::now();
    let (mut informed, mut uninformed) = (roster(), roster());
    informed.merge(advert("vm-1", "hall-a", 1, 5), now);
    let first = informed.delta_for(&uninformed.digest());
    assert_eq!((first.adverts.len(), first.heartbeats.len()), (1, 0));

    first.adverts.into_iter().for_each(|a| uninformed.merge(a, now));
    let same = informed.delta_for(&uninformed.digest());
    assert_eq!((same.adverts.len(), same.heartbeats.len()), (0, 0));

    informed.merge(advert("vm-1", "hall-a", 1, 6), now);
    let newer = informed.delta_for(&uninformed.digest());
    assert_eq!((newer.adverts.len(), newer.heartbeats.len()), (0, 1));

    // A restarted VM may have other addresses, so its full advert is sent.
    informed.merge(advert("vm-1", "hall-a", 2, 1), now);
    let restarted = informed.delta_for(&uninformed.digest());
    assert_eq!((restarted.adverts.len(), restarted.heartbeats.len()), (1, 0));
}

#[test]
fn a_silent_vm_becomes_stale_stops_counting_in_loads_and_is_removed() {
    let now = Instant::now();
    let mut roster = roster();
    roster.merge(advert("vm-1", "hall-a", 1, 1), now);
    assert_eq!(ages(&roster, now + Duration::from_secs(3)), [AdvertAge::Fresh]);
    assert_eq!(roster.loads(ROUND, now).get(&NameHash(7)), Some(&2));

    let later = now + Duration::from_millis(3001);
    assert_eq!(ages(&roster, later), [AdvertAge::Stale]);
    assert!(roster.loads(ROUND, later).is_empty());

    roster.remove_expired(now + Duration::from_secs(61));
    assert!(roster.digest().is_empty());
}

#[test]
fn keeps_its_whole_hall_and_only_some_of_the_others() {
    let now = Instant::now();
    let mut roster = roster();
    for number in 0..62 {
        roster.merge(advert(&format!("near-{number}"), "hall-a", 1, 1), now);
        roster.merge(advert(&format!("far-{number}"), "hall-b", 1, 1), now);
    }
    let near = roster.fresh(ROUND, now).filter(|a| a.hall.as_str() == "hall-a").count();
    let far = roster.fresh(ROUND, now).filter(|a| a.hall.as_str() == "hall-b").count();
    assert_eq!((near, far), (62, 16));
}

#[test]
fn a_few_vms_of_each_hall_read_the_platform() {
    let now = Instant::now();
    let names: Vec<String> = (0..20).map(|n| format!("vm-{n}")).collect();
    let readers = names.iter().filter(|own| {
        let own_name = VmName::new(own).expect("name");
        let mut roster = Roster::new(&own_name, HallName::new("hall-a").expect("name"));
        names.iter().for_each(|vm| roster.merge(advert(vm, "hall-a", 1, 1), now));
        roster.reads_platform(2, ROUND, now)
    });
    assert_eq!(readers.count(), 2);
}

#[test]
fn the_round_interval_follows_the_bytes_per_round() {
    let mut pacer = RoundPacer::default();
    assert_eq!(pacer.interval(), Duration::from_millis(500));
    (0..50).for_each(|_| pacer.record_round(7_000));
    assert_eq!(pacer.interval(), Duration::from_secs(2));
    (0..50).for_each(|_| pacer.record_round(1_000_000));
    assert_eq!(pacer.interval(), Duration::from_secs(5));
}
