//! Parts of prompts as suspects: whose fault a crash is, when all else in the requests differs.

use std::time::{Duration, Instant};

use quarantine::{
    Crash, CrashCursor, LifetimeHash, LifetimeId, Quarantine, RequestDigest, RequestParts, Rules,
    Suspect,
};

const RULES: Rules = Rules { crashes: 3, duration: Duration::from_secs(600) };
/// A part that requests with the fatal part share with sound ones.
const SHARED: Suspect = Suspect::PromptPart(1);
const FATAL: Suspect = Suspect::PromptPart(2);
const OTHER: Suspect = Suspect::PromptPart(3);

fn vm() -> Quarantine {
    Quarantine::new(RULES)
}

fn request(number: u64) -> Suspect {
    let body = number.to_le_bytes();
    let parts = RequestParts { method: "POST", host: "h", path: "/", customer: None, body: &body };
    Suspect::Request(RequestDigest::of(&parts))
}

/// A new request with these parts.
fn with_parts(number: u64, parts: &[Suspect]) -> Vec<Suspect> {
    [request(number)].into_iter().chain(parts.iter().copied()).collect()
}

/// Ends a lifetime during requests with these suspects.
fn crash(vm: &mut Quarantine, number: u64, requests: &[Vec<Suspect>], now: Instant) {
    let lifetime = LifetimeId { lifetime_hash: LifetimeHash(number), ends_before: 0 };
    requests.iter().for_each(|suspects| vm.connection_lost(suspects.clone(), lifetime, now));
    vm.lifetime_ended(lifetime, now);
}

fn is_refused(vm: &Quarantine, parts: &[Suspect], now: Instant) -> bool {
    vm.refusal(&with_parts(999, parts), now).is_some()
}

#[test]
fn parts_are_all_but_the_last_each_once() {
    let parts = Suspect::prompt_parts([1, 2, 1, 3, 9]);
    let many = Suspect::prompt_parts(0..10_000);

    assert_eq!(parts, vec![SHARED, FATAL, OTHER]);
    assert_eq!(many.len(), 16);
    assert!(Suspect::prompt_parts([1]).is_empty());
    assert!(Suspect::prompt_parts([]).is_empty());
}

#[test]
fn a_part_round_trips_through_text_and_bytes() {
    for suspect in [FATAL, Suspect::PromptPart(u64::MAX), request(1)] {
        assert_eq!(Suspect::parse(&suspect.to_string()), Some(suspect));
        assert_eq!(Suspect::from_bytes(&suspect.to_bytes()), Some(suspect));
    }
}

#[test]
fn a_part_that_requests_share_is_refused_after_three_crashes_and_the_sound_one_is_not() {
    let (mut vm, now) = (vm(), Instant::now());
    vm.survived(SHARED, now);

    for number in 1..=3 {
        crash(&mut vm, number, &[with_parts(number, &[SHARED, FATAL])], now);
    }

    assert!(is_refused(&vm, &[FATAL], now));
    assert!(is_refused(&vm, &[OTHER, FATAL], now));
    assert!(!is_refused(&vm, &[SHARED], now));
}

#[test]
fn parts_that_were_only_seen_together_are_refused_only_together() {
    let (mut vm, now) = (vm(), Instant::now());
    for number in 1..=3 {
        crash(&mut vm, number, &[with_parts(number, &[SHARED, FATAL])], now);
    }

    let together = is_refused(&vm, &[SHARED, FATAL], now);
    let alone = [is_refused(&vm, &[SHARED], now), is_refused(&vm, &[OTHER, FATAL], now)];
    crash(&mut vm, 4, &[with_parts(4, &[OTHER, FATAL])], now);

    assert!(together);
    assert_eq!(alone, [false, false]);
    assert!(is_refused(&vm, &[FATAL], now), "the fourth crash sets them apart");
    assert!(!is_refused(&vm, &[SHARED, OTHER], now));
}

#[test]
fn a_part_that_completes_is_cleared_and_the_other_one_is_refused_alone() {
    let (mut vm, now) = (vm(), Instant::now());
    for number in 1..=3 {
        crash(&mut vm, number, &[with_parts(number, &[SHARED, FATAL])], now);
    }

    vm.survived(SHARED, now);

    assert!(is_refused(&vm, &[FATAL], now));
    assert!(!is_refused(&vm, &[SHARED], now));
}

#[test]
fn requests_that_only_ran_beside_a_fatal_part_are_not_refused() {
    let (mut vm, now) = (vm(), Instant::now());
    let bystander = with_parts(100, &[OTHER]);

    for number in 1..=3 {
        let fatal = with_parts(number, &[SHARED, FATAL]);
        crash(&mut vm, number, &[fatal, bystander.clone()], now);
    }
    crash(&mut vm, 4, &[with_parts(4, &[SHARED, FATAL])], now);

    assert!(is_refused(&vm, &[SHARED, FATAL], now));
    assert!(vm.refusal(&bystander, now).is_none());
}

#[test]
fn a_request_that_crashes_for_its_body_is_refused_and_its_parts_are_not() {
    let (mut vm, now) = (vm(), Instant::now());
    let fatal = with_parts(1, &[SHARED, OTHER]);

    (1..=3).for_each(|number| crash(&mut vm, number, std::slice::from_ref(&fatal), now));

    assert!(vm.refusal(&fatal, now).is_some());
    assert!(!is_refused(&vm, &[SHARED, OTHER], now));
}

#[test]
fn the_part_that_three_fatal_parts_share_is_not_refused() {
    let (mut vm, now) = (vm(), Instant::now());
    vm.survived(SHARED, now);
    let fatal_parts = [FATAL, Suspect::PromptPart(20), Suspect::PromptPart(21)];

    for number in 0..9 {
        let fatal = fatal_parts[number as usize % 3];
        crash(&mut vm, number, &[with_parts(number, &[SHARED, fatal])], now);
    }

    assert!(fatal_parts.iter().all(|part| is_refused(&vm, &[*part], now)));
    assert!(!is_refused(&vm, &[SHARED], now));
}

#[test]
fn a_peer_that_saw_a_part_survive_clears_it_at_all() {
    let (mut observer, mut peer, now) = (vm(), vm(), Instant::now());
    peer.survived(SHARED, now);
    for number in 1..=4 {
        let other = if number == 4 { OTHER } else { FATAL };
        crash(&mut observer, number, &[with_parts(number, &[SHARED, other])], now);
    }
    let before = is_refused(&observer, &[SHARED], now);

    peer.merge(&observer.changes_after(CrashCursor::default()).0, now);
    observer.merge(&peer.changes_after(CrashCursor::default()).0, now);

    assert!(before, "four crashes, of which the other parts explain three and one");
    for vm in [&observer, &peer] {
        assert!(is_refused(vm, &[FATAL], now));
        assert!(!is_refused(vm, &[SHARED], now));
    }
}

#[test]
fn retries_do_not_prolong_the_refusal_of_a_part_and_one_crash_renews_it() {
    let (mut vm, now) = (vm(), Instant::now());
    vm.survived(SHARED, now);
    for number in 1..=3 {
        crash(&mut vm, number, &[with_parts(number, &[SHARED, FATAL])], now);
    }

    let before_end = now + RULES.duration - Duration::from_secs(1);
    vm.record_refusal(&[FATAL], before_end);
    let over = now + RULES.duration + Duration::from_secs(1);
    vm.remove_expired(over);
    let refused_after = is_refused(&vm, &[FATAL], over);
    crash(&mut vm, 4, &[with_parts(4, &[FATAL])], over);

    assert!(!refused_after);
    assert!(is_refused(&vm, &[FATAL], over));
}

#[test]
fn a_part_that_was_mended_is_cleared_by_its_next_request() {
    let (mut vm, now) = (vm(), Instant::now());
    for number in 1..=3 {
        crash(&mut vm, number, &[with_parts(number, &[FATAL])], now);
    }
    let over = now + RULES.duration + Duration::from_secs(1);
    vm.remove_expired(over);

    vm.survived(FATAL, over);
    crash(&mut vm, 4, &[with_parts(4, &[FATAL])], over + Duration::from_secs(31));

    assert!(!is_refused(&vm, &[FATAL], over + Duration::from_secs(31)));
}

#[test]
fn a_flood_of_parts_evicts_neither_a_refused_part_nor_a_refused_request() {
    let (mut vm, now) = (vm(), Instant::now());
    let fatal_request = request(5);
    for number in 1..=3 {
        crash(&mut vm, number, &[with_parts(number, &[FATAL])], now);
        crash(&mut vm, 10 + number, &[vec![fatal_request]], now);
    }

    for number in 100..5000 {
        let at = now + Duration::from_millis(number);
        crash(&mut vm, number, &[with_parts(number, &[Suspect::PromptPart(number)])], at);
    }

    assert!(is_refused(&vm, &[FATAL], now));
    assert!(vm.refusal(&[fatal_request], now).is_some());
    assert!(vm.suspect_count() <= 2 * 1024);
}

#[test]
fn crashes_of_parts_merge_in_any_order() {
    let now = Instant::now();
    let crash_of = |suspect: Suspect, number: u64| Crash {
        suspect,
        lifetime: LifetimeId { lifetime_hash: LifetimeHash(number), ends_before: 0 },
        cleared: false,
        at: Some(now),
    };
    let crashes: Vec<Crash> = (1..=4)
        .flat_map(|number| {
            let part = if number == 4 { OTHER } else { SHARED };
            [crash_of(FATAL, number), crash_of(part, number), crash_of(request(number), number)]
        })
        .collect();
    let (mut one, mut other) = (vm(), vm());

    one.merge(&crashes, now);
    crashes.iter().rev().for_each(|crash| drop(other.merge(&[*crash], now)));

    assert_eq!(one.refused(now), other.refused(now));
    assert!(is_refused(&one, &[FATAL], now));
    assert!(!is_refused(&one, &[SHARED, OTHER], now));
}
