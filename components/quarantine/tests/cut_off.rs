//! VMs that were cut off from others while these cleared a part of prompts. Simulated time, no
//! network.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use proptest::prelude::{any, prop, proptest};
use quarantine::{
    Crash, CrashCursor, LifetimeHash, LifetimeId, Quarantine, RequestDigest, Rules, Suspect,
};

const RULES: Rules = Rules { crashes: 3, duration: Duration::from_secs(600) };
const PART: Suspect = Suspect::PromptPart(1);

fn vm() -> Quarantine {
    Quarantine::new(RULES)
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn lifetime(number: u64) -> LifetimeId {
    LifetimeId { lifetime_hash: LifetimeHash(number), ends_before: 0 }
}

/// Ends targets during requests with the part, as one VM sees it.
fn crash(vm: &mut Quarantine, numbers: RangeInclusive<u64>, now: Instant) {
    numbers.for_each(|number| crash_under(vm, PART, number, now));
}

/// Ends a target during a request with a suspect, as one VM sees it.
fn crash_under(vm: &mut Quarantine, suspect: Suspect, number: u64, now: Instant) {
    vm.connection_lost(vec![suspect], lifetime(number), now);
    vm.lifetime_ended(lifetime(number), now);
}

/// Links two VMs: each tells the other all that it knows, and what follows from that.
fn link(one: &mut Quarantine, other: &mut Quarantine, now: Instant) {
    let (mut to_other, mut to_one) = (CrashCursor::default(), CrashCursor::default());
    for _ in 0..4 {
        let (changes, up_to) = one.changes_after(to_other);
        to_other = up_to;
        other.merge(&changes, now);
        let (changes, up_to) = other.changes_after(to_one);
        to_one = up_to;
        one.merge(&changes, now);
    }
}

fn expire(vms: &mut [&mut Quarantine], now: Instant) {
    vms.iter_mut().for_each(|vm| vm.remove_expired(now));
}

fn is_refused(vm: &Quarantine, now: Instant) -> bool {
    vm.refused_for(&PART, now).is_some()
}

/// Guards against a cleared part that is refused once a VM returns that did not hear of it.
#[test]
fn crashes_that_a_returning_vm_still_counts_stay_cleared() {
    let (mut observer, mut returning, start) = (vm(), vm(), Instant::now());
    crash(&mut observer, 1..=4, start);
    link(&mut observer, &mut returning, start);
    observer.survived(PART, start + secs(1));
    expire(&mut [&mut observer, &mut returning], start + secs(60));
    let counted_while_away = is_refused(&returning, start + secs(60));

    let back = start + secs(120);
    link(&mut returning, &mut observer, back);

    assert!(counted_while_away);
    assert!(!is_refused(&observer, back));
    assert!(!is_refused(&returning, back));
}

#[test]
fn crashes_stay_cleared_at_a_vm_that_was_only_told_so() {
    let (mut observer, mut told, mut returning, start) = (vm(), vm(), vm(), Instant::now());
    crash(&mut observer, 1..=4, start);
    link(&mut observer, &mut returning, start);
    observer.survived(PART, start + secs(1));
    link(&mut observer, &mut told, start + secs(1));
    drop(observer);
    expire(&mut [&mut told, &mut returning], start + secs(60));

    let back = start + secs(120);
    link(&mut returning, &mut told, back);

    assert!(!is_refused(&told, back));
    assert!(!is_refused(&returning, back));
}

#[test]
fn a_vm_that_links_soon_after_old_crashes_were_cleared_hears_of_it() {
    let (mut observer, mut late, start) = (vm(), vm(), Instant::now());
    crash(&mut observer, 1..=4, start);
    link(&mut observer, &mut late, start);
    let cleared = start + secs(300);
    observer.survived(PART, cleared);
    expire(&mut [&mut observer], cleared + secs(10));

    let linked = cleared + secs(20);
    late.merge(&observer.changes_after(CrashCursor::default()).0, linked);

    assert!(!is_refused(&late, linked));
}

#[test]
fn crashes_long_after_a_part_was_survived_count_when_a_vm_returns() {
    let (mut observer, mut returning, start) = (vm(), vm(), Instant::now());
    crash(&mut observer, 1..=4, start);
    link(&mut observer, &mut returning, start);
    observer.survived(PART, start + secs(1));
    expire(&mut [&mut observer], start + secs(60));
    crash(&mut returning, 11..=13, start + secs(90));

    let back = start + secs(120);
    link(&mut returning, &mut observer, back);

    assert!(is_refused(&observer, back));
    assert!(is_refused(&returning, back));
}

#[test]
fn crashes_right_after_a_part_was_released_count_everywhere() {
    let (mut observer, mut peer, start) = (vm(), vm(), Instant::now());
    crash(&mut observer, 1..=3, start);
    link(&mut observer, &mut peer, start);

    let released = start + secs(5);
    let had_crashes = observer.clear(&PART, released);
    link(&mut observer, &mut peer, released);
    let while_released = [is_refused(&observer, released), is_refused(&peer, released)];
    let crashed = released + secs(1);
    crash(&mut peer, 11..=13, crashed);
    link(&mut observer, &mut peer, crashed);

    assert!(had_crashes);
    assert_eq!(while_released, [false, false]);
    assert!(is_refused(&observer, crashed));
    assert!(is_refused(&peer, crashed));
}

/// Sends one VM what another one has not told it yet. The message takes a second.
fn send_late(to: &mut Quarantine, from: &Quarantine, sent: &mut CrashCursor, now: Instant) {
    let late = |crash: Crash| Crash { at: crash.at.map(|at| at + secs(1)), ..crash };
    let (changes, up_to) = from.changes_after(*sent);
    *sent = up_to;
    to.merge(&changes.into_iter().map(late).collect::<Vec<_>>(), now + secs(1));
}

/// Guards against survivals that get a later time with each VM that tells them.
#[test]
fn a_survival_does_not_excuse_later_crashes_at_vms_whose_messages_take_long() {
    let request = Suspect::Request(RequestDigest::from_bytes(&[7; 16]).expect("16 bytes"));
    let (mut one, mut other, start) = (vm(), vm(), Instant::now());
    one.survived(request, start);
    let (mut told_one, mut told_other) = (CrashCursor::default(), CrashCursor::default());

    for number in 1..=120 {
        let now = start + secs(number);
        let vm = if number % 2 == 0 { &mut one } else { &mut other };
        crash_under(vm, request, number, now);
        send_late(&mut other, &one, &mut told_other, now);
        send_late(&mut one, &other, &mut told_one, now);
    }

    let end = start + secs(120);
    assert!(one.refused_for(&request, end).is_some());
    assert!(other.refused_for(&request, end).is_some());
}

proptest! {
    #[test]
    fn when_crashes_were_and_when_the_part_was_survived_merge_in_any_order(
        reports in prop::collection::vec((0..8u64, any::<bool>(), 0..100u64), 0..24),
        seed in any::<u64>(),
    ) {
        let start = Instant::now();
        let now = start + secs(100);
        let crashes: Vec<Crash> = reports
            .into_iter()
            .map(|(number, cleared, at)| Crash {
                suspect: PART,
                lifetime: lifetime(number),
                cleared,
                at: Some(start + secs(at)),
            })
            .collect();
        let mut shuffled = crashes.clone();
        for index in (1..shuffled.len()).rev() {
            let other = (seed.rotate_left(index as u32) % (index as u64 + 1)) as usize;
            shuffled.swap(index, other);
        }
        let (mut one, mut other) = (vm(), vm());

        one.merge(&crashes, now);
        shuffled.iter().for_each(|crash| drop(other.merge(&[*crash], now)));

        assert_eq!(one.refused(now), other.refused(now));
    }
}
