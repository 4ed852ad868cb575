//! Tests of the split of pools, the choice of owners and watchers, and the links of a VM.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::{Fleet, Owner, Split, VmEntry};
use ids::{HallName, VmName};
use intent::PoolSpec;

const POOL: &str = "encoders";

fn hall(text: &str) -> HallName {
    HallName::new(text).unwrap()
}

fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}")).unwrap()
}

fn address(number: usize) -> SocketAddr {
    format!("10.0.{}.{}:7", number / 200, number % 200 + 1).parse().unwrap()
}

/// Entry of a VM; VMs are assigned to `halls` halls in turn.
fn entry(number: usize, halls: usize) -> VmEntry {
    VmEntry { peers: address(number), hall: hall(&format!("hall-{}", number % halls)), cores: 0.5 }
}

/// The view of VM `own` once the store has listed all VMs of the fleet.
fn listed(own: usize, vms: usize, halls: usize, now: Instant) -> Fleet {
    let mut fleet = Fleet::new(vm(own), entry(own, halls), 1, now);
    (0..vms).for_each(|number| fleet.add_listed(vm(number), entry(number, halls), now));
    fleet
}

/// The VM at the given rank (0 is the owner) in the part of hall `of_hall`, as chosen by a VM that
/// is linked to all others.
fn owner_at_rank(rank: usize, split: &Split, of_hall: usize, vms: usize, halls: usize) -> usize {
    let now = Instant::now();
    let mut candidates: Vec<usize> = (0..vms).collect();
    let part = split.part_of(&hall(&format!("hall-{of_hall}")));
    for _ in 0..rank {
        let owner = best_of(&candidates, split, part, halls, now);
        candidates.retain(|number| *number != owner);
    }
    best_of(&candidates, split, part, halls, now)
}

/// The owner of a part if only `candidates` exist.
fn best_of(
    candidates: &[usize],
    split: &Split,
    part: fleet::Part,
    halls: usize,
    now: Instant,
) -> usize {
    let of_part = |number: &&usize| split.part_of(&entry(**number, halls).hall) == part;
    let own = *candidates.iter().find(of_part).unwrap();
    let mut fleet = Fleet::new(vm(own), entry(own, halls), 1, now);
    for number in candidates.iter().filter(|number| **number != own) {
        fleet.add_listed(vm(*number), entry(*number, halls), now);
        fleet.record_heard(&vm(*number), true, now);
    }
    match fleet.owner_of(POOL, split, part, false, now) {
        Owner::This => own,
        Owner::Peer(name) => *candidates.iter().find(|number| vm(**number) == name).unwrap(),
        Owner::Unknown => unreachable!("all VMs are linked"),
    }
}

/// A pool whose workers make 31 pieces per second each.
fn spec() -> PoolSpec {
    PoolSpec {
        at_once: 1,
        queue: 2,
        batch: 14,
        call: Duration::from_millis(240),
        piece: Duration::from_millis(15),
        room_bytes: 17_000_000,
        result_life: Duration::from_secs(4),
        link: None,
    }
}

/// The split of a pool with `workers` workers in each of `halls` halls.
fn split(halls: usize, workers: usize) -> Split {
    let names: Vec<HallName> = (0..halls).map(|number| hall(&format!("hall-{number}"))).collect();
    Split::new(&spec(), names.iter().flat_map(|hall| std::iter::repeat_n(hall, workers)))
}

fn parts(split: &Split) -> usize {
    split.parts().count()
}

#[test]
fn the_number_of_parts_follows_the_rate_of_the_workers() {
    // Rates: 187, 747, 1,307 and 3,733 pieces per second.
    let counts = [(6, 1), (6, 4), (6, 7), (6, 20)].map(|(halls, each)| parts(&split(halls, each)));

    assert_eq!(counts, [1, 1, 2, 3]);
}

#[test]
fn a_part_has_at_least_two_halls_unless_it_is_the_whole_pool() {
    assert_eq!(parts(&split(3, 100)), 1);
    let split = split(6, 100);
    for part in split.parts() {
        let halls = (0..6).filter(|n| split.part_of(&hall(&format!("hall-{n}"))) == part).count();
        assert_eq!(halls, 2);
    }
}

#[test]
fn the_loss_of_one_worker_does_not_change_the_split() {
    let names: Vec<HallName> = (0..6).map(|number| hall(&format!("hall-{number}"))).collect();
    let full = split(6, 7);

    for lost in 0..6 {
        let workers =
            (0..6).flat_map(|n| std::iter::repeat_n(&names[n], 7 - usize::from(n == lost)));
        assert_eq!(Split::new(&spec(), workers), full);
    }
}

#[test]
fn a_hall_without_workers_belongs_to_an_existing_part() {
    let split = split(4, 20);

    let part = split.part_of(&hall("elsewhere"));

    assert!(split.parts().any(|other| other == part));
}

#[test]
fn all_vms_of_a_part_agree_on_its_owner() {
    let (now, split) = (Instant::now(), split(6, 7));
    let owner = owner_at_rank(0, &split, 0, 60, 6);
    let part = split.part_of(&hall("hall-0"));

    for own in (0..60).filter(|own| *own != owner) {
        let mut fleet = listed(own, 60, 6, now);
        fleet.record_heard(&vm(owner), true, now);
        assert_eq!(fleet.owner_of(POOL, &split, part, false, now), Owner::Peer(vm(owner)));
    }
    let fleet = listed(owner, 60, 6, now);
    assert_eq!(fleet.owner_of(POOL, &split, part, false, now), Owner::This);
}

#[test]
fn a_new_vm_waits_for_the_owner_for_a_limited_time() {
    let (now, split) = (Instant::now(), split(6, 7));
    let part = split.part_of(&hall("hall-0"));
    let own = owner_at_rank(5, &split, 0, 60, 6);
    let fleet = listed(own, 60, 6, now);

    let at = |ms: u64| fleet.owner_of(POOL, &split, part, false, now + Duration::from_millis(ms));

    assert_eq!([at(0), at(1100), at(1300)], [Owner::Unknown, Owner::Unknown, Owner::This]);
}

#[test]
fn a_vm_waits_for_an_owner_that_has_no_configuration_yet() {
    let (now, split) = (Instant::now(), split(6, 7));
    let part = split.part_of(&hall("hall-0"));
    let [owner, own] = [0, 1].map(|rank| owner_at_rank(rank, &split, 0, 60, 6));
    let split = split.with_first_seen(5);
    let mut fleet = listed(own, 60, 6, now);
    fleet.record_heard(&vm(owner), true, now);
    let owner_at_version = |fleet: &mut Fleet, version| {
        fleet.peers.get_mut(&vm(owner)).unwrap().configuration = version;
        fleet.owner_of(POOL, &split, part, false, now)
    };

    assert_eq!(owner_at_version(&mut fleet, 0), Owner::Unknown);
    assert_eq!(owner_at_version(&mut fleet, 4), Owner::This, "the owner may not know the pool");
    assert_eq!(owner_at_version(&mut fleet, 5), Owner::Peer(vm(owner)));
}

#[test]
fn a_vm_that_loses_the_first_two_owners_waits_for_the_third() {
    let (now, split) = (Instant::now(), split(6, 7));
    let part = split.part_of(&hall("hall-0"));
    let [first, second, third, own] =
        [0, 1, 2, 9].map(|rank| owner_at_rank(rank, &split, 0, 60, 6));
    let mut fleet = listed(own, 60, 6, now);
    let later = now + Duration::from_secs(10);
    for owner in [first, second] {
        fleet.record_heard(&vm(owner), true, now);
        fleet.record_unlinked(&vm(owner), true, later);
    }

    let before = fleet.owner_of(POOL, &split, part, false, later);
    let wanted = fleet.wanted_links([(POOL, &split)].into_iter());
    fleet.record_heard(&vm(third), true, later);
    let after = fleet.owner_of(POOL, &split, part, false, later);

    assert_eq!(before, Owner::Unknown);
    assert!(wanted.contains(&address(third)), "the next owner must be dialed");
    assert!(wanted.contains(&address(first)), "the first owner may come back and must be dialed");
    assert_eq!(after, Owner::Peer(vm(third)));
}

#[test]
fn a_stopping_owner_hands_its_part_to_the_next_vm() {
    let (now, split) = (Instant::now(), split(6, 7));
    let part = split.part_of(&hall("hall-0"));
    let [first, second] = [0, 1].map(|rank| owner_at_rank(rank, &split, 0, 60, 6));
    let mut fleet = listed(first, 60, 6, now);
    fleet.record_heard(&vm(second), true, now);

    assert_eq!(fleet.owner_of(POOL, &split, part, false, now), Owner::This);
    assert_eq!(fleet.owner_of(POOL, &split, part, true, now), Owner::Peer(vm(second)));
}

#[test]
fn the_number_of_links_does_not_grow_with_the_number_of_vms() {
    let (now, split) = (Instant::now(), split(6, 20));

    let links = [60, 295, 370].map(|vms| {
        let counts = (0..vms).step_by(29).map(|own| {
            let fleet = listed(own, vms, 6, now);
            fleet.wanted_links([(POOL, &split)].into_iter()).len()
        });
        counts.max().unwrap()
    });

    // The owner and its successor in the own part, the owner of each other part, and two VMs of
    // each hall.
    assert!(links.iter().all(|links| *links <= 16), "{links:?}");
}

/// Whether VM `own` of 60 in 6 halls watches the store although it is linked to a VM of its hall
/// that does.
fn watches_beside_another(own: usize, now: Instant) -> bool {
    let mut fleet = listed(own, 60, 6, now);
    let linked = vm((own + 6) % 60);
    fleet.record_heard(&linked, true, now);
    fleet.peers.get_mut(&linked).unwrap().watches_store = true;
    fleet.must_watch_store(now)
}

#[test]
fn two_vms_of_each_hall_watch_the_store_and_the_others_rely_on_them() {
    let now = Instant::now();

    let watchers: BTreeSet<usize> =
        (0..60).filter(|own| watches_beside_another(*own, now)).collect();

    let of_hall = |hall: usize| watchers.iter().filter(|number| **number % 6 == hall).count();
    assert!((0..6).all(|hall| of_hall(hall) == 2), "{watchers:?}");
}

#[test]
fn a_vm_watches_the_store_itself_once_no_linked_vm_does() {
    let now = Instant::now();
    let own = (0..60).find(|own| !watches_beside_another(*own, now)).unwrap();
    let mut fleet = listed(own, 60, 6, now);
    let linked = vm((own + 6) % 60);
    fleet.record_heard(&linked, true, now);
    let set_watches =
        |fleet: &mut Fleet, watches| fleet.peers.get_mut(&linked).unwrap().watches_store = watches;

    set_watches(&mut fleet, true);
    assert!(!fleet.must_watch_store(now + Duration::from_millis(900)));
    assert!(
        fleet.must_watch_store(now + Duration::from_millis(1100)),
        "the linked watcher fell silent"
    );
    set_watches(&mut fleet, false);
    assert!(fleet.must_watch_store(now), "the store does not answer the linked watcher");
}

#[test]
fn closing_unwanted_links_does_not_start_a_watch() {
    let now = Instant::now();
    let own = (0..60).find(|own| !watches_beside_another(*own, now)).unwrap();
    let mut fleet = listed(own, 60, 6, now);
    let watcher = vm((own + 6) % 60);
    for other in (0..60).filter(|other| *other != own) {
        fleet.record_heard(&vm(other), true, now);
        fleet.record_unlinked(&vm(other), false, now);
    }
    fleet.record_heard(&watcher, true, now);
    fleet.peers.get_mut(&watcher).unwrap().watches_store = true;

    assert!(!fleet.must_watch_store(now));
}

#[test]
fn all_vms_of_a_small_fleet_watch_the_store() {
    let now = Instant::now();

    assert!((0..7).all(|own| listed(own, 7, 3, now).must_watch_store(now)));
}

/// The view of VM `own` of a settled fleet, long after its start and with all wanted links.
fn settled(own: usize, split: &Split, now: Instant) -> Fleet {
    let mut fleet = listed(own, 60, 6, now - Duration::from_secs(60));
    link_wanted(&mut fleet, own, split, now);
    fleet
}

/// Opens the links that the VM wants.
fn link_wanted(fleet: &mut Fleet, own: usize, split: &Split, now: Instant) {
    let wanted = fleet.wanted_links([(POOL, split)].into_iter());
    for number in (0..60).filter(|number| *number != own && wanted.contains(&address(*number))) {
        fleet.record_heard(&vm(number), true, now);
    }
}

#[test]
fn all_vms_choose_the_same_successor_of_a_stopping_owner() {
    let (now, split) = (Instant::now(), split(6, 7));
    let [first, second] = [0, 1].map(|rank| owner_at_rank(rank, &split, 0, 60, 6));
    let part = split.part_of(&hall("hall-0"));

    for own in (0..60).filter(|own| ![first, second].contains(own)) {
        let mut fleet = settled(own, &split, now);
        fleet.record_draining(&vm(first), true, now);
        let at_once = fleet.owner_of(POOL, &split, part, false, now);
        link_wanted(&mut fleet, own, &split, now);
        let linked = fleet.owner_of(POOL, &split, part, false, now);

        let successor = Owner::Peer(vm(second));
        assert!(at_once == successor || at_once == Owner::Unknown, "vm-{own}: {at_once:?}");
        assert_eq!(linked, successor, "vm-{own}");
    }
}

#[test]
fn a_successor_that_can_not_be_dialed_is_skipped() {
    let (now, split) = (Instant::now(), split(6, 7));
    let [first, second, third] = [0, 1, 2].map(|rank| owner_at_rank(rank, &split, 0, 60, 6));
    let part = split.part_of(&hall("hall-0"));
    let own = (0..60).find(|own| ![first, second, third].contains(own)).unwrap();
    let mut fleet = listed(own, 60, 6, now - Duration::from_secs(60));
    [first, third].iter().for_each(|number| fleet.record_heard(&vm(*number), true, now));
    fleet.record_draining(&vm(first), true, now);

    let before = fleet.owner_of(POOL, &split, part, false, now);
    fleet.record_dial_failure(address(second));
    let after = fleet.owner_of(POOL, &split, part, false, now);

    assert_eq!(before, Owner::Unknown, "the successor is being dialed");
    assert_eq!(after, Owner::Peer(vm(third)));
}

#[test]
fn other_vms_serve_unless_all_are_stopping_unconfigured_or_silent() {
    let now = Instant::now();
    let serves = |draining: bool, configuration: u64, at: Instant| {
        let mut fleet = listed(0, 2, 1, now);
        fleet.record_heard(&vm(1), true, now);
        fleet.record_draining(&vm(1), draining, now);
        fleet.peers.get_mut(&vm(1)).unwrap().configuration = configuration;
        fleet.others_serve(at)
    };

    assert!(serves(false, 1, now));
    assert!(!serves(true, 1, now), "the other VM is stopping too");
    assert!(!serves(false, 0, now), "the other VM has no configuration yet");
    assert!(!serves(false, 1, now + fleet::PEER_TIMEOUT * 2), "the other VM is silent");
    assert!(listed(0, 60, 1, now).others_serve(now), "not all VMs of a large fleet are linked");
}

/// Delays with which the VMs of one of six halls read a long listing of the store, shortest first.
fn listing_delays(vms: usize) -> Vec<Duration> {
    let now = Instant::now();
    let of_hall = (0..vms).step_by(6);
    let mut delays: Vec<Duration> =
        of_hall.map(|own| listed(own, vms, 6, now).listing_delay()).collect();
    delays.sort_unstable();
    delays
}

/// Guards against a start at which all VMs read the whole content of the store: 985 VMs before 9,999
/// targets read some gigabytes, for longer than the store keeps its history.
#[test]
fn two_vms_of_a_hall_read_a_long_listing_and_twice_as_many_with_each_turn() {
    let sizes = [60, 300, 1000, 2000];
    let delays_by_size = sizes.map(listing_delays);

    for (vms, delays) in sizes.iter().zip(&delays_by_size) {
        let by = |secs: f64| delays.iter().filter(|d| d.as_secs_f64() <= secs).count();

        assert_eq!(by(0.0), 2, "{vms} VMs");
        assert!(by(1.5) <= 4 && by(3.0) <= 8 && by(4.5) <= 16, "{vms} VMs: {delays:?}");
    }
    let [.., of_1000, of_2000] = delays_by_size.map(|delays| *delays.last().unwrap());
    assert!(of_1000 < Duration::from_secs(12));
    assert!(of_2000 - of_1000 <= Duration::from_millis(1500), "it grows by a turn");
}

/// Guards against ranking all VMs again for each of the hellos of a fleet that starts.
#[test]
fn a_hello_of_a_listed_vm_ranks_no_names_again() {
    let now = Instant::now();
    let mut fleet = listed(0, 1000, 6, now);
    fleet.is_among_first("key", 1);
    let ranked = fleet.names_ranked();

    for number in 1..1000 {
        fleet.record_heard(&vm(number), true, now);
        fleet.record_identity(&vm(number), 7, Some(entry(number, 6)));
        fleet.is_among_first("key", 1);
    }

    assert_eq!((ranked, fleet.names_ranked()), (1000, 1000));
    let moved = VmEntry { peers: address(1001), ..entry(1, 6) };
    fleet.add_listed(vm(1), moved, now);
    fleet.is_among_first("key", 1);
    assert_eq!(fleet.names_ranked(), 2000, "a VM with another entry is ranked anew");
}
